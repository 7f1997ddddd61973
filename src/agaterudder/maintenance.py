"""Maintenance, maintenance waves and pool moves in one data centre."""

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

MAX_STEPS_PER_PASS = 20
DAY_SECONDS = 86_400.0
DUE_FRACTION = 0.75


class Maintenance:
    """Maintains and moves the worker VMs of one data centre.

    :param is_empty: whether nothing runs on a worker any more.
    """

    __slots__ = (
        "_vm",
        "_data_centre",
        "_store",
        "_platform",
        "_decisions",
        "_steps",
        "_records",
        "_listed_pools",
        "_rebalance",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        table: store.Store,
        platform_client: platform.Platform,
        decision_log: decisions.Decisions,
        is_empty: t.Callable[[str], bool],
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._store = table
        self._platform = platform_client
        self._decisions = decision_log
        self._steps = vmsteps.Steps(
            table, platform_client, decision_log, is_empty
        )
        self._records: dict[str, vmsteps.Record] = {}
        self._listed_pools: dict[str, str] = {}
        self._rebalance = rebalance.Rebalance()

    @property
    def steps(self) -> vmsteps.Steps:
        """Maintenance and move steps of single VMs."""
        return self._steps

    def cordoned(self) -> list[str]:
        """Return the VMs that get no new work.

        These are the VMs with a step under way, and those whose pool in the
        platform's list differs from the pool in their record.
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
    def has_active_steps(self) -> bool:
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

    def reconcile(
        self,
        vms: t.Sequence[platform.Vm],
        known: assurances.Assurances,
        data_centres_out: frozenset[str],
        is_coordinator: bool,
        wall: float,
    ) -> None:
        """Read the records; the coordinator advances steps and waves.

        :param is_coordinator: whether this VM carries out the steps of its
            data centre; several coordinators at once are safe but wasteful.
        :raises StoreUnavailable: when the platform does not answer.
        """
        rows = self._store.scan(
            f"{vmsteps.PREFIX}{self._data_centre}/", vmsteps.VmRecord
        )
        self._records = {
            row.value.vm: row for row in rows if row.value is not None
        }
        self._listed_pools = {vm.vm: vm.pool for vm in vms}
        if not is_coordinator:
            return
        snapshot = vmsteps.snapshot(vms, known, data_centres_out, wall)
        self._create_missing_records(snapshot)
        self._delete_gone_records(vms)
        for row in list(self._records.values()):
            if row.value is not None and row.value.state != "serving":
                self._steps.advance(row, row.value, snapshot)
        self._repair_pools()
        self._maintain_due(snapshot)
        for wave in self._store.scan(waves.PREFIX, waves.Wave):
            if wave.value is not None and waves.unfinished(wave.value):
                self._advance_wave(wave, wave.value, snapshot)

    def _create_missing_records(self, snapshot: vmsteps.Snapshot) -> None:
        """Create a record for each worker that has none."""
        for vm in snapshot.listed.values():
            if vm.data_centre != self._data_centre or vm.vm in self._records:
                continue
            record = vmsteps.VmRecord(
                vm.vm, vm.data_centre, vm.pool, maintained_at=snapshot.wall
            )
            self._store.transact([store.Write(record.key, 0, record)])

    def _delete_gone_records(self, vms: t.Sequence[platform.Vm]) -> None:
        """Delete the records of VMs that are gone for good."""
        for vm in vms:
            row = self._records.get(vm.vm)
            if vm.state is not platform.VmState.GONE or row is None:
                continue
            writes = [store.replace(row, None)]
            if row.value is not None and row.value.budget:
                writes.append(
                    self._steps.budget_without(row.value.budget, vm.vm)
                )
            self._store.transact(writes)

    def _repair_pools(self) -> None:
        """Restore pools that a delayed call of a paused process changed."""
        for name, row in self._records.items():
            record = row.value
            if record is None or record.state != "serving":
                continue
            if self._listed_pools.get(name, record.pool) != record.pool:
                operation = f"repair-{utils.new_identifier()}"
                self._platform.assign_pool(name, record.pool, operation)

    def _maintain_due(self, snapshot: vmsteps.Snapshot) -> None:
        """Begin to maintain the due VM that has waited longest, if any."""
        due = due_records(
            self.records().values(), snapshot.assurances, snapshot.wall
        )
        for record in due[:MAX_STEPS_PER_PASS]:
            refused = self._steps.begin(
                record.vm, vmsteps.MAINTAIN, "", "", snapshot
            )
            if refused is None or refused.code is codes.Result.BUDGET:
                return

    def balance(
        self,
        demands: t.Mapping[str, float],
        load: t.Mapping[str, float],
        snapshot: vmsteps.Snapshot,
        now: float,
    ) -> codes.Refused | None:
        """Move one VM between pools if an imbalance outlasts a move.

        :param demands: running and waiting work of each pool, in VMs.
        :param load: busy fraction of each VM.
        :param now: monotonic time in seconds.
        """
        buffers = [
            name
            for name, pool in snapshot.assurances.pools.items()
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
                snapshot.assurances.pools[name].spare,
                sum(
                    record.pool == name and record.home == buffers[0]
                    for record in serving
                ),
                sum(
                    record.target == name and record.state != "serving"
                    for record in self.records().values()
                ),
            )
            for name in snapshot.assurances.pools
        ]
        candidates = [
            pool for pool in pools if pool.size or pool.pool == buffers[0]
        ]
        shift = self._rebalance.decide(candidates, buffers[0], now)
        if shift is None:
            return None
        return self._begin_move(shift, buffers[0], serving, load, snapshot)

    def _begin_move(
        self,
        shift: rebalance.Shift,
        buffer: str,
        serving: t.Sequence[vmsteps.VmRecord],
        load: t.Mapping[str, float],
        snapshot: vmsteps.Snapshot,
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
        # The wave argument of a move marks a loan from the buffer pool.
        mark = vmsteps.LOAN if shift.source == buffer else ""
        return self._steps.begin(
            vm, vmsteps.MOVE, shift.target, mark, snapshot
        )

    def _advance_wave(
        self,
        row: store.Row[waves.Wave],
        wave: waves.Wave,
        snapshot: vmsteps.Snapshot,
    ) -> None:
        states = {name: vm.state for name, vm in snapshot.listed.items()}
        updated = waves.with_failures(wave, states, snapshot.wall)
        gone = [vm for vm in updated.waiting if vm not in snapshot.listed]
        if gone:
            remaining = [vm for vm in updated.waiting if vm not in gone]
            updated = msgspec.structs.replace(updated, waiting=remaining)
        if not updated.waiting and not updated.under_way:
            if lifecycles.load("wave").allows(updated.state, "finish"):
                updated = waves.transitioned(
                    updated, "finish", "no VM is left", snapshot.wall
                )
        if updated != wave:
            self._explain_wave(updated)
            self._store.transact([store.replace(row, updated)])
            return
        self._begin_next(row, wave, snapshot)

    def _begin_next(
        self,
        row: store.Row[waves.Wave],
        wave: waves.Wave,
        snapshot: vmsteps.Snapshot,
    ) -> None:
        local = {
            name: vm
            for name, vm in snapshot.listed.items()
            if vm.data_centre == self._data_centre
        }
        choice = waves.next_vm(wave, local, {}, snapshot.wall)
        if isinstance(choice, waves.Wait):
            return
        limit = 1 if wave.state == "paused" else MAX_STEPS_PER_PASS
        current = row
        for candidate in itertools.islice(choice, limit):
            if current.value is None:
                return
            refused = self._steps.begin(
                candidate.vm, vmsteps.MAINTAIN, "", wave.wave, snapshot
            )
            if refused is not None:
                if refused.code is codes.Result.BUDGET:
                    return
                continue
            after = waves.with_vm_taken(
                current.value, candidate.vm, snapshot.wall
            )
            self._store.transact([store.replace(current, after)])
            current = self._store.read(row.key, waves.Wave)

    def roll_out(
        self, pool: str, author: str, snapshot: vmsteps.Snapshot
    ) -> waves.Wave | codes.Refused:
        """Begin a wave over every VM of a pool."""
        if pool not in snapshot.assurances.pools:
            return codes.Refused(codes.Result.NOT_FOUND, f"no pool {pool}")
        members = [vm.vm for vm in self._steps.members(pool, snapshot)]
        wave = waves.Wave(
            utils.new_identifier(),
            pool,
            author,
            snapshot.wall,
            lifecycles.load("wave").initial,
            sorted(members),
            changed_at=snapshot.wall,
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
        """Return the stored state of a wave."""
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
    """Return the serving VMs that are due, longest waiting first.

    A VM is due when ``DUE_FRACTION`` of its maintenance interval has passed,
    so that the budget suffices to maintain all VMs in time.

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
