"""Steps for transactions with the table service."""

import typing as t

import behave
import msgspec

from agaterudder import codes
from agaterudder import store
from standins import platform
from tests import fakes

Context = t.Any
KEY = "rows/one"


class Value(msgspec.Struct):
    """A row's content."""

    writer: str


class _WritesAfter(fakes.PlatformTransport):
    """Writes the row as another VM right after each failed call."""

    def call(self, method: str, path: str, body: bytes = b"", headers: t.Any = None) -> tuple[int, bytes]:  # type: ignore[override] # noqa
        try:
            return super().call(method, path, body, headers)
        except Exception:
            other_write(self.target)
            raise


def other_write(target: platform.Platform) -> None:
    """Write the row as another VM does."""
    other = store.Store(fakes.PlatformTransport(target))
    row = other.read(KEY, Value)
    other.transact([store.replace(row, Value("other"))])


@behave.given("a table service in which another VM {meanwhile}")
def step_table(context: Context, meanwhile: str) -> None:
    context.platform = platform.Platform([], 0.0)
    transport_class = fakes.PlatformTransport
    if meanwhile == "writes after":
        transport_class = _WritesAfter
    context.transport = transport_class(context.platform)
    context.store = store.Store(context.transport, backoff_seconds=0.0)
    context.row = context.store.read(KEY, Value)
    if meanwhile == "writes first":
        other_write(context.platform)


@behave.when('a row is written while the transport has the faults "{faults}"')
def step_write(context: Context, faults: str) -> None:
    context.transport.faults = faults.split(",")
    writes = [store.replace(context.row, Value("own"))]
    context.outcome = context.store.transact(writes)


@behave.when("another row is written immediately")
def step_write_again(context: Context) -> None:
    context.transport.faults = ["lost answer"]
    writes = [store.Write("rows/two", 0, Value("own"))]
    context.outcome = context.store.transact(writes)
    assert "rows/two" not in context.platform.rows


@behave.then('the outcome is "{expected}"')
def step_outcome(context: Context, expected: str) -> None:
    outcome = context.outcome
    name = type(outcome).__name__.lower()
    if isinstance(outcome, codes.Refused):
        name = outcome.code.name
    assert name == expected, outcome


@behave.then("the row was written {times:d} times by this transaction")
def step_write_count(context: Context, times: int) -> None:
    version, envelope = context.platform.rows.get(KEY, (0, None))
    others = 1 if envelope and envelope["value"]["writer"] == "other" else 0
    assert version - others == times, (version, envelope)


@behave.then("the refusal says that nothing was executed")
def step_not_run(context: Context) -> None:
    assert context.outcome.not_run, context.outcome
