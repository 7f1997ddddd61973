"""Steps on invalid input and on the command line."""

import pathlib
import shlex
import socket
import subprocess
import sys
import tempfile
import typing as t

import behave

from standins import launcher
from tests.features.steps import deployment_steps as deployed

Context = t.Any
PLAN = launcher.Plan(
    data_centres=("north",),
    entries=1,
    services=(("tally", 1),),
    pools=(("count", 1),),
)
LARGE_BYTES = 1_100_000
ONE_WORKER = (
    "team.tally = { share = 1 }  # Ane\n" "pool.count = { out = 1 }  # Bo\n"
)


@behave.given("one entry process with its stand-ins")
def step_one(context: Context) -> None:
    deployment = deployed.start(context, PLAN)
    answer = deployment.call_operator_api(
        "POST", "apply", {"assurances": ONE_WORKER}
    )
    assert answer.body.get("state") == "accepted", answer
    deployed.step_key(context, "tally")
    context.vm, context.address = next(iter(deployment.entries.items()))


def _headers(context: Context, text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in text.split(";"):
        name, _, value = part.partition("=")
        if name == "key":
            found.update(deployed.headers(context))
        elif name:
            found[name] = value
    return found


@behave.then("each of these requests is refused with its code")
def step_codes(context: Context) -> None:
    for row in context.table:
        body = row["body"].encode()
        if row["body"] == "large":
            body = b"x" * LARGE_BYTES
        answer = launcher.call(
            context.address,
            row["method"],
            row["path"],
            body,
            _headers(context, row["headers"]),
        )
        assert answer.code == int(row["code"]), (row, answer)
        assert row["names"] in answer.body["reason"], (row, answer)
        assert answer.body["not_run"], (row, answer)


def _send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(data)
        answer = b""
        while part := sock.recv(4096):
            answer += part
            if b"\r\n\r\n" in answer:
                break
    return answer


@behave.then("each of these heads is refused with status 400 and not run")
def step_heads(context: Context) -> None:
    for row in context.table:
        head = row["head"].replace("\\r\\n", "\r\n").encode()
        answer = _send_raw(context.address, head)
        assert answer.startswith(b"HTTP/1.1 400"), (row, answer)


@behave.then("the entry process still answers completely")
def step_answers(context: Context) -> None:
    answer = launcher.call(
        context.address,
        "GET",
        "/v1/services/tally/x",
        b"",
        deployed.headers(context, request_id="still"),
    )
    assert answer.status == 200 and answer.body["id"] == "still", answer


@behave.then("its log contains neither key nor secret")
def step_log(context: Context) -> None:
    log = context.deployment.log(context.vm)
    assert "level=INFO" in log
    assert context.key.partition(".")[2] not in log
    assert launcher.OPERATOR_SECRET not in log


@behave.then("the stream port closes a connection that sends malformed bytes")
def step_stream(context: Context) -> None:
    text = context.deployment.settings_text(context.vm)
    line = next(x for x in text.splitlines() if x.startswith("stream"))
    address = line.partition('"')[2].rstrip('"')
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(b"\xc1 not a message \xff" * 10)
        while sock.recv(4096):
            pass
    step_answers(context)


@behave.then(
    "each of these commands exits with its status and prints its text"
)
def step_commands(context: Context) -> None:
    directory = pathlib.Path(tempfile.mkdtemp())
    (directory / "key").write_text(
        f"{launcher.OPERATOR}.{launcher.OPERATOR_SECRET}\n"
    )
    (directory / "assurances").write_text(ONE_WORKER)
    (directory / "faulty").write_text("team.x = { share = -1 }  # Ane\n")
    for row in context.table:
        command = row["command"].format(
            assurances=directory / "assurances", faulty=directory / "faulty"
        )
        process = _run(context, directory, command)
        output = process.stdout + process.stderr
        assert process.returncode == int(row["status"]), (command, output)
        assert row["says"] in output, (command, output)


def _run(
    context: Context, directory: pathlib.Path, command: str
) -> "subprocess.CompletedProcess[str]":
    words = shlex.split(command)
    if words[0] not in ("check", "serve"):
        words[1:1] = ["--entry", context.address]
        if "--key-file" not in words:
            words[1:1] = ["--key-file", str(directory / "key")]
    return subprocess.run(
        [sys.executable, "-m", "agaterudder", *words],
        capture_output=True,
        text=True,
        timeout=60,
        env={**launcher.os.environ, "COLUMNS": "200"},
    )
