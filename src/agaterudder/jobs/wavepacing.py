"""Decides when the machines of a maintenance wave are started.

As long as there is time, few machines of a pool are down at once, and none
while it has much waiting work. Each is started early enough to be done in
time.
"""

import collections
import dataclasses
import math
import typing as t

from agaterudder.jobs import fleet

# Time for the maintenance of a machine whose worker is drained soon.
MACHINE_SECONDS = 5.0
# Long-running tasks of one step are stopped one after the other: each starts
# up elsewhere before the next is stopped.
LONG_RUNNING_STOP_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far a wave is in one pool.

    :ivar left: seconds in which the remaining machines are to be done.
    :ivar room: how many more machines may be down.
    :ivar in_progress: machines of the pool that were started.
    :ivar concurrency: machines of the pool that may be in progress while
        there is time.
    :ivar low_load: whether the pool can do without a machine.
    """

    left: float
    room: int
    in_progress: int
    concurrency: int
    low_load: bool


def needed_seconds(worker: fleet.WorkerState | None) -> float:
    """Return how long the maintenance of a machine takes.

    :param worker: its worker, None when it has none.
    """
    if worker is None:
        return MACHINE_SECONDS
    tasks_by_step = collections.Counter(
        run.task.step.name
        for run in worker.runs.values()
        if run.task is not None and run.task.step.step.long_running
    )
    stops = max(tasks_by_step.values(), default=1)
    return MACHINE_SECONDS + (stops - 1) * LONG_RUNNING_STOP_SECONDS


def to_start(needed: t.Sequence[float], progress: Progress) -> list[int]:
    """Return which machines are started now, as indexes.

    :param needed: how long each of those that may be next takes, in the
        order in which they are preferred while there is time.
    """
    urgent = [
        index
        for index, seconds in enumerate(needed)
        if progress.left <= seconds
    ]
    urgent.sort(key=lambda index: -needed[index])
    others = [index for index in range(len(needed)) if index not in urgent]
    quota = max(_quota(len(needed), progress), len(urgent))
    return [*urgent, *others][: max(min(quota, progress.room), 0)]


def _quota(candidates: int, progress: Progress) -> int:
    """Return how many machines may be started, however long they take."""
    concurrency = progress.concurrency
    seconds = MACHINE_SECONDS * math.ceil(candidates / concurrency)
    short_of_time = progress.left <= seconds
    if not short_of_time and not progress.low_load:
        return 0
    rounds = max(progress.left / MACHINE_SECONDS, 1.0)
    concurrency = max(concurrency, math.ceil(candidates / rounds))
    return concurrency - progress.in_progress
