"""Drives maintenance, waves and moves in one data centre."""

import itertools
import logging
import time
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import codes
from agaterudder import decisions
from agaterudder import lifecycles
from agaterudder import platform
from agaterudder import rebalance
from agaterudder import store
from agaterudder import utils
from agaterudder import vmsteps
from agaterudder import waves

LOG = logging.getLogger(__name__)

STEPS_PER_TURN = 20
DAY_SECONDS = 86_400.0
DUE_FRACTION = 0.75


class Maintenance:
    """Steps of one entry VM, for the VMs of its data centre."""

    __slots__ = (
        "_vm",
        "_data_centre",
        "_store",
        "_platform",
        "_decisions",
        "_steps",
        "_records",
        "_listed_pools",
        "_balance",
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
        self._steps = vmsteps.Steps(table, services, log, empty)
        self._records: dict[str, vmsteps.Record] = {}
        self._listed_pools: dict[str, str] = {}
        self._balance = rebalance.Rebalance()

    @property
    def steps(self) -> vmsteps.Steps:
        """Steps of single VMs."""
        return self._steps

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

    def records(self) -> dict[str, vmsteps.VmRecord]:
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
        rows = self._store.scan(
            f"{vmsteps.PREFIX}{self._data_centre}/", vmsteps.VmRecord
        )
        self._records = {
            row.value.vm: row for row in rows if row.value is not None
        }
        self._listed_pools = {vm.vm: vm.pool for vm in vms}
        if not drives:
            return
        around = vmsteps.surroundings(vms, known, data_centres_out, wall)
        self._enrol(around)
        self._forget_gone(vms)
        for row in list(self._records.values()):
            if row.value is not None and row.value.state != "serving":
                self._steps.advance(row, row.value, around)
        self._repair_pools()
        self._maintain_due(around)
        for wave in self._store.scan(waves.PREFIX, waves.Wave):
            if wave.value is not None and waves.unfinished(wave.value):
                self._drive(wave, wave.value, around)

    def _enrol(self, around: vmsteps.Surroundings) -> None:
        """Write a record for each worker that has none."""
        for vm in around.listed.values():
            if vm.data_centre != self._data_centre or vm.vm in self._records:
                continue
            record = vmsteps.VmRecord(
                vm.vm, vm.data_centre, vm.pool, maintained_at=around.wall
            )
            self._store.transact([store.Write(record.key, 0, record)])

    def _forget_gone(self, vms: t.Sequence[platform.Vm]) -> None:
        """Drop the records of VMs that never come back."""
        for vm in vms:
            row = self._records.get(vm.vm)
            if vm.state is not platform.VmState.GONE or row is None:
                continue
            writes = [store.replace(row, None)]
            if row.value is not None and row.value.budget:
                writes.append(self._steps.without(row.value.budget, vm.vm))
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

    def _maintain_due(self, around: vmsteps.Surroundings) -> None:
        """Begin to maintain the VM that has waited longest, if one is due."""
        due = due_records(
            self.records().values(), around.assurances, around.wall
        )
        for record in due[:STEPS_PER_TURN]:
            refused = self._steps.begin(
                record.vm, vmsteps.MAINTAIN, "", "", around
            )
            if refused is None or refused.code is codes.Result.BUDGET:
                return

    def balance(
        self,
        demands: t.Mapping[str, float],
        load: t.Mapping[str, float],
        around: vmsteps.Surroundings,
        now: float,
    ) -> codes.Refused | None:
        """Move one VM between pools if a need outlasts a move.

        :param demands: running and waiting work of each pool, in VMs.
        :param load: running work of each VM.
        :param now: monotonic time in seconds.
        """
        buffers = [
            name
            for name, pool in around.assurances.pools.items()
            if pool.buffer
        ]
        if not buffers:
            return None
        serving = [
            record
            for record in self.records().values()
            if record.state == "serving"
        ]
        pools = [
            rebalance.PoolDemand(
                name,
                sum(record.pool == name for record in serving),
                demands.get(name, 0.0),
                around.assurances.pools[name].spare,
                sum(
                    record.pool == name and record.home == buffers[0]
                    for record in serving
                ),
                sum(
                    record.target == name and record.state != "serving"
                    for record in self.records().values()
                ),
            )
            for name in around.assurances.pools
        ]
        present = [
            pool for pool in pools if pool.size or pool.pool == buffers[0]
        ]
        shift = self._balance.decide(present, buffers[0], now)
        if shift is None:
            return None
        return self._shift(shift, buffers[0], serving, load, around)

    def _shift(
        self,
        shift: rebalance.Shift,
        buffer: str,
        serving: t.Sequence[vmsteps.VmRecord],
        load: t.Mapping[str, float],
        around: vmsteps.Surroundings,
    ) -> codes.Refused | None:
        candidates = [
            record.vm
            for record in serving
            if record.pool == shift.source
            and (shift.source == buffer or record.home == buffer)
        ]
        if not candidates:
            return None
        vm = min(candidates, key=lambda name: (load.get(name, 0.0), name))
        self._steps.explain(vm, f"move to {shift.target}", shift.reason)
        mark = vmsteps.LENT if shift.source == buffer else ""
        return self._steps.begin(vm, vmsteps.MOVE, shift.target, mark, around)

    def _drive(
        self,
        row: store.Row[waves.Wave],
        wave: waves.Wave,
        around: vmsteps.Surroundings,
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
        around: vmsteps.Surroundings,
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
            refused = self._steps.begin(
                take.vm, vmsteps.MAINTAIN, "", wave.wave, around
            )
            if refused is not None:
                if refused.code is codes.Result.BUDGET:
                    return
                continue
            after = waves.taken(present.value, take.vm, around.wall)
            self._store.transact([store.replace(present, after)])
            present = self._store.read(row.key, waves.Wave)

    def roll_out(
        self, pool: str, author: str, around: vmsteps.Surroundings
    ) -> waves.Wave | codes.Refused:
        """Begin a wave over every VM of a pool."""
        if pool not in around.assurances.pools:
            return codes.Refused(codes.Result.NOT_FOUND, f"no pool {pool}")
        members = [vm.vm for vm in self._steps.members(pool, around)]
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


def due_records(
    records: t.Iterable[vmsteps.VmRecord],
    known: assurances.Assurances,
    wall: float,
) -> list[vmsteps.VmRecord]:
    """Return the serving VMs that are due, the longest waiting first.

    A VM is due before its time is up, so that the budget has room for all.

    :param wall: wall-clock time in seconds since the epoch.
    """
    due = [
        record
        for record in records
        if record.state == "serving"
        and record.pool in known.pools
        and wall - record.maintained_at
        >= known.pools[record.pool].maintain_days * DAY_SECONDS * DUE_FRACTION
    ]
    return sorted(due, key=lambda record: record.maintained_at)
