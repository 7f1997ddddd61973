"""A minion crashes and is soon back; tasks that it has done run again.

The list of machines answers slowly meanwhile: it tells what was so when it was
asked, before the minion was back.
"""

import json
import os
import pathlib
import threading
import time

import deployment as deployments

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MINIONS = 8
DOWN_SECONDS = 0.25
# A minion writes its entry every 1.5 s or so.
FIRST_BEAT_SECONDS = 1.2
SLOW_LIST_SECONDS = 0.6
SLOW_SECONDS = 4.0
TASK_SECONDS = 0.3
JOB_INTERVAL_SECONDS = 0.08


class Case:
    """The deployment, a stream of small jobs, and what runs twice."""

    def __init__(self):
        self.deployment = deployments.Deployment(
            pathlib.Path(__file__).parent
        )
        self.deployment.on_event = self._observe
        self.streaming = True
        self.accepted = 0
        self.together = []

    def _observe(self, event, minion, task, run, detail):
        if event != "start":
            return
        self.together += [
            (task, run, minion.name, other_run, other)
            for other, other_task, other_run in self.deployment.running
            if other_task == task and other_run != run
        ]

    def start(self):
        """Start minions and program."""
        found = self.deployment
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

    def stream(self):
        """Hand in jobs of one task, one after the other."""
        body = {
            "spec": json.dumps({"run_s": TASK_SECONDS}),
            "steps": [
                {
                    "count": 1,
                    "cpu": 200,
                    "mem_mb": 64,
                    "estimate_ms": int(TASK_SECONDS * 1000),
                }
            ],
        }
        number = 0xB000000000
        while self.streaming:
            number += 1
            status, _ = self.deployment.client(
                "POST", f"/short/{number:016x}", body
            )
            self.accepted += status == 200
            time.sleep(JOB_INTERVAL_SECONDS)

    def crash(self):
        """Crash the minion that the jobs use, and start it again."""
        found = self.deployment
        used = {}
        until = time.monotonic() + 5.0
        while not used and time.monotonic() < until:
            with found.lock:
                for minion, _, _ in found.running:
                    used[minion] = used.get(minion, 0) + 1
            time.sleep(0.01)
        if not used:
            found.note("case could not run: nothing runs")
            found.finish(2)
        minion = found.minions[max(used, key=used.get)]
        minion.first_beat_seconds = FIRST_BEAT_SECONDS
        found.note("the list of machines turns slow")
        found.machine_list_seconds = SLOW_LIST_SECONDS
        port = minion.crash()
        time.sleep(DOWN_SECONDS)
        minion.start(port)
        time.sleep(SLOW_SECONDS - DOWN_SECONDS)
        found.machine_list_seconds = 0.004
        found.note("the list of machines is as fast as before")

    def judge(self):
        """Look for runs beside and after others of the same task."""
        found = self.deployment
        with found.lock:
            events = list(found.events)
        noted = {
            (task, run)
            for _, event, _, task, run, detail in events
            if event == "noted" and detail == "done"
        }
        done = {}
        after = []
        for at, event, minion, task, run, _ in events:
            if event == "done" and (task, run) in noted:
                done.setdefault(task, (run, minion, at))
            earlier = done.get(task)
            if event == "start" and earlier and earlier[0] != run:
                after.append((task, run, minion, *earlier))
        for task, run, minion, other_run, other in self.together:
            found.note(
                f"TWICE broken: run {run} of {task} starts on {minion} while "
                f"run {other_run} works on {other}"
            )
        for task, run, minion, other_run, other, at in after:
            found.note(
                f"TWICE broken: run {run} of {task} started on {minion}; run "
                f"{other_run} had ended done on {other} at {at:.3f}, and this "
                "end was taken note of"
            )
        if not self.accepted or not done:
            found.note("case could not run: no job was done")
            found.finish(2)
        if self.together or after:
            found.finish(1)
        found.note("TWICE held")
        found.finish(0)


def main():
    """Run the case."""
    case = Case()
    case.start()
    threading.Thread(target=case.stream, daemon=True).start()
    time.sleep(4.0)
    if TROUBLE:
        case.crash()
    time.sleep(5.0)
    case.streaming = False
    time.sleep(4.0)
    case.judge()


if __name__ == "__main__":
    deployments.run(main)
