"""Dispatches service requests to backend servers.

A request waits in the queue of its service for a slot and is sent to a
backend server of this data centre. It fails over to a peer in another
data centre only when this one can't serve it.
"""

import itertools
import logging
import time
import typing as t

import gevent

from agaterudder import attempts
from agaterudder import codes
from agaterudder import failover
from agaterudder import forwarding
from agaterudder import messages
from agaterudder import metrics
from agaterudder import peercalls
from agaterudder import platform
from agaterudder import requests
from agaterudder import retries
from agaterudder import routing
from agaterudder import servicequeues
from agaterudder import settings
from agaterudder import slotloans
from agaterudder import slots

LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.1


class Dispatcher:
    """Serves requests; each entry process has one instance."""

    __slots__ = (
        "_services",
        "_forwarder",
        "_peer_caller",
        "_loans",
        "_budget",
        "_metrics",
        "_data_centre_out",
    )

    def __init__(
        self,
        checked: settings.Settings,
        peer_caller: peercalls.PeerCaller,
        shares: t.Callable[[], dict[str, float]],
        data_centre_out: t.Callable[[], bool],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._services = {
            item.name: servicequeues.ServiceQueue(item, shares)
            for item in checked.services
        }
        self._forwarder = forwarding.Forwarder(checked.limits.body_bytes)
        self._peer_caller = peer_caller
        self._loans = slotloans.SlotLoans(
            peer_caller, checked.timing.clock_rate_margin
        )
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

    def serve(self, request: requests.Request) -> attempts.Outcome:
        """Serve a caller's request, here or through a peer."""
        service = self._services.get(request.service)
        if service is None:
            return codes.Refused(
                codes.Result.UNKNOWN_SERVICE,
                f"no service {request.service}",
            )
        outcome: attempts.Outcome = codes.Refused(
            codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
        )
        if not self._data_centre_out():
            outcome = self.serve_here(request)
        if attempts.should_fail_over(request, outcome, self._budget):
            outcome = failover.fail_over(
                request, outcome, self._peer_caller, self._budget
            )
        self._record(request, outcome)
        return outcome

    def serve_here(self, request: requests.Request) -> attempts.Outcome:
        """Serve a request on the backend servers of this data centre."""
        service = self._services.get(request.service)
        if service is None:
            return codes.Refused(
                codes.Result.UNKNOWN_SERVICE, f"no service {request.service}"
            )
        excluded: list[str] = []
        earlier: attempts.Outcome | None = None
        while True:
            attempt = self._attempt(service, request, excluded)
            outcome = attempts.merge_outcomes(earlier, attempt.outcome)
            if not attempts.may_retry(
                request, attempt, time.monotonic(), self._budget
            ):
                return outcome
            earlier = outcome
            if attempt.server:
                excluded.append(attempt.server)

    def _attempt(
        self,
        service: servicequeues.ServiceQueue,
        request: requests.Request,
        excluded: list[str],
    ) -> attempts.AttemptResult:
        now = time.monotonic()
        chosen: routing.Chosen | routing.Busy | codes.Refused
        chosen = routing.Busy()
        if not len(service.queue) or excluded:
            chosen = service.servers.choose(now, excluded)
        if isinstance(chosen, routing.Busy):
            granted = service.wait(request)
            if isinstance(granted, codes.Refused):
                return attempts.AttemptResult(granted, "")
            chosen = granted
        if isinstance(chosen, codes.Refused):
            return attempts.AttemptResult(chosen, "")
        return self._execute(service, request, chosen.server)

    def _execute(
        self,
        service: servicequeues.ServiceQueue,
        request: requests.Request,
        server: platform.Vm,
    ) -> attempts.AttemptResult:
        started_at = time.monotonic()
        timeout = min(
            service.settings.timeout_seconds, request.deadline - started_at
        )
        try:
            outcome: attempts.Outcome = codes.Refused(
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
        service.assign_slots()
        return attempts.AttemptResult(outcome, server.vm)

    def _record_server_result(
        self,
        service: servicequeues.ServiceQueue,
        server: str,
        outcome: attempts.Outcome,
        now: float,
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

    def _record(
        self, request: requests.Request, outcome: attempts.Outcome
    ) -> None:
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

    def run(self) -> None:
        """Expire requests and borrow slots until the greenlet is killed."""
        for round_number in itertools.count():
            gevent.sleep(TICK_SECONDS)
            now = time.monotonic()
            for service in self._services.values():
                if len(service.queue):
                    service.assign_slots()
                self._loans.borrow_if_due(service, round_number, now)
            self._forwarder.close_idle(now)

    def lend(self, call: messages.BorrowSlots) -> messages.LendSlots:
        """Lend idle slots to a peer; see :meth:`slotloans.SlotLoans.lend`."""
        return self._loans.lend(self._services.get(call.service), call)
