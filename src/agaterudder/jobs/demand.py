"""Arrival rate of work in a pool, from the latest arrivals."""

import bisect
import dataclasses

from agaterudder import resources

# Enough to average over jobs of different sizes, few enough to follow a
# rise.
MAX_ARRIVALS = 24
WINDOW_SECONDS = 3.0
# Shortest span for a rate, as jobs that arrive at once say little about it.
MIN_SPAN_SECONDS = 0.4
# The rate is 0 after this many mean gaps without an arrival.
MAX_GAPS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """An arrived job.

    :ivar work: size of each task times its seconds, summed over the job.
    :ivar peak_size: total size of its largest step, as the tasks of a step may
        run at the same time.
    """

    at: float
    work: resources.Vector
    peak_size: resources.Vector


@dataclasses.dataclass(frozen=True, slots=True)
class ArrivalRate:
    """Arrivals each second: work, total size of the tasks, and jobs."""

    work: resources.Vector = resources.ZERO
    peak_size: resources.Vector = resources.ZERO
    jobs: float = 0.0


class Demand:
    """The latest arrivals."""

    __slots__ = ("_arrivals",)

    def __init__(self) -> None:
        self._arrivals: list[Arrival] = []

    def add(self, arrival: Arrival) -> None:
        """Add an arrived job; they need not come in order."""
        bisect.insort(self._arrivals, arrival, key=lambda item: item.at)
        del self._arrivals[:-MAX_ARRIVALS]

    def rate(self, now: float) -> ArrivalRate:
        """Return the arrival rate.

        The oldest arrival only marks the start of the span and is not
        counted, so that a single job gives no rate.
        """
        recent = [
            arrival
            for arrival in self._arrivals
            if now - arrival.at <= WINDOW_SECONDS
        ]
        if len(recent) < 2:
            return ArrivalRate()
        span = max(now - recent[0].at, MIN_SPAN_SECONDS)
        gap = span / (len(recent) - 1)
        if now - recent[-1].at > MAX_GAPS * gap:
            return ArrivalRate()
        work = resources.total(arrival.work for arrival in recent[1:])
        peak_size = resources.total(
            arrival.peak_size for arrival in recent[1:]
        )
        return ArrivalRate(
            work.scaled(1.0 / span),
            peak_size.scaled(1.0 / span),
            (len(recent) - 1) / span,
        )
