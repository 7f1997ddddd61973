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


def _record(level: int, kind: str) -> logging.LogRecord:
    return logging.LogRecord("test", level, "", 0, kind, (), None)


@behave.given("a log whose reader does not read")
def step_pipe(context: Context) -> None:
    context.reader, writer = os.pipe()
    context.handler = logs.QueueHandler(writer)
    context.cleanups.append(lambda: os.close(writer))


@behave.when("{lines:d} lines and then {warnings:d} warnings are logged")
def step_log(context: Context, lines: int, warnings: int) -> None:
    began = time.monotonic()
    for number in range(lines):
        context.handler.handle(_record(logging.INFO, f"line {number} " * 9))
        if number % 1_000 == 0:
            gevent.sleep(0)
    for number in range(warnings):
        context.handler.handle(_record(logging.WARNING, f"warning {number}."))
    context.seconds = time.monotonic() - began


@behave.then("logging took less than {seconds:g} seconds")
def step_took(context: Context, seconds: float) -> None:
    assert context.seconds < seconds, context.seconds


@behave.then("at most {count:d} lines are kept in memory")
def step_kept(context: Context, count: int) -> None:
    assert 0 < len(context.handler._lines) <= count


@behave.when("the reader reads on")
def step_read(context: Context) -> None:
    found = b""
    os.set_blocking(context.reader, False)
    until = time.monotonic() + READ_SECONDS
    while not found.endswith(b"warning 9.\n") and time.monotonic() < until:
        gevent.sleep(0.01)
        try:
            found += os.read(context.reader, READ_BYTES)
        except BlockingIOError:
            continue
    context.output = found.decode()


@behave.then("it gets all {count:d} warnings")
def step_warnings(context: Context, count: int) -> None:
    for number in range(count):
        assert f"warning {number}." in context.output, number


@behave.then("it is told how many lines were dropped")
def step_dropped(context: Context) -> None:
    assert context.handler.dropped > 0
    told = f'msg="lines dropped" count={context.handler.dropped}'
    assert told in context.output


def _filter(context: Context, level: int, kind: str, count: int) -> None:
    if "rates" not in context:
        context.now = 100.0
        context.rates = logs.Rates(lambda: context.now)
        context.written = collections.Counter()
    for _ in range(count):
        if context.rates.filter(_record(level, kind)):
            context.written[kind] += 1


@behave.when('{count:d} lines of kind "{kind}" come within a second')
def step_lines(context: Context, count: int, kind: str) -> None:
    _filter(context, logging.INFO, kind, count)


@behave.when('{count:d} warnings of kind "{kind}" come within a second')
def step_many_warnings(context: Context, count: int, kind: str) -> None:
    _filter(context, logging.WARNING, kind, count)


@behave.when("a second passes")
def step_second(context: Context) -> None:
    context.now += 1.0


@behave.then(
    '{written:d} lines of kind "{kind}" are written'
    " and {counted:d} are counted"
)
def step_written(
    context: Context, written: int, kind: str, counted: int
) -> None:
    assert context.written[kind] == written
    assert context.rates.left_out[kind] == counted
