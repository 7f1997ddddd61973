"""Load and capacity of a pool.

The unit is one worker: sizes are fractions of the capacity of a worker,
work is such a fraction multiplied by seconds.
"""

import collections
import dataclasses
import math

from agaterudder.jobs import demand
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import suspects
from agaterudder import resources

# Time in which the backlog present when a machine joins is to be worked off.
CATCH_UP_SECONDS = 1.5
# A task that fits on no worker waits this long before a machine is ordered for
# it, so that a worker that joins or restarts is seen first.
FIT_WAIT_SECONDS = 0.5
# In workers. The smallest pool has room for what a smaller load varies by.
MIN_VARYING_LOAD = 1.0
DEFAULT_WORKER_SIZE = resources.Vector(16.0, 32_000.0, 8.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load and capacity of a pool.

    :ivar offered: work that arrives each second, in workers, with what it
        exceeds its mean by now and then.
    :ivar waiting: work of the waiting tasks, in worker-seconds.
    :ivar capacity: workers for tasks that are not long-running, joining
        workers included.
    """

    offered: float
    waiting: float
    capacity: float

    def shortage(self, join_seconds: float) -> float:
        """Return the number of missing workers, negative without any.

        :param join_seconds: time until a machine ordered now can work.
        """
        missing = self.offered - self.capacity
        backlog = self.waiting + missing * join_seconds
        return missing + max(backlog, 0.0) / CATCH_UP_SECONDS

    @property
    def surplus(self) -> float:
        """Number of workers that neither arrivals nor the backlog need."""
        needed = self.offered + self.waiting / CATCH_UP_SECONDS
        return self.capacity - needed


def measure(
    state: pools.Pool,
    workers: list[fleet.WorkerState],
    joining: int,
    join_seconds: float,
    now: float,
) -> Load:
    """Return the load of a pool.

    :param workers: those that have capacity for tasks now or soon.
    :param joining: machines that were ordered and have not joined yet.
    :param join_seconds: time until a machine ordered now can work.
    """
    size = _size_of(workers)
    long_running = busy = work = wanted = resources.ZERO
    for worker in workers:
        for run in worker.runs.values():
            if run.task is None or run.task.step.step.long_running:
                long_running = long_running + run.size
            else:
                busy = busy + run.size
    for team, waiting in _waiting_by_team(state).items():
        long_running = long_running + waiting.long_running
        fraction = waiting.size.fitting_fraction(
            state.limits.headroom(team, now)
        )
        wanted = wanted + waiting.size.scaled(fraction)
        work = work + waiting.work.scaled(fraction)
    rate = state.demand.rate(now)
    # A few large jobs are no steady load: the load is capped at the size of
    # the tasks that run, wait or are expected until a machine can join.
    usable = busy + wanted + rate.peak_size.scaled(join_seconds)
    # A suspect uses a whole worker, however small it is.
    apart = len(state.suspects.waiting(now)) * suspects.ALONE_SECONDS
    mean = rate.work.elementwise_min(usable).dominant_share(size)
    return Load(
        mean + variation(mean, rate, size),
        work.dominant_share(size) + apart,
        len(workers) + joining - long_running.dominant_share(size),
    )


def variation(
    mean: float, rate: demand.ArrivalRate, size: resources.Vector
) -> float:
    """Return by how many workers the load exceeds its mean now and then.

    Jobs arrive independently, and the tasks of one at once: the deviation of
    the load grows with its square root (square-root staffing).

    :param mean: mean load, in workers.
    :param size: size of a worker.
    """
    if mean < MIN_VARYING_LOAD:
        return 0.0
    job_size = rate.peak_size.scaled(1.0 / rate.jobs).dominant_share(size)
    return math.sqrt(mean * job_size)


class _Waiting:
    """Waiting tasks of one team: their sizes and their work.

    :ivar long_running: sizes of its long-running tasks.
    :ivar size: sizes of its other tasks.
    :ivar work: size times expected seconds of its other tasks.
    """

    __slots__ = ("long_running", "size", "work")

    def __init__(self) -> None:
        self.long_running = resources.ZERO
        self.size = resources.ZERO
        self.work = resources.ZERO


def _waiting_by_team(state: pools.Pool) -> dict[str, _Waiting]:
    found: dict[str, _Waiting] = collections.defaultdict(_Waiting)
    for step in state.ready.values():
        count = _waiting(step) if _counts_as_demand(step) else 0
        if not count:
            continue
        size = state.reserved_size(step).scaled(count)
        waiting = found[step.job.job.team]
        if step.step.long_running:
            waiting.long_running = waiting.long_running + size
        else:
            seconds = state.estimates.seconds(step)
            waiting.size = waiting.size + size
            waiting.work = waiting.work + size.scaled(seconds)
    return found


def waiting_cores(state: pools.Pool) -> float:
    """Return the sum of the cores of the waiting tasks."""
    return sum(
        state.reserved_size(step).cores * _waiting(step)
        for step in state.ready.values()
        if step.ready_at and step.job.ending is None
    )


def _counts_as_demand(step: jobruns.StepRun) -> bool:
    """Return whether the pool may scale up for the tasks of a step."""
    return (
        bool(step.ready_at)
        and step.job.ending is None
        and not step.job.over_submission_rate
    )


def _waiting(step: jobruns.StepRun) -> int:
    return sum(1 for task in step.tasks if task.waiting)


def steps_without_room(
    state: pools.Pool, workers: list[fleet.WorkerState], now: float
) -> list[jobruns.StepRun]:
    """Return steps whose tasks have no room beside long-running tasks.

    Room that short tasks use becomes free; a task that needs more than the
    long-running ones leave on any worker would wait until they are moved.

    A task that is larger than a worker gets none, nor does one that needs a
    label, which a further machine may lack.

    :param workers: those that have capacity for tasks now or soon.
    """
    sizes = [worker.registration.size for worker in workers]
    return [
        step
        for step in state.ready.values()
        if step.ready_at
        and not step.step.required_label
        and any(
            state.reserved_size(step).fits_in(size)
            for size in sizes or (DEFAULT_WORKER_SIZE,)
        )
        and step.job.ending is None
        and now - step.ready_at > FIT_WAIT_SECONDS
        and _waiting(step)
        and step.step.size.fits_in(
            state.limits.headroom(step.job.job.team, now)
        )
        and not any(
            state.reserved_size(step).fits_in(worker.free_without_short_tasks)
            and _within_limit(step, worker)
            for worker in workers
        )
    ]


def _within_limit(step: jobruns.StepRun, worker: fleet.WorkerState) -> bool:
    """Return whether a worker may take a task once its short ones ended."""
    return not step.step.long_running or step.within_worker_limit(worker.name)


def workers_for(
    state: pools.Pool,
    steps: list[jobruns.StepRun],
    workers: list[fleet.WorkerState],
) -> int:
    """Return how many more workers have room for steps that have none.

    Their long-running tasks stay, so that there is to be room for all of
    them; of the others, one after the other can use the same worker.

    :param workers: those that have capacity for tasks now or soon.
    """
    size = _size_of(workers)
    long_running = resources.ZERO
    for step in steps:
        if step.step.long_running:
            need = state.reserved_size(step).scaled(_waiting(step))
            long_running = long_running + need
    return max(math.ceil(long_running.dominant_share(size)), 1)


def min_workers_for_spread(state: pools.Pool) -> int:
    """Return the fewest workers that meet all per-worker limits."""
    return max(
        (
            math.ceil(step.step.count / step.step.max_per_worker)
            for step in state.ready.values()
            if step.step.long_running and step.step.max_per_worker
        ),
        default=0,
    )


def _size_of(workers: list[fleet.WorkerState]) -> resources.Vector:
    """Return the size of the largest worker of the pool."""
    largest = resources.ZERO
    for worker in workers:
        largest = largest.elementwise_max(worker.registration.size)
    return largest if largest.cores > 0 else DEFAULT_WORKER_SIZE
