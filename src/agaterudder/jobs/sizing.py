"""Decides how many machines a pool should have.

Machines come from a pool on standby when more work arrives than the pool
can do, early enough to be there when it is needed, and go back when they
are idle. Amounts are counted in workers: the part of a worker's room that
is taken, times the seconds for work.
"""

import collections
import dataclasses
import math

from agaterudder.jobs import fleet
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder import resources

# Between the order of a move and the first task, beside the move itself.
JOIN_SECONDS = 0.2
# Work that is behind when a machine joins is to be done within this time.
CATCH_UP_SECONDS = 1.5
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
WORKER_SIZE = resources.Vector(16.0, 32_000.0, 8.0)


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


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a pool has to do, and with how much.

    :ivar offered: work that arrives a second, in workers.
    :ivar waiting: work of the tasks that wait, in seconds of a worker.
    :ivar room: workers for tasks that end, those that join included.
    """

    offered: float
    waiting: float
    room: float

    def short(self, join_seconds: float) -> float:
        """Return the workers that are missing, negative for too many.

        :param join_seconds: until a machine that is ordered now can work.
        """
        missing = self.offered - self.room
        behind = self.waiting + missing * join_seconds
        return missing + max(behind, 0.0) / CATCH_UP_SECONDS


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
    spread = workers_to_spread(state)
    load = load_of(state, usable, coming, now)
    short = load.short(state.bounds.move + JOIN_SECONDS)
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


def load_of(
    state: pools.Pool,
    workers: list[fleet.WorkerState],
    coming: int,
    now: float,
) -> Load:
    """Return the load of a pool with its usable workers."""
    size = _size_of(workers)
    lasting = busy = work = wanted = resources.ZERO
    for worker in workers:
        for run in worker.runs.values():
            if run.task is None or run.task.step.step.long_running:
                lasting = lasting + run.size
            else:
                busy = busy + run.size
    for team, waiting in _waiting_by_team(state).items():
        lasting = lasting + waiting.lasting
        part = waiting.room.part_within(state.limits.headroom(team))
        wanted = wanted + waiting.room.scaled(part)
        work = work + waiting.work.scaled(part)
    rate = state.demand.rate(now)
    join_seconds = state.bounds.move + JOIN_SECONDS
    # A few large jobs are no steady load: no more room can be taken than
    # their tasks ask for.
    most = busy + wanted + rate.width.scaled(join_seconds)
    return Load(
        rate.work.smaller(most).dominant_share(size),
        work.dominant_share(size),
        len(workers) + coming - lasting.dominant_share(size),
    )


class _Waiting:
    """What waits of one team: room of its tasks, and their work."""

    __slots__ = ("lasting", "room", "work")

    def __init__(self) -> None:
        self.lasting = resources.ZERO
        self.room = resources.ZERO
        self.work = resources.ZERO


def _waiting_by_team(state: pools.Pool) -> dict[str, _Waiting]:
    found: dict[str, _Waiting] = collections.defaultdict(_Waiting)
    for step in state.ready.values():
        count = _waiting(step) if _counts(step) else 0
        if not count:
            continue
        room = state.room_of(step).scaled(count)
        waiting = found[step.job.job.team]
        if step.step.long_running:
            waiting.lasting = waiting.lasting + room
        else:
            seconds = state.estimates.seconds(step)
            waiting.room = waiting.room + room
            waiting.work = waiting.work + room.scaled(seconds)
    return found


def waiting_cores(state: pools.Pool) -> float:
    """Return the cores that waiting tasks ask for."""
    return sum(
        state.room_of(step).cores * _waiting(step)
        for step in state.ready.values()
        if step.ready_at and step.job.ending is None
    )


def _counts(step: runs.StepRun) -> bool:
    """Return whether machines are taken for the tasks of a step."""
    return (
        bool(step.ready_at)
        and step.job.ending is None
        and not step.job.beyond_share
    )


def _waiting(step: runs.StepRun) -> int:
    return sum(1 for task in step.tasks if task.waiting)


def workers_to_spread(state: pools.Pool) -> int:
    """Return the fewest workers that lasting tasks can be spread over."""
    return max(
        (
            math.ceil(step.step.count / step.step.most_per_worker)
            for step in state.ready.values()
            if step.step.long_running and step.step.most_per_worker
        ),
        default=0,
    )


def _size_of(workers: list[fleet.WorkerState]) -> resources.Vector:
    """Return the room of a worker of the pool, the largest there is."""
    largest = resources.ZERO
    for worker in workers:
        largest = largest.larger(worker.entry.size)
    return largest if largest.cores > 0 else WORKER_SIZE
