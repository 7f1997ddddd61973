"""What the parts of a pool's holder share."""

import typing as t

import gevent.event

from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import ownership
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder import metrics


class Context:
    """One pool in the hands of this process.

    :param store_clock: most that the store's clock may show.
    :param lost: is told, with the reason, when a higher epoch is met.
    :ivar epoch: condition of all that is written for the pool.
    :ivar plan: set when the pool should be planned soon.
    :ivar write: set when something should be stored soon.
    :ivar record: set when the pool's workers have changed.
    """

    __slots__ = (
        "lease",
        "state",
        "store",
        "metrics",
        "store_clock",
        "epoch",
        "plan",
        "write",
        "record",
        "stopped",
        "_lost",
    )

    def __init__(
        self,
        lease: ownership.Lease,
        state: pools.Pool,
        store: ports.Store,
        measured: metrics.Metrics,
        store_clock: t.Callable[[], float],
        lost: t.Callable[[str], None],
    ) -> None:
        self.lease = lease
        self.state = state
        self.store = store
        self.metrics = measured
        self.store_clock = store_clock
        self.epoch = ports.Check(
            model.HOLDERS_TABLE, model.HOLDER_KEY, lease.epoch
        )
        self.plan = gevent.event.Event()
        self.write = gevent.event.Event()
        self.record = gevent.event.Event()
        self.stopped = False
        self._lost = lost

    @property
    def pool(self) -> str:
        """Name of the pool."""
        return self.lease.pool

    def may_order(self) -> bool:
        """Return whether workers may be ordered now."""
        return not self.stopped and self.lease.valid(clock.now())

    def deposed(self, reason: str) -> None:
        """Stop, as a higher epoch was met."""
        self._lost(reason)

    def check_fenced_off(self, rows: tuple[ports.Row, ...]) -> None:
        """Stop if the rows of a conflict show another holder."""
        if any(
            row.table == model.HOLDERS_TABLE
            and row.key == model.HOLDER_KEY
            and row.version != self.lease.epoch
            for row in rows
        ):
            self.deposed("the row of the holder has changed")
