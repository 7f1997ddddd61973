"""Decides which runs of a leaving worker are stopped, and when."""

from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import runs

# How long tasks with an end may go on before they are stopped.
PATIENCE_SECONDS = 4.0
# Part of the time that a draining worker grants.
DRAIN_PART = 0.75


def runs_to_stop(
    worker: fleet.WorkerState,
    bounds: deployment.Bounds,
    has_place: bool,
    now: float,
) -> list[runs.Run]:
    """Return the runs of a leaving worker that are to be stopped now.

    A lasting task is stopped while enough others of its step are at work,
    one of a step at a time. Other tasks may end by themselves for a while.

    :param has_place: whether lasting tasks find room elsewhere.
    """
    patience = PATIENCE_SECONDS
    if worker.draining:
        patience = bounds.drain * DRAIN_PART
    waited = now - worker.leaving_since
    chosen: list[runs.Run] = []
    steps: set[str] = set()
    for run in worker.runs.values():
        if run.stop_reason or run.task is None:
            continue
        step = run.task.step
        if not step.step.long_running:
            if waited > patience:
                chosen.append(run)
            continue
        if step.name in steps or run.state is not runs.RunState.RUNNING:
            continue
        late = waited > patience
        if not worker.draining and not _settled(step, bounds.stop):
            continue
        if may_stop(run, worker.draining) and (has_place or late):
            chosen.append(run)
            steps.add(step.name)
    return chosen


def may_stop(run: runs.Run, draining: bool) -> bool:
    """Return whether a lasting task may be taken away now.

    One that starts up may be at work by the time that the stop arrives.
    """
    assert run.task is not None
    if draining:
        return True
    step = run.task.step
    others_away = step.away() - (0 if run.at_work else 1)
    return others_away < max(step.step.may_miss, 1)


def _settled(step: runs.StepRun, stop_seconds: float) -> bool:
    """Return whether it is known which tasks earlier holders stopped."""
    return all(
        run.worker.settled(stop_seconds)
        for task in step.tasks
        for run in task.runs
    )
