"""Moves of one VM between three pools by two controllers.

A controller is an entry VM that carries out maintenance. The VM's row in the
table service records its pool. The controllers then assign the VM to that
pool at the platform, and the call of a paused controller may take effect late.
"""

import typing as t

from models import specification

SERVING = "serving"
JOINING = "joining"


class Pool(t.NamedTuple):
    """State of the model.

    :ivar row_pool: pool in the VM's row.
    :ivar state: serving, draining or joining.
    :ivar target: pool to which the VM is being moved.
    :ivar version: version of the row.
    :ivar assigned: pool in the platform's VM list.
    :ivar in_flight: pool of an assignment in flight from a paused
        controller, or -1.
    :ivar read_version: version of the row that each controller has read.
    :ivar working_for: pools whose work the VM is running.
    """

    row_pool: int
    state: str
    target: int
    version: int
    assigned: int
    in_flight: int
    read_version: tuple[int, int]
    working_for: frozenset[int]


GUARDS = {
    "write is conditional on the row version": "vmsteps.Steps.advance",
    "drain before joining": "vmsteps.Steps._perform",
    "work only if row and list agree": "maintenance.Maintenance.cordoned",
}
# Highest version of the row, which bounds the state space.
MAX_VERSION = 7


def _read_row(s: Pool, controller: int) -> Pool:
    pair = s.read_version
    pair = (s.version, pair[1]) if controller == 0 else (pair[0], s.version)
    return s._replace(read_version=pair)


def transitions(s: Pool, guards: frozenset[str]) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = []
    if s.in_flight >= 0:
        applied = s._replace(assigned=s.in_flight, in_flight=-1)
        enabled.append(("delayed assignment applied", applied))
        enabled.append(("delayed assignment lost", s._replace(in_flight=-1)))
    agree = s.row_pool == s.assigned
    if s.state == SERVING:
        if "work only if row and list agree" not in guards:
            after = s._replace(working_for=s.working_for | {s.assigned})
            enabled.append(("start work for the listed pool", after))
        elif agree:
            after = s._replace(working_for=s.working_for | {s.row_pool})
            enabled.append(("start work", after))
        if not agree:
            enabled.append(("assign again", s._replace(assigned=s.row_pool)))
    for pool in s.working_for:
        after = s._replace(working_for=s.working_for - {pool})
        enabled.append(("work ends", after))
    for controller in (0, 1):
        enabled.extend(_controller_transitions(s, controller, guards))
    return enabled


def _controller_transitions(
    s: Pool, controller: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = [
        ("read the row", _read_row(s, controller))
    ]
    current = s.read_version[controller] == s.version
    if not current and "write is conditional on the row version" in guards:
        return enabled
    if s.version >= MAX_VERSION:
        return enabled
    after = s._replace(version=s.version + 1)
    if s.state == SERVING:
        for target in (0, 1, 2):
            if target != s.row_pool:
                draining = after._replace(state="draining", target=target)
                enabled.append(("drain", draining))
    drained = not s.working_for or "drain before joining" not in guards
    # A stale controller joins from any state, as it has not seen the state
    # change; it gets here only without the condition on the version.
    if s.state == "draining" and drained or not current:
        enabled.append(
            ("join", after._replace(state=JOINING, row_pool=s.target))
        )
    if s.state == JOINING:
        assigned = s._replace(assigned=s.row_pool)
        enabled.append(("assign", assigned))
        enabled.append(("assign, delayed", s._replace(in_flight=s.row_pool)))
        if s.assigned == s.row_pool:
            enabled.append(("serve", after._replace(state=SERVING)))
    return enabled


def invariant(s: Pool) -> bool:
    """The VM runs work of one pool only: the row's pool while serving."""
    if len(s.working_for) > 1:
        return False
    if s.state == SERVING:
        return s.working_for <= {s.row_pool}
    return True


SPECIFICATION = specification.Specification(
    "pool",
    Pool(0, SERVING, 0, 0, 0, -1, (0, 0), frozenset()),
    transitions,
    invariant,
    GUARDS,
)
