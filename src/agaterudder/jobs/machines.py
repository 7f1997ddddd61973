"""Orders for machines: who may give them, and what the fleet looks like.

A row a machine says who ordered it last. Taking the row gives the fencing
token: the version of the row, which only rises. A process does not take a
machine back from another that took it from it less than a lease ago: two
processes must not order a machine in turns.
"""

import logging

import msgspec

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

TABLE = "machines"
PART = "machines"
# A list that was asked for so long ago is asked for again.
VIEW_AGE_SECONDS = 0.4
TURN_MARGIN_SECONDS = 0.2


class LastOrder(msgspec.Struct, frozen=True, array_like=True):
    """Who ordered a machine last.

    :ivar at: seconds of the store's clock, at most.
    :ivar before: the process that ordered it before this one, and when.
    """

    vm: str
    at: float
    before: str = ""
    before_at: float = 0.0


def following(
    last: LastOrder | None, vm: str, at: float, turn_seconds: float
) -> LastOrder | None:
    """Return the order that a process may give next, None if it must wait.

    :param last: the last order for the machine, None before the first.
    :param at: present time, seconds of the store's clock.
    """
    if last is None:
        return LastOrder(vm, at)
    if last.vm == vm:
        return LastOrder(vm, at, last.before, last.before_at)
    if last.before == vm and at - last.before_at < turn_seconds:
        return None
    return LastOrder(vm, at, last.vm, last.at)


class View:
    """The platform's machines as last listed.

    :ivar asked_at: when the list was asked for, by :func:`clock.now`.
    """

    __slots__ = ("_machines", "machines", "asked_at")

    def __init__(self, machines: ports.Machines) -> None:
        self._machines = machines
        self.machines: dict[str, ports.Machine] = {}
        self.asked_at = 0.0

    def refresh(self, after: float = 0.0) -> bool:
        """Ask for the list if it is old; return whether it is current.

        :param after: the list must have been asked for later than this.
        """
        now = clock.now()
        if now - self.asked_at < VIEW_AGE_SECONDS and self.asked_at > after:
            return True
        try:
            found = self._machines.list()
        except exceptions.CallFailed as error:
            LOG.info("machines not listed", extra={"why": error})
            return False
        self.machines = {machine.machine: machine for machine in found}
        self.asked_at = now
        return True

    def life_over(self, worker: str, since: float) -> str:
        """Return why a worker's life is over, empty if it may go on.

        A worker is one life of a machine; a machine that is not up, or
        that has another worker, has ended it.

        :param since: the list must have been asked for later than this.
        """
        if not self.refresh(since) or not self.machines:
            return ""
        machine = next(
            (m for m in self.machines.values() if m.worker == worker), None
        )
        if machine is None:
            return "no machine has it"
        if machine.state != ports.MACHINE_UP:
            return f"its machine is {machine.state}"
        return ""

    def in_pool(self, pool: str) -> list[ports.Machine]:
        """Return the machines of a pool."""
        return [
            machine
            for machine in self.machines.values()
            if machine.pool == pool
        ]


class MachineOrders:
    """Gives orders for machines on behalf of one process.

    :param turn_seconds: least time between two orders of one process
        for a machine that another ordered between them.
    """

    __slots__ = ("_store", "_machines", "_vm", "_turn")

    def __init__(
        self,
        store: ports.Store,
        machines: ports.Machines,
        vm: str,
        turn_seconds: float,
    ) -> None:
        self._store = store
        self._machines = machines
        self._vm = vm
        self._turn = turn_seconds + TURN_MARGIN_SECONDS

    def claim(self, machine: str, store_clock: float) -> int | None:
        """Take the right to order a machine; return its fencing token.

        :param store_clock: the most that the store's clock may show.
        """
        try:
            row = self._store.read(TABLE, PART, machine)
        except exceptions.CallFailed as error:
            LOG.info(
                "machine not claimed", extra={"machine": machine, "why": error}
            )
            return None
        last = None if row is None else model.decode(row.value, LastOrder)
        order = following(last, self._vm, store_clock, self._turn)
        if order is None:
            return None
        content = model.encode(order)
        outcome = self._store.transact(
            PART,
            [ports.Check(TABLE, machine, row.version if row else 0)],
            [ports.Put(TABLE, machine, content)],
        )
        if isinstance(outcome, ports.Committed):
            return outcome.version
        return None

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> ports.Done | ports.Rejected | ports.NoAnswer:
        """Begin the upkeep of a machine."""
        answer = self._machines.maintain(machine, wave, self._vm, token)
        self._log("upkeep ordered", machine, f"wave {wave}", token, answer)
        return answer

    def move(
        self, machine: str, pool: str, token: int
    ) -> ports.Done | ports.Rejected | ports.NoAnswer:
        """Move a machine to another pool."""
        answer = self._machines.move(machine, pool, self._vm, token)
        self._log("move ordered", machine, pool, token, answer)
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
