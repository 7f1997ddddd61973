"""State of one pool, as known to the entry VM that holds its lease.

This module does no I/O: the owner of the state passes in each event with
the time, and carries out the orders of :mod:`planning`.
"""

import logging

from agaterudder import codes
from agaterudder.jobs import acknowledgements
from agaterudder.jobs import demand
from agaterudder.jobs import deployment
from agaterudder.jobs import endedjobs
from agaterudder.jobs import estimates
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import journal
from agaterudder.jobs import latestarts
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import placements
from agaterudder.jobs import poolrecovery
from agaterudder.jobs import ratelimit
from agaterudder.jobs import runs
from agaterudder.jobs import suspects
from agaterudder.jobs import teamlimits
from agaterudder import metrics
from agaterudder import resources

LOG = logging.getLogger(__name__)

# The run numbers of an epoch start at this multiple of it, above all those of
# earlier epochs.
RUNS_PER_EPOCH = 1_000_000


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
    :ivar sizes_confirmed_at: when the registrations of the workers, which
        tell their capacity, were last asked for with success.
    :ivar metrics: metrics of the process.
    :ivar placements: starts that are to be logged.
    :ivar acknowledged: stored ends that are not logged yet.
    :ivar recovery: recovery after the take-over by this holder.
    :ivar late_starts: unanswered starts whose tasks may start elsewhere.
    :ivar suspects: tasks that are suspected of crashing their workers.
    :ivar kept_workers: workers that were kept for them in the last round.
    :ivar orphaned_runs: runs whose job has ended or is unknown; they are
        stopped, and reserve capacity until they have ended.
    :ivar ended_jobs: jobs whose end was stored lately.
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
        "sizes_confirmed_at",
        "metrics",
        "placements",
        "acknowledged",
        "recovery",
        "_run_count",
        "orphaned_runs",
        "demand",
        "ended_jobs",
        "late_starts",
        "suspects",
        "kept_workers",
        "_submission_buckets",
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
        self.jobs: dict[str, jobruns.JobRun] = {}
        self.workers: dict[str, fleet.WorkerState] = {}
        self.ready: dict[str, jobruns.StepRun] = {}
        self.awaiting_occurrences: dict[str, jobruns.JobRun] = {}
        self.journal = journal.Journal(bounds.row_bytes)
        self.limits = limits
        self.estimates = estimates.Estimates()
        self.queues: dict[str, operatorconfig.Queue] = {}
        self.taken_out: frozenset[str] = frozenset()
        self.sizes_confirmed_at = now
        self.metrics = metrics_registry or metrics.Metrics()
        self.placements = placements.Placements(name)
        self.acknowledged = acknowledgements.Acknowledgements(
            name, self.metrics
        )
        self.recovery = poolrecovery.Recovery(
            name, epoch, self.workers, self.ready, bounds.worker_lease, now
        )
        self._run_count = 0
        self.orphaned_runs: list[runs.Run] = []
        self.demand = demand.Demand()
        self.ended_jobs = endedjobs.EndedJobs()
        self.late_starts = latestarts.LateStarts()
        self.suspects = suspects.Suspects()
        self.kept_workers: frozenset[str] = frozenset()
        self._submission_buckets: dict[str, ratelimit.TokenBucket] = {}

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
        if job.job in self.ended_jobs:
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
        found = jobruns.JobRun(job, accepted_at, recovered)
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
        self.finish_job(found, model.STATE_CANCELLED, "asked for", clock)

    def create_due(self, wall: float, now: float) -> None:
        """Create the steps of the occurrences that are due.

        :param wall: Unix seconds.
        :param now: seconds of this machine's monotonic clock.
        """
        for name in list(self.awaiting_occurrences):
            job = self.awaiting_occurrences[name]
            created = job.create_due(wall, now)
            for step in created:
                self.add_step(step)
            if created and not job.over_submission_rate:
                arrived_at = now if job.job.request.times else job.accepted_at
                self.demand.add(self._arrival(created, arrived_at))
            if job.created >= job.job.occurrences:
                del self.awaiting_occurrences[name]
            self.check_finished(job)

    def add_step(self, step: jobruns.StepRun) -> None:
        """Add a step that was created, unless all of its tasks are done."""
        if not step.finished:
            self.ready[step.name] = step
            self.suspects.restore(step)

    def finish_job(
        self,
        job: jobruns.JobRun,
        state: str,
        reason: str,
        clock: float,
        code: codes.Result = codes.Result.OK,
    ) -> None:
        """End a job; the journal stores the end.

        :param clock: time by the store's clock, 0 if not known; the journal
            replaces it by the time of the write.
        :param code: number of the result, for the team.
        """
        if job.ending is not None:
            return
        job.ending = model.Ended(state, clock, reason, code.value)
        self.awaiting_occurrences.pop(job.job.job, None)
        for step in job.steps.values():
            self.ready.pop(step.name, None)
        for run in job.live_runs():
            run.require_stop(state)
        self.journal.mark(job)
        LOG.info(
            "job ended",
            extra={
                "job": job.job.job,
                "queue": job.job.queue,
                "team": job.job.team,
                "state": state,
                "why": reason,
                "code": code.value,
            },
        )

    def remove_ended_job(self, job: jobruns.JobRun, now: float) -> None:
        """Remove a job whose end is stored.

        Runs of it that have not ended become orphaned.
        """
        if self.jobs.get(job.job.job) is job:
            del self.jobs[job.job.job]
        self.ended_jobs.add(job.job.job, now)
        for run in job.live_runs():
            run.task = None
            self.orphaned_runs.append(run)

    def check_finished(self, job: jobruns.JobRun) -> None:
        """End a job whose occurrences are all done."""
        if job.ending is None and job.finished:
            self.finish_job(job, model.STATE_COMPLETED, "all done", 0.0)

    def max_attempts(self, job: model.Job) -> int:
        """Return how many runs of a task of a job may fail."""
        return max(self._queue_of_job(job).max_attempts, 1)

    def queue_of(self, step: jobruns.StepRun) -> operatorconfig.Queue:
        """Return the queue of a step."""
        return self._queue_of_job(step.job.job)

    def _queue_of_job(self, job: model.Job) -> operatorconfig.Queue:
        """Return the queue of a job.

        The jobs of a queue that operators removed keep what it promised when
        they were accepted.
        """
        known = self.queues.get(job.queue)
        return known or _removed_queue(job, self.name)

    # Workers

    def adopt_worker(self, worker: fleet.WorkerState) -> None:
        """Add a worker to this pool."""
        self.workers[worker.name] = worker

    # Runs

    @property
    def first_run(self) -> int:
        """Number below which all runs of earlier holders are."""
        return self.epoch * RUNS_PER_EPOCH

    def next_run(self) -> int:
        """Return a run number above all earlier ones of this pool."""
        self._run_count += 1
        return self.first_run + self._run_count

    def add_run(
        self,
        task: jobruns.Task,
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

    @staticmethod
    def reserved_size(step: jobruns.StepRun) -> resources.Vector:
        """Return the capacity that a task of a step reserves on a worker."""
        size = step.step.size
        if step.step.best_effort:
            return resources.Vector(0.0, size.memory, size.accelerators)
        return size

    def _arrival(
        self, steps: list[jobruns.StepRun], arrived_at: float
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
                task.record_checkpoint(run.checkpoint)
        elif run in self.orphaned_runs:
            self.orphaned_runs.remove(run)
        self.limits.release(run.team, run.limit_key)


def _removed_queue(job: model.Job, pool: str) -> operatorconfig.Queue:
    """Return the queue of a job as it was when the job was accepted."""
    terms = job.terms
    policy = terms.policy
    return operatorconfig.Queue(
        job.queue,
        "",
        "",
        pool,
        terms.priority,
        job.max_attempts,
        terms.stretch,
        terms.target_seconds,
        policy=operatorconfig.PolicyTimes(*policy) if policy else None,
    )
