"""Carries out waves of upkeep on the machines of one pool.

A row a wave holds the machines that are down for it, at most as many as
the wave allows, and those that are done. A machine's place in the row is
taken before its worker is emptied, and given back when it is up again;
whoever holds the pool next goes on from the row.
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
from agaterudder.jobs import ports
from agaterudder.jobs import rules

LOG = logging.getLogger(__name__)

TABLE = "waves"
PART = "waves"
# Machines of one pool that are emptied or down at once while there is time;
# of a pool on standby, this part of them.
AT_ONCE = 1
STANDBY_PART = 0.33
# A machine that just joined the pool is known to its holder after a while.
JOIN_SECONDS = 2.0
# What one machine takes, for judging whether time is short.
MACHINE_SECONDS = 5.0
HURRY_MARGIN_SECONDS = 6.0
UPKEEP = "upkeep"
# A pool with less waiting work than this part of its room can miss one.
QUIET_PART = 0.1


class Record(msgspec.Struct, array_like=True):
    """Row of a wave.

    :ivar since: when it was first seen, seconds of the store's clock.
    :ivar down: machines that have a place.
    :ivar done: machines whose upkeep is over.
    """

    since: float
    down: list[str] = []
    done: list[str] = []
    completed: bool = False


class _Step:
    """How far the upkeep of one machine is.

    :ivar begun_at: since when its worker is emptied.
    :ivar ordered_at: when its upkeep was confirmed, 0 before.
    """

    __slots__ = ("machine", "worker", "begun_at", "ordered_at")

    def __init__(self, machine: str, worker: str, begun_at: float) -> None:
        self.machine = machine
        self.worker = worker
        self.begun_at = begun_at
        self.ordered_at = 0.0


class PoolHolder(t.Protocol):
    """What the upkeep needs of the holder of the pool."""

    pool: str

    def may_order(self) -> bool:
        """Return whether machines may be ordered now."""

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker, None when it is not known."""

    def leave(self, worker: fleet.WorkerState, reason: str) -> None:
        """Give a worker no more work."""

    def stay(self, worker: fleet.WorkerState) -> None:
        """Give a worker work again."""

    def worker_ended(self, worker: fleet.WorkerState, reason: str) -> None:
        """Note that all that ran on a worker was ended."""

    def waiting_part(self) -> float:
        """Return the waiting work as a part of the room."""

    def store_clock(self) -> float:
        """Return the most that the store's clock may show."""

    @property
    def standby(self) -> bool:
        """Whether the machines of the pool are off."""


class Maintenance:
    """Upkeep of the machines of one pool."""

    __slots__ = (
        "_holder",
        "_store",
        "_operators",
        "_view",
        "_orders",
        "_steps",
        "_finished",
        "_open",
    )

    def __init__(
        self,
        holder: PoolHolder,
        store: ports.Store,
        operators: ports.Operators,
        view: machines.View,
        orders: machines.MachineOrders,
    ) -> None:
        self._holder = holder
        self._store = store
        self._operators = operators
        self._view = view
        self._orders = orders
        self._steps: dict[str, _Step] = {}
        self._finished: set[int] = set()
        self._open: set[str] = set()

    @property
    def open_machines(self) -> frozenset[str]:
        """Machines of waves that are not completed, and not yet done."""
        return frozenset(self._open)

    def turn(self, waves: t.Iterable[rules.Wave]) -> None:
        """Do what can be done now for each wave."""
        for wave in waves:
            if wave.number in self._finished or not self._holder.may_order():
                continue
            try:
                self._turn(wave)
            except exceptions.CallFailed as error:
                LOG.info(
                    "upkeep waits", extra={"wave": wave.number, "why": error}
                )

    def _turn(self, wave: rules.Wave) -> None:
        if not self._view.refresh():
            return
        row, record = self._read(wave)
        if row is None:
            # Its time runs from when it was seen, not from the first upkeep.
            if self._write(wave, None, record):
                self._operators.report_wave(wave.number, False)
            return
        if record.completed:
            self._finished.add(wave.number)
            return
        self._open = set(wave.machines) - set(record.done)
        own = {
            machine.machine: machine
            for machine in self._view.in_pool(self._holder.pool)
        }
        self._forget_moved(wave, record, own)
        for name in record.down:
            if name in own:
                self._go_on(wave, own[name])
        due = self._due(wave, record, own)
        count = self._may_begin(wave, record, len(own), len(due))
        if count:
            self._begin(wave, row, record, due[:count])
        if not due and not record.down:
            self._check_completed(wave, record)

    def _forget_moved(
        self,
        wave: rules.Wave,
        record: Record,
        own: t.Mapping[str, ports.Machine],
    ) -> None:
        """Forget machines that another pool has now, or has finished."""
        for name in [*self._steps]:
            if name in wave.machines and (
                name not in own or name not in record.down
            ):
                step = self._steps.pop(name)
                worker = self._holder.worker_state(step.worker)
                if worker is not None:
                    self._holder.stay(worker)

    def _read(self, wave: rules.Wave) -> tuple[ports.Row | None, Record]:
        row = self._store.read(TABLE, PART, str(wave.number))
        if row is None:
            return None, Record(self._holder.store_clock())
        return row, model.decode(row.value, Record)

    def _write(
        self, wave: rules.Wave, row: ports.Row | None, record: Record
    ) -> bool:
        outcome = self._store.transact(
            PART,
            [ports.Check(TABLE, str(wave.number), row.version if row else 0)],
            [ports.Put(TABLE, str(wave.number), model.encode(record))],
        )
        return isinstance(outcome, ports.Committed)

    # Beginning

    def _due(
        self,
        wave: rules.Wave,
        record: Record,
        own: t.Mapping[str, ports.Machine],
    ) -> list[ports.Machine]:
        """Return the machines whose turn may come, the emptiest first."""
        known = {*record.down, *record.done}
        due = [
            own[name]
            for name in wave.machines
            if name in own
            and name not in known
            and own[name].state == ports.MACHINE_UP
        ]
        return sorted(due, key=self._load)

    def _load(self, machine: ports.Machine) -> tuple[bool, int, float]:
        worker = self._holder.worker_state(machine.worker)
        if worker is None:
            # It was just taken from standby, to be used.
            return (bool(machine.worker), 0, 0.0)
        return (False, worker.lasting, worker.used.cores)

    def _may_begin(
        self, wave: rules.Wave, record: Record, own: int, due: int
    ) -> int:
        """Return on how many more machines the upkeep may begin now.

        :param own: machines of the pool.
        :param due: those whose turn may come.
        """
        at_once = AT_ONCE
        if self._holder.standby:
            at_once = max(math.ceil(own * STANDBY_PART), AT_ONCE)
        spent = self._holder.store_clock() - record.since
        left = wave.seconds - spent - HURRY_MARGIN_SECONDS
        hurry = left <= MACHINE_SECONDS * math.ceil(due / at_once)
        if not hurry and self._holder.waiting_part() >= QUIET_PART:
            return 0
        rounds = max(left / MACHINE_SECONDS, 1.0)
        at_once = max(at_once, math.ceil(due / rounds))
        return max(
            0,
            min(
                wave.most_down - len(record.down),
                at_once - len(self._steps),
                due,
            ),
        )

    def _begin(
        self,
        wave: rules.Wave,
        row: ports.Row | None,
        record: Record,
        chosen: list[ports.Machine],
    ) -> None:
        record.down.extend(machine.machine for machine in chosen)
        if not self._write(wave, row, record):
            return
        for machine in chosen:
            LOG.info(
                "upkeep begins",
                extra={
                    "wave": wave.number,
                    "machine": machine.machine,
                    "worker": machine.worker,
                    "down": len(record.down),
                    "most": wave.most_down,
                },
            )
            self._step(machine)

    def _step(self, machine: ports.Machine) -> _Step:
        step = self._steps.get(machine.machine)
        if step is None:
            step = _Step(machine.machine, machine.worker, clock.now())
            self._steps[machine.machine] = step
        return step

    # Going on

    def _go_on(self, wave: rules.Wave, machine: ports.Machine) -> None:
        step = self._step(machine)
        if step.ordered_at:
            up = machine.state == ports.MACHINE_UP
            if up and self._view.asked_at > step.ordered_at:
                self._finish(wave, step)
            return
        if self._emptied(step, machine):
            worker = self._holder.worker_state(step.worker)
            self._order(wave, step, worker)

    def _emptied(self, step: _Step, machine: ports.Machine) -> bool:
        """Return whether nothing runs on a machine; empty its worker."""
        step.worker = machine.worker
        worker = self._holder.worker_state(machine.worker)
        if worker is not None:
            if worker.leaving != UPKEEP:
                self._holder.leave(worker, UPKEEP)
            return worker.empty_enough
        joins = bool(machine.worker) and not self._holder.standby
        return not joins or clock.now() - step.begun_at > JOIN_SECONDS

    def _order(
        self,
        wave: rules.Wave,
        step: _Step,
        worker: fleet.WorkerState | None,
    ) -> None:
        token = self._orders.claim(step.machine, self._holder.store_clock())
        if token is None or not self._holder.may_order():
            return
        answer = self._orders.maintain(step.machine, wave.number, token)
        match answer:
            case ports.Done():
                step.ordered_at = clock.now()
                if worker is not None:
                    self._holder.worker_ended(worker, UPKEEP)
            case ports.Rejected(reason="wave"):
                self._finish(wave, step)
            case _:
                LOG.info(
                    "upkeep not begun",
                    extra={"machine": step.machine, "why": answer.reason},
                )

    def _finish(self, wave: rules.Wave, step: _Step) -> None:
        row, record = self._read(wave)
        if step.machine in record.down:
            record.down.remove(step.machine)
        if step.machine not in record.done:
            record.done.append(step.machine)
        if not self._write(wave, row, record):
            return
        del self._steps[step.machine]
        worker = self._holder.worker_state(step.worker)
        if worker is not None:
            self._holder.stay(worker)
        LOG.info(
            "upkeep over",
            extra={
                "wave": wave.number,
                "machine": step.machine,
                "done": len(record.done),
                "of": len(wave.machines),
            },
        )
        self._check_completed(wave, record)

    def _check_completed(self, wave: rules.Wave, record: Record) -> None:
        """Report the wave when no machine that stays is left."""
        left = [
            name
            for name in wave.machines
            if name not in record.done and name in self._view.machines
        ]
        if left or record.down:
            return
        row, record = self._read(wave)
        if not self._operators.report_wave(wave.number, True):
            return
        record.completed = True
        if self._write(wave, row, record):
            self._finished.add(wave.number)
            LOG.info("wave completed", extra={"wave": wave.number})
