"""Measures the cost of holding a pool: ``python -m bench.jobs``.

The process that holds the lease of a pool plans its tasks and keeps them in
memory. Measured are the time of a planning pass and the memory per task, by
the number of workers and waiting tasks, and the stored size of a job. In the
table a turn is one planning pass. No network is used.
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

# Numbers of workers and waiting tasks.
SIZES = ((6, 60), (60, 600), (387, 3_870))
TASKS_PER_JOB = 10
# Monotonic time of the measurement, in seconds.
NOW = 10.0
SIZE = resources.Vector(16.0, 32_000.0)
TASK_CORES = 1.6


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
    worker = fleet.WorkerState(registration, t.cast(ports.Worker, None))
    worker.fenced = worker.persisted = True
    worker.record_poll(ports.Listing(1, 100.0, (), ()), NOW, NOW)
    return worker


def _job(number: int) -> model.Job:
    step = model.Step(TASKS_PER_JOB, resources.Vector(TASK_CORES, 800.0), 1.0)
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
    state = pool.Pool("pool", 7, deployment.Bounds(), limits, NOW)
    state.queues = configuration.queues
    for number in range(workers):
        state.adopt_worker(_worker(number))
    return state


def measure(workers: int, tasks: int) -> str:
    """Return one row of the table: seconds and bytes at one size."""
    state = _pool(workers)
    tracemalloc.start()
    for number in range(tasks // TASKS_PER_JOB):
        state.accept(_job(number), model.Progress(), 0, NOW, False)
    state.create_due(0.0, NOW)
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.perf_counter()
    orders = planning.Plan(state, NOW).orders()
    first_seconds = time.perf_counter() - started_at
    started_at = time.perf_counter()
    planning.Plan(state, NOW).orders()
    idle_seconds = time.perf_counter() - started_at
    return (
        f"| {workers} | {tasks} | {len(orders)} |"
        f" {first_seconds * 1_000:.1f} ms |"
        f" {first_seconds / len(orders) * 1e6:.0f} us |"
        f" {idle_seconds * 1_000:.1f} ms |"
        f" {_full_turn_seconds(workers, tasks) * 1_000:.1f} ms |"
        f" {retained_bytes / tasks:.0f} B |"
    )


def _full_turn_seconds(workers: int, tasks: int) -> float:
    """Return the time of a pass when no worker has room for a task."""
    state = _pool(workers)
    fitting = workers * int(SIZE.cores / TASK_CORES)
    for number in range((fitting + tasks) // TASKS_PER_JOB):
        state.accept(_job(number), model.Progress(), 0, NOW, False)
    state.create_due(0.0, NOW)
    while planning.Plan(state, NOW).orders():
        pass
    started_at = time.perf_counter()
    planning.Plan(state, NOW).orders()
    return time.perf_counter() - started_at


def main() -> None:
    """Print the table."""
    print(
        "| workers | waiting tasks | starts | turn | a start |"
        " next turn | turn when full | memory a task |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for workers, tasks in SIZES:
        print(measure(workers, tasks))
    stored = len(model.encode(_job(1)))
    print(f"stored job of {TASKS_PER_JOB} tasks: {stored} B")


if __name__ == "__main__":
    main()
