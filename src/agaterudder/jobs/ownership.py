"""Which process holds which pool.

A pool has one holder. Its lease lies in a row that it renews; the row of
the holder changes only with the holder, and its version is the epoch: the
fencing token towards the workers and the condition of all that is written
for the pool.
"""

import logging
import random
import typing as t

import gevent

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

LOOK_SECONDS = 0.5
# While there is nothing to look at yet, or a claim is due.
SHORT_LOOK_SECONDS = 0.02
RENEW_SECONDS = 0.6
RETRY_SECONDS = 0.15
RENEW_TIMEOUT_SECONDS = 0.7
# The lease ends earlier for its holder than for others.
HOLDER_MARGIN_SECONDS = 0.15
# A process that holds pools lets others go first.
DELAY_PER_POOL_SECONDS = 0.3
DELAY_SPREAD_SECONDS = 0.1
GIVE_UP_TRIES = 2


class StoreClock:
    """The most that the store's clock may show now."""

    __slots__ = ("_clock", "_sent_at")

    def __init__(self) -> None:
        self._clock = 0.0
        self._sent_at = 0.0

    def note(self, reading: float, sent_at: float) -> None:
        """Take a reading from an answer to a call sent at a time."""
        self._clock = reading
        self._sent_at = sent_at

    def at_most(self, now: float) -> float:
        """Return the most that it may show."""
        return self._clock + (now - self._sent_at)


class Lease:
    """Lease of one pool, held by this process.

    :ivar valid_until: by :func:`clock.now`.
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
        """Return whether this process may order workers now."""
        return not self.lost and now < self.valid_until


class Owner:
    """Takes and renews the leases of pools.

    :param pools: returns the pools there are.
    :param take: called with a lease that was taken.
    :param drop: called with a lease that was lost.
    """

    __slots__ = (
        "_vm",
        "_incarnation",
        "_store",
        "_lease_seconds",
        "_pools",
        "_take",
        "_drop",
        "_clock",
        "_rows",
        "_version",
        "_leases",
        "_not_before",
        "_random",
        "leaving",
    )

    def __init__(
        self,
        vm: str,
        incarnation: str,
        store: ports.Store,
        lease_seconds: float,
        pools: t.Callable[[], list[str]],
        take: t.Callable[[Lease], None],
        drop: t.Callable[[Lease, str], None],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._store = store
        self._lease_seconds = lease_seconds
        self._pools = pools
        self._take = take
        self._drop = drop
        self._clock = StoreClock()
        self._rows: dict[str, ports.Row] = {}
        self._version: int | None = None
        self._leases: dict[str, Lease] = {}
        self._not_before: dict[str, float] = {}
        self._random = random.Random(f"{vm}{incarnation}")
        self.leaving = False

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases that this process holds, by pool."""
        return self._leases

    def store_clock(self) -> float:
        """Return the store's clock, as far as known."""
        return self._clock.at_most(clock.now())

    def run(self) -> None:
        """Look for pools without a holder, for ever."""
        while True:
            if not self.leaving:
                try:
                    self._look()
                except exceptions.CallFailed as error:
                    LOG.debug("leases not read", extra={"why": error})
                    gevent.sleep(LOOK_SECONDS)
                    continue
            gevent.sleep(self.pause(clock.now()))

    def pause(self, now: float) -> float:
        """Return how long to wait before the next look.

        A pool is looked at as soon as its lease is over by the rows that
        are known, or its claim is due.
        """
        pools = self._pools()
        if not pools:
            return SHORT_LOOK_SECONDS
        at = self._clock.at_most(now)
        ends = [
            _lease_of(row).expires_at - at
            for pool, row in self._rows.items()
            if pool in pools
            and pool not in self._leases
            and pool not in self._not_before
        ]
        claims = [due - now for due in self._not_before.values()]
        soonest = min([*ends, *claims], default=LOOK_SECONDS)
        return min(max(soonest, SHORT_LOOK_SECONDS), LOOK_SECONDS)

    def _look(self) -> None:
        at = self._read_leases()
        for pool in self._pools():
            if pool in self._leases or self.leaving:
                continue
            if self._free(pool, self._rows.get(pool), at):
                self._claim(pool, self._rows.get(pool))

    def _read_leases(self) -> float:
        """Learn the leases' rows; return the store's clock."""
        sent_at = clock.now()
        if self._version is None:
            return self._read_whole(sent_at)
        found = self._store.changes(model.LEASES_TABLE, self._version, 0.0)
        if isinstance(found, ports.HistoryLost):
            return self._read_whole(sent_at)
        self._note_rows(found.rows)
        self._version = max(found.version, self._version)
        self._clock.note(found.clock, sent_at)
        return found.clock

    def _read_whole(self, sent_at: float) -> float:
        version: int | None = None
        at = 0.0
        for pool in self._pools():
            scan = self._store.scan(model.LEASES_TABLE, model.lease_part(pool))
            # What changes while the others are read is read again.
            version = scan.version if version is None else version
            at = scan.clock
            self._note_rows(scan.rows)
        self._clock.note(at, sent_at)
        self._version = version
        return at

    def _note_rows(self, rows: tuple[ports.Row, ...]) -> None:
        for row in rows:
            pool = row.part.removeprefix(model.lease_part(""))
            if row.version:
                self._rows[pool] = row

    def _free(self, pool: str, row: ports.Row | None, at: float) -> bool:
        """Return whether a pool has no holder and it is our turn."""
        if row is not None:
            lease = _lease_of(row)
            if self._ended_life(lease):
                return True
            if at < lease.expires_at:
                self._not_before.pop(pool, None)
                return False
        now = clock.now()
        delay = DELAY_PER_POOL_SECONDS * len(self._leases)
        delay += self._random.random() * DELAY_SPREAD_SECONDS
        return now >= self._not_before.setdefault(pool, now + delay)

    def _ended_life(self, lease: model.Lease) -> bool:
        """Return whether an earlier process of this VM held a lease.

        This process could start only after that one had ended.
        """
        return lease.vm == self._vm and lease.incarnation != self._incarnation

    def _claim(self, pool: str, row: ports.Row | None) -> None:
        self._not_before.pop(pool, None)
        sent_at = clock.now()
        outcome = self._write(pool, row.version if row else 0, sent_at)
        if not isinstance(outcome, ports.Committed):
            why = (
                "another process was first"
                if isinstance(outcome, ports.Conflicted)
                else outcome.reason
            )
            LOG.info("pool not taken", extra={"pool": pool, "why": why})
            self._not_before[pool] = clock.now() + LOOK_SECONDS
            return
        lease = Lease(pool, outcome.version, sent_at + self._own_seconds)
        self._clock.note(outcome.clock, sent_at)
        epoch = self._raise_epoch(pool)
        if epoch is None:
            self._give_up(lease)
            self._not_before[pool] = clock.now() + LOOK_SECONDS
            return
        lease.epoch = epoch
        LOG.info(
            "pool taken",
            extra={
                "pool": pool,
                "epoch": epoch,
                "before": _lease_of(row).vm if row else "",
                "valid": round(lease.valid_until - clock.now(), 2),
            },
        )
        self._leases[pool] = lease
        gevent.spawn(self._renew_for_ever, lease)
        self._take(lease)

    @property
    def _own_seconds(self) -> float:
        """How long a lease counts for its holder."""
        return self._lease_seconds - HOLDER_MARGIN_SECONDS

    def _write(self, pool: str, version: int, sent_at: float) -> ports.Outcome:
        expires_at = self._clock.at_most(sent_at) + self._lease_seconds
        row = model.Lease(self._vm, self._incarnation, expires_at)
        return self._store.transact(
            model.lease_part(pool),
            [ports.Check(model.LEASES_TABLE, model.LEASE_KEY, version)],
            [
                ports.Put(
                    model.LEASES_TABLE, model.LEASE_KEY, model.encode(row)
                )
            ],
            timeout=RENEW_TIMEOUT_SECONDS,
        )

    def _raise_epoch(self, pool: str) -> int | None:
        """Write the row of the holder; return its version."""
        own = model.Holder(self._vm, self._incarnation)
        try:
            row = self._store.read(model.HOLDERS_TABLE, pool, model.HOLDER_KEY)
        except exceptions.CallFailed as error:
            LOG.warning("epoch not read", extra={"pool": pool, "why": error})
            return None
        outcome = self._store.transact(
            pool,
            [
                ports.Check(
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
        LOG.warning("epoch not raised", extra={"pool": pool, "why": outcome})
        return None

    # Renewal

    def _renew_for_ever(self, lease: Lease) -> None:
        while not lease.lost:
            gevent.sleep(RENEW_SECONDS)
            while not lease.lost and not self._renew(lease):
                gevent.sleep(RETRY_SECONDS)

    def _renew(self, lease: Lease) -> bool:
        """Renew once; return whether it is settled for now."""
        sent_at = clock.now()
        outcome = self._write(lease.pool, lease.version, sent_at)
        if lease.lost:
            return True
        match outcome:
            case ports.Committed(version=version, clock=reading):
                if not lease.valid(clock.now()):
                    # The row still had our version: nobody took the pool.
                    LOG.info("lease resumed", extra={"pool": lease.pool})
                self._clock.note(reading, sent_at)
                lease.version = version
                lease.valid_until = sent_at + self._own_seconds
                return True
            case ports.Conflicted(rows=rows):
                return self._settle_conflict(lease, rows)
            case refused:
                LOG.debug(
                    "lease not renewed",
                    extra={"pool": lease.pool, "why": refused},
                )
                return False

    def _settle_conflict(
        self, lease: Lease, rows: tuple[ports.Row, ...]
    ) -> bool:
        row = next((row for row in rows if row.key == model.LEASE_KEY), None)
        if row is not None and row.value:
            found = _lease_of(row)
            if found.incarnation == self._incarnation:
                # A renewal without an answer took effect.
                lease.version = row.version
                return False
        self._lose(lease, "another process holds the pool")
        return True

    def _lose(self, lease: Lease, reason: str) -> None:
        if lease.lost:
            return
        lease.lost = True
        self._leases.pop(lease.pool, None)
        LOG.warning(
            "pool lost",
            extra={"pool": lease.pool, "epoch": lease.epoch, "why": reason},
        )
        self._drop(lease, reason)

    def deposed(self, lease: Lease, reason: str) -> None:
        """Note that a higher epoch was met."""
        self._lose(lease, reason)

    def release_all(self) -> None:
        """Give the pools up, for others to take at once."""
        self.leaving = True
        for lease in list(self._leases.values()):
            self._lose(lease, "this process leaves")
            self._give_up(lease)

    def _give_up(self, lease: Lease) -> None:
        row = model.Lease(self._vm, self._incarnation, 0.0)
        check = ports.Check(model.LEASES_TABLE, model.LEASE_KEY, lease.version)
        put = ports.Put(model.LEASES_TABLE, model.LEASE_KEY, model.encode(row))
        for _ in range(GIVE_UP_TRIES):
            outcome = self._store.transact(
                model.lease_part(lease.pool),
                [check],
                [put],
                timeout=RENEW_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, (ports.Committed, ports.Conflicted)):
                return


def _lease_of(row: ports.Row) -> model.Lease:
    return model.decode(row.value, model.Lease)
