"""A team gets its first cap while tasks of it run in one service."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

KEY = "key-of-team-one"
LASTING, LATER = "00000000000000c1", "00000000000000c2"
CAP = 10_000
CPU = 1_000
OVERAGE = 0.1
CONFIG_APPLY_SECONDS = 2.0


async def play(lab, trouble):
    """Return whether a start brings the team above its cap."""
    for name in ("s1", "s2"):
        for number in (1, 2):
            await lab.add_worker(f"{name}-{number}", name)
    routes = [
        {"name": "serve", "service": "s1"},
        {"name": "batch", "service": "s2"},
    ]
    capped = [
        {
            "name": "one", "api_keys": [KEY],
            "cap": {"cpu": CAP, "mem_mb": 0, "gpu": 0},
        }
    ]
    free = [{"name": "one", "api_keys": [KEY], "cap": {"cpu": 0}}]
    lab.configure(routes, ["s1", "s2"], free if trouble else capped)
    for number in (1, 2):
        lab.add_entry(f"front-{number}")
    if not await lab.wait_ready():
        return labs.NOT_RUN
    await asyncio.sleep(4.0)
    entry = lab.entries[0]
    lasting = {
        "count": 10, "cpu": CPU, "mem_mb": 256, "estimate_ms": 500,
        "long_running": True,
    }
    if not await lab.submit(entry, "serve", LASTING, KEY, [lasting], 0):
        return labs.NOT_RUN
    if not await lab.wait(
        lambda: len(lab.running_tasks(LASTING)) == 10, 8.0, "ten tasks"
    ):
        return labs.NOT_RUN
    if trouble:
        lab.configure(routes, ["s1", "s2"], capped)
    await asyncio.sleep(2 * CONFIG_APPLY_SECONDS)
    later = {"count": 10, "cpu": CPU, "mem_mb": 256, "estimate_ms": 20_000}
    if not await lab.submit(entry, "batch", LATER, KEY, [later], 20_000):
        return labs.NOT_RUN
    return await judge(lab, entry)


async def judge(lab, entry):
    """Watch what the team has running for ten seconds."""
    allowed = CAP * (1 + OVERAGE) + CPU
    most = 0
    for _ in range(1000):
        most = max(most, len(lab.running_tasks()) * CPU)
        await asyncio.sleep(0.01)
    lab.log("most that the team had running", cpu=most, allowed=allowed)
    return labs.BROKEN if most > allowed else labs.HELD


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
