"""Escrow of upper limits that must never be exceeded.

The limit of a team is divided in advance into grants, one for each holder
(an entry VM). One row of the table service has the limit and all its grants.
The sum of the grants never exceeds the limit of the row. A holder uses its
grant without coordination. A grant is taken from its holder only when the
holder returns it, or when the platform reports the holder as gone and every
lease that it issued has expired.
"""

import dataclasses

import msgspec

from agaterudder import codes
from agaterudder import resources


class LimitRow(msgspec.Struct, frozen=True):
    """Row of one limit.

    :ivar limit: the amount that must never be exceeded.
    :ivar version: configuration version that the limit comes from.
    :ivar grants: amount held by each VM.
    """

    limit: resources.Vector
    version: int
    grants: dict[str, resources.Vector] = {}

    @property
    def granted(self) -> resources.Vector:
        """Sum of the grants."""
        return resources.total(self.grants.values())

    @property
    def free(self) -> resources.Vector:
        """Amount that can still be granted; never negative."""
        return (self.limit - self.granted).elementwise_max(resources.ZERO)


def with_limit(
    row: LimitRow, limit: resources.Vector, version: int
) -> LimitRow:
    """Return the row with the limit of a configuration version.

    A version that is not newer is ignored.
    """
    if version <= row.version:
        return row
    return msgspec.structs.replace(row, limit=limit, version=version)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """Amount that a holder requests on top of its grant.

    :ivar minimum: smallest amount with which a waiting task can start.
    :ivar wanted: amount that the next tasks would use.
    """

    minimum: resources.Vector
    wanted: resources.Vector


def enlarged(
    row: LimitRow, holder: str, request: GrantRequest
) -> LimitRow | codes.Refused:
    """Return the row after the grant of a holder was enlarged.

    The grant grows by what is free, up to the wanted amount. The request
    is refused when less than the minimum is free.
    """
    added = request.wanted.elementwise_max(request.minimum).elementwise_min(
        row.free
    )
    if not request.minimum.fits_in(added):
        return codes.Refused(
            codes.Result.TEAM_LIMIT, "the whole limit is granted"
        )
    current = row.grants.get(holder) or resources.ZERO
    return _with_grant(row, holder, current, added)


def with_return(
    row: LimitRow, holder: str, amount: resources.Vector
) -> LimitRow:
    """Return the row after a holder returned an amount."""
    current = row.grants.get(holder) or resources.ZERO
    returned = amount.elementwise_min(current)
    return _with_grant(row, holder, current, returned.scaled(-1.0))


def transferred(
    row: LimitRow, former: str, successor: str, amount: resources.Vector
) -> LimitRow:
    """Return the row after a successor adopted running tasks.

    The part of the former holder's grant that covers the tasks moves to
    the successor, so that the sum of the grants does not change.
    """
    current = row.grants.get(former) or resources.ZERO
    moved = amount.elementwise_min(current)
    reduced = _with_grant(row, former, current, moved.scaled(-1.0))
    own = reduced.grants.get(successor) or resources.ZERO
    return _with_grant(reduced, successor, own, moved)


def reclaimed(
    row: LimitRow,
    holder: str,
    gone_at: float | None,
    lease_expiry_seconds: float,
    now: float,
) -> LimitRow | codes.Refused:
    """Return the row without the grant of a VM that is gone.

    :param gone_at: when the platform's list first reported the VM as gone,
        in monotonic seconds; None when it does not.
    :param lease_expiry_seconds: time after which every lease that the VM
        issued has expired, including the margin for clock rates.
    """
    if gone_at is None:
        return codes.Refused(
            codes.Result.CONFLICT, f"{holder} is not known to be gone"
        )
    if now - gone_at < lease_expiry_seconds:
        return codes.Refused(
            codes.Result.CONFLICT, f"leases of {holder} may still hold"
        )
    remaining = {vm: grant for vm, grant in row.grants.items() if vm != holder}
    return msgspec.structs.replace(row, grants=remaining)


def _with_grant(
    row: LimitRow,
    holder: str,
    current: resources.Vector,
    added: resources.Vector,
) -> LimitRow:
    amount = (current + added).elementwise_max(resources.ZERO)
    grants = {**row.grants, holder: amount}
    if not amount.is_positive():
        del grants[holder]
    return msgspec.structs.replace(row, grants=grants)


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """The amount was reserved from the grant.

    :ivar left: amount that is still free.
    """

    left: resources.Vector


class LocalGrant:
    """Grant of this process for one team, and the part in use.

    :ivar reserved: part held for tasks that may be running but are not yet
        accounted for: those of an earlier incarnation of this process, and
        those of batches being adopted.
    """

    __slots__ = (
        "grant",
        "reserved",
        "_limit_before",
        "_usable_limit",
        "_spent",
        "_spent_total",
    )

    def __init__(self) -> None:
        self.grant = resources.ZERO
        self.reserved = resources.ZERO
        self._limit_before = resources.ZERO
        self._usable_limit = resources.UNLIMITED
        self._spent: dict[str, resources.Vector] = {}
        self._spent_total = resources.ZERO

    @property
    def spent(self) -> resources.Vector:
        """Part of the grant that running tasks use."""
        return self._spent_total

    @property
    def free(self) -> resources.Vector:
        """Amount that further tasks may use; may be negative."""
        usable = self.grant.elementwise_min(self._usable_limit)
        return usable - self.reserved - self.spent

    @property
    def unspent(self) -> resources.Vector:
        """Part of the grant that is neither in use nor reserved."""
        remaining = self.grant - self.reserved - self.spent
        return remaining.elementwise_max(resources.ZERO)

    @property
    def excess(self) -> resources.Vector:
        """Unused part of the grant above a lowered limit, to be returned."""
        kept = self._usable_limit.elementwise_max(self.spent + self.reserved)
        return (self.grant - kept).elementwise_max(resources.ZERO)

    def load_row(self, row: LimitRow, holder: str) -> None:
        """Set the grant to what the row holds for this VM."""
        self.grant = row.grants.get(holder) or resources.ZERO
        self._limit_before = row.limit.elementwise_max(row.granted)
        self._usable_limit = resources.UNLIMITED

    def apply_limit(self, limit: resources.Vector) -> None:
        """Cap usage at this VM's part of a lowered limit.

        Each holder keeps the same fraction of its grant, so that the sum
        of the usable amounts is within the lowered limit immediately, even
        while the table service is unavailable.
        """
        self._limit_before = self._limit_before.elementwise_max(limit)
        if self._limit_before.fits_in(limit):
            self._usable_limit = resources.UNLIMITED
            return
        self._usable_limit = resources.Vector(
            *(
                held * now / before if before > 0 else 0.0
                for held, now, before in zip(
                    self.grant.values(),
                    limit.values(),
                    self._limit_before.values(),
                )
            )
        )

    def spend(
        self, task: str, amount: resources.Vector
    ) -> Spent | codes.Refused:
        """Reserve an amount for a task; idempotent for each task."""
        if task in self._spent:
            return Spent(self.free)
        if not amount.fits_in(self.free):
            return codes.Refused(
                codes.Result.TEAM_LIMIT, "the grant of this VM is spent"
            )
        self._add(task, amount)
        return Spent(self.free)

    def adopt(self, task: str, amount: resources.Vector) -> None:
        """Account for a running task, out of the reserved part."""
        if task not in self._spent:
            self._add(task, amount)
            remaining = self.reserved - amount
            self.reserved = remaining.elementwise_max(resources.ZERO)

    def release(self, task: str) -> None:
        """Free the amount of a task that no longer runs."""
        amount = self._spent.pop(task, None)
        if amount is not None:
            self._spent_total = self._spent_total - amount
        if not self._spent:
            self._spent_total = resources.ZERO

    def _add(self, task: str, amount: resources.Vector) -> None:
        self._spent[task] = amount
        self._spent_total = self._spent_total + amount
