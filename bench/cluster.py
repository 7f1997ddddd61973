"""Simulated workers of both users, for the policy experiment.

A user is an organisation that runs the product on a fleet of its own.
"""

import dataclasses
import heapq
import itertools
import random

from agaterudder import fleet
from agaterudder import platform
from agaterudder import requests
from agaterudder import resources
from agaterudder import tasks

CORES = 16.0


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Size of one user's fleet.

    :ivar teams: name and fair share of each team.
    """

    name: str
    workers: int
    data_centres: int
    teams: tuple[tuple[str, float], ...]


USERS = (
    User(
        "Malanad",
        30,
        3,
        (("a", 4), ("b", 3), ("c", 1), ("d", 1), ("e", 1), ("f", 1)),
    ),
    User(
        "Kalliope",
        40,
        4,
        (("a", 5), ("b", 2), ("c", 2), ("d", 1), ("e", 1), ("f", 1)),
    ),
)


def list_vms(user: User, pool: str = "count") -> list[platform.Vm]:
    """Return the workers of a user, in racks of four and in one pool."""
    size = resources.Vector(CORES, 32_000.0, 0.0, 1_000.0)
    return [
        platform.Vm(
            f"w{n:02d}",
            "worker",
            f"dc{n % user.data_centres}",
            f"rack{n % user.data_centres}-{n // user.data_centres // 4}",
            "",
            platform.VmState.LIVE,
            pool,
            size=size,
        )
        for n in range(user.workers)
    ]


class Cluster:
    """Simulated workers that run tasks, for the product and the baseline.

    :ivar end_times: heap of end time, task and worker.
    :ivar running: running tasks, each with its worker and reserved amount.
    :ivar usage: reserved amount of each team.
    :ivar waiting: number of waiting tasks of each team.
    """

    def __init__(self, user: User, generator: random.Random) -> None:
        self.user = user
        self.generator = generator
        self.fleet = fleet.Fleet()
        self.vms = {vm.vm: vm for vm in list_vms(user)}
        self.fleet.update_workers(self.vms.values())
        self.end_times: list[tuple[float, str, str]] = []
        self.running: dict[str, tuple[tasks.Task, str, resources.Vector]] = {}
        self.usage = dict.fromkeys(
            (name for name, _ in user.teams), resources.ZERO
        )
        self.work = 0.0
        self.task_numbers = itertools.count()
        self.waiting = dict.fromkeys((name for name, _ in user.teams), 0)

    def create_task(self, team: str, now: float) -> tasks.Task:
        """Create a task that declares 0.5, 1 or 2 times the cores it uses."""
        used = self.generator.choice((1.0, 2.0, 4.0))
        declared = used * self.generator.choice((0.5, 1.0, 2.0))
        seconds = self.generator.expovariate(1 / 20.0)
        return tasks.Task(
            f"t{next(self.task_numbers)}",
            team,
            "count",
            "count",
            requests.Priority.NORMAL,
            resources.Vector(declared, declared * 100, 0.0, 1.0),
            max(1.0, seconds),
            True,
            f"k{used:g}",
            now,
        )

    def start(
        self,
        task: tasks.Task,
        worker: str,
        amount: resources.Vector,
        now: float,
    ) -> None:
        """Run a task on a worker until its run time is over."""
        self.running[task.task] = (task, worker, amount)
        self.usage[task.team] = self.usage[task.team] + amount
        self.waiting[task.team] -= 1
        heapq.heappush(
            self.end_times, (now + task.run_seconds, task.task, worker)
        )

    def stop_ended(self, now: float) -> list[str]:
        """Stop the tasks whose run time is over; return their names."""
        ended = []
        while self.end_times and self.end_times[0][0] <= now:
            _, name, _ = heapq.heappop(self.end_times)
            if self.stop(name) is not None:
                ended.append(name)
        return ended

    def stop(self, name: str) -> tasks.Task | None:
        """Stop a task; return it, or None when it was not running."""
        entry = self.running.pop(name, None)
        if entry is None:
            return None
        task, worker, amount = entry
        self.usage[task.team] = self.usage[task.team] - amount
        view = self.fleet.views[worker]
        view.free = view.free + amount
        return task

    def lose_data_centre(self, data_centre: str) -> list[tasks.Task]:
        """Stop the tasks of a data centre that is lost; return them."""
        lost = [
            name
            for name, (_, worker, _) in self.running.items()
            if self.vms[worker].data_centre == data_centre
        ]
        stopped = [self.stop(name) for name in lost]
        return [task for task in stopped if task is not None]
