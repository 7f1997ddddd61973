"""Order in which the waiting steps of a pool are served.

Steps are ordered by the priority of their queue. Within a priority,
long-running tasks come first, in the order in which their turn came. Of the
others, jobs submitted above the rate limit of their team come last, before
them the jobs that can no longer complete within their objective. Of the rest,
started jobs precede those without a started task, so that an overloaded pool
completes jobs rather than starting more; teams above their fair share come
after the others, and among equals the step with the least laxity (time to
spare) comes first.
"""

import collections
import math
import typing as t

from agaterudder.jobs import estimates
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import pool as pools
from agaterudder import resources

# A job without a started task that has less laxity will miss its objective
# and counts as overdue.
MIN_START_LAXITY_SECONDS = 0.25


def sorted_steps(
    state: pools.Pool,
    usable: t.Sequence[fleet.WorkerState],
    now: float,
) -> list[jobruns.StepRun]:
    """Return the steps whose tasks may start, the first to be served first.

    :param usable: workers that accept tasks.
    """
    waiting = [
        step
        for step in state.ready.values()
        if step.ready_at and step.job.ending is None
    ]
    shares = _shares(state, usable)
    paths = _CriticalPaths(state.estimates)
    return sorted(
        waiting, key=lambda step: _rank(state, step, shares, paths, now)
    )


class _CriticalPaths:
    """Critical paths of the jobs of one round, each computed once."""

    __slots__ = ("_estimates", "_known")

    def __init__(self, found: estimates.Estimates) -> None:
        self._estimates = found
        self._known: dict[tuple[jobruns.JobRun, int], list[float]] = {}

    def seconds(self, step: jobruns.StepRun) -> tuple[float, float]:
        """Return the critical paths of a job, and from a step on."""
        key = (step.job, step.occurrence)
        found = self._known.get(key)
        if found is None:
            found = self._estimates.critical_paths(*key)
            self._known[key] = found
        return found[0], found[step.number]


def _rank(
    state: pools.Pool,
    step: jobruns.StepRun,
    shares: t.Mapping[str, float],
    paths: _CriticalPaths,
    now: float,
) -> tuple[int, bool, bool, bool, bool, float, float]:
    queue = state.queue_of(step)
    if step.step.long_running:
        return (
            queue.priority,
            False,
            False,
            False,
            False,
            -math.inf,
            step.ready_at,
        )
    job = step.job
    laxity = _laxity(step, queue, paths, now)
    overdue = laxity < (0.0 if job.started else MIN_START_LAXITY_SECONDS)
    over_share = shares.get(job.job.team, 0.0) > 1.0
    return (
        queue.priority,
        job.over_submission_rate,
        overdue,
        not job.started,
        over_share,
        laxity,
        step.ready_at,
    )


def _laxity(
    step: jobruns.StepRun,
    queue: operatorconfig.Queue,
    paths: _CriticalPaths,
    now: float,
) -> float:
    """Return the seconds to spare before the objective is missed.

    The objective is the time within which the occurrence is to be
    completed.
    """
    first = step.job.steps[f"{step.occurrence}.0"]
    total, remaining = paths.seconds(step)
    objective = queue.stretch * total + queue.target_seconds
    started_at = max(step.job.accepted_at, first.ready_at)
    return started_at + objective - now - remaining


def _shares(
    state: pools.Pool,
    usable: t.Sequence[fleet.WorkerState],
) -> dict[str, float]:
    """Return the dominant share of each team over its fair share.

    The fair shares divide the pool by weight among the teams that use
    capacity or have unfinished steps.
    """
    used: dict[str, resources.Vector] = collections.defaultdict(
        lambda: resources.ZERO
    )
    capacity = resources.ZERO
    for worker in usable:
        capacity = capacity + worker.registration.size
        for run in worker.runs.values():
            if run.task is not None:
                team = run.task.step.job.job.team
                used[team] = used[team] + run.size
    present = {step.job.job.team for step in state.ready.values()} | set(used)
    weights = {team: state.limits.weight(team) for team in present}
    total = sum(weights.values()) or 1.0
    return {
        team: amount.dominant_share(capacity) / (weights[team] / total)
        for team, amount in used.items()
    }
