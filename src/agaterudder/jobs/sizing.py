"""Decides how many machines a pool should have.

Machines come from a pool on standby when work waits that the pool has no
room for, and go back when they are idle.
"""

import dataclasses
import math

from agaterudder.jobs import fleet
from agaterudder.jobs import pool as pools

# Work that waits beyond the room is worth a machine only in part: what
# runs now ends before a machine arrives.
BACKLOG_PART = 0.7
# Demand comes in turns: a machine that idles for this long in one pool is
# sooner needed in another.
IDLE_SECONDS = 0.6
# A worker lost must leave room for its tasks.
LEAST_WORKERS = 2
CORES_OF_A_WORKER = 16.0


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
class Keep:
    """Change nothing."""


def decide(state: pools.Pool, coming: int, now: float) -> Grow | Shrink | Keep:
    """Decide on the size of a pool.

    :param coming: machines that were ordered and have not joined yet.
    """
    workers = [
        worker
        for worker in state.workers.values()
        if worker.listed and not worker.leaving
    ]
    waiting = waiting_cores(state)
    free = sum(worker.free.cores for worker in workers if worker.fenced)
    each = _cores_of_a_worker(workers)
    short = (waiting - free) * BACKLOG_PART / each - coming
    spare = len(workers) + coming - least_workers(state)
    if spare < 0:
        return Grow(-spare, "lasting tasks need workers to spread over")
    if short > 0:
        return Grow(math.ceil(short), f"{waiting:.1f} cores wait")
    if waiting > 0 or spare <= 0:
        return Keep()
    idle = [
        worker
        for worker in workers
        if not worker.runs
        and worker.fenced
        and now - worker.idle_since > IDLE_SECONDS
    ]
    if not idle:
        return Keep()
    idle.sort(key=lambda worker: worker.idle_since)
    return Shrink(tuple(idle[:spare]))


def waiting_cores(state: pools.Pool) -> float:
    """Return the cores that waiting tasks ask for."""
    return sum(
        state.room_of(step).cores
        for step in state.ready.values()
        if step.ready_at and step.job.ending is None
        for task in step.tasks
        if task.waiting
    )


def least_workers(state: pools.Pool) -> int:
    """Return the fewest workers that lasting tasks can be spread over."""
    needed = [
        math.ceil(step.step.count / step.step.most_per_worker)
        for step in state.ready.values()
        if step.step.long_running and step.step.most_per_worker
    ]
    return max([LEAST_WORKERS, *needed])


def _cores_of_a_worker(workers: list[fleet.WorkerState]) -> float:
    sizes = [worker.entry.size.cores for worker in workers]
    return max(sizes, default=CORES_OF_A_WORKER) or CORES_OF_A_WORKER
