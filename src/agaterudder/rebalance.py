"""Moves VMs between pools when a shortage justifies the cost of a move.

One pool may be the buffer: it lends VMs to pools with a shortage, and gets
them back afterwards. Hysteresis keeps the number of moves low: a pool gets a
VM only after its shortage has lasted for some time, and returns one only
after its surplus has lasted longer.
"""

import dataclasses
import math
import typing as t

SHORTAGE_SECONDS = 15.0
SURPLUS_SECONDS = 120.0
MIN_SHORTAGE_VMS = 0.25
MIN_SURPLUS_VMS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Size and demand of one pool, in VMs.

    :ivar size: VMs in the pool.
    :ivar demand: running and waiting work, in VMs of the pool.
    :ivar min_size: VMs that the pool must keep.
    :ivar lent: VMs that the pool has on loan from the buffer.
    :ivar incoming: VMs that are being moved into the pool.
    """

    pool: str
    size: int
    demand: float
    min_size: int
    lent: int = 0
    incoming: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """Move one VM from a pool to another, with the reason."""

    source: str
    target: str
    reason: str


class Rebalance:
    """Decides on moves; tracks how long each pool is short or in surplus."""

    __slots__ = ("_short_since", "_surplus_since")

    def __init__(self) -> None:
        self._short_since: dict[str, float] = {}
        self._surplus_since: dict[str, float] = {}

    def decide(
        self, pools: t.Sequence[PoolDemand], buffer: str, now: float
    ) -> Shift | None:
        """Return the next move, or None.

        :param buffer: name of the buffer pool.
        :param now: current time in seconds.
        """
        for pool in pools:
            self._update(pool, now)
        buffer_pool = next((x for x in pools if x.pool == buffer), None)
        others = [pool for pool in pools if pool.pool != buffer]
        if buffer_pool is None:
            return None
        return self._lend(others, buffer_pool, now) or self._return_lent(
            others, buffer_pool, now
        )

    def _update(self, pool: PoolDemand, now: float) -> None:
        shortage = pool.demand - pool.size - pool.incoming
        if shortage > MIN_SHORTAGE_VMS:
            self._short_since.setdefault(pool.pool, now)
        else:
            self._short_since.pop(pool.pool, None)
        if pool.size - pool.demand >= MIN_SURPLUS_VMS:
            self._surplus_since.setdefault(pool.pool, now)
        else:
            self._surplus_since.pop(pool.pool, None)

    def _lend(
        self,
        others: t.Sequence[PoolDemand],
        buffer_pool: PoolDemand,
        now: float,
    ) -> Shift | None:
        idle = buffer_pool.size - max(
            buffer_pool.min_size, math.ceil(buffer_pool.demand)
        )
        short_pools = [
            pool
            for pool in others
            if now - self._short_since.get(pool.pool, now) >= SHORTAGE_SECONDS
        ]
        if not short_pools:
            return None
        target = max(short_pools, key=lambda pool: pool.demand / pool.size)
        reason = f"wants {target.demand:.1f} VMs, has {target.size}"
        if idle >= 1:
            return Shift(buffer_pool.pool, target.pool, reason)
        surplus_pools = self._pools_in_surplus(others, SHORTAGE_SECONDS, now)
        if not surplus_pools:
            return None
        return Shift(surplus_pools[0].pool, target.pool, reason)

    def _pools_in_surplus(
        self, others: t.Sequence[PoolDemand], seconds: float, now: float
    ) -> list[PoolDemand]:
        """Return the pools with a spare lent VM, largest surplus first.

        :param seconds: how long the surplus must have lasted.
        """
        found = [
            pool
            for pool in others
            if pool.lent
            and pool.size - pool.demand >= MIN_SURPLUS_VMS
            and pool.size > pool.min_size
            and now - self._surplus_since.get(pool.pool, now) >= seconds
        ]
        return sorted(found, key=lambda pool: pool.demand - pool.size)

    def _return_lent(
        self,
        others: t.Sequence[PoolDemand],
        buffer_pool: PoolDemand,
        now: float,
    ) -> Shift | None:
        surplus_pools = self._pools_in_surplus(others, SURPLUS_SECONDS, now)
        if not surplus_pools:
            return None
        source = surplus_pools[0]
        reason = f"wants {source.demand:.1f} VMs, has {source.size}"
        return Shift(source.pool, buffer_pool.pool, reason)
