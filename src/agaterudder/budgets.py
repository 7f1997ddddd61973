"""Availability budgets: how many VMs of a pool may be out of service.

Every VM counts as out that is not known to be serving: down, leaving,
missing from the list, in a data centre that was taken out, or taken by a
step of ours. A step is taken by one transaction over the budget's row, so
that two entry VMs can't both take the last place.
"""

import collections
import dataclasses
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import codes
from agaterudder import platform

PREFIX = "budgets/"


class Budget(msgspec.Struct, frozen=True):
    """Row of the steps under way in a pool.

    :ivar out: VMs that a step of ours holds out of service, with why.
    """

    out: dict[str, str] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class PoolView:
    """What is known of a pool's VMs.

    :ivar vms: VMs whose record says that they belong to the pool.
    :ivar serving: names of those known to be serving.
    """

    vms: tuple[platform.Vm, ...]
    serving: frozenset[str]

    @property
    def out(self) -> frozenset[str]:
        """Names of the VMs not known to be serving."""
        return frozenset(vm.vm for vm in self.vms) - self.serving


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The step leaves the budget whole.

    :ivar out: number of VMs out of service after the step.
    """

    out: int


def view(
    vms: t.Iterable[platform.Vm],
    budget: Budget,
    data_centres_out: t.Container[str],
) -> PoolView:
    """Return what is known of a pool."""
    members = tuple(vms)
    serving = frozenset(
        vm.vm
        for vm in members
        if vm.state is platform.VmState.LIVE
        and vm.vm not in budget.out
        and vm.data_centre not in data_centres_out
    )
    return PoolView(members, serving)


def decide(
    assurance: assurances.PoolAssurance,
    pool: PoolView,
    candidate: platform.Vm,
) -> Allowed | codes.Refused:
    """Decide whether one more VM may be taken out of service.

    A VM that is out already costs the budget nothing.
    """
    if candidate.vm in pool.out:
        return Allowed(len(pool.out))
    after = [
        vm for vm in pool.vms if vm.vm in pool.out or vm.vm == candidate.vm
    ]
    broken = _broken(assurance, pool, after)
    if broken is not None:
        return codes.Refused(codes.Result.BUDGET, broken)
    return Allowed(len(after))


def exceeded(
    assurance: assurances.PoolAssurance, pool: PoolView
) -> str | None:
    """Return why a budget is exceeded now, None when it holds.

    Failures alone may exceed it; the answer then is to bring back what
    our steps hold out.
    """
    out = [vm for vm in pool.vms if vm.vm in pool.out]
    return _broken(
        msgspec.structs.replace(assurance, survive_rack=False), pool, out
    )


def _broken(
    assurance: assurances.PoolAssurance,
    pool: PoolView,
    out: t.Sequence[platform.Vm],
) -> str | None:
    """Return which bound is broken when those VMs are out."""
    lost_next = _largest_rack(pool, out) if assurance.survive_rack else 0
    in_service = len(pool.vms) - len(out) - lost_next
    per_centre = collections.Counter(vm.data_centre for vm in out)
    per_rack = collections.Counter((vm.data_centre, vm.rack) for vm in out)
    most_centre = max(per_centre.values(), default=0)
    most_rack = max(per_rack.values(), default=0)
    bounds = (
        ("out", len(out) + lost_next, assurance.out),
        ("out_per_data_centre", most_centre, assurance.out_per_data_centre),
        ("out_per_rack", most_rack, assurance.out_per_rack),
    )
    for name, value, most in bounds:
        if value > most:
            return f"{name}: {value} would be out, {most} may be"
    if in_service < assurance.spare:
        return f"spare: {in_service} would serve, {assurance.spare} must"
    return None


def _largest_rack(pool: PoolView, out: t.Sequence[platform.Vm]) -> int:
    """Return the most VMs in service that one more rack could take."""
    names = {vm.vm for vm in out}
    racks = collections.Counter(
        (vm.data_centre, vm.rack) for vm in pool.vms if vm.vm not in names
    )
    return max(racks.values(), default=0)
