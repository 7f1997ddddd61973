"""Scales a pool: moves machines from and to standby pools.

:mod:`scaling` decides how many.
"""

import logging
import typing as t
import zlib

import gevent

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import greenlets
from agaterudder.jobs import machines
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import scaling
from agaterudder.jobs import standbyshare

LOG = logging.getLogger(__name__)

# A machine that has not joined within this time is no longer waited for.
JOIN_SECONDS = 4.0
# After a failed claim or a rejected move, a machine is not tried again for
# this long, as another process probably ordered it.
CLAIM_RETRY_SECONDS = 1.0
NOT_CLAIMED = "another process orders the machine"
# Shortest time between two log lines on too few machines.
SHORTAGE_INTERVAL_SECONDS = 1.0


class Move:
    """A move that was ordered."""

    __slots__ = ("machine", "ordered_at", "previous_worker")

    def __init__(self, machine: ports.Machine, ordered_at: float) -> None:
        self.machine = machine.machine
        self.previous_worker = machine.worker
        self.ordered_at = ordered_at


class PoolHolder(t.Protocol):
    """What the autoscaler needs of the holder of the pool."""

    pool: str
    state: pools.Pool

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent."""

    def cordon_worker(self, worker: fleet.WorkerState, reason: str) -> None:
        """Place no more tasks on a worker."""

    def uncordon_worker(self, worker: fleet.WorkerState) -> None:
        """Place tasks on a worker again."""

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Record that a worker and all its runs have ended."""

    def store_clock(self) -> float:
        """Return an upper bound of the store's clock."""

    def standby_pools(self) -> list[str]:
        """Return the names of the standby pools."""

    def machines_in_waves(self) -> frozenset[str]:
        """Return machines that are due for maintenance or down for it."""


class Autoscaler:
    """Scales one pool up and down."""

    __slots__ = (
        "_holder",
        "_machine_cache",
        "_orders",
        "_moves",
        "_refused",
        "_shortage_at",
    )

    def __init__(
        self,
        holder: PoolHolder,
        machine_cache: machines.MachineCache,
        orders: machines.MachineOrders,
    ) -> None:
        self._holder = holder
        self._machine_cache = machine_cache
        self._orders = orders
        self._moves: dict[str, Move] = {}
        self._refused: dict[str, float] = {}
        self._shortage_at = 0.0

    def reconcile(self) -> None:
        """Apply the present scaling decision."""
        if not self._holder.holds_lease():
            return
        now = clock.now()
        self._drop_joined_moves(now)
        self._repeat_unanswered_moves()
        match scaling.decide(self._holder.state, len(self._moves), now):
            case scaling.ScaleUp() as wanted:
                self._scale_up(wanted)
            case scaling.ScaleDown(workers=workers):
                moves = [
                    self._spawn(self._scale_down, worker) for worker in workers
                ]
                gevent.joinall(moves)
            case scaling.Drain(worker=worker):
                LOG.info(
                    "draining worker that is no longer needed",
                    extra={
                        "pool": self._holder.pool,
                        "worker": worker.name,
                        "lasting": worker.long_running_count,
                    },
                )
                self._holder.cordon_worker(worker, scaling.NOT_NEEDED)
            case scaling.Uncordon(worker=worker):
                worker.busy_at = now
                self._holder.uncordon_worker(worker)

    def _spawn(
        self, move: t.Callable[..., None], *arguments: t.Any
    ) -> gevent.Greenlet:
        return greenlets.spawn(
            move, *arguments, what="machine move", pool=self._holder.pool
        )

    def _repeat_unanswered_moves(self) -> None:
        workers = [
            worker
            for worker in self._holder.state.workers.values()
            if worker.cordon_reason == scaling.MOVE_UNANSWERED
            and worker.drained
            and not worker.terminated
        ]
        gevent.joinall(
            [self._spawn(self._scale_down, worker) for worker in workers]
        )

    def _drop_joined_moves(self, now: float) -> None:
        joined = {
            worker.name
            for worker in self._holder.state.workers.values()
            if worker.fenced
        }
        for name, move in list(self._moves.items()):
            machine = self._machine_cache.machines.get(name)
            if now - move.ordered_at > JOIN_SECONDS or (
                machine is not None and machine.worker in joined
            ):
                del self._moves[name]
        if self._moves:
            self._machine_cache.refresh()

    def _scale_up(self, wanted: scaling.ScaleUp) -> None:
        if not self._machine_cache.refresh():
            return
        now = clock.now()
        free = [
            machine
            for pool in self._holder.standby_pools()
            for machine in self._machine_cache.in_pool(pool)
            if machine.state == ports.MACHINE_UP
            and machine.data_centre not in self._holder.state.taken_out
            and now - self._refused.get(machine.machine, 0.0)
            > CLAIM_RETRY_SECONDS
            and machine.machine not in self._moves
        ]
        count = wanted.count
        if not wanted.required:
            count = self._share_of_standby(count, len(free))
        if min(count, len(free)) < wanted.count:
            self._log_shortage(wanted, len(free), now)
        free.sort(key=self._rank)
        moves = [
            self._spawn(self._move_from_standby, machine, wanted.reason)
            for machine in free[:count]
        ]
        gevent.joinall(moves)

    def _share_of_standby(self, wanted: int, free: int) -> int:
        """Return how many machines may be taken, so that others get some."""
        standby = self._holder.standby_pools()
        machine_list = self._machine_cache.machines.values()
        pools_in_use = {
            machine.pool
            for machine in machine_list
            if machine.pool not in standby
        }
        even_share = len(machine_list) // max(len(pools_in_use), 1)
        own = self._machine_cache.in_pool(self._holder.pool)
        present = {machine.machine for machine in own}.union(self._moves)
        return standbyshare.allowed(wanted, len(present), free, even_share)

    def _log_shortage(
        self, wanted: scaling.ScaleUp, free: int, now: float
    ) -> None:
        """Log that the pool gets fewer machines from standby than it needs."""
        if now - self._shortage_at < SHORTAGE_INTERVAL_SECONDS:
            return
        self._shortage_at = now
        standby = sum(
            len(self._machine_cache.in_pool(pool))
            for pool in self._holder.standby_pools()
        )
        LOG.info(
            "too few machines on standby",
            extra={
                "pool": self._holder.pool,
                "wanted": wanted.count,
                "free": free,
                "standby": standby,
                "joining": len(self._moves),
                "why": wanted.reason,
            },
        )

    def _rank(self, machine: ports.Machine) -> tuple[bool, bool, int]:
        """Return the sort key of a machine in standby, the best first.

        Machines in data centres that answer come before those that seem cut
        off, then machines without pending maintenance. The hash differs from
        pool to pool, so that two pools seldom order the same machine.
        """
        state = self._holder.state
        now = clock.now()
        cut_off = any(
            worker.registration.data_centre == machine.data_centre
            and worker.unresponsive(now)
            for worker in state.workers.values()
        )
        name = f"{self._holder.pool} {machine.machine}"
        return (
            cut_off,
            machine.machine in self._holder.machines_in_waves(),
            zlib.crc32(name.encode()),
        )

    def _move_from_standby(self, machine: ports.Machine, reason: str) -> None:
        LOG.info(
            "moving machine from standby",
            extra={
                "pool": self._holder.pool,
                "machine": machine.machine,
                "why": reason,
            },
        )
        answer = self._move(machine, self._holder.pool)
        if not isinstance(answer, ports.Rejected):
            self._moves[machine.machine] = Move(machine, clock.now())

    def _move(
        self, machine: ports.Machine, pool: str
    ) -> ports.Done | ports.Rejected | ports.NoAnswer:
        """Order a move, unless the machine is another process's to order."""
        name = machine.machine
        token = self._orders.claim(name, self._holder.store_clock())
        if token is None or not self._holder.holds_lease():
            self._refused[name] = clock.now()
            return ports.Rejected(NOT_CLAIMED)
        answer = self._orders.move(name, pool, token)
        if isinstance(answer, ports.NoAnswer) and not answer.may_take_effect:
            answer = ports.Rejected(answer.reason)
        if isinstance(answer, ports.Rejected):
            self._refused[name] = clock.now()
        return answer

    def _scale_down(self, worker: fleet.WorkerState) -> None:
        """Order the move of a worker's machine to standby.

        Without an answer the worker may run on: it stays cordoned, and the
        order is repeated until it is answered or the worker has ended. The
        same holds for an answer before which the worker has restarted.
        """
        standby = self._holder.standby_pools()
        if not standby or not self._machine_cache.refresh():
            return
        machine = next(
            (
                machine
                for machine in self._machine_cache.in_pool(self._holder.pool)
                if machine.worker == worker.name
                and machine.state == ports.MACHINE_UP
            ),
            None,
        )
        if machine is None or not worker.drained:
            return
        if worker.cordon_reason != scaling.MOVE_UNANSWERED:
            self._holder.cordon_worker(worker, scaling.NOT_NEEDED)
        incarnation = worker.incarnation
        match self._move(machine, standby[0]):
            case ports.Done() if worker.incarnation == incarnation:
                self._holder.mark_worker_terminated(worker, "moved to standby")
            case ports.Done() | ports.NoAnswer():
                self._holder.cordon_worker(worker, scaling.MOVE_UNANSWERED)
            case _ if worker.cordon_reason != scaling.MOVE_UNANSWERED:
                self._holder.uncordon_worker(worker)
