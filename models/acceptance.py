"""Acceptance of a configuration that withdraws a key.

One VM accepts the change; of two others one is a member that may be cut
off or restarted, and one joins meanwhile.
"""

import typing as t

from models import specification

MEMBER = 0
JOINER = 1
UNREAD = -1


class Acceptance(t.NamedTuple):
    """State; version 0 has the key and version 1 withdraws it.

    :ivar head: version in the head row.
    :ivar accepting: idle, written (head), read (registry), accepted.
    :ivar waits_for: VMs that the accepting one has read as registered.
    :ivar version: version of each VM, UNREAD before it has learnt one.
    :ivar registered: whether the present process of each is registered.
    :ivar contact: whether each counts as in contact.
    :ivar grace: whether time longer than the grace passed since the head
        was written.
    """

    head: int
    accepting: str
    waits_for: frozenset[int]
    version: tuple[int, int]
    registered: tuple[bool, bool]
    contact: tuple[bool, bool]
    grace: bool
    restarts: int


GUARDS = {
    "register before reading the head": "controlloops.ControlLoops.read_head",
    "head before registry": "control.ConfigurationControl.change",
    "wait for every registered VM": "membership.Roster.decide",
    "refuse after the grace": "freshness.Freshness.decide",
    "no work before the head is read": "freshness.Freshness.decide",
    "versions only rise": "configuration.ActiveConfiguration.install",
}


def _set(pair: tuple[t.Any, t.Any], vm: int, value: t.Any) -> t.Any:
    return (value, pair[1]) if vm == 0 else (pair[0], value)


def steps(s: Acceptance, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    return [
        *_steps_accepting(s, guards),
        *_steps_vm(s, MEMBER, guards),
        *_steps_vm(s, JOINER, guards),
    ]


def _steps_accepting(
    s: Acceptance, guards: frozenset[str]
) -> specification.Steps:
    registry = frozenset(vm for vm in (MEMBER, JOINER) if s.registered[vm])
    read = s._replace(accepting="read", waits_for=registry)
    ordered = "head before registry" in guards
    found: specification.Steps = []
    if s.accepting == "idle" and ordered:
        found.append(("write head", s._replace(head=1, accepting="written")))
    if s.accepting == "idle" and not ordered:
        found.append(("read registry", read))
    if s.accepting == "written":
        found.append(("read registry", read))
    if s.accepting == "read" and s.head == 0:
        found.append(("write head", s._replace(head=1)))
    if s.head == 1 and not s.grace:
        found.append(("grace passes", _after_grace(s, guards)))
    if s.accepting == "read" and s.head == 1 and _may_accept(s, guards):
        found.append(("accept", s._replace(accepting="accepted")))
    return found


def _after_grace(s: Acceptance, guards: frozenset[str]) -> Acceptance:
    """Return the state when each VM without version 1 had no contact.

    Contact after the head was written would have brought version 1: it
    means the table service, or every other entry VM and so the accepting
    one too.
    """
    contact = s.contact
    if "refuse after the grace" in guards:
        contact = (
            s.contact[0] and s.version[0] == 1,
            s.contact[1] and s.version[1] == 1,
        )
    return s._replace(grace=True, contact=contact)


def _may_accept(s: Acceptance, guards: frozenset[str]) -> bool:
    if "wait for every registered VM" not in guards or s.grace:
        return True
    return all(s.version[vm] == 1 for vm in s.waits_for)


def _steps_vm(
    s: Acceptance, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = []
    may_read = (
        s.registered[vm] or "register before reading the head" not in guards
    )
    if may_read and s.version[vm] == UNREAD:
        found.append(("read head", _learnt(s, vm, s.head)))
    if s.registered[vm] and 0 <= s.version[vm] < s.head:
        if s.accepting == "idle" or vm in s.waits_for or s.grace:
            found.append(("get the version", _learnt(s, vm, s.head)))
    if not s.registered[vm]:
        registered = _set(s.registered, vm, True)
        found.append(("register", s._replace(registered=registered)))
    if s.version[vm] == 1 and "versions only rise" not in guards:
        found.append(("old offer", _learnt(s, vm, 0)))
    unread = s.version[vm] == UNREAD
    if unread and "no work before the head is read" not in guards:
        found.append(("old offer before reading", _learnt(s, vm, 0)))
    if s.restarts and vm == MEMBER:
        found.append(("restart", _restarted(s, vm)))
    return found


def _learnt(s: Acceptance, vm: int, version: int) -> Acceptance:
    return s._replace(
        version=_set(s.version, vm, version),
        contact=_set(s.contact, vm, True),
    )


def _restarted(s: Acceptance, vm: int) -> Acceptance:
    return s._replace(
        version=_set(s.version, vm, UNREAD),
        registered=_set(s.registered, vm, False),
        contact=_set(s.contact, vm, False),
        restarts=s.restarts - 1,
    )


def promise(s: Acceptance) -> bool:
    """After acceptance no VM takes work with the withdrawn key."""
    if s.accepting != "accepted":
        return True
    return not any(
        s.version[vm] == 0 and s.contact[vm] for vm in (MEMBER, JOINER)
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
    steps,
    promise,
    GUARDS,
)
