"""Steps on log lines."""

import collections
import logging
import os
import time
import typing as t

import behave
import gevent

from agaterudder import logs

Context = t.Any
READ_BYTES = 1_000_000
READ_SECONDS = 20.0


def _record(level: int, event: str) -> logging.LogRecord:
    return logging.LogRecord("test", level, "", 0, event, (), None)


@behave.given("a log whose reader has stopped reading")
def step_pipe(context: Context) -> None:
    context.reader, writer = os.pipe()
    context.handler = logs.QueueHandler(writer)
    context.cleanups.append(lambda: os.close(writer))


@behave.when("{lines:d} lines and then {warnings:d} warnings are logged")
def step_log(context: Context, lines: int, warnings: int) -> None:
    started_at = time.monotonic()
    for number in range(lines):
        context.handler.handle(_record(logging.INFO, f"line {number} " * 9))
        if number % 1_000 == 0:
            gevent.sleep(0)
    for number in range(warnings):
        context.handler.handle(_record(logging.WARNING, f"warning {number}."))
    context.seconds = time.monotonic() - started_at


@behave.then("logging took less than {seconds:g} seconds")
def step_took(context: Context, seconds: float) -> None:
    assert context.seconds < seconds, context.seconds


@behave.then("at most {count:d} lines are kept in memory")
def step_kept(context: Context, count: int) -> None:
    assert 0 < len(context.handler._lines) <= count


@behave.when("the reader resumes reading")
def step_read(context: Context) -> None:
    received = b""
    os.set_blocking(context.reader, False)
    deadline = time.monotonic() + READ_SECONDS
    while (
        not received.endswith(b"warning 9.\n") and time.monotonic() < deadline
    ):
        gevent.sleep(0.01)
        try:
            received += os.read(context.reader, READ_BYTES)
        except BlockingIOError:
            continue
    context.output = received.decode()


@behave.then("it gets all {count:d} warnings")
def step_warnings(context: Context, count: int) -> None:
    for number in range(count):
        assert f"warning {number}." in context.output, number


@behave.then("the log states how many lines were dropped")
def step_dropped(context: Context) -> None:
    assert context.handler.dropped > 0
    notice = f'msg="lines dropped" count={context.handler.dropped}'
    assert notice in context.output


def _filter(context: Context, level: int, event: str, count: int) -> None:
    if "rates" not in context:
        context.now = 100.0
        context.rates = logs.RateLimiter(lambda: context.now)
        context.written = collections.Counter()
    for _ in range(count):
        if context.rates.filter(_record(level, event)):
            context.written[event] += 1


@behave.when('{count:d} lines of event "{event}" come within a second')
def step_lines(context: Context, count: int, event: str) -> None:
    _filter(context, logging.INFO, event, count)


@behave.when('{count:d} warnings of event "{event}" come within a second')
def step_many_warnings(context: Context, count: int, event: str) -> None:
    _filter(context, logging.WARNING, event, count)


@behave.when("a second passes")
def step_second(context: Context) -> None:
    context.now += 1.0


@behave.then(
    '{written:d} lines of event "{event}" are written'
    " and {counted:d} are counted"
)
def step_written(
    context: Context, written: int, event: str, counted: int
) -> None:
    assert context.written[event] == written
    assert context.rates.suppressed[event] == counted
