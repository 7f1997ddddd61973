"""Escrow of a team's upper limit between two entry VMs.

One row records the grant of each VM, the part of the limit that the VM may
use without asking again. A VM spends its grant on running tasks, and may
crash, restart, or be declared gone by the platform. A write may take effect
late, after its sender timed out or crashed.
"""

import typing as t

from models import specification

# Number of tasks that the team may run at once.
LIMIT = 2


class InFlightWrite(t.NamedTuple):
    """A write in flight.

    :ivar grant: new grant of the VM.
    :ivar version: version that the row must have.
    """

    vm: int
    grant: int
    version: int


class Escrow(t.NamedTuple):
    """State of the model; pairs have an item for each VM.

    :ivar version: version of the row.
    :ivar granted: grants in the row.
    :ivar held: grant that each VM believes it holds.
    :ivar running: number of tasks started by the current process.
    :ivar orphaned: number of tasks started by a process that crashed, until
        their leases expire.
    :ivar reserved: part of the held grant that is reserved for orphaned
        tasks.
    :ivar status: up, down or gone.
    :ivar crashes_left: number of crashes that may still happen.
    """

    version: int
    granted: tuple[int, int]
    held: tuple[int, int]
    running: tuple[int, int]
    orphaned: tuple[int, int]
    reserved: tuple[int, int]
    status: tuple[str, str]
    in_flight: InFlightWrite | None
    crashes_left: int


GUARDS = {
    "reclaim waits until the leases expire": "escrow.reclaimed",
    "reclaim waits until the VM is gone": "escrow.reclaimed",
    "restart reserves the grant": "grants.Grants.restore",
    "restart writes the row": "grants.Grants.restore",
    "return deducts the grant before the write": "grants.Grants.return_grant",
    "write is conditional on the row version": "store.Store.transact",
    "sum stays within the limit": "escrow.enlarged",
}
# Highest version of the row, which bounds the state space.
MAX_VERSION = 5


def _with_item(pair: tuple[t.Any, ...], vm: int, value: t.Any) -> t.Any:
    return tuple(value if i == vm else old for i, old in enumerate(pair))


def _committed(s: Escrow, vm: int, grant: int) -> Escrow:
    """Return the state after a write of a VM took effect."""
    return s._replace(
        version=s.version + 1, granted=_with_item(s.granted, vm, grant)
    )


def transitions(
    s: Escrow, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = []
    for vm in (0, 1):
        if s.status[vm] == "up":
            enabled.extend(_up_transitions(s, vm, guards))
        if s.status[vm] == "down":
            enabled.extend(_down_transitions(s, vm, guards))
        if s.orphaned[vm]:
            enabled.append(
                (
                    "leases expire",
                    s._replace(orphaned=_with_item(s.orphaned, vm, 0)),
                )
            )
        enabled.extend(_reclaim_transitions(s, vm, guards))
    if s.in_flight is not None:
        enabled.extend(_in_flight_transitions(s, s.in_flight, guards))
    return enabled


def _up_transitions(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = []
    may_write = s.version < MAX_VERSION
    below_limit = (
        sum(s.granted) < LIMIT or "sum stays within the limit" not in guards
    )
    if may_write and below_limit and s.granted[vm] < LIMIT:
        after = _committed(s, vm, s.granted[vm] + 1)
        enabled.append(("enlarge, response lost", after))
        held = _with_item(s.held, vm, after.granted[vm])
        enabled.append(("enlarge", after._replace(held=held)))
    if s.held[vm] - s.reserved[vm] - s.running[vm] > 0:
        after = s._replace(
            running=_with_item(s.running, vm, s.running[vm] + 1)
        )
        enabled.append(("start", after))
        enabled.extend(_return_transitions(s, vm, guards))
    if s.running[vm]:
        after = s._replace(
            running=_with_item(s.running, vm, s.running[vm] - 1)
        )
        enabled.append(("finish", after))
    if s.reserved[vm] and not s.orphaned[vm]:
        after = s._replace(reserved=_with_item(s.reserved, vm, 0))
        enabled.append(("end reservation", after))
    if s.crashes_left:
        orphaned = _with_item(s.orphaned, vm, s.orphaned[vm] + s.running[vm])
        enabled.append(
            (
                "crash",
                s._replace(
                    status=_with_item(s.status, vm, "down"),
                    orphaned=orphaned,
                    running=_with_item(s.running, vm, 0),
                    held=_with_item(s.held, vm, 0),
                    reserved=_with_item(s.reserved, vm, 0),
                    crashes_left=s.crashes_left - 1,
                ),
            )
        )
    return enabled


def _return_transitions(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    if (
        s.in_flight is not None
        or s.version >= MAX_VERSION
        or not s.granted[vm]
    ):
        return []
    in_flight = InFlightWrite(vm, s.granted[vm] - 1, s.version)
    held = s.held
    if "return deducts the grant before the write" in guards:
        held = _with_item(s.held, vm, s.held[vm] - 1)
    return [("return, in flight", s._replace(held=held, in_flight=in_flight))]


def _in_flight_transitions(
    s: Escrow, in_flight: InFlightWrite, guards: frozenset[str]
) -> specification.Transitions:
    matches = in_flight.version == s.version
    if not matches and "write is conditional on the row version" in guards:
        return [("delayed write rejected", s._replace(in_flight=None))]
    after = _committed(s, in_flight.vm, in_flight.grant)._replace(
        in_flight=None
    )
    return [
        ("delayed write applied", after),
        ("delayed write lost", s._replace(in_flight=None)),
    ]


def _down_transitions(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = [
        ("declared gone", s._replace(status=_with_item(s.status, vm, "gone")))
    ]
    if s.version >= MAX_VERSION:
        return enabled
    after = s._replace(
        status=_with_item(s.status, vm, "up"),
        held=_with_item(s.held, vm, s.granted[vm]),
    )
    if "restart writes the row" in guards:
        after = after._replace(version=s.version + 1)
    if "restart reserves the grant" in guards:
        after = after._replace(
            reserved=_with_item(s.reserved, vm, s.granted[vm])
        )
    enabled.append(("restart", after))
    return enabled


def _reclaim_transitions(
    s: Escrow, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    if not s.granted[vm] or s.version >= MAX_VERSION:
        return []
    if (
        "reclaim waits until the VM is gone" in guards
        and s.status[vm] != "gone"
    ):
        return []
    leases_valid = (
        s.orphaned[vm] and "reclaim waits until the leases expire" in guards
    )
    if leases_valid or s.status[1 - vm] != "up":
        return []
    return [("reclaim", _committed(s, vm, 0))]


def invariant(s: Escrow) -> bool:
    """The team runs no more tasks than its upper limit allows."""
    return sum(s.running) + sum(s.orphaned) <= LIMIT


SPECIFICATION = specification.Specification(
    "escrow",
    Escrow(0, (0, 0), (0, 0), (0, 0), (0, 0), (0, 0), ("up", "up"), None, 2),
    transitions,
    invariant,
    GUARDS,
)
