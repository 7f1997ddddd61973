"""Acceptance of a configuration version that withdraws a key.

Of three entry VMs one accepts the change. Another, the member, is
registered and may lose contact or restart; the third, the joiner,
registers meanwhile. The head row names the current version, and the
registry lists the entry VMs that are registered.
"""

import typing as t

from models import specification

MEMBER = 0
JOINER = 1
UNREAD = -1


class Acceptance(t.NamedTuple):
    """State of the model; version 0 has the key and version 1 withdraws it.

    :ivar head: version in the head row.
    :ivar phase: progress of the accepting VM: idle, written (the head row),
        read (the registry) or accepted.
    :ivar awaited: VMs that were registered when the accepting VM read the
        registry.
    :ivar version: version that each VM has, UNREAD before its first one.
    :ivar registered: whether the current process of each VM is registered.
    :ivar in_contact: whether each VM counts as in contact, which it must be
        to accept work.
    :ivar grace_passed: whether the grace time has passed since the head row
        was written.
    :ivar restarts_left: number of restarts that may still happen.
    """

    head: int
    phase: str
    awaited: frozenset[int]
    version: tuple[int, int]
    registered: tuple[bool, bool]
    in_contact: tuple[bool, bool]
    grace_passed: bool
    restarts_left: int


GUARDS = {
    "register before reading the head": "controlloops.ControlLoops.read_head",
    "write the head before reading the registry": "control.ConfigurationControl.change",
    "wait for every registered VM": "membership.Roster.decide",
    "refuse work after the grace time": "freshness.Freshness.decide",
    "no work before the head is read": "freshness.Freshness.decide",
    "versions only increase": "configuration.ActiveConfiguration.install",
}


def _with_item(pair: tuple[t.Any, t.Any], vm: int, value: t.Any) -> t.Any:
    return (value, pair[1]) if vm == 0 else (pair[0], value)


def transitions(
    s: Acceptance, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    return [
        *_accepting_vm_transitions(s, guards),
        *_vm_transitions(s, MEMBER, guards),
        *_vm_transitions(s, JOINER, guards),
    ]


def _accepting_vm_transitions(
    s: Acceptance, guards: frozenset[str]
) -> specification.Transitions:
    registry = frozenset(vm for vm in (MEMBER, JOINER) if s.registered[vm])
    registry_read = s._replace(phase="read", awaited=registry)
    head_first = "write the head before reading the registry" in guards
    enabled: specification.Transitions = []
    if s.phase == "idle" and head_first:
        enabled.append(("write head", s._replace(head=1, phase="written")))
    if s.phase == "idle" and not head_first:
        enabled.append(("read registry", registry_read))
    if s.phase == "written":
        enabled.append(("read registry", registry_read))
    if s.phase == "read" and s.head == 0:
        enabled.append(("write head", s._replace(head=1)))
    if s.head == 1 and not s.grace_passed:
        enabled.append(("grace time passes", _after_grace(s, guards)))
    if s.phase == "read" and s.head == 1 and _may_accept(s, guards):
        enabled.append(("accept", s._replace(phase="accepted")))
    return enabled


def _after_grace(s: Acceptance, guards: frozenset[str]) -> Acceptance:
    """Return the state after the grace time.

    A VM that still lacks version 1 has had no contact since the head was
    written, so that the guard stops it. Contact means the table service or
    every other entry VM, which includes the accepting one; either would
    have delivered version 1.
    """
    in_contact = s.in_contact
    if "refuse work after the grace time" in guards:
        in_contact = (
            s.in_contact[0] and s.version[0] == 1,
            s.in_contact[1] and s.version[1] == 1,
        )
    return s._replace(grace_passed=True, in_contact=in_contact)


def _may_accept(s: Acceptance, guards: frozenset[str]) -> bool:
    if "wait for every registered VM" not in guards or s.grace_passed:
        return True
    return all(s.version[vm] == 1 for vm in s.awaited)


def _vm_transitions(
    s: Acceptance, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = []
    may_read = (
        s.registered[vm] or "register before reading the head" not in guards
    )
    if may_read and s.version[vm] == UNREAD:
        enabled.append(("read head", _with_version(s, vm, s.head)))
    if s.registered[vm] and 0 <= s.version[vm] < s.head:
        if s.phase == "idle" or vm in s.awaited or s.grace_passed:
            enabled.append(("receive version", _with_version(s, vm, s.head)))
    if not s.registered[vm]:
        registered = _with_item(s.registered, vm, True)
        enabled.append(("register", s._replace(registered=registered)))
    if s.version[vm] == 1 and "versions only increase" not in guards:
        enabled.append(("receive old version", _with_version(s, vm, 0)))
    unread = s.version[vm] == UNREAD
    if unread and "no work before the head is read" not in guards:
        enabled.append(
            (
                "receive old version before reading the head",
                _with_version(s, vm, 0),
            )
        )
    if s.restarts_left and vm == MEMBER:
        enabled.append(("restart", _restarted(s, vm)))
    return enabled


def _with_version(s: Acceptance, vm: int, version: int) -> Acceptance:
    return s._replace(
        version=_with_item(s.version, vm, version),
        in_contact=_with_item(s.in_contact, vm, True),
    )


def _restarted(s: Acceptance, vm: int) -> Acceptance:
    return s._replace(
        version=_with_item(s.version, vm, UNREAD),
        registered=_with_item(s.registered, vm, False),
        in_contact=_with_item(s.in_contact, vm, False),
        restarts_left=s.restarts_left - 1,
    )


def invariant(s: Acceptance) -> bool:
    """No VM accepts work with the withdrawn key after acceptance."""
    if s.phase != "accepted":
        return True
    return not any(
        s.version[vm] == 0 and s.in_contact[vm] for vm in (MEMBER, JOINER)
    )


SPECIFICATION = specification.Specification(
    "acceptance",
    Acceptance(
        0,
        "idle",
        frozenset(),
        (0, UNREAD),
        (True, False),
        (True, False),
        False,
        1,
    ),
    transitions,
    invariant,
    GUARDS,
)
