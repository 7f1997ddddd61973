"""Scheduler of one pool: one round of starts, stops and throttling."""

import typing as t

from agaterudder.jobs import attemptworkers
from agaterudder.jobs import crashes
from agaterudder.jobs import fleet
from agaterudder.jobs import freecapacity
from agaterudder.jobs import groupchoice
from agaterudder.jobs import isolation
from agaterudder.jobs import jobruns
from agaterudder.jobs import orders
from agaterudder.jobs import pool as pools
from agaterudder.jobs import preemption
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import steporder
from agaterudder.jobs import stops
from agaterudder.jobs import storedattempts
from agaterudder.jobs import suspects
from agaterudder.jobs import throttling
from agaterudder.jobs import workerchoice

# Limit of the starts in one round, which bounds its duration.
MAX_STARTS_PER_ROUND = 120
# A worker may have shrunk since its registration was last confirmed. Longer
# than a call that waits for changes and gets no answer.
MAX_SIZE_AGE_SECONDS = 5.5
# Limit of the workers in one request to the placement policy.
MAX_POLICY_WORKERS = 30


class Plan:
    """One scheduling round.

    It records the new runs and their reserved capacity in the pool's state;
    the caller sends the orders.

    :param now: seconds of this machine's monotonic clock.
    """

    __slots__ = (
        "_state",
        "_now",
        "_orders",
        "_starts",
        "_recovering",
        "_isolation",
        "_usable",
        "_free",
        "_choice",
        "_preemption",
    )

    def __init__(self, state: pools.Pool, now: float) -> None:
        self._state = state
        self._now = now
        self._orders: list[orders.Order] = []
        self._starts = 0
        self._recovering = state.recovery.pending(now)
        accepting = [
            worker
            for worker in state.workers.values()
            if self._accepts_tasks(worker)
        ]
        self._isolation = isolation.Isolation(
            state, accepting, self._recovering, now
        )
        self._usable = self._isolation.others
        self._free = freecapacity.FreeCapacity(self._usable)
        self._choice = workerchoice.WorkerChoice(
            state, self._usable, self._free, now
        )
        self._preemption = preemption.Preemption(state, self._usable, now)

    def orders(self) -> list[orders.Order]:
        """Return the orders of this round."""
        state = self._state
        stops.drain_cordoned(state, self._usable, self._now)
        stops.restart_stragglers(state, self._usable)
        self._orders.extend(stops.due_stops(state, self._now))
        self._orders.extend(throttling.due_orders(state, self._now))
        for step in steporder.sorted_steps(state, self._usable, self._now):
            if self._starts >= MAX_STARTS_PER_ROUND:
                break
            if self._recovering and step.job.recovered:
                continue
            self._place_step(step)
        state.placements.write()
        return self._orders

    @property
    def _sizes_outdated(self) -> bool:
        age = self._now - self._state.sizes_confirmed_at
        return age > MAX_SIZE_AGE_SECONDS

    def _accepts_tasks(self, worker: fleet.WorkerState) -> bool:
        return (
            worker.accepts_tasks(self._now)
            and not self._sizes_outdated
            and worker.registration.data_centre not in self._state.taken_out
        )

    def _place_step(self, step: jobruns.StepRun) -> None:
        tasks = step.waiting_tasks(self._now)
        if self._state.suspects:
            suspected = [
                task for task in tasks if task in self._state.suspects
            ]
            tasks = [task for task in tasks if task not in suspected]
            self._place_apart(step, suspected)
        if not tasks:
            return
        candidates = self._candidates(step, self._usable)
        if candidates is None:
            return
        if step.step.gang or step.step.rack_local:
            self._place_all(step, tasks, candidates)
            return
        for task in tasks:
            if self._starts >= MAX_STARTS_PER_ROUND:
                return
            worker = self._prepared_worker(
                step, task, candidates
            ) or self._choice.choose(step, task, candidates)
            if worker is None:
                self._make_room(step, task, candidates)
                if step.step.long_running:
                    if self._grant_covers(step, [task], tasks):
                        self._choice.hold_room(step, tasks, candidates)
                    return
                if task.excluded_workers:
                    # The next task may be kept from fewer workers.
                    continue
                return
            if not self._grant_covers(step, [task], tasks):
                return
            numbers = storedattempts.stored_numbers(
                self._state, [task], [worker]
            )
            if numbers is None and not task.unit[0].prepared:
                # Enough attempts of its job are being stored.
                return
            if numbers is None:
                self._free.hold(worker, self._state.reserved_size(step))
                continue
            self._start(task, worker, numbers[0])

    def _place_apart(
        self, step: jobruns.StepRun, suspected: list[jobruns.Task]
    ) -> None:
        """Place suspects, each on the workers that are kept for it."""
        units = {task.unit_name: task.unit for task in suspected}
        for unit in units.values():
            workers = self._isolation.workers_for(unit[0])
            if not workers:
                continue
            if suspects.evidence(unit[0]).exhausted:
                crashes.judge_attempts(self._state, unit[0])
                return
            candidates = self._candidates(step, workers)
            if candidates is None:
                return
            chosen = self._choose_together(
                step, unit, candidates, freecapacity.FreeCapacity(candidates)
            )
            if chosen is None or not self._grant_covers(step, unit, unit):
                continue
            numbers = storedattempts.stored_numbers(self._state, unit, chosen)
            for task, worker, number in zip(unit, chosen, numbers or ()):
                self._start(task, worker, number).apart = True

    def _candidates(
        self, step: jobruns.StepRun, workers: t.Sequence[fleet.WorkerState]
    ) -> list[fleet.WorkerState] | None:
        """Return the workers for a step, None without valid tickets.

        The queue may have a placement policy, a service that permits tasks
        on a worker by issuing a ticket, which the worker checks. Requests
        the tickets when there are none.
        """
        label = step.step.required_label
        found = [
            worker
            for worker in workers
            if not label or label in worker.registration.labels
        ]
        if self._state.queue_of(step).policy is None:
            return found
        tickets = step.tickets
        if tickets is None or tickets.until <= self._now:
            self._request_tickets(step, found)
            return None
        allowed = [
            worker for worker in found if worker.name in tickets.by_worker
        ]
        need = self._state.reserved_size(step)
        if not any(need.fits_in(worker.free) for worker in allowed):
            self._request_tickets(step, found)
        return allowed

    def _request_tickets(
        self, step: jobruns.StepRun, usable: list[fleet.WorkerState]
    ) -> None:
        """Ask the policy about workers that it has not judged for a step."""
        tickets = step.tickets
        known: set[str] = set()
        if tickets is not None:
            known |= tickets.refused
        if tickets is not None and tickets.until > self._now:
            known |= set(tickets.by_worker)
        names = [worker.name for worker in usable if worker.name not in known]
        if names and not step.policy_request_pending:
            step.policy_request_pending = True
            chosen = tuple(names[:MAX_POLICY_WORKERS])
            self._orders.append(orders.RequestTickets(step, chosen))

    def _grant_covers(
        self,
        step: jobruns.StepRun,
        tasks: t.Sequence[jobruns.Task],
        waiting: t.Sequence[jobruns.Task],
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
        step: jobruns.StepRun,
        tasks: list[jobruns.Task],
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Place all tasks or none, on one rack if the step asks for it."""
        gang = step.step.gang
        if gang and len(tasks) < len(step.tasks):
            return
        chosen = self._choose_together(step, tasks, candidates, self._free)
        if chosen is None:
            return
        if not self._grant_covers(step, tasks, tasks):
            return
        numbers = storedattempts.stored_numbers(self._state, tasks, chosen)
        for task, worker, number in zip(tasks, chosen, numbers or ()):
            self._start(task, worker, number)

    def _prepared_worker(
        self,
        step: jobruns.StepRun,
        task: jobruns.Task,
        candidates: list[fleet.WorkerState],
    ) -> fleet.WorkerState | None:
        """Return the worker of a prepared attempt that can still take it."""
        need = self._state.reserved_size(step)
        return next(
            (
                worker
                for worker in attemptworkers.named([task], candidates)
                if need.fits_in(self._free.of(worker))
                and step.within_worker_limit(worker.name)
            ),
            None,
        )

    def _choose_together(
        self,
        step: jobruns.StepRun,
        tasks: list[jobruns.Task],
        candidates: list[fleet.WorkerState],
        free: freecapacity.FreeCapacity,
    ) -> list[fleet.WorkerState] | None:
        """Return a worker for each of the tasks, None unless all have one.

        Those of their prepared attempts come first.
        """
        again = attemptworkers.named(tasks, candidates)
        for workers in [again, candidates] if again else [candidates]:
            chosen = groupchoice.choose(
                self._state, step, tasks, workers, free, self._now
            )
            if chosen is not None:
                return attemptworkers.matched(tasks, chosen)
        return None

    def _start(
        self, task: jobruns.Task, worker: fleet.WorkerState, number: int
    ) -> runs.Run:
        state = self._state
        step = task.step
        kind = task.start_kind
        before = task.last_run
        runstarts.record_placement(state, task, kind, self._now)
        run = state.add_run(task, worker, number, self._now)
        storedattempts.watch(run)
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
        return run

    def _make_room(
        self,
        step: jobruns.StepRun,
        task: jobruns.Task,
        candidates: list[fleet.WorkerState],
    ) -> None:
        """Preempt runs for a task and order their stops."""
        if self._preemption.preempt(step, task, candidates):
            self._orders.extend(stops.due_stops(self._state, self._now))
