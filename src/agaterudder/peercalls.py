"""Calls that serving a request makes to the other entry processes."""

import typing as t

from agaterudder import messages


class PeerCaller(t.Protocol):
    """Calls to the other entry processes."""

    def failover_peers(self, now: float) -> list[str]:
        """Return peers in other data centres that may serve a request."""

    def local_peers(self, now: float) -> list[str]:
        """Return peers of this data centre."""

    def forward(
        self, vm: str, call: messages.ForwardRequest, timeout: float
    ) -> messages.ForwardAnswer | None:
        """Send a request to a peer and wait for its answer."""

    def borrow(
        self, vm: str, call: messages.BorrowSlots, timeout: float
    ) -> messages.LendSlots | None:
        """Ask a peer for slots."""

    def can_call(self, vm: str, now: float) -> bool:
        """Return whether a call can be sent to the peer now."""
