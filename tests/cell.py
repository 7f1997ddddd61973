"""Several entry processes in one Python process, on fakes.

Nothing runs in the background: a test calls the periodic work of each process
explicitly and in a chosen order, so that interleavings are deterministic.
"""

import time
import typing as t

import gevent
import msgspec

from agaterudder import configuration
from agaterudder import entry as entries
from agaterudder import keys
from agaterudder import membership
from agaterudder import messages
from agaterudder import settings
from agaterudder import store
from agaterudder import tasks
from standins import platform
from standins import worker
from tests import builders
from tests import fakes

PLATFORM = "127.0.0.1:1"
LEASE_SECONDS = 30.0


class Cell:
    """Entry processes, one platform and some workers.

    :ivar clock_offset: added to the clock of the workers, to expire leases.
    """

    def __init__(
        self,
        entry_vms: dict[str, str],
        workers: dict[str, str],
        assurances: str = builders.ASSURANCES,
        size: tuple[float, ...] = (16.0, 32_000.0, 0.0, 1_000.0),
    ) -> None:
        self.clock_offset = 0.0
        self.workers = {name: worker.Worker(list(size)) for name in workers}
        self.worker_transports: dict[str, list[fakes.WorkerTransport]] = {}
        self.transports: dict[str, fakes.PlatformTransport] = {}
        self.platform = platform.Platform(
            self._listed(entry_vms, workers, size), 0.0
        )
        self._centres = entry_vms
        self.entries: dict[str, entries.Entry] = {}
        self.write_assurances(assurances)
        for vm in entry_vms:
            self.start(vm)
        for vm in entry_vms:
            self.run_control_loops(vm)

    def _listed(
        self,
        entry_vms: dict[str, str],
        workers: dict[str, str],
        size: tuple[float, ...],
    ) -> list[dict[str, t.Any]]:
        listed = [
            _listed_vm(name, "entry", centre)
            for name, centre in entry_vms.items()
        ]
        for number, (name, centre) in enumerate(workers.items()):
            line = _listed_vm(name, "worker", centre)
            line.update(
                pool="count", size=list(size), rack=f"rack-{number // 2}"
            )
            listed.append(line)
        return listed

    def write_assurances(self, text: str) -> None:
        """Write a first version of the configuration."""
        first = configuration.Configuration(1, text)
        table = store.Store(fakes.PlatformTransport(self.platform))
        table.put_object("first", msgspec.json.encode(first))
        table.transact(
            [
                store.Write(
                    "configuration/head", 0, configuration.Head(1, "first")
                )
            ]
        )

    def start(self, vm: str) -> entries.Entry:
        """Start a process on a VM; an earlier one on it is replaced."""
        checked = settings.Settings(
            settings.Entry(
                vm, self._centres[vm], "127.0.0.1:1", "127.0.0.1:0"
            ),
            settings.Platform(PLATFORM),
            timing=settings.Timing(task_lease_seconds=LEASE_SECONDS),
        )
        transport = fakes.PlatformTransport(self.platform)
        transport.partitioned = (
            vm in self.transports and self.transports[vm].partitioned
        )
        self.transports[vm] = transport
        made = entries.Entry(
            checked,
            lambda address, _: self._connect(vm, address, transport),
        )
        made.store = store.Store(transport, backoff_seconds=0.0)
        self._use_store(made)
        self.entries[vm] = made
        self.run_control_loops(vm)
        return made

    def _use_store(self, made: entries.Entry) -> None:
        """Replace the store of every component by one without backoff."""
        for component in (
            made.control,
            made.execution.owned_batches,
            made.execution.held_grants,
            made.adopter,
            made.maintenance,
            made.maintenance.steps,
        ):
            component._store = made.store

    def _connect(
        self, vm: str, address: str, transport: fakes.PlatformTransport
    ) -> store.Transport:
        if address == PLATFORM:
            return transport
        made = fakes.WorkerTransport(
            self.workers[address],
            lambda: time.monotonic() + self.clock_offset,
        )
        self.worker_transports.setdefault(address, []).append(made)
        return made

    def run_control_loops(self, vm: str) -> None:
        """Run the periodic reads of one process once."""
        control_loops = self.entries[vm].control_loops
        control_loops.check_pause()
        control_loops.read_list()
        control_loops.read_registry()
        control_loops.read_head()
        control_loops.update_grants()

    def gossip(self) -> None:
        """Deliver the state of every process to every other process once."""
        for vm, sender in self.entries.items():
            digest = sender.digest()
            for name, receiver in self.entries.items():
                if name == vm:
                    continue
                if digest.version > receiver.in_force.version:
                    receiver.control.install(sender.in_force.configuration)
                for member, known in digest.versions.items():
                    receiver.roster.record_version(member, known)
                receiver.control.receive_digest(digest)

    def submit(self, vm: str, count: int, **fields: t.Any) -> list[str]:
        """Submit tasks to a process; return their identifiers."""
        owned = self.entries[vm].execution.owned_batches
        fields.setdefault("submitted_at", time.time())
        group = [builders.task("", **fields) for _ in range(count)]
        calls = [gevent.spawn(owned.submit, task) for task in group]
        gevent.sleep(0)
        pending = []
        while not owned._pending.empty():
            pending.append(owned._pending.get_nowait())
        owned._commit(pending)
        gevent.joinall(calls)
        return [getattr(call.value, "task", "") for call in calls]

    def run_tasks(self, vm: str, turns: int = 3) -> None:
        """Let a process get grants, start tasks and handle reports."""
        entry = self.entries[vm]
        for _ in range(turns):
            entry.execution.schedule(time.monotonic(), time.time())
            entry.execution._starts.join()
            entry.control_loops.update_grants()
            for name in entry.execution._workers_to_renew():
                entry.execution.renew(name)
            gevent.sleep(0)

    def task(self, name: str) -> tasks.Task:
        """Return a task as its owner has it."""
        for entry in self.entries.values():
            found = entry.execution.owned_batches.find(name)
            if found is not None:
                return found
        raise AssertionError(f"no owner of {name}")

    def running(self) -> int:
        """Return the number of tasks that run on the workers."""
        now = time.monotonic() + self.clock_offset
        for each in self.workers.values():
            each.tick(now)
        return sum(
            task.state == "running"
            for each in self.workers.values()
            for task in each.tasks.values()
        )

    def executions(self, task: str) -> int:
        """Return how often a task was started, over all workers."""
        return sum(each.executed[task] for each in self.workers.values())

    def kill(self, vm: str) -> None:
        """Kill a process without a shutdown."""
        del self.entries[vm]

    def report_gone(self, vm: str) -> None:
        """Let the platform report a VM as gone."""
        self.platform.vms[vm]["state"] = "gone"
        for name in self.entries:
            self.entries[name].control_loops.read_list()

    def key(self, team: str) -> str:
        """Grant a key through the first process; return it."""
        made = keys.create(team)
        first = next(iter(self.entries.values()))
        first.control.change(
            configuration.GrantKey(made.record), "ane", time.time(), 0.0
        )
        self.gossip()
        return made.presented

    def member(self, vm: str) -> messages.MemberVersion | None:
        """Return what the first process knows of a member."""
        first = next(iter(self.entries.values()))
        return first.roster.versions.get(vm)

    def registered(self) -> list[str]:
        """Return the VMs of the registry."""
        table = store.Store(fakes.PlatformTransport(self.platform))
        rows = table.scan(membership.PREFIX, membership.Member)
        return [row.value.vm for row in rows if row.value]


def _listed_vm(name: str, role: str, centre: str) -> dict[str, t.Any]:
    return {
        "vm": name,
        "role": role,
        "data_centre": centre,
        "rack": "rack-0",
        "address": name,
        "state": "live",
    }
