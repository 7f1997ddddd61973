"""Starts of runs: what is counted, and the answers of the workers."""

import logging

from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import storedattempts

LOG = logging.getLogger(__name__)

# A worker that rejected a start as full or busy gets no starts for this long.
REJECTION_PAUSE_SECONDS = 0.2
# Beginning of the reason of a start that its worker never received.
NOT_SENT = "not sent: "
# A task that was rejected as invalid is not started for this long.
INVALID_TASK_PAUSE_SECONDS = 4.0


def record_placement(
    state: pools.Pool, task: jobruns.Task, kind: str, now: float
) -> None:
    """Count a start that is about to be ordered.

    :param kind: first, restart or copy.
    """
    state.metrics.count("task_starts", pool=state.name, kind=kind)
    job = task.step.job
    waited = job.first_start_wait(now)
    job.placed = True
    if waited is not None:
        state.metrics.observe(
            "first_start", waited, pool=state.name, queue=job.job.queue
        )


def accepted(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Handle a start that the worker accepted."""
    if (run.task_name, run.number) not in run.worker.runs:
        # It was removed in the meantime. If the worker runs it, the next
        # listing contains it and it is adopted again.
        return
    if run.state is runs.RunState.SENT:
        # Otherwise the worker has restarted since, perhaps after it
        # accepted the start.
        record_running(state, run, now)


def record_running(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Record that a worker runs a run."""
    run.state = runs.RunState.RUNNING
    run.running_since = run.running_since or now
    if run.task is None:
        return
    job = run.task.step.job
    if not job.started:
        job.started = True
        state.journal.mark(job)


def rejected(
    state: pools.Pool, run: runs.Run, reason: str, now: float
) -> None:
    """Handle a start that the worker rejected or never received.

    :param reason: a ``REJECTED_`` constant, or why it was not sent.
    """
    if (run.task_name, run.number) not in run.worker.runs:
        return
    LOG.info(
        "task start rejected",
        extra={
            "task": run.task_name,
            "run": run.number,
            "worker": run.worker.name,
            "why": reason,
        },
    )
    if reason == ports.REJECTED_NO_CAPACITY:
        run.worker.full_until = now + REJECTION_PAUSE_SECONDS
    if reason in (
        ports.REJECTED_BUSY,
        ports.REJECTED_OTHER_INCARNATION,
    ) or reason.startswith(NOT_SENT):
        run.worker.quarantined_until = max(
            run.worker.quarantined_until, now + REJECTION_PAUSE_SECONDS
        )
    if reason == ports.REJECTED_TICKET and run.task is not None:
        run.task.step.tickets = None
    if reason == ports.REJECTED_INVALID and run.task is not None:
        run.task.not_before = now + INVALID_TASK_PAUSE_SECONDS
    storedattempts.withdraw(state, run)
    state.remove_run(run, now)


def unanswered(
    state: pools.Pool, run: runs.Run, reason: str, now: float
) -> None:
    """Handle a start without an answer: it may take effect later."""
    if run.state is not runs.RunState.SENT:
        return
    LOG.warning(
        "task start not answered, outcome unknown",
        extra={
            "task": run.task_name,
            "run": run.number,
            "worker": run.worker.name,
            "why": reason,
        },
    )
    run.state = runs.RunState.UNCERTAIN
    run.uncertain_since = now
    run.require_stop(runs.START_UNANSWERED)
