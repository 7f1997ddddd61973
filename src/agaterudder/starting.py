"""Starts the waiting tasks of the batches that this VM owns."""

import collections
import dataclasses
import logging
import time
import typing as t

import gevent
import gevent.event
import gevent.pool

from agaterudder import checkpoints
from agaterudder import codes
from agaterudder import configuration
from agaterudder import escrow
from agaterudder import fleet
from agaterudder import grants
from agaterudder import metrics
from agaterudder import outcomes
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import sizes
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

SCHEDULE_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 1.0
MAX_CONCURRENT_STARTS = 64
MAX_STEPS_PER_POOL = 200
# Time for which a preempted worker is reserved for the urgent task.
RESERVATION_SECONDS = 4.0
DEMAND_SAMPLE_TASKS = 20
MAX_GRANT_REQUEST_FRACTION = 0.25


class Starter:
    """Schedules waiting tasks and starts them on workers.

    :ivar grant_requests: amounts that teams need beyond their grants, by
        team.
    :ivar stopping: whether no more tasks start, as the process ends.
    :param lease_seconds: length of the lease of a started task.
    :param check_start: returns the refusal when a team's tasks may not start
        now.
    :param scheduling_view: returns the usage of the teams in the fleet and the
        capacity, for a scheduling decision.
    :param worker: returns the client of a worker by its VM.
    """

    __slots__ = (
        "_lease_seconds",
        "_in_force",
        "_grants",
        "_fleet",
        "_check_start",
        "_scheduling_view",
        "_worker",
        "_metrics",
        "_sizes",
        "_outcomes",
        "_checkpoints",
        "_wake",
        "_starts",
        "_deferred_since",
        "_reservations",
        "_newly_started",
        "grant_requests",
        "stopping",
    )

    def __init__(
        self,
        lease_seconds: float,
        in_force: configuration.ActiveConfiguration,
        held_grants: grants.Grants,
        local_fleet: fleet.Fleet,
        size_ratios: sizes.Sizes,
        task_outcomes: outcomes.Outcomes,
        checkpointer: checkpoints.Checkpoints,
        metrics_registry: metrics.Metrics,
        wake: gevent.event.Event,
        check_start: t.Callable[[str, float], codes.Refused | None],
        scheduling_view: t.Callable[[], scheduling.View],
        worker: t.Callable[[str], workers.Worker | None],
    ) -> None:
        self._lease_seconds = lease_seconds
        self._in_force = in_force
        self._grants = held_grants
        self._fleet = local_fleet
        self._check_start = check_start
        self._scheduling_view = scheduling_view
        self._worker = worker
        self._metrics = metrics_registry
        self._sizes = size_ratios
        self._outcomes = task_outcomes
        self._checkpoints = checkpointer
        self._wake = wake
        self._starts = gevent.pool.Pool(MAX_CONCURRENT_STARTS)
        self._deferred_since: dict[str, float] = {}
        self._reservations: dict[str, str] = {}
        self._newly_started: dict[str, resources.Vector] = {}
        self.grant_requests: dict[str, escrow.GrantRequest] = {}
        self.stopping = False

    def limit(self, team: str) -> grants.TeamLimit:
        """Return a team's upper limit in the configuration in force."""
        found = self._in_force.assurances.teams.get(team)
        limit = found.limit if found else resources.UNLIMITED
        return grants.TeamLimit(limit, self._in_force.version)

    def run(self) -> None:
        """Schedule until the greenlet is killed."""
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
        view = self._scheduling_view()
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
                        self.grant_requests[team] = self._grant_request(
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
            if self._check_start(team, now) is not None
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
        client = self._worker(placement.worker)
        owned = self._outcomes.owned_batch(placement.task)
        refused = self._check_start(placement.task.team, time.monotonic())
        if client is None or owned is None or refused is not None:
            self._not_started(placement, "the worker or the batch left", False)
            return
        answer = client.start(
            workers.Start(
                placement.task.task,
                owned.batch.batch,
                owned.batch.epoch,
                placement.task.starts,
                self._lease_seconds,
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
        self._checkpoints.spawn(chosen, f"room for {step.task.task}")

    def _release_reservation(self, urgent_task: str) -> None:
        """Let other tasks use the workers reserved for an urgent task."""
        self._reservations = {
            worker: task
            for worker, task in self._reservations.items()
            if task != urgent_task
        }
