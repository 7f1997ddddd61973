"""State of one pool, as known to the entry VM that holds its lease.

This module does no I/O: the owner of the state passes in each event with
the time, and carries out the orders of :mod:`planning`.
"""

import itertools
import logging

from agaterudder.jobs import acknowledgements
from agaterudder.jobs import demand
from agaterudder.jobs import deployment
from agaterudder.jobs import estimates
from agaterudder.jobs import fleet
from agaterudder.jobs import journal
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import placements
from agaterudder.jobs import poolreports
from agaterudder.jobs import ports
from agaterudder.jobs import ratelimit
from agaterudder.jobs import runs
from agaterudder.jobs import teamlimits
from agaterudder import metrics
from agaterudder import resources

LOG = logging.getLogger(__name__)

# The run numbers of an epoch start at this multiple of it, above all those of
# earlier epochs.
RUNS_PER_EPOCH = 1_000_000
# Added to the longest lease, for clock rates and for calls in flight.
RECOVERY_MARGIN_SECONDS = 0.3
# A worker on which this many task runs in a row failed is quarantined.
QUARANTINE_FAILURES = 4
# Also the delay before the next start of a task that was rejected as invalid.
QUARANTINE_SECONDS = 4.0
# For this long, a job that has ended may still be read from the store, in an
# answer that is older than its end.
ENDED_JOB_SECONDS = 30.0
# A worker that rejected a start as full or busy gets no starts for this long.
REJECTION_PAUSE_SECONDS = 0.2


class Pool:
    """State of one pool under one epoch.

    The epoch numbers the holders of the pool. It is the fencing token of
    the orders to workers: a worker that has accepted an epoch rejects
    orders of lower ones.

    :ivar bounds: time limits of the deployment.
    :ivar ready: unfinished steps of the created occurrences, by name; some
        may still depend on others (see ``ready_at`` of the step).
    :ivar awaiting_occurrences: jobs with occurrences whose steps are not
        created yet, by job.
    :ivar limits: grants of the teams' upper limits to this pool.
    :ivar taken_out: data centres that operators took out of service; no
        task starts in them.
    :ivar metrics: metrics of the process.
    :ivar placements: starts that are to be logged.
    :ivar acknowledged: stored ends that are not logged yet.
    :ivar acquired_at: when this holder acquired the pool.
    :ivar recovery_until: until then, leases that earlier holders gave may
        last on workers that have not accepted this epoch yet.
    :ivar unconfirmed_workers: names of the workers that earlier holders used
        and that have neither accepted this epoch nor been found lost.
    :ivar orphaned_runs: runs whose job has ended or is unknown; they are
        stopped, and reserve capacity until they have ended.
    """

    __slots__ = (
        "name",
        "epoch",
        "bounds",
        "jobs",
        "workers",
        "ready",
        "awaiting_occurrences",
        "journal",
        "limits",
        "estimates",
        "queues",
        "taken_out",
        "metrics",
        "placements",
        "acknowledged",
        "acquired_at",
        "recovery_until",
        "unconfirmed_workers",
        "_run_count",
        "orphaned_runs",
        "demand",
        "_submission_buckets",
        "_ended_jobs",
    )

    def __init__(
        self,
        name: str,
        epoch: int,
        bounds: deployment.Bounds,
        limits: teamlimits.TeamLimits,
        now: float,
        metrics_registry: metrics.Metrics | None = None,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.bounds = bounds
        self.jobs: dict[str, runs.JobRun] = {}
        self.workers: dict[str, fleet.WorkerState] = {}
        self.ready: dict[str, runs.StepRun] = {}
        self.awaiting_occurrences: dict[str, runs.JobRun] = {}
        self.journal = journal.Journal()
        self.limits = limits
        self.estimates = estimates.Estimates()
        self.queues: dict[str, operatorconfig.Queue] = {}
        self.taken_out: frozenset[str] = frozenset()
        self.metrics = metrics_registry or metrics.Metrics()
        self.placements = placements.Placements(name)
        self.acknowledged = acknowledgements.Acknowledgements(
            name, self.metrics
        )
        self.acquired_at = now
        self.recovery_until = (
            now
            + bounds.worker_lease / fleet.MIN_CLOCK_RATE
            + RECOVERY_MARGIN_SECONDS
        )
        self.unconfirmed_workers: set[str] = set()
        self._run_count = 0
        self.orphaned_runs: list[runs.Run] = []
        self.demand = demand.Demand()
        self._submission_buckets: dict[str, ratelimit.TokenBucket] = {}
        self._ended_jobs: dict[str, float] = {}

    # Jobs

    def accept(
        self,
        job: model.Job,
        progress: model.Progress,
        row_version: int,
        accepted_at: float,
        recovered: bool,
    ) -> None:
        """Add a stored job.

        :param row_version: version of its progress row, 0 without one.
        :param recovered: whether it was accepted before this holder acquired
            the pool.
        """
        if job.job in self.jobs:
            return
        if job.job in self._ended_jobs:
            LOG.info(
                "job read again after its end was stored, not loaded",
                extra={
                    "job": job.job,
                    "queue": job.queue,
                    "pool": self.name,
                },
            )
            self.metrics.count("ended_jobs_read", pool=self.name)
            return
        found = runs.JobRun(job, accepted_at, recovered)
        found.progress = progress
        found.row_version = row_version
        found.started = row_version > 0
        found.over_submission_rate = not self._submission_buckets.setdefault(
            job.team, ratelimit.TokenBucket()
        ).take_token(self.limits.weight(job.team), accepted_at)
        self.jobs[job.job] = found
        self.awaiting_occurrences[job.job] = found

    def cancel(self, job: str, clock: float) -> None:
        """Cancel a job at the request of its team.

        :param clock: time of the cancellation by the store's clock.
        """
        found = self.jobs.get(job)
        if found is None or found.ending is not None:
            return
        found.cancelled = True
        self._finish(found, model.STATE_CANCELLED, "asked for", clock)

    def create_due(self, wall: float, now: float) -> None:
        """Create the steps of the occurrences that are due.

        :param wall: Unix seconds.
        :param now: seconds of this machine's monotonic clock.
        """
        for name in list(self.awaiting_occurrences):
            job = self.awaiting_occurrences[name]
            created = job.create_due(wall, now)
            for step in created:
                if not step.finished:
                    self.ready[step.name] = step
            if created and not job.over_submission_rate and not job.recovered:
                arrived_at = now if job.job.request.times else job.accepted_at
                self.demand.add(self._arrival(created, arrived_at))
            if job.created >= job.job.occurrences:
                del self.awaiting_occurrences[name]
            self._check_finished(job, 0.0)

    def _finish(
        self, job: runs.JobRun, state: str, reason: str, clock: float
    ) -> None:
        """End a job; the journal stores the end.

        :param clock: time by the store's clock, 0 if not known; the journal
            replaces it by the time of the write.
        """
        if job.ending is not None:
            return
        job.ending = model.Ended(state, clock, reason)
        self.awaiting_occurrences.pop(job.job.job, None)
        for step in job.steps.values():
            self.ready.pop(step.name, None)
        for run in job.live_runs():
            run.stop_reason = run.stop_reason or state
        self.journal.mark(job)
        LOG.info(
            "job ended",
            extra={
                "job": job.job.job,
                "queue": job.job.queue,
                "team": job.job.team,
                "state": state,
                "why": reason,
            },
        )

    def remove_ended_job(self, job: runs.JobRun, now: float) -> None:
        """Remove a job whose end is stored.

        Runs of it that have not ended become orphaned.
        """
        if self.jobs.get(job.job.job) is job:
            del self.jobs[job.job.job]
        self._ended_jobs[job.job.job] = now
        forgotten = [
            name
            for name, _ in itertools.takewhile(
                lambda item: now - item[1] > ENDED_JOB_SECONDS,
                self._ended_jobs.items(),
            )
        ]
        for name in forgotten:
            del self._ended_jobs[name]
        for run in job.live_runs():
            run.task = None
            self.orphaned_runs.append(run)

    def _check_finished(self, job: runs.JobRun, clock: float) -> None:
        if job.ending is None and job.finished:
            self._finish(job, model.STATE_COMPLETED, "all done", clock)

    # Workers

    def adopt_worker(self, worker: fleet.WorkerState) -> None:
        """Add a worker to this pool."""
        self.workers[worker.name] = worker

    def worker_fenced(
        self, worker: fleet.WorkerState, now: float, more_ends: bool = False
    ) -> None:
        """Record that a worker has accepted this epoch.

        From then on it rejects orders of earlier holders.

        :param more_ends: whether it has not listed all ends yet.
        """
        if not worker.fenced:
            worker.fenced_at = now
        worker.fenced = True
        if not more_ends:
            self.unconfirmed_workers.discard(worker.name)

    def recovering(self, now: float) -> bool:
        """Return whether some runs or ends of earlier holders may be unknown.

        A worker keeps the ends of its runs when its lease is over, so it has
        to be asked in any case.
        """
        return any(
            now < self.recovery_until or not self.workers[name].given_up(now)
            for name in self.unconfirmed_workers
        )

    def discard_unconfirmed(
        self, name: str, reason: str, evidence: str, now: float
    ) -> None:
        """Wait no longer for an answer of a worker of earlier holders.

        :param evidence: what the reason rests on, and its age.
        """
        if name not in self.unconfirmed_workers:
            return
        self.unconfirmed_workers.discard(name)
        worker = self.workers.get(name)
        extra = {
            "pool": self.name,
            "worker": name,
            "why": reason,
            "evidence": evidence,
            "recovering": round(now - self.acquired_at, 3),
        }
        if worker is not None:
            extra["heard"] = worker.heard(now)
        LOG.info("worker left recovery without an answer", extra=extra)

    def finish_recovery(self, now: float) -> None:
        """End the recovery: no run of an earlier holder is unknown."""
        missing = sorted(self.unconfirmed_workers)
        LOG.info(
            "pool recovery complete",
            extra={
                "pool": self.name,
                "epoch": self.epoch,
                "why": (
                    "time passed" if missing else "no worker is unconfirmed"
                ),
                "took": round(now - self.acquired_at, 3),
                "workers": len(self.workers),
                "unconfirmed": len(missing),
                "missing": poolreports.names(missing),
                "held_back": self._held_back_tasks(),
            },
        )
        for name in missing:
            self.discard_unconfirmed(
                name,
                "time passed",
                "longest lease of an earlier holder",
                now,
            )

    def _held_back_tasks(self) -> int:
        """Return how many tasks wait for the end of the recovery."""
        return sum(
            1
            for step in self.ready.values()
            if step.job.recovered and step.ready_at
            for task in step.tasks
            if task.waiting
        )

    def worker_restarted(
        self,
        worker: fleet.WorkerState,
        incarnation: int,
        now: float,
        learnt: str = "its listing",
    ) -> None:
        """Handle the restart of a worker, which ended its runs.

        The process of a worker between two restarts is an incarnation. The
        new one may still carry out an unanswered start, or may have accepted
        one; such a run is stopped before its task starts elsewhere.

        :param incarnation: start of the new incarnation, Unix milliseconds.
        :param learnt: how the restart was learnt.
        """
        poolreports.runs_lost(
            self.metrics,
            self.name,
            worker,
            worker.runs.values(),
            "worker restarted",
            learnt,
            now,
        )
        LOG.info(
            "worker restarted as a new incarnation",
            extra={
                "worker": worker.name,
                "life_start": incarnation,
                "before": worker.incarnation,
                "runs": len(worker.runs),
                "heard": worker.heard(now),
            },
        )
        worker.reset_incarnation(incarnation, now)
        for run in list(worker.runs.values()):
            if run.state is runs.RunState.RUNNING and run.listed_at:
                self.remove_run(run, now, "worker restarted")
            else:
                run.state = runs.RunState.UNCERTAIN
                run.stop_reason = run.stop_reason or "worker restarted"
                run.stop_sent_at = run.stop_answered_at = 0.0

    def worker_lost(
        self,
        worker: fleet.WorkerState,
        reason: str,
        now: float,
        learnt: str = "",
    ) -> None:
        """Handle the loss of a worker, which ended its runs.

        An unanswered start may still reach a later incarnation under the
        same name, for as long as an order can be delayed.

        :param learnt: what the reason rests on.
        """
        poolreports.runs_lost(
            self.metrics,
            self.name,
            worker,
            worker.runs.values(),
            reason,
            learnt,
            now,
        )
        LOG.info(
            "worker lost, dropping its runs",
            extra={
                "worker": worker.name,
                "why": reason,
                "runs": len(worker.runs),
                "tasks": poolreports.names([task for task, _ in worker.runs]),
                "heard": worker.heard(now),
            },
        )
        for run in list(worker.runs.values()):
            may_arrive = now - run.sent_at < fleet.MAX_ORDER_DELAY_SECONDS
            if run.state is runs.RunState.RUNNING or not may_arrive:
                self.remove_run(run, now, reason)

    # Runs

    def next_run(self) -> int:
        """Return a run number above all earlier ones of this pool."""
        self._run_count += 1
        return self.epoch * RUNS_PER_EPOCH + self._run_count

    def add_run(
        self,
        task: runs.Task,
        worker: fleet.WorkerState,
        number: int,
        now: float,
    ) -> runs.Run:
        """Add a run of a task and reserve its capacity on the worker."""
        run = runs.Run(
            task.name, task, number, worker, now, self.reserved_size(task.step)
        )
        task.runs.append(run)
        task.last_run = max(task.last_run, number)
        worker.add(run)
        return run

    def record_placement(self, task: runs.Task, kind: str, now: float) -> None:
        """Count a start that is about to be ordered.

        :param kind: first, restart or copy.
        """
        self.metrics.count("task_starts", pool=self.name, kind=kind)
        job = task.step.job
        waited = job.first_start_wait(now)
        job.placed = True
        if waited is not None:
            self.metrics.observe(
                "first_start", waited, pool=self.name, queue=job.job.queue
            )

    @staticmethod
    def reserved_size(step: runs.StepRun) -> resources.Vector:
        """Return the capacity that a task of a step reserves on a worker."""
        size = step.step.size
        if step.step.best_effort:
            return resources.Vector(0.0, size.memory, size.accelerators)
        return size

    def _arrival(
        self, steps: list[runs.StepRun], arrived_at: float
    ) -> demand.Arrival:
        """Return the demand of new steps, except long-running ones."""
        work = peak_size = resources.ZERO
        for step in steps:
            if step.step.long_running:
                continue
            size = self.reserved_size(step).scaled(len(step.tasks))
            work = work + size.scaled(self.estimates.seconds(step))
            peak_size = peak_size.elementwise_max(size)
        return demand.Arrival(arrived_at, work, peak_size)

    def remove_run(
        self, run: runs.Run, now: float, unlisted_reason: str = ""
    ) -> None:
        """Remove a run that has ended, whatever the outcome.

        :param unlisted_reason: why it counts as ended although the worker
            listed no end of it.
        """
        if unlisted_reason:
            LOG.info(
                "run removed without a listed end",
                extra={
                    "task": run.task_name,
                    "run": run.number,
                    "worker": run.worker.name,
                    "why": unlisted_reason,
                    "state": run.state.value,
                    "heard": run.worker.heard(now),
                },
            )
        run.worker.remove(run, now)
        task = run.task
        if task is not None:
            task.record_end(run, now)
            if run in task.runs:
                task.runs.remove(run)
            if run.checkpoint and not task.done:
                self._record_checkpoint(task, run.checkpoint)
            self.limits.release(task.step.job.job.team, run.limit_key)
        elif run in self.orphaned_runs:
            self.orphaned_runs.remove(run)

    def _record_checkpoint(self, task: runs.Task, checkpoint: str) -> None:
        members = task.step.tasks if task.step.step.gang else [task]
        for member in members:
            member.checkpoint = checkpoint
        job = task.step.job
        job.progress.checkpoints[f"{task.step.key}.{task.index}"] = checkpoint

    def start_accepted(self, run: runs.Run, now: float) -> None:
        """Handle a start that the worker accepted."""
        if (run.task_name, run.number) not in run.worker.runs:
            # It was removed in the meantime. If the worker runs it, the next
            # listing contains it and it is adopted again.
            return
        if run.state is runs.RunState.SENT:
            # Otherwise the worker has restarted since, perhaps after it
            # accepted the start.
            run.state = runs.RunState.RUNNING
            self._record_start(run, now)

    def _record_start(self, run: runs.Run, now: float) -> None:
        run.running_since = run.running_since or now
        if run.task is None:
            return
        job = run.task.step.job
        if not job.started:
            job.started = True
            self.journal.mark(job)

    def start_rejected(self, run: runs.Run, reason: str, now: float) -> None:
        """Handle a start that the worker rejected or never received.

        :param reason: a ``REJECTED_`` constant, or why it was not sent.
        """
        if (run.task_name, run.number) not in run.worker.runs:
            return
        LOG.info(
            "task start rejected",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": reason,
            },
        )
        if reason == ports.REJECTED_NO_CAPACITY:
            run.worker.full_until = now + REJECTION_PAUSE_SECONDS
        if reason == ports.REJECTED_BUSY:
            run.worker.quarantined_until = now + REJECTION_PAUSE_SECONDS
        if reason == ports.REJECTED_TICKET and run.task is not None:
            run.task.step.tickets = None
        if reason == ports.REJECTED_INVALID and run.task is not None:
            run.task.not_before = now + QUARANTINE_SECONDS
        self.remove_run(run, now)

    def start_unanswered(self, run: runs.Run, reason: str, now: float) -> None:
        """Handle a start without an answer: it may take effect later."""
        if run.state is not runs.RunState.SENT:
            return
        LOG.warning(
            "task start not answered, outcome unknown",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": reason,
            },
        )
        run.state = runs.RunState.UNCERTAIN
        run.stop_reason = run.stop_reason or "start unanswered"

    def apply_listing(
        self,
        worker: fleet.WorkerState,
        listing: ports.Listing,
        sent_at: float,
        now: float,
    ) -> int:
        """Apply a worker's listing of its running and ended runs.

        :param sent_at: when the poll that it answers was sent.
        :returns: sequence number of the last end that was applied; it is
            acknowledged to the worker once it is stored.
        """
        if listing.incarnation and listing.incarnation != worker.incarnation:
            if sent_at < worker.incarnation_known_at:
                # It may come from before the restart.
                return worker.last_end_number
            self.worker_restarted(worker, listing.incarnation, now)
        if not worker.latest_deadline:
            # An earlier holder may have granted a lease of the full length.
            worker.latest_deadline = listing.clock + self.bounds.worker_lease
        worker.record_poll(listing, sent_at, now)
        for ended in listing.ended:
            if ended.number > worker.last_end_number:
                poolreports.skipped_ends(worker, ended.number)
                worker.last_end_number = ended.number
                self._apply_end(worker, ended, now)
        present = {(item.task, item.run): item for item in listing.running}
        for item in listing.running:
            self._apply_running(worker, item, now)
        for run in list(worker.runs.values()):
            if (run.task_name, run.number) not in present:
                self._check_unlisted(run, listing, sent_at, now)
        return worker.last_end_number

    def _apply_running(
        self, worker: fleet.WorkerState, item: ports.Running, now: float
    ) -> None:
        run = worker.runs.get((item.task, item.run))
        if run is None:
            run = self._adopt_run(worker, item, now)
        if run.state is not runs.RunState.RUNNING:
            run.state = runs.RunState.RUNNING
            self._record_start(run, now)
        if item.checkpoint:
            run.checkpoint = item.checkpoint
        run.progress = item.progress
        run.listed_at = now
        run.measurement = item.measurement

    def _adopt_run(
        self, worker: fleet.WorkerState, item: ports.Running, now: float
    ) -> runs.Run:
        """Adopt a run that an earlier holder started."""
        task = self._find_task(item.task, now)
        size = self.reserved_size(task.step) if task else resources.ZERO
        run = runs.Run(item.task, task, item.run, worker, now, size)
        worker.add(run)
        if task is None:
            run.stop_reason = "unknown job"
            run.size_known = False
            self.orphaned_runs.append(run)
            return run
        job = task.step.job
        self._report_duplicates(task, worker, item.run, "running")
        task.last_run = max(task.last_run, item.run)
        task.runs.append(run)
        self.limits.adopt(job.job.team, run.limit_key, task.step.step.size)
        if job.ending is not None or task.done:
            run.stop_reason = "job or task has ended"
        elif len(task.runs) > 1 and not task.step.step.speculative:
            run.stop_reason = "another run of the task exists"
        return run

    def _check_unlisted(
        self,
        run: runs.Run,
        listing: ports.Listing,
        sent_at: float,
        now: float,
    ) -> None:
        """Remove a run that is not listed, once it can't start any more.

        That is when its start has expired by the worker's clock, or the
        worker had confirmed a stop before the poll was sent.
        """
        if run.state is runs.RunState.RUNNING or listing.more_ends:
            # It has ended, or may have; a later listing contains the end.
            return
        start_expired = listing.clock > run.deadline and run.deadline > 0
        stopped = run.stop_answered_at and sent_at >= run.stop_answered_at
        if start_expired or stopped:
            reason = "start expired" if start_expired else "stop answered"
            self.remove_run(run, now, f"not listed: {reason}")

    def _apply_end(
        self, worker: fleet.WorkerState, ended: ports.Ended, now: float
    ) -> None:
        run = worker.runs.get((ended.task, ended.run))
        task = self._find_task(ended.task, now)
        if run is not None:
            if ended.checkpoint:
                run.checkpoint = ended.checkpoint
            self.remove_run(run, now)
        LOG.log(
            logging.DEBUG if ended.outcome == ports.END_DONE else logging.INFO,
            "task run ended",
            extra={
                "task": ended.task,
                "run": ended.run,
                "worker": worker.name,
                "how": ended.outcome,
            },
        )
        if task is None:
            poolreports.unknown_end(
                worker, ended, self._unknown_reason(ended.task)
            )
            return
        if ended.outcome == ports.END_DONE:
            self._report_duplicates(task, worker, ended.run, ended.outcome)
        task.last_run = max(task.last_run, ended.run)
        job = task.step.job
        match ended.outcome:
            case ports.END_DONE:
                self._task_done(task, run, worker, now)
                if task.done:
                    task.done_run = task.done_run or ended.run
            case ports.END_FAILED:
                self._task_failed(task, ended.run, worker, now)
            case _:
                if ended.checkpoint and not task.done:
                    self._record_checkpoint(task, ended.checkpoint)
                    self.journal.mark(job)

    def _report_duplicates(
        self,
        task: runs.Task,
        worker: fleet.WorkerState,
        number: int,
        outcome: str,
    ) -> None:
        count = poolreports.duplicate_runs(task, worker, number, outcome)
        if count:
            self.metrics.count("duplicate_runs", count, pool=self.name)

    def _unknown_reason(self, task: str) -> str:
        """Return why the task of a listed end is not known."""
        job = task.partition(".")[0]
        if job in self._ended_jobs:
            return "job is stored as ended"
        if job in self.jobs:
            return "job has no such task"
        return "job is not loaded"

    def _find_task(self, name: str, now: float) -> runs.Task | None:
        """Return the task of a listed run, None when its job is unknown.

        Creates the occurrences up to that of the task: as it was started,
        they are due even if the local clock is behind.
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
        if run is not None and run.running_since and not task.checkpoint:
            seconds = now - run.running_since
            self.estimates.update(step, seconds)
            step.durations.append((worker.name, seconds))
        worker.consecutive_failures = 0
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
            for other_step in job.steps.values():
                job.check_ready(other_step, now)
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
        worker.consecutive_failures += 1
        if worker.consecutive_failures >= QUARANTINE_FAILURES:
            worker.quarantined_until = now + QUARANTINE_SECONDS
            LOG.warning(
                "worker quarantined after repeated task failures",
                extra={
                    "worker": worker.name,
                    "failures": worker.consecutive_failures,
                },
            )
        task.excluded_workers.add(worker.name)
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
        max_attempts = queue.max_attempts if queue is not None else 1
        if count >= max_attempts:
            self._finish(
                job,
                model.STATE_FAILED,
                f"task {task.name} failed {count} times",
                0.0,
            )
