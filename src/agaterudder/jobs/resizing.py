"""Moves machines between a pool and standby, as :mod:`sizing` decides."""

import logging
import typing as t
import zlib

import gevent

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import machines
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import sizing

LOG = logging.getLogger(__name__)

# A machine that has not joined so long after its move is not waited for.
JOIN_SECONDS = 4.0
# A machine that another process ordered a moment ago is left alone.
REFUSED_SECONDS = 1.0


class Move:
    """A move that was ordered."""

    __slots__ = ("machine", "ordered_at", "worker_before")

    def __init__(self, machine: ports.Machine, ordered_at: float) -> None:
        self.machine = machine.machine
        self.worker_before = machine.worker
        self.ordered_at = ordered_at


class PoolHolder(t.Protocol):
    """What resizing needs of the holder of the pool."""

    pool: str
    state: pools.Pool

    def may_order(self) -> bool:
        """Return whether machines may be ordered now."""

    def leave(self, worker: fleet.WorkerState, reason: str) -> None:
        """Give a worker no more work."""

    def stay(self, worker: fleet.WorkerState) -> None:
        """Give a worker work again."""

    def worker_ended(self, worker: fleet.WorkerState, reason: str) -> None:
        """Note that all that ran on a worker was ended."""

    def store_clock(self) -> float:
        """Return the most that the store's clock may show."""

    def standby_pools(self) -> list[str]:
        """Return the pools on standby."""

    def wave_machines(self) -> frozenset[str]:
        """Return machines that are due for upkeep or down for it."""


class Resizing:
    """Size of one pool."""

    __slots__ = ("_holder", "_view", "_orders", "_moves", "_refused")

    def __init__(
        self,
        holder: PoolHolder,
        view: machines.View,
        orders: machines.MachineOrders,
    ) -> None:
        self._holder = holder
        self._view = view
        self._orders = orders
        self._moves: dict[str, Move] = {}
        self._refused: dict[str, float] = {}

    def turn(self) -> None:
        """Do what the size of the pool asks for now."""
        if not self._holder.may_order():
            return
        now = clock.now()
        self._forget_joined(now)
        match sizing.decide(self._holder.state, len(self._moves), now):
            case sizing.Grow(count=count, reason=reason):
                self._grow(count, reason)
            case sizing.Shrink(workers=workers):
                moves = [
                    gevent.spawn(self._shrink, worker) for worker in workers
                ]
                gevent.joinall(moves)
            case sizing.Empty(worker=worker):
                LOG.info(
                    "worker not needed",
                    extra={
                        "pool": self._holder.pool,
                        "worker": worker.name,
                        "lasting": worker.lasting,
                    },
                )
                self._holder.leave(worker, sizing.NOT_NEEDED)
            case sizing.Stay(worker=worker):
                worker.busy_at = now
                self._holder.stay(worker)

    def _forget_joined(self, now: float) -> None:
        joined = {
            worker.name
            for worker in self._holder.state.workers.values()
            if worker.fenced
        }
        for name, move in list(self._moves.items()):
            machine = self._view.machines.get(name)
            if now - move.ordered_at > JOIN_SECONDS or (
                machine is not None and machine.worker in joined
            ):
                del self._moves[name]
        if self._moves:
            self._view.refresh()

    def _grow(self, count: int, reason: str) -> None:
        if not self._view.refresh():
            return
        now = clock.now()
        free = [
            machine
            for pool in self._holder.standby_pools()
            for machine in self._view.in_pool(pool)
            if machine.state == ports.MACHINE_UP
            and machine.data_centre not in self._holder.state.taken_out
            and now - self._refused.get(machine.machine, 0.0) > REFUSED_SECONDS
            and machine.machine not in self._moves
        ]
        free.sort(key=self._rank)
        moves = [
            gevent.spawn(self._take, machine, reason)
            for machine in free[:count]
        ]
        gevent.joinall(moves)

    def _rank(self, machine: ports.Machine) -> tuple[bool, bool, int]:
        """Order machines: those that can work soon and long come first.

        The last part differs from pool to pool, so that two pools seldom
        order the same machine.
        """
        state = self._holder.state
        now = clock.now()
        cut_off = any(
            worker.entry.data_centre == machine.data_centre
            and worker.silent(now)
            for worker in state.workers.values()
        )
        name = f"{self._holder.pool} {machine.machine}"
        return (
            cut_off,
            machine.machine in self._holder.wave_machines(),
            zlib.crc32(name.encode()),
        )

    def _take(self, machine: ports.Machine, reason: str) -> None:
        LOG.info(
            "machine wanted",
            extra={
                "pool": self._holder.pool,
                "machine": machine.machine,
                "why": reason,
            },
        )
        if self._move(machine, self._holder.pool):
            self._moves[machine.machine] = Move(machine, clock.now())

    def _move(self, machine: ports.Machine, pool: str) -> bool:
        name = machine.machine
        token = self._orders.claim(name, self._holder.store_clock())
        if token is None or not self._holder.may_order():
            self._refused[name] = clock.now()
            return False
        answer = self._orders.move(name, pool, token)
        if isinstance(answer, ports.Rejected):
            self._refused[name] = clock.now()
            return False
        return True

    def _shrink(self, worker: fleet.WorkerState) -> None:
        standby = self._holder.standby_pools()
        if not standby or not self._view.refresh():
            return
        machine = next(
            (
                machine
                for machine in self._view.in_pool(self._holder.pool)
                if machine.worker == worker.name
                and machine.state == ports.MACHINE_UP
            ),
            None,
        )
        if machine is None or worker.runs:
            return
        self._holder.leave(worker, sizing.NOT_NEEDED)
        if worker.runs or not self._move(machine, standby[0]):
            self._holder.stay(worker)
            return
        self._holder.worker_ended(worker, "moved to standby")
