"""Leases of pools: which process holds which pool.

A pool has one holder: a process of an entry VM, which renews the lease in
the pool's lease row of the store. A second row, the holder row, changes only
with the holder. Its version is the epoch: the fencing token in orders to
workers and the precondition of every write for the pool.
"""

import logging
import random
import typing as t

import gevent

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import greenlets
from agaterudder.jobs import model
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

# Longest delay between two scans for pools without a holder.
SCAN_INTERVAL_SECONDS = 0.5
# While no pool is known yet, or when a claim is due.
MIN_SCAN_INTERVAL_SECONDS = 0.02
RENEW_INTERVAL_SECONDS = 0.6
# Delay after a renewal that failed.
RETRY_SECONDS = 0.15
# Also limits the other writes of a lease row.
RENEW_TIMEOUT_SECONDS = 0.7
# The holder treats its lease as expired this much earlier than others do.
LEASE_MARGIN_SECONDS = 0.15
# On one core. A process delays its claims the longer the slower its processor
# is and the more pools it holds, so that others go first.
CLAIM_DELAY_SECONDS = 0.12
CLAIM_DELAY_PER_POOL_SECONDS = 0.3
CLAIM_JITTER_SECONDS = 0.1
RELEASE_ATTEMPTS = 2


class StoreClock:
    """An upper bound of the store's clock.

    The store reads its clock after the call was sent, so the clock has
    advanced from the reading by no more than the time since then.
    """

    __slots__ = ("_store_clock", "_sent_at")

    def __init__(self) -> None:
        self._store_clock = 0.0
        self._sent_at = 0.0

    def update(self, reading: float, sent_at: float) -> None:
        """Record the clock reading in the answer to a call.

        :param sent_at: when the call was sent, by :func:`clock.now`.
        """
        self._store_clock = reading
        self._sent_at = sent_at

    def upper_bound(self, now: float) -> float:
        """Return the highest reading that the store's clock may have."""
        return self._store_clock + (now - self._sent_at)


class Lease:
    """Lease of one pool, held by this process.

    :ivar epoch: version of the pool's holder row, 0 until it is written.
    :ivar valid_until: until when this process relies on the lease, by
        :func:`clock.now`.
    :ivar version: version of the pool's lease row at the last write.
    :ivar lost: whether the lease was lost or given up, which is final.
    """

    __slots__ = (
        "pool",
        "epoch",
        "valid_until",
        "version",
        "lost",
    )

    def __init__(self, pool: str, version: int, valid_until: float) -> None:
        self.pool = pool
        self.epoch = 0
        self.version = version
        self.valid_until = valid_until
        self.lost = False

    def valid(self, now: float) -> bool:
        """Return whether this process still holds the lease."""
        return not self.lost and now < self.valid_until


class LeaseManager:
    """Acquires, renews and releases the leases of pools.

    :param vm: name of this entry VM.
    :param incarnation: identifies this process among all those of the VM.
    :param lease_seconds: length of a lease.
    :param cores: processor capacity of this VM.
    :param pools: returns the names of all pools.
    :param on_acquired: called with a lease that was acquired.
    :param on_lost: called with a lease that was lost, and the reason.
    """

    __slots__ = (
        "_vm",
        "_incarnation",
        "_store",
        "_lease_seconds",
        "_cores",
        "_pools",
        "_on_acquired",
        "_on_lost",
        "_store_clock",
        "_rows",
        "_version",
        "_leases",
        "_claim_due_at",
        "_random",
        "_unreadable_reason",
        "shutting_down",
    )

    def __init__(
        self,
        vm: str,
        incarnation: str,
        store: ports.Store,
        lease_seconds: float,
        cores: float,
        pools: t.Callable[[], list[str]],
        on_acquired: t.Callable[[Lease], None],
        on_lost: t.Callable[[Lease, str], None],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._store = store
        self._lease_seconds = lease_seconds
        self._cores = cores
        self._pools = pools
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._store_clock = StoreClock()
        self._rows: dict[str, ports.Row] = {}
        self._version: int | None = None
        self._leases: dict[str, Lease] = {}
        self._claim_due_at: dict[str, float] = {}
        self._random = random.Random(f"{vm}{incarnation}")
        self._unreadable_reason = ""
        self.shutting_down = False

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases that this process holds, by pool."""
        return self._leases

    def store_clock(self) -> float:
        """Return an upper bound of the store's clock."""
        return self._store_clock.upper_bound(clock.now())

    def run(self) -> None:
        """Claim pools without a holder until the greenlet is killed."""
        while True:
            if not self.shutting_down and not self._scan():
                gevent.sleep(SCAN_INTERVAL_SECONDS)
                continue
            gevent.sleep(self.next_scan_delay(clock.now()))

    def _scan(self) -> bool:
        """Claim pools without a holder; return whether the rows were read."""
        try:
            self._claim_free_pools()
        except exceptions.CallFailed as error:
            LOG.debug("pool leases not read; retrying", extra={"why": error})
            return False
        except exceptions.Undecodable as error:
            self._report_unreadable(str(error))
            return False
        except Exception:
            # This process would claim no pool any more.
            LOG.exception("scan for pools without a holder failed; retrying")
            return False
        return True

    def _report_unreadable(self, reason: str) -> None:
        """Log a lease that can't be decoded, once for each reason."""
        if reason != self._unreadable_reason:
            self._unreadable_reason = reason
            LOG.warning(
                "pool lease can't be decoded; the pool is not claimed",
                extra={"why": reason},
            )

    def next_scan_delay(self, now: float) -> float:
        """Return how long to wait before the next scan for free pools.

        The next scan is due as soon as a lease expires by the rows that
        are known, or a claim is due.
        """
        pools = self._pools()
        if not pools:
            return MIN_SCAN_INTERVAL_SECONDS
        store_now = self._store_clock.upper_bound(now)
        expiries = [
            _lease_of(row).expires_at - store_now
            for pool, row in self._rows.items()
            if pool in pools
            and pool not in self._leases
            and pool not in self._claim_due_at
        ]
        claims = [due - now for due in self._claim_due_at.values()]
        soonest = min([*expiries, *claims], default=SCAN_INTERVAL_SECONDS)
        return min(
            max(soonest, MIN_SCAN_INTERVAL_SECONDS), SCAN_INTERVAL_SECONDS
        )

    def _claim_free_pools(self) -> None:
        """Claim the pools whose leases are free.

        :raises Undecodable: at the end, when the lease of some pool can't be
            decoded.
        """
        store_now = self._read_leases()
        unreadable: exceptions.Undecodable | None = None
        for pool in self._pools():
            if pool in self._leases or self.shutting_down:
                continue
            try:
                claimable = self._claimable(
                    pool, self._rows.get(pool), store_now
                )
            except exceptions.Undecodable as error:
                unreadable = error
                continue
            if claimable:
                self._claim(pool, self._rows.get(pool))
        if unreadable is not None:
            raise unreadable

    def _read_leases(self) -> float:
        """Refresh the lease rows; return the store's clock."""
        sent_at = clock.now()
        if self._version is None:
            return self._read_all(sent_at)
        found = self._store.changes(model.LEASES_TABLE, self._version, 0.0)
        if isinstance(found, ports.HistoryLost):
            return self._read_all(sent_at)
        self._cache_rows(found.rows)
        self._version = max(found.version, self._version)
        self._store_clock.update(found.clock, sent_at)
        return found.clock

    def _read_all(self, sent_at: float) -> float:
        version: int | None = None
        store_now = 0.0
        for pool in self._pools():
            scan = self._store.scan(
                model.LEASES_TABLE, model.lease_partition(pool)
            )
            # The version of the first scan is kept: the next read of changes
            # then returns the rows that change during the other scans.
            version = scan.version if version is None else version
            store_now = scan.clock
            self._cache_rows(scan.rows)
        self._store_clock.update(store_now, sent_at)
        self._version = version
        return store_now

    def _cache_rows(self, rows: tuple[ports.Row, ...]) -> None:
        for row in rows:
            pool = row.partition.removeprefix(model.lease_partition(""))
            if row.version:
                self._rows[pool] = row

    def _claimable(
        self, pool: str, row: ports.Row | None, store_now: float
    ) -> bool:
        """Return whether a pool has no holder and our claim is due.

        The first call for a free pool sets when the claim is due, unless
        an earlier process of this VM has the lease.
        """
        if row is not None:
            lease = _lease_of(row)
            if self._held_by_previous_process(lease):
                return True
            if store_now < lease.expires_at:
                self._claim_due_at.pop(pool, None)
                return False
        now = clock.now()
        delay = CLAIM_DELAY_PER_POOL_SECONDS * len(self._leases)
        delay = (CLAIM_DELAY_SECONDS + delay) / self._cores
        delay += self._random.random() * CLAIM_JITTER_SECONDS
        return now >= self._claim_due_at.setdefault(pool, now + delay)

    def _held_by_previous_process(self, lease: model.Lease) -> bool:
        """Return whether an earlier process of this VM holds a lease.

        That process has ended, as this one started only after it.
        """
        return lease.vm == self._vm and lease.incarnation != self._incarnation

    def _claim(self, pool: str, row: ports.Row | None) -> None:
        self._claim_due_at.pop(pool, None)
        sent_at = clock.now()
        outcome = self._write(pool, row.version if row else 0, sent_at)
        if not isinstance(outcome, ports.Committed):
            why = (
                "another process claimed it first"
                if isinstance(outcome, ports.Conflicted)
                else outcome.reason
            )
            LOG.info(
                "pool lease not acquired", extra={"pool": pool, "why": why}
            )
            self._claim_due_at[pool] = clock.now() + SCAN_INTERVAL_SECONDS
            return
        lease = Lease(
            pool, outcome.version, sent_at + self._holder_lease_seconds
        )
        self._store_clock.update(outcome.clock, sent_at)
        epoch = self._raise_epoch(lease)
        if epoch is None:
            self._release(lease)
            self._claim_due_at[pool] = clock.now() + SCAN_INTERVAL_SECONDS
            return
        lease.epoch = epoch
        LOG.info(
            "pool lease acquired",
            extra={
                "pool": pool,
                "epoch": epoch,
                "before": _lease_of(row).vm if row else "",
                "valid": round(lease.valid_until - clock.now(), 2),
            },
        )
        self._leases[pool] = lease
        greenlets.spawn(
            self._renew_loop,
            lease,
            what="lease renewal",
            on_failure=lambda: self.step_down(lease, "its renewal failed"),
            pool=pool,
        )
        self._on_acquired(lease)

    @property
    def _holder_lease_seconds(self) -> float:
        """How long the holder itself relies on a lease."""
        return self._lease_seconds - LEASE_MARGIN_SECONDS

    def _write(self, pool: str, version: int, sent_at: float) -> ports.Outcome:
        expires_at = (
            self._store_clock.upper_bound(sent_at) + self._lease_seconds
        )
        row = model.Lease(self._vm, self._incarnation, expires_at)
        return self._store.transact(
            model.lease_partition(pool),
            [ports.Precondition(model.LEASES_TABLE, model.LEASE_KEY, version)],
            [
                ports.Put(
                    model.LEASES_TABLE, model.LEASE_KEY, model.encode(row)
                )
            ],
            timeout=RENEW_TIMEOUT_SECONDS,
        )

    def _raise_epoch(self, lease: Lease) -> int | None:
        """Write the holder row; return its version as the new epoch.

        It is not written once the lease has run out: the row that was read
        may be that of the next holder.
        """
        pool = lease.pool
        own = model.Holder(self._vm, self._incarnation)
        try:
            row = self._store.read(model.HOLDERS_TABLE, pool, model.HOLDER_KEY)
        except exceptions.CallFailed as error:
            LOG.warning(
                "pool epoch not read; releasing the lease",
                extra={"pool": pool, "why": error},
            )
            return None
        if not lease.valid(clock.now()):
            LOG.warning(
                "pool epoch not raised; releasing the lease",
                extra={"pool": pool, "why": "the lease has run out"},
            )
            return None
        outcome = self._store.transact(
            pool,
            [
                ports.Precondition(
                    model.HOLDERS_TABLE,
                    model.HOLDER_KEY,
                    row.version if row else 0,
                )
            ],
            [
                ports.Put(
                    model.HOLDERS_TABLE, model.HOLDER_KEY, model.encode(own)
                )
            ],
        )
        if isinstance(outcome, ports.Committed):
            return outcome.version
        LOG.warning(
            "pool epoch not raised; releasing the lease",
            extra={"pool": pool, "why": outcome},
        )
        return None

    # Renewal

    def _renew_loop(self, lease: Lease) -> None:
        while not lease.lost:
            gevent.sleep(RENEW_INTERVAL_SECONDS)
            while not lease.lost and not self._renew(lease):
                gevent.sleep(RETRY_SECONDS)

    def _renew(self, lease: Lease) -> bool:
        """Renew a lease once.

        :returns: False when the renewal has to be tried again soon.
        """
        sent_at = clock.now()
        outcome = self._write(lease.pool, lease.version, sent_at)
        if lease.lost:
            return True
        match outcome:
            case ports.Committed(version=version, clock=reading):
                if not lease.valid(clock.now()):
                    # The row still had our version: no other process has
                    # acquired the pool since the lease expired.
                    LOG.info(
                        "expired pool lease renewed",
                        extra={"pool": lease.pool},
                    )
                self._store_clock.update(reading, sent_at)
                lease.version = version
                lease.valid_until = sent_at + self._holder_lease_seconds
                return True
            case ports.Conflicted(rows=rows):
                return self._resolve_conflict(lease, rows)
            case refused:
                LOG.debug(
                    "pool lease not renewed; retrying",
                    extra={"pool": lease.pool, "why": refused},
                )
                return False

    def _resolve_conflict(
        self, lease: Lease, rows: tuple[ports.Row, ...]
    ) -> bool:
        """Handle a lease row that has another version than expected.

        :returns: False when the renewal has to be tried again soon.
        """
        row = next((row for row in rows if row.key == model.LEASE_KEY), None)
        if row is not None and row.value:
            found = _lease_of(row)
            if found.incarnation == self._incarnation:
                # An earlier renewal took effect although no answer arrived.
                lease.version = row.version
                return False
        self._mark_lost(lease, "another process holds the pool")
        return True

    def _mark_lost(self, lease: Lease, reason: str) -> None:
        if lease.lost:
            return
        lease.lost = True
        self._leases.pop(lease.pool, None)
        LOG.warning(
            "pool lease lost; stopping its holder",
            extra={"pool": lease.pool, "epoch": lease.epoch, "why": reason},
        )
        self._on_lost(lease, reason)

    def step_down(self, lease: Lease, reason: str) -> None:
        """Give a lease up because a higher epoch was seen."""
        self._mark_lost(lease, reason)

    def release_all(self) -> None:
        """Release all leases, so that others can acquire them at once."""
        self.shutting_down = True
        for lease in list(self._leases.values()):
            self._mark_lost(lease, "this process is shutting down")
            self._release(lease)

    def _release(self, lease: Lease) -> None:
        """Store the lease as expired."""
        row = model.Lease(self._vm, self._incarnation, 0.0)
        precondition = ports.Precondition(
            model.LEASES_TABLE, model.LEASE_KEY, lease.version
        )
        put = ports.Put(model.LEASES_TABLE, model.LEASE_KEY, model.encode(row))
        for _ in range(RELEASE_ATTEMPTS):
            outcome = self._store.transact(
                model.lease_partition(lease.pool),
                [precondition],
                [put],
                timeout=RENEW_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, (ports.Committed, ports.Conflicted)):
                return


def _lease_of(row: ports.Row) -> model.Lease:
    return model.decode(row.value, model.Lease)
