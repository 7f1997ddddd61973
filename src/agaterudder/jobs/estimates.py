"""Learnt durations of tasks, by queue and image."""

import collections

from agaterudder.jobs import runs

WEIGHT = 0.2
MOST_KINDS = 2_000
LOWEST_FACTOR = 0.1
HIGHEST_FACTOR = 10.0
DEFAULT_SECONDS = 1.0


class Estimates:
    """How long tasks take, as a factor of what their jobs say."""

    __slots__ = ("_factors",)

    def __init__(self) -> None:
        self._factors: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def seconds(self, step: runs.StepRun) -> float:
        """Return the expected duration of a task near its data."""
        said = step.step.estimate_seconds or DEFAULT_SECONDS
        return said * self._factors.get(_kind(step), 1.0)

    def learn(self, step: runs.StepRun, seconds: float) -> None:
        """Note the duration of a task that ran through near its data."""
        said = step.step.estimate_seconds or DEFAULT_SECONDS
        kind = _kind(step)
        seen = min(max(seconds / said, LOWEST_FACTOR), HIGHEST_FACTOR)
        before = self._factors.get(kind, seen)
        self._factors[kind] = before + WEIGHT * (seen - before)
        self._factors.move_to_end(kind)
        while len(self._factors) > MOST_KINDS:
            self._factors.popitem(last=False)

    def chain_seconds(self, step: runs.StepRun) -> float:
        """Return the longest chain of work from a step to its job's end."""
        job = step.job
        steps = job.job.request.steps
        longest: dict[int, float] = {}
        for number in range(len(steps) - 1, step.number - 1, -1):
            followers = (
                longest.get(later, 0.0)
                for later in range(number + 1, len(steps))
                if number in steps[later].after
            )
            own = job.steps.get(f"{step.occurrence}.{number}")
            seconds = self.seconds(own) if own is not None else 0.0
            longest[number] = seconds + max(followers, default=0.0)
        return longest[step.number]


def _kind(step: runs.StepRun) -> tuple[str, str]:
    return (step.job.job.queue, step.step.image)
