"""Steps for the ports of the processes that tests start."""

import socket
import subprocess
import sys
import typing as t

import behave

from agaterudder import utils
from standins import launcher
from standins import ports
from tests.features.steps import deployment_steps as deployed

Context = t.Any
START_SECONDS = 20
BIND = "import socket, sys; socket.socket().bind((sys.argv[1], {port}))"


def _start(
    context: Context, module: str, *arguments: str
) -> "subprocess.Popen[str]":
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        cwd=launcher.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.cleanups.append(process.communicate)
    context.cleanups.append(process.kill)
    return process


def _binds(address: str) -> bool:
    """Return whether a socket of another process can bind the address."""
    host, port = utils.split_address(address)
    command = [sys.executable, "-c", BIND.format(port=port), host]
    return not subprocess.run(command, stderr=subprocess.DEVNULL).returncode


@behave.when(
    "{count:d} processes reserve {size:d} ports each at the same time"
)
def step_reserve(context: Context, count: int, size: int) -> None:
    context.size = count * size
    context.holders = [
        _start(context, "tests.port_holder", str(size)) for _ in range(count)
    ]


@behave.then("all reserved ports differ")
def step_differ(context: Context) -> None:
    reserved = [
        address
        for holder in context.holders
        for address in holder.stdout.readline().split()
    ]
    assert len(reserved) == context.size, len(reserved)
    assert len(set(reserved)) == context.size, len(set(reserved))


@behave.given("a reserved port")
def step_reserved(context: Context) -> None:
    context.reservation = ports.reserve()
    context.address = context.reservation.address
    context.cleanups.append(context.reservation.release)


@behave.then("a connection to the port is refused")
def step_refused(context: Context) -> None:
    try:
        socket.create_connection(utils.split_address(context.address))
    except ConnectionRefusedError:
        return
    raise AssertionError("a process listens on the port")


@behave.when("a backend server is started on the port in another process")
def step_started(context: Context) -> None:
    context.process = _start(
        context,
        "standins.backend",
        *("--listen", context.address, "--work-seconds", "0.01"),
    )


@behave.when("the backend server is killed and started again")
def step_restarted(context: Context) -> None:
    context.process.kill()
    context.process.wait()
    step_started(context)


@behave.then("the backend server answers")
def step_answers(context: Context) -> None:
    deployed.wait_for(
        lambda: _answers(context.address), START_SECONDS, "an answer"
    )


def _answers(address: str) -> bool:
    try:
        return launcher.call(address, "GET", "/counts").status == 200
    except OSError:
        return False


@behave.then("another process cannot bind the port")
def step_bound(context: Context) -> None:
    assert not _binds(context.address)


@behave.when("the port is released")
def step_released(context: Context) -> None:
    context.reservation.release()


@behave.then("another process can bind the port")
def step_unbound(context: Context) -> None:
    assert _binds(context.address)
