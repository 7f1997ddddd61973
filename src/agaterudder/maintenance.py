"""Drives maintenance and moves of worker VMs.

Each step is recorded before it is carried out, and carrying it out again
does no harm, so that whoever finds a half-done step finishes it.
"""

import dataclasses
import itertools
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
STEPS_PER_TURN = 20
PARTS_PER_TURN = 3


class VmRecord(msgspec.Struct, frozen=True):
    """Row that says in which pool a VM is, and what is done with it.

    :ivar state: state of the chart ``charts/vm.yaml``.
    :ivar intent: maintain or move, empty while serving.
    :ivar operation: identifier given to the platform's operations.
    :ivar target: pool that a move leads to.
    :ivar budget: pool whose budget counts the VM as out.
    :ivar reboots: number of reboots before the step.
    :ivar maintained_at: wall-clock time of the last maintenance.
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

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{PREFIX}{self.data_centre}/{self.vm}"


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What the decisions of one turn are made from."""

    listed: dict[str, platform.Vm]
    assurances: assurances.Assurances
    data_centres_out: frozenset[str]
    wall: float


Record = store.Row[VmRecord]


class Maintenance:
    """Steps of one entry VM, for the VMs of its data centre."""

    __slots__ = (
        "_vm",
        "_data_centre",
        "_store",
        "_platform",
        "_decisions",
        "_empty",
        "_records",
        "_listed_pools",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        table: store.Store,
        services: platform.Platform,
        log: decisions.Decisions,
        empty: t.Callable[[str], bool],
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._store = table
        self._platform = services
        self._decisions = log
        self._empty = empty
        self._records: dict[str, Record] = {}
        self._listed_pools: dict[str, str] = {}

    def held_back(self) -> list[str]:
        """Return the VMs that should get no new work.

        A VM that the list still has in another pool than its row gets
        none either.
        """
        return [
            name
            for name, row in self._records.items()
            if row.value is not None
            and (
                row.value.state != "serving"
                or self._listed_pools.get(name, row.value.pool)
                != row.value.pool
            )
        ]

    @property
    def under_way(self) -> bool:
        """Whether a step is under way in this data centre."""
        return any(
            row.value is not None and row.value.state != "serving"
            for row in self._records.values()
        )

    def records(self) -> dict[str, VmRecord]:
        """Return the records of this data centre, as last read."""
        return {
            name: row.value
            for name, row in self._records.items()
            if row.value is not None
        }

    def turn(
        self,
        vms: t.Sequence[platform.Vm],
        known: assurances.Assurances,
        data_centres_out: frozenset[str],
        drives: bool,
        wall: float,
    ) -> None:
        """Read the records; advance steps and waves if this VM drives.

        :param drives: whether this VM is the one of its data centre that
            acts; several acting at once is safe but wasteful.
        :raises StoreUnavailable: when the platform is away.
        """
        rows = self._store.scan(f"{PREFIX}{self._data_centre}/", VmRecord)
        self._records = {
            row.value.vm: row for row in rows if row.value is not None
        }
        self._listed_pools = {vm.vm: vm.pool for vm in vms}
        if not drives:
            return
        listed = {
            vm.vm: vm
            for vm in vms
            if vm.role == "worker" and vm.state is not platform.VmState.GONE
        }
        around = Surroundings(listed, known, data_centres_out, wall)
        self._enrol(around)
        self._forget_gone(vms)
        for row in list(self._records.values()):
            if row.value is not None and row.value.state != "serving":
                self._advance(row, row.value, around)
        self._repair_pools()
        for wave in self._store.scan(waves.PREFIX, waves.Wave):
            if wave.value is not None and waves.unfinished(wave.value):
                self._drive(wave, wave.value, around)

    def _enrol(self, around: Surroundings) -> None:
        """Write a record for each worker that has none."""
        for vm in around.listed.values():
            if vm.data_centre != self._data_centre or vm.vm in self._records:
                continue
            record = VmRecord(vm.vm, vm.data_centre, vm.pool)
            self._store.transact([store.Write(record.key, 0, record)])

    def _forget_gone(self, vms: t.Sequence[platform.Vm]) -> None:
        """Drop the records of VMs that never come back."""
        for vm in vms:
            row = self._records.get(vm.vm)
            if vm.state is not platform.VmState.GONE or row is None:
                continue
            writes = [store.replace(row, None)]
            if row.value is not None and row.value.budget:
                writes.append(self._without(row.value.budget, vm.vm))
            self._store.transact(writes)

    def _repair_pools(self) -> None:
        """Assign again what a late call of a paused process undid."""
        for name, row in self._records.items():
            record = row.value
            if record is None or record.state != "serving":
                continue
            if self._listed_pools.get(name, record.pool) != record.pool:
                operation = f"repair-{utils.new_identifier()}"
                self._platform.assign_pool(name, record.pool, operation)

    def _without(self, pool: str, vm: str) -> store.Write:
        """Return the write that takes a VM out of a budget's row."""
        budget = self._store.read(budgets.PREFIX + pool, budgets.Budget)
        present = budget.value or budgets.Budget()
        out = {k: why for k, why in present.out.items() if k != vm}
        return store.replace(budget, budgets.Budget(out))

    # Steps

    def begin(
        self,
        vm: str,
        intent: str,
        target: str,
        wave: str,
        around: Surroundings,
    ) -> codes.Refused | None:
        """Take a VM out of service, when the budget allows.

        The budget's row and the VM's row change in one transaction.
        """
        listed = around.listed.get(vm)
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
        if target and target not in around.assurances.pools:
            return codes.Refused(codes.Result.NOT_FOUND, f"no pool {target}")
        return self._take(row, record, listed, intent, target, wave, around)

    def _take(
        self,
        row: Record,
        record: VmRecord,
        listed: platform.Vm,
        intent: str,
        target: str,
        wave: str,
        around: Surroundings,
    ) -> codes.Refused | None:
        budget = self._store.read(budgets.PREFIX + record.pool, budgets.Budget)
        present = budget.value or budgets.Budget()
        assurance = around.assurances.pools.get(
            record.pool, assurances.PoolAssurance()
        )
        pool = budgets.view(
            self._members(record.pool, around),
            present,
            around.data_centres_out,
        )
        allowed = budgets.decide(assurance, pool, listed)
        source = around.assurances.source("pool", record.pool)
        if isinstance(allowed, codes.Refused):
            self._explain(record.vm, f"not taken: {allowed.reason}", source)
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
        taken = budgets.Budget({**present.out, record.vm: intent})
        outcome = self._store.transact(
            [store.replace(row, after), store.replace(budget, taken)]
        )
        match outcome:
            case store.Committed():
                self._explain(record.vm, f"taken to {intent}", source)
                self._records[record.vm] = store.Row(
                    row.key, row.version + 1, after, row.operations
                )
                return None
            case store.Conflicted(key=key):
                return codes.Refused(
                    codes.Result.CONFLICT, f"{key} changed meanwhile"
                )
            case codes.Refused():
                return outcome

    def _members(self, pool: str, around: Surroundings) -> list[platform.Vm]:
        """Return the VMs whose records say that they are in a pool.

        A VM with a record that the list does not name counts as down.
        """
        rows = self._store.scan(PREFIX, VmRecord)
        return [
            around.listed.get(row.value.vm) or _missing(row.value)
            for row in rows
            if row.value is not None and row.value.pool == pool
        ]

    def _advance(
        self, row: Record, record: VmRecord, around: Surroundings
    ) -> None:
        """Carry out the next parts of a step; each may be repeated."""
        vm = around.listed.get(record.vm)
        if vm is None:
            return
        for _ in range(PARTS_PER_TURN):
            try:
                event = self._carry_out(record, vm, around)
            except exceptions.StoreUnavailable as error:
                LOG.info(
                    "step not carried out",
                    extra={"step_vm": record.vm, "why": error},
                )
                return
            if event == "admitted":
                self._admit(row, record, around)
            if event in ("", "admitted"):
                return
            record = self._after(record, event)
            outcome = self._store.transact([store.replace(row, record)])
            if not isinstance(outcome, store.Committed):
                return
            version = outcome.versions[row.key]
            row = store.Row(row.key, version, record, row.operations)

    def _carry_out(
        self, record: VmRecord, vm: platform.Vm, around: Surroundings
    ) -> str:
        """Call the platform; return the event that has happened, if any."""
        operation = f"{record.operation}-{record.state}"
        match record.state:
            case "draining":
                if self._must_abandon(record, around):
                    return "abandon"
                self._platform.drain(vm.vm, operation)
                emptied = vm.state is not platform.VmState.LIVE
                if emptied and self._empty(vm.vm):
                    return "emptied"
            case "empty":
                return "reboot" if record.intent == MAINTAIN else "join"
            case "rebooting":
                self._platform.reboot(vm.vm, operation)
                back = vm.state is not platform.VmState.DOWN
                if vm.reboots > record.reboots and back:
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

    def _must_abandon(self, record: VmRecord, around: Surroundings) -> bool:
        """Return whether failures exceeded the budget during the drain."""
        assurance = around.assurances.pools.get(record.pool)
        if assurance is None:
            return False
        budget = self._store.read(budgets.PREFIX + record.pool, budgets.Budget)
        pool = budgets.view(
            self._members(record.pool, around),
            budget.value or budgets.Budget(),
            around.data_centres_out,
        )
        if record.data_centre in around.data_centres_out:
            return False
        return budgets.exceeded(assurance, pool) is not None

    def _after(self, record: VmRecord, event: str) -> VmRecord:
        state = lifecycles.load("vm").next_state(record.state, event)
        pool = record.target if event == "join" else record.pool
        maintained = (
            time.time() if event == "rebooted" else (record.maintained_at)
        )
        intent = "" if event == "abandon" else record.intent
        return msgspec.structs.replace(
            record,
            state=state,
            pool=pool,
            maintained_at=maintained,
            intent=intent,
        )

    def _admit(
        self, row: Record, record: VmRecord, around: Surroundings
    ) -> None:
        """Let a VM serve again and give its place in the budget back."""
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
            writes.append(self._without(record.budget, record.vm))
        wave = self._store.read(waves.PREFIX + record.wave, waves.Wave)
        if record.wave and wave.value is not None:
            finished = record.intent == MAINTAIN
            writes.append(
                store.replace(
                    wave, _wave_after(wave.value, record.vm, finished, around)
                )
            )
        self._store.transact(writes)
        self._explain(record.vm, "serves again", record.why)

    # Waves

    def _drive(
        self,
        row: store.Row[waves.Wave],
        wave: waves.Wave,
        around: Surroundings,
    ) -> None:
        states = {name: vm.state for name, vm in around.listed.items()}
        checked = waves.checked(wave, states, around.wall)
        gone = [vm for vm in checked.waiting if vm not in around.listed]
        if gone:
            left = [vm for vm in checked.waiting if vm not in gone]
            checked = msgspec.structs.replace(checked, waiting=left)
        if not checked.waiting and not checked.under_way:
            if lifecycles.load("wave").allows(checked.state, "finish"):
                checked = waves.moved(
                    checked, "finish", "no VM is left", around.wall
                )
        if checked != wave:
            self._explain_wave(checked)
            self._store.transact([store.replace(row, checked)])
            return
        self._take_next(row, wave, around)

    def _take_next(
        self,
        row: store.Row[waves.Wave],
        wave: waves.Wave,
        around: Surroundings,
    ) -> None:
        here = {
            name: vm
            for name, vm in around.listed.items()
            if vm.data_centre == self._data_centre
        }
        choice = waves.next_vm(wave, here, {}, around.wall)
        if isinstance(choice, waves.Wait):
            return
        most = 1 if wave.state == "paused" else STEPS_PER_TURN
        present = row
        for take in itertools.islice(choice, most):
            if present.value is None:
                return
            refused = self.begin(take.vm, MAINTAIN, "", wave.wave, around)
            if refused is not None:
                if refused.code is codes.Result.BUDGET:
                    return
                continue
            after = waves.taken(present.value, take.vm, around.wall)
            self._store.transact([store.replace(present, after)])
            present = self._store.read(row.key, waves.Wave)

    def roll_out(
        self, pool: str, author: str, around: Surroundings
    ) -> waves.Wave | codes.Refused:
        """Begin a wave over every VM of a pool."""
        if pool not in around.assurances.pools:
            return codes.Refused(codes.Result.NOT_FOUND, f"no pool {pool}")
        members = [vm.vm for vm in self._members(pool, around)]
        wave = waves.Wave(
            utils.new_identifier(),
            pool,
            author,
            around.wall,
            lifecycles.load("wave").initial,
            sorted(members),
            changed_at=around.wall,
        )
        outcome = self._store.transact(
            [store.Write(waves.PREFIX + wave.wave, 0, wave)]
        )
        if isinstance(outcome, store.Committed):
            self._explain_wave(wave)
            return wave
        if isinstance(outcome, codes.Refused):
            return outcome
        return codes.Refused(codes.Result.CONFLICT, "send it again")

    def read_wave(self, name: str) -> waves.Wave | codes.Refused:
        """Return a wave as its row says."""
        row = self._store.read(waves.PREFIX + name, waves.Wave)
        if row.value is None:
            return codes.Refused(codes.Result.NOT_FOUND, f"no wave {name}")
        return row.value

    def read_record(self, data_centre: str, vm: str) -> VmRecord | None:
        """Return the record of a VM as its row says."""
        return self._store.read(f"{PREFIX}{data_centre}/{vm}", VmRecord).value

    def _explain(self, vm: str, what: str, source: str) -> None:
        self._decisions.record(
            "vm",
            vm,
            decisions.Decision(
                time.time(), what, "the list and its row", source
            ),
        )

    def _explain_wave(self, wave: waves.Wave) -> None:
        inputs = (
            f"{len(wave.done)} done, {len(wave.under_way)} under way, "
            f"{len(wave.waiting)} waiting, {len(wave.failed)} failed"
        )
        self._decisions.record(
            "wave",
            wave.wave,
            decisions.Decision(
                time.time(), f"{wave.state} {wave.why}".strip(), inputs
            ),
        )


def _wave_after(
    wave: waves.Wave, vm: str, finished: bool, around: Surroundings
) -> waves.Wave:
    if finished:
        return waves.returned(wave, vm, around.wall)
    under_way = {k: v for k, v in wave.under_way.items() if k != vm}
    return msgspec.structs.replace(
        wave, under_way=under_way, waiting=[*wave.waiting, vm]
    )


def _missing(record: VmRecord) -> platform.Vm:
    return platform.Vm(
        record.vm,
        "worker",
        record.data_centre,
        "",
        "",
        platform.VmState.DOWN,
        record.pool,
    )
