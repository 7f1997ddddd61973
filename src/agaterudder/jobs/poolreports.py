"""Log lines of what the holder of a pool finds in workers' listings."""

import logging
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# Limit of the names in one log line.
MAX_LOGGED_NAMES = 5
# Limit of the runs in a line on a lost worker.
MAX_LOST_RUNS = 40


def skipped_ends(worker: fleet.WorkerState, number: int) -> None:
    """Report ends that a worker discarded before they were read.

    :param number: number of the next end that it listed.
    """
    if not worker.last_end_number or number == worker.last_end_number + 1:
        return
    LOG.info(
        "ends missing from listing",
        extra={
            "worker": worker.name,
            "life_start": worker.incarnation,
            "after": worker.last_end_number,
            "listed": number,
            "acknowledged": worker.acknowledged_end,
        },
    )


def unknown_end(
    worker: fleet.WorkerState, ended: ports.Ended, reason: str
) -> None:
    """Report the end of a run whose task is not known.

    :param reason: why it is not known.
    """
    final = ended.outcome in (ports.END_DONE, ports.END_FAILED)
    LOG.log(
        logging.INFO if final else logging.DEBUG,
        "end of unknown task",
        extra={
            "task": ended.task,
            "run": ended.run,
            "worker": worker.name,
            "how": ended.outcome,
            "why": reason,
        },
    )


def duplicate_runs(
    task: jobruns.Task, worker: fleet.WorkerState, number: int, outcome: str
) -> int:
    """Report other runs of a task that must run only once at a time.

    :param number: the run that was listed.
    :param outcome: how it was listed: running or done. One that failed may
        have been restarted by an earlier holder.
    :returns: number of the other runs.
    """
    if task.step.step.speculative:
        return 0
    others = [
        (run.number, run.worker.name, run.state.value)
        for run in task.runs
        if run.number != number
    ]
    if task.done_run not in (0, number):
        others.append((task.done_run, "", ports.END_DONE))
    for other_number, other_worker, other_state in others:
        LOG.warning(
            "task has two runs",
            extra={
                "task": task.name,
                "run": number,
                "worker": worker.name,
                "how": outcome,
                "other_run": other_number,
                "other_worker": other_worker,
                "other": other_state,
            },
        )
    return len(others)


def runs_lost(
    registry: metrics.Metrics,
    pool: str,
    worker: fleet.WorkerState,
    found: t.Iterable[runs.Run],
    reason: str,
    learnt: str,
    now: float,
) -> None:
    """Report runs that were lost with their worker, each once.

    The one that was started last comes first.

    :param found: the runs, of which some may be reported already.
    :param reason: how they were lost.
    :param learnt: how that was learnt.
    """
    lost = sorted(
        (run for run in found if not run.loss_reported),
        key=lambda run: run.sent_at,
        reverse=True,
    )
    if not lost:
        return
    for run in lost:
        run.loss_reported = True
        registry.count(
            "runs_lost", pool=pool, reason=reason, state=run.state.value
        )
    shown = [_lost_run(run, now) for run in lost[:MAX_LOST_RUNS]]
    others = len(lost) - len(shown)
    LOG.info(
        "runs lost with their worker",
        extra={
            "pool": pool,
            "worker": worker.name,
            "life_start": worker.incarnation,
            "why": reason,
            "learnt": learnt,
            "heard": worker.heard(now),
            "count": len(lost),
            "runs": " ".join(shown) + (f" +{others}" if others else ""),
        },
    )


def _lost_run(run: runs.Run, now: float) -> str:
    """Return task, run, state and seconds since its start."""
    age = now - (run.running_since or run.sent_at)
    return f"{run.task_name}/{run.number}:{run.state.value}:{age:.3f}"


def names(found: t.Sequence[str]) -> str:
    """Return the first names, and the number of the others."""
    shown = " ".join(found[:MAX_LOGGED_NAMES])
    others = len(found) - MAX_LOGGED_NAMES
    return f"{shown} +{others}" if others > 0 else shown
