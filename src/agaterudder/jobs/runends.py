"""Ends of runs, as workers list them."""

import logging

from agaterudder import codes
from agaterudder.jobs import crashes
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import listedtasks
from agaterudder.jobs import model
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import storedattempts

LOG = logging.getLogger(__name__)

# A worker on which this many task runs in a row failed is quarantined.
QUARANTINE_FAILURES = 4
QUARANTINE_SECONDS = 4.0


def apply(
    state: pools.Pool,
    worker: fleet.WorkerState,
    ended: ports.Ended,
    now: float,
) -> None:
    """Apply the end of a run to its task and its job."""
    run = worker.runs.get((ended.task, ended.run))
    task = listedtasks.find(state, ended.task, now)
    if run is not None:
        if ended.checkpoint:
            run.checkpoint = ended.checkpoint
        state.remove_run(run, now)
    LOG.log(
        logging.DEBUG if ended.outcome == ports.END_DONE else logging.INFO,
        "task run ended",
        extra={
            "task": ended.task,
            "run": ended.run,
            "worker": worker.name,
            "how": ended.outcome,
        },
    )
    if task is None:
        poolreports.unknown_end(
            worker, ended, listedtasks.unknown_reason(state, ended.task)
        )
        return
    if ended.outcome == ports.END_DONE:
        listedtasks.report_duplicates(
            state, task, worker, ended.run, ended.outcome
        )
    task.last_run = max(task.last_run, ended.run)
    crashes.run_ended(state, task, ended.run, ended.outcome)
    job = task.step.job
    match ended.outcome:
        case ports.END_DONE:
            _task_done(state, task, run, worker, now)
            if task.done:
                task.done_run = task.done_run or ended.run
        case ports.END_FAILED:
            _task_failed(state, task, ended.run, worker, now)
        case _:
            if ended.checkpoint and not task.done:
                task.record_checkpoint(ended.checkpoint)
                state.journal.mark(job)


def _task_done(
    state: pools.Pool,
    task: jobruns.Task,
    run: runs.Run | None,
    worker: fleet.WorkerState,
    now: float,
) -> None:
    step = task.step
    job = step.job
    if step.step.long_running:
        return
    if run is not None and run.running_since and not task.checkpoint:
        seconds = now - run.running_since
        state.estimates.update(step, seconds)
        step.durations.append((worker.name, seconds))
    worker.consecutive_failures = 0
    members = step.tasks if step.step.gang else [task]
    for member in members:
        if not member.done:
            member.done = True
            step.done += 1
            job.progress.done.setdefault(step.key, []).append(member.index)
            job.progress.checkpoints.pop(member.checkpoint_key, None)
            storedattempts.forget_done(job.progress, member.progress_key)
        for other in member.runs:
            other.require_stop("the task is done")
    state.journal.mark(job)
    if step.finished:
        state.ready.pop(step.name, None)
        job.step_finished(step, now)
    state.check_finished(job)


def _task_failed(
    state: pools.Pool,
    task: jobruns.Task,
    run_number: int,
    worker: fleet.WorkerState,
    now: float,
) -> None:
    step = task.step
    job = step.job
    worker.consecutive_failures += 1
    if worker.consecutive_failures >= QUARANTINE_FAILURES:
        worker.quarantined_until = now + QUARANTINE_SECONDS
        LOG.warning(
            "worker quarantined after repeated task failures",
            extra={
                "worker": worker.name,
                "failures": worker.consecutive_failures,
            },
        )
    task.excluded_workers.add(worker.name)
    if task.done or job.ending is not None:
        return
    if step.step.long_running:
        return
    failed = job.progress.failures.setdefault(task.progress_key, [])
    if run_number in failed:
        return
    failed.append(run_number)
    count = len(failed)
    state.journal.mark(job)
    if count >= state.max_attempts(job.job):
        state.finish_job(
            job,
            model.STATE_FAILED,
            f"task {task.name} failed {count} times",
            0.0,
            codes.Result.ATTEMPTS_EXHAUSTED,
        )
