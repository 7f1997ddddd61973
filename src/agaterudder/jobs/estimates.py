"""Estimated durations of tasks, by queue and image."""

import collections

from agaterudder.jobs import jobruns

# Weight of the latest duration in the exponential moving average.
SMOOTHING_FACTOR = 0.2
MAX_KINDS = 2_000
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
DEFAULT_SECONDS = 1.0


class Estimates:
    """Ratio of the measured durations of tasks to the declared ones."""

    __slots__ = ("_factors",)

    def __init__(self) -> None:
        self._factors: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def seconds(self, step: jobruns.StepRun) -> float:
        """Return the expected duration of a task in the rack of its data."""
        declared = step.step.estimate_seconds or DEFAULT_SECONDS
        return declared * self._factors.get(_kind(step), 1.0)

    def update(self, step: jobruns.StepRun, seconds: float) -> None:
        """Add the duration of an uninterrupted run near the task's data."""
        declared = step.step.estimate_seconds or DEFAULT_SECONDS
        kind = _kind(step)
        ratio = min(max(seconds / declared, MIN_FACTOR), MAX_FACTOR)
        average = self._factors.get(kind, ratio)
        self._factors[kind] = average + SMOOTHING_FACTOR * (ratio - average)
        self._factors.move_to_end(kind)
        while len(self._factors) > MAX_KINDS:
            self._factors.popitem(last=False)

    def critical_paths(
        self, job: jobruns.JobRun, occurrence: int
    ) -> list[float]:
        """Return the critical path from each step to the end of its job.

        Takes time in proportion to the steps and their dependencies.

        :returns: seconds by the number of the step.
        """
        steps = job.job.request.steps
        longest = [0.0] * len(steps)
        for number in range(len(steps) - 1, -1, -1):
            own = job.steps.get(f"{occurrence}.{number}")
            # So far, it holds the longest path among the followers.
            longest[number] += self.seconds(own) if own is not None else 0.0
            for earlier in steps[number].after:
                longest[earlier] = max(longest[earlier], longest[number])
        return longest


def _kind(step: jobruns.StepRun) -> tuple[str, str]:
    return (step.job.job.queue, step.step.image)
