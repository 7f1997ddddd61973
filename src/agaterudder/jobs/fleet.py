"""Workers of a pool, as known to its holder.

A worker that does not answer is assumed to run every task that it may have
been given, until its lease has certainly expired by its own clock.
"""

import collections
import dataclasses
import itertools

from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder import resources

# Lowest rate of a worker's clock: it may be 2 % slow.
MIN_CLOCK_RATE = 0.98
# A worker that has not answered a poll for this long gets no new tasks.
UNRESPONSIVE_SECONDS = 1.0
# Polls in a row without an answer before a worker is given up.
MIN_UNANSWERED_POLLS = 3
LEASE_MARGIN_SECONDS = 0.2
# Fraction of the longest lease that is requested; the rest covers the delay
# of the message.
LEASE_FRACTION = 0.98
# Longest delay after which an unanswered order may still take effect.
MAX_ORDER_DELAY_SECONDS = 12.5
NO_CAPACITY = resources.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEnds:
    """Ends of a worker that were applied together.

    :ivar number: number of the last of them.
    :ivar mark: the journal mark up to which they are stored.
    :ivar at: when they were first listed.
    """

    number: int
    mark: int
    at: float


class WorkerState:
    """One worker.

    :ivar registration: its latest registration.
    :ivar registered: whether it is registered now.
    :ivar fenced: whether this incarnation has accepted the current epoch.
    :ivar fenced_at: when it first accepted the current epoch.
    :ivar incarnation: start of its incarnation, Unix milliseconds.
    :ivar incarnation_known_at: when that incarnation became known.
    :ivar polled_at: when the last answered poll was sent, 0 before.
    :ivar answered_at: when its last answer to a poll or an order arrived, 0
        before.
    :ivar end_asked: whether the list of machines is being asked whether it
        has ended.
    :ivar unanswered_since: when the first poll or start since the last
        answered poll failed, 0 before.
    :ivar unanswered_polls: number of polls since the last answered one.
    :ivar latest_deadline: latest end of a lease given to it, seconds of
        its clock.
    :ivar acknowledged_end: number up to which the ends of this incarnation
        are stored, so that it may discard them.
    :ivar unstored_ends: ends that were applied and are not known to be
        stored, in order.
    :ivar discarded_end: number up to which it has discarded them.
    :ivar last_end_number: number of the last end that was applied.
    :ivar persisted: whether it is in the stored row of the pool's workers.
    :ivar cordon_reason: why it is cordoned, empty otherwise.
    :ivar draining: whether it reports that it shuts down.
    :ivar clock: its clock in the last listing, seconds.
    :ivar clock_at: when that listing arrived.
    :ivar full_until: gets no starts before, as it rejected one for lack of
        capacity.
    :ivar terminated: whether its incarnation was terminated by an order
        for its machine.
    :ivar best_effort_percent: speed limit of best-effort tasks.
    :ivar throttled_at: when that limit was last changed.
    :ivar below_target_since: since when the response times of all
        latency-sensitive tasks are well below their targets.
    :ivar idle_since: when its last run ended, or it joined.
    :ivar busy_at: when a run last started or ended on it.
    :ivar quarantined_until: gets no starts before, as its tasks failed
        repeatedly or it rejected a start as busy.
    """

    __slots__ = (
        "name",
        "registration",
        "link",
        "registered",
        "fenced",
        "fenced_at",
        "incarnation",
        "incarnation_known_at",
        "polled_at",
        "answered_at",
        "end_asked",
        "unanswered_since",
        "unanswered_polls",
        "latest_deadline",
        "acknowledged_end",
        "unstored_ends",
        "discarded_end",
        "last_end_number",
        "persisted",
        "cordon_reason",
        "cordoned_since",
        "draining",
        "quarantined_until",
        "consecutive_failures",
        "runs",
        "used",
        "clock",
        "clock_at",
        "unregistered_at",
        "full_until",
        "idle_since",
        "busy_at",
        "terminated",
        "best_effort_percent",
        "throttled_at",
        "below_target_since",
    )

    def __init__(
        self, registration: ports.WorkerRegistration, link: ports.Worker
    ) -> None:
        self.name = registration.worker
        self.registration = registration
        self.link = link
        self.registered = True
        self.fenced = False
        self.fenced_at = 0.0
        self.incarnation = registration.incarnation
        self.incarnation_known_at = 0.0
        self.polled_at = 0.0
        self.answered_at = 0.0
        self.end_asked = False
        self.unanswered_since = 0.0
        self.unanswered_polls = 0
        self.latest_deadline = 0.0
        self.acknowledged_end = 0
        self.unstored_ends: collections.deque[ListedEnds] = collections.deque()
        self.discarded_end = 0
        self.last_end_number = 0
        self.persisted = False
        self.cordon_reason = ""
        self.cordoned_since = 0.0
        self.draining = False
        self.quarantined_until = 0.0
        self.consecutive_failures = 0
        self.runs: dict[tuple[str, int], runs.Run] = {}
        self.used = resources.ZERO
        self.clock = 0.0
        self.clock_at = 0.0
        self.unregistered_at = 0.0
        self.full_until = 0.0
        self.idle_since = 0.0
        self.busy_at = 0.0
        self.terminated = False
        self.best_effort_percent = 100
        self.throttled_at = 0.0
        self.below_target_since = 0.0

    @property
    def free(self) -> resources.Vector:
        """Capacity that no run reserves."""
        return self.registration.size - self.used

    @property
    def free_without_short_tasks(self) -> resources.Vector:
        """Capacity that is free once all but long-running tasks have ended."""
        long_running = (
            run.size
            for run in self.runs.values()
            if run.task is not None and run.task.step.step.long_running
        )
        return self.registration.size - sum(long_running, resources.ZERO)

    @property
    def end_expected(self) -> bool:
        """Whether it ends by an order, or as it shuts down."""
        return self.terminated or bool(self.cordon_reason)

    def unresponsive(self, now: float) -> bool:
        """Return whether polls have gone unanswered for too long."""
        return bool(
            self.unanswered_since
            and now - self.polled_at > UNRESPONSIVE_SECONDS
        )

    def given_up(self, now: float) -> bool:
        """Return whether it was asked repeatedly and has not answered.

        Time alone does not tell: this process may have stood still.
        """
        return bool(
            self.unanswered_polls >= MIN_UNANSWERED_POLLS
            and now - self.unanswered_since > UNRESPONSIVE_SECONDS
        )

    def heard(self, now: float) -> str:
        """Return the age of the last answered poll, for log lines."""
        if not self.polled_at:
            return "never"
        return f"{now - self.polled_at:.3f}"

    def earlier_stops_visible(self, stop_seconds: float) -> bool:
        """Return whether its listing reflects stops of earlier holders.

        The worker accepts none after the fencing, and one accepted before
        takes up to ``stop_seconds``.

        :param stop_seconds: longest time that a stop takes.
        """
        return self.polled_at >= self.fenced_at + stop_seconds

    @property
    def size_confirmed(self) -> bool:
        """Whether the capacity is that of its present incarnation."""
        return self.registration.incarnation in (0, self.incarnation)

    def accepts_tasks(self, now: float) -> bool:
        """Return whether tasks may be started here now."""
        return (
            self.registered
            and self.size_confirmed
            and not self.terminated
            and not self.end_asked
            and self.fenced
            and self.persisted
            and not self.cordon_reason
            and not self.unresponsive(now)
            and self.quarantined_until <= now
            and self.full_until <= now
            and all(run.size_known for run in self.runs.values())
        )

    @property
    def long_running_count(self) -> int:
        """Number of long-running tasks on it."""
        return sum(
            1
            for run in self.runs.values()
            if run.task is not None and run.task.step.step.long_running
        )

    @property
    def drained(self) -> bool:
        """Whether it has no runs, and the ends of all are stored."""
        return not self.runs and not self.unstored_ends

    @property
    def has_mixed_load(self) -> bool:
        """Whether it runs both latency-sensitive and best-effort tasks."""
        steps = [
            run.task.step.step
            for run in self.runs.values()
            if run.task is not None
        ]
        return any(step.target_seconds > 0 for step in steps) and any(
            step.best_effort for step in steps
        )

    def cordon(self, reason: str, now: float) -> None:
        """Cordon it: no more tasks are started on it."""
        if not self.cordon_reason:
            self.cordoned_since = now
        self.cordon_reason = reason

    def add(self, run: runs.Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs[(run.task_name, run.number)] = run
        self.busy_at = max(self.busy_at, run.sent_at)
        self.used = self.used + run.size

    def remove(self, run: runs.Run, now: float) -> None:
        """Remove a run that has ended and release its capacity."""
        if self.runs.pop((run.task_name, run.number), None) is None:
            return
        self.used = self.used - run.size
        self.busy_at = now
        if not self.runs:
            self.used = resources.ZERO
            self.idle_since = now

    @property
    def learnt_at(self) -> float:
        """When something was last learnt that shows that it lives.

        What was so before does not tell whether it has ended.
        """
        return max(self.answered_at, self.incarnation_known_at)

    def record_answer(self, now: float) -> None:
        """Record that an answer of it arrived."""
        self.answered_at = max(self.answered_at, now)

    def record_poll(
        self, listing: ports.Listing, sent_at: float, now: float
    ) -> None:
        """Record an answered poll."""
        self.polled_at = max(self.polled_at, sent_at)
        self.record_answer(now)
        self.unanswered_since = 0.0
        self.unanswered_polls = 0
        self.clock = listing.clock
        self.clock_at = now

    @property
    def end_to_acknowledge(self) -> int:
        """Number up to which the next poll acknowledges ends, 0 for none.

        A worker that restarts numbers its ends from 1 again, and would
        discard those that nobody has read: a number is not sent once more
        when it was answered, and not after a poll without an answer.
        """
        if (
            self.unanswered_since
            or self.acknowledged_end <= self.discarded_end
        ):
            return 0
        return self.acknowledged_end

    def note_listed_ends(self, mark: int, now: float) -> None:
        """Note the ends that were applied since the last call.

        :param mark: the journal mark up to which they are stored.
        """
        known = self.unstored_ends[-1].number if self.unstored_ends else 0
        if self.last_end_number > max(known, self.acknowledged_end):
            self.unstored_ends.append(
                ListedEnds(self.last_end_number, mark, now)
            )

    def acknowledge_stored(self, stored: int) -> ListedEnds | None:
        """Record which of the noted ends are stored.

        :param stored: all journal marks up to this one are stored.
        :returns: the last of these ends, None without any.
        """
        last = None
        while self.unstored_ends and self.unstored_ends[0].mark <= stored:
            last = self.unstored_ends.popleft()
            self.acknowledged_end = last.number
        return last

    def min_clock(self, now: float) -> float:
        """Return the lowest value that the worker's clock may show."""
        return self.clock + max(now - self.clock_at, 0.0) * MIN_CLOCK_RATE

    def lease_deadline(self, now: float, lease_seconds: float) -> float:
        """Return the deadline of a lease given now, by its clock.

        :param lease_seconds: longest lease in seconds.
        """
        return self.min_clock(now) + lease_seconds * LEASE_FRACTION

    def lease_expired(self, now: float) -> bool:
        """Return whether every lease given to it has certainly expired."""
        return (
            self.min_clock(now) > self.latest_deadline + LEASE_MARGIN_SECONDS
        )

    def run_expired(
        self, run: runs.Run, now: float, lease_seconds: float
    ) -> bool:
        """Return whether a run has ended although no poll was answered.

        Its start can't take effect any more, and no lease was renewed since.

        :param lease_seconds: longest lease in seconds.
        """
        last = max(run.sent_at, self.polled_at)
        bound = MAX_ORDER_DELAY_SECONDS + lease_seconds / MIN_CLOCK_RATE
        return now - last > bound

    def reset_incarnation(self, incarnation: int, now: float) -> None:
        """Reset the state that belonged to an earlier incarnation."""
        self.incarnation = incarnation
        self.incarnation_known_at = now
        self.fenced = False
        self.terminated = False
        self.acknowledged_end = 0
        self.unstored_ends.clear()
        self.discarded_end = 0
        self.last_end_number = 0
        self.latest_deadline = 0.0
        self.clock = 0.0
        self.clock_at = 0.0
        self.consecutive_failures = 0
        self.quarantined_until = 0.0


def racks(workers: list[WorkerState]) -> dict[str, list[WorkerState]]:
    """Group the workers by rack."""
    ordered = sorted(workers, key=lambda worker: worker.registration.rack)
    return {
        rack: list(found)
        for rack, found in itertools.groupby(
            ordered, key=lambda worker: worker.registration.rack
        )
    }
