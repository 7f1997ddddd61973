"""A client cancels a job whose submission got no answer."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import lab as labs  # noqa: E402

KEY = "key-of-team-one"
JOB = "00000000000000aa"
OTHERS = [f"{number:016x}" for number in range(1, 13)]
# The store performs the lost writes 1 to 6 s late.
LATE_SECONDS = 5.9
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4
CONTACT_SECONDS = 3.0


async def play(lab, trouble):
    """Return whether a cancelled job runs."""
    for number in (1, 2):
        await lab.add_worker(f"w{number}", "ledger")
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
    counts = {"writes": 0, "lost": 0}

    def lose(body):
        counts["writes"] += 1
        keys = {row["key"] for row in body["writes"]}
        if not trouble or JOB not in keys:
            return 0.0
        counts["lost"] += 1
        lab.log("answer of the store lost, write late", seconds=LATE_SECONDS)
        return LATE_SECONDS

    lab.store.lose = lose
    first, second = lab.entries
    traffic = asyncio.create_task(other_jobs(lab, second))
    body = {
        "spec": '{"ms": 0}',
        "steps": [
            {
                "count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500,
                "long_running": True,
            }
        ],
    }
    status, _ = await lab.client(first, "POST", "reviews", JOB, KEY, body)
    lab.store.lose = lambda body: 0.0
    if not await traffic:
        return labs.NOT_RUN
    lab.log("store is well again", **counts)
    if trouble and counts["lost"] > 0.35 * counts["writes"]:
        return labs.NOT_RUN
    status, _ = await lab.client(second, "DELETE", "reviews", JOB, KEY)
    if status not in (200, 410):
        return labs.NOT_RUN
    acknowledged_at = lab.now()
    await asyncio.sleep(LATE_SECONDS + CONTACT_SECONDS + 4.0)
    return await judge(lab, acknowledged_at, second)


async def other_jobs(lab, entry):
    """Submit other jobs meanwhile; return whether all were accepted."""
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}
    accepted = [
        await lab.submit(entry, "reviews", job, KEY, [step], 200)
        for job in OTHERS
    ]
    return all(accepted)


async def judge(lab, acknowledged_at, entry):
    """Return whether tasks of the job run on, long after the cancel."""
    late = lab.now() - acknowledged_at
    running = lab.running_tasks(JOB)
    starts = [
        round(at - acknowledged_at, 3)
        for at, event, fields in lab.events
        if event == "run started" and fields["task"].startswith(JOB)
    ]
    lab.log(
        "tasks of the cancelled job", after=round(late, 1), runs=running,
        started_after_the_answer=starts,
    )
    await lab.client(entry, "GET", "reviews", JOB, KEY)
    if running and late > CANCEL_SECONDS + STOP_SECONDS:
        return labs.BROKEN
    return labs.HELD


if __name__ == "__main__":
    sys.exit(labs.run(HERE / "record.txt", play))
