"""Holds one pool: recovers it, then plans, orders and stores."""

import dataclasses
import logging
import typing as t

import gevent
import gevent.event

from agaterudder import exceptions
from agaterudder.jobs import beliefs
from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import inbox
from agaterudder.jobs import load as loads
from agaterudder.jobs import machines
from agaterudder.jobs import maintenance
from agaterudder.jobs import ordering
from agaterudder.jobs import ownership
from agaterudder.jobs import planning
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import resizing
from agaterudder.jobs import roster
from agaterudder.jobs import storing
from agaterudder.jobs import teamlimits
from agaterudder.jobs import wallclock
from agaterudder import metrics

LOG = logging.getLogger(__name__)

GATHER_SECONDS = 0.004
TURN_SECONDS = 0.1
LIMITS_SECONDS = 0.5
LIMITS_PAUSE_SECONDS = 0.05
RECOVERY_RETRY_SECONDS = 0.1
MAINTENANCE_SECONDS = 0.4
RESIZE_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTools:
    """What upkeep and moves of machines go through."""

    operators: ports.Operators
    view: machines.View
    orders: machines.MachineOrders


class Holder:
    """Runs one pool while this process has its lease.

    :param owner: is told when a higher epoch is met.
    :param connect: returns the link to a worker.
    """

    def __init__(
        self,
        lease: ownership.Lease,
        owner: ownership.Owner,
        store: ports.Store,
        known: beliefs.Beliefs,
        bounds: deployment.Bounds,
        connect: t.Callable[[ports.WorkerEntry], ports.Worker],
        policy: ports.Policy | None,
        fleet_tools: FleetTools,
        measured: metrics.Metrics,
    ) -> None:
        self.lease = lease
        self.pool = lease.pool
        self._beliefs = known
        self._limits = teamlimits.TeamLimits(self.pool)
        self._limits_needed = gevent.event.Event()
        self.state = pools.Pool(
            self.pool, lease.epoch, bounds, self._limits, clock.now()
        )
        self._context = contexts.Context(
            lease,
            self.state,
            store,
            measured,
            owner.store_clock,
            lambda reason: owner.deposed(lease, reason),
        )
        self._roster = roster.Roster(
            self._context,
            known,
            connect,
            fleet_tools.view,
            bounds.worker_lease,
            self,
        )
        self._ordering = ordering.Ordering(self._context, self._roster, policy)
        self._storing = storing.Storing(self._context)
        self._inbox = inbox.Inbox(self._context)
        self._maintenance = maintenance.Maintenance(
            self,
            store,
            fleet_tools.operators,
            fleet_tools.view,
            fleet_tools.orders,
        )
        self._resizing = resizing.Resizing(
            self, fleet_tools.view, fleet_tools.orders
        )
        self._loops: list[gevent.Greenlet] = []

    # Life

    def start(self) -> None:
        """Recover the pool, then run it."""
        self._spawn(self._run)

    def stop(self) -> None:
        """Stop at once; nothing more is ordered."""
        self._context.stopped = True
        if self._beliefs_heard in self._beliefs.listeners:
            self._beliefs.unlisten(self._beliefs_heard)
        gevent.killall(self._loops, block=False)
        self._ordering.stop()
        self._roster.stop()

    def _spawn(self, loop: t.Callable[[], None]) -> None:
        self._loops.append(gevent.spawn(loop))

    def may_order(self) -> bool:
        """Return whether workers may be ordered now."""
        return self._context.may_order()

    def deposed(self, reason: str) -> None:
        """Stop, as a higher epoch was met."""
        self._context.deposed(reason)

    def _run(self) -> None:
        while not self._recover():
            gevent.sleep(RECOVERY_RETRY_SECONDS)
        for loop in (
            self._inbox.run,
            self._storing.write_for_ever,
            self._storing.publish_for_ever,
            self._roster.record_for_ever,
            self._plan_for_ever,
            self._settle_limits_for_ever,
            self._maintain_for_ever,
            self._resize_for_ever,
        ):
            self._spawn(loop)
        self._beliefs.listen(self._beliefs_heard)
        self._beliefs_heard()

    def _recover(self) -> bool:
        """Read what earlier holders stored; return whether all was read."""
        try:
            if not self._limits.load(self._context.store):
                return False
            self._inbox.recover()
            self._roster.recover()
        except exceptions.CallFailed as error:
            LOG.warning(
                "recovery waits", extra={"pool": self.pool, "why": error}
            )
            return False
        LOG.info(
            "pool recovered",
            extra={
                "pool": self.pool,
                "epoch": self.lease.epoch,
                "jobs": len(self.state.jobs),
                "workers": len(self.state.workers),
            },
        )
        return True

    def _beliefs_heard(self) -> None:
        configuration = self._beliefs.configuration
        if configuration is not None:
            self.state.queues = configuration.queues
            self._limits.configure(configuration)
        self.state.taken_out = self._beliefs.taken_out
        self._roster.match()
        self._context.plan.set()

    # What the tasks of the workers need

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until marks up to one are stored; return whether they are."""
        return self._storing.wait_stored(mark, timeout)

    def forget_worker(self, worker: fleet.WorkerState) -> None:
        """Forget a worker that is gone and runs nothing."""
        self._roster.forget_worker(worker)

    def life_over(self, worker: fleet.WorkerState, since: float) -> str:
        """Return why a silent worker's life is over, empty if it is not."""
        return self._roster.life_over(worker, since)

    def heard(self) -> None:
        """Plan soon, and store what is not stored."""
        self._context.plan.set()
        if len(self.state.journal):
            self._context.write.set()

    # What upkeep and sizing need; see maintenance.PoolHolder

    @property
    def standby(self) -> bool:
        """Whether the machines of the pool are off."""
        configuration = self._beliefs.configuration
        if configuration is None:
            return False
        found = configuration.pools.get(self.pool)
        return found is not None and found.standby

    def store_clock(self) -> float:
        """Return the most that the store's clock may show."""
        return self._context.store_clock()

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker, None when it is not known."""
        return self.state.workers.get(worker)

    def leave(self, worker: fleet.WorkerState, reason: str) -> None:
        """Give a worker no more work."""
        worker.leave(reason, clock.now())
        self._context.plan.set()

    def stay(self, worker: fleet.WorkerState) -> None:
        """Give a worker work again, unless it drains."""
        worker.leaving = "draining" if worker.draining else ""
        self._context.plan.set()

    def worker_ended(self, worker: fleet.WorkerState, reason: str) -> None:
        """Note that all that ran on a worker was ended."""
        self._roster.worker_ended(worker, reason)

    def waiting_part(self) -> float:
        """Return the waiting work as a part of the room, in cores."""
        room = sum(w.entry.size.cores for w in self.state.workers.values())
        return loads.waiting_cores(self.state) / room if room else 0.0

    def standby_pools(self) -> list[str]:
        """Return the pools on standby."""
        configuration = self._beliefs.configuration
        if configuration is None:
            return []
        return sorted(
            name for name, pool in configuration.pools.items() if pool.standby
        )

    def wave_machines(self) -> frozenset[str]:
        """Return machines that are due for upkeep or down for it."""
        return self._maintenance.open_machines

    def _resize_for_ever(self) -> None:
        while True:
            gevent.sleep(RESIZE_SECONDS)
            if not self.standby and self.standby_pools():
                self._resizing.turn()

    def _maintain_for_ever(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_SECONDS)
            self._maintenance.turn(list(self._beliefs.waves.values()))

    # Planning

    def _plan_for_ever(self) -> None:
        recovering = True
        while True:
            self._context.plan.wait(TURN_SECONDS)
            gevent.sleep(GATHER_SECONDS)
            self._context.plan.clear()
            now = clock.now()
            if not self.may_order():
                continue
            if recovering and not self.state.recovering(now):
                recovering = False
                self._recovered()
            self.state.create_due(wallclock.now(), now)
            for order in planning.Plan(self.state, now).make():
                self._ordering.spawn(order)
            if self._limits.asking:
                self._limits_needed.set()
            if len(self.state.journal):
                self._context.write.set()

    def _recovered(self) -> None:
        """Nothing of earlier holders runs unseen any more."""
        self._limits.recovered()
        self.state.unseen.clear()
        LOG.info(
            "all workers seen or lapsed",
            extra={"pool": self.pool, "epoch": self.lease.epoch},
        )

    def _settle_limits_for_ever(self) -> None:
        while True:
            self._limits_needed.wait(LIMITS_SECONDS)
            self._limits_needed.clear()
            self._settle_limits()
            gevent.sleep(LIMITS_PAUSE_SECONDS)

    def _settle_limits(self) -> None:
        if not self.may_order():
            return
        try:
            if self._limits.settle(self._context.store, clock.now()):
                self._context.plan.set()
        except exceptions.CallFailed as error:
            LOG.info(
                "grants not read", extra={"pool": self.pool, "why": error}
            )
