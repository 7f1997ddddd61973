"""Jobs, steps and tasks, as known to the holder of a pool."""

import dataclasses
import itertools

from agaterudder.jobs import model
from agaterudder.jobs import runs
from agaterudder.jobs import tickets

MAX_RUNS_PER_TASK = 2
# Limit of the unfinished steps of a job from which on its further occurrences
# are not created yet: each planning round looks at all of them.
MAX_UNFINISHED_STEPS = 1_000

START_FIRST = "first"
START_RESTART = "restart"
START_COPY = "copy"


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A run that starts once its attempt is stored.

    :ivar mark: the journal mark up to which it is stored.
    :ivar workers: where it may start, as it is stored.
    """

    number: int
    mark: int
    workers: tuple[model.WorkerLife, ...]


class Task:
    """One task of one occurrence of a step.

    :ivar runs: runs that are not known to have ended.
    :ivar excluded_workers: workers on which it failed or was a straggler;
        used only when no other worker is a candidate.
    :ivar not_before: earliest time of its next start.
    :ivar last_preemption_at: when runs of lower priority were last stopped to
        free capacity for it, 0 before.
    :ivar straggler_restarts: how often it was restarted as a straggler.
    :ivar last_run: highest run number known of it, 0 without one.
    :ivar done_run: number of the run whose end made it done, 0 if unknown.
    :ivar stopped_at: when a run of it last ended, 0 before.
    :ivar prepared: its next run, whose attempt is being stored; None without.
    """

    __slots__ = (
        "name",
        "step",
        "index",
        "done",
        "checkpoint",
        "runs",
        "excluded_workers",
        "not_before",
        "last_preemption_at",
        "straggler_restarts",
        "last_run",
        "done_run",
        "stopped_at",
        "prepared",
    )

    def __init__(self, name: str, step: "StepRun", index: int) -> None:
        self.name = name
        self.step = step
        self.index = index
        self.done = False
        self.checkpoint = ""
        self.runs: list[runs.Run] = []
        self.excluded_workers: set[str] = set()
        self.not_before = 0.0
        self.last_preemption_at = 0.0
        self.straggler_restarts = 0
        self.last_run = 0
        self.done_run = 0
        self.stopped_at = 0.0
        self.prepared: Prepared | None = None

    @property
    def unit(self) -> "list[Task]":
        """Tasks whose failures and crashes count together: it or its gang."""
        return self.step.tasks if self.step.step.gang else [self]

    @property
    def progress_key(self) -> str:
        """Key of its failures and crashes in the stored progress."""
        step = self.step
        return step.key if step.step.gang else f"{step.key}.{self.index}"

    @property
    def checkpoint_key(self) -> str:
        """Key of its checkpoint in the stored progress, one for a gang."""
        return f"{self.step.key}.{self.unit[0].index}"

    @property
    def unit_name(self) -> str:
        """Name of the task or of its gang."""
        return self.step.name if self.step.step.gang else self.name

    def record_end(self, run: runs.Run, now: float) -> None:
        """Record the end of a run, unless it never ran."""
        if run.running_since:
            self.stopped_at = self.step.job.stopped_at = now

    @property
    def start_kind(self) -> str:
        """Kind of its next start: first, restart or copy."""
        if self.runs:
            return START_COPY
        return START_RESTART if self.last_run else START_FIRST

    @property
    def waiting(self) -> bool:
        """Whether it is not done and has no run."""
        return not self.done and not self.runs

    def record_checkpoint(self, checkpoint: str) -> None:
        """Record from where its next run continues, or that of its gang."""
        members = self.step.tasks if self.step.step.gang else [self]
        for member in members:
            member.checkpoint = checkpoint
        progress = self.step.job.progress
        progress.checkpoints[self.checkpoint_key] = checkpoint


class StepRun:
    """One occurrence of a step.

    :ivar ready_at: when the steps that it depends on were found done, 0
        before.
    :ivar tickets: tickets of the placement policy, None before.
    :ivar policy_request_pending: whether a request to the policy is pending.
    :ivar durations: worker and seconds of each completed task.
    """

    __slots__ = (
        "job",
        "occurrence",
        "number",
        "step",
        "tasks",
        "done",
        "ready_at",
        "tickets",
        "policy_request_pending",
        "durations",
    )

    def __init__(
        self, job: "JobRun", occurrence: int, number: int, step: model.Step
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step = step
        self.done = 0
        self.ready_at = 0.0
        self.tickets: tickets.Tickets | None = None
        self.policy_request_pending = False
        self.durations: list[tuple[str, float]] = []
        self.tasks = [
            Task(
                model.task_name(job.job.job, occurrence, number, index),
                self,
                index,
            )
            for index in range(step.count)
        ]

    @property
    def key(self) -> str:
        """Occurrence and number of the step, as progress is stored."""
        return f"{self.occurrence}.{self.number}"

    @property
    def name(self) -> str:
        """Name of the step of this occurrence."""
        return f"{self.job.job.job}.{self.key}"

    @property
    def finished(self) -> bool:
        """Whether all tasks are done."""
        return self.done >= len(self.tasks)

    def waiting_tasks(self, now: float) -> list[Task]:
        """Return the tasks that may be started.

        A speculative step starts a copy of a task whose runs are all
        unreachable.
        """
        return [
            task
            for task in self.tasks
            if task.not_before <= now
            and (task.waiting or self._allows_copy(task, now))
        ]

    def _allows_copy(self, task: Task, now: float) -> bool:
        return (
            self.step.speculative
            and not self.step.gang
            and not task.done
            and len(task.runs) < MAX_RUNS_PER_TASK
            and all(run.unreachable(now) for run in task.runs)
        )

    def unavailable_tasks(self, now: float) -> int:
        """Return how many tasks of a long-running step are unavailable."""
        return sum(
            1
            for task in self.tasks
            if not any(run.available(now) for run in task.runs)
        )

    def count_on_worker(self, worker: str) -> int:
        """Return how many tasks have a run on a worker."""
        return sum(
            1
            for task in self.tasks
            for run in task.runs
            if run.worker.name == worker
        )

    def within_worker_limit(self, worker: str) -> bool:
        """Return whether one more task may have a run on a worker."""
        limit = self.step.max_per_worker
        return not limit or self.count_on_worker(worker) < limit


class JobRun:
    """A job that has not ended.

    :ivar accepted_at: when it was accepted, by this machine's clock.
    :ivar row_version: version of its progress row, 0 without one.
    :ivar recovered: whether it was accepted before this holder took the
        pool over, so that its tasks may run on workers that have not
        answered yet.
    :ivar over_submission_rate: whether its team had submitted more jobs a
        second than its weight allows.
    :ivar placed: whether this holder has placed a task of it.
    :ivar ending: the end that is to be stored, None until it ends.
    :ivar ending_stored: whether its end is stored; nothing more is written
        for it.
    :ivar stopped_at: when a run of it last ended, 0 before.
    :ivar unfinished: created steps that are not finished, by key.
    """

    __slots__ = (
        "job",
        "accepted_at",
        "progress",
        "row_version",
        "steps",
        "unfinished",
        "created",
        "recovered",
        "started",
        "placed",
        "ending",
        "ending_stored",
        "cancelled",
        "over_submission_rate",
        "stopped_at",
    )

    def __init__(
        self, job: model.Job, accepted_at: float, recovered: bool
    ) -> None:
        self.job = job
        self.accepted_at = accepted_at
        self.progress = model.Progress()
        self.row_version = 0
        self.steps: dict[str, StepRun] = {}
        self.unfinished: dict[str, StepRun] = {}
        self.created = 0
        self.recovered = recovered
        self.started = False
        self.placed = False
        self.ending: model.Ended | None = None
        self.ending_stored = False
        self.over_submission_rate = False
        self.cancelled = False
        self.stopped_at = 0.0

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence is due, Unix seconds; 0 for at once."""
        if not self.job.request.times:
            return 0.0
        request = self.job.request
        return request.start_at + occurrence * request.interval

    def first_start_wait(self, now: float) -> float | None:
        """Return how long its first start has been due.

        :returns: None when no start is due or a task of it was started.
        """
        if self.placed or self.started or not self.created:
            return None
        if self.ending is not None:
            return None
        if self.job.request.times:
            return now - self.steps["0.0"].ready_at
        return now - self.accepted_at

    def create_due(self, wall: float, now: float) -> list[StepRun]:
        """Create the steps of the occurrences that are due.

        While many steps are unfinished, further occurrences wait.
        """
        created: list[StepRun] = []
        while (
            self.created < self.job.occurrences
            and len(self.unfinished) < MAX_UNFINISHED_STEPS
            and self.due_at(self.created) <= wall
        ):
            created.extend(self._create(self.created, now))
            self.created += 1
        return created

    def create_up_to(self, task: str, now: float) -> list[StepRun]:
        """Create the steps of the occurrences up to that of a task."""
        key = model.task_key(task)
        if key is None:
            return []
        created: list[StepRun] = []
        while self.created <= min(key.occurrence, self.job.occurrences - 1):
            created.extend(self._create(self.created, now))
            self.created += 1
        return created

    def _create(self, occurrence: int, now: float) -> list[StepRun]:
        found = [
            StepRun(self, occurrence, number, step)
            for number, step in enumerate(self.job.request.steps)
        ]
        for step in found:
            self.steps[step.key] = step
            self._restore(step)
            if not step.finished:
                self.unfinished[step.key] = step
        for step in found:
            self.check_ready(step, now)
        return found

    def _restore(self, step: StepRun) -> None:
        for index in self.progress.done.get(step.key, ()):
            if index < len(step.tasks) and not step.tasks[index].done:
                step.tasks[index].done = True
                step.done += 1
        for task in step.tasks:
            task.checkpoint = self.progress.checkpoints.get(
                task.checkpoint_key, ""
            )
            numbers = (
                *self.progress.failures.get(task.progress_key, ()),
                *self.progress.attempts.get(task.progress_key, ()),
                *itertools.chain.from_iterable(
                    known.get(task.progress_key, ())
                    for known in self.progress.crash_records
                ),
            )
            task.last_run = max(numbers, default=0)

    def check_ready(self, step: StepRun, now: float) -> bool:
        """Mark a step ready when the steps that it depends on are done.

        :returns: whether it is ready.
        """
        if step.ready_at:
            return True
        needed = (
            self.steps.get(f"{step.occurrence}.{number}")
            for number in step.step.after
        )
        if all(found is not None and found.finished for found in needed):
            step.ready_at = now
            return True
        return False

    def step_finished(self, step: StepRun, now: float) -> None:
        """Mark the steps ready that waited only for a step."""
        self.unfinished.pop(step.key, None)
        for number, later in enumerate(self.job.request.steps):
            if step.number in later.after:
                follower = self.steps[f"{step.occurrence}.{number}"]
                self.check_ready(follower, now)

    @property
    def finished(self) -> bool:
        """Whether every occurrence is done."""
        return self.created >= self.job.occurrences and not self.unfinished

    def task(self, name: str) -> Task | None:
        """Return a task by its name, None when the job has no such task."""
        key = model.task_key(name)
        if key is None:
            return None
        step = self.steps.get(f"{key.occurrence}.{key.step}")
        if step is None or key.index >= len(step.tasks):
            return None
        return step.tasks[key.index]

    def live_runs(self) -> list[runs.Run]:
        """Return the runs that are not known to have ended."""
        return [
            run
            for step in self.steps.values()
            for task in step.tasks
            for run in task.runs
        ]
