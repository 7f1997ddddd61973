"""Log lines of what the holder of a pool finds in workers' listings."""

import logging
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import ports
from agaterudder.jobs import runs

LOG = logging.getLogger(__name__)

# Limit of the names in one log line.
MAX_LOGGED_NAMES = 5


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
    task: runs.Task, worker: fleet.WorkerState, number: int, outcome: str
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


def names(found: t.Sequence[str]) -> str:
    """Return the first names, and the number of the others."""
    shown = " ".join(found[:MAX_LOGGED_NAMES])
    others = len(found) - MAX_LOGGED_NAMES
    return f"{shown} +{others}" if others > 0 else shown
