"""A pool whose workers crash under some tasks, in simulated time."""

import dataclasses
import math
import random
import typing as t

from agaterudder.jobs import crashes
from agaterudder.jobs import fleet
from agaterudder.jobs import journalwriter
from agaterudder.jobs import listings
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import workerloop
from agaterudder import resources
from tests import job_builders
from tests import memory_store
from tests import pool_fakes

# Name of the job whose task crashes its workers, or is thought to.
CULPRIT = "00000000000000cc"
TICK_SECONDS = 0.05
RETURN_SECONDS = 3.0
LEASE_SECONDS = 6.0
# Moments of a take-over.
NEVER = "never"
AFTER_START = "after a start of a culprit"
BEFORE_START = "before an attempt is sent that is stored"
AFTER_STORE = "after its crash is stored"
MAX_FORCED_TAKE_OVERS = 12
# What happens at a start: its worker has crashed before, and the answer is
# missed; the worker crashes for another cause, after it has answered; or it
# does so after it has answered a probe, and before it has the start.
LOST = "lost"
CRASH = "crash"
PROBED = "probed"
# A random play, and the quiet time at its end.
RANDOM_SECONDS = 12.0
QUIET_SECONDS = 60.0
CRASH_PROBABILITY = 0.02
FAULT_PROBABILITY = 0.1
AWAY_PROBABILITY = 0.03
TAKE_OVER_PROBABILITY = 0.02


@dataclasses.dataclass(slots=True)
class Process:
    """The process of a worker, as it really is.

    :ivar answers: whether its polls are answered.
    :ivar running: when each run began, by task and number.
    """

    name: str
    rack: str
    alive: bool = True
    answers: bool = True
    incarnation: int = 1
    running: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    ended: list[ports.Ended] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A run that a worker began."""

    task: str
    run: int
    worker: str
    epoch: int
    beside: tuple[str, ...]


class Simulation:
    """A pool, the store of its holder, and the processes of its workers.

    :param count: number of workers, each of which returns under a new name
        some seconds after it crashed.
    :ivar deadly: tasks that crash their worker, with the seconds after their
        start.
    :ivar fates: what happens at the next starts of a task, in order.
    :ivar available_after: seconds after which long-running tasks list that
        they are available.
    :ivar begun: the runs that began.
    :ivar crashed: the tasks that ran on each worker that crashed.
    :ivar answers_lost: whether the answer to a deadly start is lost.
    :ivar stores: whether the store is in reach of the holder.
    :ivar take_over_at: when the pool is taken over, for some times.
    :ivar suspect_starts: the numbers of the runs of suspects, and whether
        each was stored before its start.
    :ivar company: suspects beside which another task began or ran.
    :ivar most_kept: the most workers that were kept for suspects at a time.
    """

    def __init__(self, count: int) -> None:
        self.now = job_builders.START
        self.store = memory_store.MemoryStore()
        self.processes: dict[str, Process] = {}
        self.deadly: dict[str, float] = {}
        self.fates: dict[str, list[str]] = {}
        self.available_after = math.inf
        self.begun: list[Begun] = []
        self.crashed: list[tuple[str, ...]] = []
        self.jobs: dict[str, model.Job] = {}
        self.answers_lost = False
        self.stores = True
        self.take_over_at = NEVER
        self.take_overs = 0
        self.suspect_starts: dict[int, bool] = {}
        self.company: list[str] = []
        self.most_kept = 0
        self._returns: list[tuple[float, str]] = []
        self._named = 0
        self._unhandled = False
        self._broken_gangs: set[int] = set()
        self.epoch = job_builders.EPOCH
        self.state = self._new_state()
        for number in range(count):
            self._add_process(f"rack-{number % 2}")

    def _new_state(self) -> pools.Pool:
        state = job_builders.state()
        state.epoch = self.epoch
        place = (model.HOLDERS_TABLE, job_builders.POOL, model.HOLDER_KEY)
        self.store.rows[place] = (b"", self.epoch)
        return state

    def _add_process(self, rack: str) -> None:
        self._named += 1
        process = Process(f"w{self._named}", rack)
        self.processes[process.name] = process
        self._adopt(process)

    def _adopt(self, process: Process) -> None:
        worker = job_builders.worker(
            process.name, rack=process.rack, incarnation=process.incarnation
        )
        worker.fenced = process.answers
        worker.record_poll(self._listing(process), self.now, self.now)
        self.state.adopt_worker(worker)

    def _listing(self, process: Process) -> ports.Listing:
        running = [
            ports.Running(task, number, "", self._progress(task, began))
            for (task, number), began in process.running.items()
        ]
        return job_builders.listing(
            running,
            process.ended,
            job_builders.START_CLOCK + self.now - job_builders.START,
            process.incarnation,
        )

    def _progress(self, task: str, began: float) -> int:
        """Return what a worker lists as the progress of a run."""
        lasting = self._duration(task) > RANDOM_SECONDS
        available = self.now - began >= self.available_after
        return 100 if lasting and available else 0

    # What callers and operators do

    def submit(
        self, name: str, *steps: model.Step, recovered: bool = False
    ) -> None:
        """Accept a job of the steps."""
        job = job_builders.job(*steps, job=name)
        self.jobs[name] = job
        self.state.accept(job, model.Progress(), 0, self.now, recovered)
        self.state.create_due(0.0, self.now)

    def take_over(self) -> None:
        """Give the pool to another holder."""
        self.epoch += 1
        self.state = self._new_state()
        self.stores = True
        for name, job in self.jobs.items():
            ended = self.store.rows.get(
                (model.ENDED_TABLE, job_builders.POOL, name)
            )
            if ended is not None:
                continue
            row = self.store.rows.get(
                (model.PROGRESS_TABLE, job_builders.POOL, name)
            )
            progress = (
                model.decode(row[0], model.Progress)
                if row
                else model.Progress()
            )
            self.state.accept(
                job, progress, row[1] if row else 0, self.now, True
            )
        self.state.create_due(0.0, self.now)
        for process in self.processes.values():
            if process.alive:
                self._adopt(process)
        self.poll()
        crashes.resolve_attempts(self.state)

    # What happens in the pool

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.tick()

    def tick(self) -> None:
        """Poll the workers, store the journal and plan."""
        self.now += TICK_SECONDS
        crashed = len(self.crashed)
        self.progress()
        self.poll()
        self.write()
        if self.take_over_at == BEFORE_START and self._attempt_stored():
            self._forced_take_over()
        if self.take_over_at == AFTER_STORE and self._unhandled:
            self._forced_take_over()
        self.plan()
        self._unhandled = len(self.crashed) > crashed
        if self.take_over_at == AFTER_START and self._unhandled:
            self._forced_take_over()
        self._check_company()

    def _attempt_stored(self) -> bool:
        """Return whether a stored attempt is about to be sent."""
        return any(
            task.prepared is not None
            and task.prepared.mark <= self.state.journal.stored
            for job in self.state.jobs.values()
            for step in job.steps.values()
            for task in step.tasks
        )

    def _forced_take_over(self) -> None:
        if self.take_overs < MAX_FORCED_TAKE_OVERS:
            self.take_overs += 1
            self.take_over()

    def _check_company(self) -> None:
        kept = set(self.state.kept_workers)
        for worker in self.state.workers.values():
            apart = [run for run in worker.runs.values() if run.apart]
            if apart:
                kept.add(worker.name)
            if apart and len(worker.runs) > 1:
                self.company.extend(run.task_name for run in apart)
        self.most_kept = max(self.most_kept, len(kept))

    def progress(self) -> None:
        """Let runs end, deadly tasks crash, and workers return."""
        for process in list(self.processes.values()):
            for (task, number), began in list(process.running.items()):
                if not process.alive:
                    break
                lasts = self.now - began
                if task in self.deadly:
                    if lasts >= self.deadly[task]:
                        self.crash(process)
                elif lasts >= self._duration(task):
                    self._end(process, task, number, ports.END_DONE)
        due = [item for item in self._returns if item[0] <= self.now]
        for item in due:
            self._returns.remove(item)
            self._add_process(item[1])

    def _duration(self, task: str) -> float:
        job, _, step, _ = task.split(".")
        found = self.jobs[job].request.steps[int(step)]
        return 1e9 if found.long_running else found.estimate_seconds

    def crash(self, process: Process) -> None:
        """End the process of a worker; another returns in its place."""
        process.alive = False
        self.crashed.append(tuple(task for task, _ in process.running))
        for task, number in process.running:
            self._break_gang(task, number)
        process.running.clear()
        self._returns.append((self.now + RETURN_SECONDS, process.rack))

    def _break_gang(self, task: str, number: int) -> None:
        """End the other members of the gang of a run that was lost."""
        job, _, step, _ = task.split(".")
        if not self.jobs[job].request.steps[int(step)].gang:
            return
        self._broken_gangs.add(number)
        for process in self.processes.values():
            for other, other_number in list(process.running):
                if process.alive and other_number == number:
                    self._end(process, other, number, ports.END_BROKEN)

    @staticmethod
    def _end(process: Process, task: str, number: int, outcome: str) -> None:
        del process.running[(task, number)]
        end = len(process.ended) + 1
        process.ended.append(ports.Ended(end, task, number, outcome, ""))

    def poll(self) -> None:
        """Poll every worker."""
        for worker in list(self.state.workers.values()):
            process = self.processes[worker.name]
            if process.alive and process.answers:
                listing = self._listing(process)
                listings.apply(self.state, worker, listing, self.now, self.now)
                worker.fenced = True
                worker.registration = job_builders.registration(
                    process.name,
                    rack=process.rack,
                    incarnation=process.incarnation,
                )
            elif not process.alive:
                self._poll_dead(worker)

    def _poll_dead(self, worker: fleet.WorkerState) -> None:
        holder = pool_fakes.FakeHolder(self.state)
        holder.reason = machines.NO_MACHINE
        loop = workerloop.WorkerLoop(
            worker, t.cast(t.Any, holder), LEASE_SECONDS
        )
        loop._handle_no_answer(ports.NoAnswer("connection closed"), self.now)
        if not worker.runs:
            self.state.workers.pop(worker.name, None)

    def write(self) -> None:
        """Store the journal, if the store is in reach."""
        if not self.stores:
            return
        writer = journalwriter.JournalWriter(
            job_builders.context(self.state, self.store, self.epoch)
        )
        for _ in range(100):
            if not len(self.state.journal):
                return
            writer._write_batch()

    def plan(self) -> None:
        """Plan once and carry the starts out."""
        for order in planning.Plan(self.state, self.now).orders():
            if isinstance(order, orders.Start):
                self._start(order)

    def _start(self, order: orders.Start) -> None:
        run = order.run
        process = self.processes[run.worker.name]
        if not process.alive:
            run.worker.unanswered_since = self.now
            runstarts.rejected(
                self.state, run, "not sent: connection refused", self.now
            )
            return
        if run.apart:
            self.suspect_starts[run.number] = self._stored(run)
        fates = self.fates.get(run.task_name)
        fate = fates.pop(0) if fates else ""
        if fate == LOST:
            self.crash(process)
            if run.apart:
                runstarts.rejected(
                    self.state, run, "not sent: no answer", self.now
                )
            else:
                runstarts.unanswered(self.state, run, "time-out", self.now)
            return
        run.probed = run.apart
        if fate == PROBED:
            self.crash(process)
            runstarts.unanswered(self.state, run, "reset", self.now)
            return
        beside = tuple(task for task, _ in process.running)
        self.begun.append(
            Begun(run.task_name, run.number, process.name, self.epoch, beside)
        )
        process.running[(run.task_name, run.number)] = self.now
        if run.number in self._broken_gangs:
            self._end(process, run.task_name, run.number, ports.END_BROKEN)
        if self.deadly.get(run.task_name) == 0.0:
            self.crash(process)
            if self.answers_lost:
                runstarts.unanswered(
                    self.state, run, "connection closed", self.now
                )
                return
        runstarts.accepted(self.state, run, self.now)
        if fate == CRASH:
            self.crash(process)

    def _stored(self, run: runs.Run) -> bool:
        """Return whether the attempt of a run is stored."""
        assert run.task is not None
        job = run.task.step.job.job.job
        row = self.store.rows[(model.PROGRESS_TABLE, job_builders.POOL, job)]
        progress = model.decode(row[0], model.Progress)
        return run.number in progress.attempts.get(run.task.progress_key, [])

    # What tests ask

    def starts(self, task: str) -> int:
        """Return how many runs of a task began."""
        return sum(1 for item in self.begun if item.task == task)

    def crashes_under(self, task: str) -> int:
        """Return how many workers crashed while a task ran there."""
        return sum(1 for tasks in self.crashed if task in tasks)

    def crashed_twice_and_alone(self, job: str) -> bool:
        """Return whether two workers crashed under a task, one when alone."""
        tasks = {item.task for item in self.begun if item.task[:16] == job}
        return any(
            self.crashes_under(task) > 1 and (task,) in self.crashed
            for task in tasks
        )

    def ending(self, name: str) -> model.Ended | None:
        """Return the stored end of a job."""
        row = self.store.rows.get((model.ENDED_TABLE, job_builders.POOL, name))
        return model.decode(row[0], model.Ended) if row else None


def play_random(seed: int, culprit: str) -> Simulation:
    """Play a pool with a culprit, other crashes and take-overs.

    :param culprit: name of the job of the task that crashes its workers.
    """
    source = random.Random(seed)
    played = Simulation(source.randint(3, 7))
    size = resources.Vector(float(source.choice((1, 2, 5))), 100.0)
    for number in range(source.randint(3, 8)):
        step = job_builders.step(
            count=source.randint(1, 6),
            size=size,
            estimate_seconds=source.choice((0.2, 0.6, 1.5)),
        )
        played.submit(f"{number:016x}", step)
    step = job_builders.step(
        count=source.randint(1, 4), size=size, estimate_seconds=0.5
    )
    played.submit(culprit, step)
    played.answers_lost = source.random() < 0.5
    played.deadly[model.task_name(culprit, 0, 0, 0)] = source.choice(
        (0.0, 0.0, 0.1)
    )
    until = played.now + RANDOM_SECONDS
    while played.now < until:
        _random_tick(played, source)
    played.stores = True
    played.run(QUIET_SECONDS)
    return played


def _random_tick(played: Simulation, source: random.Random) -> None:
    """Let time pass, with a take-over at any moment of it."""
    played.now += TICK_SECONDS
    if source.random() < CRASH_PROBABILITY:
        alive = [item for item in played.processes.values() if item.alive]
        if alive:
            played.crash(source.choice(alive))
    if source.random() < FAULT_PROBABILITY:
        played.store.faults.append(source.choice(("lost", "refused")))
    if source.random() < AWAY_PROBABILITY:
        played.stores = not played.stores
    for happen in (played.progress, played.poll, played.write, played.plan):
        happen()
        if source.random() < TAKE_OVER_PROBABILITY:
            played.take_over()
