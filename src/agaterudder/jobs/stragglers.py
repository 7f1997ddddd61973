"""Finds tasks that are held up by their worker, by the progress listed.

Tasks of one step are alike; a run that is far slower than the others of its
step on other workers is not a long task but a slow or stuck worker.
"""

import statistics

from agaterudder.jobs import runs

# Progress of a shorter run says little.
LEAST_SECONDS = 0.8
SLOWER_FACTOR = 3.0
# Starting again costs the stop and the work done; a task is moved once.
MOST_MOVES = 1
GAIN_FACTOR = 1.5


def held_up(run: runs.Run, stop_seconds: float) -> bool:
    """Return whether starting a run again elsewhere would end it sooner.

    :param stop_seconds: longest time that a stop takes.
    """
    task = run.task
    # Tasks away from their data or from each other are slow by themselves.
    if (
        task is None
        or task.step.step.long_running
        or task.step.step.gang
        or task.step.step.rack_local
        or task.step.step.data_rack not in ("", run.worker.entry.rack)
        or run.state is not runs.RunState.RUNNING
        or run.stop_reason
        or task.moves >= MOST_MOVES
    ):
        return False
    worked = run.listed_at - run.working_since
    if not run.working_since or worked < LEAST_SECONDS:
        return False
    usual = usual_seconds(task.step, run)
    if usual is None:
        return False
    rate = run.progress / worked
    if rate * usual * SLOWER_FACTOR >= 100.0:
        return False
    left = (100.0 - run.progress) / rate if rate > 0 else float("inf")
    return left > GAIN_FACTOR * (usual + stop_seconds)


def usual_seconds(step: runs.StepRun, besides: runs.Run) -> float | None:
    """Return what a task of a step takes on workers other than a run's.

    None when nothing is known of them.
    """
    found = [
        seconds
        for worker, seconds in step.durations
        if worker != besides.worker.name
    ]
    for task in step.tasks:
        for run in task.runs:
            worked = run.listed_at - run.working_since
            if (
                run.worker is not besides.worker
                and run.progress > 0
                and worked >= LEAST_SECONDS
            ):
                found.append(worked * 100.0 / run.progress)
    return statistics.median(found) if found else None
