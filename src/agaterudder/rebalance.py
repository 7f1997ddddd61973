"""Moves VMs between pools when a need outlasts the cost of a move.

One pool may be the buffer: it lends VMs to pools in need and is paid back
when the need is over. Hysteresis keeps moves few: a pool gets a VM only
for a need that has lasted, and gives one only from a surplus that has
lasted longer.
"""

import dataclasses
import math
import typing as t

NEED_SECONDS = 15.0
SURPLUS_SECONDS = 120.0
NEED_FRACTION = 0.25
SURPLUS_VMS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """What one pool has and wants, in VMs.

    :ivar size: VMs in the pool.
    :ivar wanted: running and waiting work, in VMs of the pool.
    :ivar least: VMs that the pool must keep.
    :ivar lent: VMs that the pool has from the buffer.
    :ivar coming: VMs that are on their way into the pool.
    """

    pool: str
    size: int
    wanted: float
    least: int
    lent: int = 0
    coming: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """Move one VM from a pool to another, and why."""

    source: str
    target: str
    reason: str


class Rebalance:
    """Since when each pool has been in need or in surplus."""

    __slots__ = ("_need_since", "_surplus_since")

    def __init__(self) -> None:
        self._need_since: dict[str, float] = {}
        self._surplus_since: dict[str, float] = {}

    def decide(
        self, pools: t.Sequence[PoolDemand], buffer: str, now: float
    ) -> Shift | None:
        """Return the next move, or None.

        :param buffer: name of the buffer pool.
        :param now: present time in seconds.
        """
        for pool in pools:
            self._note(pool, now)
        lending = next((x for x in pools if x.pool == buffer), None)
        others = [pool for pool in pools if pool.pool != buffer]
        if lending is None:
            return None
        return self._lend(others, lending, now) or self._pay_back(
            others, lending, now
        )

    def _note(self, pool: PoolDemand, now: float) -> None:
        short = pool.wanted - pool.size - pool.coming
        if short > NEED_FRACTION:
            self._need_since.setdefault(pool.pool, now)
        else:
            self._need_since.pop(pool.pool, None)
        if pool.size - pool.wanted >= SURPLUS_VMS:
            self._surplus_since.setdefault(pool.pool, now)
        else:
            self._surplus_since.pop(pool.pool, None)

    def _lend(
        self,
        others: t.Sequence[PoolDemand],
        lending: PoolDemand,
        now: float,
    ) -> Shift | None:
        idle = lending.size - max(lending.least, math.ceil(lending.wanted))
        needy = [
            pool
            for pool in others
            if now - self._need_since.get(pool.pool, now) >= NEED_SECONDS
        ]
        if not needy:
            return None
        neediest = max(needy, key=lambda pool: pool.wanted / pool.size)
        reason = f"wants {neediest.wanted:.1f} VMs, has {neediest.size}"
        if idle >= 1:
            return Shift(lending.pool, neediest.pool, reason)
        rich = self._rich(others, NEED_SECONDS, now)
        if not rich:
            return None
        return Shift(rich[0].pool, neediest.pool, reason)

    def _rich(
        self, others: t.Sequence[PoolDemand], seconds: float, now: float
    ) -> list[PoolDemand]:
        """Return pools with a lent VM to spare for so long, richest first."""
        found = [
            pool
            for pool in others
            if pool.lent
            and pool.size - pool.wanted >= SURPLUS_VMS
            and pool.size > pool.least
            and now - self._surplus_since.get(pool.pool, now) >= seconds
        ]
        return sorted(found, key=lambda pool: pool.wanted - pool.size)

    def _pay_back(
        self,
        others: t.Sequence[PoolDemand],
        lending: PoolDemand,
        now: float,
    ) -> Shift | None:
        rich = self._rich(others, SURPLUS_SECONDS, now)
        if not rich:
            return None
        richest = rich[0]
        reason = f"wants {richest.wanted:.1f} VMs, has {richest.size}"
        return Shift(richest.pool, lending.pool, reason)
