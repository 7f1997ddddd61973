"""Carries out maintenance waves on the machines of one pool.

Each wave has a row with the machines that are down for it, at most as many
as the wave allows, and those that are done. A machine is entered as down
before its worker is drained, and as done when it is up again. The next
holder of the pool continues from the row.
"""

import logging
import math
import typing as t

import msgspec

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import wavepacing

LOG = logging.getLogger(__name__)

TABLE = "waves"
PARTITION = "waves"
# Machines of one pool that are drained or down at once while the wave is not
# short of time; in a standby pool, this fraction of its machines.
MAX_CONCURRENT = 1
STANDBY_FRACTION = 0.33
# The holder learns of a machine that joins its pool within this time.
JOIN_SECONDS = 2.0
DEADLINE_MARGIN_SECONDS = 6.0
MAINTENANCE_REASON = "maintenance"
# A pool whose waiting work is below this fraction of its cores can do without
# a machine.
LOW_BACKLOG_RATIO = 0.1


class Record(msgspec.Struct, array_like=True):
    """Row of a wave.

    :ivar since: when it was first seen, seconds of the store's clock.
    :ivar down: machines that are being drained or maintained.
    :ivar done: machines whose maintenance is finished.
    """

    since: float
    down: list[str] = []
    done: list[str] = []
    completed: bool = False


class _Step:
    """Progress of the maintenance of one machine.

    :ivar started_at: when the drain of its worker started.
    :ivar ordered_at: when the maintenance order was confirmed, 0 before.
    """

    __slots__ = ("machine", "worker", "started_at", "ordered_at")

    def __init__(self, machine: str, worker: str, started_at: float) -> None:
        self.machine = machine
        self.worker = worker
        self.started_at = started_at
        self.ordered_at = 0.0


class PoolHolder(t.Protocol):
    """What maintenance needs of the holder of the pool."""

    pool: str

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent."""

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker, None when it is not known."""

    def worker_confirmed(self, worker: fleet.WorkerState) -> bool:
        """Return whether the runs of earlier holders on it are known."""

    def cordon_worker(self, worker: fleet.WorkerState, reason: str) -> None:
        """Place no more tasks on a worker."""

    def uncordon_worker(self, worker: fleet.WorkerState) -> None:
        """Place tasks on a worker again."""

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Record that a worker and all its runs have ended."""

    def backlog_ratio(self) -> float:
        """Return the waiting work as a fraction of the pool's cores."""

    def store_clock(self) -> float:
        """Return an upper bound of the store's clock."""

    @property
    def standby(self) -> bool:
        """Whether this is a standby pool, whose machines are off."""


class Maintenance:
    """Maintenance of the machines of one pool."""

    __slots__ = (
        "_holder",
        "_store",
        "_operators",
        "_machine_cache",
        "_orders",
        "_steps",
        "_finished",
        "_pending",
    )

    def __init__(
        self,
        holder: PoolHolder,
        store: ports.Store,
        operators: ports.Operators,
        machine_cache: machines.MachineCache,
        orders: machines.MachineOrders,
    ) -> None:
        self._holder = holder
        self._store = store
        self._operators = operators
        self._machine_cache = machine_cache
        self._orders = orders
        self._steps: dict[str, _Step] = {}
        self._finished: set[int] = set()
        self._pending: set[str] = set()

    @property
    def pending_machines(self) -> frozenset[str]:
        """Machines that open waves have not finished yet."""
        return frozenset(self._pending)

    def reconcile(self, waves: t.Iterable[operatorconfig.Wave]) -> None:
        """Take the next possible step of each wave."""
        for wave in waves:
            if wave.number in self._finished or not self._holder.holds_lease():
                continue
            try:
                self._reconcile_wave(wave)
            except (
                exceptions.CallFailed,
                exceptions.Undecodable,
            ) as error:
                LOG.info(
                    "maintenance wave step failed; retrying",
                    extra={"wave": wave.number, "why": error},
                )

    def _reconcile_wave(self, wave: operatorconfig.Wave) -> None:
        if not self._machine_cache.refresh():
            return
        row, record = self._read(wave)
        if row is None:
            # The wave's time runs from here, not from the first maintenance.
            if self._write(wave, None, record):
                self._operators.report_wave(wave.number, False)
            return
        if record.completed:
            self._finished.add(wave.number)
            return
        self._pending = set(wave.machines) - set(record.done)
        own = {
            machine.machine: machine
            for machine in self._machine_cache.in_pool(self._holder.pool)
        }
        asked_at = self._machine_cache.asked_at
        self._drop_moved_machines(wave, record, own)
        for name in record.down:
            if name in own:
                self._advance(wave, own[name], asked_at)
        candidates = self._candidates(wave, record, own)
        chosen = self._next_machines(wave, record, own, candidates)
        if chosen:
            self._start(wave, row, record, chosen)
        if not candidates and not record.down:
            self._check_completed(wave, record)

    def _drop_moved_machines(
        self,
        wave: operatorconfig.Wave,
        record: Record,
        own: t.Mapping[str, ports.Machine],
    ) -> None:
        """Drop machines that another pool has now, or has finished."""
        for name in [*self._steps]:
            if name in wave.machines and (
                name not in own or name not in record.down
            ):
                step = self._steps.pop(name)
                worker = self._holder.worker_state(step.worker)
                if worker is not None:
                    self._holder.uncordon_worker(worker)

    def _read(
        self, wave: operatorconfig.Wave
    ) -> tuple[ports.Row | None, Record]:
        row = self._store.read(TABLE, PARTITION, str(wave.number))
        if row is None:
            return None, Record(self._holder.store_clock())
        return row, model.decode(row.value, Record)

    def _write(
        self, wave: operatorconfig.Wave, row: ports.Row | None, record: Record
    ) -> bool:
        outcome = self._store.transact(
            PARTITION,
            [
                ports.Precondition(
                    TABLE, str(wave.number), row.version if row else 0
                )
            ],
            [ports.Put(TABLE, str(wave.number), model.encode(record))],
        )
        return isinstance(outcome, ports.Committed)

    # Starting

    def _candidates(
        self,
        wave: operatorconfig.Wave,
        record: Record,
        own: t.Mapping[str, ports.Machine],
    ) -> list[ports.Machine]:
        """Return the machines that may be next, least loaded first."""
        known = {*record.down, *record.done}
        candidates = [
            own[name]
            for name in wave.machines
            if name in own
            and name not in known
            and own[name].state == ports.MACHINE_UP
        ]
        return sorted(candidates, key=self._load)

    def _load(self, machine: ports.Machine) -> tuple[bool, int, float]:
        worker = self._holder.worker_state(machine.worker)
        if worker is None:
            # The machine just came from standby because it is needed.
            return (bool(machine.worker), 0, 0.0)
        return (False, worker.long_running_count, worker.used.cores)

    def _next_machines(
        self,
        wave: operatorconfig.Wave,
        record: Record,
        own: t.Mapping[str, ports.Machine],
        candidates: list[ports.Machine],
    ) -> list[ports.Machine]:
        """Return the machines whose maintenance may start now.

        :param own: machines of the pool.
        :param candidates: those that may be next.
        """
        if not candidates:
            return []
        concurrency = MAX_CONCURRENT
        if self._holder.standby:
            concurrency = max(
                math.ceil(len(own) * STANDBY_FRACTION), MAX_CONCURRENT
            )
        elapsed = self._holder.store_clock() - record.since
        progress = wavepacing.Progress(
            wave.seconds - elapsed - DEADLINE_MARGIN_SECONDS,
            wave.max_down - len(record.down),
            len(self._steps),
            concurrency,
            self._holder.backlog_ratio() < LOW_BACKLOG_RATIO,
        )
        needed = [
            wavepacing.needed_seconds(
                self._holder.worker_state(machine.worker)
            )
            for machine in candidates
        ]
        chosen = wavepacing.to_start(needed, progress)
        return [candidates[index] for index in chosen]

    def _start(
        self,
        wave: operatorconfig.Wave,
        row: ports.Row | None,
        record: Record,
        chosen: list[ports.Machine],
    ) -> None:
        record.down.extend(machine.machine for machine in chosen)
        if not self._write(wave, row, record):
            return
        for machine in chosen:
            LOG.info(
                "draining machine for maintenance",
                extra={
                    "wave": wave.number,
                    "machine": machine.machine,
                    "worker": machine.worker,
                    "down": len(record.down),
                    "most": wave.max_down,
                },
            )
            self._step(machine)

    def _step(self, machine: ports.Machine) -> _Step:
        step = self._steps.get(machine.machine)
        if step is None:
            step = _Step(machine.machine, machine.worker, clock.now())
            self._steps[machine.machine] = step
        return step

    # Continuing

    def _advance(
        self,
        wave: operatorconfig.Wave,
        machine: ports.Machine,
        asked_at: float,
    ) -> None:
        """Take the next step for a machine that is down for a wave.

        :param machine: as it is listed.
        :param asked_at: when that list was asked for. The one that is cached
            may be newer, as the orders for other machines take a while.
        """
        step = self._step(machine)
        if not step.ordered_at:
            if self._drained(step, machine):
                self._order(wave, step)
            return
        if asked_at <= step.ordered_at:
            return
        up = machine.state == ports.MACHINE_UP
        if not up or machine.worker != step.worker:
            self._end_worker(step, asked_at)
        if up:
            self._finish(wave, step)

    def _end_worker(self, step: _Step, asked_at: float) -> None:
        """Record that maintenance has ended a machine's worker.

        The answer to the order doesn't show it: the maintenance may have
        been over, and the worker started after it.

        :param asked_at: when the list that shows it was asked for. A worker
            that was heard since is back.
        """
        worker = self._holder.worker_state(step.worker)
        if worker is None or worker.terminated or worker.learnt_at > asked_at:
            return
        self._holder.mark_worker_terminated(worker, MAINTENANCE_REASON)

    def _drained(self, step: _Step, machine: ports.Machine) -> bool:
        """Drain a machine's worker; return whether it is drained."""
        step.worker = machine.worker
        worker = self._holder.worker_state(machine.worker)
        if worker is not None:
            if worker.cordon_reason != MAINTENANCE_REASON:
                self._holder.cordon_worker(worker, MAINTENANCE_REASON)
            return worker.drained and self._holder.worker_confirmed(worker)
        expected_to_join = bool(machine.worker) and not self._holder.standby
        return (
            not expected_to_join
            or clock.now() - step.started_at > JOIN_SECONDS
        )

    def _order(self, wave: operatorconfig.Wave, step: _Step) -> None:
        token = self._orders.claim(step.machine, self._holder.store_clock())
        if token is None or not self._holder.holds_lease():
            return
        answer = self._orders.maintain(step.machine, wave.number, token)
        match answer:
            case ports.Done():
                step.ordered_at = clock.now()
            case ports.Rejected(reason="wave"):
                self._finish(wave, step)
            case _:
                LOG.info(
                    "machine maintenance order failed; retrying",
                    extra={"machine": step.machine, "why": answer.reason},
                )

    def _finish(self, wave: operatorconfig.Wave, step: _Step) -> None:
        row, record = self._read(wave)
        if step.machine in record.down:
            record.down.remove(step.machine)
        if step.machine not in record.done:
            record.done.append(step.machine)
        if not self._write(wave, row, record):
            return
        del self._steps[step.machine]
        worker = self._holder.worker_state(step.worker)
        if worker is not None and not worker.terminated:
            self._holder.uncordon_worker(worker)
        LOG.info(
            "machine maintenance finished",
            extra={
                "wave": wave.number,
                "machine": step.machine,
                "done": len(record.done),
                "of": len(wave.machines),
            },
        )
        self._check_completed(wave, record)

    def _check_completed(
        self, wave: operatorconfig.Wave, record: Record
    ) -> None:
        """Report the wave as completed if no existing machine is left."""
        left = [
            name
            for name in wave.machines
            if name not in record.done and name in self._machine_cache.machines
        ]
        if left or record.down:
            return
        row, record = self._read(wave)
        if not self._operators.report_wave(wave.number, True):
            return
        record.completed = True
        if self._write(wave, row, record):
            self._finished.add(wave.number)
            LOG.info("maintenance wave completed", extra={"wave": wave.number})
