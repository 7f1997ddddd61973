"""Turns what workers report into outcomes of tasks.

Owns which tasks wait and which were started; every change of a task's state
goes through the chart ``charts/task.yaml``.
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
from agaterudder import tasks
from agaterudder import waiting
from agaterudder import workers

LOG = logging.getLogger(__name__)

MOST_AVOIDED = 10
UNKNOWN_SECONDS = 300.0
ENDINGS = {
    tasks.State.DONE: "finish",
    tasks.State.FAILED: "fail",
    tasks.State.CANCELLED: "cancel",
    tasks.State.SET_ASIDE: "give_up",
    tasks.State.UNKNOWN: "lose_track",
}


class Placement:
    """A task that was started, or may have been.

    :ivar certain: whether the worker confirmed the start.
    """

    __slots__ = ("task", "worker", "amount", "certain", "since", "used")

    def __init__(
        self,
        task: tasks.Task,
        worker: str,
        amount: resources.Vector,
        certain: bool,
        since: float,
    ) -> None:
        self.task = task
        self.worker = worker
        self.amount = amount
        self.certain = certain
        self.since = since
        self.used = resources.ZERO


class Outcomes:
    """Waiting and started tasks of this VM, and how they end.

    :ivar waiting: tasks that have not started.
    :ivar placements: started tasks, by identifier.
    :ivar forget: ended tasks that a worker may forget, by worker.
    :ivar avoided: workers that failed a task, by task.
    :param unsure: asks after a start that had no answer.
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
        "_unsure",
        "waiting",
        "placements",
        "forget",
        "avoided",
    )

    def __init__(
        self,
        timing: settings.Timing,
        in_force: configuration.InForce,
        owned: batches.Batches,
        held_grants: grants.Grants,
        workers_here: fleet.Fleet,
        learnt: sizes.Sizes,
        log: decisions.Decisions,
        measured: metrics.Metrics,
        wake: gevent.event.Event,
        worker_gone: t.Callable[[str], bool],
        unsure: t.Callable[["Placement"], None],
    ) -> None:
        self._timing = timing
        self._in_force = in_force
        self._batches = owned
        self._grants = held_grants
        self._fleet = workers_here
        self._sizes = learnt
        self._decisions = log
        self._metrics = measured
        self._wake = wake
        self._worker_gone = worker_gone
        self._unsure = unsure
        self.waiting = waiting.WaitingTasks()
        self.placements: dict[str, Placement] = {}
        self.forget: dict[str, list[str]] = {}
        self.avoided: dict[str, list[str]] = {}

    def take_reports(self, worker: str, reports: workers.Reports) -> None:
        now = time.monotonic()
        view = self._fleet.views.get(worker)
        if view is not None and reports.free is not resources.ZERO:
            view.reported(reports.free, now)
        for report in reports.tasks:
            place = self.placements.get(report.task)
            if place is not None and place.worker == worker:
                self.take_report(place, report, now)
        self._wake.set()

    def confirm(self, place: Placement) -> None:
        """Note that a worker runs a task."""
        place.certain = True
        if place.task.state is tasks.State.STARTING:
            tasks.move(place.task, "confirm")

    def take_report(
        self, place: Placement, report: workers.Report, now: float
    ) -> None:
        place.used = place.used.larger(report.used)
        match report.state:
            case "running":
                self.confirm(place)
            case "done":
                self.ended(place, tasks.State.DONE, "done", now)
            case "failed":
                self._failed(place, now)
            case "stopped":
                self.ended(
                    place, tasks.State.CANCELLED, "stopped by a call", now
                )
            case "checkpointed":
                place.task.checkpoint = report.checkpoint
                self.again(place, "checkpointed for urgent work")
            case "lapsed":
                self._interrupted(place, "the lease lapsed", now)
            case "refused":
                self.again(place, "it never started there")
            case "unknown" if place.certain:
                self._interrupted(place, "the worker forgot the task", now)
            case "unknown":
                self._unsure(place)

    def _failed(self, place: Placement, now: float) -> None:
        task = place.task
        task.attempts += 1
        ejected = self._fleet.health.result(place.worker, False, now)
        if ejected is not None:
            LOG.warning(
                "worker ejected",
                extra={"worker": place.worker, "why": ejected.reason},
            )
        if not task.repeatable:
            self.ended(place, tasks.State.FAILED, "failed", now, False)
        elif task.attempts >= tasks.MOST_ATTEMPTS:
            reason = f"failed on {task.attempts} workers"
            self.ended(place, tasks.State.SET_ASIDE, reason, now, False)
        else:
            avoided = self.avoided.setdefault(task.task, [])
            avoided.append(place.worker)
            del avoided[:-MOST_AVOIDED]
            self.again(place, f"failed on {place.worker}")

    def _interrupted(self, place: Placement, reason: str, now: float) -> None:
        place.task.attempts += 1
        if not place.task.repeatable:
            self.ended(place, tasks.State.UNKNOWN, reason, now, None)
        elif place.task.attempts >= tasks.MOST_ATTEMPTS:
            self.ended(place, tasks.State.SET_ASIDE, reason, now, None)
        else:
            self.again(place, reason)

    def again(self, place: Placement, reason: str) -> None:
        if not self.unplace(place):
            return
        started = place.task.state is tasks.State.RUNNING
        tasks.move(place.task, "interrupt" if started else "refuse")
        self.forget.setdefault(place.worker, []).append(place.task.task)
        self.waiting.put_back(place.task)
        self._batches.changed(place.task.task)
        self.explain(place.task, "wait again", reason)

    def ended(
        self,
        place: Placement,
        state: tasks.State,
        reason: str,
        now: float,
        succeeded: bool | None = True,
    ) -> None:
        if not self.unplace(place):
            return
        task = place.task
        tasks.move(task, ENDINGS[state])
        task.reason = reason
        if succeeded:
            self._fleet.health.result(place.worker, True, now)
        if any(place.used.values()):
            self._sizes.observe(task.team, task.kind, task.size, place.used)
        self.forget.setdefault(place.worker, []).append(task.task)
        self.avoided.pop(task.task, None)
        self._batches.changed(task.task)
        self._metrics.count("tasks", team=task.team, state=state.value)
        self.explain(task, state.value, reason)

    def unplace(self, place: Placement) -> bool:
        """Free what a task used; return False when it was done before."""
        if self.placements.get(place.task.task) is not place:
            return False
        del self.placements[place.task.task]
        self._grants.holding(place.task.team).release(place.task.task)
        self._wake.set()
        return True

    def resolve_lapsed(self, now: float) -> None:
        """Decide about tasks whose worker stays silent.

        A worker stops a task whose lease lapsed, also when it is cut off,
        so that after the lease the task runs no more.
        """
        lapse = lapse_seconds(self._timing)
        for place in list(self.placements.values()):
            gone = self._worker_gone(place.worker)
            silent = now - place.since
            if not gone and silent < lapse:
                continue
            if place.task.repeatable or gone or silent > UNKNOWN_SECONDS:
                self._interrupted(place, "its worker is silent", now)

    def lose(self, held: batches.Held) -> None:
        """Drop a batch that another VM owns now."""
        for task in held.batch.tasks:
            self.waiting.remove(task.task)
            place = self.placements.get(task.task)
            if place is not None:
                self.unplace(place)
        self._batches.drop(held)
        LOG.warning("batch lost", extra={"batch": held.batch.batch})

    def held(self, task: tasks.Task) -> batches.Held | None:
        place = tasks.batch_of(task.task)
        return self._batches.held.get(place[1]) if place else None

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


def lapse_seconds(timing: settings.Timing) -> float:
    """Return the time after which a lease given before has lapsed."""
    return (
        timing.task_lease_seconds * (1 + timing.clock_rate_margin)
        + timing.lease_margin_seconds
    )
