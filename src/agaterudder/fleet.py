"""Local view of the workers of this data centre.

Free capacity is what the worker itself reported last, less the tasks that
were started since. The worker decides whether it accepts a task; the view
only avoids starts that it would refuse.
"""

import dataclasses
import hashlib
import typing as t

from agaterudder import health
from agaterudder import platform
from agaterudder import resources


class WorkerView:
    """Local view of one worker."""

    __slots__ = ("vm", "free", "reported_at")

    def __init__(self, vm: platform.Vm) -> None:
        self.vm = vm
        self.free = vm.size
        self.reported_at = 0.0

    def update_free(self, free: resources.Vector, now: float) -> None:
        """Record the free capacity that the worker reported."""
        self.free = free
        self.reported_at = now

    def reserve(self, size: resources.Vector) -> None:
        """Subtract a task started since the last report."""
        self.free = self.free - size


class Fleet:
    """Workers of one data centre."""

    __slots__ = ("_views", "_health", "_cordoned")

    def __init__(self) -> None:
        self._views: dict[str, WorkerView] = {}
        self._health = health.Health()
        self._cordoned: frozenset[str] = frozenset()

    @property
    def health(self) -> health.Health:
        """Health of the workers, by the results of their tasks."""
        return self._health

    @property
    def views(self) -> dict[str, WorkerView]:
        """Views by VM."""
        return self._views

    def update_workers(self, vms: t.Iterable[platform.Vm]) -> None:
        """Update the workers from the platform's list."""
        views = {}
        for vm in vms:
            if vm.state is platform.VmState.GONE:
                continue
            view = self._views.get(vm.vm) or WorkerView(vm)
            view.vm = vm
            views[vm.vm] = view
        self._views = views
        self._health.retain(views)

    def cordon(self, vms: t.Iterable[str]) -> None:
        """Give no new work to these VMs; replaces the previous set.

        They are drained for maintenance or a move.
        """
        self._cordoned = frozenset(vms)

    def usable(self, pool: str, now: float) -> list[WorkerView]:
        """Return the workers of a pool that may get new work."""
        return [
            view
            for name, view in self._views.items()
            if view.vm.pool == pool
            and view.vm.state is platform.VmState.LIVE
            and name not in self._cordoned
            and self._health.usable(name, now)
        ]

    def members(self, pool: str) -> int:
        """Return the number of a pool's workers."""
        return sum(view.vm.pool == pool for view in self._views.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The worker that gets a task."""

    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoPlace:
    """No usable worker has enough free capacity."""


def _preference(vm: str, worker: str) -> int:
    """Return a sort key of workers that differs between entry VMs."""
    raw = hashlib.blake2b(f"{vm}/{worker}".encode(), digest_size=4)
    return int.from_bytes(raw.digest(), "big")


def choose(
    size: resources.Vector,
    usable: t.Sequence[WorkerView],
    vm: str,
    avoided: t.Container[str] = (),
) -> Place | NoPlace:
    """Choose the worker that the task fits best.

    The best fit is the worker that is left with the least free capacity.

    :param vm: this entry VM; among workers that fit equally well each entry
        VM prefers a different one, so that two seldom choose the same.
    :param avoided: workers on which the task has failed.
    """
    fitting = [
        view
        for view in usable
        if size.fits_in(view.free) and view.vm.vm not in avoided
    ]
    if not fitting:
        return NoPlace()
    best = min(
        fitting,
        key=lambda view: (
            round((view.free - size).dominant_share(view.vm.size), 2),
            _preference(vm, view.vm.vm),
        ),
    )
    return Place(best.vm.vm)


def fits_some(
    size: resources.Vector, sizes: t.Iterable[resources.Vector]
) -> bool:
    """Return whether some empty worker could hold a task."""
    return any(size.fits_in(capacity) for capacity in sizes)
