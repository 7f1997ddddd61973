"""Log lines and counters of the calls of clients about jobs."""

import dataclasses
import logging
import typing as t

from agaterudder import codes
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import ports
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# Outcomes of calls that were not refused.
ACCEPTED = "ACCEPTED"
COUNTED = "COUNTED"
FOUND = "FOUND"
# Refusals that say that the store did not answer in the caller's time.
UNANSWERED = frozenset(
    {
        codes.Result.CHANGE_UNKNOWN,
        codes.Result.STORE_AWAY,
        codes.Result.TOO_LATE,
    }
)


@dataclasses.dataclass(slots=True)
class Usage:
    """What a call has used and found so far.

    :ivar began_at: when it began, by :func:`clock.now`.
    :ivar store_calls: number of store calls that were made for it.
    :ivar pools: pools whose rows were read, in order.
    :ivar version: version of the rows that it stored, 0 without any.
    :ivar found: tables and versions of the rows that it found in the way.
    """

    began_at: float = dataclasses.field(default_factory=lambda: clock.now())
    store_calls: int = 0
    pools: list[str] = dataclasses.field(default_factory=list)
    version: int = 0
    found: str = ""

    def record_write(self, outcome: ports.Outcome) -> None:
        """Record the outcome of a transaction."""
        match outcome:
            case ports.Committed(version=version):
                self.version = version
            case ports.Conflicted(rows=rows):
                self.found = " ".join(
                    f"{row.table}:{row.version}" for row in rows
                )

    def written(self) -> dict[str, t.Any]:
        """Return the fields of a line about what was written."""
        fields: dict[str, t.Any] = {"store_calls": self.store_calls}
        if self.version:
            fields["version"] = self.version
        if self.found:
            fields["found"] = self.found
        return fields


class CallReports:
    """Reports the outcomes of calls.

    :param cluster: names the configuration that a call was judged by.
    """

    __slots__ = ("_cluster", "_metrics")

    def __init__(
        self,
        cluster: clustercache.ClusterCache,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._cluster = cluster
        self._metrics = metrics_registry

    def count(self, name: str, outcome: t.Any, answered: str) -> None:
        """Count a call by its outcome.

        :param name: name of the counter.
        :param answered: outcome of a call that was not refused.
        """
        self._metrics.count(name, outcome=code(outcome, answered))

    def lookup(
        self,
        job: str,
        queue: str,
        usage: Usage,
        outcome: t.Any,
        now: float,
    ) -> None:
        """Report the answer to a GET of a job."""
        self.count("lookups", outcome, FOUND)
        if not isinstance(outcome, codes.Refused):
            return
        missing = outcome.code is codes.Result.NOT_FOUND
        LOG.info(
            "job not found" if missing else "job lookup refused",
            extra={
                "job": job,
                "queue": queue,
                "outcome": describe(outcome),
                "pools": " ".join(usage.pools),
                "store_calls": usage.store_calls,
                **self._configuration(now),
            },
        )

    def unanswered(
        self,
        kind: str,
        job: str,
        usage: Usage,
        deadline: float,
        outcome: t.Any,
        now: float,
    ) -> None:
        """Report a call that was not answered before its deadline.

        :param kind: submit, state, cancel or pending.
        :param deadline: when the client gives up.
        """
        late = now > deadline
        if not late and getattr(outcome, "code", None) not in UNANSWERED:
            return
        self._metrics.count("unanswered_calls", call=kind)
        LOG.info(
            "call not answered in time",
            extra={
                "call": kind,
                "job": job,
                "deadline": round(deadline - usage.began_at, 3),
                "spent": round(now - usage.began_at, 3),
                "late": late,
                "store_calls": usage.store_calls,
                "outcome": describe(outcome),
            },
        )

    def _configuration(self, now: float) -> dict[str, t.Any]:
        """Return version and age of the configuration."""
        known = self._cluster.configuration
        return {
            "version": known.version if known is not None else 0,
            "age": round(now - self._cluster.operators.confirmed_at, 3),
        }


def code(outcome: t.Any, answered: str) -> str:
    """Return the outcome of a call as the label of a counter.

    :param answered: label of a call that was not refused.
    """
    if isinstance(outcome, codes.Refused):
        return outcome.code.name
    return answered


def describe(outcome: t.Any) -> str:
    """Return the outcome of a call with the reason of a refusal."""
    if isinstance(outcome, codes.Refused):
        return f"{outcome.code.name}: {outcome.reason}"
    return type(outcome).__name__
