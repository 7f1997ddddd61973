"""Free capacity of workers during one scheduling round."""

import functools
import typing as t

from agaterudder.jobs import fleet
from agaterudder import resources


class FreeCapacity:
    """What the workers of a round have left, read once from each.

    Within a round it only shrinks, so a need that fitted nowhere is
    remembered, and greater ones are not tried again.

    :ivar changed: names of the workers whose capacity changed, in order.
    """

    __slots__ = ("changed", "_free", "_held", "_largest", "_unplaceable")

    def __init__(self, workers: t.Iterable[fleet.WorkerState]) -> None:
        self.changed: list[str] = []
        self._free = {worker.name: worker.free for worker in workers}
        self._held: dict[str, resources.Vector] = {}
        self._largest: resources.Vector | None = None
        self._unplaceable: list[resources.Vector] = []

    def of(self, worker: fleet.WorkerState) -> resources.Vector:
        """Return what a worker has left."""
        return self._free[worker.name]

    def reread(self, worker: fleet.WorkerState) -> None:
        """Read a worker again on which a run was added."""
        held = self._held.get(worker.name, resources.ZERO)
        self._free[worker.name] = worker.free - held
        self.changed.append(worker.name)

    def hold(self, worker: fleet.WorkerState, need: resources.Vector) -> None:
        """Keep room free on a worker for the rest of the round."""
        held = self._held.get(worker.name, resources.ZERO)
        self._held[worker.name] = held + need
        self.reread(worker)

    def fitting(
        self,
        need: resources.Vector,
        workers: t.Iterable[fleet.WorkerState],
    ) -> list[fleet.WorkerState]:
        """Return the workers that have room for a need."""
        free = self._free
        return [
            worker for worker in workers if need.fits_in(free[worker.name])
        ]

    def mark_unplaceable(self, need: resources.Vector) -> None:
        """Remember that a need fits on no worker of the round."""
        self._unplaceable.append(need)

    def fits_nowhere(self, need: resources.Vector) -> bool:
        """Return whether a need is known to fit on no worker.

        The largest amounts are those at the first call: as capacity only
        shrinks, what exceeds them still fits nowhere.
        """
        if self._largest is None:
            self._largest = functools.reduce(
                resources.Vector.elementwise_max,
                self._free.values(),
                resources.ZERO,
            )
        return not need.fits_in(self._largest) or any(
            smaller.fits_in(need) for smaller in self._unplaceable
        )
