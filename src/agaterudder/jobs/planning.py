"""Scheduler of one pool: decides which tasks start where and which stop.

Steps are ordered by the priority of their queue. Within a priority,
long-running tasks come first, in the order in which their turn came; room is
held free for them in a full pool. Of the others, jobs submitted above the
rate limit of their team come last, before them the jobs that can no longer
complete within their objective. Of the rest, started jobs precede those
without a started task, so that an overloaded pool completes jobs rather than
starting more; teams above their fair share come after the others, and among
equals the step with the least laxity (time to spare) comes first.
"""

import collections
import functools
import math
import typing as t

from agaterudder.jobs import draining
from agaterudder.jobs import fleet
from agaterudder.jobs import freecapacity
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import orders
from agaterudder.jobs import pool as pools
from agaterudder.jobs import preemption
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import stragglers
from agaterudder.jobs import throttling
from agaterudder import resources

# An order is sent again after this time while it has not taken effect.
STOP_RETRY_SECONDS = 0.5
THROTTLE_RETRY_SECONDS = 0.3
# A job without a started task that has less laxity will miss its objective
# and counts as overdue.
MIN_START_LAXITY_SECONDS = 0.25
# Limit of the starts in one round, which bounds its duration.
MAX_STARTS_PER_ROUND = 120
# Shortest time between two preemptions for the same task.
PREEMPT_RETRY_SECONDS = 1.0
# Fraction of a task's expected duration that it waits for a worker in the
# rack of its data.
DATA_RACK_WAIT_FRACTION = 0.5
# Limit of the workers in one request to the placement policy.
MAX_POLICY_WORKERS = 30


class Plan:
    """One scheduling round.

    It records the new runs and their reserved capacity in the pool's state;
    the caller sends the orders.

    :param now: seconds of this machine's monotonic clock.
    """

    def __init__(self, state: pools.Pool, now: float) -> None:
        self._state = state
        self._now = now
        self._orders: list[orders.Order] = []
        self._starts = 0
        self._usable = [
            worker
            for worker in state.workers.values()
            if self._accepts_tasks(worker)
        ]
        self._free = freecapacity.FreeCapacity(self._usable)

    def orders(self) -> list[orders.Order]:
        """Return the orders of this round."""
        state = self._state
        self._drain_cordoned()
        self._restart_stragglers()
        self._send_stops()
        self._throttle()
        recovering = state.recovery.pending(self._now)
        for step in self._sorted_steps():
            if self._starts >= MAX_STARTS_PER_ROUND:
                break
            if recovering and step.job.recovered:
                continue
            self._place_step(step)
        state.placements.write()
        return self._orders

    def _accepts_tasks(self, worker: fleet.WorkerState) -> bool:
        return (
            worker.accepts_tasks(self._now)
            and worker.registration.data_centre not in self._state.taken_out
        )

    # Stops

    def _drain_cordoned(self) -> None:
        """Mark the runs to be stopped on cordoned workers."""
        for worker in self._state.workers.values():
            if not worker.cordon_reason or not worker.runs:
                continue
            for run in draining.runs_to_stop(
                worker,
                self._state.bounds,
                self._fits_elsewhere(worker),
                self._now,
            ):
                run.stop_reason = f"worker cordoned: {worker.cordon_reason}"

    def _restart_stragglers(self) -> None:
        """Mark stragglers to be stopped, so that they restart elsewhere."""
        state = self._state
        for step in state.ready.values():
            if step.finished or step.step.long_running:
                continue
            for run in [run for task in step.tasks for run in task.runs]:
                if not stragglers.is_straggler(run, state.bounds.stop):
                    continue
                need = state.reserved_size(step)
                if any(
                    need.fits_in(other.free)
                    for other in self._usable
                    if other is not run.worker
                ):
                    assert run.task is not None
                    run.task.straggler_restarts += 1
                    run.task.excluded_workers.add(run.worker.name)
                    run.stop_reason = "straggler on a slow worker"

    def _fits_elsewhere(self, worker: fleet.WorkerState) -> bool:
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
                self._state.reserved_size(step).fits_in(other.free)
                and self._within_worker_limit(step, other)
                for other in self._usable
            )
            for step in steps
        )

    def _send_stops(self) -> None:
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.stop_reason and self._stop_due(run):
                    run.stop_sent_at = self._now
                    self._orders.append(orders.Stop(run))

    def _stop_due(self, run: runs.Run) -> bool:
        if run.state is runs.RunState.SENT:
            return False
        return self._now - run.stop_sent_at > STOP_RETRY_SECONDS

    # Throttling

    def _throttle(self) -> None:
        """Throttle best-effort tasks that slow latency-sensitive ones."""
        for worker in self._state.workers.values():
            if not worker.has_mixed_load:
                continue
            percent = throttling.adjust_speed(worker, self._now)
            for run in worker.runs.values():
                if self._throttle_due(run, percent):
                    run.throttle_sent_at = self._now
                    self._orders.append(orders.Throttle(run, percent))

    def _throttle_due(self, run: runs.Run, percent: int) -> bool:
        return (
            run.task is not None
            and run.task.step.step.best_effort
            and run.state is runs.RunState.RUNNING
            and run.speed_percent != percent
            and self._now - run.throttle_sent_at > THROTTLE_RETRY_SECONDS
        )

    # Order of the steps

    def _sorted_steps(self) -> list[runs.StepRun]:
        waiting = [
            step
            for step in self._state.ready.values()
            if step.ready_at and step.job.ending is None
        ]
        shares = self._shares()
        return sorted(waiting, key=lambda step: self._rank(step, shares))

    def _rank(
        self, step: runs.StepRun, shares: t.Mapping[str, float]
    ) -> tuple[int, bool, bool, bool, bool, float, float]:
        queue = self._queue(step)
        if step.step.long_running:
            return (
                queue.priority,
                False,
                False,
                False,
                False,
                -math.inf,
                step.ready_at,
            )
        job = step.job
        laxity = self._laxity(step, queue)
        overdue = laxity < (0.0 if job.started else MIN_START_LAXITY_SECONDS)
        over_share = shares.get(job.job.team, 0.0) > 1.0
        return (
            queue.priority,
            job.over_submission_rate,
            overdue,
            not job.started,
            over_share,
            laxity,
            step.ready_at,
        )

    def _laxity(
        self, step: runs.StepRun, queue: operatorconfig.Queue
    ) -> float:
        """Return the seconds to spare before the objective is missed.

        The objective is the time within which the occurrence is to be
        completed.
        """
        estimates = self._state.estimates
        first = step.job.steps[f"{step.occurrence}.0"]
        total = estimates.critical_path_seconds(first)
        remaining = estimates.critical_path_seconds(step)
        objective = queue.stretch * total + queue.target_seconds
        started_at = max(step.job.accepted_at, first.ready_at)
        return started_at + objective - self._now - remaining

    def _shares(self) -> dict[str, float]:
        """Return the dominant share of each team over its fair share.

        The fair shares divide the pool by weight among the teams that use
        capacity or have unfinished steps.
        """
        used: dict[str, resources.Vector] = collections.defaultdict(
            lambda: resources.ZERO
        )
        capacity = resources.ZERO
        for worker in self._usable:
            capacity = capacity + worker.registration.size
            for run in worker.runs.values():
                if run.task is not None:
                    team = run.task.step.job.job.team
                    used[team] = used[team] + run.size
        present = {
            step.job.job.team for step in self._state.ready.values()
        } | set(used)
        weights = {team: self._state.limits.weight(team) for team in present}
        total = sum(weights.values()) or 1.0
        return {
            team: amount.dominant_share(capacity) / (weights[team] / total)
            for team, amount in used.items()
        }

    def _queue(self, step: runs.StepRun) -> operatorconfig.Queue:
        name = step.job.job.queue
        known = self._state.queues.get(name)
        return known or operatorconfig.Queue(name, "", "", self._state.name)

    # Placement

    def _place_step(self, step: runs.StepRun) -> None:
        tasks = step.waiting_tasks(self._now)
        if not tasks:
            return
        candidates = self._candidates(step)
        if candidates is None:
            return
        if step.step.gang or step.step.rack_local:
            self._place_all(step, tasks, candidates)
            return
        for task in tasks:
            if self._starts >= MAX_STARTS_PER_ROUND:
                return
            worker = self._choose_worker(step, task, candidates)
            if worker is None:
                self._preempt(step, task, candidates)
                if step.step.long_running:
                    self._hold_room(step, tasks, candidates)
                    return
                if task.excluded_workers:
                    # The next task may be kept from fewer workers.
                    continue
                return
            if not self._grant_covers(step, [task], tasks):
                return
            self._start(task, worker, self._state.next_run())

    def _hold_room(
        self,
        step: runs.StepRun,
        tasks: list[runs.Task],
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Keep room free for the waiting tasks of a long-running step.

        Each holds room on a worker of its own, the one with the most left:
        later steps of the round get nothing there, so that the ends of its
        shorter tasks make room.
        """
        waiting = [task for task in tasks if task.waiting]
        if not self._grant_covers(step, waiting[:1], tasks):
            return
        need = self._state.reserved_size(step)
        rack = step.step.data_rack
        near = [w for w in candidates if w.registration.rack == rack]
        able = [
            worker
            for worker in near or candidates
            if need.fits_in(worker.free_without_short_tasks)
            and self._within_worker_limit(step, worker)
        ]
        able.sort(key=lambda worker: -self._free.of(worker).cores)
        for worker, _ in zip(able, waiting):
            self._free.hold(worker, need)

    def _candidates(
        self, step: runs.StepRun
    ) -> list[fleet.WorkerState] | None:
        """Return the workers for a step, None without valid tickets.

        The queue may have a placement policy, a service that permits tasks
        on a worker by issuing a ticket, which the worker checks. Requests
        the tickets when there are none.
        """
        label = step.step.required_label
        found = [
            worker
            for worker in self._usable
            if not label or label in worker.registration.labels
        ]
        if self._queue(step).policy is None:
            return found
        tickets = step.tickets
        if tickets is None or tickets.until <= self._now:
            if found and not step.policy_request_pending:
                step.policy_request_pending = True
                names = [worker.name for worker in found[:MAX_POLICY_WORKERS]]
                self._orders.append(orders.RequestTickets(step, tuple(names)))
            return None
        return [worker for worker in found if worker.name in tickets.by_worker]

    def _choose_worker(
        self,
        step: runs.StepRun,
        task: runs.Task,
        candidates: list[fleet.WorkerState],
    ) -> fleet.WorkerState | None:
        need = self._state.reserved_size(step)
        if self._free.fits_nowhere(need):
            return None
        others = [
            worker
            for worker in candidates
            if worker.name not in task.excluded_workers
        ]
        fitting = self._fitting(step, need, others)
        if not fitting and self._may_use_excluded(step, need, others):
            fitting = self._fitting(step, need, candidates)
        preferred = self._prefer_data_rack(step, fitting, candidates)
        if not preferred:
            return None
        if step.step.best_effort:
            return min(preferred, key=self._interference_rank)
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

    def _fitting(
        self,
        step: runs.StepRun,
        need: resources.Vector,
        workers: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers that can take one more task of a step."""
        with_room = self._free.fitting(need, workers)
        if not with_room and len(workers) == len(self._usable):
            self._free.mark_unplaceable(need)
        return [
            worker
            for worker in with_room
            if self._within_worker_limit(step, worker)
        ]

    def _may_use_excluded(
        self,
        step: runs.StepRun,
        need: resources.Vector,
        others: list[fleet.WorkerState],
    ) -> bool:
        """Return whether a task may return to a worker that it is kept from.

        A long-running task is to run wherever it can; any other waits for
        room on the others, if the ends of their short tasks can make room.
        """
        return step.step.long_running or not any(
            self._within_worker_limit(step, worker)
            and need.fits_in(worker.free_without_short_tasks)
            for worker in others
        )

    def _prefer_data_rack(
        self,
        step: runs.StepRun,
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
        wait_seconds = DATA_RACK_WAIT_FRACTION * self._state.estimates.seconds(
            step
        )
        if exists and self._now - step.ready_at < wait_seconds:
            return []
        return fitting

    @staticmethod
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

    @staticmethod
    def _within_worker_limit(
        step: runs.StepRun, worker: fleet.WorkerState
    ) -> bool:
        limit = step.step.max_per_worker
        return not limit or step.count_on_worker(worker.name) < limit

    def _grant_covers(
        self,
        step: runs.StepRun,
        tasks: t.Sequence[runs.Task],
        waiting: t.Sequence[runs.Task],
    ) -> bool:
        """Return whether the team's grant covers the tasks.

        The grant is the part of the team's upper limit that this pool may
        use. Requests a larger grant if it does not.

        :param waiting: all tasks of the step that wait for a start.
        """
        team = step.job.job.team
        limits = self._state.limits
        if not limits.limited(team):
            return True
        size = step.step.size.scaled(len(tasks))
        if limits.fits(team, size):
            return True
        limits.request_grant(
            team, size, step.step.size.scaled(len(waiting)), self._now
        )
        return False

    def _place_all(
        self,
        step: runs.StepRun,
        tasks: list[runs.Task],
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Place all tasks or none, on one rack if the step asks for it."""
        gang = step.step.gang
        if gang and len(tasks) < len(step.tasks):
            return
        if step.step.rack_local:
            groups = self._rack_groups(step, candidates)
        else:
            groups = [candidates]
        for group in groups:
            chosen = self._assign_workers(step, tasks, group)
            if chosen is not None:
                break
        else:
            return
        if not self._grant_covers(step, tasks, tasks):
            return
        number = self._state.next_run()
        for task, worker in zip(tasks, chosen):
            run_number = number if gang else self._state.next_run()
            self._start(task, worker, run_number)

    def _rack_groups(
        self, step: runs.StepRun, candidates: list[fleet.WorkerState]
    ) -> list[list[fleet.WorkerState]]:
        by_rack = fleet.racks(candidates)
        present = {
            run.worker.registration.rack
            for task in step.tasks
            for run in task.runs
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
        wait_seconds = self._state.estimates.seconds(step)
        if self._now - step.ready_at > wait_seconds:
            groups.append(candidates)
        return groups

    def _assign_workers(
        self,
        step: runs.StepRun,
        tasks: list[runs.Task],
        group: list[fleet.WorkerState],
    ) -> list[fleet.WorkerState] | None:
        need = self._state.reserved_size(step)
        limit = step.step.max_per_worker
        free = {worker.name: self._free.of(worker) for worker in group}
        count = {
            worker.name: step.count_on_worker(worker.name) for worker in group
        }
        chosen: list[fleet.WorkerState] = []
        for _ in tasks:
            fitting = [
                worker
                for worker in group
                if need.fits_in(free[worker.name])
                and (not limit or count[worker.name] < limit)
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
        kind = task.start_kind
        before = task.last_run
        runstarts.record_placement(state, task, kind, self._now)
        run = state.add_run(task, worker, number, self._now)
        self._free.reread(worker)
        state.limits.charge(step.job.job.team, run.limit_key, step.step.size)
        run.deadline = worker.lease_deadline(
            self._now, state.bounds.worker_lease
        )
        worker.latest_deadline = max(worker.latest_deadline, run.deadline)
        tickets = step.tickets
        ticket = tickets.by_worker.get(worker.name, "") if tickets else ""
        self._orders.append(orders.Start(run, task.checkpoint, ticket))
        self._starts += 1
        state.placements.add(run, kind, before, self._now)

    # Preemption

    def _preempt(
        self,
        step: runs.StepRun,
        task: runs.Task,
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Stop runs of lower priority to free capacity for a task."""
        if self._now - task.last_preemption_at < PREEMPT_RETRY_SECONDS:
            return
        priority = self._queue(step).priority
        if self._least_urgent is None or self._least_urgent <= priority:
            return
        victims = preemption.choose_victims(
            (
                worker
                for worker in candidates
                if self._within_worker_limit(step, worker)
            ),
            self._state.reserved_size(step),
            priority,
            self._priority,
            self._now,
        )
        if not victims:
            return
        task.last_preemption_at = self._now
        for run in victims:
            run.stop_reason = f"room for {task.name}"
        self._send_stops()

    @functools.cached_property
    def _least_urgent(self) -> int | None:
        """Least urgent priority that can be preempted in this round."""
        return preemption.least_urgent(self._usable, self._priority)

    def _priority(self, step: runs.StepRun) -> int:
        return self._queue(step).priority
