"""A late start reaches a minion that has started again under its id."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

JOB = "00000000000000d1"
KEY = "key-of-team-one"
# One worker of eight crashes, and one start of the first twenty is late.
WORKERS = 8
TASKS = 20
# Within the 2 to 12 s by which workers may carry an order out late.
DELAY_SECONDS = 7.0
CRASH_AFTER_SECONDS = 3.0
DOWN_SECONDS = 1.5


async def play(lab, trouble):
    """Return whether two runs of the task work at the same time."""
    held = []

    def delay(worker):
        def seconds(request):
            if not trouble or held or request.path != "/run-start":
                return 0.0
            held.append(worker)
            return DELAY_SECONDS

        return seconds

    for number in range(1, WORKERS + 1):
        name = f"w{number}"
        await lab.add_worker(name, "ledger", delay(name))
    lab.configure(
        [{"name": "reviews", "service": "ledger"}],
        ["ledger"],
        [{"name": "one", "api_keys": [KEY], "cap": {"cpu": 0}}],
    )
    for number in (1, 2):
        lab.add_entry(f"front-{number}")
    if not await lab.wait_ready():
        return labs.NOT_RUN
    await asyncio.sleep(4.0)
    steps = [
        {
            "count": TASKS, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500,
            "long_running": True,
        }
    ]
    if not await lab.submit(lab.entries[0], "reviews", JOB, KEY, steps, 0):
        return labs.NOT_RUN
    watch = asyncio.create_task(twice(lab))
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    if trouble:
        worker = lab.workers[held[0]]
        await worker.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await worker.start(same_id=True)
    return await watch


async def twice(lab):
    """Watch the runs of each task for fifteen seconds."""
    began = {}
    longest = 0.0
    seen = False
    for _ in range(1500):
        runs = lab.running_tasks(JOB)
        seen = seen or bool(runs)
        workers = {}
        for worker, task, run in runs:
            workers.setdefault(task, []).append(f"{worker}/{run}")
        for task, found in workers.items():
            if len(found) < 2:
                began.pop(task, None)
                continue
            if task not in began:
                began[task] = lab.now()
                lab.log("two runs of one task", task=task, runs=found)
            longest = max(longest, lab.now() - began[task])
        await asyncio.sleep(0.01)
    lab.log("longest time with two runs", seconds=round(longest, 3))
    if not seen:
        return labs.NOT_RUN
    return labs.BROKEN if longest else labs.HELD


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
