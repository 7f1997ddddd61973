"""Steps on what a process reports of requests when it stops."""

import logging
import pathlib
import sys
import time
import typing as t

import behave
import gevent
import gevent.event
from gevent import socket

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "platform"))

from agaterudder import http  # noqa: E402
from agaterudder_platform import shutdownreports  # noqa: E402

Context = t.Any
MAX_CONNECTIONS = 10
# More than the buffers of a connection hold.
LARGE_BYTES = 32_000_000


def _connect(context: Context) -> socket.socket:
    found = socket.create_connection(context.server._server.address)
    context.cleanups.append(found.close)
    return found


@behave.given('an HTTP server that answers "{path}" only when it is told to')
def step_server(context: Context, path: str) -> None:
    logger = logging.getLogger("agaterudder_platform")
    logger.addHandler(context.recorder)
    logger.setLevel(logging.INFO)
    context.cleanups.append(lambda: logger.removeHandler(context.recorder))
    context.told = gevent.event.Event()

    def answer(environ: http.Environ, body: bytes) -> http.Reply:
        if environ["PATH_INFO"] == path:
            context.told.wait()
        return http.Reply(200, b"x" * LARGE_BYTES)

    context.server = http.Server("127.0.0.1:0", answer, 0, MAX_CONNECTIONS)
    context.server.start()
    context.cleanups.append(context.server.stop)


@behave.given("a client that has sent no request")
def step_idle_client(context: Context) -> None:
    _connect(context)


@behave.given('a client that has sent a request for "{path}"')
@behave.given('a client that reads no answer of a request for "{path}"')
def step_request(context: Context, path: str) -> None:
    context.client = _connect(context)
    context.client.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())


@behave.when("the request is answered")
def step_answered(context: Context) -> None:
    gevent.sleep(0.05)
    context.told.set()
    received = 0
    while received < LARGE_BYTES:
        received += len(context.client.recv(LARGE_BYTES))


@behave.when("the drain ends {seconds:g} seconds later")
def step_drain_ends(context: Context, seconds: float) -> None:
    gevent.sleep(seconds)
    shutdownreports.drain_ended(context.server, time.monotonic())


@behave.then("its age is between {least:g} and {most:g} seconds")
def step_age_between(context: Context, least: float, most: float) -> None:
    assert least <= context.line["age"] <= most, context.line
