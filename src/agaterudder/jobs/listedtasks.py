"""Tasks of the runs that workers list."""

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports


def find(state: pools.Pool, name: str, now: float) -> jobruns.Task | None:
    """Return the task of a listed run, None when its job is unknown.

    Creates the occurrences up to that of the task: as it was started,
    they are due even if the local clock is behind.
    """
    job = state.jobs.get(name.partition(".")[0])
    if job is None:
        return None
    for step in job.create_up_to(name, now):
        if job.ending is None:
            state.add_step(step)
    return job.task(name)


def unknown_reason(state: pools.Pool, task: str) -> str:
    """Return why the task of a listed end is not known."""
    job = task.partition(".")[0]
    if job in state.ended_jobs:
        return "job is stored as ended"
    if job in state.jobs:
        return "job has no such task"
    return "job is not loaded"


def report_duplicates(
    state: pools.Pool,
    task: jobruns.Task,
    worker: fleet.WorkerState,
    number: int,
    outcome: str,
) -> None:
    """Report and count other runs of a task that must have only one.

    :param number: the run that was listed.
    :param outcome: how it was listed: running or done.
    """
    count = poolreports.duplicate_runs(task, worker, number, outcome)
    if count:
        state.metrics.count("duplicate_runs", count, pool=state.name)
