"""Decides how many machines a pool should have.

Machines come from a pool on standby when more work arrives than the pool
can do, early enough to be there when it is needed, and go back when they
are idle.
"""

import dataclasses
import math

from agaterudder.jobs import fleet
from agaterudder.jobs import load as loads
from agaterudder.jobs import pool as pools

# Between the order of a move and the first task, beside the move itself.
JOIN_SECONDS = 0.2
# A machine is not worth its move for less than this part of its room.
LEAST_PART = 0.5
# Demand comes in turns: a machine that idles for this long in one pool is
# sooner needed in another.
IDLE_SECONDS = 0.6
# A worker that has run nothing but lasting tasks for this long is emptied;
# each of them is away for about a second.
LASTING_ONLY_SECONDS = 2.0
# Lasting tasks that found no other place within this time stay.
EMPTYING_SECONDS = 3.0
# A worker lost must leave room for its tasks.
LEAST_WORKERS = 2
NOT_NEEDED = "not needed"


@dataclasses.dataclass(frozen=True, slots=True)
class Grow:
    """Take machines from standby."""

    count: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shrink:
    """Give the machines of workers back."""

    workers: tuple[fleet.WorkerState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Empty:
    """Move the lasting tasks of a worker to others, to give it back."""

    worker: fleet.WorkerState


@dataclasses.dataclass(frozen=True, slots=True)
class Stay:
    """Use a worker again that was to be given back."""

    worker: fleet.WorkerState


@dataclasses.dataclass(frozen=True, slots=True)
class Keep:
    """Change nothing."""


Decision = Grow | Shrink | Empty | Stay | Keep


def decide(state: pools.Pool, coming: int, now: float) -> Decision:
    """Decide on the size of a pool.

    :param coming: machines that were ordered and have not joined yet.
    """
    workers = [
        worker
        for worker in state.workers.values()
        if worker.listed and not worker.leaving
    ]
    usable = [worker for worker in workers if _serves(state, worker, now)]
    present = len(usable) + coming
    spread = loads.workers_to_spread(state)
    join_seconds = state.bounds.move + JOIN_SECONDS
    load = loads.measure(state, usable, coming, join_seconds, now)
    short = load.short(join_seconds)
    wanted = load.offered + load.waiting > 0 and short > LEAST_PART
    emptied = _emptied(state)
    if emptied is not None:
        return _go_on(emptied, present < spread or wanted, now)
    if present < spread:
        return Grow(
            spread - present, "lasting tasks need workers to spread over"
        )
    if wanted:
        return Grow(
            math.ceil(short - LEAST_PART),
            f"{load.offered:.1f} come a second, {load.waiting:.1f} wait, "
            f"room for {load.room:.1f}",
        )
    useless = _idle(
        [worker for worker in workers if worker not in usable], now
    )
    if useless:
        return Shrink(tuple(useless))
    floor = max(spread, LEAST_WORKERS)
    spare = min(present - floor, math.floor(-short))
    if spare <= 0 or state.recovering(now):
        return Keep()
    return _give_back(usable, spare, now)


def _emptied(state: pools.Pool) -> fleet.WorkerState | None:
    """Return the worker that is being emptied to be given back."""
    return next(
        (
            worker
            for worker in state.workers.values()
            if worker.leaving == NOT_NEEDED
            and worker.listed
            and not worker.ended
        ),
        None,
    )


def _go_on(worker: fleet.WorkerState, wanted: bool, now: float) -> Decision:
    """Decide on a worker that is being emptied."""
    if wanted or now - worker.leaving_since > EMPTYING_SECONDS:
        return Stay(worker)
    return Keep() if worker.runs else Shrink((worker,))


def _give_back(
    workers: list[fleet.WorkerState], most: int, now: float
) -> Shrink | Empty | Keep:
    idle = _idle(workers, now)
    if idle:
        return Shrink(tuple(idle[:most]))
    lasting = [
        worker
        for worker in workers
        if worker.fenced
        and worker.runs
        and worker.lasting == len(worker.runs)
        and now - worker.busy_at > LASTING_ONLY_SECONDS
    ]
    if not lasting:
        return Keep()
    return Empty(min(lasting, key=lambda worker: worker.lasting))


def _idle(
    workers: list[fleet.WorkerState], now: float
) -> list[fleet.WorkerState]:
    """Return the workers that are idle, the longest first."""
    idle = [
        worker
        for worker in workers
        if not worker.runs
        and worker.fenced
        and not worker.ended
        and not worker.silent(now)
        and now - worker.idle_since > IDLE_SECONDS
    ]
    return sorted(idle, key=lambda worker: worker.idle_since)


def _serves(state: pools.Pool, worker: fleet.WorkerState, now: float) -> bool:
    """Return whether a worker has, or will soon have, room for tasks."""
    return (
        not worker.ended
        and not worker.silent(now)
        and worker.entry.data_centre not in state.taken_out
    )
