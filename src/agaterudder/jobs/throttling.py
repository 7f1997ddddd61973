"""Decides how fast tasks that use leftover time may work on a worker.

They slow down the tasks that serve users beside them, by amounts that
nobody tells; what counts is the tail of the serving tasks' response times.
"""

from agaterudder.jobs import fleet

FULL_PERCENT = 100
# Below this much there is no use in going on.
LEAST_PERCENT = 20
RAISE_PERCENT = 20
# The tail is a figure of the last half second; a change shows after it.
SETTLE_SECONDS = 0.55
# Well below its target for so long, a serving task can take more.
CALM_SECONDS = 2.0
CALM_PART = 0.7
# Slow down before the target is reached.
NEAR_PART = 0.9


def share(worker: fleet.WorkerState, now: float) -> int:
    """Return the share of their speed that filling tasks may use.

    Notes in the worker when the share was changed and since when all
    serving tasks are calm.
    """
    loads = [
        run.reading / run.task.step.step.target_seconds
        for run in worker.runs.values()
        if run.task is not None
        and run.reading is not None
        and run.task.step.step.target_seconds > 0
    ]
    worst = max(loads, default=0.0)
    if worst > CALM_PART:
        worker.calm_since = now
    settled = now - worker.throttled_at >= SETTLE_SECONDS
    if worst > NEAR_PART and settled:
        lower = worker.fill_percent // 2
        _set(worker, lower if lower >= LEAST_PERCENT else 0, now)
    elif now - worker.calm_since >= CALM_SECONDS and settled:
        raised = min(worker.fill_percent + RAISE_PERCENT, FULL_PERCENT)
        _set(worker, raised, now)
    return worker.fill_percent


def _set(worker: fleet.WorkerState, percent: int, now: float) -> None:
    if percent != worker.fill_percent:
        worker.fill_percent = percent
        worker.throttled_at = now
