"""Derives the outcomes of tasks from the reports of workers.

Owns the waiting and the started tasks. Every change of a task's state follows
the state chart ``charts/task.yaml``.
"""

import logging
import time
import typing as t

import gevent.event

from agaterudder import batches
from agaterudder import configuration
from agaterudder import decisions
from agaterudder import fleet
from agaterudder import grants
from agaterudder import metrics
from agaterudder import resources
from agaterudder import settings
from agaterudder import sizes
from agaterudder import taskqueues
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

MAX_AVOIDED_WORKERS = 10
MAX_SILENCE_SECONDS = 300.0
END_EVENTS = {
    tasks.State.DONE: "finish",
    tasks.State.FAILED: "fail",
    tasks.State.CANCELLED: "cancel",
    tasks.State.SET_ASIDE: "give_up",
    tasks.State.UNKNOWN: "lose_track",
}


class Placement:
    """A task that was started, or may have been.

    :ivar confirmed: whether the worker confirmed the start.
    :ivar last_contact_at: last contact with the worker about the task, in
        monotonic seconds.
    :ivar used: highest resource usage reported so far.
    """

    __slots__ = (
        "task",
        "worker",
        "amount",
        "confirmed",
        "last_contact_at",
        "used",
    )

    def __init__(
        self,
        task: tasks.Task,
        worker: str,
        amount: resources.Vector,
        confirmed: bool,
        last_contact_at: float,
    ) -> None:
        self.task = task
        self.worker = worker
        self.amount = amount
        self.confirmed = confirmed
        self.last_contact_at = last_contact_at
        self.used = resources.ZERO


class Outcomes:
    """Waiting and started tasks of this VM, and how they end.

    :ivar waiting: tasks that have not started.
    :ivar placements: started tasks, by identifier.
    :ivar droppable: ended tasks whose records a worker may drop, by worker.
    :ivar avoided: workers that failed a task, by task.
    :param worker_gone: returns whether a worker is gone for good.
    :param resolve_unconfirmed: resolves a start that was not confirmed.
    """

    __slots__ = (
        "_timing",
        "_in_force",
        "_batches",
        "_grants",
        "_fleet",
        "_sizes",
        "_decisions",
        "_metrics",
        "_wake",
        "_worker_gone",
        "_resolve_unconfirmed",
        "waiting",
        "placements",
        "droppable",
        "avoided",
    )

    def __init__(
        self,
        timing: settings.Timing,
        in_force: configuration.ActiveConfiguration,
        owned_batches: batches.Batches,
        held_grants: grants.Grants,
        worker_fleet: fleet.Fleet,
        size_ratios: sizes.Sizes,
        decision_log: decisions.Decisions,
        metric_registry: metrics.Metrics,
        wake: gevent.event.Event,
        worker_gone: t.Callable[[str], bool],
        resolve_unconfirmed: t.Callable[["Placement"], None],
    ) -> None:
        self._timing = timing
        self._in_force = in_force
        self._batches = owned_batches
        self._grants = held_grants
        self._fleet = worker_fleet
        self._sizes = size_ratios
        self._decisions = decision_log
        self._metrics = metric_registry
        self._wake = wake
        self._worker_gone = worker_gone
        self._resolve_unconfirmed = resolve_unconfirmed
        self.waiting = taskqueues.WaitingTasks()
        self.placements: dict[str, Placement] = {}
        self.droppable: dict[str, list[str]] = {}
        self.avoided: dict[str, list[str]] = {}

    def handle_reports(self, worker: str, reports: workers.Reports) -> None:
        now = time.monotonic()
        view = self._fleet.views.get(worker)
        if view is not None and reports.free is not resources.ZERO:
            view.update_free(reports.free, now)
        for report in reports.tasks:
            placement = self.placements.get(report.task)
            if placement is not None and placement.worker == worker:
                self.handle_report(placement, report, now)
        self._wake.set()

    def confirm(self, placement: Placement) -> None:
        """Record that a worker runs a task."""
        placement.confirmed = True
        if placement.task.state is tasks.State.STARTING:
            tasks.apply_event(placement.task, "confirm")

    def handle_report(
        self, placement: Placement, report: workers.Report, now: float
    ) -> None:
        placement.used = placement.used.elementwise_max(report.used)
        match report.state:
            case "running":
                self.confirm(placement)
            case "done":
                self.end_task(placement, tasks.State.DONE, "done", now)
            case "failed":
                self._failed(placement, now)
            case "stopped":
                self.end_task(
                    placement, tasks.State.CANCELLED, "stopped by a call", now
                )
            case "checkpointed":
                placement.task.checkpoint = report.checkpoint
                self.requeue(placement, "checkpointed for urgent work")
            case "lapsed":
                self._interrupted(placement, "the lease lapsed", now)
            case "refused":
                self.requeue(placement, "it never started there")
            case "unknown" if placement.confirmed:
                self._interrupted(placement, "the worker forgot the task", now)
            case "unknown":
                self._resolve_unconfirmed(placement)

    def _failed(self, placement: Placement, now: float) -> None:
        task = placement.task
        task.attempts += 1
        ejected = self._fleet.health.record_result(
            placement.worker, False, now
        )
        if ejected is not None:
            LOG.warning(
                "worker ejected for its error rate; it gets no new tasks",
                extra={"worker": placement.worker, "why": ejected.reason},
            )
        if not task.repeatable:
            self.end_task(placement, tasks.State.FAILED, "failed", now, False)
        elif task.attempts >= tasks.MAX_ATTEMPTS:
            reason = f"failed on {task.attempts} workers"
            self.end_task(placement, tasks.State.SET_ASIDE, reason, now, False)
        else:
            avoided = self.avoided.setdefault(task.task, [])
            avoided.append(placement.worker)
            del avoided[:-MAX_AVOIDED_WORKERS]
            self.requeue(placement, f"failed on {placement.worker}")

    def _interrupted(
        self, placement: Placement, reason: str, now: float
    ) -> None:
        placement.task.attempts += 1
        if not placement.task.repeatable:
            self.end_task(placement, tasks.State.UNKNOWN, reason, now, None)
        elif placement.task.attempts >= tasks.MAX_ATTEMPTS:
            self.end_task(placement, tasks.State.SET_ASIDE, reason, now, None)
        else:
            self.requeue(placement, reason)

    def requeue(self, placement: Placement, reason: str) -> None:
        if not self.remove_placement(placement):
            return
        started = placement.task.state is tasks.State.RUNNING
        tasks.apply_event(placement.task, "interrupt" if started else "refuse")
        self.droppable.setdefault(placement.worker, []).append(
            placement.task.task
        )
        self.waiting.requeue(placement.task)
        self._batches.mark_dirty(placement.task.task)
        self.explain(placement.task, "wait again", reason)

    def end_task(
        self,
        placement: Placement,
        state: tasks.State,
        reason: str,
        now: float,
        succeeded: bool | None = True,
    ) -> None:
        if not self.remove_placement(placement):
            return
        task = placement.task
        tasks.apply_event(task, END_EVENTS[state])
        task.reason = reason
        if succeeded:
            self._fleet.health.record_result(placement.worker, True, now)
        if any(placement.used.values()):
            self._sizes.observe(
                task.team, task.kind, task.size, placement.used
            )
        self.droppable.setdefault(placement.worker, []).append(task.task)
        self.avoided.pop(task.task, None)
        self._batches.mark_dirty(task.task)
        self._metrics.count("tasks", team=task.team, state=state.value)
        self.explain(task, state.value, reason)

    def remove_placement(self, placement: Placement) -> bool:
        """Remove a placement; return False when it was removed before."""
        if self.placements.get(placement.task.task) is not placement:
            return False
        del self.placements[placement.task.task]
        self._grants.local_grant(placement.task.team).release(
            placement.task.task
        )
        self._wake.set()
        return True

    def resolve_expired(self, now: float) -> None:
        """Settle the tasks whose worker does not answer.

        A worker stops a task when its lease expires, even if the worker is
        partitioned, so that the task no longer runs after the lease.
        """
        expiry_seconds = lease_expiry_seconds(self._timing)
        for placement in list(self.placements.values()):
            gone = self._worker_gone(placement.worker)
            silence = now - placement.last_contact_at
            if not gone and silence < expiry_seconds:
                continue
            if (
                placement.task.repeatable
                or gone
                or silence > MAX_SILENCE_SECONDS
            ):
                self._interrupted(placement, "its worker is silent", now)

    def drop_batch(self, owned: batches.OwnedBatch) -> None:
        """Drop a batch that another VM has taken over."""
        for task in owned.batch.tasks:
            self.waiting.remove(task.task)
            placement = self.placements.get(task.task)
            if placement is not None:
                self.remove_placement(placement)
        self._batches.drop(owned)
        LOG.warning(
            "batch dropped; another entry VM owns it",
            extra={"batch": owned.batch.batch},
        )

    def owned_batch(self, task: tasks.Task) -> batches.OwnedBatch | None:
        location = tasks.parse_identifier(task.task)
        return self._batches.owned.get(location[1]) if location else None

    def explain(self, task: tasks.Task, what: str, inputs: str) -> None:
        self._decisions.record(
            "task",
            task.task,
            decisions.Decision(
                time.time(),
                what,
                inputs,
                self._in_force.assurances.source("team", task.team),
            ),
        )


def lease_expiry_seconds(timing: settings.Timing) -> float:
    """Return the time after which a task lease has surely expired."""
    return (
        timing.task_lease_seconds * (1 + timing.clock_rate_margin)
        + timing.lease_margin_seconds
    )
