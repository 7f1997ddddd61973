"""Builders of test data."""

import typing as t

from agaterudder import platform
from agaterudder import requests
from agaterudder import resources
from agaterudder import tasks

ASSURANCES = """\
team.tally = { share = 2, cores = 200, tasks = 60 }  # Ane, 2026-11
team.grants = { share = 1, cores = 200, tasks = 20 }  # Ane, 2026-11
pool.count = { out = 1 }  # Bo, 2026-11
pool.report = { out = 1 }  # Bo, 2026-11
queue.open-counts = { pool = "count", open = true }  # Bo, 2026-11
class.urgent = { start_seconds = 4.4 }  # Bo, 2026-11
"""
ONE_POOL = "".join(
    line
    for line in ASSURANCES.splitlines(keepends=True)
    if not line.startswith("pool.report")
)
CORES_16 = resources.Vector(16.0, 32_000.0, 0.0, 1_000.0)


def vm(name: str = "worker-1", **fields: t.Any) -> platform.Vm:
    """Return a live worker of pool count; ``fields`` override defaults."""
    values: dict[str, t.Any] = {
        "vm": name,
        "role": "worker",
        "data_centre": "north",
        "rack": "rack-1",
        "address": "127.0.0.1:9",
        "state": platform.VmState.LIVE,
        "pool": "count",
        "size": CORES_16,
    }
    values.update(fields)
    return platform.Vm(**values)


def task(name: str = "north.b1.0", **fields: t.Any) -> tasks.Task:
    """Return a waiting task of team tally; ``fields`` override defaults."""
    values: dict[str, t.Any] = {
        "task": name,
        "team": "tally",
        "queue": "count",
        "pool": "count",
        "priority": requests.Priority.NORMAL,
        "size": resources.Vector(2.0, 1_000.0, 0.0, 1.0),
        "run_seconds": 1.0,
        "repeatable": False,
        "kind": "any",
        "submitted_at": 0.0,
    }
    values.update(fields)
    return tasks.Task(**values)


def request(**fields: t.Any) -> requests.Request:
    """Return a repeatable request of team tally; ``fields`` override."""
    values: dict[str, t.Any] = {
        "identifier": "r1",
        "service": "tally",
        "team": "tally",
        "priority": requests.Priority.NORMAL,
        "repeatable": True,
        "method": "GET",
        "path": "/",
        "headers": (),
        "body": b"",
        "deadline": 10.0,
        "arrived_at": 0.0,
    }
    values.update(fields)
    return requests.Request(**values)
