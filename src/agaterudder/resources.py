"""Resource vectors: cores, memory, accelerators and running tasks."""

import itertools
import typing as t

import msgspec


class Vector(msgspec.Struct, frozen=True, array_like=True):
    """Amount of each resource, of one task or as a total.

    :ivar cores: processor cores.
    :ivar memory: memory in MB.
    :ivar accelerators: accelerators.
    :ivar tasks: number of running tasks.
    """

    cores: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0
    tasks: float = 0.0

    def __add__(self, other: "Vector") -> "Vector":
        return Vector(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.tasks + other.tasks,
        )

    def __sub__(self, other: "Vector") -> "Vector":
        return Vector(
            self.cores - other.cores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
            self.tasks - other.tasks,
        )

    def scaled(self, factor: float) -> "Vector":
        """Return the vector multiplied by ``factor``."""
        return Vector(
            self.cores * factor,
            self.memory * factor,
            self.accelerators * factor,
            self.tasks * factor,
        )

    def values(self) -> tuple[float, float, float, float]:
        """Return the amounts in the order of the fields."""
        return (self.cores, self.memory, self.accelerators, self.tasks)

    def is_positive(self) -> bool:
        """Return whether some amount exceeds the rounding tolerance."""
        return any(value > TOLERANCE for value in self.values())

    def fits_in(self, other: "Vector") -> bool:
        """Return whether no amount exceeds that of ``other``."""
        return (
            self.cores <= other.cores + TOLERANCE
            and self.memory <= other.memory + TOLERANCE
            and self.accelerators <= other.accelerators + TOLERANCE
            and self.tasks <= other.tasks + TOLERANCE
        )

    def elementwise_min(self, other: "Vector") -> "Vector":
        """Return the smaller amount of each resource."""
        return Vector(*map(min, self.values(), other.values()))

    def elementwise_max(self, other: "Vector") -> "Vector":
        """Return the larger amount of each resource."""
        return Vector(*map(max, self.values(), other.values()))

    def fitting_fraction(self, room: "Vector") -> float:
        """Return the largest fraction of the vector that fits, at most 1."""
        fractions = (
            max(theirs, 0.0) / mine
            for mine, theirs in zip(self.values(), room.values())
            if mine > 0
        )
        return min(itertools.chain(fractions, (1.0,)))

    def dominant_share(self, capacity: "Vector") -> float:
        """Return the largest fraction of ``capacity`` that is used.

        Resources with no capacity do not count, and neither does the
        number of tasks.
        """
        pairs = zip(self.values()[:3], capacity.values()[:3])
        return max(
            (mine / available for mine, available in pairs if available > 0),
            default=0.0,
        )


TOLERANCE = 1e-6
UNBOUNDED = 1e12
ZERO = Vector()
UNLIMITED = Vector(UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED)


def total(vectors: t.Iterable[Vector]) -> Vector:
    """Return the sum of the vectors."""
    return sum(vectors, ZERO)
