"""Chooses the worker of a task that starts by itself."""

import dataclasses
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import freecapacity
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder import resources

# Fraction of a task's expected duration that it waits for a worker in the
# rack of its data.
DATA_RACK_WAIT_FRACTION = 0.5
# Longest time that a task waits for a better worker while others have room.
MAX_PREFERENCE_WAIT_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Fitting:
    """Workers that could take one more task of a step.

    :ivar seen: how many changes of capacity they take into account.
    """

    step: jobruns.StepRun
    candidates: list[fleet.WorkerState]
    fitting: list[fleet.WorkerState]
    seen: int


class WorkerChoice:
    """Chooses workers in one scheduling round.

    :param usable: workers that accept tasks.
    :param free: what they have left.
    :param now: seconds of this machine's monotonic clock.
    """

    __slots__ = ("_state", "_usable", "_free", "_now", "_last")

    def __init__(
        self,
        state: pools.Pool,
        usable: t.Sequence[fleet.WorkerState],
        free: freecapacity.FreeCapacity,
        now: float,
    ) -> None:
        self._state = state
        self._usable = usable
        self._free = free
        self._now = now
        self._last: _Fitting | None = None

    def choose(
        self,
        step: jobruns.StepRun,
        task: jobruns.Task,
        candidates: list[fleet.WorkerState],
    ) -> fleet.WorkerState | None:
        """Return the worker for a task of a step, None if it has to wait."""
        need = self._state.reserved_size(step)
        if self._free.fits_nowhere(need):
            return None
        fitting = self._fitting_for(step, task, need, candidates)
        preferred = self._prefer_data_rack(step, fitting, candidates)
        if not preferred:
            return None
        if step.step.best_effort:
            return min(preferred, key=_interference_rank)
        if step.step.long_running:
            # Packed on few workers, so that the others become idle and their
            # machines can be released to a standby pool.
            return max(
                preferred,
                key=lambda worker: (
                    worker.long_running_count > 0,
                    self._free.of(worker).cores,
                ),
            )
        return min(preferred, key=lambda worker: self._free.of(worker).cores)

    def _fitting_for(
        self,
        step: jobruns.StepRun,
        task: jobruns.Task,
        need: resources.Vector,
        candidates: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers that can take a task of a step."""
        if not task.excluded_workers:
            return self._refitted(step, need, candidates)
        others = [
            worker
            for worker in candidates
            if worker.name not in task.excluded_workers
        ]
        fitting = self._fitting(step, need, others)
        if not fitting and self._may_use_excluded(task, need, others):
            fitting = self._fitting(step, need, candidates)
        return fitting

    def _refitted(
        self,
        step: jobruns.StepRun,
        need: resources.Vector,
        candidates: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers that can take one more task of a step.

        Since the task of the same step before, only the workers whose
        capacity changed are looked at again.
        """
        last = self._last
        changed = self._free.changed
        if (
            last is None
            or last.step is not step
            or last.candidates is not candidates
        ):
            fitting = self._fitting(step, need, candidates)
        else:
            again = set(changed[last.seen :])
            fitting = [
                worker
                for worker in last.fitting
                if worker.name not in again
                or need.fits_in(self._free.of(worker))
                and step.within_worker_limit(worker.name)
            ]
            limited = step.step.max_per_worker > 0
            if not (fitting or limited) and self._complete(candidates):
                self._free.mark_unplaceable(need)
        self._last = _Fitting(step, candidates, fitting, len(changed))
        return fitting

    def _fitting(
        self,
        step: jobruns.StepRun,
        need: resources.Vector,
        workers: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers that can take one more task of a step."""
        with_room = self._free.fitting(need, workers)
        if not with_room and self._complete(workers):
            self._free.mark_unplaceable(need)
        return [
            worker
            for worker in with_room
            if step.within_worker_limit(worker.name)
        ]

    def _complete(self, workers: t.Sequence[fleet.WorkerState]) -> bool:
        """Return whether these are all workers of the round."""
        return len(workers) == len(self._usable)

    def hold_room(
        self,
        step: jobruns.StepRun,
        tasks: t.Sequence[jobruns.Task],
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Keep room free for the waiting tasks of a long-running step.

        Each holds room on a worker of its own, the one with the most left:
        later steps of the round get nothing there, so that the ends of its
        shorter tasks make room.
        """
        need = self._state.reserved_size(step)
        able = [
            worker
            for worker in candidates
            if need.fits_in(worker.free_without_short_tasks)
            and step.within_worker_limit(worker.name)
        ]
        rack = step.step.data_rack
        able.sort(
            key=lambda worker: (
                worker.registration.rack != rack,
                -self._free.of(worker).cores,
            )
        )
        waiting = [task for task in tasks if task.waiting]
        for worker, _ in zip(able, waiting):
            self._free.hold(worker, need)

    def _may_use_excluded(
        self,
        task: jobruns.Task,
        need: resources.Vector,
        others: list[fleet.WorkerState],
    ) -> bool:
        """Return whether a task may return to a worker that it is kept from.

        A long-running task is to run wherever it can; any other waits some
        time for room on the others, if the ends of their short tasks can make
        room.
        """
        step = task.step
        waited = self._now - max(step.ready_at, task.stopped_at)
        if step.step.long_running or waited > MAX_PREFERENCE_WAIT_SECONDS:
            return True
        return not any(
            step.within_worker_limit(worker.name)
            and need.fits_in(worker.free_without_short_tasks)
            for worker in others
        )

    def _prefer_data_rack(
        self,
        step: jobruns.StepRun,
        fitting: list[fleet.WorkerState],
        candidates: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the fitting workers in the rack of the data, if any.

        Otherwise returns all that fit; while the rack has candidates, only
        after the step has waited for one of them.
        """
        rack = step.step.data_rack
        if not rack:
            return fitting
        near = [
            worker for worker in fitting if worker.registration.rack == rack
        ]
        if near:
            return near
        exists = any(worker.registration.rack == rack for worker in candidates)
        wait_seconds = min(
            DATA_RACK_WAIT_FRACTION * self._state.estimates.seconds(step),
            MAX_PREFERENCE_WAIT_SECONDS,
        )
        if exists and self._now - step.ready_at < wait_seconds:
            return []
        return fitting


def _interference_rank(
    worker: fleet.WorkerState,
) -> tuple[int, bool, int, float]:
    """Rank a worker for best-effort tasks.

    Workers whose latency-sensitive tasks are the least affected come
    first.
    """
    latency_sensitive = sum(
        1
        for run in worker.runs.values()
        if run.task is not None and run.task.step.step.target_seconds > 0
    )
    return (
        latency_sensitive,
        not worker.long_running_count,
        -worker.best_effort_percent,
        -worker.free.cores,
    )
