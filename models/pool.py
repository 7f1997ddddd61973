"""Moves of one VM between three pools by two drivers.

The row says in which pool the VM is. The platform's own assignment
follows it, and a call of a paused driver may arrive late.
"""

import typing as t

from models import specification

SERVING = "serving"
JOINING = "joining"


class Pool(t.NamedTuple):
    """State.

    :ivar row: pool in the VM's row.
    :ivar state: serving, draining or joining.
    :ivar target: pool that the move leads to.
    :ivar version: version of the row.
    :ivar assigned: pool in which the platform has the VM.
    :ivar late: assignment under way from a paused driver, or -1.
    :ivar believes: for each driver the version of the row it read.
    :ivar works_for: pools whose work the VM has been given.
    """

    row: int
    state: str
    target: int
    version: int
    assigned: int
    late: int
    believes: tuple[int, int]
    works_for: frozenset[int]


GUARDS = {
    "row is compared": "vmsteps.Steps.advance",
    "drained before it joins": "vmsteps.Steps._perform",
    "work only where row and list agree": "maintenance.Maintenance.cordoned",
}
MAX_VERSION = 7


def _read(s: Pool, driver: int) -> Pool:
    pair = s.believes
    pair = (s.version, pair[1]) if driver == 0 else (pair[0], s.version)
    return s._replace(believes=pair)


def steps(s: Pool, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    found: specification.Steps = []
    if s.late >= 0:
        arrived = s._replace(assigned=s.late, late=-1)
        found.append(("late assignment", arrived))
        found.append(("late assignment lost", s._replace(late=-1)))
    agree = s.row == s.assigned
    if s.state == SERVING:
        if "work only where row and list agree" not in guards:
            work = s._replace(works_for=s.works_for | {s.assigned})
            found.append(("start work of the listed pool", work))
        elif agree:
            work = s._replace(works_for=s.works_for | {s.row})
            found.append(("start work", work))
        if not agree:
            found.append(("assign again", s._replace(assigned=s.row)))
    for pool in s.works_for:
        left = s._replace(works_for=s.works_for - {pool})
        found.append(("work ends", left))
    for driver in (0, 1):
        found.extend(_steps_driver(s, driver, guards))
    return found


def _steps_driver(
    s: Pool, driver: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = [("read the row", _read(s, driver))]
    current = s.believes[driver] == s.version
    if not current and "row is compared" in guards:
        return found
    if s.version >= MAX_VERSION:
        return found
    after = s._replace(version=s.version + 1)
    if s.state == SERVING:
        for target in (0, 1, 2):
            if target != s.row:
                moved = after._replace(state="draining", target=target)
                found.append(("drain", moved))
    drained = not s.works_for or "drained before it joins" not in guards
    if s.state == "draining" and drained or not current:
        found.append(("join", after._replace(state=JOINING, row=s.target)))
    if s.state == JOINING:
        assigned = s._replace(assigned=s.row)
        found.append(("assign", assigned))
        found.append(("assign, paused", s._replace(late=s.row)))
        if s.assigned == s.row:
            found.append(("serve", after._replace(state=SERVING)))
    return found


def promise(s: Pool) -> bool:
    """The VM works for one pool only, the one in its row."""
    if len(s.works_for) > 1:
        return False
    if s.state == SERVING:
        return s.works_for <= {s.row}
    return True


SPECIFICATION = specification.Specification(
    "pool",
    Pool(0, SERVING, 0, 0, 0, -1, (0, 0), frozenset()),
    steps,
    promise,
    GUARDS,
)
