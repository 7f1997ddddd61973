"""Decides which runs of a cordoned worker are stopped, and when."""

from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import runs

# Time that tasks other than long-running ones get to end by themselves.
GRACE_SECONDS = 4.0
# Fraction of the drain time of a worker that shuts down, after which its
# tasks are stopped.
DRAIN_GRACE_FRACTION = 0.75


def runs_to_stop(
    worker: fleet.WorkerState,
    bounds: deployment.Bounds,
    fits_elsewhere: bool,
    now: float,
) -> list[runs.Run]:
    """Return the runs of a cordoned worker that are to be stopped now.

    Long-running tasks are stopped one of a step at a time, while enough
    others of the step are available. Other tasks are stopped after a grace
    time.

    :param fits_elsewhere: whether its long-running tasks fit on other
        workers.
    """
    grace_seconds = GRACE_SECONDS
    if worker.draining:
        grace_seconds = bounds.drain * DRAIN_GRACE_FRACTION
    waited = now - worker.cordoned_since
    chosen: list[runs.Run] = []
    steps: set[str] = set()
    for run in worker.runs.values():
        if run.stop_reason or run.task is None:
            continue
        step = run.task.step
        if not step.step.long_running:
            if waited > grace_seconds:
                chosen.append(run)
            continue
        if step.name in steps or run.state is not runs.RunState.RUNNING:
            continue
        overdue = waited > grace_seconds
        if not worker.draining and not _earlier_stops_visible(
            step, bounds.stop
        ):
            continue
        if worker.draining:
            allowed = overdue or not _other_stop_pending(run)
        else:
            allowed = may_stop(run, now)
        if allowed and (fits_elsewhere or overdue):
            chosen.append(run)
            steps.add(step.name)
    return chosen


def may_stop(run: runs.Run, now: float) -> bool:
    """Return whether a long-running task may be stopped now.

    A task that starts up counts as available, as it may be by the time that
    the stop arrives.
    """
    assert run.task is not None
    step = run.task.step
    others_unavailable = step.unavailable_tasks(now)
    if not run.available(now):
        others_unavailable -= 1
    return others_unavailable < max(step.step.max_unavailable, 1)


def _other_stop_pending(run: runs.Run) -> bool:
    """Return whether another task of its step is being stopped.

    Tasks on workers that shut down don't count, as they end in any case.
    """
    assert run.task is not None
    return any(
        other.stop_reason and not other.worker.draining
        for task in run.task.step.tasks
        for other in task.runs
        if other is not run
    )


def _earlier_stops_visible(step: jobruns.StepRun, stop_seconds: float) -> bool:
    """Return whether the listings show all stops of earlier holders."""
    return all(
        run.worker.earlier_stops_visible(stop_seconds)
        for task in step.tasks
        for run in task.runs
    )
