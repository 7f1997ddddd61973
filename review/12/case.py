"""Minions crash and are soon back, one after the other; none is used again.

The list of machines answers slowly meanwhile: it tells what was so when it was
asked, before the minion was back. A job that is accepted later never starts.
"""

import json
import os
import pathlib
import time

import deployment as deployments

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 8
MINION_CORES = 16
DOWN_SECONDS = 0.25
SLOW_LIST_SECONDS = 0.6
SLOW_SECONDS = 2.0
PAUSE_SECONDS = 2.0
LASTING = "00000000000000a1"
JOB = "00000000000000b1"
# Calm time before the rule is judged; its own is 4 s.
CALM_SECONDS = 8.0
STILL_SECONDS = 3.0
OBSERVED_SECONDS = 25.0


def start(found):
    """Start minions and program."""
    for number in range(MINIONS):
        found.add_minion(number, "s1")
    found.configure(
        {
            "version": 1,
            "routes": [deployments.route("short", "/short/", "s1")],
            "services": [deployments.service("s1")],
            "tenants": [deployments.tenant({"cpu": 200000})],
            "limits": {"max_body_bytes": 262144},
        }
    )
    for number in range(2):
        found.start_program(number)
    found.wait_ready()
    time.sleep(2.0)
    # A task on each minion, so that none is idle.
    submit(
        found,
        LASTING,
        {"lasts": True},
        {
            "count": MINIONS,
            "cpu": 1000,
            "mem_mb": 64,
            "long_running": True,
            "max_per_server": 1,
        },
    )
    time.sleep(2.0)


def crash_in_turn(found):
    """Crash each minion and start it again, one at a time."""
    for minion in list(found.minions.values()):
        found.note("the list of machines turns slow")
        found.machine_list_seconds = SLOW_LIST_SECONDS
        port = minion.crash()
        time.sleep(DOWN_SECONDS)
        minion.start(port)
        time.sleep(SLOW_SECONDS - DOWN_SECONDS)
        found.machine_list_seconds = 0.004
        found.note("the list of machines is as fast as before")
        time.sleep(PAUSE_SECONDS)


def submit(found, job, spec, step):
    """Hand in a job of one step; return when it was accepted."""
    body = {"spec": json.dumps(spec), "steps": [step]}
    status, _ = found.client("POST", f"/short/{job}", body)
    if status != 200:
        found.note("case could not run: job not accepted")
        found.finish(2)
    return found.seconds()


def judge(found, accepted_at):
    """Watch the job; it must not stand still beside free minions."""
    started = False
    state = "queued"
    while found.seconds() < accepted_at + OBSERVED_SECONDS:
        status, body = found.client("GET", f"/short/{JOB}")
        state = json.loads(body)["state"] if status == 200 else state
        if state == "completed":
            found.note("LOST held: the job is completed")
            found.finish(0)
        with found.lock:
            started = any(
                event == "start" and task.startswith(JOB)
                for _, event, _, task, _, _ in found.events
            )
        time.sleep(1.0)
    up = sum(minion.up for minion in found.minions.values())
    waited = found.seconds() - accepted_at
    if not started and waited > STILL_SECONDS:
        found.note(
            f"LOST broken: {state}, nothing of the job has run for "
            f"{waited:.1f} s; {up} minions are up and run nothing, "
            f"{up * MINION_CORES} cores are free, a waiting task needs 1"
        )
        found.finish(1)
    found.note(f"LOST held: the job has started, it is {state}")
    found.finish(0)


def main():
    """Run the case."""
    found = deployments.Deployment(pathlib.Path(__file__).parent)
    start(found)
    if TROUBLE:
        crash_in_turn(found)
    time.sleep(CALM_SECONDS)
    step = {"count": 20, "cpu": 1000, "mem_mb": 64, "estimate_ms": 250}
    judge(found, submit(found, JOB, {"run_s": 0.25}, step))


if __name__ == "__main__":
    deployments.run(main)
