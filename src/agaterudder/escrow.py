"""Escrow of amounts that must never be exceeded.

A limit is divided ahead of need into grants, one for each holder, in one
row. The sum of the grants never exceeds the limit of the row. A holder
spends its grant without asking anyone. A grant leaves its holder only when
the holder hands it back, or when the platform says that the holder is gone
and every lease that the holder gave has lapsed.
"""

import dataclasses

import msgspec

from agaterudder import codes
from agaterudder import resources


class Pot(msgspec.Struct, frozen=True):
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
        """What can still be granted; never negative."""
        return (self.limit - self.granted).larger(resources.ZERO)


def relimited(pot: Pot, limit: resources.Vector, version: int) -> Pot:
    """Return the pot with the limit of a configuration version.

    A lower version changes nothing.
    """
    if version <= pot.version:
        return pot
    return msgspec.structs.replace(pot, limit=limit, version=version)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a holder asks for beyond its grant.

    :ivar least: amount without which nothing could start.
    :ivar wanted: amount that the next tasks would use.
    """

    least: resources.Vector
    wanted: resources.Vector


def enlarged(pot: Pot, holder: str, need: Need) -> Pot | codes.Refused:
    """Return the pot with more granted to a holder.

    Less than wanted is given when less is free, and nothing when the
    least is not.
    """
    given = need.wanted.larger(need.least).smaller(pot.free)
    if not need.least.fits_in(given):
        return codes.Refused(
            codes.Result.TEAM_LIMIT, "the whole limit is granted"
        )
    present = pot.grants.get(holder) or resources.ZERO
    return _with_grant(pot, holder, present, given)


def handed_back(pot: Pot, holder: str, amount: resources.Vector) -> Pot:
    """Return the pot after a holder handed an amount back."""
    present = pot.grants.get(holder) or resources.ZERO
    returned = amount.smaller(present)
    return _with_grant(pot, holder, present, returned.scaled(-1.0))


def transferred(
    pot: Pot, former: str, heir: str, amount: resources.Vector
) -> Pot:
    """Return the pot after an heir adopted running tasks.

    The part of the former holder's grant that covers the tasks goes with
    them, so that the sum stays as it was.
    """
    present = pot.grants.get(former) or resources.ZERO
    moved = amount.smaller(present)
    left = _with_grant(pot, former, present, moved.scaled(-1.0))
    own = left.grants.get(heir) or resources.ZERO
    return _with_grant(left, heir, own, moved)


def reclaimed(
    pot: Pot,
    holder: str,
    gone_at: float | None,
    lapse_seconds: float,
    now: float,
) -> Pot | codes.Refused:
    """Return the pot without the grant of a VM that is gone.

    :param gone_at: when the platform's list first named the VM as gone,
        monotonic seconds, None when it does not.
    :param lapse_seconds: time in which every lease that the VM gave has
        lapsed, with the margin for clock rates.
    """
    if gone_at is None:
        return codes.Refused(
            codes.Result.CONFLICT, f"{holder} is not known to be gone"
        )
    if now - gone_at < lapse_seconds:
        return codes.Refused(
            codes.Result.CONFLICT, f"leases of {holder} may still hold"
        )
    left = {vm: grant for vm, grant in pot.grants.items() if vm != holder}
    return msgspec.structs.replace(pot, grants=left)


def _with_grant(
    pot: Pot,
    holder: str,
    present: resources.Vector,
    added: resources.Vector,
) -> Pot:
    amount = (present + added).larger(resources.ZERO)
    grants = {**pot.grants, holder: amount}
    if not amount.is_positive():
        del grants[holder]
    return msgspec.structs.replace(pot, grants=grants)


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """The amount was taken from the grant."""

    left: resources.Vector


class Holding:
    """The grant of this process for one team, and what it spent of it.

    :ivar reserved: part that a former incarnation may still be using.
    """

    __slots__ = ("grant", "reserved", "_base", "_ceiling", "_spent", "_sum")

    def __init__(self) -> None:
        self.grant = resources.ZERO
        self.reserved = resources.ZERO
        self._base = resources.ZERO
        self._ceiling = resources.UNLIMITED
        self._spent: dict[str, resources.Vector] = {}
        self._sum = resources.ZERO

    @property
    def spent(self) -> resources.Vector:
        """What running tasks use of the grant."""
        return self._sum

    @property
    def free(self) -> resources.Vector:
        """What further tasks may use."""
        usable = self.grant.smaller(self._ceiling)
        return usable - self.reserved - self.spent

    @property
    def unspent(self) -> resources.Vector:
        """What neither tasks nor former ones use of the grant."""
        left = self.grant - self.reserved - self.spent
        return left.larger(resources.ZERO)

    @property
    def excess(self) -> resources.Vector:
        """What neither tasks nor a lowered limit leave to this VM."""
        kept = self._ceiling.larger(self.spent + self.reserved)
        return (self.grant - kept).larger(resources.ZERO)

    def took(self, pot: Pot, holder: str) -> None:
        """Take what the row now holds for this VM."""
        self.grant = pot.grants.get(holder) or resources.ZERO
        self._base = pot.limit.larger(pot.granted)
        self._ceiling = resources.UNLIMITED

    def limit_is(self, limit: resources.Vector) -> None:
        """Use no more than this VM's part of a lowered limit.

        Each holder keeps the same fraction of its grant, so that the sum
        of what may be used stays within the lowered limit at once, also
        while the table service is away.
        """
        self._base = self._base.larger(limit)
        if self._base.fits_in(limit):
            self._ceiling = resources.UNLIMITED
            return
        self._ceiling = resources.Vector(
            *(
                have * now / before if before > 0 else 0.0
                for have, now, before in zip(
                    self.grant.values(), limit.values(), self._base.values()
                )
            )
        )

    def spend(
        self, task: str, amount: resources.Vector
    ) -> Spent | codes.Refused:
        """Take an amount for a task, once for each task."""
        if task in self._spent:
            return Spent(self.free)
        if not amount.fits_in(self.free):
            return codes.Refused(
                codes.Result.TEAM_LIMIT, "the grant of this VM is spent"
            )
        self._add(task, amount)
        return Spent(self.free)

    def adopt(self, task: str, amount: resources.Vector) -> None:
        """Count a task that runs already under the reserved part."""
        if task not in self._spent:
            self._add(task, amount)
            left = self.reserved - amount
            self.reserved = left.larger(resources.ZERO)

    def release(self, task: str) -> None:
        """Give back what a task that no longer runs used."""
        amount = self._spent.pop(task, None)
        if amount is not None:
            self._sum = self._sum - amount
        if not self._spent:
            self._sum = resources.ZERO

    def _add(self, task: str, amount: resources.Vector) -> None:
        self._spent[task] = amount
        self._sum = self._sum + amount
