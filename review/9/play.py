"""A worker goes down and up by turns; a sound job must not be given up."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

JOB = "00000000000000a1"
KEY = "key-of-team-one"
# One worker of ten goes down and up, with a period of 1.4 s for 6.5 s.
OTHERS = 9
UP_SECONDS = 0.7
DOWN_SECONDS = 0.7
TURNS = 5
TASK_MS = 1200


async def play(lab, trouble):
    """Return whether the job is shown as failed without a failed run."""
    for number in range(1, OTHERS + 1):
        await lab.add_worker(f"w{number}", "ledger", labels=["a", "r1-1"])
    special = await lab.add_worker("w0", "ledger", labels=["b", "r1-2"])
    lab.configure(
        [{"name": "entries", "service": "ledger"}],
        ["ledger"],
        [{"name": "one", "api_keys": [KEY], "cap": {"cpu": 0}}],
    )
    for number in (1, 2):
        lab.add_entry(f"front-{number}")
    if not await lab.wait_ready():
        return labs.NOT_RUN
    await asyncio.sleep(4.0)
    entry = lab.entries[0]
    steps = [
        {
            "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": TASK_MS,
            "required_label": "b",
        }
    ]
    if not await lab.submit(entry, "entries", JOB, KEY, steps, TASK_MS):
        return labs.NOT_RUN
    if not await lab.wait(lambda: lab.running_tasks(JOB), 5.0, "a start"):
        return labs.NOT_RUN
    for _ in range(TURNS if trouble else 0):
        await asyncio.sleep(UP_SECONDS)
        await special.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await special.start()
    return await judge(lab, entry)


async def judge(lab, entry):
    """Ask for the job until it has ended."""
    for _ in range(60):
        status, answer = await lab.client(entry, "GET", "entries", JOB, KEY)
        state = (answer or {}).get("state") if status == 200 else ""
        if state == "completed":
            return labs.HELD
        if state == "failed":
            failed = [
                fields
                for _, event, fields in lab.events
                if event == "run ended" and fields["how"] == "failed"
            ]
            lab.log("job shown as failed", failed_runs=len(failed))
            return labs.HELD if failed else labs.BROKEN
        await asyncio.sleep(0.5)
    return labs.NOT_RUN


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
