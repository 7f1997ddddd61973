"""Workers that are named by attempts, the runs stored before their start.

A later holder that finds such a worker as the same incarnation knows that the
attempt crashed nothing, so that it starts only where its row says.
"""

import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import model
from agaterudder.jobs import runs


def life(worker: runs.Worker) -> model.WorkerLife:
    """Return the incarnation of a worker as it is stored."""
    return model.WorkerLife(worker.name, worker.incarnation)


def named(
    tasks: t.Iterable[jobruns.Task], candidates: t.Sequence[fleet.WorkerState]
) -> list[fleet.WorkerState]:
    """Return the candidates that the prepared attempts of tasks name."""
    lives = {
        known
        for task in tasks
        if (prepared := task.unit[0].prepared) is not None
        for known in prepared.workers
    }
    if not lives:
        return []
    return [worker for worker in candidates if life(worker) in lives]


def matched(
    tasks: t.Sequence[jobruns.Task], chosen: t.Sequence[fleet.WorkerState]
) -> list[fleet.WorkerState]:
    """Return the chosen workers in an order that suits their attempts.

    The tasks are of one step, so that each may take the worker of another.
    """
    left = list(chosen)
    found: dict[jobruns.Task, fleet.WorkerState] = {}
    for task in tasks:
        worker = next(iter(named([task], left)), None)
        if worker is not None:
            left.remove(worker)
            found[task] = worker
    return [found[task] if task in found else left.pop(0) for task in tasks]
