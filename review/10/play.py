"""A queue moves to another service while accepted jobs of it wait."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

KEY = "key-of-team-one"
FILLING = "00000000000000f0"
WAITING = [f"00000000000000f{number}" for number in range(1, 7)]
OLD, NEW = "old-desk", "new-desk"
# "accepted over visible_ms + 2 s before"
VISIBLE_SECONDS = 3.0 + 2.0


async def play(lab, trouble):
    """Return whether a count is under half of the jobs that wait."""
    await lab.add_worker("old1", OLD)
    await lab.add_worker("new1", NEW)
    tenants = [{"name": "one", "api_keys": [KEY], "cap": {"cpu": 0}}]
    lab.configure([{"name": "desk", "service": OLD}], [OLD, NEW], tenants)
    for number in (1, 2):
        lab.add_entry(f"front-{number}")
    if not await lab.wait_ready():
        return labs.NOT_RUN
    await asyncio.sleep(4.0)
    entry = lab.entries[0]
    filling = {
        "count": 16, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500,
        "long_running": True,
    }
    if not await lab.submit(entry, "desk", FILLING, KEY, [filling], 0):
        return labs.NOT_RUN
    if not await lab.wait(
        lambda: len(lab.running_tasks(FILLING)) == 16, 8.0, "16 tasks"
    ):
        return labs.NOT_RUN
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 800}
    for job in WAITING:
        if not await lab.submit(entry, "desk", job, KEY, [step], 800):
            return labs.NOT_RUN
    accepted_at = lab.now()
    if trouble:
        lab.configure([{"name": "desk", "service": NEW}], [OLD, NEW], tenants)
    await asyncio.sleep(accepted_at + VISIBLE_SECONDS + 1.0 - lab.now())
    return await judge(lab)


async def judge(lab):
    """Ask each process for the count several times."""
    broken = False
    for _ in range(5):
        for entry in lab.entries:
            status, answer = await lab.client(entry, "GET", "desk", "", KEY)
            if status != 200:
                return labs.NOT_RUN
            started = {
                fields["task"].partition(".")[0]
                for _, event, fields in lab.events
                if event == "run started"
            }
            left = [job for job in WAITING if job not in started]
            lab.log("jobs that wait", left=len(left), said=answer["pending"])
            broken = broken or answer["pending"] < len(left) / 2
        await asyncio.sleep(0.5)
    return labs.BROKEN if broken else labs.HELD


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
