"""Measures slopes for docs/CAPACITY.md: ``python -m bench.capacity``.

Each line gives a figure at three sizes, measured in this process on the
product's own code; the page extends the slopes to the size of two years.
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
from bench import requests as measured
from standins import launcher

REPEATS = 20
IDLE_SECONDS = 8.0


def seconds_of(action: t.Callable[[], t.Any]) -> float:
    """Return the processor seconds of one call, the least of several."""
    best = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        action()
        best = min(best, time.process_time() - started_at)
    return best


def bytes_of(build: t.Callable[[], t.Any]) -> int:
    """Return the memory that what is built keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def show(name: str, size: int, value: float, unit: str) -> None:
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
    """Measure a version: bytes, time to parse and to install, memory."""
    for teams in (30, 180, 730):
        text = _assurance_text(teams)
        records = [keys.create(f"t{n}").record for n in range(teams)]
        made = configuration.Configuration(1, text, records)
        raw = msgspec.msgpack.encode(made)
        show("configuration_bytes", teams, len(raw) / 1024, "KB")
        seconds = seconds_of(lambda: _parse(text))
        show("configuration_parse", teams, seconds * 1000, "ms")

        def install() -> configuration.ActiveConfiguration:
            assurances.parse.cache_clear()
            in_force = configuration.ActiveConfiguration()
            in_force.install(made)
            return in_force

        show("configuration_memory", teams, bytes_of(install) / 1024, "KB")


def measure_digest() -> None:
    """Measure a heartbeat: bytes and time to write and read."""
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
            beat = messages.Heartbeat(1, 1, digest)
            raw = msgspec.msgpack.encode(beat)
            name = f"heartbeat_of_{members}_members"
            show(f"{name}_bytes", teams, len(raw) / 1024, "KB")

            def both() -> None:
                data = msgspec.msgpack.encode(beat)
                msgspec.msgpack.decode(data, type=messages.Message)

            show(f"{name}_time", teams, seconds_of(both) * 1000, "ms")


def measure_list() -> None:
    """Measure a reading of the platform's list."""
    for count in (500, 3_000, 12_000):
        raw = msgspec.json.encode(platform.VmList(_vms(count)))
        show("list_bytes", count, len(raw) / 1024, "KB")

        def take() -> fleet.Fleet:
            listing = msgspec.json.decode(raw, type=platform.VmList)
            made = fleet.Fleet()
            made.update_workers(
                vm for vm in listing.vms if vm.data_centre == "dc1"
            )
            roster = membership.Roster()
            roster.update_gone(vm for vm in listing.vms if vm.role == "entry")
            return made

        show("list_time", count, seconds_of(take) * 1000, "ms")
        held = bytes_of(lambda: msgspec.json.decode(raw, type=platform.VmList))
        show("list_memory", count, held / 1024, "KB")


def measure_scheduling() -> None:
    """Measure one scheduling step of one data centre."""
    for workers, teams in ((60, 30), (240, 180), (571, 730)):
        group = fleet.Fleet()
        vms = [msgspec.structs.replace(vm, pool="p0") for vm in _vms(workers)]
        group.update_workers(vms)
        queue = taskqueues.WaitingTasks()
        for n in range(teams * 2):
            queue.add(_task(n, f"t{n % teams}"))
        known = {f"t{n}": 1.0 for n in range(teams)}
        local_grant = escrow.LocalGrant()
        local_grant.grant = resources.UNLIMITED
        view = scheduling.View(
            "entry-1",
            known,
            {},
            frozenset(),
            resources.Vector(1e6, 1e9, 1e4, 0.0),
            frozenset(),
            {},
        )

        def step() -> None:
            found = scheduling.next_step(
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
            assert isinstance(found, scheduling.Launch)
            local_grant.release(found.task.task)

        name = f"schedule_step_{teams}_teams"
        show(name, workers, seconds_of(step) * 1000, "ms")


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
    """Measure memory of tasks, histograms, limit rows and VM records."""
    for count in (500, 2_000, 8_000):
        held = bytes_of(
            lambda: [_task(n, f"t{n % 730}") for n in range(count)]
        )
        show("tasks_memory", count, held / 1024, "KB")
    for count in (30, 180, 730):

        def record() -> metrics.Metrics:
            made = metrics.Metrics()
            for n in range(count):
                made.observe("request", 0.01, team=f"t{n}", priority="quick")
            return made

        show("histograms_memory", count, bytes_of(record) / 1024, "KB")
    for members in (9, 60, 189):
        limit_row = escrow.LimitRow(
            resources.UNLIMITED,
            1,
            {
                f"entry-{n}": resources.Vector(1.0, 2.0, 0.0, 1.0)
                for n in range(members)
            },
        )
        show("pot_bytes", members, len(msgspec.json.encode(limit_row)), "B")
    record_bytes = len(
        msgspec.json.encode(vmsteps.VmRecord("w1", "dc1", "p1"))
    )
    show("vm_record_bytes", 1, record_bytes, "B")


def measure_processes() -> None:
    """Measure idle entry processes: time, memory and bytes by their number.

    Bytes are counted at the stand-in of the platform and, for the streams,
    taken from the kernel's counters of loopback, without other load.
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
            process = deployment.process("entry-north-0")
            time_before = measured.cpu_seconds(process)
            bytes_before = _loopback_bytes()
            asked_before = deployment.fault(deployment.platform)
            time.sleep(IDLE_SECONDS)
            used = measured.cpu_seconds(process) - time_before
            sent = _loopback_bytes() - bytes_before
            asked = deployment.fault(deployment.platform)
            show("idle_core", count, used / IDLE_SECONDS * 100, "percent")
            memory = measured.memory_bytes(process) / 1_048_576
            show("idle_memory", count, memory, "MB")
            rate = sent / IDLE_SECONDS / count / 1024
            show("idle_bytes_each", count, rate, "KB/s")
            for kind in ("reads", "writes"):
                each = (asked[kind] - asked_before[kind]) / count
                show(f"idle_{kind}_each", count, each / IDLE_SECONDS, "1/s")
        finally:
            deployment.stop()


def _loopback_bytes() -> int:
    """Return the bytes that loopback has carried."""
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
