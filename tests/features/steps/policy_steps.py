"""Steps for the decision functions, which take the time as an argument."""

import statistics
import typing as t

import behave

from agaterudder import admission
from agaterudder import codes
from agaterudder import health
from agaterudder import requests
from agaterudder import resources
from agaterudder import sharing
from agaterudder import sizes
from tests import builders

Context = t.Any
TICK_SECONDS = 0.01
REQUEST_TIMEOUT_SECONDS = 5.0


def _pairs(text: str) -> dict[str, float]:
    parts = [part.split("=") for part in text.split(",") if part]
    return {name: float(value) for name, value in parts}


@behave.given('a queue with {places:d} places and shares "{shares}"')
def step_queue(context: Context, places: int, shares: str) -> None:
    context.queue = admission.RequestQueue(places)
    context.queue._service_seconds = 0.1
    context.shares = _pairs(shares)


class _Load:
    """Arrivals at a queue whose slots take a fixed time."""

    def __init__(self, context: Context, rates: dict[t.Any, float]) -> None:
        self.queue = context.queue
        self.shares = context.shares
        self.rates = rates
        self.due = dict.fromkeys(rates, 0.0)
        self.free_at = [0.0] * 8
        self.served: dict[t.Any, list[float]] = {key: [] for key in rates}

    def run(self, seconds: float) -> None:
        """Apply the load from time 0."""
        for tick in range(int(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            self._arrive(now)
            self.queue.expire(now)
            self._serve(now)

    def _arrive(self, now: float) -> None:
        for key, rate in self.rates.items():
            self.due[key] += rate * TICK_SECONDS
            while self.due[key] >= 1:
                self.due[key] -= 1
                self.queue.offer(self._request(key, now), 8, self.shares, now)

    def _request(self, key: t.Any, now: float) -> requests.Request:
        by_team = isinstance(key, str)
        return builders.request(
            team=key if by_team else "a",
            priority=requests.Priority.NORMAL if by_team else key,
            arrived_at=now,
            deadline=now + (REQUEST_TIMEOUT_SECONDS if by_team else 60.0),
        )

    def _serve(self, now: float) -> None:
        for slot, free_at in enumerate(self.free_at):
            if free_at > now:
                continue
            request = self.queue.take(self.shares, now)
            if request is None:
                return
            self.free_at[slot] = now + 0.1
            by_team = request.team in self.served
            key = request.team if by_team else request.priority
            self.served[key].append(now - request.arrived_at)


@behave.when(
    'for {seconds:d} seconds teams send "{rates}" requests a second '
    "to 8 slots of 0.1 s"
)
def step_load(context: Context, seconds: int, rates: str) -> None:
    context.load = _Load(context, t.cast(t.Any, _pairs(rates)))
    context.load.run(seconds)
    context.seconds = seconds


@behave.then(
    'each team gets within {percent:d} % of "{served}" answers a second'
)
def step_served(context: Context, percent: int, served: str) -> None:
    for team, expected in _pairs(served).items():
        rate = len(context.load.served[team]) / context.seconds
        assert abs(rate - expected) <= expected * percent / 100, (team, rate)


@behave.when(
    "long, normal and quick requests each come at {rate:d} a second "
    "for {seconds:d} seconds"
)
def step_classes(context: Context, rate: int, seconds: int) -> None:
    kinds = (
        requests.Priority.LONG,
        requests.Priority.NORMAL,
        requests.Priority.QUICK,
    )
    context.load = _Load(context, dict.fromkeys(kinds, float(rate)))
    context.load.run(seconds)


@behave.then("quick requests wait at most {seconds:g} seconds at the median")
def step_quick(context: Context, seconds: float) -> None:
    waits = context.load.served[requests.Priority.QUICK]
    assert statistics.median(waits) <= seconds, statistics.median(waits)


@behave.then("long requests are also answered")
def step_long(context: Context) -> None:
    assert context.load.served[requests.Priority.LONG], "none"


@behave.when("{ahead:d} requests of the same team wait for 8 slots of 0.1 s")
def step_ahead(context: Context, ahead: int) -> None:
    for _ in range(ahead):
        request = builders.request(team="a", deadline=100.0)
        queued = context.queue.offer(request, 8, context.shares, 0.0)
        assert isinstance(queued, admission.Queued)


@behave.when("a request comes with {seconds:g} seconds left")
def step_comes(context: Context, seconds: float) -> None:
    request = builders.request(team="a", deadline=seconds)
    context.answer = context.queue.offer(request, 8, context.shares, 0.0)


@behave.then('it is "{answer}"')
def step_it_is(context: Context, answer: str) -> None:
    found = context.answer
    refused = isinstance(found, codes.Refused)
    name = found.code.name if refused else "queued"
    assert name == answer, found


@behave.when(
    '100 cores are divided over demands "{demands}" with weights '
    '"{weights}" and limits "{limits}"'
)
def step_divide(
    context: Context, demands: str, weights: str, limits: str
) -> None:
    context.given = sharing.fair_usage(
        _pairs(demands), _pairs(weights), _pairs(limits), 100.0
    )


@behave.when(
    '100 cores are divided over demands "{demands}" with weights '
    '"{weights}" and limits ""'
)
def step_divide_all(context: Context, demands: str, weights: str) -> None:
    step_divide(context, demands, weights, "")


@behave.then('the teams get "{given}"')
def step_get(context: Context, given: str) -> None:
    for team, expected in _pairs(given).items():
        assert abs(context.given[team] - expected) < 1e-6, context.given


@behave.when('team "a" uses {own:d} and team "b" uses {other:d} of 90 cores')
def step_uses(context: Context, own: int, other: int) -> None:
    context.usage = {
        "a": resources.Vector(own, 0.0, 0.0, 1.0),
        "b": resources.Vector(other, 0.0, 0.0, 1.0),
    }


@behave.when('"b" waits elsewhere: {elsewhere}')
def step_elsewhere(context: Context, elsewhere: str) -> None:
    context.elsewhere = ["b"] if elsewhere == "yes" else []


@behave.then('after {waited:g} seconds a start of "a" is {answer}')
def step_start(context: Context, waited: float, answer: str) -> None:
    decision = sharing.decide(
        "a",
        context.elsewhere,
        context.usage,
        {"a": 1.0, "b": 1.0},
        resources.Vector(90.0, 0.0, 0.0, 0.0),
        100.0,
        100.0 + waited,
    )
    assert type(decision).__name__.lower() == answer, decision


@behave.when(
    "{count:d} tasks of a kind declared {declared:g} cores and used {used:g}"
)
def step_used(
    context: Context, count: int, declared: float, used: float
) -> None:
    context.sizes = sizes.Sizes()
    context.declared = resources.Vector(declared, 0.0, 0.0, 1.0)
    for _ in range(count):
        context.sizes.observe(
            "a", "k", context.declared, resources.Vector(used, 0.0, 0.0, 1.0)
        )


@behave.then("the next is given {low:g} to {high:g} cores")
def step_given(context: Context, low: float, high: float) -> None:
    found = context.sizes.corrected("a", "k", context.declared)
    assert low <= found.cores <= high + 1e-6, found


@behave.when("{failing:d} of {servers:d} servers fail all of 200 requests")
def step_fail(context: Context, failing: int, servers: int) -> None:
    context.health = health.Health()
    names = [f"s{number}" for number in range(servers)]
    context.health.retain(names)
    for number in range(200):
        server = names[number % servers]
        if context.health.usable(server, 0.0):
            succeeded = number % servers >= failing
            context.health.record_result(server, succeeded, 0.0)


@behave.then("{ejected:d} servers are ejected")
def step_ejected(context: Context, ejected: int) -> None:
    assert len(context.health.ejected()) == ejected, context.health.ejected()
