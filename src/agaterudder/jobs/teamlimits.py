"""Grants of the teams' upper limits to one pool.

One row for each team divides its limit among the pools; the grant of a pool
passes to the next holder of the pool.
"""

import logging
import math

from agaterudder import codes
from agaterudder import escrow
from agaterudder import exceptions
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder import resources

LOG = logging.getLogger(__name__)

TABLE = "limits"
PARTITION = "limits"
# A grant that is not needed for this long is returned.
IDLE_SECONDS = 1.5
# For this long, a request that failed shows that a limit is fully granted.
EXHAUSTED_SECONDS = 3.0
# A grant that is too small for the next task, with none to be added, is
# returned after this long: what it holds may be what another pool lacks.
BLOCKED_SECONDS = 0.3


class _Account:
    """One team's grant in this pool.

    :ivar return_pending: whether the row may hold more for this pool than
        the local grant: unused amounts were given up here, or a larger grant
        was written without an answer.
    :ivar exhausted_at: when the last request failed because the limit was
        fully granted.
    :ivar blocked_since: since when requests have failed so and no run was
        charged, 0 otherwise.
    :ivar taken_over: whether the grant of the earlier holders was taken over.
    """

    __slots__ = (
        "local_grant",
        "needed",
        "needed_at",
        "return_pending",
        "exhausted_at",
        "blocked_since",
        "taken_over",
    )

    def __init__(self) -> None:
        self.local_grant = escrow.LocalGrant()
        self.needed: escrow.GrantRequest | None = None
        self.needed_at = 0.0
        self.return_pending = False
        self.exhausted_at = -math.inf
        self.blocked_since = 0.0
        self.taken_over = False


class TeamLimits:
    """Grants of one pool.

    :param pool: name of the pool, which holds the grants.
    """

    __slots__ = ("_pool", "_teams", "_version", "_accounts")

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._teams: dict[str, operatorconfig.Team] = {}
        self._version = 0
        self._accounts: dict[str, _Account] = {}

    def configure(self, configuration: operatorconfig.Configuration) -> None:
        """Apply the limits of a configuration."""
        self._teams = configuration.teams
        self._version = configuration.version

    def limited(self, team: str) -> bool:
        """Return whether a team has an upper limit."""
        found = self._teams.get(team)
        return found is not None and found.limit != resources.UNLIMITED

    def _account(self, team: str) -> _Account:
        return self._accounts.setdefault(team, _Account())

    def weight(self, team: str) -> float:
        """Return the weight of a team's share."""
        found = self._teams.get(team)
        return found.weight if found is not None else 1.0

    def fits(self, team: str, size: resources.Vector) -> bool:
        """Return whether an amount is covered by the grant."""
        local_grant = self._account(team).local_grant
        local_grant.apply_limit(self._teams[team].limit)
        return size.fits_in(local_grant.free)

    def covers(self, team: str, size: resources.Vector) -> bool:
        """Return whether the present grant covers an amount.

        Unlike :meth:`fits`, it applies no changed limit.
        """
        account = self._accounts.get(team)
        return account is not None and size.fits_in(account.local_grant.free)

    def headroom(self, team: str, now: float) -> resources.Vector:
        """Return the most that a team may use here beyond its usage."""
        if not self.limited(team):
            return resources.UNLIMITED
        account = self._account(team)
        local_grant = account.local_grant
        if now - account.exhausted_at < EXHAUSTED_SECONDS:
            return local_grant.free.elementwise_max(resources.ZERO)
        used = local_grant.spent + local_grant.reserved
        return (self._teams[team].limit - used).elementwise_max(resources.ZERO)

    def charge(self, team: str, run: str, size: resources.Vector) -> bool:
        """Charge a run to the grant; return whether it fits.

        A run of a team without a limit counts, too: the team may get one
        while it runs.
        """
        if not self.limited(team):
            self._account(team).local_grant.adopt(run, size)
            return True
        account = self._account(team)
        account.blocked_since = 0.0
        local_grant = account.local_grant
        local_grant.apply_limit(self._teams[team].limit)
        return isinstance(local_grant.spend(run, size), escrow.Spent)

    def adopt(self, team: str, run: str, size: resources.Vector) -> None:
        """Charge a run of an earlier holder, whether it fits or not."""
        self._account(team).local_grant.adopt(run, size)

    def release(self, team: str, run: str) -> None:
        """Release what a run was charged."""
        account = self._accounts.get(team)
        if account is not None:
            account.local_grant.release(run)

    def request_grant(
        self,
        team: str,
        minimum: resources.Vector,
        wanted: resources.Vector,
        now: float,
    ) -> None:
        """Record a request for a larger grant of a team.

        The amounts wanted by several steps are added up until the next
        request.

        :param minimum: the smallest amount that lets any of them start.
        """
        account = self._account(team)
        account.needed_at = now
        known = account.needed
        if known is None:
            account.needed = escrow.GrantRequest(minimum, wanted)
            return
        account.needed = escrow.GrantRequest(
            known.minimum.elementwise_min(minimum), known.wanted + wanted
        )

    @property
    def has_requests(self) -> bool:
        """Whether a larger grant is requested for some team."""
        return any(
            account.needed is not None for account in self._accounts.values()
        )

    def release_reservations(self) -> None:
        """Drop reservations for unknown runs, as none can run any more."""
        for account in self._accounts.values():
            account.local_grant.reserved = resources.ZERO

    def load(self, store: ports.Store) -> bool:
        """Take over the grants of the earlier holders of this pool.

        Each row is written again, so that a late write of an earlier
        holder conflicts and has no effect. A grant that was taken over is not
        written by a repeated call: other pools change the same rows, and
        would otherwise let some write of each call fail.

        :returns: whether all grants were taken over.
        :raises CallFailed: when the store did not answer.
        """
        complete = True
        for row in store.scan(TABLE, PARTITION).rows:
            try:
                limit_row = model.decode(row.value, escrow.LimitRow)
            except exceptions.Undecodable as error:
                self._report_unreadable(row.key, error)
                continue
            if self._pool not in limit_row.grants:
                continue
            account = self._account(row.key)
            if account.taken_over:
                continue
            if self._write(store, row.key, row, limit_row, account):
                account.local_grant.reserved = account.local_grant.grant
                account.taken_over = True
            else:
                complete = False
        return complete

    def rebalance(self, store: ports.Store, now: float) -> bool:
        """Request needed grants; return idle ones and those too small to use.

        Pools that each hold a part of a limit and need more of it would wait
        for each other.

        :returns: whether some grant grew.
        """
        grew = False
        for team, account in list(self._accounts.items()):
            if not self.limited(team):
                continue
            try:
                grew |= self._rebalance_team(store, team, account, now)
            except exceptions.Undecodable as error:
                self._report_unreadable(team, error)
        return grew

    def _rebalance_team(
        self, store: ports.Store, team: str, account: _Account, now: float
    ) -> bool:
        """Request or return a grant of one team; return whether it grew."""
        if account.return_pending:
            # The row may hold more for this pool than it knows.
            self._return_grant(store, team, account)
            return False
        if account.needed is not None:
            grew = self._ask(store, team, account, now)
            if self._blocked(account, now):
                self._return_grant(store, team, account)
            return grew
        if self._idle(account, now):
            self._return_grant(store, team, account)
        return False

    def _report_unreadable(self, team: str, error: Exception) -> None:
        """Log the limit of a team that can't be decoded: it gets no grant."""
        LOG.warning(
            "team limit can't be decoded; no grant of it changes",
            extra={"pool": self._pool, "team": team, "why": error},
        )

    @staticmethod
    def _blocked(account: _Account, now: float) -> bool:
        return (
            account.blocked_since > 0
            and now - account.blocked_since >= BLOCKED_SECONDS
            and account.local_grant.unspent.is_positive()
        )

    @staticmethod
    def _idle(account: _Account, now: float) -> bool:
        recently_needed = now - account.needed_at < IDLE_SECONDS
        return (
            not recently_needed and account.local_grant.unspent.is_positive()
        )

    def _ask(
        self, store: ports.Store, team: str, account: _Account, now: float
    ) -> bool:
        request = account.needed
        account.needed = None
        assert request is not None
        free = account.local_grant.free
        request = escrow.GrantRequest(
            (request.minimum - free).elementwise_max(resources.ZERO),
            (request.wanted - free).elementwise_max(resources.ZERO),
        )
        row, limit_row = self._read(store, team)
        limit_row = escrow.with_limit(
            limit_row, self._teams[team].limit, self._version
        )
        larger = escrow.enlarged(limit_row, self._pool, request)
        account.exhausted_at = -math.inf
        if not isinstance(larger, escrow.LimitRow):
            account.exhausted_at = now
            account.blocked_since = account.blocked_since or now
            LOG.debug(
                "team limit reached",
                extra={"team": team, "pool": self._pool},
            )
            return False
        account.blocked_since = 0.0
        return self._write(store, team, row, larger, account)

    def _return_grant(
        self, store: ports.Store, team: str, account: _Account
    ) -> None:
        # The local grant is lowered first, so that no run is charged to an
        # amount that another pool may already hold. The write is repeated
        # until it is known to be stored, so that an earlier write can't
        # take effect late.
        local_grant = account.local_grant
        local_grant.grant = local_grant.grant - local_grant.unspent
        account.return_pending = True
        row, limit_row = self._read(store, team)
        limit_row = escrow.with_limit(
            limit_row, self._teams[team].limit, self._version
        )
        held = limit_row.grants.get(self._pool) or resources.ZERO
        smaller = escrow.with_return(
            limit_row,
            self._pool,
            (held - local_grant.grant).elementwise_max(resources.ZERO),
        )
        self._write(store, team, row, smaller, account)

    def _read(
        self, store: ports.Store, team: str
    ) -> tuple[ports.Row | None, escrow.LimitRow]:
        row = store.read(TABLE, PARTITION, team)
        if row is None:
            return None, escrow.LimitRow(
                self._teams[team].limit, self._version
            )
        return row, model.decode(row.value, escrow.LimitRow)

    def _write(
        self,
        store: ports.Store,
        team: str,
        row: ports.Row | None,
        limit_row: escrow.LimitRow,
        account: _Account,
    ) -> bool:
        precondition = ports.Precondition(
            TABLE, team, row.version if row else 0
        )
        put = ports.Put(TABLE, team, model.encode(limit_row))
        outcome = store.transact(PARTITION, [precondition], [put])
        if isinstance(outcome, ports.Committed):
            grant = limit_row.grants.get(self._pool) or resources.ZERO
            account.local_grant.load_row(limit_row, self._pool)
            account.return_pending = False
            LOG.info(
                "team grant stored",
                extra={
                    "team": team,
                    "pool": self._pool,
                    "cores": round(grant.cores, 2),
                    "memory": round(grant.memory),
                },
            )
            return True
        if (
            isinstance(outcome, codes.Refused)
            and outcome.code is codes.Result.CHANGE_UNKNOWN
        ):
            account.return_pending = True
        return False
