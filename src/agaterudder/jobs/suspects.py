"""Tasks that are suspected of crashing their workers.

The stored progress of a job has, for each task (or for each gang as a whole),
the runs under which a worker crashed, those whose worker crashed and never
said that it had them, and the attempts: runs that were stored before their
start and whose outcome is not known yet. An attempt that has no run any more
had an outcome that no holder learnt. It may have been a crash, unless the
workers on which it was to start still run.
"""

import collections
import dataclasses
import typing as t

if t.TYPE_CHECKING:
    from agaterudder.jobs import jobruns

# Crashes and attempts without an outcome from which on a task stays suspected
# when the cause of one of them is found.
SUSPECT_CRASHES = 2
# The same from which on a new holder suspects a task: it knows of no proof.
SUSPECT_CRASHES_RESTORED = 1
# The same for a task that had not just started when its worker crashed.
SUSPECT_CRASHES_LATE = 3
# A suspect that runs for this long is not suspected any more.
ALONE_SECONDS = 0.5
# The same for one with so many crashes that its start may not be the cause.
REPEATED_CRASHES = 3
REPEATED_ALONE_SECONDS = 3.0
# Crashes and attempts without an outcome at which a task is given up, if so
# many of them are such attempts: each of them may have been a crash.
MAX_EVIDENCE = 4
MAX_UNRESOLVED = 2
# Crashes of workers that are remembered until their cause is found.
MAX_CRASHES_KEPT = 100
# Crashes of other workers within this time make it likely that a crash has
# another cause than the task that had just started.
OTHER_CRASHES_SECONDS = 10.0

# Name and incarnation of the worker that crashed.
Life = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known against a task.

    :ivar crashes: number of the runs under which a worker crashed when they
        had just started.
    :ivar unresolved: number of the attempts without a run or an outcome.
    :ivar lost_starts: number of the runs that a worker which crashed may never
        have had.
    :ivar late_crashes: number of the runs under which a worker crashed later.
    """

    crashes: int
    unresolved: int
    lost_starts: int = 0
    late_crashes: int = 0

    @property
    def total(self) -> int:
        """Number of the starts that may have crashed a worker."""
        return (
            self.crashes
            + self.unresolved
            + self.lost_starts
            + self.late_crashes
        )

    @property
    def exhausted(self) -> bool:
        """Whether no further start is allowed."""
        return (
            self.crashes + self.unresolved >= MAX_EVIDENCE
            and self.unresolved >= MAX_UNRESOLVED
        )

    @property
    def alone_seconds(self) -> float:
        """How long a run has to last to end the suspicion."""
        repeated = self.total >= REPEATED_CRASHES
        return REPEATED_ALONE_SECONDS if repeated else ALONE_SECONDS


def evidence(task: "jobruns.Task") -> Evidence:
    """Return what is known against a task."""
    progress = task.step.job.progress
    key = task.progress_key
    return Evidence(
        len(progress.crashes.get(key, ())),
        len(unresolved_attempts(task)),
        len(progress.lost_starts.get(key, ())),
        len(progress.late_crashes.get(key, ())),
    )


def unresolved_attempts(task: "jobruns.Task") -> list[int]:
    """Return the attempts of a task that have no run and no outcome."""
    attempts = task.step.job.progress.attempts.get(task.progress_key, ())
    open_numbers = {run.number for member in task.unit for run in member.runs}
    prepared = task.unit[0].prepared
    if prepared is not None:
        open_numbers.add(prepared.number)
    return [number for number in attempts if number not in open_numbers]


@dataclasses.dataclass(slots=True)
class _Share:
    """Crashes under one task among all that the holder has seen.

    :ivar before: how many it had seen before the first under the task.
    """

    before: int
    own: int = 0


def _lately(times: t.Iterable[float], now: float) -> int:
    """Return how many of the times were a short while ago."""
    return sum(now - at < OTHER_CRASHES_SECONDS for at in times)


class Suspects:
    """Tasks of a pool that start apart from all others.

    A gang is suspected as a whole, under its first task.

    :ivar prepared_mark: the journal mark of the last prepared attempt.
    :ivar crashes_seen: crashes of workers that this holder has seen.
    """

    __slots__ = (
        "prepared_mark",
        "crashes_seen",
        "_seen_at",
        "_guessed",
        "_under_at",
        "_shares",
        "_tasks",
        "_just_started",
        "_crashes",
        "_victims",
    )

    def __init__(self) -> None:
        self.prepared_mark = 0
        self.crashes_seen = 0
        self._seen_at: collections.deque[float] = collections.deque(
            maxlen=MAX_CRASHES_KEPT
        )
        self._guessed: collections.deque[int] = collections.deque(
            maxlen=MAX_CRASHES_KEPT
        )
        self._under_at: dict[str, collections.deque[float]] = {}
        self._shares: dict[str, _Share] = {}
        self._tasks: dict[str, jobruns.Task] = {}
        self._just_started: set[str] = set()
        self._crashes: dict[Life, dict[str, tuple[jobruns.Task, int]]] = {}
        self._victims: dict[Life, dict[str, tuple[jobruns.Task, int]]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task: "jobruns.Task") -> bool:
        return task.unit_name in self._tasks

    def add(self, task: "jobruns.Task", just_started: bool = False) -> None:
        """Suspect a task.

        :param just_started: whether a worker crashed when it had just started.
        """
        self._tasks.setdefault(task.unit_name, task.unit[0])
        if just_started:
            self._just_started.add(task.unit_name)

    def crash_seen(self, now: float) -> None:
        """Note that a worker crashed, whatever ran there."""
        self.crashes_seen += 1
        self._seen_at.append(now)

    def crash_under(self, task: "jobruns.Task", now: float) -> None:
        """Note that a worker crashed that may have had a run of a task."""
        times = self._under_at.setdefault(
            task.unit_name, collections.deque(maxlen=MAX_CRASHES_KEPT)
        )
        # The members of a gang may have run on one worker.
        if now not in times:
            times.append(now)
        if len(self._under_at) > MAX_CRASHES_KEPT:
            del self._under_at[next(iter(self._under_at))]

    def add_guess(self, number: int) -> None:
        """Note that a run counts as crashed that its worker may not have had.

        Its worker answered right before the start, and not the start itself.
        """
        self._guessed.append(number)

    def guessed(self, task: "jobruns.Task") -> bool:
        """Return whether a crash under a task is such a guess."""
        known = task.step.job.progress.crashes.get(task.progress_key, ())
        return any(number in self._guessed for number in known)

    def others_crash(self, task: "jobruns.Task", now: float) -> bool:
        """Return whether a worker crashed lately that had no run of a task."""
        own = _lately(self._under_at.get(task.unit_name, ()), now)
        return _lately(self._seen_at, now) > own

    def count(self, task: "jobruns.Task") -> None:
        """Count the latest crash as one under a task."""
        share = self._shares.get(task.unit_name)
        if share is None:
            share = _Share(self.crashes_seen - 1)
            self._shares[task.unit_name] = share
            if len(self._shares) > MAX_CRASHES_KEPT:
                del self._shares[next(iter(self._shares))]
        share.own += 1

    def mostly_under(self, task: "jobruns.Task") -> bool:
        """Return whether most crashes were under a task, from its first."""
        share = self._shares.get(task.unit_name)
        if share is None:
            return False
        return share.own * 2 > self.crashes_seen - share.before

    def forget_share(self, task: "jobruns.Task") -> None:
        """Count the crashes under a task from none again."""
        self._shares.pop(task.unit_name, None)

    def discard(self, task: "jobruns.Task") -> None:
        """End the suspicion of a task."""
        self._tasks.pop(task.unit_name, None)
        self._just_started.discard(task.unit_name)

    def add_crash(self, life: Life, task: "jobruns.Task", number: int) -> None:
        """Note that a worker crashed under a run that had just started."""
        self._note(self._crashes, life, task, number)

    def add_victim(
        self, life: Life, task: "jobruns.Task", number: int
    ) -> None:
        """Note that a worker crashed under a run that had lasted."""
        self._note(self._victims, life, task, number)

    @staticmethod
    def _note(
        noted: "dict[Life, dict[str, tuple[jobruns.Task, int]]]",
        life: Life,
        task: "jobruns.Task",
        number: int,
    ) -> None:
        noted.setdefault(life, {})[task.unit_name] = (task, number)
        if len(noted) > MAX_CRASHES_KEPT:
            del noted[next(iter(noted))]

    def explained_by(
        self, task: "jobruns.Task"
    ) -> "tuple[list[tuple[jobruns.Task, int]], list[jobruns.Task]]":
        """Return what else was on the workers that a task crashed.

        Forgets these crashes, as their cause is found.

        :returns: the runs that had lasted, and the tasks that had just
            started.
        """
        lives = [
            life
            for life in {*self._crashes, *self._victims}
            if task.unit_name in self._crashes.get(life, ())
            or task.unit_name in self._victims.get(life, ())
        ]
        victims = []
        others = []
        for life in lives:
            lasted = self._victims.pop(life, {})
            started = self._crashes.pop(life, {})
            victims += [
                found
                for name, found in lasted.items()
                if name != task.unit_name
            ]
            others += [
                other
                for name, (other, _) in started.items()
                if name != task.unit_name
            ]
        return victims, others

    def restore(self, step: "jobruns.StepRun") -> None:
        """Suspect the tasks against which enough is stored."""
        progress = step.job.progress
        if not (progress.attempts or any(progress.crash_records)):
            return
        for task in step.tasks:
            total = evidence(task).total
            if not task.done and total >= SUSPECT_CRASHES_RESTORED:
                self.add(task)

    def waiting(self, now: float) -> "list[jobruns.Task]":
        """Return those that may start now, the more likely causes first.

        Forgets those that have ended.
        """
        for task in list(self._tasks.values()):
            if task.done or task.step.job.ending is not None:
                self.discard(task)
        waiting = [
            task
            for task in self._tasks.values()
            if task.step.ready_at
            and all(
                member.waiting and member.not_before <= now
                for member in task.unit
            )
        ]
        waiting.sort(key=self._order)
        return waiting

    def _order(self, task: "jobruns.Task") -> tuple[bool, int]:
        """Rank the more likely causes first."""
        return (
            task.unit_name not in self._just_started,
            -evidence(task).total,
        )
