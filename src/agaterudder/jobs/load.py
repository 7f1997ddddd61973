"""What a pool has to do, and with how much room.

Amounts are counted in workers: the part of a worker's room that is taken,
times the seconds for work.
"""

import collections
import dataclasses
import math

from agaterudder.jobs import fleet
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder import resources

# Work that is behind when a machine joins is to be done within this time.
CATCH_UP_SECONDS = 1.5
WORKER_SIZE = resources.Vector(16.0, 32_000.0, 8.0)


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


def measure(
    state: pools.Pool,
    workers: list[fleet.WorkerState],
    coming: int,
    join_seconds: float,
    now: float,
) -> Load:
    """Return the load of a pool.

    :param workers: those that have, or will soon have, room for tasks.
    :param coming: machines that were ordered and have not joined yet.
    :param join_seconds: until a machine that is ordered now can work.
    """
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
