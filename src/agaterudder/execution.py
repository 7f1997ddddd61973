"""Runs the tasks of the batches that this VM owns.

One task schedules, one renews leases for each worker, one settles, and
one adopts. All state belongs to :class:`Execution`; what takes time runs
beside it and reports back to its methods.
"""

import collections
import dataclasses
import itertools
import logging
import time
import typing as t

import gevent
import gevent.event
import gevent.pool

from agaterudder import batches
from agaterudder import codes
from agaterudder import configuration
from agaterudder import decisions
from agaterudder import escrow
from agaterudder import exceptions
from agaterudder import fleet
from agaterudder import grants
from agaterudder import metrics
from agaterudder import outcomes
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import settings
from agaterudder import sizes
from agaterudder import store
from agaterudder import tasks
from agaterudder import waiting
from agaterudder import workers

LOG = logging.getLogger(__name__)

TURN_SECONDS = 0.05
IDLE_SECONDS = 1.0
RENEW_SECONDS = 0.5
ASK_ALL_TURNS = 4
STARTS_AT_ONCE = 64
STEPS_PER_TURN = 200
KEEP_SECONDS = 4.0
SAMPLE_TASKS = 20
GRANT_FRACTION = 0.25
DRAIN_PATIENCE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the execution asks of the rest of the process.

    :ivar may_start: refusal when no keyed task may start now.
    :ivar view: usage elsewhere and capacity, for a decision.
    :ivar worker: client of a worker by its VM.
    :ivar worker_gone: whether the platform says that a worker is gone.
    """

    may_start: t.Callable[[str, float], codes.Refused | None]
    view: t.Callable[[], scheduling.View]
    worker: t.Callable[[str], workers.Worker | None]
    worker_gone: t.Callable[[str], bool]


class Execution:
    """Waiting and running tasks of this VM."""

    __slots__ = (
        "_settings",
        "_in_force",
        "_batches",
        "_grants",
        "_fleet",
        "_around",
        "_metrics",
        "_sizes",
        "_outcomes",
        "_wake",
        "_starts",
        "_needs",
        "_deferred",
        "_kept_free",
        "_draining",
        "_started",
        "stopping",
    )

    def __init__(
        self,
        checked: settings.Settings,
        in_force: configuration.InForce,
        table: store.Store,
        workers_here: fleet.Fleet,
        around: Surroundings,
        log: decisions.Decisions,
        measured: metrics.Metrics,
    ) -> None:
        self._settings = checked
        self._in_force = in_force
        self._batches = batches.Batches(
            checked.entry.vm,
            checked.entry.data_centre,
            table,
            checked.timing.batch_seconds,
            checked.limits.tasks,
            self._committed,
        )
        self._grants = grants.Grants(checked.entry.vm, table)
        self._fleet = workers_here
        self._around = around
        self._metrics = measured
        self._sizes = sizes.Sizes()
        self._wake = gevent.event.Event()
        self._outcomes = outcomes.Outcomes(
            checked.timing,
            in_force,
            self._batches,
            self._grants,
            workers_here,
            self._sizes,
            log,
            measured,
            self._wake,
            around.worker_gone,
            self._make_sure_later,
        )
        self._starts = gevent.pool.Pool(STARTS_AT_ONCE)
        self._needs: dict[str, escrow.Need] = {}
        self._deferred: dict[str, float] = {}
        self._kept_free: dict[str, str] = {}
        self._draining: dict[str, float] = {}
        self._started: dict[str, resources.Vector] = {}
        self.stopping = False

    @property
    def owned(self) -> batches.Batches:
        """Batches that this VM owns."""
        return self._batches

    @property
    def held_grants(self) -> grants.Grants:
        """Grants that this VM holds."""
        return self._grants

    @property
    def waiting(self) -> waiting.WaitingTasks:
        """Tasks that have not started."""
        return self._outcomes.waiting

    @property
    def placements(self) -> dict[str, outcomes.Placement]:
        """Started tasks."""
        return self._outcomes.placements

    @property
    def needs(self) -> dict[str, escrow.Need]:
        """Amounts that teams need beyond their grants."""
        return self._needs

    def limit(self, team: str) -> grants.TeamLimit:
        """Return the upper limit of a team in the version in force."""
        found = self._in_force.assurances.teams.get(team)
        limit = found.limit if found else resources.UNLIMITED
        return grants.TeamLimit(limit, self._in_force.version)

    def start(self) -> list[gevent.Greenlet]:
        """Start the loops."""
        loops = (
            self._batches.run,
            self._schedule_forever,
            self._renew_forever,
            self._settle_forever,
        )
        return [gevent.spawn(loop) for loop in loops]

    def _committed(self, batch: tasks.Batch) -> None:
        for task in batch.tasks:
            if task.state is tasks.State.WAITING:
                self._outcomes.waiting.add(task)
        self._wake.set()

    # Starting

    def _schedule_forever(self) -> None:
        while True:
            idle = not len(self._outcomes.waiting)
            self._wake.wait(timeout=IDLE_SECONDS if idle else TURN_SECONDS)
            self._wake.clear()
            self.schedule(time.monotonic(), time.time())

    def schedule(self, now: float, wall: float) -> int:
        """Start what can start; return the number of starts."""
        if self.stopping:
            return 0
        started = 0
        view = self._around.view()
        self._started = {}
        for pool in self._outcomes.waiting.pools():
            blocked = self._refused_teams(pool, now)
            for _ in range(STEPS_PER_TURN):
                if self._starts.free_count() == 0:
                    return started
                step = self._next_step(pool, view, blocked, now, wall)
                match step:
                    case scheduling.Launch():
                        self._launch(step, now)
                        team = step.task.team
                        before = self._usage(view).get(team, resources.ZERO)
                        self._started[team] = before + step.amount
                        started += 1
                    case scheduling.NeedGrant(team=team, amount=amount):
                        blocked.add(team)
                        self._needs[team] = self._need(team, amount)
                    case scheduling.NeedRoom():
                        self._make_room(step, now)
                        break
                    case scheduling.Nothing():
                        break
        return started

    def _refused_teams(self, pool: str, now: float) -> set[str]:
        """Return the waiting teams whose tasks may not start now."""
        return {
            team
            for team in self._outcomes.waiting.teams(pool)
            if self._around.may_start(team, now) is not None
        }

    def _next_step(
        self,
        pool: str,
        view: scheduling.View,
        blocked: set[str],
        now: float,
        wall: float,
    ) -> scheduling.Step:
        full = dataclasses.replace(
            view,
            usage=self._usage(view),
            blocked=frozenset(blocked),
            deferred_since=self._deferred,
        )
        step = scheduling.next_step(
            pool,
            self._outcomes.waiting,
            self._fleet,
            self._sizes,
            self._holding,
            full,
            self._workers_to_avoid,
            now,
            wall,
        )
        self._note_deferred(pool, step, now)
        return step

    def _usage(
        self, view: scheduling.View
    ) -> collections.ChainMap[str, resources.Vector]:
        """Return the usage in the fleet with what started this turn."""
        return collections.ChainMap(self._started, t.cast(t.Any, view.usage))

    def _workers_to_avoid(self, task: str) -> list[str]:
        """Return workers that failed a task or are kept for another."""
        kept = [
            worker
            for worker, urgent in self._kept_free.items()
            if urgent != task
        ]
        return [*self._outcomes.avoided.get(task, ()), *kept]

    def _holding(self, team: str) -> escrow.Holding:
        holding = self._grants.holding(team)
        holding.limit_is(self.limit(team).limit)
        return holding

    def _note_deferred(
        self, pool: str, step: scheduling.Step, now: float
    ) -> None:
        if isinstance(step, scheduling.Launch):
            self._deferred.pop(step.task.team, None)
            return
        for team in self._outcomes.waiting.teams(pool):
            self._deferred.setdefault(team, now)

    def _need(self, team: str, amount: resources.Vector) -> escrow.Need:
        """Return how much to ask for: the next tasks, within reason."""
        free = self._grants.holding(team).free
        least = (amount - free).larger(resources.ZERO)
        sample = self._outcomes.waiting.sample(team, SAMPLE_TASKS)
        asked = resources.total(task.size for task in sample)
        quarter = self.limit(team).limit.scaled(GRANT_FRACTION)
        wanted = (asked - free).larger(resources.ZERO).smaller(quarter)
        return escrow.Need(least, wanted)

    def _launch(self, step: scheduling.Launch, now: float) -> None:
        task = step.task
        self._outcomes.waiting.remove(task.task)
        self._keep_no_more(task.task)
        tasks.move(task, "launch")
        task.starts += 1
        place = outcomes.Placement(task, step.worker, step.amount, False, now)
        self._outcomes.placements[task.task] = place
        self._fleet.views[step.worker].started(step.amount)
        self._fleet.health.chosen(step.worker, now)
        self._outcomes.explain(
            task, f"start on {step.worker}", f"size {step.amount.values()}"
        )
        self._starts.spawn(self._start_on_worker, place)

    def _start_on_worker(self, place: outcomes.Placement) -> None:
        client = self._around.worker(place.worker)
        held = self._outcomes.held(place.task)
        refused = self._around.may_start(place.task.team, time.monotonic())
        if client is None or held is None or refused is not None:
            self._not_started(place, "the worker or the batch left", False)
            return
        answer = client.start(
            workers.Start(
                place.task.task,
                held.batch.batch,
                held.batch.epoch,
                place.task.starts,
                self._settings.timing.task_lease_seconds,
                place.amount,
                place.task.size,
                place.task.run_seconds,
                place.task.checkpoint,
            )
        )
        now = time.monotonic()
        match answer:
            case workers.Started():
                place.certain = True
                place.since = now
                self._outcomes.confirm(place)
                delay = time.time() - place.task.submitted_at
                self._check_start(place.task, delay)
                self._metrics.observe(
                    "task_start",
                    delay,
                    team=place.task.team,
                    priority=place.task.priority.value,
                )
            case workers.NotStarted(reason=reason, fenced=fenced):
                self._fleet.health.unused(place.worker)
                self._not_started(place, reason, fenced)
            case workers.NoAnswer(reason=reason):
                place.since = now
                LOG.warning(
                    "start unanswered",
                    extra={"task": place.task.task, "why": reason},
                )

    def _check_start(self, task: tasks.Task, delay: float) -> None:
        """Tell when a class started later than its assurance says."""
        known = self._in_force.assurances
        assured = known.classes.get(task.priority.value)
        if assured is None or delay <= assured.start_seconds:
            return
        source = known.source("class", task.priority.value)
        self._metrics.count("tasks_started_late", priority=task.priority.value)
        LOG.warning(
            "started late",
            extra={"task": task.task, "delay": delay, "assurance": source},
        )
        self._outcomes.explain(
            task, f"started after {delay:.1f} s, later than {source}", "wait"
        )

    def _not_started(
        self, place: outcomes.Placement, reason: str, fenced: bool
    ) -> None:
        if not self._outcomes.unplace(place):
            return
        if fenced:
            held = self._outcomes.held(place.task)
            if held is not None:
                self._outcomes.lose(held)
            return
        view = self._fleet.views.get(place.worker)
        if view is not None:
            view.free = resources.ZERO
        tasks.move(place.task, "refuse")
        self._outcomes.waiting.put_back(place.task)
        self._outcomes.explain(place.task, "wait again", reason)

    def _make_room(self, step: scheduling.NeedRoom, now: float) -> None:
        if step.task.task in self._kept_free.values():
            return
        running = [
            (place.task, place.worker, place.amount)
            for place in self._outcomes.placements.values()
            if place.certain
        ]
        chosen = scheduling.victims(step.amount, running, self._fleet, now)
        if not chosen:
            return
        self._kept_free[chosen[0][1]] = step.task.task
        gevent.spawn_later(KEEP_SECONDS, self._keep_no_more, step.task.task)
        gevent.spawn(self._checkpoint, chosen, f"room for {step.task.task}")

    def _keep_no_more(self, urgent: str) -> None:
        """Let other tasks use the room that was made for one."""
        self._kept_free = {
            worker: task
            for worker, task in self._kept_free.items()
            if task != urgent
        }

    def checkpoint_all(
        self, running: t.Iterable[tasks.Task], reason: str
    ) -> None:
        """Save the progress of running tasks and let them wait again."""
        placed = [
            (task, self._outcomes.placements[task.task].worker)
            for task in running
            if task.task in self._outcomes.placements
        ]
        gevent.spawn(self._checkpoint, placed, reason)

    def _checkpoint(
        self, chosen: list[tuple[tasks.Task, str]], reason: str
    ) -> None:
        try:
            for task, worker in chosen:
                client = self._around.worker(worker)
                if client is None:
                    continue
                self._outcomes.explain(task, "checkpoint", reason)
                self._outcomes.take_reports(
                    worker, client.checkpoint(task.task)
                )
        except exceptions.StoreUnavailable as error:
            LOG.info("checkpoint unanswered", extra={"why": error})
        finally:
            self._wake.set()

    def evacuate(self, worker: str) -> None:
        """Checkpoint what runs on a worker that drains too long."""
        now = time.monotonic()
        since = self._draining.setdefault(worker, now)
        if now - since < DRAIN_PATIENCE_SECONDS:
            return
        self._draining[worker] = now
        running = [
            place.task
            for place in self._outcomes.placements.values()
            if place.worker == worker and place.certain
        ]
        self.checkpoint_all(running, "its worker drains")

    # Leases and outcomes

    def _renew_forever(self) -> None:
        for turn in itertools.count():
            calls = [
                gevent.spawn(self.renew, worker)
                for worker in self._workers_to_ask(turn)
            ]
            gevent.joinall(calls, timeout=workers.TIMEOUT_SECONDS * 2)
            self.resolve_lapsed(time.monotonic())
            gevent.sleep(RENEW_SECONDS)

    def _workers_to_ask(self, turn: int = 0) -> set[str]:
        """Return workers with tasks of ours, and now and then all."""
        running = {
            place.worker for place in self._outcomes.placements.values()
        }
        asked = running.union(self._outcomes.forget)
        if turn % ASK_ALL_TURNS == 0:
            asked.update(self._fleet.views)
        return asked

    def renew(self, worker: str) -> None:
        """Renew the leases on one worker and take its reports."""
        client = self._around.worker(worker)
        if client is None:
            return
        mine = [
            task
            for task, place in self._outcomes.placements.items()
            if place.worker == worker
            and time.monotonic() - place.since < outcomes.UNKNOWN_SECONDS
        ]
        forget = self._outcomes.forget.pop(worker, [])
        lease = self._settings.timing.task_lease_seconds
        asked_at = time.monotonic()
        try:
            reports = client.renew(mine, forget, lease)
        except exceptions.StoreUnavailable:
            self._outcomes.forget.setdefault(worker, []).extend(forget)
            return
        for task in mine:
            place = self._outcomes.placements.get(task)
            if place is not None and place.certain:
                place.since = asked_at
        self._outcomes.take_reports(worker, reports)

    def resolve_lapsed(self, now: float) -> None:
        """Decide about tasks whose worker stays silent."""
        self._outcomes.resolve_lapsed(now)

    def _make_sure_later(self, place: outcomes.Placement) -> None:
        gevent.spawn(self._make_sure, place)

    def _make_sure(self, place: outcomes.Placement) -> None:
        """Ask a worker never to start a task whose start had no answer."""
        client = self._around.worker(place.worker)
        if client is None or place.task.state is not tasks.State.STARTING:
            return
        if time.monotonic() - place.since < workers.TIMEOUT_SECONDS:
            return
        reports = self._stop_run(client, place)
        if reports is not None:
            self._outcomes.take_reports(place.worker, reports)

    def _stop_run(
        self, client: workers.Worker, place: outcomes.Placement
    ) -> workers.Reports | None:
        held = self._outcomes.held(place.task)
        if held is None:
            return None
        try:
            return client.stop(
                place.task.task, held.batch.epoch, place.task.starts
            )
        except exceptions.StoreUnavailable as error:
            LOG.info("stop unanswered", extra={"why": error})
            return None

    # Settling

    def _settle_forever(self) -> None:
        while True:
            gevent.sleep(self._settings.timing.batch_seconds * 4)
            self.settle(time.monotonic())

    def settle(self, now: float) -> None:
        """Write the changed batches and forget those long settled."""
        for held in list(self._batches.held.values()):
            if held.dirty and self._worth_writing(held):
                refused = self._batches.write(held, now)
                if (
                    refused is not None
                    and refused.code is codes.Result.CONFLICT
                ):
                    self._outcomes.lose(held)
            retention = min(60.0, self._settings.timing.retention_seconds)
            if (
                held.settled_at is not None
                and now - held.settled_at > retention
            ):
                self._batches.drop(held)

    def _worth_writing(self, held: batches.Held) -> bool:
        """Return whether all ended, or a part that is worth a write."""
        if held.batch.settled:
            return True
        ended = sum(t.state in tasks.SETTLED for t in held.batch.tasks)
        return ended * 2 >= len(held.batch.tasks) or not any(
            task.task in self._outcomes.placements for task in held.batch.tasks
        )

    # Callers' and operators' calls

    def cancel(self, task: tasks.Task, now: float) -> tasks.State:
        """Cancel a task; a start that has not happened does not happen."""
        if task.task in self._outcomes.waiting:
            self._outcomes.waiting.remove(task.task)
            tasks.move(task, "cancel")
            task.reason = "cancelled before it started"
            self._batches.changed(task.task)
            self._outcomes.explain(task, "cancelled", "the caller")
            return task.state
        place = self._outcomes.placements.get(task.task)
        if place is not None:
            gevent.spawn(self._stop, place)
        return task.state

    def _stop(self, place: outcomes.Placement) -> None:
        client = self._around.worker(place.worker)
        reports = self._stop_run(client, place) if client else None
        if reports is None:
            return
        for report in reports.tasks:
            if report.state == "refused":
                self._outcomes.ended(
                    place,
                    tasks.State.CANCELLED,
                    "cancelled before it started",
                    time.monotonic(),
                    None,
                )
        self._outcomes.take_reports(place.worker, reports)

    def release_batches(self) -> None:
        """Give every open batch to the other entry VMs."""
        for held in list(self._batches.held.values()):
            if held.dirty:
                self._batches.write(held, time.monotonic())
            if held.batch.settled:
                continue
            placed = {
                task.task: self._outcomes.placements[task.task].worker
                for task in held.batch.tasks
                if task.task in self._outcomes.placements
            }
            if self._batches.release(held, placed) is None:
                self._outcomes.lose(held)

    # Adoption

    def resume(
        self,
        adopted: batches.Adopted,
        known: dict[str, workers.Report],
        where: dict[str, str],
    ) -> None:
        """Go on with an adopted batch.

        :param known: reports of its tasks from the workers.
        :param where: worker of each reported task.
        """
        now = time.monotonic()
        for task in adopted.held.batch.tasks:
            if task.state in tasks.SETTLED:
                continue
            report = known.get(task.task)
            # A row does not say whether a task was started.
            task.state = tasks.State.WAITING
            if report is None:
                self._outcomes.waiting.add(task)
                continue
            tasks.move(task, "launch")
            amount = self._sizes.corrected(task.team, task.kind, task.size)
            place = outcomes.Placement(
                task, where[task.task], amount, True, now
            )
            self._outcomes.placements[task.task] = place
            self._grants.holding(task.team).adopt(task.task, amount)
            self._outcomes.take_report(place, report, now)
        self._wake.set()
