"""Decides how many machines a pool should have.

Machines are taken from a standby pool when more work arrives than the pool
can do, early enough to have joined when they are needed, and are released
when they are idle.
"""

import dataclasses
import math

from agaterudder.jobs import fleet
from agaterudder.jobs import load as loads
from agaterudder.jobs import pool as pools

# Time from the order of a move to the first task, beyond the move itself.
JOIN_SECONDS = 0.2
# Shortage, as a fraction of a worker, below which a move does not pay off.
MIN_WORKER_FRACTION = 0.5
# Load shifts between pools: a machine that idles for this long in one pool
# is likely to be needed sooner in another.
IDLE_SECONDS = 0.6
# A worker that has run only long-running tasks for this long is drained;
# each of these tasks is unavailable for about a second.
LONG_RUNNING_ONLY_SECONDS = 2.0
# The drain is cancelled when long-running tasks found no other worker within
# this time.
DRAIN_TIMEOUT_SECONDS = 3.0
# After the loss of a worker, another must have capacity for its tasks.
MIN_WORKERS = 2
NOT_NEEDED = "not needed"
# The order of its move got no answer and may be carried out later.
MOVE_UNANSWERED = "move not answered"


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleUp:
    """Take machines from the standby pool.

    :ivar required: whether tasks could not run at all without them.
    """

    count: int
    reason: str
    required: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleDown:
    """Return the machines of workers to the standby pool."""

    workers: tuple[fleet.WorkerState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Move the long-running tasks of a worker to others, to release it."""

    worker: fleet.WorkerState


@dataclasses.dataclass(frozen=True, slots=True)
class Uncordon:
    """Cancel the drain of a worker that was to be released."""

    worker: fleet.WorkerState


@dataclasses.dataclass(frozen=True, slots=True)
class NoChange:
    """Keep the present size."""


Decision = ScaleUp | ScaleDown | Drain | Uncordon | NoChange


def decide(state: pools.Pool, joining: int, now: float) -> Decision:
    """Decide on the size of a pool.

    :param joining: machines that were ordered and have not joined yet.
    """
    workers = [
        worker
        for worker in state.workers.values()
        if worker.registered and not worker.cordon_reason
    ]
    usable = [
        worker for worker in workers if _provides_capacity(state, worker, now)
    ]
    present = len(usable) + joining
    spread = loads.min_workers_for_spread(state)
    join_seconds = state.bounds.move + JOIN_SECONDS
    load = loads.measure(state, usable, joining, join_seconds, now)
    shortage = load.shortage(join_seconds)
    scale_up = (
        load.offered + load.waiting > 0 and shortage > MIN_WORKER_FRACTION
    )
    draining = _draining_worker(state)
    if draining is not None:
        decision = _continue_drain(draining, present < spread or scale_up, now)
        if not isinstance(decision, NoChange):
            return decision
    if present < spread:
        return ScaleUp(
            spread - present,
            "long-running tasks must spread over more workers",
            required=True,
        )
    if scale_up:
        return ScaleUp(
            math.ceil(shortage - MIN_WORKER_FRACTION),
            f"load {load.offered:.1f} and backlog {load.waiting:.1f}, "
            f"capacity {load.capacity:.1f}",
        )
    steps = [] if joining else loads.steps_without_room(state, usable, now)
    if steps:
        return ScaleUp(
            loads.workers_for(state, steps, usable),
            f"tasks of {steps[0].name} have room on no worker",
            required=True,
        )
    idle = _idle([worker for worker in workers if worker not in usable], now)
    if idle:
        return ScaleDown(tuple(idle))
    floor = max(spread, MIN_WORKERS)
    if draining is not None:
        # Its long-running tasks may need room for one more.
        floor += 1
    spare = min(present - floor, math.floor(load.surplus))
    if spare <= 0 or state.recovery.pending(now):
        return NoChange()
    return _release_workers(usable, spare, draining is None, now)


def _draining_worker(state: pools.Pool) -> fleet.WorkerState | None:
    """Return the worker that is being drained to be released."""
    return next(
        (
            worker
            for worker in state.workers.values()
            if worker.cordon_reason == NOT_NEEDED
            and worker.registered
            and not worker.terminated
        ),
        None,
    )


def _continue_drain(
    worker: fleet.WorkerState, needed: bool, now: float
) -> Decision:
    """Decide on a worker that is being drained.

    :param needed: whether the pool needs it after all.
    """
    if needed or now - worker.cordoned_since > DRAIN_TIMEOUT_SECONDS:
        return Uncordon(worker)
    return ScaleDown((worker,)) if worker.drained else NoChange()


def _release_workers(
    workers: list[fleet.WorkerState], limit: int, may_drain: bool, now: float
) -> ScaleDown | Drain | NoChange:
    """Release idle workers, else drain one.

    :param may_drain: whether no other worker is being drained.
    """
    idle = _idle(workers, now)
    if idle:
        return ScaleDown(tuple(idle[:limit]))
    if not may_drain:
        return NoChange()
    long_running_only = [
        worker
        for worker in workers
        if worker.fenced
        and worker.runs
        and worker.long_running_count == len(worker.runs)
        and now - worker.busy_at > LONG_RUNNING_ONLY_SECONDS
    ]
    if not long_running_only:
        return NoChange()
    return Drain(
        min(long_running_only, key=lambda worker: worker.long_running_count)
    )


def _idle(
    workers: list[fleet.WorkerState], now: float
) -> list[fleet.WorkerState]:
    """Return the idle workers, the longest idle first."""
    idle = [
        worker
        for worker in workers
        if worker.drained
        and worker.fenced
        and not worker.terminated
        and not worker.unresponsive(now)
        and now - worker.idle_since > IDLE_SECONDS
    ]
    return sorted(idle, key=lambda worker: worker.idle_since)


def _provides_capacity(
    state: pools.Pool, worker: fleet.WorkerState, now: float
) -> bool:
    """Return whether a worker has capacity for tasks now or soon."""
    return (
        not worker.terminated
        and not worker.unresponsive(now)
        and worker.registration.data_centre not in state.taken_out
    )
