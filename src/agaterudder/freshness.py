"""Decides whether the view that this process has is recent enough to act on.

After a pause, a process does not act until it has had contact again. A process
that is partitioned from the table service and from at least one other entry VM
accepts keyed work (work that requires a team's key) for a grace period only,
because the withdrawal of a key, accepted by that entry VM, could not reach
it. Contact with one VM of each data centre is not sufficient: the VM that
accepts a change may be partitioned from the others of its data centre.
"""

import dataclasses

from agaterudder import codes


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The view of the process is recent enough.

    :ivar contact_at: when the view was last known to be current.
    """

    contact_at: float


class Freshness:
    """Times of the last ticks and contacts, on the monotonic clock."""

    __slots__ = (
        "_pause_seconds",
        "_grace_seconds",
        "_tick_at",
        "_resumed_at",
        "_store_contact_at",
        "_peers",
    )

    def __init__(
        self, pause_seconds: float, grace_seconds: float, now: float
    ) -> None:
        self._pause_seconds = pause_seconds
        self._grace_seconds = grace_seconds
        self._tick_at = now
        self._resumed_at = now
        self._store_contact_at: float | None = None
        self._peers: dict[str, float] = {}

    def tick(self, now: float) -> bool:
        """Record a tick of the loop; return whether the process was paused."""
        paused = self._paused(now)
        if paused:
            self._resumed_at = now
        self._tick_at = now
        return paused

    def record_store_contact(self, asked_at: float) -> None:
        """Record a read of the configuration head by its request time."""
        self._store_contact_at = asked_at

    def record_peer_contact(self, vm: str, asked_at: float) -> None:
        """Record that a peer answered a message sent at ``asked_at``."""
        self._peers[vm] = asked_at

    def remove_peer(self, vm: str) -> None:
        """Remove a peer that is gone."""
        self._peers.pop(vm, None)

    def decide(
        self, own: str, members: frozenset[str], now: float
    ) -> Fresh | codes.Refused:
        """Decide whether keyed work may be accepted.

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
        return now - self._tick_at > self._pause_seconds

    def _contact_at(self, others: frozenset[str]) -> float | None:
        """Return the later of two times, None when neither is known.

        They are the contact with the store, and the time since which every
        other entry VM has been in contact.
        """
        peer_contacts = [self._peers[vm] for vm in others if vm in self._peers]
        contacts = (
            [] if self._store_contact_at is None else [self._store_contact_at]
        )
        if peer_contacts and len(peer_contacts) == len(others):
            contacts.append(min(peer_contacts))
        return max(contacts, default=None)
