"""End-to-end demo on one machine: ``make demo``, about 30 seconds.

Starts stand-ins and six entry processes on loopback and runs the main
operations step by step. Exits with a non-zero status when a step fails. An
entry VM is a VM that runs the product's server process, the entry process.
The assurances are the part of the configuration that sets limits and
guarantees for teams, pools and queues.
"""

import dataclasses
import itertools
import json
import sys
import time
import typing as t

from standins import launcher

ASSURANCES = """\
team.tally = { share = 2, cores = 96, tasks = 12 }  # Ane, for the herders
team.grants = { share = 1, cores = 96, tasks = 12 }  # Bo, for the donors
pool.count = { out = 1 }  # Ane, the count must go on
pool.report = { out = 1, buffer = true }  # Bo
queue.open-counts = { pool = "count", open = true }  # Ane
class.urgent = { start_seconds = 4.4 }  # Ane
"""
STEP_TIMEOUT_SECONDS = 25.0


class StepFailed(Exception):
    """A step of the demo did not give the expected result."""


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team with its key."""

    name: str
    key: str

    @property
    def headers(self) -> dict[str, str]:
        """Headers that authenticate the team."""
        return {"Agaterudder-Team": self.name, "Agaterudder-Key": self.key}


def expect(condition: bool, detail: t.Any) -> None:
    """Fail the step unless the condition holds."""
    if not condition:
        raise StepFailed(str(detail))


def wait_until(condition: t.Callable[[], bool], what: str) -> float:
    """Wait for a condition; return the seconds that it took."""
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > STEP_TIMEOUT_SECONDS:
            raise StepFailed(f"timed out waiting for: {what}")
        time.sleep(0.05)
    return time.monotonic() - started_at


class Demo:
    """Steps of the demo, run on one deployment."""

    def __init__(self, deployment: launcher.Deployment) -> None:
        self.deployment = deployment
        self.teams: dict[str, Team] = {}

    def change(self, verb: str, content: dict[str, t.Any]) -> t.Any:
        """Make a change as an operator and expect it to be in force."""
        answer = self.deployment.call_operator_api("POST", verb, content)
        expect(answer.status == 200, answer)
        return answer.body

    def send(
        self,
        vm: str,
        path: str,
        headers: dict[str, str],
        method: str = "GET",
        body: bytes = b"",
    ) -> launcher.Answer:
        """Send a caller's request to one entry VM."""
        address = self.deployment.entries[vm]
        return launcher.call(address, method, path, body, headers)

    def submit(self, vm: str, headers: dict[str, str], **task: t.Any) -> str:
        """Submit a task; return its identifier."""
        content = {"queue": "count", "cores": 2, "run_seconds": 0.3, **task}
        answer = self.send(
            vm, "/v1/tasks", headers, "POST", json.dumps(content).encode()
        )
        expect(answer.status == 200, answer)
        return str(answer.body["task"])

    def state(self, vm: str, task: str, headers: dict[str, str]) -> str:
        """Return the state of a task."""
        answer = self.send(vm, f"/v1/tasks/{task}", headers)
        return str(answer.body.get("state", answer.body))

    # Steps: each returns its outcome and its duration in seconds.

    def apply(self) -> tuple[str, float]:
        """An operator brings the assurances into force."""
        body = self.change("apply", {"assurances": ASSURANCES})
        return f"version {body['version']} {body['state']}", body["seconds"]

    def grant(self) -> tuple[str, float]:
        """Operators grant a key to each of two teams."""
        seconds = 0.0
        for name in ("tally", "grants"):
            body = self.change("grant", {"name": name})
            self.teams[name] = Team(name, body["key"])
            seconds = max(seconds, body["seconds"])
        return "two keys accepted", seconds

    def requests(self) -> tuple[str, float]:
        """Both teams send a request to every entry VM."""
        started_at = time.monotonic()
        count = 0
        for team, vm in itertools.product(
            self.teams.values(), self.deployment.entries
        ):
            headers = {**team.headers, "Agaterudder-Request-Id": f"d{count}"}
            answer = self.send(vm, "/v1/services/tally/herds", headers)
            expect(answer.status == 200, answer)
            expect(answer.body["id"] == f"d{count}", answer)
            count += 1
        return f"{count} whole answers", time.monotonic() - started_at

    def wrong_key(self) -> tuple[str, float]:
        """A team sends the key of another team."""
        headers = {
            "Agaterudder-Team": "grants",
            "Agaterudder-Key": self.teams["tally"].key,
        }
        answer = self.send(
            "entry-north-0", "/v1/services/tally/herds", headers
        )
        expect(answer.code == 301, answer)
        return f"refused with {answer.code}, not run", 0.0

    def run_tasks(self) -> tuple[str, float]:
        """Both teams submit tasks and read their state at another entry VM."""
        submitted = [
            (team, self.submit(vm, team.headers))
            for team in self.teams.values()
            for vm in self.deployment.entries
        ]

        def done() -> bool:
            states = [
                self.state("entry-south-1", task, team.headers)
                for team, task in submitted
            ]
            return set(states) == {"done"}

        return f"{len(submitted)} tasks done", wait_until(done, "tasks done")

    def withdraw(self) -> tuple[str, float]:
        """An operator withdraws the key of team grants."""
        team = self.teams["grants"]
        body = self.change("withdraw", {"name": team.key})
        for vm in self.deployment.entries:
            answer = self.send(vm, "/v1/services/tally/herds", team.headers)
            expect(answer.code == 301, answer)
        return "refused at all six entry VMs", body["seconds"]

    def take_out(self) -> tuple[str, float]:
        """An operator takes data centre south out."""
        body = self.change("take-out", {"name": "south"})
        team = self.teams["tally"]
        task = self.submit("entry-south-0", team.headers)
        wait_until(
            lambda: self.state("entry-north-0", task, team.headers) == "done",
            "task submitted in south done elsewhere",
        )
        expect(
            self.count_starts("south", since=time.time() - 1.0) == 0, "a start"
        )
        answer = self.send(
            "entry-south-0", "/v1/services/tally/herds", team.headers
        )
        expect(answer.status == 200, answer)
        return "no start there, its callers served elsewhere", body["seconds"]

    def count_starts(self, data_centre: str, since: float) -> int:
        """Return the number of task starts in a data centre since a time."""
        count = 0
        for name, address in self.deployment.workers.items():
            if f"-{data_centre}-" in name:
                counts = launcher.call(address, "GET", "/counts").body
                times = counts["started_at"].values()
                count += sum(at >= since for at in times)
        return count

    def put_back(self) -> tuple[str, float]:
        """An operator puts data centre south back."""
        body = self.change("put-back", {"name": "south"})
        put_back_at = time.time()
        team = self.teams["tally"]
        self.submit("entry-south-0", team.headers)
        wait_until(
            lambda: self.count_starts("south", put_back_at) > 0,
            "a start in south",
        )
        return "tasks start there again", body["seconds"]

    def kill(self) -> tuple[str, float]:
        """An entry process that owns a task is killed and restarted."""
        team = self.teams["tally"]
        task = self.submit("entry-middle-0", team.headers, run_seconds=2.0)
        self.deployment.kill("entry-middle-0")
        answer = self.send(
            "entry-middle-1", "/v1/services/tally/herds", team.headers
        )
        expect(answer.status == 200, answer)
        self.deployment.start_entry("entry-middle-0")
        seconds = wait_until(
            lambda: self.state("entry-middle-1", task, team.headers) == "done",
            "the task of the killed process is done",
        )
        counts = sum(
            launcher.call(address, "GET", "/counts")
            .body["executed"]
            .get(task, 0)
            for address in self.deployment.workers.values()
        )
        expect(counts == 1, f"{counts} executions")
        return "its task was started once and is done", seconds

    def move(self) -> tuple[str, float]:
        """An operator moves a VM from pool count to pool report."""
        vm = "worker-count-north-1"
        self.change("move", {"vm": vm, "pool": "report"})

        def moved() -> bool:
            record = self.deployment.call_operator_api("GET", f"vms/{vm}").body
            return (record["state"], record["pool"]) == ("serving", "report")

        return "drained, moved, serving", wait_until(moved, "the VM moved")

    def roll_out(self) -> tuple[str, float]:
        """A maintenance wave reboots the VMs of pool count."""
        wave = self.change("roll-out", {"name": "count"})["wave"]
        max_out = 0

        def done() -> bool:
            nonlocal max_out
            listed = launcher.call(self.deployment.platform, "GET", "/vms")
            out = [
                vm
                for vm in listed.body["vms"]
                if vm.get("pool") == "count" and vm["state"] != "live"
            ]
            max_out = max(max_out, len(out))
            state = self.deployment.call_operator_api(
                "GET", f"waves/{wave}"
            ).body
            return bool(state["state"] == "done")

        seconds = wait_until(done, "the wave is done")
        expect(max_out == 1, f"{max_out} were out at once")
        return "every VM rebooted, never more than 1 out", seconds

    def explain(self) -> tuple[str, float]:
        """An operator asks for the decisions about a VM."""
        lines = self.deployment.call_operator_api(
            "GET", "explain/vm/worker-count-north-0"
        ).body
        expect(any("Ane" in line for line in lines), lines)
        return f"{len(lines)} decisions, each with its assurance", 0.0

    def leave(self) -> tuple[str, float]:
        """An entry process shuts down gracefully."""
        started_at = time.monotonic()
        status = self.deployment.terminate("entry-north-1")
        expect(status == 0, f"status {status}")
        return "it left with status 0", time.monotonic() - started_at


STEPS = (
    ("apply", "an accepted configuration is in force everywhere"),
    ("grant", "keys are granted at any time"),
    ("requests", "a caller gets the whole answer to its own request"),
    ("wrong_key", "work is taken only for the team whose key came with it"),
    ("run_tasks", "no request is lost or doubled"),
    ("withdraw", "a withdrawn key stops working within seconds"),
    ("take_out", "no task starts in a data centre that was taken out"),
    ("put_back", "the data centre works again"),
    ("kill", "a task that may not be repeated runs at most once"),
    ("move", "a VM is in exactly one pool"),
    ("roll_out", "every availability budget holds"),
    ("explain", "the fleet explains what it did"),
    ("leave", "a graceful shutdown cuts no request"),
)


def run(demo: Demo) -> int:
    """Run every step; return the number that failed."""
    failed = 0
    for name, guarantee in STEPS:
        try:
            outcome, seconds = getattr(demo, name)()
        except (StepFailed, OSError, KeyError, TypeError) as error:
            failed += 1
            print(f"FAILED {name}: {error}", flush=True)
            continue
        print(
            f"{name:10} {outcome:46} {seconds:6.2f} s  {guarantee}", flush=True
        )
    return failed


def main() -> int:
    """Start a deployment, run the steps, and leave no process behind."""
    deployment = launcher.Deployment(launcher.Plan())
    failed = 1
    pids: list[int] = []
    try:
        deployment.start()
        pids = deployment.pids()
        failed = run(Demo(deployment))
    finally:
        deployment.stop()
    remaining = launcher.still_running(pids)
    print(
        f"{len(STEPS)} steps, {failed} failed, {len(remaining)} processes left"
    )
    return 1 if failed or remaining else 0


if __name__ == "__main__":
    sys.exit(main())
