"""An availability budget with racing drivers and a failing rack.

Four VMs in two racks; the budget allows two out and asks to survive the
loss of a rack. Two drivers take VMs for maintenance; a rack may fail
between a driver's check and its step, and the list lags.
"""

import typing as t

from models import specification

RACKS = (0, 0, 1, 1)
MAX_OUT = 3
VMS = (0, 1, 2, 3)


class Budget(t.NamedTuple):
    """State.

    :ivar taken: VMs that steps hold out, as in the budget's row.
    :ivar version: version of the row.
    :ivar failed: VMs that have failed.
    :ivar listed: failed VMs that the list already shows.
    :ivar checked: for each driver the VM that it is about to take, and
        the version of the row that it checked, or None.
    """

    taken: frozenset[int]
    version: int
    failed: frozenset[int]
    listed: frozenset[int]
    checked: tuple[tuple[int, int] | None, tuple[int, int] | None]


GUARDS = {
    "one transaction over the budget's row": "vmsteps.Steps._take_out",
    "count the next rack": "budgets._violation",
    "count what the list shows": "budgets.view",
}
MAX_VERSION = 6


def steps(s: Budget, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    found: specification.Steps = []
    for driver in (0, 1):
        found.extend(_steps_driver(s, driver, guards))
    for vm in s.taken:
        if s.version < MAX_VERSION:
            after = s._replace(taken=s.taken - {vm}, version=s.version + 1)
            found.append(("give back", after))
    if not s.failed:
        for rack in (0, 1):
            lost = frozenset(vm for vm in VMS if RACKS[vm] == rack)
            found.append(("rack fails", s._replace(failed=lost)))
    if s.failed != s.listed:
        found.append(("list catches up", s._replace(listed=s.failed)))
    return found


def _allowed(s: Budget, vm: int, guards: frozenset[str]) -> bool:
    out = s.taken | {vm}
    if "count what the list shows" in guards:
        out = out | s.listed
    lost_next = 0
    if "count the next rack" in guards and not s.listed:
        lost_next = max(
            sum(1 for x in VMS if RACKS[x] == rack and x not in out)
            for rack in (0, 1)
        )
    return len(out) + lost_next <= MAX_OUT


def _steps_driver(
    s: Budget, driver: int, guards: frozenset[str]
) -> specification.Steps:
    plan = s.checked[driver]
    if plan is None:
        return [
            ("check", _checked(s, driver, (vm, s.version)))
            for vm in VMS
            if vm not in s.taken and _allowed(s, vm, guards)
        ]
    vm, version = plan
    given_up = _checked(s, driver, None)
    found: specification.Steps = [("give up", given_up)]
    guarded = "one transaction over the budget's row" in guards
    if s.version < MAX_VERSION and (version == s.version or not guarded):
        after = given_up._replace(taken=s.taken | {vm}, version=s.version + 1)
        found.append(("take", after))
    return found


def _checked(s: Budget, driver: int, plan: tuple[int, int] | None) -> Budget:
    pair = (plan, s.checked[1]) if driver == 0 else (s.checked[0], plan)
    return s._replace(checked=pair)


def promise(s: Budget) -> bool:
    """The budget holds, also while a rack is lost."""
    return len(s.taken | s.failed) <= MAX_OUT


SPECIFICATION = specification.Specification(
    "budget",
    Budget(frozenset(), 0, frozenset(), frozenset(), (None, None)),
    steps,
    promise,
    GUARDS,
)
