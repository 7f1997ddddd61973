"""Decides what starts where, and what has to stop, in one pool.

Steps are taken by priority, then those whose job can still be in time:
jobs that have begun before new ones, so that a full pool finishes what it
has, and the one with the least time left first. Jobs that a team sends
beyond its rate come last, teams above their share after the others.
"""

import collections
import itertools
import logging
import typing as t

from agaterudder.jobs import emptying
from agaterudder.jobs import fleet
from agaterudder.jobs import orders
from agaterudder.jobs import pool as pools
from agaterudder.jobs import rules
from agaterudder.jobs import runs
from agaterudder.jobs import stragglers
from agaterudder.jobs import throttling
from agaterudder import resources

LOG = logging.getLogger(__name__)

STOP_AGAIN_SECONDS = 0.5
THROTTLE_AGAIN_SECONDS = 0.3
# A job that has not begun and has less time to spare will not be in time.
BEGIN_LAXITY_SECONDS = 0.25
# Starts in one turn, so that a turn stays short.
STARTS_PER_TURN = 120
PREEMPT_AGAIN_SECONDS = 1.0
# Part of a task's expected time that it waits for the rack of its data.
WAIT_FOR_RACK_PART = 0.5
POLICY_MOST_WORKERS = 30


class Plan:
    """One turn of planning.

    :param now: seconds of this machine's steady clock.
    """

    def __init__(self, state: pools.Pool, now: float) -> None:
        self._state = state
        self._now = now
        self._orders: list[orders.Order] = []
        self._starts = 0
        self._usable = [
            worker for worker in state.workers.values() if self._takes(worker)
        ]
        self._blocked_teams: set[str] = set()

    def make(self) -> list[orders.Order]:
        """Return the orders of this turn."""
        state = self._state
        self._empty_leaving()
        self._move_stragglers()
        self._stop_unwanted()
        self._throttle()
        recovering = state.recovering(self._now)
        for step in self._in_order():
            if self._starts >= STARTS_PER_TURN:
                break
            if recovering and step.job.recovered:
                continue
            self._place(step)
        return self._orders

    def _takes(self, worker: fleet.WorkerState) -> bool:
        return (
            worker.takes_work(self._now)
            and worker.entry.data_centre not in self._state.taken_out
        )

    # Stops

    def _empty_leaving(self) -> None:
        """Stop what has to go from workers that leave."""
        for worker in self._state.workers.values():
            if not worker.leaving or not worker.runs:
                continue
            for run in emptying.runs_to_stop(
                worker, self._state.bounds, self._has_place(worker), self._now
            ):
                run.stop_reason = f"worker leaves: {worker.leaving}"

    def _move_stragglers(self) -> None:
        """Start tasks again that a slow or stuck worker holds up."""
        state = self._state
        for step in state.ready.values():
            if step.finished or step.step.long_running:
                continue
            for run in [run for task in step.tasks for run in task.runs]:
                if not stragglers.held_up(run, state.bounds.stop):
                    continue
                need = state.room_of(step)
                if any(
                    need.fits_in(other.free)
                    for other in self._usable
                    if other is not run.worker
                ):
                    assert run.task is not None
                    run.task.moves += 1
                    run.task.avoid.add(run.worker.name)
                    run.stop_reason = "its worker is slow"

    def _has_place(self, worker: fleet.WorkerState) -> bool:
        """Return whether each lasting task fits on some other worker."""
        steps = [
            run.task.step
            for run in worker.runs.values()
            if run.task is not None and run.task.step.step.long_running
        ]
        return all(
            any(
                self._state.room_of(step).fits_in(other.free)
                and self._within_spread(step, other)
                for other in self._usable
            )
            for step in steps
        )

    def _stop_unwanted(self) -> None:
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.stop_reason and self._stop_due(run):
                    run.stop_sent_at = self._now
                    self._orders.append(orders.Stop(run))

    def _stop_due(self, run: runs.Run) -> bool:
        if run.state is runs.RunState.SENT:
            return False
        return self._now - run.stop_sent_at > STOP_AGAIN_SECONDS

    # Throttling

    def _throttle(self) -> None:
        """Slow tasks that fill where they disturb tasks that serve."""
        for worker in self._state.workers.values():
            if not worker.mixed:
                continue
            percent = throttling.share(worker, self._now)
            for run in worker.runs.values():
                if self._throttle_due(run, percent):
                    run.throttle_sent_at = self._now
                    self._orders.append(orders.Throttle(run, percent))

    def _throttle_due(self, run: runs.Run, percent: int) -> bool:
        return (
            run.task is not None
            and run.task.step.step.uses_leftover
            and run.state is runs.RunState.RUNNING
            and run.throttled_to != percent
            and self._now - run.throttle_sent_at > THROTTLE_AGAIN_SECONDS
        )

    # Order of the steps

    def _in_order(self) -> list[runs.StepRun]:
        waiting = [
            step
            for step in self._state.ready.values()
            if step.ready_at and step.job.ending is None
        ]
        shares = self._shares()
        return sorted(waiting, key=lambda step: self._rank(step, shares))

    def _rank(
        self, step: runs.StepRun, shares: t.Mapping[str, float]
    ) -> tuple[int, bool, bool, bool, bool, float]:
        queue = self._queue(step)
        if step.step.long_running:
            return (queue.priority, False, False, False, False, step.ready_at)
        job = step.job
        laxity = self._laxity(step, queue)
        late = laxity < (0.0 if job.started else BEGIN_LAXITY_SECONDS)
        over_share = shares.get(job.job.team, 0.0) > 1.0
        return (
            queue.priority,
            job.beyond_share,
            late,
            not job.started,
            over_share,
            laxity,
        )

    def _laxity(self, step: runs.StepRun, queue: rules.Queue) -> float:
        """Return the time left before the objective can't be met."""
        known = self._state.estimates
        first = step.job.steps[f"{step.occurrence}.0"]
        whole = known.chain_seconds(first)
        left = known.chain_seconds(step)
        objective = queue.stretch * whole + queue.target_seconds
        begun = max(step.job.accepted_at, first.ready_at)
        return begun + objective - self._now - left

    def _shares(self) -> dict[str, float]:
        """Return what each team uses, as a part of its share."""
        used: dict[str, resources.Vector] = collections.defaultdict(
            lambda: resources.ZERO
        )
        room = resources.ZERO
        for worker in self._usable:
            room = room + worker.entry.size
            for run in worker.runs.values():
                if run.task is not None:
                    team = run.task.step.job.job.team
                    used[team] = used[team] + run.size
        present = {
            step.job.job.team for step in self._state.ready.values()
        } | set(used)
        weights = {team: self._state.limits.weight(team) for team in present}
        whole = sum(weights.values()) or 1.0
        return {
            team: amount.dominant_share(room) / (weights[team] / whole)
            for team, amount in used.items()
        }

    def _queue(self, step: runs.StepRun) -> rules.Queue:
        name = step.job.job.queue
        known = self._state.queues.get(name)
        return known or rules.Queue(name, "", "", self._state.name)

    # Places

    def _place(self, step: runs.StepRun) -> None:
        tasks = step.waiting_tasks(self._now)
        if not tasks:
            return
        candidates = self._candidates(step)
        if candidates is None:
            return
        if step.step.gang or step.step.rack_local:
            self._place_together(step, tasks, candidates)
            return
        for task in tasks:
            if self._starts >= STARTS_PER_TURN:
                return
            worker = self._choose(step, task, candidates)
            if worker is None:
                self._make_room(step, task, candidates)
                return
            if not self._afford(step, [task], tasks):
                return
            self._start(task, worker, self._state.next_run())

    def _candidates(
        self, step: runs.StepRun
    ) -> list[fleet.WorkerState] | None:
        """Return the workers for a step, None while the policy is asked."""
        label = step.step.required_label
        found = [
            worker
            for worker in self._usable
            if not label or label in worker.entry.labels
        ]
        if self._queue(step).policy is None:
            return found
        tickets = step.tickets
        if tickets is None or tickets.until <= self._now:
            if found and not step.asking:
                step.asking = True
                names = [worker.name for worker in found[:POLICY_MOST_WORKERS]]
                self._orders.append(orders.AskPolicy(step, tuple(names)))
            return None
        return [worker for worker in found if worker.name in tickets.by_worker]

    def _choose(
        self,
        step: runs.StepRun,
        task: runs.Task,
        candidates: list[fleet.WorkerState],
    ) -> fleet.WorkerState | None:
        need = self._state.room_of(step)
        others = [
            worker for worker in candidates if worker.name not in task.avoid
        ]
        fitting = [
            worker
            for worker in others or candidates
            if need.fits_in(worker.free) and self._within_spread(step, worker)
        ]
        near = self._near(step, fitting, candidates)
        if not near:
            return None
        if step.step.uses_leftover:
            return min(near, key=self._disturbance)
        if step.step.long_running:
            # On few workers, so that the others can be given back.
            return max(
                near,
                key=lambda worker: (worker.lasting > 0, worker.free.cores),
            )
        return min(near, key=lambda worker: worker.free.cores)

    def _near(
        self,
        step: runs.StepRun,
        fitting: list[fleet.WorkerState],
        candidates: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers near the data; others after a short wait."""
        rack = step.step.data_rack
        if not rack:
            return fitting
        near = [worker for worker in fitting if worker.entry.rack == rack]
        if near:
            return near
        exists = any(worker.entry.rack == rack for worker in candidates)
        patience = WAIT_FOR_RACK_PART * self._state.estimates.seconds(step)
        if exists and self._now - step.ready_at < patience:
            return []
        return fitting

    @staticmethod
    def _disturbance(
        worker: fleet.WorkerState,
    ) -> tuple[int, bool, int, float]:
        """Order workers for tasks that fill: those that serve come last."""
        serving = sum(
            1
            for run in worker.runs.values()
            if run.task is not None and run.task.step.step.target_seconds > 0
        )
        return (
            serving,
            not worker.lasting,
            -worker.fill_percent,
            -worker.free.cores,
        )

    @staticmethod
    def _within_spread(step: runs.StepRun, worker: fleet.WorkerState) -> bool:
        most = step.step.most_per_worker
        return not most or step.on_worker(worker.name) < most

    def _afford(
        self,
        step: runs.StepRun,
        tasks: t.Sequence[runs.Task],
        waiting: t.Sequence[runs.Task],
    ) -> bool:
        """Return whether the team's grant covers the tasks."""
        team = step.job.job.team
        limits = self._state.limits
        if not limits.limited(team):
            return True
        size = step.step.size.scaled(len(tasks))
        if limits.fits(team, size):
            return True
        limits.need(team, size, step.step.size.scaled(len(waiting)), self._now)
        return False

    def _place_together(
        self,
        step: runs.StepRun,
        tasks: list[runs.Task],
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Place all tasks at once, on one rack where that matters."""
        gang = step.step.gang
        if gang and len(tasks) < len(step.tasks):
            return
        if step.step.rack_local:
            groups = self._rack_groups(step, candidates)
        else:
            groups = [candidates]
        for group in groups:
            chosen = self._fit_all(step, tasks, group)
            if chosen is not None:
                break
        else:
            return
        if not self._afford(step, tasks, tasks):
            return
        number = self._state.next_run()
        for task, worker in zip(tasks, chosen):
            own = number if gang else self._state.next_run()
            self._start(task, worker, own)

    def _rack_groups(
        self, step: runs.StepRun, candidates: list[fleet.WorkerState]
    ) -> list[list[fleet.WorkerState]]:
        by_rack = fleet.racks(candidates)
        present = {
            run.worker.entry.rack for task in step.tasks for run in task.runs
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
        patience = self._state.estimates.seconds(step)
        if self._now - step.ready_at > patience:
            groups.append(candidates)
        return groups

    def _fit_all(
        self,
        step: runs.StepRun,
        tasks: list[runs.Task],
        group: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState] | None:
        need = self._state.room_of(step)
        most = step.step.most_per_worker
        free = {worker.name: worker.free for worker in group}
        count = {worker.name: step.on_worker(worker.name) for worker in group}
        chosen: list[fleet.WorkerState] = []
        for _ in tasks:
            fitting = [
                worker
                for worker in group
                if need.fits_in(free[worker.name])
                and (not most or count[worker.name] < most)
            ]
            if not fitting:
                return None
            best = max(fitting, key=lambda worker: free[worker.name].cores)
            free[best.name] = free[best.name] - need
            count[best.name] += 1
            chosen.append(best)
        return chosen

    def _start(
        self, task: runs.Task, worker: fleet.WorkerState, number: int
    ) -> None:
        state = self._state
        step = task.step
        run = state.begin(task, worker, number, self._now)
        state.limits.spend(step.job.job.team, run.spending, step.step.size)
        run.deadline = worker.lease_deadline(
            self._now, state.bounds.worker_lease
        )
        worker.latest_deadline = max(worker.latest_deadline, run.deadline)
        tickets = step.tickets
        ticket = tickets.by_worker.get(worker.name, "") if tickets else ""
        self._orders.append(orders.Start(run, task.checkpoint, ticket))
        self._starts += 1
        LOG.info(
            "task placed",
            extra={
                "task": task.name,
                "run": number,
                "worker": worker.name,
                "free": round(worker.free.cores, 2),
                "team": step.job.job.team,
                "heard": round(self._now - worker.heard_at, 3),
            },
        )

    # Preemption

    def _make_room(
        self,
        step: runs.StepRun,
        task: runs.Task,
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Stop runs of lower priority where that makes room for a task."""
        if self._now - task.preempted_at < PREEMPT_AGAIN_SECONDS:
            return
        need = self._state.room_of(step)
        priority = self._queue(step).priority
        options = [
            victims
            for worker in candidates
            if self._within_spread(step, worker)
            and (victims := self._victims(worker, need, priority)) is not None
        ]
        if not options:
            return
        victims = min(options, key=self._loss)
        task.preempted_at = self._now
        for run in victims:
            run.stop_reason = f"room for {task.name}"
        self._stop_unwanted()

    def _victims(
        self, worker: fleet.WorkerState, need: resources.Vector, priority: int
    ) -> list[runs.Run] | None:
        lower = sorted(
            (
                run
                for run in worker.runs.values()
                if run.task is not None
                and not run.task.step.step.long_running
                and self._queue(run.task.step).priority > priority
            ),
            key=lambda run: -run.working_since,
        )
        room = worker.free
        stopping = [run for run in worker.runs.values() if run.stop_reason]
        for run in stopping:
            room = room + run.size
        if need.fits_in(room):
            return None
        for count, run in enumerate(lower, 1):
            if run.stop_reason:
                continue
            room = room + run.size
            if need.fits_in(room):
                return list(
                    itertools.filterfalse(
                        lambda item: item.stop_reason, lower[:count]
                    )
                )
        return None

    def _loss(self, victims: list[runs.Run]) -> float:
        return sum(
            (self._now - run.working_since) * run.size.cores
            for run in victims
            if run.working_since
        )
