"""Measures the request path: ``make bench``, one figure a line.

One data centre, one entry process, two stand-in backend servers, all on
loopback. The baseline is a first-come-first-served gateway kept here.
"""

import dataclasses
import itertools
import os
import sys
import time
import typing as t

import gevent
import geventhttpclient

from bench import baseline
from standins import launcher

PLAN = launcher.Plan(
    data_centres=("north",),
    entries=1,
    services=(("tally", 2),),
    pools=(("count", 1),),
    work_seconds=0.1,
    service_timeout=5.0,
)
ASSURANCES = """\
team.herders = { share = 3 }  # Ane
team.donors = { share = 1 }  # Bo
pool.count = { out = 1 }  # Bo
"""
CALLS = 400
WARM_UP = 50
SLOTS = 16
WORK_SECONDS = 0.1
MEAN_RATE = 64.0
PEAK_FACTOR = 5.0
PEAK_SECONDS = 10.0
PATIENCE_SECONDS = {"quick": 1.0, "normal": 2.0, "long": 4.0}
CLASSES = (("quick", 0.3), ("normal", 0.4), ("long", 0.3))
TEAMS = (("herders", 0.5), ("donors", 0.5))


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request of the load.

    :ivar seconds: time until the answer, None without a good one in time.
    """

    team: str
    priority: str
    seconds: float | None


def show(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def quantile(values: t.Sequence[float], fraction: float) -> float:
    """Return a quantile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cpu_seconds(process: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{process}/stat") as stream:
        fields = stream.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_bytes(process: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{process}/statm") as stream:
        return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Bench:
    """Measurements on one deployment."""

    def __init__(self, deployment: launcher.Deployment) -> None:
        self.deployment = deployment
        self.vm, self.address = next(iter(deployment.entries.items()))
        self.keys: dict[str, str] = {}

    def set_up(self) -> None:
        """Bring assurances and keys into force."""
        self.deployment.operate("POST", "apply", {"assurances": ASSURANCES})
        for team, _ in TEAMS:
            answer = self.deployment.operate("POST", "grant", {"name": team})
            self.keys[team] = answer.body["key"]
        time.sleep(3.0)

    def headers(self, team: str, **more: str) -> dict[str, str]:
        """Return the headers of a team's request."""
        named = {f"Agaterudder-{k.title()}": v for k, v in more.items()}
        return {
            "Agaterudder-Team": team,
            "Agaterudder-Key": self.keys[team],
            **named,
        }

    def one_by_one(self, address: str, path: str) -> list[float]:
        """Return the seconds of calls on one connection."""
        host, _, port = address.rpartition(":")
        client = geventhttpclient.HTTPClient(host, int(port))
        headers = {**self.headers("herders"), "X-Work-Seconds": "0"}
        seconds = []
        for _ in range(CALLS + WARM_UP):
            started_at = time.perf_counter()
            client.request("GET", path, headers=headers).read()
            seconds.append(time.perf_counter() - started_at)
        client.close()
        return seconds[WARM_UP:]

    def latency(self) -> None:
        """Compare calls through the entry process with direct ones."""
        backend = next(iter(self.deployment.backends.values()))
        direct = self.one_by_one(backend, "/")
        through = self.one_by_one(self.address, "/v1/services/tally/")
        for name, fraction in (("p50", 0.5), ("p99", 0.99)):
            base = quantile(direct, fraction) * 1000
            whole = quantile(through, fraction) * 1000
            show(f"latency_direct_{name}", base, "ms")
            show(f"latency_added_{name}", whole - base, "ms")

    def rate_per_core(self) -> None:
        """Measure requests for each second of the process's time."""
        process = self.deployment.process(self.vm)
        before = cpu_seconds(process)
        calls = [
            gevent.spawn(self.one_by_one, self.address, "/v1/services/tally/")
            for _ in range(4)
        ]
        gevent.joinall(calls)
        used = cpu_seconds(process) - before
        show("requests_per_core", 4 * (CALLS + WARM_UP) / used, "1/s")

    def memory(self) -> None:
        """Measure memory for each idle connection and queued request."""
        process = self.deployment.process(self.vm)
        before = memory_bytes(process)
        host, _, port = self.address.rpartition(":")
        idle = []
        for _ in range(400):
            client = geventhttpclient.HTTPClient(host, int(port))
            client.request("GET", "/healthz").read()
            idle.append(client)
        grown = memory_bytes(process) - before
        show("memory_idle_connection", grown / 400 / 1024, "KB")
        for client in idle:
            client.close()

    def overload(self, address: str, path: str, name: str) -> list[Sent]:
        """Send five times the mean for ten seconds; return what came."""
        sent: list[Sent] = []
        rate = MEAN_RATE * PEAK_FACTOR
        count = int(rate * PEAK_SECONDS)
        kinds = itertools.cycle(_mix())
        started_at = time.monotonic()
        calls = []
        for number in range(count):
            due = started_at + number / rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            team, priority = next(kinds)
            calls.append(
                gevent.spawn(self._one, address, path, team, priority, sent)
            )
        gevent.joinall(calls, timeout=30)
        self._report(name, sent, time.monotonic() - started_at)
        return sent

    def _one(
        self,
        address: str,
        path: str,
        team: str,
        priority: str,
        sent: list[Sent],
    ) -> None:
        patience = PATIENCE_SECONDS[priority]
        headers = self.headers(team, priority=priority, timeout=str(patience))
        headers["Connection"] = "close"
        started_at = time.monotonic()
        seconds = None
        try:
            answer = launcher.call(
                address, "GET", path, b"", headers, timeout=patience
            )
            taken = time.monotonic() - started_at
            if answer.status == 200 and taken <= patience:
                seconds = taken
        except (OSError, ValueError, launcher.HTTPParseError):
            pass
        sent.append(Sent(team, priority, seconds))

    def _report(self, name: str, sent: list[Sent], span: float) -> None:
        good = [item for item in sent if item.seconds is not None]
        capacity = SLOTS / WORK_SECONDS
        rate = len(good) / span
        show(f"{name}_sent", len(sent) / PEAK_SECONDS, "1/s")
        show(f"{name}_goodput", rate, "1/s")
        show(f"{name}_goodput_of_pool", rate / capacity, "ratio")
        show(f"{name}_span", span, "s")
        for team, _ in TEAMS:
            count = sum(item.team == team for item in good)
            show(f"{name}_goodput_{team}", count / span, "1/s")
        for priority in PATIENCE_SECONDS:
            taken = [
                item.seconds
                for item in good
                if item.priority == priority and item.seconds is not None
            ]
            if taken:
                show(f"{name}_{priority}_p99", quantile(taken, 0.99), "s")
            show(f"{name}_{priority}_count", len(taken), "answers")


def _mix() -> list[tuple[str, str]]:
    """Return teams and classes in their proportions."""
    return [
        (team, priority)
        for _ in range(10)
        for priority, part in CLASSES
        for team, _ in TEAMS
        for _ in range(round(part * 10))
    ]


def main() -> int:
    """Run every measurement."""
    deployment = launcher.Deployment(PLAN)
    try:
        deployment.start()
        bench = Bench(deployment)
        bench.set_up()
        bench.latency()
        bench.rate_per_core()
        bench.memory()
        bench.overload(
            bench.address, "/v1/services/tally/", "overload_agaterudder"
        )
        first = launcher.free_ports(1)[0]
        gateway = baseline.start(
            f"127.0.0.1:{first}", list(deployment.backends.values())
        )
        try:
            time.sleep(1.0)
            bench.overload(f"127.0.0.1:{first}", "/", "overload_baseline")
        finally:
            gateway.kill()
            gateway.wait()
    finally:
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
