"""Crashes of workers under the runs of tasks.

A crash ends all runs of a worker, and one of them may have caused it. A task
that had just started is suspected at once, any other when it happens again.
A suspect starts apart from all others, so that the next crash tells.
"""

import logging
import typing as t

from agaterudder import codes
from agaterudder.jobs import fleet
from agaterudder.jobs import linelimit
from agaterudder.jobs import model
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder.jobs import suspects

LOG = logging.getLogger(__name__)

# A run that was sent this long before the first sign of a crash may have
# caused it by its start.
SUSPECT_AGE_SECONDS = 0.3
# A suspect that had only long-running tasks beside it is given up at this many
# crashes; one that was alone, at fewer.
MAX_CRASHES_ALONE = 2
MAX_CRASHES_APART = 3
LINES_PER_SECOND = 20

_lines = linelimit.LineLimit(LINES_PER_SECOND)


def worker_crashed(
    state: pools.Pool, worker: fleet.WorkerState, now: float
) -> None:
    """Record that a worker crashed under its runs."""
    for run in list(worker.runs.values()):
        run_crashed(state, run, now)


def run_crashed(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Record that the worker of a run crashed, once for each run number."""
    task = run.task
    if task is None or task.done or task.step.job.ending is not None:
        return
    progress = task.step.job.progress
    recorded = progress.crashes.setdefault(task.progress_key, [])
    if run.number in recorded:
        return
    recorded.append(run.number)
    _remove(progress.attempts, task.progress_key, run.number)
    state.journal.mark(task.step.job)
    first_sign = run.worker.unanswered_since or now
    just_started = run.sent_at > first_sign - SUSPECT_AGE_SECONDS
    found = suspects.evidence(task)
    if run.apart and _proven(run, just_started, found):
        give_up(state, task, found, run)
    elif just_started or found.total >= suspects.SUSPECT_CRASHES:
        _suspect(state, run, task, found, now)


def _proven(
    run: runs.Run, just_started: bool, found: suspects.Evidence
) -> bool:
    """Return whether the crash of its worker shows that a suspect caused it.

    :param just_started: whether it was started just before.
    """
    company = [
        other
        for other in run.worker.runs.values()
        if other.task is None
        or run.task is None
        or other.task.unit_name != run.task.unit_name
    ]
    if not company:
        return found.total >= MAX_CRASHES_ALONE
    return just_started and found.total >= MAX_CRASHES_APART


def _suspect(
    state: pools.Pool,
    run: runs.Run,
    task: runs.Task,
    found: suspects.Evidence,
    now: float,
) -> None:
    state.suspects.add(task)
    state.metrics.count("crashes_suspected", pool=state.name)
    if not _lines.take(now):
        return
    LOG.info(
        "task suspected of crashing its worker",
        extra={
            "pool": state.name,
            "task": task.name,
            "run": run.number,
            "worker": run.worker.name,
            "state": run.state.value,
            "age": round(now - run.sent_at, 3),
            "beside": len(run.worker.runs) - 1,
            "apart": run.apart,
            "crashes": found.crashes,
            "unresolved": found.unresolved,
        },
    )


def give_up(
    state: pools.Pool,
    task: runs.Task,
    found: suspects.Evidence,
    run: runs.Run | None = None,
) -> None:
    """End the job of a task that crashes its workers as failed.

    :param run: the run under which the last worker crashed, None when only
        the stored attempts of earlier holders show it.
    """
    job = task.step.job
    code = codes.Result.CRASHES_WORKERS
    progress = job.progress
    LOG.warning(
        "job given up: its task crashes workers",
        extra={
            "pool": state.name,
            "job": job.job.job,
            "queue": job.job.queue,
            "team": job.job.team,
            "task": task.name,
            "crashes": progress.crashes.get(task.progress_key, []),
            "attempts": progress.attempts.get(task.progress_key, []),
            "worker": run.worker.name if run is not None else "",
            "beside": len(run.worker.runs) - 1 if run is not None else 0,
        },
    )
    state.metrics.count("jobs_given_up", pool=state.name, code=str(code.value))
    state.suspects.discard(task)
    state.finish_job(
        job,
        model.STATE_FAILED,
        f"{found.total} workers crashed under task {task.name}",
        0.0,
        code,
    )


def prepare(state: pools.Pool, task: runs.Task) -> None:
    """Record an attempt that is to be stored before its start."""
    job = task.step.job
    number = state.next_run()
    job.progress.attempts.setdefault(task.progress_key, []).append(number)
    state.journal.mark(job)
    task.prepared = runs.Prepared(number, state.journal.marked)


def take_stored(state: pools.Pool, task: runs.Task) -> int | None:
    """Return the number of a prepared attempt once it is stored."""
    prepared = task.prepared
    if prepared is None or state.journal.stored < prepared.mark:
        return None
    task.prepared = None
    return prepared.number


def withdraw(state: pools.Pool, run: runs.Run) -> None:
    """Remove the attempt of a run that no crash ended."""
    if run.task is not None:
        _settle(state, run.task, run.number)


def run_listed(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Apply that a worker lists a run as running."""
    task = run.task
    if task is None or not run.attempt:
        return
    found = suspects.evidence(task)
    if now - run.running_since < found.alone_seconds:
        return
    run.attempt = False
    _settle(state, task, run.number)
    if run.apart:
        run.apart = False
        state.suspects.discard(task)


def run_ended(state: pools.Pool, task: runs.Task, number: int) -> None:
    """Apply that a worker lists the end of a run: it did not crash."""
    progress = task.step.job.progress
    if _remove(progress.crashes, task.progress_key, number):
        state.journal.mark(task.step.job)
    _settle(state, task, number)
    found = suspects.evidence(task)
    if found.total < suspects.REPEATED_CRASHES:
        state.suspects.discard(task)


def adopt(state: pools.Pool, run: runs.Run) -> None:
    """Watch a run of an earlier holder that was stored before its start."""
    task = run.task
    if task is None:
        return
    attempts = task.step.job.progress.attempts.get(task.progress_key, ())
    run.attempt = run.number in attempts
    run.apart = run.attempt and task in state.suspects


def _settle(state: pools.Pool, task: runs.Task, number: int) -> None:
    job = task.step.job
    if _remove(job.progress.attempts, task.progress_key, number):
        state.journal.mark(job)


def _remove(
    stored: t.MutableMapping[str, list[int]], key: str, number: int
) -> bool:
    """Remove a number; return whether it was there."""
    numbers = stored.get(key)
    if numbers is None or number not in numbers:
        return False
    numbers.remove(number)
    if not numbers:
        del stored[key]
    return True
