"""Weighted max-min shares by dominant resource."""

import dataclasses
import typing as t

from agaterudder import resources

DEFER_MARGIN = 0.05
DEFER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Next:
    """The team whose task starts next."""

    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deferred:
    """A team waiting at another entry VM goes first, for a short while."""

    team: str
    until: float


def weighted_share(
    usage: resources.Vector, capacity: resources.Vector, weight: float
) -> float:
    """Return the dominant share of a team divided by its weight."""
    return usage.dominant_share(capacity) / weight


def order(
    waiting: t.Iterable[str],
    usage: t.Mapping[str, resources.Vector],
    weights: t.Mapping[str, float],
    capacity: resources.Vector,
) -> list[str]:
    """Return the waiting teams, the one furthest below its share first."""
    return sorted(
        waiting,
        key=lambda team: (
            weighted_share(
                usage.get(team, resources.ZERO),
                capacity,
                weights.get(team, 1.0),
            ),
            team,
        ),
    )


def decide(
    team: str,
    waiting_elsewhere: t.Iterable[str],
    usage: t.Mapping[str, resources.Vector],
    weights: t.Mapping[str, float],
    capacity: resources.Vector,
    since: float,
    now: float,
) -> Next | Deferred:
    """Decide whether a team's task may start before waiting ones elsewhere.

    :param since: when the team's first task began to wait for this; the
        wait for others is bounded, because their tasks may not fit.
    """
    if now - since >= DEFER_SECONDS:
        return Next(team)
    whole = sum(weights.values()) or 1.0

    def fraction(name: str) -> float:
        used = usage.get(name, resources.ZERO)
        weight = weights.get(name, 1.0) / whole
        return weighted_share(used, capacity, weight)

    own = fraction(team)
    behind = [
        other
        for other in waiting_elsewhere
        if other != team and fraction(other) + DEFER_MARGIN < own
    ]
    if not behind or own <= 1.0:
        return Next(team)
    return Deferred(min(behind, key=fraction), since + DEFER_SECONDS)


def fair_usage(
    demand: t.Mapping[str, float],
    weights: t.Mapping[str, float],
    limits: t.Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min allocation of one resource.

    :param demand: what each team could use.
    """
    wanted = {
        team: min(amount, limits.get(team, float("inf")))
        for team, amount in demand.items()
    }
    given = dict.fromkeys(wanted, 0.0)
    active = {team for team, amount in wanted.items() if amount > 0}
    left = capacity
    while active and left > resources.TOLERANCE:
        whole = sum(weights.get(team, 1.0) for team in active)
        level = min(
            left / whole,
            min(
                (wanted[team] - given[team]) / weights.get(team, 1.0)
                for team in active
            ),
        )
        for team in active:
            given[team] += level * weights.get(team, 1.0)
        left -= level * whole
        active = {
            team
            for team in active
            if wanted[team] - given[team] > resources.TOLERANCE
        }
    return given
