"""Runs the tasks of the batches that this VM owns.

An entry VM owns the batches that it committed or adopted. A batch is settled
once every task in it has ended.

Separate greenlets commit submissions, schedule tasks, renew leases and write
changed batches. Calls to workers run in greenlets of their own and report back
through :class:`outcomes.Outcomes`.
"""

import dataclasses
import time
import typing as t

import gevent
import gevent.event

from agaterudder import batches
from agaterudder import checkpoints
from agaterudder import codes
from agaterudder import configuration
from agaterudder import decisions
from agaterudder import fleet
from agaterudder import grants
from agaterudder import metrics
from agaterudder import outcomes
from agaterudder import scheduling
from agaterudder import settings
from agaterudder import sizes
from agaterudder import starting
from agaterudder import store
from agaterudder import taskleases
from agaterudder import taskqueues
from agaterudder import tasks
from agaterudder import workers


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """Callbacks through which the execution uses the rest of the process.

    :ivar check_start: returns the refusal when a team's tasks may not start
        now.
    :ivar scheduling_view: returns the usage of the teams in the fleet and the
        capacity, for a scheduling decision.
    :ivar worker: returns the client of a worker by its VM.
    :ivar worker_gone: returns whether the platform lists a worker as gone.
    """

    check_start: t.Callable[[str, float], codes.Refused | None]
    scheduling_view: t.Callable[[], scheduling.View]
    worker: t.Callable[[str], workers.Worker | None]
    worker_gone: t.Callable[[str], bool]


class Execution:
    """The tasks of the batches of this VM.

    :ivar starter: schedules and starts the waiting tasks.
    :ivar checkpoints: checkpoints running tasks.
    :ivar leases: renews the leases of the started tasks.
    """

    __slots__ = (
        "_settings",
        "_batches",
        "_grants",
        "_sizes",
        "_outcomes",
        "_wake",
        "starter",
        "checkpoints",
        "leases",
    )

    def __init__(
        self,
        checked: settings.Settings,
        in_force: configuration.ActiveConfiguration,
        table: store.Store,
        local_fleet: fleet.Fleet,
        callbacks: Callbacks,
        decision_log: decisions.Decisions,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._settings = checked
        self._batches = batches.Batches(
            checked.entry.vm,
            checked.entry.data_centre,
            table,
            checked.timing.batch_seconds,
            checked.limits.tasks,
            self._enqueue_waiting,
        )
        self._grants = grants.Grants(checked.entry.vm, table)
        self._sizes = sizes.Sizes()
        self._wake = gevent.event.Event()
        self._outcomes = outcomes.Outcomes(
            checked.timing,
            in_force,
            self._batches,
            self._grants,
            local_fleet,
            self._sizes,
            decision_log,
            metrics_registry,
            self._wake,
            callbacks.worker_gone,
            lambda placement: self.leases.spawn_revocation(placement),
        )
        self.leases = taskleases.TaskLeases(
            checked.timing.task_lease_seconds,
            local_fleet,
            self._outcomes,
            callbacks.worker,
        )
        self.checkpoints = checkpoints.Checkpoints(
            self._outcomes, callbacks.worker, self._wake
        )
        self.starter = starting.Starter(
            checked.timing.task_lease_seconds,
            in_force,
            self._grants,
            local_fleet,
            self._sizes,
            self._outcomes,
            self.checkpoints,
            metrics_registry,
            self._wake,
            callbacks.check_start,
            callbacks.scheduling_view,
            callbacks.worker,
        )

    @property
    def owned_batches(self) -> batches.Batches:
        """Batches that this VM owns."""
        return self._batches

    @property
    def held_grants(self) -> grants.Grants:
        """Grants that this VM holds."""
        return self._grants

    @property
    def waiting(self) -> taskqueues.WaitingTasks:
        """Tasks that have not started."""
        return self._outcomes.waiting

    @property
    def placements(self) -> dict[str, outcomes.Placement]:
        """Started tasks."""
        return self._outcomes.placements

    def limit(self, team: str) -> grants.TeamLimit:
        """Return a team's upper limit in the configuration in force."""
        return self.starter.limit(team)

    def start(self) -> list[gevent.Greenlet]:
        """Start the greenlets of the loops."""
        loops = (
            self._batches.run,
            self.starter.run,
            self.leases.run,
            self._settlement_loop,
        )
        return [gevent.spawn(loop) for loop in loops]

    def _enqueue_waiting(self, batch: tasks.Batch) -> None:
        """Queue the waiting tasks of a batch that was committed."""
        for task in batch.tasks:
            if task.state is tasks.State.WAITING:
                self._outcomes.waiting.add(task)
        self._wake.set()

    # Settling

    def _settlement_loop(self) -> None:
        while True:
            gevent.sleep(self._settings.timing.batch_seconds * 4)
            self.settle(time.monotonic())

    def settle(self, now: float) -> None:
        """Write changed batches; drop settled ones from memory.

        A settled batch is dropped after the retention, or 60 s if that is
        shorter. Its row in the table service remains until the retention ends.
        """
        for owned in list(self._batches.owned.values()):
            if owned.dirty and self._should_write(owned):
                refused = self._batches.write(owned, now)
                if (
                    refused is not None
                    and refused.code is codes.Result.CONFLICT
                ):
                    self._outcomes.drop_batch(owned)
            retention = min(60.0, self._settings.timing.retention_seconds)
            if (
                owned.settled_at is not None
                and now - owned.settled_at > retention
            ):
                self._batches.drop(owned)

    def _should_write(self, owned: batches.OwnedBatch) -> bool:
        """Return whether enough tasks ended to justify a write.

        That is when at least half of the batch has ended, or when none of
        its tasks is started.
        """
        if owned.batch.settled:
            return True
        ended = sum(task.state in tasks.SETTLED for task in owned.batch.tasks)
        return ended * 2 >= len(owned.batch.tasks) or not any(
            task.task in self._outcomes.placements
            for task in owned.batch.tasks
        )

    # Calls by API clients and operators

    def cancel(self, task: tasks.Task, now: float) -> tasks.State:
        """Cancel a task; if it has not started, it never will."""
        if task.task in self._outcomes.waiting:
            self._outcomes.waiting.remove(task.task)
            tasks.apply_event(task, "cancel")
            task.reason = "cancelled before it started"
            self._batches.mark_dirty(task.task)
            self._outcomes.explain(task, "cancelled", "the caller")
            return task.state
        placement = self._outcomes.placements.get(task.task)
        if placement is not None:
            gevent.spawn(self.leases.stop_cancelled, placement)
        return task.state

    def release_batches(self) -> None:
        """Release every open batch to the other entry VMs."""
        for owned in list(self._batches.owned.values()):
            if owned.dirty:
                self._batches.write(owned, time.monotonic())
            if owned.batch.settled:
                continue
            placed = {
                task.task: self._outcomes.placements[task.task].worker
                for task in owned.batch.tasks
                if task.task in self._outcomes.placements
            }
            if self._batches.release(owned, placed) is None:
                self._outcomes.drop_batch(owned)

    # Adoption

    def resume(
        self,
        adopted: batches.Adopted,
        reports: dict[str, workers.Report],
        worker_by_task: dict[str, str],
    ) -> None:
        """Continue the tasks of an adopted batch.

        :param reports: last report of each of its tasks, by task.
        :param worker_by_task: worker that sent each report, by task.
        """
        now = time.monotonic()
        for task in adopted.owned.batch.tasks:
            if task.state in tasks.SETTLED:
                continue
            report = reports.get(task.task)
            # The row does not record whether a task was started.
            task.state = tasks.State.WAITING
            if report is None:
                self._outcomes.waiting.add(task)
                continue
            tasks.apply_event(task, "launch")
            amount = self._sizes.corrected(task.team, task.kind, task.size)
            placement = outcomes.Placement(
                task, worker_by_task[task.task], amount, True, now
            )
            self._outcomes.placements[task.task] = placement
            self._grants.local_grant(task.team).adopt(task.task, amount)
            self._outcomes.handle_report(placement, report, now)
        self._wake.set()
