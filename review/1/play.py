"""A job of many steps is accepted; the daemon that plans it stands still."""

import collections
import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

import harness  # noqa: E402

DAEMONS = 3
STEPS = 700 if harness.TROUBLE else 7
MANY, SMALL = "5c0e7a21d94b36f8", "77aa7a21d94b0001"
FINISH_SECONDS = 14
IDLE_SECONDS = 3.0
SECONDS = 45
READY_TIMEOUT_SECONDS = 1.0
MANY_JOB = {"spec": "ms=300",
            "steps": [{"count": 1, "cpu": 100, "mem_mb": 64,
                       "estimate_ms": 300}] * STEPS}
SMALL_MS = 3_000
SMALL_STEP = {"count": 2, "cpu": 100, "mem_mb": 64, "estimate_ms": SMALL_MS}
SMALL_JOB = {"spec": f"ms={SMALL_MS}",
             "steps": [SMALL_STEP, SMALL_STEP | {"after": [0]}]}


def probe(deployment, number, silent):
    """Ask for readiness each second, as the platform does."""
    port = deployment.daemon_ports[number][1]
    while not deployment.closing:
        began = time.time()
        status, _ = harness.call(port, "GET", "/ready",
                                 timeout=READY_TIMEOUT_SECONDS)
        if status == 0 and not deployment.closing:
            silent[number] += 1
        time.sleep(max(1.0 - (time.time() - began), 0.0))


def play(deployment):
    for number in range(6):
        deployment.start_minion(f"m-{number}", "count",
                                harness.ZONES[number % 3], f"r{number % 3}-0")
    deployment.configure(
        2, [{"name": "r-count", "path_prefix": "/count/",
             "service": "count"}], [{"name": "count"}],
        [{"name": "a", "api_keys": [harness.KEY_A]},
         {"name": "b", "api_keys": [harness.KEY_B]}])
    for number in range(DAEMONS):
        deployment.start_daemon(number)
    for number in range(DAEMONS):
        deployment.wait_ready(number)
    deployment.until(lambda: deployment.holder("count") is not None, 10,
                     "the pool has a holder")
    time.sleep(2)
    silent = collections.Counter()
    for number in range(DAEMONS):
        threading.Thread(target=probe, args=(deployment, number, silent),
                         daemon=True).start()
    status, _ = deployment.ask(0, "POST", f"/count/{SMALL}", SMALL_JOB,
                               harness.KEY_B)
    if status != 200:
        raise harness.CouldNotRun("the small job was not accepted")
    # As clients do: without an answer, the call is sent to another daemon.
    holder = deployment.holder("count")
    for attempt in range(1, 6):
        number = (holder + attempt) % DAEMONS
        status, _ = deployment.ask(number, "POST", f"/count/{MANY}", MANY_JOB)
        if status in (200, 429, 503):
            break
    sent_at = time.time()
    states, unanswered = {}, collections.Counter()
    number = 0
    while time.time() - sent_at < SECONDS:
        time.sleep(1)
        for name, key in ((MANY, harness.KEY_A), (SMALL, harness.KEY_B)):
            number = (number + 1) % DAEMONS
            found = deployment.ask(number, "GET", f"/count/{name}", key=key,
                                   quiet=True)
            if found[0] == 0:
                unanswered[number] += 1
            if found != states.get(name):
                deployment.note(f"client -> daemon {number}: GET {name} -> "
                                f"{found}")
                states[name] = found
        if all(s[1].get("state") == "completed" for s in states.values()):
            break
    deployment.closing = True
    started = [e["at"] for e in deployment.events("start")]
    ended = [e["at"] for e in deployment.events("end")]
    deployment.note(f"{len(started)} starts, {len(ended)} ends; GETs without "
                    f"an answer within 3 s, by daemon: {dict(unanswered)}; "
                    f"probes without an answer: {dict(silent)}")
    if all(s[1].get("state") == "completed" for s in states.values()):
        return ""
    # Only these two jobs exist, and the minions have room for hundreds.
    changes = sorted([(at, 1) for at in started] + [(at, -1) for at in ended])
    running, longest, since = 0, 0.0, sent_at + FINISH_SECONDS
    for at, change in [*changes, (time.time(), 0)]:
        if running == 0:
            longest = max(longest, at - since)
        running += change
        since = max(at, sent_at + FINISH_SECONDS)
    if longest > IDLE_SECONDS:
        return (f"LOST: for {longest:.1f} s later than finish_s, accepted "
                f"jobs had nothing running while all minions were idle: "
                f"{states}")
    return ""


harness.play(CASE, play)
