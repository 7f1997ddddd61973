"""Waiting tasks by pool, team and class, with aging."""

import collections
import itertools
import typing as t

from agaterudder import requests
from agaterudder import tasks

AGING_SECONDS = 60.0
LOOK_AHEAD = 8
QUICK_RANK = requests.RANKS[requests.Priority.QUICK]


Lane = collections.OrderedDict[str, tasks.Task]


class WaitingTasks:
    """Tasks of this VM's batches that have not started.

    Kept by pool and team, so that a look at one team costs nothing for
    the others.
    """

    __slots__ = ("_pools", "_where")

    def __init__(self) -> None:
        self._pools: dict[str, dict[str, dict[requests.Priority, Lane]]] = {}
        self._where: dict[str, tasks.Task] = {}

    def __len__(self) -> int:
        return len(self._where)

    def __contains__(self, task: str) -> bool:
        return task in self._where

    def add(self, task: tasks.Task) -> None:
        """Let a task wait behind those of its class."""
        teams = self._pools.setdefault(task.pool, {})
        lanes = teams.setdefault(task.team, {})
        lane = lanes.setdefault(task.priority, collections.OrderedDict())
        lane[task.task] = task
        self._where[task.task] = task

    def put_back(self, task: tasks.Task) -> None:
        """Let a task wait before those of its class."""
        self.add(task)
        lane = self._pools[task.pool][task.team][task.priority]
        lane.move_to_end(task.task, last=False)

    def remove(self, name: str) -> None:
        """Take a task out."""
        task = self._where.pop(name, None)
        if task is None:
            return
        teams = self._pools[task.pool]
        lanes = teams[task.team]
        del lanes[task.priority][name]
        if not lanes[task.priority]:
            del lanes[task.priority]
        if not lanes:
            del teams[task.team]
        if not teams:
            del self._pools[task.pool]

    def pools(self) -> set[str]:
        """Return the pools that tasks wait for."""
        return set(self._pools)

    def teams(self, pool: str | None = None) -> set[str]:
        """Return the teams with waiting tasks."""
        if pool is not None:
            return set(self._pools.get(pool, ()))
        return set(itertools.chain.from_iterable(self._pools.values()))

    def has(self, pool: str, team: str, priority: requests.Priority) -> bool:
        """Return whether a task of a class waits."""
        return priority in self._pools.get(pool, {}).get(team, {})

    def in_order(
        self, pool: str, team: str, now: float
    ) -> t.Iterator[tasks.Task]:
        """Yield the first tasks of each class of a team, first one first.

        Several of a class are looked at, so that a team whose first task
        finds no room is not passed over while smaller ones would fit.

        :param now: wall-clock time in seconds since the epoch.
        """
        lanes = self._pools.get(pool, {}).get(team, {})
        firsts = [
            task
            for lane in lanes.values()
            for task in itertools.islice(lane.values(), LOOK_AHEAD)
        ]
        return iter(sorted(firsts, key=lambda task: _rank(task, now)))

    def pressure(self) -> dict[str, float]:
        """Return the cores that waiting tasks want, by pool."""
        found: dict[str, float] = {}
        for task in self._where.values():
            found[task.pool] = found.get(task.pool, 0.0) + task.size.cores
        return found

    def sample(self, team: str, most: int) -> list[tasks.Task]:
        """Return some waiting tasks of a team."""
        lanes = (
            lane
            for teams in self._pools.values()
            for lane in teams.get(team, {}).values()
        )
        waiting = itertools.chain.from_iterable(
            lane.values() for lane in lanes
        )
        return list(itertools.islice(waiting, most))


def _rank(task: tasks.Task, now: float) -> tuple[int, float]:
    gained = int(max(0.0, now - task.submitted_at) / AGING_SECONDS)
    rank = requests.RANKS[task.priority]
    return (max(min(rank, QUICK_RANK), rank - gained), task.submitted_at)
