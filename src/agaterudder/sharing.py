"""Weighted max-min shares by dominant resource."""

import dataclasses
import typing as t

from agaterudder import resources

DEFER_MARGIN = 0.05
MAX_DEFER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Next:
    """The team whose task starts next."""

    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deferred:
    """A team waiting at another entry VM goes first, until a deadline."""

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
    """Return the waiting teams, ordered by weighted dominant share."""
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
    """Decide whether a team's task may start before tasks at other VMs.

    :param since: when the team's first task was first deferred. Deferral is
        bounded, because the tasks of the other teams may not fit.
    """
    if now - since >= MAX_DEFER_SECONDS:
        return Next(team)
    total_weight = sum(weights.values()) or 1.0

    def fraction(name: str) -> float:
        used = usage.get(name, resources.ZERO)
        weight = weights.get(name, 1.0) / total_weight
        return weighted_share(used, capacity, weight)

    own = fraction(team)
    behind = [
        other
        for other in waiting_elsewhere
        if other != team and fraction(other) + DEFER_MARGIN < own
    ]
    if not behind or own <= 1.0:
        return Next(team)
    return Deferred(min(behind, key=fraction), since + MAX_DEFER_SECONDS)


def fair_usage(
    demand: t.Mapping[str, float],
    weights: t.Mapping[str, float],
    limits: t.Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min allocation of one resource.

    :param demand: amount that each team could use.
    """
    capped = {
        team: min(amount, limits.get(team, float("inf")))
        for team, amount in demand.items()
    }
    given = dict.fromkeys(capped, 0.0)
    active = {team for team, amount in capped.items() if amount > 0}
    remaining = capacity
    while active and remaining > resources.TOLERANCE:
        total_weight = sum(weights.get(team, 1.0) for team in active)
        increment = min(
            remaining / total_weight,
            min(
                (capped[team] - given[team]) / weights.get(team, 1.0)
                for team in active
            ),
        )
        for team in active:
            given[team] += increment * weights.get(team, 1.0)
        remaining -= increment * total_weight
        active = {
            team
            for team in active
            if capped[team] - given[team] > resources.TOLERANCE
        }
    return given
