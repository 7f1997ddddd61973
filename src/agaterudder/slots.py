"""Slots of the backend servers, shared by the entry VMs of a data centre.

The slots of each server are divided by one row per service and data centre:
an entry VM holds the same number of slots on every server. A busy VM borrows
idle slots from a peer for a short time. The lender counts a loan as in use
until every request that the borrower may have sent under it has ended.
"""

import dataclasses
import typing as t

import msgspec

LOAN_SECONDS = 5.0


class Division(msgspec.Struct, frozen=True):
    """Row that divides the slots of each server of a service.

    :ivar slots: slots of one server.
    :ivar held: slots held by each entry VM.
    """

    slots: int
    held: dict[str, int] = {}

    @property
    def free(self) -> int:
        """Slots that no VM holds."""
        return self.slots - sum(self.held.values())


def fair_slots(division: Division, members: t.Sequence[str], vm: str) -> int:
    """Return how many slots a VM should hold among the members."""
    ordered = sorted(members)
    if vm not in ordered:
        return 0
    share, remainder = divmod(division.slots, len(ordered))
    return share + (1 if ordered.index(vm) < remainder else 0)


def with_claim(
    division: Division, members: t.Sequence[str], vm: str
) -> Division:
    """Return the division after a VM claimed its fair part.

    A VM that holds too many slots releases the excess; a VM that holds too
    few takes free slots.
    """
    target = fair_slots(division, members, vm)
    held = division.held.get(vm, 0)
    count_after = min(target, held + max(division.free, 0))
    kept = {name: count for name, count in division.held.items() if name != vm}
    if count_after:
        kept[vm] = count_after
    return msgspec.structs.replace(division, held=kept)


def without_vms(division: Division, gone: t.Container[str]) -> Division:
    """Return the division without the slots of VMs that are gone."""
    held = {vm: n for vm, n in division.held.items() if vm not in gone}
    return msgspec.structs.replace(division, held=held)


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Slots on every server of a service, lent or borrowed.

    :ivar until: end of the loan, monotonic seconds of this process.
    """

    count: int
    until: float


class ServiceSlots:
    """Slots that this VM may use on each server of a service.

    :ivar held: slots of this VM on each server, without loans.
    """

    __slots__ = ("held", "_lent", "_borrowed", "_busy", "_longest_request")

    def __init__(self, longest_request: float) -> None:
        self.held = 0
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []
        self._busy: dict[str, int] = {}
        self._longest_request = longest_request

    def allowance(self, now: float) -> int:
        """Return the slots that may be used on each server."""
        lent = sum(loan.count for loan in self._lent if loan.until > now)
        borrowed = sum(
            loan.count for loan in self._borrowed if loan.until > now
        )
        return max(0, self.held - lent) + borrowed

    def busy(self, server: str) -> int:
        """Return the slots in use on a server."""
        return self._busy.get(server, 0)

    def acquire(self, server: str, now: float) -> bool:
        """Take a slot on a server; return whether one was free."""
        if self.busy(server) >= self.allowance(now):
            return False
        self._busy[server] = self.busy(server) + 1
        return True

    def release(self, server: str) -> None:
        """Release a slot on a server."""
        left = self.busy(server) - 1
        if left > 0:
            self._busy[server] = left
        else:
            self._busy.pop(server, None)

    def lend(self, count: int, margin: float, now: float) -> Loan:
        """Lend idle slots; the loan may be smaller than requested.

        :param margin: largest relative difference of clock rates.
        """
        self._lent = [loan for loan in self._lent if loan.until > now]
        max_busy = max(self._busy.values(), default=0)
        idle = self.allowance(now) - max_busy
        granted = max(0, min(count, idle))
        seconds = (LOAN_SECONDS + self._longest_request) * (1 + margin)
        if granted:
            self._lent.append(Loan(granted, now + seconds))
        return Loan(granted, now + LOAN_SECONDS)

    def borrow(self, count: int, asked_at: float, seconds: float) -> None:
        """Add a borrowed loan, which runs from the time of its request."""
        self._borrowed = [
            loan for loan in self._borrowed if loan.until > asked_at
        ]
        if count:
            self._borrowed.append(Loan(count, asked_at + seconds))
