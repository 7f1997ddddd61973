"""Claim, start and settlement of one task that may not be repeated.

The first owner is gone, with a start perhaps still under way. Two entry
VMs race to adopt the batch; each may be paused at any point. Two workers
can run the task.
"""

import itertools
import typing as t

from models import specification

WORKERS = (0, 1)
NOT_PLACED = -1


class Claim(t.NamedTuple):
    """State; pairs have one entry for each adopter or each worker.

    :ivar owner: adopter in the batch's row, -1 for the first owner.
    :ivar epoch: epoch in the row.
    :ivar read: epoch that each adopter read from the row.
    :ivar believes: epoch that each adopter believes it owns, 0 for none.
    :ivar fenced: workers that each adopter fenced and found empty.
    :ivar placed: worker on which each adopter is starting the task.
    :ivar starts: starts under way, as (worker, epoch).
    :ivar fence: lowest epoch that each worker accepts.
    :ivar runs: whether each worker executed the task.
    :ivar never: workers that will not start the task any more.
    :ivar twice: whether a worker executed the task twice.
    :ivar settlements: outcomes recorded.
    """

    owner: int
    epoch: int
    read: tuple[int, int]
    believes: tuple[int, int]
    fenced: tuple[frozenset[int], frozenset[int]]
    placed: tuple[int, int]
    starts: frozenset[tuple[int, int]]
    fence: tuple[int, int]
    runs: tuple[bool, bool]
    never: frozenset[int]
    twice: bool
    settlements: int


GUARDS = {
    "worker refuses lower epochs": "workers.Worker.start",
    "fence every worker before a start": "adoption.Adopter._resume",
    "worker knows the task": "workers.Worker.start",
    "row is compared at adoption": "batches.Batches.adopt",
    "row is compared at settlement": "batches.Batches.write",
    "ask before starting elsewhere": "execution.Execution._revoke_unanswered_start",
}
MAX_EPOCH = 3


def _set(pair: tuple[t.Any, t.Any], place: int, value: t.Any) -> t.Any:
    return (value, pair[1]) if place == 0 else (pair[0], value)


def steps(s: Claim, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    found: specification.Steps = []
    for vm in (0, 1):
        found.extend(_steps_vm(s, vm, guards))
    for start in sorted(s.starts):
        left = s._replace(starts=s.starts - {start})
        found.append(("start lost", left))
        found.append(("start arrives", _arrive(left, start, guards)))
        found.append(("start arrives twice", _arrive(s, start, guards)))
    return found


def _arrive(s: Claim, start: tuple[int, int], guards: frozenset[str]) -> Claim:
    """Return the state after a worker got a start."""
    worker, epoch = start
    if epoch < s.fence[worker] and "worker refuses lower epochs" in guards:
        return s
    if worker in s.never:
        return s
    if s.runs[worker]:
        known = "worker knows the task" in guards
        return s if known else s._replace(twice=True)
    return s._replace(
        runs=_set(s.runs, worker, True),
        fence=_set(s.fence, worker, max(s.fence[worker], epoch)),
    )


def _steps_vm(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = []
    epoch = s.believes[vm]
    if epoch == 0:
        return _steps_adopt(s, vm, guards)
    for worker in WORKERS:
        found.extend(_steps_fence(s, vm, worker))
    all_fenced = s.fenced[vm] == frozenset(WORKERS)
    if all_fenced or "fence every worker before a start" not in guards:
        found.extend(_steps_start(s, vm, guards))
    if any(s.runs):
        found.extend(_steps_settle(s, vm, guards))
    return found


def _steps_adopt(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = []
    if s.epoch < MAX_EPOCH and s.settlements == 0:
        found.append(
            ("read the row", s._replace(read=_set(s.read, vm, s.epoch)))
        )
    compared = s.read[vm] == s.epoch
    if s.read[vm] and (
        compared or "row is compared at adoption" not in guards
    ):
        epoch = s.read[vm] + 1
        after = s._replace(
            owner=vm, epoch=epoch, believes=_set(s.believes, vm, epoch)
        )
        found.append(("adopt", after))
    return found


def _steps_fence(s: Claim, vm: int, worker: int) -> specification.Steps:
    """Fence a worker; one that ran the task ends the wish to start it."""
    if worker in s.fenced[vm]:
        return []
    epoch = s.believes[vm]
    after = s._replace(
        fence=_set(s.fence, worker, max(s.fence[worker], epoch))
    )
    if not s.runs[worker]:
        names = s.fenced[vm] | {worker}
        after = after._replace(fenced=_set(s.fenced, vm, names))
    return [("fence", after)]


def _steps_start(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Steps:
    found: specification.Steps = []
    epoch = s.believes[vm]
    here = s.placed[vm]
    free = here == NOT_PLACED or "ask before starting elsewhere" not in guards
    if free and s.settlements == 0:
        for worker in set(WORKERS) - s.never:
            after = s._replace(
                placed=_set(s.placed, vm, worker),
                starts=s.starts | {(worker, epoch)},
            )
            found.append(("send start", after))
    if here != NOT_PLACED and not s.runs[here]:
        after = s._replace(
            placed=_set(s.placed, vm, NOT_PLACED), never=s.never | {here}
        )
        found.append(("ask never to start", after))
    return found


def _steps_settle(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Steps:
    owns = s.owner == vm and s.believes[vm] == s.epoch
    if "row is compared at settlement" in guards:
        if not owns or s.settlements:
            return []
    count = min(s.settlements + 1, 2)
    return [("settle", s._replace(settlements=count))]


def promise(s: Claim) -> bool:
    """The task runs at most once, and one outcome is recorded."""
    return not (all(s.runs) or s.twice) and s.settlements <= 1


def _initial() -> Claim:
    starts = frozenset(itertools.product((0,), (1,)))
    nowhere = frozenset[int]()
    return Claim(
        -1,
        1,
        (0, 0),
        (0, 0),
        (nowhere, nowhere),
        (NOT_PLACED, NOT_PLACED),
        starts,
        (0, 0),
        (False, False),
        nowhere,
        False,
        0,
    )


SPECIFICATION = specification.Specification(
    "claim", _initial(), steps, promise, GUARDS
)
