"""Queues of waiting tasks by pool, team and class, with aging."""

import collections
import itertools
import typing as t

from agaterudder import requests
from agaterudder import tasks

AGING_SECONDS = 60.0
LOOK_AHEAD_TASKS = 8
QUICK_RANK = requests.RANKS[requests.Priority.QUICK]


ClassQueue = collections.OrderedDict[str, tasks.Task]


class WaitingTasks:
    """Tasks of this VM's batches that have not started.

    Indexed by pool and team, so that reading the tasks of one team does
    not scan those of the others.
    """

    __slots__ = ("_pools", "_tasks")

    def __init__(self) -> None:
        self._pools: dict[
            str, dict[str, dict[requests.Priority, ClassQueue]]
        ] = {}
        self._tasks: dict[str, tasks.Task] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task: str) -> bool:
        return task in self._tasks

    def add(self, task: tasks.Task) -> None:
        """Append a task to the queue of its class."""
        teams = self._pools.setdefault(task.pool, {})
        queues = teams.setdefault(task.team, {})
        queue = queues.setdefault(task.priority, collections.OrderedDict())
        queue[task.task] = task
        self._tasks[task.task] = task

    def requeue(self, task: tasks.Task) -> None:
        """Put a task at the head of the queue of its class."""
        self.add(task)
        queue = self._pools[task.pool][task.team][task.priority]
        queue.move_to_end(task.task, last=False)

    def remove(self, name: str) -> None:
        """Remove a task, if it waits."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        teams = self._pools[task.pool]
        queues = teams[task.team]
        del queues[task.priority][name]
        if not queues[task.priority]:
            del queues[task.priority]
        if not queues:
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

    def has_tasks(
        self, pool: str, team: str, priority: requests.Priority
    ) -> bool:
        """Return whether a task of a class waits."""
        return priority in self._pools.get(pool, {}).get(team, {})

    def candidates(
        self, pool: str, team: str, now: float
    ) -> t.Iterator[tasks.Task]:
        """Yield the first tasks of each class of a team by aged priority.

        Several tasks of each class are considered, so that a team whose
        first task does not fit can still start a smaller one.

        :param now: wall-clock time in seconds since the epoch.
        """
        queues = self._pools.get(pool, {}).get(team, {})
        candidates = [
            task
            for queue in queues.values()
            for task in itertools.islice(queue.values(), LOOK_AHEAD_TASKS)
        ]
        return iter(sorted(candidates, key=lambda task: _aged_rank(task, now)))

    def pressure(self) -> dict[str, float]:
        """Return the cores that the waiting tasks declare, by pool."""
        found: dict[str, float] = {}
        for task in self._tasks.values():
            found[task.pool] = found.get(task.pool, 0.0) + task.size.cores
        return found

    def sample(self, team: str, limit: int) -> list[tasks.Task]:
        """Return up to ``limit`` waiting tasks of a team."""
        queues = (
            queue
            for teams in self._pools.values()
            for queue in teams.get(team, {}).values()
        )
        waiting = itertools.chain.from_iterable(
            queue.values() for queue in queues
        )
        return list(itertools.islice(waiting, limit))


def _aged_rank(task: tasks.Task, now: float) -> tuple[int, float]:
    promotion = int(max(0.0, now - task.submitted_at) / AGING_SECONDS)
    rank = requests.RANKS[task.priority]
    return (max(min(rank, QUICK_RANK), rank - promotion), task.submitted_at)
