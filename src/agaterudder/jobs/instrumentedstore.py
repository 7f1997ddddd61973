"""Metrics of store calls: latency by call and outcome."""

import contextlib
import typing as t

from agaterudder import codes
from agaterudder.jobs import clock
from agaterudder.jobs import ports
from agaterudder import metrics

METRIC = "store_call"
OK = "ok"
CONFLICT = "conflict"
NO_ANSWER = "no answer"


class InstrumentedStore:
    """Passes calls on to a store; implements :class:`ports.Store`.

    Calls of ``changes`` are not measured: they wait until something
    changes.
    """

    __slots__ = ("_store", "_metrics")

    def __init__(
        self, store: ports.Store, metrics_registry: metrics.Metrics
    ) -> None:
        self._store = store
        self._metrics = metrics_registry

    def transact(
        self,
        partition: str,
        preconditions: t.Sequence[ports.Precondition],
        puts: t.Sequence[ports.Put],
        deletes: t.Sequence[ports.Delete] = (),
        timeout: float | None = None,
    ) -> ports.Outcome:
        """Write rows of one partition; see :class:`ports.Store`."""
        began_at = clock.now()
        outcome = self._store.transact(
            partition, preconditions, puts, deletes, timeout
        )
        self._observe("transact", _name(outcome), began_at)
        return outcome

    def read(
        self,
        table: str,
        partition: str,
        key: str,
        timeout: float | None = None,
    ) -> ports.Row | None:
        """Return a row; see :class:`ports.Store`."""
        with self._reading("read"):
            return self._store.read(table, partition, key, timeout)

    def scan(self, table: str, partition: str) -> ports.Scan:
        """Return all rows of a partition; see :class:`ports.Store`."""
        with self._reading("scan"):
            return self._store.scan(table, partition)

    def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> ports.Changes | ports.HistoryLost:
        """Wait for changes of a table; see :class:`ports.Store`."""
        return self._store.changes(table, after, wait_seconds)

    @contextlib.contextmanager
    def _reading(self, call: str) -> t.Iterator[None]:
        began_at = clock.now()
        outcome = NO_ANSWER
        try:
            yield
            outcome = OK
        finally:
            self._observe(call, outcome, began_at)

    def _observe(self, call: str, outcome: str, began_at: float) -> None:
        self._metrics.observe(
            METRIC, clock.now() - began_at, call=call, outcome=outcome
        )


def _name(outcome: ports.Outcome) -> str:
    match outcome:
        case ports.Committed():
            return OK
        case ports.Conflicted():
            return CONFLICT
        case codes.Refused(code=code):
            return code.name.lower()
