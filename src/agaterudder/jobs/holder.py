"""Runs one pool: recovery, planning, orders to workers and storage."""

import dataclasses
import logging
import typing as t

import gevent
import gevent.event

from agaterudder import exceptions
from agaterudder.jobs import autoscaler
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import context as contexts
from agaterudder.jobs import crashes
from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import inbox
from agaterudder.jobs import journalwriter
from agaterudder.jobs import leases
from agaterudder.jobs import load as loads
from agaterudder.jobs import machines
from agaterudder.jobs import maintenance
from agaterudder.jobs import orderexecutor
from agaterudder.jobs import planning
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import teamlimits
from agaterudder.jobs import wallclock
from agaterudder.jobs import workerregistry
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# Changes that arrive within this time are planned together.
PLAN_BATCH_SECONDS = 0.004
PLAN_INTERVAL_SECONDS = 0.1
# Share of the time that planning may take, so that orders, polls, renewals
# and writes get their turn.
MAX_PLAN_SHARE = 0.5
LIMITS_INTERVAL_SECONDS = 0.5
LIMITS_MIN_INTERVAL_SECONDS = 0.05
RECOVERY_RETRY_SECONDS = 0.1
MAINTENANCE_INTERVAL_SECONDS = 0.4
AUTOSCALE_INTERVAL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class MachineControl:
    """What maintenance and moves of machines need."""

    operators: ports.Operators
    machine_cache: machines.MachineCache
    orders: machines.MachineOrders


def planning_pause(took: float) -> float:
    """Return the pause before the next round.

    :param took: duration of the last round, seconds.
    """
    return max(PLAN_BATCH_SECONDS, took * (1 / MAX_PLAN_SHARE - 1))


class Holder:
    """Runs one pool while this process has its lease.

    :param lease_manager: gives the lease up when a worker or the store shows
        a higher epoch.
    :param connect: opens the link to a worker.
    """

    def __init__(
        self,
        lease: leases.Lease,
        lease_manager: leases.LeaseManager,
        store: ports.Store,
        cluster: clustercache.ClusterCache,
        bounds: deployment.Bounds,
        connect: t.Callable[[ports.WorkerRegistration], ports.Worker],
        policy: ports.Policy | None,
        machine_control: MachineControl,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self.lease = lease
        self.pool = lease.pool
        self._cluster = cluster
        self._limits = teamlimits.TeamLimits(self.pool)
        self._limits_needed = gevent.event.Event()
        self.state = pools.Pool(
            self.pool,
            lease.epoch,
            bounds,
            self._limits,
            clock.now(),
            metrics_registry,
        )
        self._context = contexts.Context(
            lease,
            self.state,
            store,
            metrics_registry,
            lease_manager.store_clock,
            lambda reason: lease_manager.step_down(lease, reason),
        )
        self._registry = workerregistry.WorkerRegistry(
            self._context,
            cluster,
            connect,
            machine_control.machine_cache,
            bounds.worker_lease,
            self,
        )
        self._executor = orderexecutor.OrderExecutor(
            self._context, self._registry, policy
        )
        self._writer = journalwriter.JournalWriter(self._context)
        self._inbox = inbox.Inbox(self._context)
        self._maintenance = maintenance.Maintenance(
            self,
            store,
            machine_control.operators,
            machine_control.machine_cache,
            machine_control.orders,
        )
        self._autoscaler = autoscaler.Autoscaler(
            self, machine_control.machine_cache, machine_control.orders
        )
        self._recovery_pending = True
        self._loops: list[gevent.Greenlet] = []

    # Start and stop

    def start(self) -> None:
        """Recover the pool, then run it."""
        self._spawn(self._run)

    def stop(self) -> None:
        """Stop at once; no further orders are sent."""
        self._context.stopped = True
        if self._cluster_changed in self._cluster.subscribers:
            self._cluster.unsubscribe(self._cluster_changed)
        gevent.killall(self._loops, block=False)
        self._executor.stop()
        self._registry.stop()
        self.state.acknowledged.write()

    def _spawn(self, loop: t.Callable[[], None]) -> None:
        greenlet = gevent.spawn(loop)
        greenlet.link_exception(self._loop_failed)
        self._loops.append(greenlet)

    def _loop_failed(self, greenlet: gevent.Greenlet) -> None:
        """Give the pool up: without one of its loops it would stand still."""
        LOG.error(
            "loop of the pool's holder failed; giving the pool up",
            extra={"pool": self.pool, "why": repr(greenlet.exception)},
        )
        self.step_down("a loop of its holder failed")

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent."""
        return self._context.holds_lease()

    def step_down(self, reason: str) -> None:
        """Give the pool up because a higher epoch was seen."""
        self._context.step_down(reason)

    def _run(self) -> None:
        while not self._recover():
            gevent.sleep(RECOVERY_RETRY_SECONDS)
        for loop in (
            self._inbox.run,
            self._writer.write_loop,
            self._writer.publish_loop,
            self._registry.persist_loop,
            self._plan_loop,
            self._rebalance_limits_loop,
            self._maintenance_loop,
            self._autoscale_loop,
        ):
            self._spawn(loop)
        self._cluster.subscribe(self._cluster_changed)
        self._cluster_changed()

    def _recover(self) -> bool:
        """Read what earlier holders stored; return whether it succeeded."""
        if not self._cluster.workers_known:
            return False
        try:
            if not self._limits.load(self._context.store):
                LOG.info(
                    "team grants not taken over yet; retrying",
                    extra={"pool": self.pool},
                )
                return False
            self._inbox.recover()
            self._registry.recover()
        except exceptions.CallFailed as error:
            LOG.warning(
                "pool recovery failed; retrying",
                extra={"pool": self.pool, "why": error},
            )
            return False
        LOG.info(
            "pool recovered",
            extra={
                "pool": self.pool,
                "epoch": self.lease.epoch,
                "jobs": len(self.state.jobs),
                "workers": len(self.state.workers),
                "version": self._inbox.recovered_version,
            },
        )
        return True

    def _cluster_changed(self) -> None:
        """Apply a change; a fault in it concerns this pool only."""
        try:
            self._apply_cluster()
        except Exception:
            LOG.exception(
                "change of the cluster not applied; giving the pool up",
                extra={"pool": self.pool},
            )
            self.step_down("a change of the cluster was not applied")

    def _apply_cluster(self) -> None:
        configuration = self._cluster.configuration
        if configuration is not None:
            self.state.queues = configuration.queues
            self._limits.configure(configuration)
        self.state.taken_out = self._cluster.taken_out
        self._registry.sync_registrations()
        self._context.plan_needed.set()

    # Interface for the worker loops; see workerloop.PoolHolder

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until a journal mark is stored; return whether it is."""
        return self._writer.wait_stored(mark, timeout)

    def remove_worker(self, worker: fleet.WorkerState) -> None:
        """Remove a worker that has ended and runs nothing."""
        self._registry.remove_worker(worker)

    def termination_reason(
        self, worker: fleet.WorkerState, since: float
    ) -> str:
        """Return why an unresponsive worker ended, empty if it may run."""
        return self._registry.termination_reason(worker, since)

    def machine_evidence(self, now: float) -> str:
        """Return the size and the age of the machine list."""
        return self._registry.machine_evidence(now)

    def request_planning(self) -> None:
        """Request planning, and the write of progress not yet stored."""
        self._context.plan_needed.set()
        if len(self.state.journal):
            self._context.write_needed.set()

    # Interface for maintenance and autoscaling; see maintenance.PoolHolder

    @property
    def standby(self) -> bool:
        """Whether this is a standby pool, whose machines are off."""
        configuration = self._cluster.configuration
        if configuration is None:
            return False
        pool = configuration.pools.get(self.pool)
        return pool is not None and pool.standby

    def store_clock(self) -> float:
        """Return an upper bound of the store's clock."""
        return self._context.store_clock()

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker, None when it is not known."""
        return self.state.workers.get(worker)

    def worker_confirmed(self, worker: fleet.WorkerState) -> bool:
        """Return whether the runs of earlier holders on it are known."""
        return worker.name not in self.state.recovery.unconfirmed_workers

    def cordon_worker(self, worker: fleet.WorkerState, reason: str) -> None:
        """Place no more tasks on a worker."""
        worker.cordon(reason, clock.now())
        self._context.plan_needed.set()

    def uncordon_worker(self, worker: fleet.WorkerState) -> None:
        """Place tasks on a worker again, unless it is draining."""
        worker.cordon_reason = "draining" if worker.draining else ""
        self._context.plan_needed.set()

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Record that a worker and all its runs have ended."""
        self._registry.mark_worker_terminated(worker, reason)

    def backlog_ratio(self) -> float:
        """Return the waiting work as a fraction of the pool's cores."""
        cores = sum(
            w.registration.size.cores for w in self.state.workers.values()
        )
        return loads.waiting_cores(self.state) / cores if cores else 0.0

    def standby_pools(self) -> list[str]:
        """Return the names of the standby pools."""
        configuration = self._cluster.configuration
        if configuration is None:
            return []
        return sorted(
            name for name, pool in configuration.pools.items() if pool.standby
        )

    def machines_in_waves(self) -> frozenset[str]:
        """Return machines that are due for maintenance or down for it."""
        return self._maintenance.pending_machines

    def _autoscale_loop(self) -> None:
        while True:
            gevent.sleep(AUTOSCALE_INTERVAL_SECONDS)
            if not self.standby and self.standby_pools():
                self._autoscaler.reconcile()

    def _maintenance_loop(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_SECONDS)
            self._maintenance.reconcile(list(self._cluster.waves.values()))

    # Planning

    def _plan_loop(self) -> None:
        took = 0.0
        while True:
            self._context.plan_needed.wait(PLAN_INTERVAL_SECONDS)
            gevent.sleep(planning_pause(took))
            self._context.plan_needed.clear()
            if not self.holds_lease():
                continue
            began_at = clock.now()
            self._plan(began_at)
            took = clock.now() - began_at
            self._context.metrics.observe("plan", took, pool=self.pool)

    def _plan(self, now: float) -> None:
        if self._recovery_pending and not self.state.recovery.pending(now):
            self._recovery_pending = False
            self._limits.release_reservations()
            crashes.resolve_attempts(self.state)
            self.state.recovery.finish(now)
        self.state.create_due(wallclock.now(), now)
        self.state.sizes_confirmed_at = (
            self._cluster.registrations.confirmed_at
        )
        for order in planning.Plan(self.state, now).orders():
            self._executor.spawn(order)
        if self._limits.has_requests:
            self._limits_needed.set()
        if len(self.state.journal):
            self._context.write_needed.set()

    def _rebalance_limits_loop(self) -> None:
        while True:
            self._limits_needed.wait(LIMITS_INTERVAL_SECONDS)
            self._limits_needed.clear()
            self._rebalance_limits()
            gevent.sleep(LIMITS_MIN_INTERVAL_SECONDS)

    def _rebalance_limits(self) -> None:
        if not self.holds_lease():
            return
        try:
            if self._limits.rebalance(self._context.store, clock.now()):
                self._context.plan_needed.set()
        except exceptions.CallFailed as error:
            LOG.info(
                "team limit grants not read; retrying",
                extra={"pool": self.pool, "why": error},
            )
