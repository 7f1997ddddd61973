"""Whether this process may act on what it knows.

A process that was paused acts on nothing before it had contact again. A
process cut off from the table service and from some other data centre
goes on with keyed work for a grace time only, because a withdrawal
accepted elsewhere could not reach it.
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
        self._peers: dict[str, tuple[str, float]] = {}

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

    def peer_contact(self, vm: str, data_centre: str, asked_at: float) -> None:
        """Note that a peer answered something sent at ``asked_at``."""
        self._peers[vm] = (data_centre, asked_at)

    def forget_peer(self, vm: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(vm, None)

    def decide(
        self, own: str, data_centres: frozenset[str], now: float
    ) -> Fresh | codes.Refused:
        """Decide whether keyed work may be taken.

        :param own: data centre of this process.
        :param data_centres: data centres with entry VMs.
        """
        if self._paused(now):
            return codes.Refused(
                codes.Result.STALE, "the entry process was paused"
            )
        contact_at = self._contact_at(data_centres - {own})
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
        """Return the later of the store's and all data centres' contact."""
        per_centre = {
            centre: max(
                (at for dc, at in self._peers.values() if dc == centre),
                default=None,
            )
            for centre in others
        }
        times = list(per_centre.values())
        everywhere = (
            min(times) if times and None not in times else None  # type: ignore
        )
        known = [at for at in (self._store_at, everywhere) if at is not None]
        return max(known, default=None)
