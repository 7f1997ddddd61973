"""Decides which waiting task starts next, and on which worker."""

import dataclasses
import typing as t

from agaterudder import escrow
from agaterudder import fleet
from agaterudder import requests
from agaterudder import resources
from agaterudder import sharing
from agaterudder import sizes
from agaterudder import taskqueues
from agaterudder import tasks


@dataclasses.dataclass(frozen=True, slots=True)
class Launch:
    """Start a task on a worker; its amount is reserved in the grant."""

    task: tasks.Task
    worker: str
    amount: resources.Vector


@dataclasses.dataclass(frozen=True, slots=True)
class NeedGrant:
    """The grant of the team on this VM does not cover its next task."""

    team: str
    amount: resources.Vector


@dataclasses.dataclass(frozen=True, slots=True)
class NeedPreemption:
    """No worker has room for an urgent task; preempt lower-priority work."""

    task: tasks.Task
    amount: resources.Vector


@dataclasses.dataclass(frozen=True, slots=True)
class NoStep:
    """No task can start now."""


Step = Launch | NeedGrant | NeedPreemption | NoStep


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Snapshot of the inputs to a scheduling decision.

    :ivar weights: share of each team.
    :ivar usage: running resources of each team across the fleet.
    :ivar waiting_elsewhere: teams with waiting tasks at other entry VMs.
    :ivar capacity: capacity of the fleet.
    :ivar blocked: teams whose tasks may not start now, or that lack a grant.
    :ivar deferred_since: when the first task of a team was first deferred
        to teams at other entry VMs, by team.
    """

    vm: str
    weights: t.Mapping[str, float]
    usage: t.Mapping[str, resources.Vector]
    waiting_elsewhere: frozenset[str]
    capacity: resources.Vector
    blocked: frozenset[str]
    deferred_since: t.Mapping[str, float]


def next_step(
    pool: str,
    waiting_tasks: taskqueues.WaitingTasks,
    workers: fleet.Fleet,
    size_ratios: sizes.Sizes,
    local_grant: t.Callable[[str], escrow.LocalGrant],
    view: View,
    avoided: t.Callable[[str], t.Container[str]],
    now: float,
    wall: float,
) -> Step:
    """Decide the next step for one pool.

    :param now: monotonic time in seconds.
    :param wall: wall-clock time in seconds since the epoch.
    """
    teams = waiting_tasks.teams(pool) - view.blocked
    ordered = sharing.order(teams, view.usage, view.weights, view.capacity)
    usable = workers.usable(pool, now)
    need: Step = NoStep()
    for team in _urgent_first(ordered, pool, waiting_tasks, view):
        if _defers(team, view, now):
            continue
        for task in waiting_tasks.candidates(pool, team, wall):
            amount = size_ratios.corrected(team, task.kind, task.size)
            choice = fleet.choose(amount, usable, view.vm, avoided(task.task))
            match choice:
                case fleet.NoPlace():
                    if _is_urgent(task) and isinstance(need, NoStep):
                        need = NeedPreemption(task, amount)
                    continue
                case fleet.Place(worker=worker):
                    spent = local_grant(team).spend(task.task, amount)
                    if isinstance(spent, escrow.Spent):
                        return Launch(task, worker, amount)
                    return NeedGrant(team, amount)
    return need


def _is_urgent(task: tasks.Task) -> bool:
    return task.priority is requests.Priority.URGENT


def _urgent_first(
    ordered: list[str],
    pool: str,
    waiting_tasks: taskqueues.WaitingTasks,
    view: View,
) -> list[str]:
    """Move teams with urgent work and below their share to the front."""
    total_weight = sum(view.weights.values()) or 1.0

    def goes_first(team: str) -> bool:
        used = view.usage.get(team, resources.ZERO)
        weight = view.weights.get(team, 1.0) / total_weight
        below = sharing.weighted_share(used, view.capacity, weight) < 1.0
        return below and waiting_tasks.has_tasks(
            pool, team, requests.Priority.URGENT
        )

    return sorted(ordered, key=lambda team: not goes_first(team))


def _defers(team: str, view: View, now: float) -> bool:
    decision = sharing.decide(
        team,
        view.waiting_elsewhere,
        view.usage,
        view.weights,
        view.capacity,
        view.deferred_since.get(team, now),
        now,
    )
    return isinstance(decision, sharing.Deferred)


def victims(
    amount: resources.Vector,
    running: t.Iterable[tuple[tasks.Task, str, resources.Vector]],
    workers: fleet.Fleet,
    now: float,
) -> list[tuple[tasks.Task, str]]:
    """Return tasks of one worker to preempt for an urgent task.

    Only tasks of the lowest class are preempted; of all workers, the one
    with the fewest such tasks is chosen.

    :param running: task, worker and amount of each running task.
    """
    by_worker: dict[str, list[tuple[tasks.Task, resources.Vector]]] = {}
    for task, worker, size in running:
        if task.priority is requests.Priority.LONG:
            by_worker.setdefault(worker, []).append((task, size))
    best: list[tuple[tasks.Task, str]] = []
    for worker, lower in by_worker.items():
        view = workers.views.get(worker)
        if view is None or not workers.health.usable(worker, now):
            continue
        chosen = _choose_victims(amount, view.free, lower)
        if chosen and (not best or len(chosen) < len(best)):
            best = [(task, worker) for task in chosen]
    return best


def _choose_victims(
    amount: resources.Vector,
    free: resources.Vector,
    lower: list[tuple[tasks.Task, resources.Vector]],
) -> list[tasks.Task]:
    chosen: list[tasks.Task] = []
    for task, size in sorted(lower, key=lambda item: -item[1].cores):
        if amount.fits_in(free):
            return chosen
        free = free + size
        chosen.append(task)
    return chosen if amount.fits_in(free) else []
