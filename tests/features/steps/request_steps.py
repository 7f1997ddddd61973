"""Steps on the request path of one process, without peers."""

import time
import typing as t

import behave
import gevent
import msgspec

from agaterudder import codes
from agaterudder import dispatch
from agaterudder import messages
from agaterudder import metrics
from agaterudder import platform
from agaterudder import requests
from agaterudder import settings
from standins import backend
from standins import launcher
from standins import ports
from tests import builders

Context = t.Any
SERVICE_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 4.0


class NoPeers:
    """Peer calls of an entry process that has no peers."""

    def failover_peers(self, now: float) -> list[str]:
        """See :class:`agaterudder.dispatch.PeerCaller`."""
        return []

    def local_peers(self, now: float) -> list[str]:
        """See :class:`agaterudder.dispatch.PeerCaller`."""
        return []

    def forward(
        self, vm: str, call: messages.ForwardRequest, timeout: float
    ) -> messages.ForwardAnswer | None:
        """See :class:`agaterudder.dispatch.PeerCaller`."""
        return None

    def borrow(
        self, vm: str, call: messages.BorrowSlots, timeout: float
    ) -> messages.LendSlots | None:
        """See :class:`agaterudder.dispatch.PeerCaller`."""
        return None

    def can_call(self, vm: str, now: float) -> bool:
        """See :class:`agaterudder.dispatch.PeerCaller`."""
        return False


def _settings() -> settings.Settings:
    return settings.Settings(
        settings.Entry("entry-1", "north", "127.0.0.1:1", "127.0.0.1:2"),
        settings.Platform("127.0.0.1:3"),
        [settings.Service("tally", timeout_seconds=SERVICE_SECONDS)],
    )


@behave.given(
    'two backend servers, of which the first is "{fault}" and the other is '
    "away"
)
def step_one_away(context: Context, fault: str) -> None:
    step_servers(context, fault)
    context.listeners[1].stop(timeout=0)


@behave.given('two backend servers, of which the first is "{fault}"')
def step_servers(context: Context, fault: str) -> None:
    context.listeners = []
    context.servers = [backend.Backend(8, 0.01) for _ in range(2)]
    listed = []
    for number, server in enumerate(context.servers):
        reservation = ports.reserve()
        context.cleanups.append(reservation.release)
        address = reservation.address
        if number or fault != "away":
            listener = backend.create_server(address, server)
            listener.start()
            context.listeners.append(listener)
            context.cleanups.append(lambda at=listener: at.stop(timeout=0))
        listed.append(
            builders.vm(
                f"tally-{number}",
                role="backend",
                address=address,
                service="tally",
            )
        )
    first = context.servers[0]
    first.draining = fault == "leaving"
    if fault not in ("none", "away", "leaving"):
        first.fault = fault
    context.dispatcher = dispatch.Dispatcher(
        _settings(), NoPeers(), dict, lambda: False, metrics.Metrics()
    )
    context.dispatcher.slots("tally").held = 8
    context.dispatcher.update_servers(listed)
    context.listed = listed
    loop = gevent.spawn(context.dispatcher.run)
    context.cleanups.append(loop.kill)
    context.outcomes = []


def _request(number: int, repeatable: bool) -> requests.Request:
    now = time.monotonic()
    return builders.request(
        identifier=f"r{number}",
        repeatable=repeatable,
        method="GET" if repeatable else "POST",
        deadline=now + REQUEST_TIMEOUT_SECONDS,
        arrived_at=now,
    )


def _send(
    context: Context, count: int, repeatable: bool, interval: float
) -> None:
    started = len(context.outcomes)
    made = [_request(started + n, repeatable) for n in range(count)]
    calls = []
    for request in made:
        calls.append(gevent.spawn(context.dispatcher.serve, request))
        gevent.sleep(interval)
    gevent.joinall(calls, timeout=30)
    context.outcomes.extend(
        (request, call.value) for request, call in zip(made, calls)
    )


@behave.given("{count:d} requests that {may} be repeated were answered")
@behave.when("{count:d} requests that {may} be repeated are sent")
def step_send(context: Context, count: int, may: str) -> None:
    _send(context, count, may == "may", 0.02)


@behave.when("{count:d} requests that may be repeated are sent at once")
def step_send_at_once(context: Context, count: int) -> None:
    _send(context, count, True, 0.0)


@behave.when("the connections go silent while new ones work")
def step_silent(context: Context) -> None:
    for server in context.servers:
        server.fault = "silent"
        server.fault_at = time.monotonic()


@behave.when("the connections are idle for {seconds:f} seconds")
def step_idle(context: Context, seconds: float) -> None:
    gevent.sleep(seconds)


@behave.when("the backend servers are healthy again")
def step_healthy(context: Context) -> None:
    for server in context.servers:
        server.fault = ""


@behave.then("every answer is complete and belongs to its request")
def step_complete(context: Context) -> None:
    for request, outcome in context.outcomes:
        if not isinstance(outcome, requests.Answer):
            continue
        if outcome.status != 200:
            continue
        body = launcher.json.loads(outcome.body)
        assert body["id"] == request.identifier, (request, body)
        assert len(body["pad"]) == 200, body


def _executions(context: Context, identifier: str) -> int:
    return sum(server.executed[identifier] for server in context.servers)


@behave.then("no request that is refused as not run was executed")
def step_not_run(context: Context) -> None:
    for request, outcome in context.outcomes:
        if isinstance(outcome, codes.Refused) and outcome.not_run:
            assert _executions(context, request.identifier) == 0, outcome


@behave.then("at most {runs:d} executions are counted for a request")
def step_runs(context: Context, runs: int) -> None:
    for request, _ in context.outcomes:
        assert _executions(context, request.identifier) <= runs, request


@behave.then('the outcomes are only "{names}"')
def step_outcomes(context: Context, names: str) -> None:
    allowed = set(names.split(","))
    for _, outcome in context.outcomes:
        match outcome:
            case codes.Refused():
                name = outcome.code.name
            case requests.Answer(status=200):
                name = "OK"
            case requests.Answer(status=status):
                name = f"HTTP {status}"
            case _:
                name = repr(outcome)
        assert name in allowed, (name, outcome)


@behave.then(
    "no backend server had more than {slots:d} requests or "
    "{connections:d} connections at once"
)
def step_bounds(context: Context, slots: int, connections: int) -> None:
    for server in context.servers:
        assert server.max_busy <= slots, server.max_busy
        assert server.max_connections <= connections
        assert server.rejected_full == 0, server.rejected_full


@behave.then("the first backend server got at most {count:d} of them")
def step_first_got(context: Context, count: int) -> None:
    got = sum(context.servers[0].executed.values())
    assert got <= count, got


@behave.when("the first backend server is reported as leaving by {how}")
def step_leaving(context: Context, how: str) -> None:
    first = context.servers[0]
    context.asked_before = sum(first.executed.values())
    if how == "its answer":
        first.draining = True
        return
    leaving = msgspec.structs.replace(
        context.listed[0], state=platform.VmState.LEAVING
    )
    context.dispatcher.update_servers([leaving, *context.listed[1:]])


@behave.then("the first backend server got at most {most:d} further requests")
def step_asked(context: Context, most: int) -> None:
    first = context.servers[0]
    asked = sum(first.executed.values()) - context.asked_before
    assert context.asked_before > 0, "the first server got no request"
    assert asked + first.rejected_draining <= most, (
        asked,
        first.rejected_draining,
    )
