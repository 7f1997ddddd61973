"""Loans of slots between the entry VMs of a data centre."""

import time

import gevent

from agaterudder import messages
from agaterudder import peercalls
from agaterudder import servicequeues
from agaterudder import slots
from agaterudder import utils

BORROW_INTERVAL_SECONDS = 0.1
BORROW_TIMEOUT_SECONDS = 0.5
MAX_BORROWED_SLOTS = 4


class SlotLoans:
    """Borrows slots from peers and lends them idle ones.

    :param clock_rate_margin: largest relative difference of clock rates.
    """

    __slots__ = ("_peer_caller", "_clock_rate_margin")

    def __init__(
        self, peer_caller: peercalls.PeerCaller, clock_rate_margin: float
    ) -> None:
        self._peer_caller = peer_caller
        self._clock_rate_margin = clock_rate_margin

    def borrow_if_due(
        self,
        service: servicequeues.ServiceQueue,
        round_number: int,
        now: float,
    ) -> None:
        """Start to borrow slots if requests wait for them.

        :param round_number: selects the peer, which differs by round.
        """
        if len(service.queue) and now - service.last_borrow_at > (
            BORROW_INTERVAL_SECONDS
        ):
            service.last_borrow_at = now
            gevent.spawn(self._borrow, service, round_number)

    def _borrow(
        self, service: servicequeues.ServiceQueue, round_number: int
    ) -> None:
        now = time.monotonic()
        local_peers = self._peer_caller.local_peers(now)
        if not local_peers:
            return
        vm = local_peers[round_number % len(local_peers)]
        call = messages.BorrowSlots(
            utils.new_identifier(), service.settings.name, MAX_BORROWED_SLOTS
        )
        answer = self._peer_caller.borrow(vm, call, BORROW_TIMEOUT_SECONDS)
        if answer is not None and answer.count:
            service.servers.slots.borrow(answer.count, now, answer.seconds)
            service.assign_slots()

    def lend(
        self,
        service: servicequeues.ServiceQueue | None,
        call: messages.BorrowSlots,
    ) -> messages.LendSlots:
        """Lend idle slots to a peer, if no request waits for them here.

        :param service: the service of the call, None when it is unknown.
        """
        count = 0
        if service is not None and not len(service.queue):
            loan = service.servers.slots.lend(
                call.count, self._clock_rate_margin, time.monotonic()
            )
            count = loan.count
        return messages.LendSlots(
            call.call, call.service, count, slots.LOAN_SECONDS
        )
