"""Waiting tasks by pool, team and class, with aging."""

import collections
import typing as t

from agaterudder import requests
from agaterudder import tasks

AGING_SECONDS = 60.0
QUICK_RANK = requests.RANKS[requests.Priority.QUICK]


class WaitingTasks:
    """Tasks of this VM's batches that have not started."""

    __slots__ = ("_lanes", "_where")

    def __init__(self) -> None:
        self._lanes: dict[
            tuple[str, str, requests.Priority],
            collections.OrderedDict[str, tasks.Task],
        ] = {}
        self._where: dict[str, tuple[str, str, requests.Priority]] = {}

    def __len__(self) -> int:
        return len(self._where)

    def __contains__(self, task: str) -> bool:
        return task in self._where

    def add(self, task: tasks.Task) -> None:
        """Let a task wait behind those of its class."""
        lane = (task.pool, task.team, task.priority)
        self._lanes.setdefault(lane, collections.OrderedDict())
        self._lanes[lane][task.task] = task
        self._where[task.task] = lane

    def put_back(self, task: tasks.Task) -> None:
        """Let a task wait before those of its class."""
        self.add(task)
        lane = self._where[task.task]
        self._lanes[lane].move_to_end(task.task, last=False)

    def remove(self, task: str) -> None:
        """Take a task out."""
        lane = self._where.pop(task, None)
        if lane is None:
            return
        del self._lanes[lane][task]
        if not self._lanes[lane]:
            del self._lanes[lane]

    def pools(self) -> set[str]:
        """Return the pools that tasks wait for."""
        return {pool for pool, _, _ in self._lanes}

    def teams(self, pool: str | None = None) -> set[str]:
        """Return the teams with waiting tasks."""
        return {
            team
            for lane_pool, team, _ in self._lanes
            if pool is None or lane_pool == pool
        }

    def in_order(
        self, pool: str, team: str, now: float
    ) -> t.Iterator[tasks.Task]:
        """Yield the first task of each class of a team, first one first.

        :param now: wall-clock time in seconds since the epoch.
        """
        firsts = [
            next(iter(lane.values()))
            for (lane_pool, lane_team, _), lane in self._lanes.items()
            if lane_pool == pool and lane_team == team
        ]
        return iter(sorted(firsts, key=lambda task: _rank(task, now)))

    def pressure(self) -> dict[str, float]:
        """Return the cores that waiting tasks want, by pool."""
        found: dict[str, float] = {}
        for (pool, _, _), lane in self._lanes.items():
            cores = sum(task.size.cores for task in lane.values())
            found[pool] = found.get(pool, 0.0) + cores
        return found

    def sample(self, team: str, most: int) -> list[tasks.Task]:
        """Return some waiting tasks of a team."""
        found: list[tasks.Task] = []
        for (_, lane_team, _), lane in self._lanes.items():
            if lane_team == team:
                for task in lane.values():
                    if len(found) >= most:
                        return found
                    found.append(task)
        return found


def _rank(task: tasks.Task, now: float) -> tuple[int, float]:
    gained = int(max(0.0, now - task.submitted_at) / AGING_SECONDS)
    rank = requests.RANKS[task.priority]
    return (max(min(rank, QUICK_RANK), rank - gained), task.submitted_at)
