"""Finds stragglers by the progress that the workers list.

Tasks of one step are alike: when a run is far slower than those of its step
on other workers, the cause is a slow or stuck worker and not a long task.
"""

import statistics

from agaterudder.jobs import jobruns
from agaterudder.jobs import runs

# The progress of a shorter run is no reliable measure of its speed.
MIN_OBSERVED_SECONDS = 0.8
SLOWDOWN_FACTOR = 3.0
# A restart costs the stop and the work done, so a task is restarted once.
MAX_RESTARTS = 1
MIN_SPEEDUP_FACTOR = 1.5


def is_straggler(run: runs.Run, stop_seconds: float) -> bool:
    """Return whether a restart on another worker would complete it sooner.

    :param stop_seconds: longest time that a stop takes.
    """
    task = run.task
    # Tasks outside the rack of their data, or spread over racks, are slow
    # because of their placement.
    if (
        task is None
        or task.step.step.long_running
        or task.step.step.gang
        or task.step.step.rack_local
        or task.step.step.data_rack not in ("", run.worker.registration.rack)
        or run.state is not runs.RunState.RUNNING
        or run.stop_reason
        or task.straggler_restarts >= MAX_RESTARTS
    ):
        return False
    worked = run.listed_at - run.running_since
    if not run.running_since or worked < MIN_OBSERVED_SECONDS:
        return False
    usual = usual_seconds(task.step, run)
    if usual is None:
        return False
    rate = run.progress / worked
    if rate * usual * SLOWDOWN_FACTOR >= 100.0:
        return False
    left = (100.0 - run.progress) / rate if rate > 0 else float("inf")
    return left > MIN_SPEEDUP_FACTOR * (usual + stop_seconds)


def usual_seconds(step: jobruns.StepRun, excluded: runs.Run) -> float | None:
    """Return the median duration of a step's tasks on other workers.

    None when none is known.

    :param excluded: run whose worker is left out.
    """
    found = [
        seconds
        for worker, seconds in step.durations
        if worker != excluded.worker.name
    ]
    for task in step.tasks:
        for run in task.runs:
            worked = run.listed_at - run.running_since
            if (
                run.worker is not excluded.worker
                and run.progress > 0
                and worked >= MIN_OBSERVED_SECONDS
            ):
                found.append(worked * 100.0 / run.progress)
    return statistics.median(found) if found else None
