"""Whether this process may act on what it knows.

A process that was paused acts on nothing before it had contact again. A
process cut off from the table service and from some other entry VM goes on
with keyed work for a grace time only, because a withdrawal accepted there
could not reach it. Contact with one VM of each data centre would not do: the
one that accepts a change may be cut off from its own neighbours.
"""

import dataclasses

from agaterudder import codes


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The process may act on what it knows.

    :ivar contact_at: since when the view is known to be current.
    """

    contact_at: float


class Freshness:
    """Times of the last turns and contacts, on the monotonic clock."""

    __slots__ = (
        "_pause_seconds",
        "_grace_seconds",
        "_turn_at",
        "_resumed_at",
        "_store_at",
        "_peers",
    )

    def __init__(
        self, pause_seconds: float, grace_seconds: float, now: float
    ) -> None:
        self._pause_seconds = pause_seconds
        self._grace_seconds = grace_seconds
        self._turn_at = now
        self._resumed_at = now
        self._store_at: float | None = None
        self._peers: dict[str, float] = {}

    def turn(self, now: float) -> bool:
        """Note a turn of the loop; return whether a pause came before."""
        paused = self._paused(now)
        if paused:
            self._resumed_at = now
        self._turn_at = now
        return paused

    def store_contact(self, asked_at: float) -> None:
        """Note a reading of the configuration head, by when it was asked."""
        self._store_at = asked_at

    def peer_contact(self, vm: str, asked_at: float) -> None:
        """Note that a peer answered something sent at ``asked_at``."""
        self._peers[vm] = asked_at

    def forget_peer(self, vm: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(vm, None)

    def decide(
        self, own: str, members: frozenset[str], now: float
    ) -> Fresh | codes.Refused:
        """Decide whether keyed work may be taken.

        :param own: this entry VM.
        :param members: registered entry VMs that are not gone.
        """
        if self._paused(now):
            return codes.Refused(
                codes.Result.STALE, "the entry process was paused"
            )
        contact_at = self._contact_at(members - {own})
        if contact_at is None or contact_at < self._resumed_at:
            return codes.Refused(
                codes.Result.STALE,
                "the entry process has not yet learnt the configuration",
            )
        if now - contact_at > self._grace_seconds:
            return codes.Refused(
                codes.Result.ISOLATED,
                "the data centre is cut off for longer than the grace time",
            )
        return Fresh(contact_at)

    def _paused(self, now: float) -> bool:
        return now - self._turn_at > self._pause_seconds

    def _contact_at(self, others: frozenset[str]) -> float | None:
        """Return the later of the store's and all entry VMs' contact."""
        heard = [self._peers[vm] for vm in others if vm in self._peers]
        known = [] if self._store_at is None else [self._store_at]
        if heard and len(heard) == len(others):
            known.append(min(heard))
        return max(known, default=None)
