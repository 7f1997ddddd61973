"""Measures what a pool's holder spends: ``python -m bench.jobs``.

One turn of planning and one listing against the number of workers and of
waiting tasks; memory and stored bytes of a job. Nothing is sent.
"""

import time
import tracemalloc
import typing as t

from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import planning
from agaterudder.jobs import pool
from agaterudder.jobs import ports
from agaterudder.jobs import teamlimits
from agaterudder import resources

SIZES = ((6, 60), (60, 600), (387, 3_870))
TASKS_A_JOB = 10
NOW = 10.0
SIZE = resources.Vector(16.0, 32_000.0)


def _worker(number: int) -> fleet.WorkerState:
    registration = ports.WorkerRegistration(
        f"w{number}",
        "pool",
        "127.0.0.1:9",
        "north",
        ports.WORKER_READY,
        SIZE,
        ("a", f"r{number // 4}"),
        f"r{number // 4}",
        1,
    )
    found = fleet.WorkerState(registration, t.cast(ports.Worker, None))
    found.fenced = found.persisted = True
    found.record_poll(ports.Listing(1, 100.0, (), ()), NOW, NOW)
    return found


def _job(number: int) -> model.Job:
    step = model.Step(TASKS_A_JOB, resources.Vector(1.6, 800.0), 1.0)
    request = model.Request("text " * 20, (step,))
    return model.Job(f"{number:016x}", "queue", "team", 0.0, request)


def _pool(workers: int) -> pool.Pool:
    configuration = operatorconfig.Configuration(
        1,
        {
            "queue": operatorconfig.Queue(
                "queue", "h", "/", "pool", 0, 4, 1.6, 0.6
            )
        },
        {"pool": operatorconfig.Pool("pool")},
        {"team": operatorconfig.Team("team")},
        0,
    )
    limits = teamlimits.TeamLimits("pool")
    limits.configure(configuration)
    found = pool.Pool("pool", 7, deployment.Bounds(), limits, NOW)
    found.queues = configuration.queues
    for number in range(workers):
        found.adopt_worker(_worker(number))
    return found


def measure(workers: int, tasks: int) -> str:
    """Return one row of the table: seconds and bytes at one size."""
    state = _pool(workers)
    tracemalloc.start()
    for number in range(tasks // TASKS_A_JOB):
        state.accept(_job(number), model.Progress(), 0, NOW, False)
    state.create_due(0.0, NOW)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = time.perf_counter()
    orders = planning.Plan(state, NOW).orders()
    first = time.perf_counter() - began
    began = time.perf_counter()
    planning.Plan(state, NOW).orders()
    idle = time.perf_counter() - began
    return (
        f"| {workers} | {tasks} | {len(orders)} |"
        f" {first * 1_000:.1f} ms | {first / len(orders) * 1e6:.0f} us |"
        f" {idle * 1_000:.1f} ms | {held / tasks:.0f} B |"
    )


def main() -> None:
    """Print the table."""
    print(
        "| workers | waiting tasks | starts | turn | a start |"
        " next turn | memory a task |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for workers, tasks in SIZES:
        print(measure(workers, tasks))
    stored = len(model.encode(_job(1)))
    print(f"stored job of {TASKS_A_JOB} tasks: {stored} B")


if __name__ == "__main__":
    main()
