"""Steps for the metrics of store calls."""

import contextlib
import re
import typing as t
from unittest import mock

import behave

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import instrumentedstore
from agaterudder.jobs import ports
from agaterudder import metrics
from tests import memory_store

Context = t.Any
# The histogram keeps one significant digit.
TOLERANCE = 0.1


@behave.given("a store with metrics")
def step_store(context: Context) -> None:
    context.memory = memory_store.MemoryStore()
    context.metrics = metrics.Metrics()
    context.store = instrumentedstore.InstrumentedStore(
        context.memory, context.metrics
    )


def _clock_readings(context: Context, seconds: float) -> None:
    readings = iter((10.0, 10.0 + seconds))
    patch = mock.patch.object(clock, "now", lambda: next(readings))
    patch.start()
    context.cleanups.append(patch.stop)


@behave.when("a transaction is {fault} after {seconds:g} seconds")
def step_transact(context: Context, fault: str, seconds: float) -> None:
    _clock_readings(context, seconds)
    preconditions = (
        [ports.Precondition("table", "key", 7)] if fault == "conflict" else []
    )
    context.memory.faults = [] if fault == "conflict" else [fault]
    context.store.transact(
        "part", preconditions, [ports.Put("table", "key", b"")]
    )


@behave.when("a {call} takes {seconds:g} seconds while the store is {state}")
def step_read(context: Context, call: str, seconds: float, state: str) -> None:
    _clock_readings(context, seconds)
    context.memory.away = state == "away"
    with contextlib.suppress(exceptions.CallFailed):
        if call == "read":
            context.store.read("table", "part", "key")
        else:
            context.store.scan("table", "part")


@behave.then(
    'the metrics show {count:d} "{call}" call of {seconds:g} seconds'
    ' with outcome "{outcome}"'
)
def step_shown(
    context: Context, count: int, call: str, seconds: float, outcome: str
) -> None:
    text = context.metrics.render()
    labels = f'call="{call}",outcome="{outcome}"'
    name = f"agaterudder_{instrumentedstore.METRIC}_seconds"
    assert f"{name}_count{{{labels}}} {count}\n" in text, text
    found = re.search(rf'{name}{{{labels},quantile="0.5"}} ([0-9.]+)', text)
    assert found is not None, text
    assert abs(float(found[1]) - seconds) <= TOLERANCE * seconds, text
