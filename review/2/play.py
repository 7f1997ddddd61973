"""A route is removed and added with another service; a call is repeated."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

import harness  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
TASK_MS = 9_000
CONFIG_APPLY_SECONDS = 2.0
TENANTS = [{"name": "a", "api_keys": [harness.KEY_A]}]
SERVICES = [{"name": "count"}, {"name": "audit"}]
BODY = {"spec": f"ms={TASK_MS}",
        "steps": [{"count": 1, "cpu": 1000, "mem_mb": 256,
                   "estimate_ms": TASK_MS}]}


def routes(service=""):
    """Return the routes, without that of the job when it has no service."""
    found = [{"name": "r-other", "path_prefix": "/other/", "service": "audit"}]
    if service:
        found.append({"name": "r-entry", "path_prefix": "/entry/",
                      "service": service})
    return found


def spans(deployment):
    """Return start, end, minion and run of each run of the task."""
    found = {}
    for event in deployment.events():
        if event.get("task") != TASK:
            continue
        name = (event["minion"], event["run"])
        if event["event"] == "start":
            found[name] = [event["at"], None, ""]
        elif event["event"] == "end":
            found[name][1:] = [event["at"], event["how"]]
    return found


def play(deployment):
    for number in range(6):
        deployment.start_minion(
            f"m-{number}", ("count", "audit")[number % 2],
            harness.ZONES[number % 3], f"r{number % 3}-0")
    deployment.configure(2, routes("count"), SERVICES, TENANTS)
    for number in range(3):
        deployment.start_daemon(number)
    for number in range(3):
        deployment.wait_ready(number)
    for service in ("count", "audit"):
        deployment.until(lambda: deployment.holder(service) is not None, 10,
                         f"{service} has a holder")
    time.sleep(2)
    status, _ = deployment.ask(0, "POST", f"/entry/{JOB}", BODY)
    if status != 200:
        raise harness.CouldNotRun("the job was not accepted")
    deployment.until(lambda: spans(deployment), 10, "the task has started")
    if harness.TROUBLE:
        deployment.configure(4, routes(), SERVICES, TENANTS)
        time.sleep(1)
        deployment.configure(7, routes("audit"), SERVICES, TENANTS)
    time.sleep(CONFIG_APPLY_SECONDS)
    deployment.note("the request arrives again, seconds after its 2xx")
    deployment.ask(1, "POST", f"/entry/{JOB}", BODY)
    time.sleep(TASK_MS / 1000 + 2)
    deployment.ask(0, "GET", f"/entry/{JOB}")
    found = spans(deployment)
    for (minion, run), (start, end, how) in found.items():
        deployment.note(f"run {run} on {minion}: from "
                        f"{start - deployment.started_at:.3f} s to "
                        f"{(end or 0) - deployment.started_at:.3f} s {how}")
    ordered = sorted(found.values())
    for (_, end, how), (start, _, _) in zip(ordered, ordered[1:]):
        if end is None or start < end:
            return f"TWICE: two runs of {TASK} at the same time"
        if how == "done":
            return f"TWICE: {TASK} was started after a run had ended done"
    return ""


harness.play(CASE, play)
