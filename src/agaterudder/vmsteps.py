"""Steps that take one worker VM out of service and bring it back.

A step is a sequence of states. Each state is recorded before its action is
performed, and the actions are idempotent, so that any entry VM can resume an
unfinished step.
"""

import dataclasses
import logging
import time
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import budgets
from agaterudder import codes
from agaterudder import decisions
from agaterudder import exceptions
from agaterudder import lifecycles
from agaterudder import platform
from agaterudder import store
from agaterudder import utils
from agaterudder import waves

LOG = logging.getLogger(__name__)

PREFIX = "vms/"
MAINTAIN = "maintain"
MOVE = "move"
# Stands in place of a wave in the record of a VM lent by the buffer pool.
LOAN = "lent"
MAX_TRANSITIONS_PER_RUN = 3


class VmRecord(msgspec.Struct, frozen=True):
    """Row with the pool of a VM and the step that it is in.

    :ivar state: state in the state chart ``charts/vm.yaml``.
    :ivar intent: maintain or move, empty while serving.
    :ivar operation: identifier given to the platform's operations.
    :ivar target: pool that a move leads to, empty for maintenance.
    :ivar wave: wave that the step belongs to, ``LOAN`` for a loan, or empty.
    :ivar budget: pool whose budget counts the VM as out.
    :ivar reboots: reboot count of the VM before the step.
    :ivar maintained_at: wall-clock time of the last maintenance.
    :ivar home: buffer pool that lent the VM, empty for others.
    """

    vm: str
    data_centre: str
    pool: str
    state: str = "serving"
    intent: str = ""
    operation: str = ""
    target: str = ""
    wave: str = ""
    budget: str = ""
    reboots: int = 0
    maintained_at: float = 0.0
    why: str = ""
    home: str = ""

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{PREFIX}{self.data_centre}/{self.vm}"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Snapshot of the inputs to maintenance decisions.

    :ivar listed: workers on the platform's list that are not gone, by VM.
    :ivar assurances: assurances of the configuration in force.
    :ivar data_centres_out: data centres that operators took out of service.
    :ivar wall: wall-clock time in seconds since the epoch.
    """

    listed: dict[str, platform.Vm]
    assurances: assurances.Assurances
    data_centres_out: frozenset[str]
    wall: float


def snapshot(
    vms: t.Iterable[platform.Vm],
    known: assurances.Assurances,
    data_centres_out: frozenset[str],
    wall: float,
) -> Snapshot:
    """Return a snapshot of the inputs to maintenance decisions.

    :param wall: wall-clock time in seconds since the epoch.
    """
    listed = {
        vm.vm: vm
        for vm in vms
        if vm.role == "worker" and vm.state is not platform.VmState.GONE
    }
    return Snapshot(listed, known, data_centres_out, wall)


Record = store.Row[VmRecord]


class Steps:
    """Steps of the VMs; any entry VM may perform any part of a step.

    :param empty: returns whether a worker no longer runs anything.
    """

    __slots__ = ("_store", "_platform", "_decisions", "_empty")

    def __init__(
        self,
        table: store.Store,
        platform_client: platform.Platform,
        decision_log: decisions.Decisions,
        empty: t.Callable[[str], bool],
    ) -> None:
        self._store = table
        self._platform = platform_client
        self._decisions = decision_log
        self._empty = empty

    def budget_without(self, pool: str, vm: str) -> store.Write:
        """Return the write that removes a VM from the budget of a pool."""
        budget = self._store.read(budgets.PREFIX + pool, budgets.Budget)
        current = budget.value or budgets.Budget()
        out = {k: why for k, why in current.out.items() if k != vm}
        return store.replace(budget, budgets.Budget(out))

    # Steps

    def begin(
        self,
        vm: str,
        intent: str,
        target: str,
        wave: str,
        snapshot: Snapshot,
    ) -> codes.Refused | None:
        """Begin to take a VM out of service, if the budget of its pool allows.

        The rows of the budget and of the VM change in one transaction.
        """
        listed = snapshot.listed.get(vm)
        if listed is None:
            return codes.Refused(codes.Result.NOT_FOUND, f"no worker {vm}")
        row = self._store.read(f"{PREFIX}{listed.data_centre}/{vm}", VmRecord)
        record = row.value
        if record is None:
            return codes.Refused(
                codes.Result.CONFLICT, f"{vm} has no record yet"
            )
        if record.state != "serving":
            return codes.Refused(
                codes.Result.CONFLICT, f"{vm} is {record.state}"
            )
        if target and target not in snapshot.assurances.pools:
            return codes.Refused(codes.Result.NOT_FOUND, f"no pool {target}")
        return self._take_out(
            row, record, listed, intent, target, wave, snapshot
        )

    def _take_out(
        self,
        row: Record,
        record: VmRecord,
        listed: platform.Vm,
        intent: str,
        target: str,
        wave: str,
        snapshot: Snapshot,
    ) -> codes.Refused | None:
        budget = self._store.read(budgets.PREFIX + record.pool, budgets.Budget)
        current = budget.value or budgets.Budget()
        assurance = snapshot.assurances.pools.get(
            record.pool, assurances.PoolAssurance()
        )
        pool = budgets.view(
            self.members(record.pool, snapshot),
            current,
            snapshot.data_centres_out,
        )
        allowed = budgets.decide(assurance, pool, listed)
        source = snapshot.assurances.source("pool", record.pool)
        if isinstance(allowed, codes.Refused):
            self.explain(record.vm, f"not taken: {allowed.reason}", source)
            return allowed
        after = msgspec.structs.replace(
            record,
            state=lifecycles.load("vm").next_state(record.state, "drain"),
            intent=intent,
            operation=utils.new_identifier(),
            target=target,
            wave=wave,
            budget=record.pool,
            reboots=listed.reboots,
            why=f"{intent}: {allowed.out} out by {source}",
        )
        budget_after = budgets.Budget({**current.out, record.vm: intent})
        outcome = self._store.transact(
            [store.replace(row, after), store.replace(budget, budget_after)]
        )
        match outcome:
            case store.Committed():
                self.explain(record.vm, f"taken to {intent}", source)
                return None
            case store.Conflicted(key=key):
                return codes.Refused(
                    codes.Result.CONFLICT, f"{key} changed meanwhile"
                )
            case codes.Refused():
                return outcome

    def members(self, pool: str, snapshot: Snapshot) -> list[platform.Vm]:
        """Return the VMs that belong to a pool by their records.

        A VM with a record that is missing from the list counts as down.
        """
        rows = self._store.scan(PREFIX, VmRecord)
        return [
            snapshot.listed.get(row.value.vm) or _vm_not_listed(row.value)
            for row in rows
            if row.value is not None and row.value.pool == pool
        ]

    def advance(
        self, row: Record, record: VmRecord, snapshot: Snapshot
    ) -> None:
        """Perform the next actions of a step, each of them idempotent."""
        vm = snapshot.listed.get(record.vm)
        if vm is None:
            return
        for _ in range(MAX_TRANSITIONS_PER_RUN):
            try:
                event = self._perform(record, vm, snapshot)
            except exceptions.StoreUnavailable as error:
                LOG.info(
                    "platform call of a VM step failed; it is retried",
                    extra={"step_vm": record.vm, "why": error},
                )
                return
            if event == "admitted":
                self._admit(row, record, snapshot)
            if event in ("", "admitted"):
                return
            record = self._transition(record, event)
            outcome = self._store.transact([store.replace(row, record)])
            if not isinstance(outcome, store.Committed):
                return
            version = outcome.versions[row.key]
            row = store.Row(row.key, version, record, row.operations)

    def _perform(
        self, record: VmRecord, vm: platform.Vm, snapshot: Snapshot
    ) -> str:
        """Call the platform; return the event that occurred, or ``""``."""
        operation = f"{record.operation}-{record.state}"
        match record.state:
            case "draining":
                if self._must_abandon(record, snapshot):
                    return "abandon"
                self._platform.drain(vm.vm, operation)
                draining = vm.state is not platform.VmState.LIVE
                if draining and self._empty(vm.vm):
                    return "emptied"
            case "empty":
                return "reboot" if record.intent == MAINTAIN else "join"
            case "rebooting":
                self._platform.reboot(vm.vm, operation)
                is_up = vm.state is not platform.VmState.DOWN
                if vm.reboots > record.reboots and is_up:
                    return "rebooted"
            case "joining":
                self._platform.assign_pool(vm.vm, record.pool, operation)
                if vm.pool == record.pool:
                    return "joined"
            case "returning":
                self._platform.undrain(vm.vm, operation)
                if vm.state is platform.VmState.LIVE:
                    return "admitted"
        return ""

    def _must_abandon(self, record: VmRecord, snapshot: Snapshot) -> bool:
        """Return whether the pool exceeds its budget during the drain."""
        assurance = snapshot.assurances.pools.get(record.pool)
        if assurance is None:
            return False
        budget = self._store.read(budgets.PREFIX + record.pool, budgets.Budget)
        pool = budgets.view(
            self.members(record.pool, snapshot),
            budget.value or budgets.Budget(),
            snapshot.data_centres_out,
        )
        # The VM counts as out in any case, so its return would not help.
        if record.data_centre in snapshot.data_centres_out:
            return False
        return budgets.exceeded(assurance, pool) is not None

    def _transition(self, record: VmRecord, event: str) -> VmRecord:
        state = lifecycles.load("vm").next_state(record.state, event)
        pool = record.target if event == "join" else record.pool
        home = self._home_pool(record) if event == "join" else record.home
        maintained = (
            time.time() if event == "rebooted" else record.maintained_at
        )
        intent = "" if event == "abandon" else record.intent
        return msgspec.structs.replace(
            record,
            state=state,
            pool=pool,
            maintained_at=maintained,
            intent=intent,
            home=home,
        )

    def _home_pool(self, record: VmRecord) -> str:
        """Return the buffer pool that lends the VM after a move, or ``""``."""
        if record.wave == LOAN:
            return record.pool
        return "" if record.target == record.home else record.home

    def _admit(
        self, row: Record, record: VmRecord, snapshot: Snapshot
    ) -> None:
        """Return a VM to service and remove it from the budget."""
        after = msgspec.structs.replace(
            record,
            state=lifecycles.load("vm").next_state(record.state, "admitted"),
            intent="",
            operation="",
            target="",
            wave="",
            budget="",
        )
        writes = [store.replace(row, after)]
        if record.budget:
            writes.append(self.budget_without(record.budget, record.vm))
        wave = self._store.read(waves.PREFIX + record.wave, waves.Wave)
        if wave.value is not None:
            finished = record.intent == MAINTAIN
            writes.append(
                store.replace(
                    wave,
                    _wave_after(wave.value, record.vm, finished, snapshot),
                )
            )
        self._store.transact(writes)
        self.explain(record.vm, "serves again", record.why)

    # Records and decisions

    def read_record(self, data_centre: str, vm: str) -> VmRecord | None:
        """Read the record of a VM from its row."""
        return self._store.read(f"{PREFIX}{data_centre}/{vm}", VmRecord).value

    def explain(self, vm: str, what: str, source: str) -> None:
        self._decisions.record(
            "vm",
            vm,
            decisions.Decision(
                time.time(), what, "the list and its row", source
            ),
        )


def _wave_after(
    wave: waves.Wave, vm: str, finished: bool, snapshot: Snapshot
) -> waves.Wave:
    if finished:
        return waves.with_vm_returned(wave, vm, snapshot.wall)
    under_way = {k: v for k, v in wave.under_way.items() if k != vm}
    return msgspec.structs.replace(
        wave, under_way=under_way, waiting=[*wave.waiting, vm]
    )


def _vm_not_listed(record: VmRecord) -> platform.Vm:
    return platform.Vm(
        record.vm,
        "worker",
        record.data_centre,
        "",
        "",
        platform.VmState.DOWN,
        record.pool,
    )
