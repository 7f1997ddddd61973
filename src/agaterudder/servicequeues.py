"""Requests for a service that wait for a slot on a backend server."""

import time
import typing as t

import gevent
import gevent.event

from agaterudder import admission
from agaterudder import codes
from agaterudder import requests
from agaterudder import routing
from agaterudder import settings
from agaterudder import slots


class _Waiter(t.NamedTuple):
    request: requests.Request
    result: gevent.event.AsyncResult


class ServiceQueue:
    """Waiting requests and backend servers of one service on this VM.

    :param shares: returns the share of each team.
    :ivar last_borrow_at: when slots were last requested from a peer.
    """

    __slots__ = (
        "settings",
        "queue",
        "servers",
        "last_borrow_at",
        "_waiters",
        "_shares",
    )

    def __init__(
        self,
        service_settings: settings.Service,
        shares: t.Callable[[], dict[str, float]],
    ) -> None:
        self.settings = service_settings
        self.queue = admission.RequestQueue(service_settings.queue_length)
        self.servers = routing.Servers(
            slots.ServiceSlots(service_settings.timeout_seconds)
        )
        self._waiters: dict[int, _Waiter] = {}
        self.last_borrow_at = 0.0
        self._shares = shares

    def wait(
        self, request: requests.Request
    ) -> routing.Chosen | codes.Refused:
        """Wait in the queue until a slot is assigned to the request."""
        now = time.monotonic()
        if not self.servers.usable(now):
            return codes.Refused(
                codes.Result.NO_SERVER, "no backend server can be used"
            )
        capacity = self.servers.capacity(now)
        offered = self.queue.offer(request, capacity, self._shares(), now)
        if isinstance(offered, codes.Refused):
            return offered
        if offered.shed is not None:
            self._refuse(offered.shed, codes.Result.SHED, "it gave way")
        waiter = _Waiter(request, gevent.event.AsyncResult())
        self._waiters[id(request)] = waiter
        self.assign_slots()
        try:
            return t.cast(
                "routing.Chosen | codes.Refused",
                waiter.result.get(timeout=request.deadline - now + 1.0),
            )
        except gevent.Timeout:
            self.queue.discard(request)
            if waiter.result.ready():
                # The slot was assigned in the same event-loop iteration as
                # the time-out.
                return t.cast(
                    "routing.Chosen | codes.Refused", waiter.result.get()
                )
            return codes.Refused(codes.Result.TOO_LATE, "no slot in time")
        finally:
            self._waiters.pop(id(request), None)

    def _refuse(
        self, request: requests.Request, code: codes.Result, reason: str
    ) -> None:
        waiter = self._waiters.get(id(request))
        if waiter is not None:
            waiter.result.set(codes.Refused(code, reason))

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests."""
        now = time.monotonic()
        for expired in self.queue.expire(now):
            self._refuse(expired, codes.Result.TOO_LATE, "no slot in time")
        while len(self.queue):
            chosen = self.servers.choose(now)
            if not isinstance(chosen, routing.Chosen):
                if isinstance(chosen, codes.Refused):
                    self._refuse_all(chosen, now)
                return
            request = self.queue.take(self._shares(), now)
            waiter = self._waiters.get(id(request))
            if waiter is None:
                self.servers.slots.release(chosen.server.vm)
                self.servers.health.end_probe(chosen.server.vm)
                continue
            waiter.result.set(chosen)

    def _refuse_all(self, refused: codes.Refused, now: float) -> None:
        while (request := self.queue.take({}, now)) is not None:
            self._refuse(request, refused.code, refused.reason)
