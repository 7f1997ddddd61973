"""Orders for machines: the right to send them, and the list of machines.

Each machine has a row that names the process that ordered it last. Writing
the row gives the fencing token: the version of the row, which only rises.
A process that lost a machine to another does not claim it back before a
lease has passed, so that two processes do not order it alternately.
"""

import logging

import gevent.lock
import msgspec

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

TABLE = "machines"
PARTITION = "machines"
# A cached list older than this is read again.
MAX_CACHE_AGE_SECONDS = 0.4
RECLAIM_MARGIN_SECONDS = 0.2
# Why a worker has ended that no order and no upkeep of its machine ended.
NO_MACHINE = "no machine runs it"


class LastOrder(msgspec.Struct, frozen=True, array_like=True):
    """Who ordered a machine last.

    :ivar at: upper bound of the time, seconds of the store's clock.
    :ivar before: the process that ordered the machine before this one.
    :ivar before_at: when that process did, as ``at``.
    """

    vm: str
    at: float
    before: str = ""
    before_at: float = 0.0


def next_order(
    last: LastOrder | None, vm: str, at: float, reclaim_seconds: float
) -> LastOrder | None:
    """Return the row for a process's next order, None if it must wait.

    :param last: the last order for the machine, None before the first.
    :param at: present time, seconds of the store's clock.
    """
    if last is None:
        return LastOrder(vm, at)
    if last.vm == vm:
        return LastOrder(vm, at, last.before, last.before_at)
    if last.before == vm and at - last.before_at < reclaim_seconds:
        return None
    return LastOrder(vm, at, last.vm, last.at)


class MachineCache:
    """Cached list of the platform's machines.

    :ivar asked_at: when the list was requested, by :func:`clock.now`.
    """

    __slots__ = ("_machines", "_turn", "_failed_at", "machines", "asked_at")

    def __init__(self, machines: ports.Machines) -> None:
        self._machines = machines
        self._turn = gevent.lock.RLock()
        self._failed_at = 0.0
        self.machines: dict[str, ports.Machine] = {}
        self.asked_at = 0.0

    def refresh(self, after: float = 0.0) -> bool:
        """Read the list again if it is old; return whether it is current.

        One call at a time serves all that wait for it.

        :param after: the list must have been requested later than this.
        """
        with self._turn:
            return self._refresh(after, clock.now())

    def _refresh(self, after: float, now: float) -> bool:
        if (
            now - self.asked_at < MAX_CACHE_AGE_SECONDS
            and self.asked_at > after
        ):
            return True
        if now - self._failed_at < MAX_CACHE_AGE_SECONDS:
            return False
        try:
            found = self._machines.list()
        except exceptions.CallFailed as error:
            self._failed_at = clock.now()
            LOG.info("machine list not read", extra={"why": error})
            return False
        self.machines = {machine.machine: machine for machine in found}
        self.asked_at = now
        return True

    def termination_reason(self, worker: str, since: float) -> str:
        """Return why a worker has ended, empty if it may still run.

        A worker is one incarnation of a machine: it has ended when its
        machine is not up, or has another worker.

        :param since: the list must have been requested later than this.
        """
        if not self.refresh(since) or not self.machines:
            return ""
        machine = next(
            (m for m in self.machines.values() if m.worker == worker), None
        )
        if machine is None:
            return NO_MACHINE
        if machine.state != ports.MACHINE_UP:
            return f"its machine is {machine.state}"
        return ""

    def evidence(self, now: float) -> str:
        """Return the size and the age of the list, for log lines."""
        age = now - self.asked_at
        return f"list of {len(self.machines)} machines, {age:.3f} s old"

    def in_pool(self, pool: str) -> list[ports.Machine]:
        """Return the machines of a pool."""
        return [
            machine
            for machine in self.machines.values()
            if machine.pool == pool
        ]


class MachineOrders:
    """Sends orders for machines on behalf of one process.

    :param reclaim_seconds: minimum time between two orders of one
        process for a machine that another process ordered in between.
    """

    __slots__ = ("_store", "_machines", "_vm", "_reclaim_seconds")

    def __init__(
        self,
        store: ports.Store,
        machines: ports.Machines,
        vm: str,
        reclaim_seconds: float,
    ) -> None:
        self._store = store
        self._machines = machines
        self._vm = vm
        self._reclaim_seconds = reclaim_seconds + RECLAIM_MARGIN_SECONDS

    def claim(self, machine: str, store_clock: float) -> int | None:
        """Claim the right to order a machine; return its fencing token.

        :param store_clock: an upper bound of the store's clock.
        """
        try:
            row = self._store.read(TABLE, PARTITION, machine)
        except exceptions.CallFailed as error:
            LOG.info(
                "machine not claimed: its row was not read",
                extra={"machine": machine, "why": error},
            )
            return None
        try:
            last = None if row is None else model.decode(row.value, LastOrder)
        except exceptions.Undecodable as error:
            LOG.warning(
                "machine not claimed: its row can't be decoded",
                extra={"machine": machine, "why": error},
            )
            return None
        order = next_order(last, self._vm, store_clock, self._reclaim_seconds)
        if order is None:
            return None
        content = model.encode(order)
        outcome = self._store.transact(
            PARTITION,
            [ports.Precondition(TABLE, machine, row.version if row else 0)],
            [ports.Put(TABLE, machine, content)],
        )
        if isinstance(outcome, ports.Committed):
            return outcome.version
        return None

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> ports.Done | ports.Rejected | ports.NoAnswer:
        """Start the maintenance of a machine."""
        answer = self._machines.maintain(machine, wave, self._vm, token)
        self._log(
            "machine maintenance ordered",
            machine,
            f"wave {wave}",
            token,
            answer,
        )
        return answer

    def move(
        self, machine: str, pool: str, token: int
    ) -> ports.Done | ports.Rejected | ports.NoAnswer:
        """Move a machine to another pool."""
        answer = self._machines.move(machine, pool, self._vm, token)
        self._log("machine move ordered", machine, pool, token, answer)
        return answer

    @staticmethod
    def _log(
        event: str, machine: str, target: str, token: int, answer: object
    ) -> None:
        LOG.info(
            event,
            extra={
                "machine": machine,
                "target": target,
                "token": token,
                "answer": answer,
            },
        )
