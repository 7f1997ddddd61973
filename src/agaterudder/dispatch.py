"""Dispatches service requests to backend servers.

A request waits in the queue of its service for a slot and is sent to a
backend server of this data centre. It fails over to a peer in another
data centre only when this one can't serve it.
"""

import dataclasses
import itertools
import logging
import time
import typing as t

import gevent
import gevent.event

from agaterudder import admission
from agaterudder import codes
from agaterudder import forwarding
from agaterudder import messages
from agaterudder import metrics
from agaterudder import platform
from agaterudder import requests
from agaterudder import retries
from agaterudder import routing
from agaterudder import settings
from agaterudder import slots
from agaterudder import utils

LOG = logging.getLogger(__name__)

BORROW_INTERVAL_SECONDS = 0.1
BORROW_TIMEOUT_SECONDS = 0.5
MAX_BORROWED_SLOTS = 4
TICK_SECONDS = 0.1

Outcome = requests.Answer | codes.Refused


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


class _Waiter(t.NamedTuple):
    request: requests.Request
    result: gevent.event.AsyncResult


class _Service:
    """State of one service on this entry VM."""

    __slots__ = ("settings", "queue", "servers", "waiters", "last_borrow_at")

    def __init__(self, service_settings: settings.Service) -> None:
        self.settings = service_settings
        self.queue = admission.RequestQueue(service_settings.queue_length)
        self.servers = routing.Servers(
            slots.ServiceSlots(service_settings.timeout_seconds)
        )
        self.waiters: dict[int, _Waiter] = {}
        self.last_borrow_at = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptResult:
    """Outcome of one attempt; ``server`` is empty if none was asked."""

    outcome: Outcome
    server: str


class Dispatcher:
    """Serves requests; each entry process has one instance."""

    __slots__ = (
        "_settings",
        "_services",
        "_forwarder",
        "_peer_caller",
        "_shares",
        "_budget",
        "_metrics",
        "_data_centre_out",
    )

    def __init__(
        self,
        checked: settings.Settings,
        peer_caller: PeerCaller,
        shares: t.Callable[[], dict[str, float]],
        data_centre_out: t.Callable[[], bool],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._settings = checked
        self._services = {
            item.name: _Service(item) for item in checked.services
        }
        self._forwarder = forwarding.Forwarder(checked.limits.body_bytes)
        self._peer_caller = peer_caller
        self._shares = shares
        self._data_centre_out = data_centre_out
        self._budget = retries.RetryBudget()
        self._metrics = metrics_registry

    def slots(self, service: str) -> slots.ServiceSlots:
        """Return the slots of a service."""
        return self._services[service].servers.slots

    def services(self) -> list[settings.Service]:
        """Return the services of the settings."""
        return [service.settings for service in self._services.values()]

    def update_servers(self, vms: t.Sequence[platform.Vm]) -> None:
        """Replace the backend servers of this data centre by a new list."""
        for name, service in self._services.items():
            service.servers.update_servers(
                vm for vm in vms if vm.service == name
            )
        self._forwarder.close_unlisted([vm.vm for vm in vms])

    def serve(self, request: requests.Request) -> Outcome:
        """Serve a caller's request, here or through a peer."""
        service = self._services.get(request.service)
        if service is None:
            return codes.Refused(
                codes.Result.UNKNOWN_SERVICE,
                f"no service {request.service}",
            )
        outcome: Outcome = codes.Refused(
            codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
        )
        if not self._data_centre_out():
            outcome = self.serve_here(request)
        if self._should_fail_over(request, outcome):
            outcome = self._fail_over(request, outcome)
        self._record(request, outcome)
        return outcome

    def serve_here(self, request: requests.Request) -> Outcome:
        """Serve a request on the backend servers of this data centre."""
        service = self._services.get(request.service)
        if service is None:
            return codes.Refused(
                codes.Result.UNKNOWN_SERVICE, f"no service {request.service}"
            )
        excluded: list[str] = []
        earlier: Outcome | None = None
        while True:
            attempt = self._attempt(service, request, excluded)
            outcome = _merge_outcomes(earlier, attempt.outcome)
            if not self._may_retry(request, attempt, time.monotonic()):
                return outcome
            earlier = outcome
            if attempt.server:
                excluded.append(attempt.server)

    def _attempt(
        self,
        service: _Service,
        request: requests.Request,
        excluded: list[str],
    ) -> _AttemptResult:
        now = time.monotonic()
        chosen: routing.Chosen | routing.Busy | codes.Refused
        chosen = routing.Busy()
        if not len(service.queue) or excluded:
            chosen = service.servers.choose(now, excluded)
        if isinstance(chosen, routing.Busy):
            granted = self._wait(service, request)
            if isinstance(granted, codes.Refused):
                return _AttemptResult(granted, "")
            chosen = granted
        if isinstance(chosen, codes.Refused):
            return _AttemptResult(chosen, "")
        return self._execute(service, request, chosen.server)

    def _wait(
        self, service: _Service, request: requests.Request
    ) -> routing.Chosen | codes.Refused:
        """Wait in the queue until a slot is assigned to the request."""
        now = time.monotonic()
        if not service.servers.usable(now):
            return codes.Refused(
                codes.Result.NO_SERVER, "no backend server can be used"
            )
        capacity = service.servers.capacity(now)
        offered = service.queue.offer(request, capacity, self._shares(), now)
        if isinstance(offered, codes.Refused):
            return offered
        if offered.shed is not None:
            self._refuse(
                service, offered.shed, codes.Result.SHED, "it gave way"
            )
        waiter = _Waiter(request, gevent.event.AsyncResult())
        service.waiters[id(request)] = waiter
        self.assign_slots(service.settings.name)
        try:
            return t.cast(
                "routing.Chosen | codes.Refused",
                waiter.result.get(timeout=request.deadline - now + 1.0),
            )
        except gevent.Timeout:
            service.queue.discard(request)
            if waiter.result.ready():
                # The slot was assigned in the same event-loop iteration as
                # the time-out.
                return t.cast(
                    "routing.Chosen | codes.Refused", waiter.result.get()
                )
            return codes.Refused(codes.Result.TOO_LATE, "no slot in time")
        finally:
            service.waiters.pop(id(request), None)

    def _refuse(
        self,
        service: _Service,
        request: requests.Request,
        code: codes.Result,
        reason: str,
    ) -> None:
        waiter = service.waiters.get(id(request))
        if waiter is not None:
            waiter.result.set(codes.Refused(code, reason))

    def assign_slots(self, name: str) -> None:
        """Assign free slots to waiting requests."""
        service = self._services[name]
        now = time.monotonic()
        for expired in service.queue.expire(now):
            self._refuse(
                service, expired, codes.Result.TOO_LATE, "no slot in time"
            )
        while len(service.queue):
            chosen = service.servers.choose(now)
            if not isinstance(chosen, routing.Chosen):
                if isinstance(chosen, codes.Refused):
                    self._refuse_all(service, chosen, now)
                return
            request = service.queue.take(self._shares(), now)
            waiter = service.waiters.get(id(request))
            if waiter is None:
                service.servers.slots.release(chosen.server.vm)
                service.servers.health.end_probe(chosen.server.vm)
                continue
            waiter.result.set(chosen)

    def _refuse_all(
        self, service: _Service, refused: codes.Refused, now: float
    ) -> None:
        while (request := service.queue.take({}, now)) is not None:
            self._refuse(service, request, refused.code, refused.reason)

    def _execute(
        self,
        service: _Service,
        request: requests.Request,
        server: platform.Vm,
    ) -> _AttemptResult:
        started_at = time.monotonic()
        timeout = min(
            service.settings.timeout_seconds, request.deadline - started_at
        )
        try:
            outcome: Outcome = codes.Refused(
                codes.Result.TOO_LATE, "no time was left"
            )
            if timeout > 0:
                outcome = self._forwarder.forward(server, request, timeout)
        finally:
            service.servers.slots.release(server.vm)
        now = time.monotonic()
        self._record_server_result(service, server.vm, outcome, now)
        if isinstance(outcome, requests.Answer):
            service.queue.observe(now - started_at)
            self._budget.succeeded()
        self.assign_slots(service.settings.name)
        return _AttemptResult(outcome, server.vm)

    def _record_server_result(
        self, service: _Service, server: str, outcome: Outcome, now: float
    ) -> None:
        """Record the outcome in the health statistics of the server."""
        match outcome:
            case requests.Answer(status=status):
                ejected = service.servers.health.record_result(
                    server, status < 500, now
                )
            case codes.Refused(code=codes.Result.LEAVING):
                service.servers.mark_leaving(server, now)
                return
            case codes.Refused(
                code=codes.Result.SERVER_REFUSED | codes.Result.TOO_LATE
            ):
                service.servers.health.end_probe(server)
                return
            case _:
                ejected = service.servers.health.record_result(
                    server, False, now
                )
        if ejected is not None:
            LOG.warning(
                "backend server ejected",
                extra={"server": server, "why": ejected.reason},
            )

    def _may_retry(
        self, request: requests.Request, attempt: _AttemptResult, now: float
    ) -> bool:
        outcome = attempt.outcome
        if not attempt.server or now >= request.deadline:
            return False
        if isinstance(outcome, requests.Answer):
            failed = outcome.status in (500, 502, 504)
            return failed and request.repeatable and self._budget.spend()
        if outcome.not_run:
            return outcome.code is not codes.Result.TOO_LATE
        return request.repeatable and self._budget.spend()

    def _should_fail_over(
        self, request: requests.Request, outcome: Outcome
    ) -> bool:
        """Return whether to try the request in another data centre."""
        if not isinstance(outcome, codes.Refused):
            return False
        if outcome.code is codes.Result.OUTCOME_UNKNOWN:
            return request.repeatable and self._budget.spend()
        return outcome.code in (
            codes.Result.NO_SERVER,
            codes.Result.DATA_CENTRE_OUT,
        )

    def _fail_over(
        self, request: requests.Request, outcome: Outcome
    ) -> Outcome:
        for vm in self._peer_caller.failover_peers(time.monotonic()):
            now = time.monotonic()
            remaining = request.deadline - now
            if remaining <= 0 or not self._peer_caller.can_call(vm, now):
                continue
            call = _forward_request(request, remaining)
            answer = _from_peer(
                self._peer_caller.forward(vm, call, remaining), vm
            )
            outcome = _merge_outcomes(outcome, answer)
            if isinstance(answer, requests.Answer):
                return answer
            repeat = request.repeatable and self._budget.spend()
            if not (answer.not_run or repeat):
                return outcome
        return outcome

    def _record(self, request: requests.Request, outcome: Outcome) -> None:
        answered = isinstance(outcome, requests.Answer)
        name = "OK" if answered else t.cast(t.Any, outcome).code.name
        LOG.log(
            logging.DEBUG if answered else logging.INFO,
            "service request finished",
            extra={
                "request": request.identifier,
                "team": request.team,
                "service": request.service,
                "result": name,
            },
        )
        self._metrics.observe(
            "request",
            time.monotonic() - request.arrived_at,
            team=request.team,
            priority=request.priority.value,
        )
        self._metrics.count(
            "requests", team=request.team, service=request.service, result=name
        )

    # Slots

    def run(self) -> None:
        """Expire requests and borrow slots until the greenlet is killed."""
        for round_number in itertools.count():
            gevent.sleep(TICK_SECONDS)
            now = time.monotonic()
            for name, service in self._services.items():
                if len(service.queue):
                    self.assign_slots(name)
                if len(service.queue) and now - service.last_borrow_at > (
                    BORROW_INTERVAL_SECONDS
                ):
                    service.last_borrow_at = now
                    gevent.spawn(self._borrow, service, round_number)
            self._forwarder.close_idle(now)

    def _borrow(self, service: _Service, round_number: int) -> None:
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
            self.assign_slots(service.settings.name)

    def lend(self, call: messages.BorrowSlots) -> messages.LendSlots:
        """Lend idle slots to a peer, if no request waits for them here."""
        service = self._services.get(call.service)
        count = 0
        if service is not None and not len(service.queue):
            loan = service.servers.slots.lend(
                call.count,
                self._settings.timing.clock_rate_margin,
                time.monotonic(),
            )
            count = loan.count
        return messages.LendSlots(
            call.call, call.service, count, slots.LOAN_SECONDS
        )


def _merge_outcomes(earlier: Outcome | None, outcome: Outcome) -> Outcome:
    """Combine the outcomes of the earlier attempts and of a further one.

    A refusal as not run covers the last attempt only: an earlier one may
    have been executed, which makes the outcome of the request unknown.
    """
    may_have_run = earlier is not None and not (
        isinstance(earlier, codes.Refused) and earlier.not_run
    )
    if may_have_run and isinstance(outcome, codes.Refused) and outcome.not_run:
        return codes.Refused(
            codes.Result.OUTCOME_UNKNOWN,
            f"an earlier attempt may have run; then: {outcome.reason}",
        )
    return outcome


def _forward_request(
    request: requests.Request, remaining: float
) -> messages.ForwardRequest:
    return messages.ForwardRequest(
        utils.new_identifier(),
        request.identifier,
        request.service,
        request.team,
        request.priority.value,
        request.repeatable,
        request.method,
        request.path,
        request.headers,
        request.body,
        remaining,
    )


def _from_peer(answer: messages.ForwardAnswer | None, vm: str) -> Outcome:
    if answer is None:
        return codes.Refused(
            codes.Result.OUTCOME_UNKNOWN, f"entry VM {vm} did not answer"
        )
    if answer.code != codes.Result.OK:
        return codes.Refused(codes.Result(answer.code), answer.reason)
    if answer.length != len(answer.body):
        return codes.Refused(
            codes.Result.SHORT_ANSWER, f"the answer through {vm} was cut"
        )
    return requests.Answer(answer.status, answer.headers, answer.body)
