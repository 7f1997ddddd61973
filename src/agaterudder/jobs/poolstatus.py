"""Figures of a pool for its status line and metrics."""

import dataclasses

from agaterudder.jobs import pool as pools


@dataclasses.dataclass(frozen=True, slots=True)
class FirstStarts:
    """Jobs that wait for their first start.

    :ivar longest: seconds that the oldest of them has waited.
    :ivar late: those that have waited longer than the target of their queue.
    """

    longest: float
    late: int


def first_starts(state: pools.Pool, now: float) -> FirstStarts:
    """Return how long jobs wait for their first start."""
    longest = 0.0
    late = 0
    for job in state.jobs.values():
        waited = job.first_start_wait(now)
        if waited is None:
            continue
        longest = max(longest, waited)
        queue = state.queues.get(job.job.queue)
        if queue is not None and waited > queue.target_seconds:
            late += 1
    return FirstStarts(longest, late)


def unacknowledged_ends(state: pools.Pool) -> int:
    """Return how many ends were applied and not acknowledged."""
    return sum(
        worker.last_end_number - worker.acknowledged_end
        for worker in state.workers.values()
        if worker.last_end_number > worker.acknowledged_end
    )


def pending_counts(state: pools.Pool) -> dict[str, int]:
    """Return the number of jobs without a started task, by queue."""
    counts: dict[str, int] = {}
    for job in state.jobs.values():
        if not job.started and job.ending is None:
            queue = job.job.queue
            counts[queue] = counts.get(queue, 0) + 1
    return counts
