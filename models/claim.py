"""Adoption, start and settlement of a task that must run at most once.

A batch is a group of tasks that one entry VM owns and that is stored in one
row. The first owner of the task's batch has failed, and one of its start
requests may still be in flight. Two entry VMs race to adopt the batch, that
is, to become its owner; each may be paused at any point. Two workers can run
the task. To settle the task is to record its outcome.
"""

import itertools
import typing as t

from models import specification

WORKERS = (0, 1)
NOT_PLACED = -1


class Claim(t.NamedTuple):
    """State of the model; pairs have an item for each adopter or worker.

    :ivar owner: adopter in the batch's row, -1 for the first owner.
    :ivar epoch: epoch in the row.
    :ivar read_epoch: epoch that each adopter read from the row, 0 before.
    :ivar own_epoch: epoch under which each adopter believes that it owns
        the batch, 0 for none.
    :ivar fenced: workers that each adopter has fenced and that had not run
        the task.
    :ivar placed: worker on which each adopter is starting the task, or
        NOT_PLACED.
    :ivar starts_in_flight: start requests in flight, as (worker, epoch).
    :ivar fence: lowest epoch that each worker accepts.
    :ivar ran: whether each worker has run the task.
    :ivar refusing: workers that refuse every further start of the task.
    :ivar ran_twice: whether a worker has run the task twice.
    :ivar settlements: number of recorded outcomes, at most 2.
    """

    owner: int
    epoch: int
    read_epoch: tuple[int, int]
    own_epoch: tuple[int, int]
    fenced: tuple[frozenset[int], frozenset[int]]
    placed: tuple[int, int]
    starts_in_flight: frozenset[tuple[int, int]]
    fence: tuple[int, int]
    ran: tuple[bool, bool]
    refusing: frozenset[int]
    ran_twice: bool
    settlements: int


GUARDS = {
    "worker refuses lower epochs": "workers.Worker.start",
    "fence every worker before a start": "adoption.Adopter._resume",
    "worker ignores a repeated start": "workers.Worker.start",
    "adoption is conditional on the row version": "batches.Batches.adopt",
    "settlement is conditional on the row version": "batches.Batches.write",
    "cancel before starting elsewhere": "taskleases.TaskLeases._revoke_unanswered_start",
}
# Highest epoch, which bounds the state space.
MAX_EPOCH = 3


def _with_item(pair: tuple[t.Any, t.Any], index: int, value: t.Any) -> t.Any:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def transitions(s: Claim, guards: frozenset[str]) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = []
    for vm in (0, 1):
        enabled.extend(_vm_transitions(s, vm, guards))
    for start in sorted(s.starts_in_flight):
        remaining = s._replace(starts_in_flight=s.starts_in_flight - {start})
        enabled.append(("start lost", remaining))
        enabled.append(("start delivered", _deliver(remaining, start, guards)))
        enabled.append(
            (
                "start delivered, duplicate in flight",
                _deliver(s, start, guards),
            )
        )
    return enabled


def _deliver(
    s: Claim, start: tuple[int, int], guards: frozenset[str]
) -> Claim:
    """Return the state after a start request reached its worker."""
    worker, epoch = start
    if epoch < s.fence[worker] and "worker refuses lower epochs" in guards:
        return s
    if worker in s.refusing:
        return s
    if s.ran[worker]:
        deduplicates = "worker ignores a repeated start" in guards
        return s if deduplicates else s._replace(ran_twice=True)
    return s._replace(
        ran=_with_item(s.ran, worker, True),
        fence=_with_item(s.fence, worker, max(s.fence[worker], epoch)),
    )


def _vm_transitions(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = []
    epoch = s.own_epoch[vm]
    if epoch == 0:
        return _adopt_transitions(s, vm, guards)
    for worker in WORKERS:
        enabled.extend(_fence_transitions(s, vm, worker))
    all_fenced = s.fenced[vm] == frozenset(WORKERS)
    if all_fenced or "fence every worker before a start" not in guards:
        enabled.extend(_start_transitions(s, vm, guards))
    if any(s.ran):
        enabled.extend(_settle_transitions(s, vm, guards))
    return enabled


def _adopt_transitions(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = []
    if s.epoch < MAX_EPOCH and s.settlements == 0:
        enabled.append(
            (
                "read the row",
                s._replace(read_epoch=_with_item(s.read_epoch, vm, s.epoch)),
            )
        )
    unchanged = s.read_epoch[vm] == s.epoch
    if s.read_epoch[vm] and (
        unchanged or "adoption is conditional on the row version" not in guards
    ):
        epoch = s.read_epoch[vm] + 1
        after = s._replace(
            owner=vm, epoch=epoch, own_epoch=_with_item(s.own_epoch, vm, epoch)
        )
        enabled.append(("adopt", after))
    return enabled


def _fence_transitions(
    s: Claim, vm: int, worker: int
) -> specification.Transitions:
    """Return the fencing of a worker by an adopter.

    A worker that has run the task is never counted as fenced, so that the
    adopter does not start the task again.
    """
    if worker in s.fenced[vm]:
        return []
    epoch = s.own_epoch[vm]
    after = s._replace(
        fence=_with_item(s.fence, worker, max(s.fence[worker], epoch))
    )
    if not s.ran[worker]:
        fenced_workers = s.fenced[vm] | {worker}
        after = after._replace(fenced=_with_item(s.fenced, vm, fenced_workers))
    return [("fence", after)]


def _start_transitions(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    enabled: specification.Transitions = []
    epoch = s.own_epoch[vm]
    current = s.placed[vm]
    may_start = (
        current == NOT_PLACED
        or "cancel before starting elsewhere" not in guards
    )
    if may_start and s.settlements == 0:
        for worker in set(WORKERS) - s.refusing:
            after = s._replace(
                placed=_with_item(s.placed, vm, worker),
                starts_in_flight=s.starts_in_flight | {(worker, epoch)},
            )
            enabled.append(("send start", after))
    if current != NOT_PLACED and not s.ran[current]:
        after = s._replace(
            placed=_with_item(s.placed, vm, NOT_PLACED),
            refusing=s.refusing | {current},
        )
        enabled.append(("cancel start", after))
    return enabled


def _settle_transitions(
    s: Claim, vm: int, guards: frozenset[str]
) -> specification.Transitions:
    owns = s.owner == vm and s.own_epoch[vm] == s.epoch
    if "settlement is conditional on the row version" in guards:
        if not owns or s.settlements:
            return []
    count = min(s.settlements + 1, 2)
    return [("settle", s._replace(settlements=count))]


def invariant(s: Claim) -> bool:
    """The task runs at most once and has at most one recorded outcome."""
    return not (all(s.ran) or s.ran_twice) and s.settlements <= 1


def _initial() -> Claim:
    starts_in_flight = frozenset(itertools.product((0,), (1,)))
    no_workers = frozenset[int]()
    return Claim(
        -1,
        1,
        (0, 0),
        (0, 0),
        (no_workers, no_workers),
        (NOT_PLACED, NOT_PLACED),
        starts_in_flight,
        (0, 0),
        (False, False),
        no_workers,
        False,
        0,
    )


SPECIFICATION = specification.Specification(
    "claim", _initial(), transitions, invariant, GUARDS
)
