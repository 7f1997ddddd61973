"""Chooses runs of lower priority that make way for a waiting task.

A priority is a number, lower is more urgent.
"""

import functools
import itertools
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder import resources

# Shortest time between two preemptions for the same task.
PREEMPT_RETRY_SECONDS = 1.0
PriorityOf = t.Callable[[jobruns.StepRun], int]


class Preemption:
    """Preemption in one scheduling round.

    :param usable: workers that accept tasks.
    :param now: seconds of this machine's monotonic clock.
    """

    def __init__(
        self,
        state: pools.Pool,
        usable: t.Sequence[fleet.WorkerState],
        now: float,
    ) -> None:
        self._state = state
        self._usable = usable
        self._now = now

    def preempt(
        self,
        step: jobruns.StepRun,
        task: jobruns.Task,
        candidates: list[fleet.WorkerState],
    ) -> bool:
        """Mark runs of lower priority to be stopped, to free capacity.

        :param candidates: workers on which the task may run.
        :returns: whether runs are to be stopped.
        """
        if self._now - task.last_preemption_at < PREEMPT_RETRY_SECONDS:
            return False
        priority = self._priority(step)
        if self._least_urgent is None or self._least_urgent <= priority:
            return False
        victims = choose_victims(
            (
                worker
                for worker in candidates
                if step.within_worker_limit(worker.name)
            ),
            self._state.reserved_size(step),
            priority,
            self._priority,
            self._now,
        )
        if not victims:
            return False
        task.last_preemption_at = self._now
        for run in victims:
            run.stop_reason = f"room for {task.name}"
        return True

    @functools.cached_property
    def _least_urgent(self) -> int | None:
        """Least urgent priority that can be preempted in this round."""
        return least_urgent(self._usable, self._priority)

    def _priority(self, step: jobruns.StepRun) -> int:
        return self._state.queue_of(step).priority


def least_urgent(
    workers: t.Iterable[fleet.WorkerState], priority_of: PriorityOf
) -> int | None:
    """Return the least urgent priority that runs, None without a run.

    Long-running tasks don't count: they are not preempted.
    """
    queues = {
        run.task.step.job.job.queue: run.task.step
        for worker in workers
        for run in worker.runs.values()
        if run.task is not None and not run.task.step.step.long_running
    }
    return max(map(priority_of, queues.values()), default=None)


def choose_victims(
    workers: t.Iterable[fleet.WorkerState],
    need: resources.Vector,
    priority: int,
    priority_of: PriorityOf,
    now: float,
) -> list[runs.Run]:
    """Return the runs of one worker to stop for a waiting task.

    Of all workers, it is the one on which the least work is lost. The list
    is empty when no worker has enough to stop.

    :param workers: those on which the task may run.
    :param priority: priority of the waiting task.
    """
    options = [
        victims
        for worker in workers
        if (victims := _victims(worker, need, priority, priority_of))
    ]
    return min(
        options, key=lambda victims: _lost_work(victims, now), default=[]
    )


def _victims(
    worker: fleet.WorkerState,
    need: resources.Vector,
    priority: int,
    priority_of: PriorityOf,
) -> list[runs.Run]:
    """Return the runs to stop on a worker to free the needed capacity.

    The latest started are chosen first. The list is empty when the runs
    that are being stopped already free enough, or when all runs of lower
    priority together would not.
    """
    lower = sorted(
        (
            run
            for run in worker.runs.values()
            if run.task is not None
            and not run.task.step.step.long_running
            and priority_of(run.task.step) > priority
        ),
        key=lambda run: -run.running_since,
    )
    freed = worker.free
    stopping = [run for run in worker.runs.values() if run.stop_reason]
    for run in stopping:
        freed = freed + run.size
    if need.fits_in(freed):
        return []
    for count, run in enumerate(lower, 1):
        if run.stop_reason:
            continue
        freed = freed + run.size
        if need.fits_in(freed):
            return list(
                itertools.filterfalse(
                    lambda item: item.stop_reason, lower[:count]
                )
            )
    return []


def _lost_work(victims: list[runs.Run], now: float) -> float:
    """Return the core-seconds since the start of the runs."""
    return sum(
        (now - run.running_since) * run.size.cores
        for run in victims
        if run.running_since
    )
