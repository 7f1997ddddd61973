"""How much work the callers of a pool ask for, from the latest arrivals."""

import collections
import dataclasses

from agaterudder import resources

# Enough for jobs of unlike size, few enough to follow a rise.
MOST_ARRIVALS = 24
WINDOW_SECONDS = 3.0
# Jobs that come at the same moment say little about a rate.
LEAST_SPAN_SECONDS = 0.4
# No arrival for so many times the usual gap: the demand is over.
GAPS_TO_END = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that has come.

    :ivar work: size of each task times its seconds, summed over the job.
    :ivar width: most room that its tasks take at the same time.
    """

    at: float
    work: resources.Vector
    width: resources.Vector


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """What arrives a second: work, and room that is asked for."""

    work: resources.Vector = resources.ZERO
    width: resources.Vector = resources.ZERO


class Demand:
    """The latest arrivals."""

    __slots__ = ("_arrivals",)

    def __init__(self) -> None:
        self._arrivals: collections.deque[Arrival] = collections.deque(
            maxlen=MOST_ARRIVALS
        )

    def note(self, arrival: Arrival) -> None:
        """Note a job that has come."""
        self._arrivals.append(arrival)

    def rate(self, now: float) -> Rate:
        """Return what arrives a second.

        The oldest arrival only begins the span, so that one job alone is
        no rate.
        """
        recent = sorted(
            (
                arrival
                for arrival in self._arrivals
                if now - arrival.at <= WINDOW_SECONDS
            ),
            key=lambda arrival: arrival.at,
        )
        if len(recent) < 2:
            return Rate()
        span = max(now - recent[0].at, LEAST_SPAN_SECONDS)
        gap = span / (len(recent) - 1)
        if now - recent[-1].at > GAPS_TO_END * gap:
            return Rate()
        work = resources.total(arrival.work for arrival in recent[1:])
        width = resources.total(arrival.width for arrival in recent[1:])
        return Rate(work.scaled(1.0 / span), width.scaled(1.0 / span))
