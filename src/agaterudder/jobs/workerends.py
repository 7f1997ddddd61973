"""Restart and loss of a worker, which end its runs."""

import logging

from agaterudder.jobs import crashes
from agaterudder.jobs import fleet
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import runs
from agaterudder.jobs import storedattempts

LOG = logging.getLogger(__name__)


def restarted(
    state: pools.Pool,
    worker: fleet.WorkerState,
    incarnation: int,
    now: float,
    learnt: str = "its listing",
) -> None:
    """Handle the restart of a worker, which ended its runs.

    The process of a worker between two restarts is an incarnation. The
    new one may still carry out an unanswered start, or may have accepted
    one; such a run is stopped before its task starts elsewhere.

    :param incarnation: start of the new incarnation, Unix milliseconds.
    :param learnt: how the restart was learnt.
    """
    poolreports.runs_lost(
        state.metrics,
        state.name,
        worker,
        worker.runs.values(),
        "worker restarted",
        learnt,
        now,
    )
    LOG.info(
        "worker restarted as a new incarnation",
        extra={
            "worker": worker.name,
            "life_start": incarnation,
            "before": worker.incarnation,
            "runs": len(worker.runs),
            "heard": worker.heard(now),
        },
    )
    if not worker.end_expected:
        crashes.worker_crashed(state, worker, now)
    worker.reset_incarnation(incarnation, now)
    stop_late_starts(state, worker, now)
    for run in list(worker.runs.values()):
        if run.state is runs.RunState.RUNNING and run.listed_at:
            state.remove_run(run, now, "worker restarted")
        else:
            run.state = runs.RunState.UNCERTAIN
            run.require_stop("worker restarted")
            run.stop_sent_at = run.stop_answered_at = 0.0


def lost(
    state: pools.Pool,
    worker: fleet.WorkerState,
    reason: str,
    now: float,
    learnt: str = "",
    ended: bool = False,
    crashed: bool = False,
) -> None:
    """Handle the loss of a worker, which ended its runs.

    A worker that has ended carries out no start any more. One whose lease
    has lapsed may, for as long as an order can be delayed. A start in flight
    may have reached its next incarnation: its own answer tells.

    :param learnt: what the reason rests on.
    :param ended: whether the worker is known to have ended.
    :param crashed: whether it ended by itself.
    """
    poolreports.runs_lost(
        state.metrics,
        state.name,
        worker,
        worker.runs.values(),
        reason,
        learnt,
        now,
    )
    LOG.info(
        "worker lost, dropping its runs",
        extra={
            "worker": worker.name,
            "why": reason,
            "runs": len(worker.runs),
            "tasks": poolreports.names([task for task, _ in worker.runs]),
            "heard": worker.heard(now),
        },
    )
    if crashed:
        crashes.worker_crashed(state, worker, now)
    for run in list(worker.runs.values()):
        if ended and not crashed:
            storedattempts.withdraw(state, run)
        running = run.state is runs.RunState.RUNNING
        may_arrive = now - run.sent_at < fleet.MAX_ORDER_DELAY_SECONDS
        if not running and may_arrive and (run.in_flight or not ended):
            continue
        remove_run(state, run, reason, now)


def remove_run(
    state: pools.Pool, run: runs.Run, reason: str, now: float
) -> None:
    """Remove a run whose end its worker has not listed.

    A start that was never confirmed may still be carried out by a later
    incarnation of the worker.
    """
    if run.state is not runs.RunState.RUNNING:
        state.late_starts.add(run, now)
    state.remove_run(run, now, reason)


def superseded(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Remove a run whose stop reached a later incarnation of its worker."""
    if not run.worker.end_expected:
        crashes.run_crashed(state, run, now)
    remove_run(state, run, "stop reached another incarnation", now)


def stop_late_starts(
    state: pools.Pool, worker: fleet.WorkerState, now: float
) -> None:
    """Have a new incarnation stop what an earlier one was told to start."""
    for start in state.late_starts.take(worker.name, now):
        run = runs.Run(
            start.task_name,
            None,
            start.number,
            worker,
            start.sent_at,
            start.size,
        )
        run.state = runs.RunState.UNCERTAIN
        run.stop_reason = "start of an earlier incarnation"
        worker.add(run)
        state.orphaned_runs.append(run)
