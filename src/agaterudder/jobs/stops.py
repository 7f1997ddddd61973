"""Decides which runs are stopped, and when the stops are sent."""

import typing as t

from agaterudder.jobs import draining
from agaterudder.jobs import fleet
from agaterudder.jobs import orders
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs
from agaterudder.jobs import stragglers

# A stop is sent again after this time while it has not taken effect.
STOP_RETRY_SECONDS = 0.5


def drain_cordoned(
    state: pools.Pool,
    usable: t.Sequence[fleet.WorkerState],
    now: float,
) -> None:
    """Mark the runs to be stopped on cordoned workers.

    :param usable: workers that accept tasks.
    """
    for worker in state.workers.values():
        if not worker.cordon_reason or not worker.runs:
            continue
        for run in draining.runs_to_stop(
            worker,
            state.bounds,
            _fits_elsewhere(state, worker, usable),
            now,
        ):
            run.stop_reason = f"worker cordoned: {worker.cordon_reason}"


def restart_stragglers(
    state: pools.Pool,
    usable: t.Sequence[fleet.WorkerState],
) -> None:
    """Mark stragglers to be stopped, so that they restart elsewhere.

    :param usable: workers that accept tasks.
    """
    for step in state.ready.values():
        if step.finished or step.step.long_running:
            continue
        for run in [run for task in step.tasks for run in task.runs]:
            if not stragglers.is_straggler(run, state.bounds.stop):
                continue
            need = state.reserved_size(step)
            if any(
                need.fits_in(other.free)
                for other in usable
                if other is not run.worker
            ):
                assert run.task is not None
                run.task.straggler_restarts += 1
                run.task.excluded_workers.add(run.worker.name)
                run.stop_reason = "straggler on a slow worker"


def due_stops(state: pools.Pool, now: float) -> list[orders.Stop]:
    """Return the stops to send now, and record them as sent."""
    found = []
    for worker in state.workers.values():
        for run in worker.runs.values():
            if run.stop_reason and _stop_due(run, now):
                run.stop_sent_at = now
                found.append(orders.Stop(run))
    return found


def _fits_elsewhere(
    state: pools.Pool,
    worker: fleet.WorkerState,
    usable: t.Sequence[fleet.WorkerState],
) -> bool:
    """Return whether its long-running tasks fit on other workers.

    Each is checked by itself, not all together.
    """
    steps = [
        run.task.step
        for run in worker.runs.values()
        if run.task is not None and run.task.step.step.long_running
    ]
    return all(
        any(
            state.reserved_size(step).fits_in(other.free)
            and step.within_worker_limit(other.name)
            for other in usable
        )
        for step in steps
    )


def _stop_due(run: runs.Run, now: float) -> bool:
    if run.state is runs.RunState.SENT:
        return False
    return now - run.stop_sent_at > STOP_RETRY_SECONDS
