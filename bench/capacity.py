"""Measures how costs grow with size: ``python -m bench.capacity``.

Each figure is measured at three sizes, in this process and on the product's
own code; with ``--processes``, on deployments of entry processes.
docs/CAPACITY.md extrapolates the slopes to the size expected in two years.
"""

import sys
import time
import tracemalloc
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import configuration
from agaterudder import escrow
from agaterudder import fleet
from agaterudder import keys
from agaterudder import membership
from agaterudder import messages
from agaterudder import metrics
from agaterudder import platform
from agaterudder import requests
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import sizes
from agaterudder import taskqueues
from agaterudder import tasks
from agaterudder import vmsteps
from bench import requests as request_bench
from standins import launcher

REPEATS = 20
IDLE_SECONDS = 8.0


def min_cpu_seconds(action: t.Callable[[], t.Any]) -> float:
    """Return the CPU seconds of one call, the minimum of several calls."""
    best = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        action()
        best = min(best, time.process_time() - started_at)
    return best


def retained_bytes(build: t.Callable[[], t.Any]) -> int:
    """Return the bytes of memory that the built object retains."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return after - before


def print_figure(name: str, size: int, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {size} {value:.3f} {unit}", flush=True)


def _vms(count: int) -> list[platform.Vm]:
    size = resources.Vector(16.0, 32_000.0, 1.0, 1_000.0)
    return [
        platform.Vm(
            f"w{n}",
            "worker",
            f"dc{n % 21}",
            f"r{n // 80}",
            f"127.0.0.1:{n % 60_000}",
            platform.VmState.LIVE,
            f"p{n % 31}",
            size=size,
        )
        for n in range(count)
    ]


def _assurance_text(teams: int) -> str:
    return "".join(
        f"team.t{n} = {{ share = 1, cores = 900, tasks = 90 }}  # x\n"
        for n in range(teams)
    )


def _parse(text: str) -> None:
    assurances.parse.cache_clear()
    assurances.parse(text)


def measure_configuration() -> None:
    """Measure a configuration: encoded size, parse time and memory."""
    for teams in (30, 180, 730):
        text = _assurance_text(teams)
        records = [keys.create(f"t{n}").record for n in range(teams)]
        version = configuration.Configuration(1, text, records)
        raw = msgspec.msgpack.encode(version)
        print_figure("configuration_bytes", teams, len(raw) / 1024, "KB")
        seconds = min_cpu_seconds(lambda: _parse(text))
        print_figure("configuration_parse", teams, seconds * 1000, "ms")

        def install() -> configuration.ActiveConfiguration:
            assurances.parse.cache_clear()
            in_force = configuration.ActiveConfiguration()
            in_force.install(version)
            return in_force

        print_figure(
            "configuration_memory", teams, retained_bytes(install) / 1024, "KB"
        )


def measure_digest() -> None:
    """Measure a heartbeat between entry VMs: size, time to encode and decode.

    Its digest says which configuration version each member has, and the
    resources that each team uses.
    """
    for teams in (30, 180, 730):
        for members in (9, 189):
            digest = messages.Digest(
                "entry-1",
                1,
                "dc1",
                10,
                False,
                {
                    f"entry-{n}": messages.MemberVersion(1, 10)
                    for n in range(members)
                },
                [],
                {
                    f"t{n}": resources.Vector(1.0, 2.0, 0.0, 1.0)
                    for n in range(teams)
                },
                [f"t{n}" for n in range(teams // 10)],
            )
            heartbeat = messages.Heartbeat(1, 1, digest)
            raw = msgspec.msgpack.encode(heartbeat)
            name = f"heartbeat_of_{members}_members"
            print_figure(f"{name}_bytes", teams, len(raw) / 1024, "KB")

            def encode_and_decode() -> None:
                data = msgspec.msgpack.encode(heartbeat)
                msgspec.msgpack.decode(data, type=messages.Message)

            print_figure(
                f"{name}_time",
                teams,
                min_cpu_seconds(encode_and_decode) * 1000,
                "ms",
            )


def measure_list() -> None:
    """Measure the platform's VM list: size, time to apply it, and memory."""
    for count in (500, 3_000, 12_000):
        raw = msgspec.json.encode(platform.VmList(_vms(count)))
        print_figure("list_bytes", count, len(raw) / 1024, "KB")

        def decode_and_apply() -> fleet.Fleet:
            listing = msgspec.json.decode(raw, type=platform.VmList)
            workers = fleet.Fleet()
            workers.update_workers(
                vm for vm in listing.vms if vm.data_centre == "dc1"
            )
            roster = membership.Roster()
            roster.update_gone(vm for vm in listing.vms if vm.role == "entry")
            return workers

        print_figure(
            "list_time", count, min_cpu_seconds(decode_and_apply) * 1000, "ms"
        )
        retained = retained_bytes(
            lambda: msgspec.json.decode(raw, type=platform.VmList)
        )
        print_figure("list_memory", count, retained / 1024, "KB")


def measure_scheduling() -> None:
    """Measure one scheduling step of one data centre."""
    for workers, teams in ((60, 30), (240, 180), (571, 730)):
        group = fleet.Fleet()
        vms = [msgspec.structs.replace(vm, pool="p0") for vm in _vms(workers)]
        group.update_workers(vms)
        queue = taskqueues.WaitingTasks()
        for n in range(teams * 2):
            queue.add(_task(n, f"t{n % teams}"))
        shares = {f"t{n}": 1.0 for n in range(teams)}
        local_grant = escrow.LocalGrant()
        local_grant.grant = resources.UNLIMITED
        view = scheduling.View(
            "entry-1",
            shares,
            {},
            frozenset(),
            resources.Vector(1e6, 1e9, 1e4, 0.0),
            frozenset(),
            {},
        )

        def step() -> None:
            launch = scheduling.next_step(
                "p0",
                queue,
                group,
                sizes.Sizes(),
                lambda _: local_grant,
                view,
                lambda _: (),
                0.0,
                0.0,
            )
            assert isinstance(launch, scheduling.Launch)
            local_grant.release(launch.task.task)

        name = f"schedule_step_{teams}_teams"
        print_figure(name, workers, min_cpu_seconds(step) * 1000, "ms")


def _task(number: int, team: str) -> tasks.Task:
    return tasks.Task(
        f"dc1.b.{number}",
        team,
        "p0",
        "p0",
        requests.Priority.NORMAL,
        resources.Vector(2.0, 1_000.0, 0.0, 1.0),
        1.0,
        True,
        "any",
        0.0,
    )


def measure_state() -> None:
    """Measure tasks, histograms, rows of grants (pots) and VM records."""
    for count in (500, 2_000, 8_000):
        retained = retained_bytes(
            lambda: [_task(n, f"t{n % 730}") for n in range(count)]
        )
        print_figure("tasks_memory", count, retained / 1024, "KB")
    for count in (30, 180, 730):

        def record() -> metrics.Metrics:
            recorded = metrics.Metrics()
            for n in range(count):
                recorded.observe(
                    "request", 0.01, team=f"t{n}", priority="quick"
                )
            return recorded

        print_figure(
            "histograms_memory", count, retained_bytes(record) / 1024, "KB"
        )
    for members in (9, 60, 189):
        limit_row = escrow.LimitRow(
            resources.UNLIMITED,
            1,
            {
                f"entry-{n}": resources.Vector(1.0, 2.0, 0.0, 1.0)
                for n in range(members)
            },
        )
        print_figure(
            "pot_bytes", members, len(msgspec.json.encode(limit_row)), "B"
        )
    record_bytes = len(
        msgspec.json.encode(vmsteps.VmRecord("w1", "dc1", "p1"))
    )
    print_figure("vm_record_bytes", 1, record_bytes, "B")


def measure_processes() -> None:
    """Measure CPU, memory and traffic of 3, 6 and 9 idle entry processes.

    Calls are counted by the stand-in for the platform; the traffic is read
    from the kernel's loopback counters, so nothing else may use loopback.
    """
    for count in (3, 6, 9):
        deployment = launcher.Deployment(
            launcher.Plan(
                entries=count // 3,
                services=(("tally", 1),),
                poll_seconds=2.0,
            )
        )
        try:
            deployment.start()
            time.sleep(2.0)
            pid = deployment.pid("entry-north-0")
            time_before = request_bench.cpu_seconds(pid)
            bytes_before = _loopback_bytes()
            calls_before = deployment.set_faults(deployment.platform)
            time.sleep(IDLE_SECONDS)
            cpu_used = request_bench.cpu_seconds(pid) - time_before
            sent = _loopback_bytes() - bytes_before
            calls = deployment.set_faults(deployment.platform)
            print_figure(
                "idle_core", count, cpu_used / IDLE_SECONDS * 100, "percent"
            )
            memory = request_bench.memory_bytes(pid) / 1_048_576
            print_figure("idle_memory", count, memory, "MB")
            rate = sent / IDLE_SECONDS / count / 1024
            print_figure("idle_bytes_each", count, rate, "KB/s")
            for kind in ("reads", "writes"):
                per_process = (calls[kind] - calls_before[kind]) / count
                print_figure(
                    f"idle_{kind}_each",
                    count,
                    per_process / IDLE_SECONDS,
                    "1/s",
                )
        finally:
            deployment.stop()


def _loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    with open("/proc/net/dev") as stream:
        line = next(x for x in stream if x.strip().startswith("lo:"))
    return int(line.split()[1])


def main() -> int:
    """Measure everything."""
    if "--processes" in sys.argv:
        measure_processes()
        return 0
    measure_configuration()
    measure_digest()
    measure_list()
    measure_scheduling()
    measure_state()
    return 0


if __name__ == "__main__":
    sys.exit(main())
