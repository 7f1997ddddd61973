"""Runs that are stored before their start, so that no crash is forgotten.

An attempt is the number of such a run in the stored progress of its job, with
the workers on which it is to start. It stays until its outcome is known.
"""

import typing as t

from agaterudder.jobs import attemptworkers
from agaterudder.jobs import jobruns
from agaterudder.jobs import model
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder.jobs import storedprogress


def stored_numbers(
    state: pools.Pool,
    tasks: t.Sequence[jobruns.Task],
    workers: t.Sequence[runs.Worker],
) -> list[int] | None:
    """Return the run numbers of tasks that start together.

    Some tasks start only once the attempt is stored, and only so many of a
    job at a time.

    :param workers: where each of the tasks is to start.
    :returns: None while an attempt is being stored, or can't be yet.
    """
    firsts = {task.unit_name: task.unit[0] for task in tasks}
    lives: dict[str, dict[model.WorkerLife, None]] = {}
    for task, worker in zip(tasks, workers):
        found = lives.setdefault(task.unit_name, {})
        found[attemptworkers.life(worker)] = None
    numbers = {
        name: number
        for name, first in firsts.items()
        if (number := _number(state, first, tuple(lives[name]))) is not None
    }
    if len(numbers) < len(firsts):
        return None
    for first in firsts.values():
        first.prepared = None
    return [numbers[task.unit_name] for task in tasks]


def _number(
    state: pools.Pool, task: jobruns.Task, lives: tuple[model.WorkerLife, ...]
) -> int | None:
    """Return the number of the next run of a task, or of its gang.

    :param lives: where it is to start.
    :returns: None until its attempt is stored, if it has to be.
    """
    if not _stored_before_start(state, task):
        return state.next_run()
    allowed = task.prepared is not None or storedprogress.attempts_left(
        task.step.job.progress, state.first_run
    )
    if allowed and not _prepared_for(task, lives):
        _prepare(state, task, lives)
    prepared = task.prepared
    if prepared is None or prepared.mark > state.journal.stored:
        return None
    return prepared.number


def _prepared_for(
    task: jobruns.Task, lives: t.Collection[model.WorkerLife]
) -> bool:
    """Return whether the prepared attempt of a task names its workers."""
    return task.prepared is not None and all(
        life in task.prepared.workers for life in lives
    )


def _stored_before_start(state: pools.Pool, task: jobruns.Task) -> bool:
    """Return whether the next start of a task is stored before.

    That is the case for suspects, and for the first start by this holder of a
    task that an earlier one may have started without a trace.
    """
    job = task.step.job
    if task in state.suspects:
        return True
    return job.recovered and job.started and task.last_run < state.first_run


def _prepare(
    state: pools.Pool,
    task: jobruns.Task,
    workers: tuple[model.WorkerLife, ...],
) -> None:
    """Record an attempt that is to be stored before its start.

    :param workers: where it is to start. If it was prepared for others, the
        same attempt is stored anew.
    """
    job = task.step.job
    if task.prepared is None:
        number = state.next_run()
        job.progress.attempts.setdefault(task.progress_key, []).append(number)
    else:
        number = task.prepared.number
    job.progress.attempt_workers[number] = workers
    state.journal.mark(job)
    task.prepared = jobruns.Prepared(number, state.journal.marked, workers)
    state.suspects.prepared_mark = state.journal.marked


def watch(run: runs.Run) -> None:
    """Watch a run if it was stored before its start."""
    if run.task is not None:
        attempts = run.task.step.job.progress.attempts
        run.attempt = run.number in attempts.get(run.task.progress_key, ())


def withdraw(state: pools.Pool, run: runs.Run) -> None:
    """Remove the attempt of a run that no crash ended."""
    if run.task is not None:
        settle(state, run.task, run.number)


def settle(state: pools.Pool, task: jobruns.Task, number: int) -> None:
    """Remove an attempt whose outcome is known."""
    job = task.step.job
    if remove(job.progress, task.progress_key, number):
        state.journal.mark(job)


def forget_done(progress: model.Progress, key: str) -> None:
    """Forget the attempts and crashes of a task that is done."""
    for number in progress.attempts.pop(key, ()):
        progress.attempt_workers.pop(number, None)
    for known in progress.crash_records:
        known.pop(key, None)


def remove(progress: model.Progress, key: str, number: int) -> bool:
    """Remove an attempt; return whether it was there."""
    progress.attempt_workers.pop(number, None)
    return remove_number(progress.attempts, key, number)


def remove_number(
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
