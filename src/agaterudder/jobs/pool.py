"""What the holder of a pool knows, and what follows from what it hears.

Nothing here calls out: the owner of the state passes in what it heard
with the time, and carries out the orders of :mod:`planning`.
"""

import logging

from agaterudder.jobs import demand
from agaterudder.jobs import deployment
from agaterudder.jobs import estimates
from agaterudder.jobs import fleet
from agaterudder.jobs import journal
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import rates
from agaterudder.jobs import rules
from agaterudder.jobs import runs
from agaterudder.jobs import teamlimits
from agaterudder import resources

LOG = logging.getLogger(__name__)

RUNS_OF_AN_EPOCH = 1_000_000
# Beyond the longest lease, for clocks and for calls under way.
RECOVERY_MARGIN_SECONDS = 0.3
SET_ASIDE_FAILURES = 4
SET_ASIDE_SECONDS = 4.0
NO_ROOM_PAUSE_SECONDS = 0.2


class Pool:
    """State of one pool under one epoch.

    :ivar recovery_until: until then, tasks of earlier holders may run on
        workers that did not answer yet.
    """

    __slots__ = (
        "name",
        "epoch",
        "bounds",
        "jobs",
        "workers",
        "ready",
        "unready",
        "journal",
        "limits",
        "estimates",
        "queues",
        "taken_out",
        "recovery_until",
        "unseen",
        "_run_count",
        "unwanted",
        "demand",
        "_rates",
    )

    def __init__(
        self,
        name: str,
        epoch: int,
        bounds: deployment.Bounds,
        limits: teamlimits.TeamLimits,
        now: float,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.bounds = bounds
        self.jobs: dict[str, runs.JobRun] = {}
        self.workers: dict[str, fleet.WorkerState] = {}
        self.ready: dict[str, runs.StepRun] = {}
        self.unready: dict[str, runs.JobRun] = {}
        self.journal = journal.Journal()
        self.limits = limits
        self.estimates = estimates.Estimates()
        self.queues: dict[str, rules.Queue] = {}
        self.taken_out: frozenset[str] = frozenset()
        self.recovery_until = (
            now
            + bounds.worker_lease / fleet.SLOWEST_CLOCK
            + RECOVERY_MARGIN_SECONDS
        )
        self.unseen: set[str] = set()
        self._run_count = 0
        self.unwanted: list[runs.Run] = []
        self.demand = demand.Demand()
        self._rates: dict[str, rates.Rate] = {}

    # Jobs

    def accept(
        self,
        job: model.Job,
        progress: model.Progress,
        row_version: int,
        accepted_at: float,
        recovered: bool,
    ) -> None:
        """Take a job that is stored."""
        if job.job in self.jobs:
            return
        found = runs.JobRun(job, accepted_at, recovered)
        found.progress = progress
        found.row_version = row_version
        found.started = row_version > 0
        found.beyond_share = not self._rates.setdefault(
            job.team, rates.Rate()
        ).take(self.limits.weight(job.team), accepted_at)
        self.jobs[job.job] = found
        self.unready[job.job] = found

    def cancel(self, job: str, clock: float, now: float) -> None:
        """End a job that its team cancelled."""
        found = self.jobs.get(job)
        if found is None or found.ending is not None:
            return
        found.cancelled = True
        self._finish(found, model.STATE_CANCELLED, "asked for", clock)

    def create_due(self, wall: float, now: float) -> None:
        """Create the occurrences that are due."""
        for name in list(self.unready):
            job = self.unready[name]
            created = job.create_due(wall, now)
            for step in created:
                if not step.finished:
                    self.ready[step.name] = step
            if created and not job.beyond_share and not job.recovered:
                at = now if job.job.request.times else job.accepted_at
                self.demand.note(self._arrival(created, at))
            if job.created >= job.job.occurrences:
                del self.unready[name]
            self._check_finished(job, 0.0)

    def _finish(
        self, job: runs.JobRun, state: str, reason: str, clock: float
    ) -> None:
        if job.ending is not None:
            return
        job.ending = model.Ended(state, clock, reason)
        self.unready.pop(job.job.job, None)
        for step in job.steps.values():
            self.ready.pop(step.name, None)
        for run in job.live_runs():
            run.stop_reason = run.stop_reason or state
        self.journal.mark(job)
        LOG.info(
            "job ends",
            extra={
                "job": job.job.job,
                "queue": job.job.queue,
                "team": job.job.team,
                "state": state,
                "why": reason,
            },
        )

    def ended_stored(self, job: runs.JobRun) -> None:
        """Forget a job whose end is stored; its runs are still stopped."""
        if self.jobs.get(job.job.job) is job:
            del self.jobs[job.job.job]
        for run in job.live_runs():
            run.task = None
            self.unwanted.append(run)

    def _check_finished(self, job: runs.JobRun, clock: float) -> None:
        if job.ending is None and job.finished:
            self._finish(job, model.STATE_COMPLETED, "all done", clock)

    # Workers

    def adopt_worker(self, worker: fleet.WorkerState) -> None:
        """Take a worker of this pool."""
        self.workers[worker.name] = worker

    def worker_seen(self, worker: fleet.WorkerState, now: float) -> None:
        """Note that a worker answered to this epoch."""
        if not worker.fenced:
            worker.fenced_at = now
        worker.fenced = True
        self.unseen.discard(worker.name)

    def recovering(self, now: float) -> bool:
        """Return whether earlier runs may be where nobody can look yet."""
        return bool(self.unseen) and now < self.recovery_until

    def begin_life(
        self, worker: fleet.WorkerState, life_start: int, now: float
    ) -> None:
        """Note a new life of a worker: what ran there is over.

        A start without an answer may still be carried out by the new
        life; it is stopped there before the task starts elsewhere.
        """
        LOG.info(
            "worker has a new life",
            extra={
                "worker": worker.name,
                "life_start": life_start,
                "runs": len(worker.runs),
            },
        )
        worker.new_life(life_start)
        for run in list(worker.runs.values()):
            if run.state is runs.RunState.RUNNING:
                self.run_over(run, now)
            else:
                run.state = runs.RunState.UNCERTAIN
                run.stop_reason = run.stop_reason or "worker restarted"
                run.stop_sent_at = run.stop_answered_at = 0.0

    def worker_over(
        self, worker: fleet.WorkerState, reason: str, now: float
    ) -> None:
        """Note that what ran on a worker is over.

        A start without an answer may still reach a later life of it under
        the same name, for as long as orders may be late.
        """
        LOG.info(
            "worker over",
            extra={
                "worker": worker.name,
                "why": reason,
                "runs": len(worker.runs),
            },
        )
        for run in list(worker.runs.values()):
            late = now - run.sent_at < fleet.LATE_ORDER_SECONDS
            if run.state is runs.RunState.RUNNING or not late:
                self.run_over(run, now)

    # Runs

    def next_run(self) -> int:
        """Return a run number above all of earlier epochs."""
        self._run_count += 1
        return self.epoch * RUNS_OF_AN_EPOCH + self._run_count

    def begin(
        self,
        task: runs.Task,
        worker: fleet.WorkerState,
        number: int,
        now: float,
    ) -> runs.Run:
        """Take room for a run of a task."""
        run = runs.Run(
            task.name, task, number, worker, now, self.room_of(task.step)
        )
        task.runs.append(run)
        worker.add(run)
        return run

    @staticmethod
    def room_of(step: runs.StepRun) -> resources.Vector:
        """Return the room that a task of a step takes on a worker."""
        size = step.step.size
        if step.step.uses_leftover:
            return resources.Vector(0.0, size.memory, size.accelerators)
        return size

    def _arrival(self, steps: list[runs.StepRun], at: float) -> demand.Arrival:
        """Return what steps that were created ask for."""
        work = width = resources.ZERO
        for step in steps:
            if step.step.long_running:
                continue
            room = self.room_of(step).scaled(len(step.tasks))
            work = work + room.scaled(self.estimates.seconds(step))
            width = width.larger(room)
        return demand.Arrival(at, work, width)

    def run_over(self, run: runs.Run, now: float) -> None:
        """Note that a run is over, whatever its end was."""
        run.worker.remove(run, now)
        task = run.task
        if task is not None:
            if run in task.runs:
                task.runs.remove(run)
            if run.checkpoint and not task.done:
                self._keep_checkpoint(task, run.checkpoint)
            self.limits.release(task.step.job.job.team, run.spending)
        elif run in self.unwanted:
            self.unwanted.remove(run)

    def _keep_checkpoint(self, task: runs.Task, checkpoint: str) -> None:
        members = task.step.tasks if task.step.step.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        job = task.step.job
        job.progress.checkpoints[f"{task.step.key}.{task.index}"] = checkpoint

    def started(self, run: runs.Run, now: float) -> None:
        """Note that a worker took a start."""
        if (run.task_name, run.number) not in run.worker.runs:
            # It was given up meanwhile; the next listing shows it.
            return
        if run.state is not runs.RunState.RUNNING:
            run.state = runs.RunState.RUNNING
            self._note_start(run, now)

    def _note_start(self, run: runs.Run, now: float) -> None:
        run.working_since = run.working_since or now
        if run.task is None:
            return
        job = run.task.step.job
        if not job.started:
            job.started = True
            self.journal.mark(job)

    def rejected(self, run: runs.Run, reason: str, now: float) -> None:
        """Note that a worker did not take a start."""
        if (run.task_name, run.number) not in run.worker.runs:
            return
        LOG.info(
            "start rejected",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": reason,
            },
        )
        if reason == ports.REJECTED_ROOM:
            run.worker.room_until = now + NO_ROOM_PAUSE_SECONDS
        if reason == ports.REJECTED_BUSY:
            run.worker.set_aside_until = now + NO_ROOM_PAUSE_SECONDS
        if reason == ports.REJECTED_TICKET and run.task is not None:
            run.task.step.tickets = None
        if reason == ports.REJECTED_INVALID and run.task is not None:
            run.task.not_before = now + SET_ASIDE_SECONDS
        self.run_over(run, now)

    def unanswered(self, run: runs.Run, reason: str, now: float) -> None:
        """Note that a start got no answer: it may be carried out later."""
        if run.state is not runs.RunState.SENT:
            return
        LOG.warning(
            "start unanswered",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": reason,
            },
        )
        run.state = runs.RunState.UNCERTAIN
        run.stop_reason = run.stop_reason or "start unanswered"

    def listed(
        self,
        worker: fleet.WorkerState,
        listing: ports.Listing,
        sent_at: float,
        now: float,
    ) -> int:
        """Note what a worker lists; return the number of its last end."""
        if listing.life_start and listing.life_start != worker.life_start:
            self.begin_life(worker, listing.life_start, now)
        if not worker.latest_deadline:
            # An earlier holder may have given as much as can be given.
            worker.latest_deadline = listing.clock + self.bounds.worker_lease
        worker.heard(listing, sent_at, now)
        for ended in listing.ended:
            if ended.number > worker.last_end:
                worker.last_end = ended.number
                self._ended(worker, ended, now)
        present = {(item.task, item.run): item for item in listing.running}
        for item in listing.running:
            self._runs_there(worker, item, now)
        for run in list(worker.runs.values()):
            if (run.task_name, run.number) not in present:
                self._not_there(run, listing, sent_at, now)
        return worker.last_end

    def _runs_there(
        self, worker: fleet.WorkerState, item: ports.Running, now: float
    ) -> None:
        run = worker.runs.get((item.task, item.run))
        if run is None:
            run = self._adopt(worker, item, now)
        if run.state is not runs.RunState.RUNNING:
            run.state = runs.RunState.RUNNING
            self._note_start(run, now)
        if item.checkpoint:
            run.checkpoint = item.checkpoint
        run.progress = item.progress
        run.listed_at = now
        run.reading = item.reading

    def _adopt(
        self, worker: fleet.WorkerState, item: ports.Running, now: float
    ) -> runs.Run:
        """Take a run that an earlier holder started."""
        task = self._find(item.task, now)
        size = self.room_of(task.step) if task else resources.ZERO
        run = runs.Run(item.task, task, item.run, worker, now, size)
        worker.add(run)
        if task is None:
            run.stop_reason = "its job is not known"
            run.size_known = False
            self.unwanted.append(run)
            return run
        job = task.step.job
        task.runs.append(run)
        self.limits.adopt(job.job.team, run.spending, task.step.step.size)
        if job.ending is not None or task.done:
            run.stop_reason = "its job or task is over"
        elif len(task.runs) > 1 and not task.step.step.speculative:
            run.stop_reason = "another run of the task is there"
        return run

    def _not_there(
        self,
        run: runs.Run,
        listing: ports.Listing,
        sent_at: float,
        now: float,
    ) -> None:
        """Judge a run that a worker does not list."""
        if run.state is runs.RunState.RUNNING:
            # Its end is in a later listing, or in more than one page.
            return
        never_late = listing.clock > run.deadline and run.deadline > 0
        stopped = run.stop_answered_at and sent_at >= run.stop_answered_at
        if never_late or stopped:
            self.run_over(run, now)

    def _ended(
        self, worker: fleet.WorkerState, ended: ports.Ended, now: float
    ) -> None:
        run = worker.runs.get((ended.task, ended.run))
        task = self._find(ended.task, now)
        if run is not None:
            if ended.checkpoint:
                run.checkpoint = ended.checkpoint
            self.run_over(run, now)
        LOG.log(
            logging.DEBUG if ended.how == ports.END_DONE else logging.INFO,
            "run ended",
            extra={
                "task": ended.task,
                "run": ended.run,
                "worker": worker.name,
                "how": ended.how,
            },
        )
        if task is None:
            return
        job = task.step.job
        match ended.how:
            case ports.END_DONE:
                self._task_done(task, run, worker, now)
            case ports.END_FAILED:
                self._task_failed(task, ended.run, worker, now)
            case _:
                if ended.checkpoint and not task.done:
                    self._keep_checkpoint(task, ended.checkpoint)
                    self.journal.mark(job)

    def _find(self, name: str, now: float) -> runs.Task | None:
        """Return a task of a job that is known, None otherwise.

        An occurrence that was started is due, whatever the clock here
        says.
        """
        job = self.jobs.get(name.partition(".")[0])
        if job is None:
            return None
        for step in job.create_up_to(name, now):
            if not step.finished and job.ending is None:
                self.ready[step.name] = step
        return job.task(name)

    def _task_done(
        self,
        task: runs.Task,
        run: runs.Run | None,
        worker: fleet.WorkerState,
        now: float,
    ) -> None:
        step = task.step
        job = step.job
        if step.step.long_running:
            return
        if run is not None and run.working_since and not task.checkpoint:
            seconds = now - run.working_since
            self.estimates.learn(step, seconds)
            step.durations.append((worker.name, seconds))
        worker.failures_in_a_row = 0
        members = step.tasks if step.step.gang else [task]
        for member in members:
            if not member.done:
                member.done = True
                step.done += 1
                job.progress.done.setdefault(step.key, []).append(member.index)
                job.progress.checkpoints.pop(
                    f"{step.key}.{member.index}", None
                )
            for other in member.runs:
                other.stop_reason = other.stop_reason or "the task is done"
        self.journal.mark(job)
        if step.finished:
            self.ready.pop(step.name, None)
            for follower in job.steps.values():
                job.check_ready(follower, now)
        self._check_finished(job, 0.0)

    def _task_failed(
        self,
        task: runs.Task,
        run_number: int,
        worker: fleet.WorkerState,
        now: float,
    ) -> None:
        step = task.step
        job = step.job
        worker.failures_in_a_row += 1
        if worker.failures_in_a_row >= SET_ASIDE_FAILURES:
            worker.set_aside_until = now + SET_ASIDE_SECONDS
            LOG.warning(
                "worker set aside",
                extra={
                    "worker": worker.name,
                    "failures": worker.failures_in_a_row,
                },
            )
        task.avoid.add(worker.name)
        if task.done or job.ending is not None:
            return
        if step.step.long_running:
            return
        key = step.key if step.step.gang else f"{step.key}.{task.index}"
        failed = job.progress.failures.setdefault(key, [])
        if run_number in failed:
            return
        failed.append(run_number)
        count = len(failed)
        self.journal.mark(job)
        queue = self.queues.get(job.job.queue)
        most = queue.max_attempts if queue is not None else 1
        if count >= most:
            self._finish(
                job,
                model.STATE_FAILED,
                f"task {task.name} failed {count} times",
                0.0,
            )

    def pending(self) -> dict[str, int]:
        """Return the jobs of which no task has started, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.started and job.ending is None:
                queue = job.job.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts
