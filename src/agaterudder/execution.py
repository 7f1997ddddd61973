"""Runs the tasks of the batches that this VM owns.

An entry VM owns the batches that it committed or adopted. A batch is settled
once every task in it has ended.

Separate greenlets commit submissions, schedule tasks, renew leases and write
changed batches. All state belongs to :class:`Execution`; calls to workers run
in greenlets of their own and report back through its methods.
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
from agaterudder import taskqueues
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

SCHEDULE_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 1.0
RENEW_INTERVAL_SECONDS = 0.5
# Every n-th renewal round includes idle workers, for their free capacity.
FULL_RENEWAL_ROUNDS = 4
MAX_CONCURRENT_STARTS = 64
MAX_STEPS_PER_POOL = 200
# Time for which a preempted worker is reserved for the urgent task.
RESERVATION_SECONDS = 4.0
DEMAND_SAMPLE_TASKS = 20
MAX_GRANT_REQUEST_FRACTION = 0.25
DRAIN_GRACE_SECONDS = 10.0


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
    """Schedules and tracks the tasks of the batches of this VM."""

    __slots__ = (
        "_settings",
        "_in_force",
        "_batches",
        "_grants",
        "_fleet",
        "_callbacks",
        "_metrics",
        "_sizes",
        "_outcomes",
        "_wake",
        "_starts",
        "_grant_requests",
        "_deferred_since",
        "_reservations",
        "_draining_since",
        "_newly_started",
        "stopping",
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
        self._in_force = in_force
        self._batches = batches.Batches(
            checked.entry.vm,
            checked.entry.data_centre,
            table,
            checked.timing.batch_seconds,
            checked.limits.tasks,
            self._enqueue_waiting,
        )
        self._grants = grants.Grants(checked.entry.vm, table)
        self._fleet = local_fleet
        self._callbacks = callbacks
        self._metrics = metrics_registry
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
            self._spawn_revocation,
        )
        self._starts = gevent.pool.Pool(MAX_CONCURRENT_STARTS)
        self._grant_requests: dict[str, escrow.GrantRequest] = {}
        self._deferred_since: dict[str, float] = {}
        self._reservations: dict[str, str] = {}
        self._draining_since: dict[str, float] = {}
        self._newly_started: dict[str, resources.Vector] = {}
        self.stopping = False

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

    @property
    def grant_requests(self) -> dict[str, escrow.GrantRequest]:
        """Amounts that teams need beyond their grants, by team."""
        return self._grant_requests

    def limit(self, team: str) -> grants.TeamLimit:
        """Return a team's upper limit in the configuration in force."""
        found = self._in_force.assurances.teams.get(team)
        limit = found.limit if found else resources.UNLIMITED
        return grants.TeamLimit(limit, self._in_force.version)

    def start(self) -> list[gevent.Greenlet]:
        """Start the greenlets of the loops."""
        loops = (
            self._batches.run,
            self._scheduling_loop,
            self._renewal_loop,
            self._settlement_loop,
        )
        return [gevent.spawn(loop) for loop in loops]

    def _enqueue_waiting(self, batch: tasks.Batch) -> None:
        """Queue the waiting tasks of a batch that was committed."""
        for task in batch.tasks:
            if task.state is tasks.State.WAITING:
                self._outcomes.waiting.add(task)
        self._wake.set()

    # Starting

    def _scheduling_loop(self) -> None:
        while True:
            idle = not len(self._outcomes.waiting)
            self._wake.wait(
                timeout=(
                    IDLE_INTERVAL_SECONDS
                    if idle
                    else SCHEDULE_INTERVAL_SECONDS
                )
            )
            self._wake.clear()
            self.schedule(time.monotonic(), time.time())

    def schedule(self, now: float, wall_time: float) -> int:
        """Start the tasks that fit; return the number of starts.

        A pass is bounded by ``MAX_STEPS_PER_POOL`` decisions for each worker
        pool and by ``MAX_CONCURRENT_STARTS`` start calls in progress.
        """
        if self.stopping:
            return 0
        started = 0
        view = self._callbacks.scheduling_view()
        self._newly_started = {}
        for pool in self._outcomes.waiting.pools():
            blocked = self._blocked_teams(pool, now)
            for _ in range(MAX_STEPS_PER_POOL):
                if self._starts.free_count() == 0:
                    return started
                step = self._next_step(pool, view, blocked, now, wall_time)
                match step:
                    case scheduling.Launch():
                        self._launch(step, now)
                        team = step.task.team
                        before = self._usage(view).get(team, resources.ZERO)
                        self._newly_started[team] = before + step.amount
                        started += 1
                    case scheduling.NeedGrant(team=team, amount=amount):
                        blocked.add(team)
                        self._grant_requests[team] = self._grant_request(
                            team, amount
                        )
                    case scheduling.NeedPreemption():
                        self._preempt(step, now)
                        break
                    case scheduling.NoStep():
                        break
        return started

    def _blocked_teams(self, pool: str, now: float) -> set[str]:
        """Return the waiting teams whose tasks may not start now."""
        return {
            team
            for team in self._outcomes.waiting.teams(pool)
            if self._callbacks.check_start(team, now) is not None
        }

    def _next_step(
        self,
        pool: str,
        view: scheduling.View,
        blocked: set[str],
        now: float,
        wall_time: float,
    ) -> scheduling.Step:
        current_view = dataclasses.replace(
            view,
            usage=self._usage(view),
            blocked=frozenset(blocked),
            deferred_since=self._deferred_since,
        )
        step = scheduling.next_step(
            pool,
            self._outcomes.waiting,
            self._fleet,
            self._sizes,
            self._local_grant,
            current_view,
            self._workers_to_avoid,
            now,
            wall_time,
        )
        self._record_deferral(pool, step, now)
        return step

    def _usage(
        self, view: scheduling.View
    ) -> collections.ChainMap[str, resources.Vector]:
        """Return the fleet usage including the starts of this pass."""
        return collections.ChainMap(
            self._newly_started, t.cast(t.Any, view.usage)
        )

    def _workers_to_avoid(self, task: str) -> list[str]:
        """Return workers that failed a task or are reserved for another."""
        reserved = [
            worker
            for worker, urgent_task in self._reservations.items()
            if urgent_task != task
        ]
        return [*self._outcomes.avoided.get(task, ()), *reserved]

    def _local_grant(self, team: str) -> escrow.LocalGrant:
        local_grant = self._grants.local_grant(team)
        local_grant.apply_limit(self.limit(team).limit)
        return local_grant

    def _record_deferral(
        self, pool: str, step: scheduling.Step, now: float
    ) -> None:
        if isinstance(step, scheduling.Launch):
            self._deferred_since.pop(step.task.team, None)
            return
        for team in self._outcomes.waiting.teams(pool):
            self._deferred_since.setdefault(team, now)

    def _grant_request(
        self, team: str, amount: resources.Vector
    ) -> escrow.GrantRequest:
        """Return the grant to request: the sampled tasks, up to a maximum."""
        free = self._grants.local_grant(team).free
        minimum = (amount - free).elementwise_max(resources.ZERO)
        sample = self._outcomes.waiting.sample(team, DEMAND_SAMPLE_TASKS)
        demand = resources.total(task.size for task in sample)
        max_request = self.limit(team).limit.scaled(MAX_GRANT_REQUEST_FRACTION)
        wanted = (
            (demand - free)
            .elementwise_max(resources.ZERO)
            .elementwise_min(max_request)
        )
        return escrow.GrantRequest(minimum, wanted)

    def _launch(self, step: scheduling.Launch, now: float) -> None:
        task = step.task
        self._outcomes.waiting.remove(task.task)
        self._release_reservation(task.task)
        tasks.apply_event(task, "launch")
        task.starts += 1
        placement = outcomes.Placement(
            task, step.worker, step.amount, False, now
        )
        self._outcomes.placements[task.task] = placement
        self._fleet.views[step.worker].reserve(step.amount)
        self._fleet.health.record_chosen(step.worker, now)
        self._outcomes.explain(
            task, f"start on {step.worker}", f"size {step.amount.values()}"
        )
        self._starts.spawn(self._start_on_worker, placement)

    def _start_on_worker(self, placement: outcomes.Placement) -> None:
        client = self._callbacks.worker(placement.worker)
        owned = self._outcomes.owned_batch(placement.task)
        refused = self._callbacks.check_start(
            placement.task.team, time.monotonic()
        )
        if client is None or owned is None or refused is not None:
            self._not_started(placement, "the worker or the batch left", False)
            return
        answer = client.start(
            workers.Start(
                placement.task.task,
                owned.batch.batch,
                owned.batch.epoch,
                placement.task.starts,
                self._settings.timing.task_lease_seconds,
                placement.amount,
                placement.task.size,
                placement.task.run_seconds,
                placement.task.checkpoint,
            )
        )
        now = time.monotonic()
        match answer:
            case workers.Started():
                placement.confirmed = True
                placement.last_contact_at = now
                self._outcomes.confirm(placement)
                delay = time.time() - placement.task.submitted_at
                self._report_late_start(placement.task, delay)
                self._metrics.observe(
                    "task_start",
                    delay,
                    team=placement.task.team,
                    priority=placement.task.priority.value,
                )
            case workers.NotStarted(reason=reason, fenced=fenced):
                self._fleet.health.end_probe(placement.worker)
                self._not_started(placement, reason, fenced)
            case workers.NoAnswer(reason=reason):
                placement.last_contact_at = now
                LOG.warning(
                    "worker did not answer a task start; the task may run",
                    extra={"task": placement.task.task, "why": reason},
                )

    def _report_late_start(self, task: tasks.Task, delay: float) -> None:
        """Report a start later than the assurance of its priority class."""
        in_force = self._in_force.assurances
        assured = in_force.classes.get(task.priority.value)
        if assured is None or delay <= assured.start_seconds:
            return
        source = in_force.source("class", task.priority.value)
        self._metrics.count("tasks_started_late", priority=task.priority.value)
        LOG.warning(
            "task started later than its class assurance allows",
            extra={"task": task.task, "delay": delay, "assurance": source},
        )
        self._outcomes.explain(
            task, f"started after {delay:.1f} s, later than {source}", "wait"
        )

    def _not_started(
        self, placement: outcomes.Placement, reason: str, fenced: bool
    ) -> None:
        if not self._outcomes.remove_placement(placement):
            return
        # The worker knows a newer epoch of the batch, hence another owner.
        if fenced:
            owned = self._outcomes.owned_batch(placement.task)
            if owned is not None:
                self._outcomes.drop_batch(owned)
            return
        view = self._fleet.views.get(placement.worker)
        if view is not None:
            # No further starts there until the worker reports its capacity.
            view.free = resources.ZERO
        tasks.apply_event(placement.task, "refuse")
        self._outcomes.waiting.requeue(placement.task)
        self._outcomes.explain(placement.task, "wait again", reason)

    def _preempt(self, step: scheduling.NeedPreemption, now: float) -> None:
        if step.task.task in self._reservations.values():
            return
        running = [
            (placement.task, placement.worker, placement.amount)
            for placement in self._outcomes.placements.values()
            if placement.confirmed
        ]
        chosen = scheduling.victims(step.amount, running, self._fleet, now)
        if not chosen:
            return
        self._reservations[chosen[0][1]] = step.task.task
        gevent.spawn_later(
            RESERVATION_SECONDS, self._release_reservation, step.task.task
        )
        gevent.spawn(self._checkpoint, chosen, f"room for {step.task.task}")

    def _release_reservation(self, urgent_task: str) -> None:
        """Let other tasks use the workers reserved for an urgent task."""
        self._reservations = {
            worker: task
            for worker, task in self._reservations.items()
            if task != urgent_task
        }

    def checkpoint_all(
        self, running: t.Iterable[tasks.Task], reason: str
    ) -> None:
        """Checkpoint running tasks and return them to the queue."""
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
                client = self._callbacks.worker(worker)
                if client is None:
                    continue
                self._outcomes.explain(task, "checkpoint", reason)
                self._outcomes.handle_reports(
                    worker, client.checkpoint(task.task)
                )
        except exceptions.StoreUnavailable as error:
            LOG.info(
                "worker did not answer a checkpoint call", extra={"why": error}
            )
        finally:
            self._wake.set()

    def evacuate(self, draining: t.Collection[str], now: float) -> None:
        """Checkpoint the tasks on workers that drain beyond the grace time.

        This is repeated at most once in each further grace time.

        :param draining: all workers that drain now.
        """
        self._draining_since = {
            worker: self._draining_since.get(worker, now)
            for worker in draining
        }
        for worker, since in self._draining_since.items():
            if now - since >= DRAIN_GRACE_SECONDS:
                self._draining_since[worker] = now
                self._evacuate_worker(worker)

    def _evacuate_worker(self, worker: str) -> None:
        running = [
            placement.task
            for placement in self._outcomes.placements.values()
            if placement.worker == worker and placement.confirmed
        ]
        self.checkpoint_all(running, "its worker drains")

    # Leases and outcomes

    def _renewal_loop(self) -> None:
        for round_number in itertools.count():
            calls = [
                gevent.spawn(self.renew, worker)
                for worker in self._workers_to_renew(round_number)
            ]
            gevent.joinall(calls, timeout=workers.TIMEOUT_SECONDS * 2)
            self.resolve_expired(time.monotonic())
            gevent.sleep(RENEW_INTERVAL_SECONDS)

    def _workers_to_renew(self, round_number: int = 0) -> set[str]:
        """Return the workers to call in a round.

        They are those with tasks of this VM or records to drop; every
        ``FULL_RENEWAL_ROUNDS`` rounds, they are all workers.
        """
        running = {
            placement.worker
            for placement in self._outcomes.placements.values()
        }
        targets = running.union(self._outcomes.droppable)
        if round_number % FULL_RENEWAL_ROUNDS == 0:
            targets.update(self._fleet.views)
        return targets

    def renew(self, worker: str) -> None:
        """Renew the leases on one worker and process its reports."""
        client = self._callbacks.worker(worker)
        if client is None:
            return
        own_tasks = [
            task
            for task, placement in self._outcomes.placements.items()
            if placement.worker == worker
            and time.monotonic() - placement.last_contact_at
            < outcomes.MAX_SILENCE_SECONDS
        ]
        droppable = self._outcomes.droppable.pop(worker, [])
        lease = self._settings.timing.task_lease_seconds
        asked_at = time.monotonic()
        try:
            reports = client.renew(own_tasks, droppable, lease)
        except exceptions.StoreUnavailable:
            self._outcomes.droppable.setdefault(worker, []).extend(droppable)
            return
        for task in own_tasks:
            placement = self._outcomes.placements.get(task)
            if placement is not None and placement.confirmed:
                placement.last_contact_at = asked_at
        self._outcomes.handle_reports(worker, reports)

    def resolve_expired(self, now: float) -> None:
        """Resolve the tasks whose worker no longer answers."""
        self._outcomes.resolve_expired(now)

    def _spawn_revocation(self, placement: outcomes.Placement) -> None:
        gevent.spawn(self._revoke_unanswered_start, placement)

    def _revoke_unanswered_start(self, placement: outcomes.Placement) -> None:
        """Revoke a start that the worker did not answer, so it never runs."""
        client = self._callbacks.worker(placement.worker)
        if client is None or placement.task.state is not tasks.State.STARTING:
            return
        if (
            time.monotonic() - placement.last_contact_at
            < workers.TIMEOUT_SECONDS
        ):
            return
        reports = self._stop_run(client, placement)
        if reports is not None:
            self._outcomes.handle_reports(placement.worker, reports)

    def _stop_run(
        self, client: workers.Worker, placement: outcomes.Placement
    ) -> workers.Reports | None:
        owned = self._outcomes.owned_batch(placement.task)
        if owned is None:
            return None
        try:
            return client.stop(
                placement.task.task, owned.batch.epoch, placement.task.starts
            )
        except exceptions.StoreUnavailable as error:
            LOG.info("worker did not answer a stop call", extra={"why": error})
            return None

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
            gevent.spawn(self._stop_cancelled, placement)
        return task.state

    def _stop_cancelled(self, placement: outcomes.Placement) -> None:
        client = self._callbacks.worker(placement.worker)
        reports = self._stop_run(client, placement) if client else None
        if reports is None:
            return
        for report in reports.tasks:
            if report.state == "refused":
                self._outcomes.end_task(
                    placement,
                    tasks.State.CANCELLED,
                    "cancelled before it started",
                    time.monotonic(),
                    None,
                )
        self._outcomes.handle_reports(placement.worker, reports)

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
