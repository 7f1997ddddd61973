"""Manages this VM's grants from the upper limits of the teams.

The rows of the table service are authoritative. During an outage of the
table service, the grants that this VM holds remain usable.
"""

import dataclasses
import logging
import typing as t

import gevent.lock

from agaterudder import codes
from agaterudder import escrow
from agaterudder import exceptions
from agaterudder import resources
from agaterudder import store

LOG = logging.getLogger(__name__)

PREFIX = "limits/"
IDLE_RETURN_SECONDS = 5.0
BLOCKED_RETURN_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamLimit:
    """Limit of a team in a configuration version."""

    limit: resources.Vector
    version: int


class Grants:
    """Grants of this VM by team, and the operations that change them."""

    __slots__ = (
        "_vm",
        "_store",
        "_local_grants",
        "_restored",
        "_restored_teams",
        "_change_lock",
    )

    def __init__(self, vm: str, table: store.Store) -> None:
        self._vm = vm
        self._store = table
        self._local_grants: dict[str, escrow.LocalGrant] = {}
        self._restored = False
        self._restored_teams: set[str] = set()
        # Serializes changes: a concurrent change would overwrite the local
        # grant with an outdated value of the row.
        self._change_lock = gevent.lock.BoundedSemaphore(1)

    @property
    def restored(self) -> bool:
        """Whether the grants of an earlier incarnation were read."""
        return self._restored

    def local_grant(self, team: str) -> escrow.LocalGrant:
        """Return the local grant of a team."""
        return self._local_grants.setdefault(team, escrow.LocalGrant())

    def usage(self) -> dict[str, resources.Vector]:
        """Return the amount that running tasks use, by team."""
        spent = {
            team: local_grant.spent
            for team, local_grant in self._local_grants.items()
        }
        return {
            team: used for team, used in spent.items() if any(used.values())
        }

    def held_teams(self) -> list[str]:
        """Return the teams for which this VM holds a grant."""
        return [
            team
            for team, local_grant in self._local_grants.items()
            if any(local_grant.grant.values())
        ]

    def restore(self) -> bool:
        """Take over the grants of an earlier incarnation on this VM.

        They stay reserved until the leases of that incarnation have
        expired. Each row is rewritten to raise its version, so that a
        delayed write of the earlier incarnation fails; a row that was
        rewritten is not written by a repeated call, as other VMs change the
        same rows.

        :returns: whether every row was taken over.
        :raises StoreUnavailable: when the table service is unavailable.
        """
        complete = True
        for row in self._store.scan(PREFIX, escrow.LimitRow):
            limit_row = row.value
            team = row.key.removeprefix(PREFIX)
            if limit_row is None or self._vm not in limit_row.grants:
                continue
            if team in self._restored_teams:
                continue
            outcome = self._store.transact([store.replace(row, limit_row)])
            if not isinstance(outcome, store.Committed):
                complete = False
                continue
            self._restored_teams.add(team)
            local_grant = self.local_grant(team)
            local_grant.load_row(limit_row, self._vm)
            local_grant.reserved = limit_row.grants[self._vm]
        self._restored = complete
        return complete

    def end_reservations(self) -> None:
        """Free what was reserved for leases that have expired."""
        for local_grant in self._local_grants.values():
            local_grant.reserved = resources.ZERO

    def enlarge(
        self, team: str, request: escrow.GrantRequest, limit: TeamLimit
    ) -> codes.Refused | None:
        """Request a larger grant from the row of the team."""

        def more(
            limit_row: escrow.LimitRow,
        ) -> escrow.LimitRow | codes.Refused:
            return escrow.enlarged(limit_row, self._vm, request)

        with self._change_lock:
            return self._change(team, limit, more)

    def return_grant(
        self, team: str, amount: resources.Vector, limit: TeamLimit
    ) -> codes.Refused | None:
        """Return a part of the grant to the row of the team.

        The local grant is reduced first, so that the part can't be used
        while the write is in progress. If the outcome of the write is
        unknown, this VM loses the part, and the limit still holds.
        """
        local_grant = self.local_grant(team)
        with self._change_lock:
            # Tasks may have started while this waited for another change.
            returned = amount.elementwise_min(local_grant.unspent)

            def less(limit_row: escrow.LimitRow) -> escrow.LimitRow:
                return escrow.with_return(limit_row, self._vm, returned)

            local_grant.grant = local_grant.grant - returned
            refused = self._change(team, limit, less)
            if refused is not None and refused.not_run:
                local_grant.grant = local_grant.grant + returned
        return refused

    def adopt(
        self,
        team: str,
        former: str,
        amount: resources.Vector,
        limit: TeamLimit,
        counted: bool = False,
    ) -> codes.Refused | None:
        """Take over the part of a former owner's grant that covers tasks.

        :param counted: whether the tasks are already counted as in use.
        """

        def moved(limit_row: escrow.LimitRow) -> escrow.LimitRow:
            return escrow.transferred(limit_row, former, self._vm, amount)

        with self._change_lock:
            refused = self._change(team, limit, moved)
            if refused is None and not counted:
                local_grant = self.local_grant(team)
                local_grant.reserved = local_grant.reserved + amount
        return refused

    def reclaim(
        self,
        gone_at: t.Mapping[str, float],
        lease_expiry_seconds: float,
        now: float,
    ) -> int:
        """Free the grants of VMs that are gone; return how many.

        :raises StoreUnavailable: when the table service is unavailable.
        """
        count = 0
        for row in self._store.scan(PREFIX, escrow.LimitRow):
            limit_row = row.value
            if limit_row is None:
                continue
            for holder in set(limit_row.grants).intersection(gone_at):
                after = escrow.reclaimed(
                    limit_row,
                    holder,
                    gone_at[holder],
                    lease_expiry_seconds,
                    now,
                )
                if isinstance(after, escrow.LimitRow):
                    self._store.transact([store.replace(row, after)])
                    count += 1
                    break
        return count

    def _change(
        self,
        team: str,
        limit: TeamLimit,
        change: t.Callable[[escrow.LimitRow], escrow.LimitRow | codes.Refused],
    ) -> codes.Refused | None:
        try:
            row = self._store.read(PREFIX + team, escrow.LimitRow)
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))
        limit_row = row.value or escrow.LimitRow(limit.limit, limit.version)
        after = change(
            escrow.with_limit(limit_row, limit.limit, limit.version)
        )
        if isinstance(after, codes.Refused):
            return after
        outcome = self._store.transact([store.replace(row, after)])
        match outcome:
            case store.Committed():
                # This write raised the version of the row, so that earlier
                # writes of this VM still in progress fail: the row is what
                # this VM holds.
                self.local_grant(team).load_row(after, self._vm)
                return None
            case store.Conflicted():
                return codes.Refused(
                    codes.Result.CONFLICT, f"the limit of {team} changed"
                )
            case codes.Refused():
                return outcome
