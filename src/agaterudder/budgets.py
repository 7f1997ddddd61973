"""Availability budgets: how many VMs of a pool may be out of service.

A VM counts as out unless it is known to be serving: when it is down, leaving,
missing from the list, in a data centre that was taken out, or in a
maintenance step. A step starts with a transaction on the row of the budget,
so that two entry VMs can't both take the last place.
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

    :ivar out: VMs that a step holds out of service, with the reason.
    """

    out: dict[str, str] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class PoolView:
    """Known state of the VMs of a pool.

    :ivar vms: VMs that belong to the pool by their records.
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
    """The step stays within the budget.

    :ivar out: number of VMs out of service after the step.
    """

    out: int


def view(
    vms: t.Iterable[platform.Vm],
    budget: Budget,
    data_centres_out: t.Container[str],
) -> PoolView:
    """Return the known state of the VMs of a pool."""
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

    A VM that is out already does not count against the budget again.
    """
    if candidate.vm in pool.out:
        return Allowed(len(pool.out))
    after = [
        vm for vm in pool.vms if vm.vm in pool.out or vm.vm == candidate.vm
    ]
    violation = _violation(assurance, pool, after)
    if violation is not None:
        return codes.Refused(codes.Result.BUDGET, violation)
    return Allowed(len(after))


def exceeded(
    assurance: assurances.PoolAssurance, pool: PoolView
) -> str | None:
    """Return why a budget is exceeded now, None when it holds.

    Failures alone can exceed it. The VMs that maintenance steps hold out
    are then returned to service.
    """
    out = [vm for vm in pool.vms if vm.vm in pool.out]
    return _violation(
        msgspec.structs.replace(assurance, survive_rack=False), pool, out
    )


def _violation(
    assurance: assurances.PoolAssurance,
    pool: PoolView,
    out: t.Sequence[platform.Vm],
) -> str | None:
    """Return the bound that is violated when those VMs are out."""
    rack_loss = _largest_rack(pool, out) if assurance.survive_rack else 0
    in_service = len(pool.vms) - len(out) - rack_loss
    per_centre = collections.Counter(vm.data_centre for vm in out)
    per_rack = collections.Counter((vm.data_centre, vm.rack) for vm in out)
    max_per_centre = max(per_centre.values(), default=0)
    max_per_rack = max(per_rack.values(), default=0)
    bounds = (
        ("out", len(out) + rack_loss, assurance.out),
        ("out_per_data_centre", max_per_centre, assurance.out_per_data_centre),
        ("out_per_rack", max_per_rack, assurance.out_per_rack),
    )
    for name, value, bound in bounds:
        if value > bound:
            return f"{name}: {value} would be out, {bound} may be"
    if in_service < assurance.spare:
        return f"spare: {in_service} would serve, {assurance.spare} must"
    return None


def _largest_rack(pool: PoolView, out: t.Sequence[platform.Vm]) -> int:
    """Return the number of serving VMs in the rack with the most."""
    names = {vm.vm for vm in out}
    racks = collections.Counter(
        (vm.data_centre, vm.rack) for vm in pool.vms if vm.vm not in names
    )
    return max(racks.values(), default=0)
