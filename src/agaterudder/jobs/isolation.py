"""Workers of a scheduling round that are kept for suspected tasks."""

import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs

# One in this many workers may be kept for suspects, and one in any case.
WORKERS_PER_KEPT = 2


class Isolation:
    """Keeps workers empty for suspects.

    A suspect starts on a worker without any other run, and nothing else
    starts there before the suspicion has ended. Where long-running tasks are
    on every worker, it starts beside these alone.

    :param accepting: workers that accept tasks.
    :param recovering: whether tasks of recovered jobs have to wait.
    :param now: seconds of this machine's monotonic clock.
    :ivar others: workers for all other tasks.
    """

    __slots__ = ("others", "_state", "_now", "_kept", "_names")

    def __init__(
        self,
        state: pools.Pool,
        accepting: t.Sequence[fleet.WorkerState],
        recovering: bool,
        now: float,
    ) -> None:
        self._state = state
        self._now = now
        self._kept: dict[str, list[fleet.WorkerState]] = {}
        self._names = {
            worker.name
            for worker in state.workers.values()
            if any(run.apart for run in worker.runs.values())
        }
        if state.suspects:
            waiting = [
                task
                for task in state.suspects.waiting(now)
                if not (recovering and task.step.job.recovered)
            ]
            waiting.sort(
                key=lambda task: (
                    state.queue_of(task.step).priority,
                    not task.step.step.long_running,
                )
            )
            self._keep_for(waiting, accepting)
        self.others = [
            worker for worker in accepting if worker.name not in self._names
        ]

    def workers_for(self, task: jobruns.Task) -> list[fleet.WorkerState]:
        """Return the workers on which a suspect may start now."""
        kept = self._kept.get(task.unit_name, [])
        ready = all(
            _long_running(run)
            for worker in kept
            for run in worker.runs.values()
        )
        return kept if ready else []

    def _keep_for(
        self,
        waiting: t.Sequence[jobruns.Task],
        accepting: t.Sequence[fleet.WorkerState],
    ) -> None:
        limit = max(len(accepting) // WORKERS_PER_KEPT, 1)
        kept = sum(
            1
            for worker in self._state.workers.values()
            if any(
                run.apart and not _long_running(run)
                for run in worker.runs.values()
            )
        )
        kept_before = self._state.kept_workers
        for task in waiting:
            # All of them ask for a grant, so that the pool keeps its size.
            if not self._grant_covers(task) or kept >= limit:
                continue
            chosen = self._choose(task, accepting, kept_before)
            if chosen:
                self._kept[task.unit_name] = chosen
                self._names.update(worker.name for worker in chosen)
                kept += len(chosen)
        self._state.kept_workers = frozenset(
            worker.name for kept in self._kept.values() for worker in kept
        )

    def _grant_covers(self, task: jobruns.Task) -> bool:
        """Return whether the team's grant covers a suspect, or ask for it."""
        team = task.step.job.job.team
        limits = self._state.limits
        size = task.step.step.size.scaled(len(task.unit))
        if not limits.limited(team) or limits.fits(team, size):
            return True
        limits.request_grant(team, size, size, self._now)
        return False

    def _choose(
        self,
        task: jobruns.Task,
        accepting: t.Sequence[fleet.WorkerState],
        kept_before: frozenset[str],
    ) -> list[fleet.WorkerState]:
        """Return the workers that a suspect waits for, empty without any."""
        step = task.step
        need = self._state.reserved_size(step)
        label = step.step.required_label
        tickets = step.tickets
        refused = tickets.refused if tickets is not None else set()
        able = [
            worker
            for worker in accepting
            if worker.name not in self._names
            and (not label or label in worker.registration.labels)
            and worker.name not in refused
            and need.fits_in(worker.free_without_short_tasks)
        ]
        if tickets is not None and tickets.until > self._now:
            ticketed = [w for w in able if w.name in tickets.by_worker]
            able = ticketed or able
        able = [w for w in able if not w.long_running_count] or able
        able.sort(
            key=lambda worker: (
                worker.name in task.excluded_workers,
                bool(worker.runs),
                worker.name not in kept_before,
                self._seconds_until_empty(worker),
            )
        )
        chosen: list[fleet.WorkerState] = []
        missing = len(task.unit)
        limit = step.step.max_per_worker
        for worker in able:
            if missing <= 0:
                break
            room = worker.free_without_short_tasks
            present = step.count_on_worker(worker.name)
            count = 0
            while (
                count < missing
                and (not limit or present + count < limit)
                and need.scaled(count + 1).fits_in(room)
            ):
                count += 1
            missing -= count
            if count:
                chosen.append(worker)
        return chosen if missing <= 0 else []

    def _seconds_until_empty(self, worker: fleet.WorkerState) -> float:
        """Return when its tasks are expected to have ended."""
        return max(
            (
                self._state.estimates.seconds(run.task.step)
                - (self._now - run.sent_at)
                for run in worker.runs.values()
                if run.task is not None and not run.task.step.step.long_running
            ),
            default=0.0,
        )


def _long_running(run: runs.Run) -> bool:
    return run.task is not None and run.task.step.step.long_running
