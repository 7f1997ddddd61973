"""Corrects declared task sizes by the usage that tasks report."""

from agaterudder import resources

SMOOTHING_FACTOR = 0.2
MIN_RATIO = 0.1
MAX_RATIO = 8.0
MAX_KINDS = 5_000
HEADROOM_FACTOR = 1.1


class Sizes:
    """Ratio of used to declared resources by team and kind of work."""

    __slots__ = ("_ratios",)

    def __init__(self) -> None:
        self._ratios: dict[tuple[str, str], resources.Vector] = {}

    def observe(
        self,
        team: str,
        kind: str,
        declared: resources.Vector,
        used: resources.Vector,
    ) -> None:
        """Update the ratio with the highest usage that a task reported."""
        key = (team, kind)
        ratio = resources.Vector(
            *(
                _bounded(actual / expected) if expected > 0 else 1.0
                for actual, expected in zip(used.values(), declared.values())
            )
        )
        known = self._ratios.get(key)
        if known is None and len(self._ratios) >= MAX_KINDS:
            return
        self._ratios[key] = ratio if known is None else _smoothed(known, ratio)

    def corrected(
        self, team: str, kind: str, declared: resources.Vector
    ) -> resources.Vector:
        """Return the size to reserve for a task.

        Accelerators and the count of tasks stay as declared.
        """
        ratio = self._ratios.get((team, kind))
        if ratio is None:
            return declared
        return resources.Vector(
            declared.cores * ratio.cores * HEADROOM_FACTOR,
            declared.memory * ratio.memory * HEADROOM_FACTOR,
            declared.accelerators,
            declared.tasks,
        )


def _bounded(ratio: float) -> float:
    return max(MIN_RATIO, min(MAX_RATIO, ratio))


def _smoothed(
    known: resources.Vector, latest: resources.Vector
) -> resources.Vector:
    """Follow an increase immediately and a decrease slowly."""
    smoothed = known.scaled(1 - SMOOTHING_FACTOR) + latest.scaled(
        SMOOTHING_FACTOR
    )
    return smoothed.elementwise_max(latest)
