"""State that the components of a pool's holder share."""

import typing as t

import gevent.event

from agaterudder.jobs import clock
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder import metrics


class Context:
    """One pool that this process holds the lease of.

    :param store_clock: returns an upper bound of the store's clock.
    :param on_lost: called with the reason when a higher epoch is seen.
    :ivar epoch_precondition: precondition of every write for the pool.
    :ivar plan_needed: set when the pool needs planning soon.
    :ivar write_needed: set when the journal should be written soon.
    :ivar persist_needed: set when the list of the pool's workers has changed.
    """

    __slots__ = (
        "lease",
        "state",
        "store",
        "metrics",
        "store_clock",
        "epoch_precondition",
        "plan_needed",
        "write_needed",
        "persist_needed",
        "stopped",
        "_on_lost",
    )

    def __init__(
        self,
        lease: leases.Lease,
        state: pools.Pool,
        store: ports.Store,
        metrics_registry: metrics.Metrics,
        store_clock: t.Callable[[], float],
        on_lost: t.Callable[[str], None],
    ) -> None:
        self.lease = lease
        self.state = state
        self.store = store
        self.metrics = metrics_registry
        self.store_clock = store_clock
        self.epoch_precondition = ports.Precondition(
            model.HOLDERS_TABLE, model.HOLDER_KEY, lease.epoch
        )
        self.plan_needed = gevent.event.Event()
        self.write_needed = gevent.event.Event()
        self.persist_needed = gevent.event.Event()
        self.stopped = False
        self._on_lost = on_lost

    @property
    def pool(self) -> str:
        """Name of the pool."""
        return self.lease.pool

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent."""
        return not self.stopped and self.lease.valid(clock.now())

    def step_down(self, reason: str) -> None:
        """Give the pool up because a higher epoch was seen."""
        self._on_lost(reason)

    def check_epoch(self, rows: tuple[ports.Row, ...]) -> None:
        """Give the pool up if the rows of a conflict show another epoch."""
        if any(
            row.table == model.HOLDERS_TABLE
            and row.key == model.HOLDER_KEY
            and row.version != self.lease.epoch
            for row in rows
        ):
            self.step_down("the holder row has another epoch")
