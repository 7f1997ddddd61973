"""Workers of a pool as its holder sees them.

A worker that does not answer is taken to run everything that it may have,
until its lease has surely lapsed by its own clock.
"""

import itertools

from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder import resources

# A worker's clock may be 2 % slow.
SLOWEST_CLOCK = 0.98
# A worker that left a look unanswered for so long gets no new work.
SILENT_SECONDS = 1.0
LAPSE_MARGIN_SECONDS = 0.2
# Part of the longest lease that is asked for; the rest is for the way.
LEASE_PART = 0.98
# An order without an answer may be carried out so much later.
LATE_ORDER_SECONDS = 12.5
NO_ROOM = resources.ZERO


class WorkerState:
    """One worker.

    :ivar entry: what it registered last.
    :ivar listed: whether its registration is there now.
    :ivar fenced: whether this life answered to the present epoch.
    :ivar fenced_at: when it first answered to the present epoch.
    :ivar heard_at: when the last answered look was sent; 0 before.
    :ivar latest_deadline: latest lease that was given to it, by its own
        clock in seconds.
    :ivar acknowledged: ends up to here are stored; it may forget them.
    :ivar last_end: number of the last end that was taken from its lists.
    :ivar recorded: whether it is in the row of the pool's workers.
    :ivar leaving: why it gets no more work, empty otherwise.
    :ivar draining: whether it said that it shuts down.
    :ivar ended: whether its life was ended by an order for its machine.
    :ivar fill_percent: share of their speed for tasks that fill.
    :ivar throttled_at: when that share was last changed.
    :ivar calm_since: since when no serving task is near its target.
    :ivar idle_since: when its last run ended, or it joined.
    :ivar busy_at: when a run last began or ended here.
    :ivar set_aside_until: gets no work before, as it fails what it starts.
    """

    __slots__ = (
        "name",
        "entry",
        "link",
        "listed",
        "fenced",
        "fenced_at",
        "life_start",
        "heard_at",
        "failed_at",
        "latest_deadline",
        "acknowledged",
        "last_end",
        "recorded",
        "leaving",
        "leaving_since",
        "draining",
        "set_aside_until",
        "failures_in_a_row",
        "runs",
        "used",
        "clock",
        "clock_at",
        "unlisted_at",
        "room_until",
        "idle_since",
        "busy_at",
        "ended",
        "fill_percent",
        "throttled_at",
        "calm_since",
    )

    def __init__(self, entry: ports.WorkerEntry, link: ports.Worker) -> None:
        self.name = entry.worker
        self.entry = entry
        self.link = link
        self.listed = True
        self.fenced = False
        self.fenced_at = 0.0
        self.life_start = entry.life_start
        self.heard_at = 0.0
        self.failed_at = 0.0
        self.latest_deadline = 0.0
        self.acknowledged = 0
        self.last_end = 0
        self.recorded = False
        self.leaving = ""
        self.leaving_since = 0.0
        self.draining = False
        self.set_aside_until = 0.0
        self.failures_in_a_row = 0
        self.runs: dict[tuple[str, int], runs.Run] = {}
        self.used = resources.ZERO
        self.clock = 0.0
        self.clock_at = 0.0
        self.unlisted_at = 0.0
        self.room_until = 0.0
        self.idle_since = 0.0
        self.busy_at = 0.0
        self.ended = False
        self.fill_percent = 100
        self.throttled_at = 0.0
        self.calm_since = 0.0

    @property
    def free(self) -> resources.Vector:
        """Room that no run takes."""
        return self.entry.size - self.used

    def silent(self, now: float) -> bool:
        """Return whether looks have stayed unanswered for a while."""
        return bool(self.failed_at and now - self.heard_at > SILENT_SECONDS)

    def settled(self, stop_seconds: float) -> bool:
        """Return whether stops of earlier holders show in its lists.

        None is accepted after the fencing; one before it takes a while.

        :param stop_seconds: longest time that a stop takes.
        """
        return self.heard_at >= self.fenced_at + stop_seconds

    def takes_work(self, now: float) -> bool:
        """Return whether tasks may be started here now."""
        return (
            self.listed
            and not self.ended
            and self.fenced
            and self.recorded
            and not self.leaving
            and not self.silent(now)
            and self.set_aside_until <= now
            and self.room_until <= now
            and all(run.size_known for run in self.runs.values())
        )

    @property
    def lasting(self) -> int:
        """Number of lasting tasks that run here."""
        return sum(
            1
            for run in self.runs.values()
            if run.task is not None and run.task.step.step.long_running
        )

    @property
    def empty_enough(self) -> bool:
        """Whether nothing runs here that would be missed."""
        return not self.runs

    @property
    def mixed(self) -> bool:
        """Whether tasks that serve run here beside tasks that fill."""
        steps = [
            run.task.step.step
            for run in self.runs.values()
            if run.task is not None
        ]
        return any(step.target_seconds > 0 for step in steps) and any(
            step.uses_leftover for step in steps
        )

    def leave(self, reason: str, now: float) -> None:
        """Give it no more work."""
        if not self.leaving:
            self.leaving_since = now
        self.leaving = reason

    def add(self, run: runs.Run) -> None:
        """Take room for a run."""
        self.runs[(run.task_name, run.number)] = run
        self.busy_at = max(self.busy_at, run.sent_at)
        self.used = self.used + run.size

    def remove(self, run: runs.Run, now: float) -> None:
        """Give back the room of a run that is over."""
        if self.runs.pop((run.task_name, run.number), None) is None:
            return
        self.used = self.used - run.size
        self.busy_at = now
        if not self.runs:
            self.used = resources.ZERO
            self.idle_since = now

    def heard(
        self, listing: ports.Listing, sent_at: float, now: float
    ) -> None:
        """Note an answered look."""
        self.heard_at = max(self.heard_at, sent_at)
        self.failed_at = 0.0
        self.clock = listing.clock
        self.clock_at = now

    def clock_at_least(self, now: float) -> float:
        """Return the least that the worker's clock may show."""
        return self.clock + max(now - self.clock_at, 0.0) * SLOWEST_CLOCK

    def lease_deadline(self, now: float, longest: float) -> float:
        """Return the deadline of a lease given now, by its clock.

        :param longest: longest lease in seconds.
        """
        return self.clock_at_least(now) + longest * LEASE_PART

    def lapsed(self, now: float) -> bool:
        """Return whether every lease given to it has surely lapsed."""
        return (
            self.clock_at_least(now)
            > self.latest_deadline + LAPSE_MARGIN_SECONDS
        )

    def forgotten(self, run: runs.Run, now: float, longest: float) -> bool:
        """Return whether a run is over although nobody could look.

        The order can't arrive any more, and no lease was renewed since.

        :param longest: longest lease in seconds.
        """
        last = max(run.sent_at, self.heard_at)
        bound = LATE_ORDER_SECONDS + longest / SLOWEST_CLOCK
        return now - last > bound

    def new_life(self, life_start: int) -> None:
        """Forget what held for an earlier life."""
        self.life_start = life_start
        self.fenced = False
        self.ended = False
        self.acknowledged = 0
        self.last_end = 0
        self.latest_deadline = 0.0
        self.clock = 0.0
        self.clock_at = 0.0
        self.failures_in_a_row = 0
        self.set_aside_until = 0.0


def racks(workers: list[WorkerState]) -> dict[str, list[WorkerState]]:
    """Return the workers by rack."""
    ordered = sorted(workers, key=lambda worker: worker.entry.rack)
    return {
        rack: list(found)
        for rack, found in itertools.groupby(
            ordered, key=lambda worker: worker.entry.rack
        )
    }
