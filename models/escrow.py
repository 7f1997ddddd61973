"""Escrow of a team's upper limit between two entry VMs.

Each VM holds a grant in one row, spends it on running tasks, and may
crash, restart, or be declared gone by the platform. A write may take
effect late, after its sender gave up or crashed.
"""

import typing as t

from models import specification

LIMIT = 2


class Late(t.NamedTuple):
    """A write under way: the VM's new grant, and the version it expects."""

    vm: int
    grant: int
    version: int


class Escrow(t.NamedTuple):
    """State; pairs have one entry for each VM.

    :ivar row: grants in the row.
    :ivar held: what each VM believes it holds.
    :ivar running: tasks started by the present process.
    :ivar former: tasks started by a process that crashed, until their
        leases expire.
    :ivar reserved: part of a grant kept for former tasks.
    :ivar status: up, down or gone.
    """

    version: int
    row: tuple[int, int]
    held: tuple[int, int]
    running: tuple[int, int]
    former: tuple[int, int]
    reserved: tuple[int, int]
    status: tuple[str, str]
    late: Late | None
    crashes: int


GUARDS = {
    "reclaim waits for the leases": "escrow.reclaimed",
    "reclaim waits for gone": "escrow.reclaimed",
    "restart reserves the grant": "grants.Grants.restore",
    "restart writes the row": "grants.Grants.restore",
    "hand back spends first": "grants.Grants.return_grant",
    "row is compared": "store.Store.transact",
    "sum stays within the limit": "escrow.enlarged",
}
MAX_VERSION = 5


def _set(pair: tuple[t.Any, ...], vm: int, value: t.Any) -> t.Any:
    return tuple(value if i == vm else old for i, old in enumerate(pair))


def _committed(s: Escrow, vm: int, grant: int) -> Escrow:
    """Return the state after a write of a VM took effect."""
    return s._replace(version=s.version + 1, row=_set(s.row, vm, grant))


def steps(s: Escrow, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    found: specification.Steps = []
    for vm in (0, 1):
        if s.status[vm] == "up":
            found.extend(_steps_up(s, vm, guards))
        if s.status[vm] == "down":
            found.extend(_steps_down(s, vm, guards))
        if s.former[vm]:
            found.append(("lapse", s._replace(former=_set(s.former, vm, 0))))
        found.extend(_steps_reclaim(s, vm, guards))
    if s.late is not None:
        found.extend(_steps_late(s, s.late, guards))
    return found


def _steps_up(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = []
    bounded = s.version < MAX_VERSION
    room = sum(s.row) < LIMIT or "sum stays within the limit" not in guards
    if bounded and room and s.row[vm] < LIMIT:
        after = _committed(s, vm, s.row[vm] + 1)
        found.append(("enlarge, answer lost", after))
        held = _set(s.held, vm, after.row[vm])
        found.append(("enlarge", after._replace(held=held)))
    if s.held[vm] - s.reserved[vm] - s.running[vm] > 0:
        after = s._replace(running=_set(s.running, vm, s.running[vm] + 1))
        found.append(("start", after))
        found.extend(_steps_return_grant(s, vm, guards))
    if s.running[vm]:
        after = s._replace(running=_set(s.running, vm, s.running[vm] - 1))
        found.append(("finish", after))
    if s.reserved[vm] and not s.former[vm]:
        after = s._replace(reserved=_set(s.reserved, vm, 0))
        found.append(("former leases lapsed", after))
    if s.crashes:
        former = _set(s.former, vm, s.former[vm] + s.running[vm])
        found.append(
            (
                "crash",
                s._replace(
                    status=_set(s.status, vm, "down"),
                    former=former,
                    running=_set(s.running, vm, 0),
                    held=_set(s.held, vm, 0),
                    reserved=_set(s.reserved, vm, 0),
                    crashes=s.crashes - 1,
                ),
            )
        )
    return found


def _steps_return_grant(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Steps:
    if s.late is not None or s.version >= MAX_VERSION or not s.row[vm]:
        return []
    late = Late(vm, s.row[vm] - 1, s.version)
    held = s.held
    if "hand back spends first" in guards:
        held = _set(s.held, vm, s.held[vm] - 1)
    return [("hand back, under way", s._replace(held=held, late=late))]


def _steps_late(
    s: Escrow, late: Late, guards: frozenset[str]
) -> specification.Steps:
    matches = late.version == s.version
    if not matches and "row is compared" in guards:
        return [("late write refused", s._replace(late=None))]
    after = _committed(s, late.vm, late.grant)._replace(late=None)
    return [("late write", after), ("late write lost", s._replace(late=None))]


def _steps_down(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = [
        ("gone", s._replace(status=_set(s.status, vm, "gone")))
    ]
    if s.version >= MAX_VERSION:
        return found
    after = s._replace(
        status=_set(s.status, vm, "up"), held=_set(s.held, vm, s.row[vm])
    )
    if "restart writes the row" in guards:
        after = after._replace(version=s.version + 1)
    if "restart reserves the grant" in guards:
        after = after._replace(reserved=_set(s.reserved, vm, s.row[vm]))
    found.append(("restart", after))
    return found


def _steps_reclaim(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Steps:
    if not s.row[vm] or s.version >= MAX_VERSION:
        return []
    if "reclaim waits for gone" in guards and s.status[vm] != "gone":
        return []
    tasks_left = s.former[vm] and "reclaim waits for the leases" in guards
    if tasks_left or s.status[1 - vm] != "up":
        return []
    return [("reclaim", _committed(s, vm, 0))]


def promise(s: Escrow) -> bool:
    """No team has more running than its upper limit."""
    return sum(s.running) + sum(s.former) <= LIMIT


SPECIFICATION = specification.Specification(
    "escrow",
    Escrow(0, (0, 0), (0, 0), (0, 0), (0, 0), (0, 0), ("up", "up"), None, 2),
    steps,
    promise,
    GUARDS,
)
