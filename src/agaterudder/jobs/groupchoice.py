"""Chooses the workers of tasks that start together."""

import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import freecapacity
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools

# Longest time that tasks wait for one rack with room for all of them.
MAX_RACK_WAIT_SECONDS = 2.0


def choose(
    state: pools.Pool,
    step: jobruns.StepRun,
    tasks: t.Sequence[jobruns.Task],
    candidates: list[fleet.WorkerState],
    free: freecapacity.FreeCapacity,
    now: float,
) -> list[fleet.WorkerState] | None:
    """Return a worker for each of the tasks, None unless all have one.

    They are on one rack if the step asks for it.

    :param free: what the workers have left.
    """
    if step.step.rack_local:
        groups = _rack_groups(state, step, candidates, now)
    else:
        groups = [candidates]
    for group in groups:
        chosen = _assign_workers(state, step, tasks, group, free)
        if chosen is not None:
            return chosen
    return None


def _rack_groups(
    state: pools.Pool,
    step: jobruns.StepRun,
    candidates: list[fleet.WorkerState],
    now: float,
) -> list[list[fleet.WorkerState]]:
    by_rack = fleet.racks(candidates)
    present = {
        run.worker.registration.rack
        for task in step.tasks
        for run in task.runs
    }
    preferred = [
        *sorted(present),
        *([step.step.data_rack] if step.step.data_rack else []),
    ]
    ordered = sorted(
        by_rack,
        key=lambda rack: -sum(w.free.cores for w in by_rack[rack]),
    )
    names = dict.fromkeys([*preferred, *ordered])
    groups = [by_rack[name] for name in names if name in by_rack]
    wait_seconds = min(state.estimates.seconds(step), MAX_RACK_WAIT_SECONDS)
    if now - step.ready_at > wait_seconds:
        groups.append(candidates)
    return groups


def _assign_workers(
    state: pools.Pool,
    step: jobruns.StepRun,
    tasks: t.Sequence[jobruns.Task],
    group: list[fleet.WorkerState],
    capacity: freecapacity.FreeCapacity,
) -> list[fleet.WorkerState] | None:
    need = state.reserved_size(step)
    limit = step.step.max_per_worker
    free = {worker.name: capacity.of(worker) for worker in group}
    count = {
        worker.name: step.count_on_worker(worker.name) for worker in group
    }
    chosen: list[fleet.WorkerState] = []
    for _ in tasks:
        fitting = [
            worker
            for worker in group
            if need.fits_in(free[worker.name])
            and (not limit or count[worker.name] < limit)
        ]
        if not fitting:
            return None
        best = max(fitting, key=lambda worker: free[worker.name].cores)
        free[best.name] = free[best.name] - need
        count[best.name] += 1
        chosen.append(best)
    return chosen
