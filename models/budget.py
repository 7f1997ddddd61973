"""An availability budget with two racing controllers and a rack failure.

The budget limits how many VMs of a pool may be out of service. Of four VMs in
two racks at most three may be out of service, also after the loss of a rack,
so that maintenance can take out two. Two controllers (entry VMs that carry out
maintenance) take VMs out of service. A rack may fail after a controller has
checked the budget and before it takes the VM out, and the platform's list
shows the failure late.
"""

import typing as t

from models import specification

RACKS = (0, 0, 1, 1)
MAX_OUT = 3
VMS = (0, 1, 2, 3)


class Budget(t.NamedTuple):
    """State of the model.

    :ivar taken: VMs taken out of service, as recorded in the budget's row.
    :ivar version: version of the row.
    :ivar failed: VMs that have failed.
    :ivar listed: failed VMs that the platform's VM list shows as down.
    :ivar plans: for each controller the VM that it is about to take out and
        the version of the row that it checked, or None.
    """

    taken: frozenset[int]
    version: int
    failed: frozenset[int]
    listed: frozenset[int]
    plans: tuple[tuple[int, int] | None, tuple[int, int] | None]


GUARDS = {
    "write is conditional on the budget row": "vmsteps.Steps._take_out",
    "allow for the loss of one more rack": "budgets._violation",
    "count VMs that the list shows as down": "budgets.view",
}
# Highest version of the row, which bounds the state space.
MAX_VERSION = 6


def transitions(
    s: Budget, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = []
    for controller in (0, 1):
        enabled.extend(_controller_transitions(s, controller, guards))
    for vm in s.taken:
        if s.version < MAX_VERSION:
            after = s._replace(taken=s.taken - {vm}, version=s.version + 1)
            enabled.append(("return to service", after))
    if not s.failed:
        for rack in (0, 1):
            failed = frozenset(vm for vm in VMS if RACKS[vm] == rack)
            enabled.append(("rack fails", s._replace(failed=failed)))
    if s.failed != s.listed:
        enabled.append(("list is updated", s._replace(listed=s.failed)))
    return enabled


def _allowed(s: Budget, vm: int, guards: frozenset[str]) -> bool:
    out = s.taken | {vm}
    if "count VMs that the list shows as down" in guards:
        out = out | s.listed
    rack_loss = 0
    if "allow for the loss of one more rack" in guards and not s.listed:
        rack_loss = max(
            sum(1 for x in VMS if RACKS[x] == rack and x not in out)
            for rack in (0, 1)
        )
    return len(out) + rack_loss <= MAX_OUT


def _controller_transitions(
    s: Budget, controller: int, guards: frozenset[str]
) -> specification.Transitions:
    plan = s.plans[controller]
    if plan is None:
        return [
            ("check", _with_plan(s, controller, (vm, s.version)))
            for vm in VMS
            if vm not in s.taken and _allowed(s, vm, guards)
        ]
    vm, version = plan
    abandoned = _with_plan(s, controller, None)
    enabled: specification.Transitions = [("abandon plan", abandoned)]
    conditional = "write is conditional on the budget row" in guards
    if s.version < MAX_VERSION and (version == s.version or not conditional):
        after = abandoned._replace(taken=s.taken | {vm}, version=s.version + 1)
        enabled.append(("take out", after))
    return enabled


def _with_plan(
    s: Budget, controller: int, plan: tuple[int, int] | None
) -> Budget:
    pair = (plan, s.plans[1]) if controller == 0 else (s.plans[0], plan)
    return s._replace(plans=pair)


def invariant(s: Budget) -> bool:
    """The budget holds, also after the loss of a rack."""
    return len(s.taken | s.failed) <= MAX_OUT


SPECIFICATION = specification.Specification(
    "budget",
    Budget(frozenset(), 0, frozenset(), frozenset(), (None, None)),
    transitions,
    invariant,
    GUARDS,
)
