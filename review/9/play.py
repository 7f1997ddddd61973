"""A rolling restart while the store loses answers; a job is given up."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

JOB = "00000000000000d7"
KEY = "key-of-team-one"
ENTRIES = 7
# The machines are stopped and started in turn, the holder first each time.
RESTARTS = 6
GAP_SECONDS = 2.0
MAX_LOST_SHARE = 0.35
STEPS = [
    {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500},
    {
        "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1500,
        "after": [0],
    },
]
TASK_MS = 1500


def holder(lab):
    """Return the process that the lease row of the service names."""
    row = lab.store.value("leases", "lease.ledger", "lease") or b""
    return next(
        (e for e in lab.entries if f"{e.name} ".encode() in row), None
    )


async def play(lab, trouble):
    """Return whether the job is shown as failed without a failed run."""
    for number in range(1, 5):
        await lab.add_worker(f"w{number}", "ledger")
    lab.configure(
        [{"name": "entries", "service": "ledger"}],
        ["ledger"],
        [{"name": "one", "api_keys": [KEY], "cap": {"cpu": 0}}],
    )
    for number in range(ENTRIES):
        lab.add_entry(f"front-{number}")
    if not await lab.wait_ready():
        return labs.NOT_RUN
    await asyncio.sleep(4.0)
    if not await lab.submit(
        lab.entries[0], "entries", JOB, KEY, STEPS, TASK_MS
    ):
        return labs.NOT_RUN
    if not await lab.wait(lambda: lab.running_tasks(JOB), 5.0, "a start"):
        return labs.NOT_RUN
    await asyncio.sleep(1.0)
    counts = {"writes": 0, "lost": 0}
    if trouble:
        await restart_in_turn(lab, counts)
        lab.log("writes of the store meanwhile", **counts)
        if counts["lost"] > MAX_LOST_SHARE * counts["writes"]:
            return labs.NOT_RUN
    return await judge(lab)


async def restart_in_turn(lab, counts):
    """Stop the holder each time, while some answers of the store are lost."""
    lost_for = set()

    def lose(body):
        counts["writes"] += 1
        epoch = lab.store.version("holders", "ledger", "holder")
        rows = {(row["table"], row["key"]) for row in body["writes"]}
        if ("progress", JOB) not in rows or epoch in lost_for:
            return 0.0
        lost_for.add(epoch)
        counts["lost"] += 1
        lab.log("answer of the store lost", process=holder(lab).name)
        return 0.001

    ending = []
    for number in range(RESTARTS):
        leader = holder(lab)
        leader.signal(signal.SIGTERM)
        ending.append(asyncio.create_task(start_again(leader)))
        if not number:
            lab.store.lose = lose
        await asyncio.sleep(GAP_SECONDS)
    lab.store.lose = lambda body: 0.0
    await asyncio.gather(*ending)


async def start_again(entry):
    """Start a process again once it has ended."""
    if await entry.ended(8.0):
        entry.start()


async def judge(lab):
    """Ask for the job until it has ended."""
    entry = lab.entries[0]
    for _ in range(60):
        status, answer = await lab.client(entry, "GET", "entries", JOB, KEY)
        state = (answer or {}).get("state") if status == 200 else ""
        if state == "completed":
            return labs.HELD
        if state == "failed":
            causes = [
                event
                for _, event, fields in lab.events
                if event == "worker crashed"
                or event == "run ended"
                and fields["how"] == "failed"
            ]
            lab.log("job shown as failed", failed_runs_and_crashes=len(causes))
            return labs.HELD if causes else labs.BROKEN
        await asyncio.sleep(0.5)
    return labs.NOT_RUN


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
