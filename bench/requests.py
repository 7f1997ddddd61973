"""Measures the request path: ``make bench``, one figure a line.

One data centre, one entry process and two stand-in backend servers, all on
loopback. The baseline is the first-come-first-served gateway of
:mod:`bench.baseline`.
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
from standins import ports

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
# Calls before those that are timed.
WARM_UP = 50
# Slots of both backend servers together.
SLOTS = 16
WORK_SECONDS = 0.1
# Requests per second.
MEAN_RATE = 64.0
PEAK_FACTOR = 5.0
PEAK_SECONDS = 10.0
TIMEOUT_SECONDS = {"quick": 1.0, "normal": 2.0, "long": 4.0}
CLASS_PROPORTIONS = (("quick", 0.3), ("normal", 0.4), ("long", 0.3))
TEAMS = (("herders", 0.5), ("donors", 0.5))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of one request of the load.

    :ivar seconds: response time; None when no answer with status 200
        arrived before the time-out.
    """

    team: str
    priority: str
    seconds: float | None


def print_figure(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def quantile(values: t.Sequence[float], fraction: float) -> float:
    """Return a quantile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    with open(f"/proc/{pid}/stat") as stream:
        fields = stream.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as stream:
        return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Bench:
    """Measurements on one deployment."""

    def __init__(self, deployment: launcher.Deployment) -> None:
        self.deployment = deployment
        self.vm, self.address = next(iter(deployment.entries.items()))
        self.keys: dict[str, str] = {}

    def set_up(self) -> None:
        """Apply the assurances and grant a key to each team."""
        self.deployment.call_operator_api(
            "POST", "apply", {"assurances": ASSURANCES}
        )
        for team, _ in TEAMS:
            answer = self.deployment.call_operator_api(
                "POST", "grant", {"name": team}
            )
            self.keys[team] = answer.body["key"]
        time.sleep(3.0)

    def headers(self, team: str, **more: str) -> dict[str, str]:
        """Return the headers of a team's request."""
        extra = {f"Agaterudder-{k.title()}": v for k, v in more.items()}
        return {
            "Agaterudder-Team": team,
            "Agaterudder-Key": self.keys[team],
            **extra,
        }

    def time_calls(self, address: str, path: str) -> list[float]:
        """Return the response times of sequential calls on one connection."""
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
        direct = self.time_calls(backend, "/")
        through = self.time_calls(self.address, "/v1/services/tally/")
        for name, fraction in (("p50", 0.5), ("p99", 0.99)):
            base = quantile(direct, fraction) * 1000
            total = quantile(through, fraction) * 1000
            print_figure(f"latency_direct_{name}", base, "ms")
            print_figure(f"latency_added_{name}", total - base, "ms")

    def rate_per_core(self) -> None:
        """Measure requests per second of CPU time of the entry process."""
        pid = self.deployment.pid(self.vm)
        before = cpu_seconds(pid)
        calls = [
            gevent.spawn(self.time_calls, self.address, "/v1/services/tally/")
            for _ in range(4)
        ]
        gevent.joinall(calls)
        used = cpu_seconds(pid) - before
        print_figure("requests_per_core", 4 * (CALLS + WARM_UP) / used, "1/s")

    def memory(self) -> None:
        """Measure the memory of the entry process per idle connection."""
        pid = self.deployment.pid(self.vm)
        before = memory_bytes(pid)
        host, _, port = self.address.rpartition(":")
        idle = []
        for _ in range(400):
            client = geventhttpclient.HTTPClient(host, int(port))
            client.request("GET", "/healthz").read()
            idle.append(client)
        memory_growth = memory_bytes(pid) - before
        print_figure(
            "memory_idle_connection", memory_growth / 400 / 1024, "KB"
        )
        for client in idle:
            client.close()

    def overload(
        self, address: str, path: str, name: str
    ) -> list[RequestResult]:
        """Send five times the mean rate for ten seconds.

        That is twice the capacity of the backend servers, which is
        ``SLOTS / WORK_SECONDS``.
        """
        results: list[RequestResult] = []
        rate = MEAN_RATE * PEAK_FACTOR
        count = int(rate * PEAK_SECONDS)
        mix = itertools.cycle(_request_mix())
        started_at = time.monotonic()
        calls = []
        for number in range(count):
            due = started_at + number / rate
            gevent.sleep(max(0.0, due - time.monotonic()))
            team, priority = next(mix)
            calls.append(
                gevent.spawn(
                    self._send_one, address, path, team, priority, results
                )
            )
        gevent.joinall(calls, timeout=30)
        self._print_results(name, results, time.monotonic() - started_at)
        return results

    def _send_one(
        self,
        address: str,
        path: str,
        team: str,
        priority: str,
        results: list[RequestResult],
    ) -> None:
        timeout_seconds = TIMEOUT_SECONDS[priority]
        headers = self.headers(
            team, priority=priority, timeout=str(timeout_seconds)
        )
        headers["Connection"] = "close"
        started_at = time.monotonic()
        seconds = None
        try:
            answer = launcher.call(
                address, "GET", path, b"", headers, timeout=timeout_seconds
            )
            response_seconds = time.monotonic() - started_at
            if answer.status == 200 and response_seconds <= timeout_seconds:
                seconds = response_seconds
        except (OSError, ValueError, launcher.HTTPParseError):
            pass
        results.append(RequestResult(team, priority, seconds))

    def _print_results(
        self, name: str, results: list[RequestResult], span: float
    ) -> None:
        successful = [item for item in results if item.seconds is not None]
        capacity = SLOTS / WORK_SECONDS
        rate = len(successful) / span
        print_figure(f"{name}_sent", len(results) / PEAK_SECONDS, "1/s")
        print_figure(f"{name}_goodput", rate, "1/s")
        print_figure(f"{name}_goodput_of_pool", rate / capacity, "ratio")
        print_figure(f"{name}_span", span, "s")
        for team, _ in TEAMS:
            count = sum(item.team == team for item in successful)
            print_figure(f"{name}_goodput_{team}", count / span, "1/s")
        for priority in TIMEOUT_SECONDS:
            response_seconds = [
                item.seconds
                for item in successful
                if item.priority == priority and item.seconds is not None
            ]
            if response_seconds:
                print_figure(
                    f"{name}_{priority}_p99",
                    quantile(response_seconds, 0.99),
                    "s",
                )
            print_figure(
                f"{name}_{priority}_count", len(response_seconds), "answers"
            )


def _request_mix() -> list[tuple[str, str]]:
    """Return pairs of team and priority class, in the load's proportions."""
    return [
        (team, priority)
        for _ in range(10)
        for priority, proportion in CLASS_PROPORTIONS
        for team, _ in TEAMS
        for _ in range(round(proportion * 10))
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
        reservation = ports.reserve()
        gateway = baseline.start(
            reservation.address, list(deployment.backends.values())
        )
        try:
            time.sleep(1.0)
            bench.overload(reservation.address, "/", "overload_baseline")
        finally:
            gateway.kill()
            gateway.wait()
            reservation.release()
    finally:
        deployment.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
