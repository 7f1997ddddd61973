"""Steps for the adapter to the users' platform."""

import json
import pathlib
import random
import sys
import tempfile
import typing as t
from unittest import mock
import urllib.parse

import behave
import gevent
import gevent.server
import gevent.socket

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "platform"))

from agaterudder import codes  # noqa: E402
from agaterudder import exceptions  # noqa: E402
from agaterudder import http  # noqa: E402
from agaterudder.jobs import deployment  # noqa: E402
from agaterudder.jobs import ports  # noqa: E402
from agaterudder_platform import httpclient  # noqa: E402
from agaterudder_platform import jobmessages  # noqa: E402
from agaterudder_platform import machinesclient  # noqa: E402
from agaterudder_platform import node  # noqa: E402
from agaterudder_platform import operatormessages  # noqa: E402
from agaterudder_platform import policyclient  # noqa: E402
from agaterudder_platform import program  # noqa: E402
from agaterudder_platform import storeclient  # noqa: E402
from agaterudder_platform import workerclient  # noqa: E402
from agaterudder_platform import workermessages  # noqa: E402

Context = t.Any
RECEIVE_BYTES = 65_536
SERVER_LINGER_SECONDS = 0.05
ANSWER_SECONDS = 0.2
GRACE_SECONDS = 2.4
FIRST_VERSION = 7
SETTINGS = """\
node_name = "front-a-1"
ip = "10.1.0.23"
zone = "zone-a"
internal_ports = [7000, 7015]
[zones]
zone-a = "south"
[listen_addrs]
frontend = "10.1.0.23:8340"
readiness = "10.1.0.23:8343"
[platform]
address = "10.200.1.7:8344"
[cloud_api]
address = "10.200.0.82:8344"
[bounds]
lease_ms = 3000
"""


class StubHttpClient:
    """HTTP client that returns the same reply to each request."""

    def __init__(self, reply: httpclient.Reply) -> None:
        self._reply = reply

    def request(self, *arguments: t.Any, **named: t.Any) -> httpclient.Reply:
        """Return the reply."""
        return self._reply


@behave.when("a client sends")
def step_sends(context: Context) -> None:
    context.request = jobmessages.job_request(context.text.encode())


@behave.when('a client sends the body "{body}"')
@behave.when('a client sends the body ""')
def step_sends_body(context: Context, body: str = "") -> None:
    try:
        context.request = jobmessages.job_request(body.encode())
    except exceptions.Undecodable as error:
        context.request = error


@behave.then("it is refused as malformed")
def step_malformed(context: Context) -> None:
    assert isinstance(context.request, Exception), context.request


@behave.then(
    'step {number:d} has {count:d} tasks of {cores:g} cores near "{rack}"'
)
def step_near(
    context: Context, number: int, count: int, cores: float, rack: str
) -> None:
    step = context.request.steps[number]
    assert (step.count, step.size.cores) == (count, cores)
    assert step.data_rack == rack
    assert step.estimate_seconds == 0.9


@behave.then(
    "step {number:d} has {count:d} tasks of {cores:g} cores after step 0"
)
def step_after(
    context: Context, number: int, count: int, cores: float
) -> None:
    step = context.request.steps[number]
    assert (step.count, step.size.cores) == (count, cores)
    assert step.after == (0,)
    assert step.checkpointing


@behave.when("the store has the registration")
def step_registration(context: Context) -> None:
    content = context.text.strip().encode("latin-1")
    if content.startswith(b"\\x"):
        content = b"\xff\xfe"
    row = ports.Row("servers", "i-1", content, 1)
    try:
        context.registration = workermessages.worker_registration(row)
    except exceptions.Undecodable:
        context.registration = None


@behave.then("it is decoded as no worker")
def step_no_worker(context: Context) -> None:
    assert context.registration is None


@behave.then('it is decoded as a worker in rack "{rack}"')
@behave.then('it is decoded as a worker in rack ""')
def step_worker(context: Context, rack: str = "") -> None:
    assert context.registration.worker == "i-1"
    assert context.registration.rack == rack


def _renew(body: bytes) -> ports.Listing | ports.Rejected | ports.NoAnswer:
    client = workerclient.WorkerClient("i-1", "127.0.0.1:9")
    reply = httpclient.Reply(200, body)
    client._http = t.cast(httpclient.HttpClient, StubHttpClient(reply))
    return client.renew(7, 0, None, 0.0, 1.0)


@behave.when("a worker answers a lease renewal with")
def step_renewal(context: Context) -> None:
    context.listing = _renew(context.text.encode())


@behave.then(
    "its clock shows {seconds:g} seconds in incarnation {incarnation:d}"
)
def step_clock(context: Context, seconds: float, incarnation: int) -> None:
    assert context.listing.clock == seconds
    assert context.listing.incarnation == incarnation


@behave.then('it lists task "{task}" run {run:d} at {progress:d} per cent')
def step_runs(context: Context, task: str, run: int, progress: int) -> None:
    (found,) = context.listing.running
    assert (found.task, found.run, found.progress) == (task, run, progress)


@behave.then('end event {number:d} is "{outcome}"')
def step_end(context: Context, number: int, outcome: str) -> None:
    (found,) = context.listing.ended
    assert (found.number, found.outcome) == (number, outcome)


@behave.then("readings in a worker's listing are taken as")
def step_readings(context: Context) -> None:
    for row in context.table:
        reading = row["reading"].encode()
        listing = _renew(
            b'{"clock_ms":1,"running":[["a.0.0.0",2,"",41,%s]],"finished":[]}'
            % reading
        )
        assert isinstance(listing, ports.Listing), listing
        (found,) = listing.running
        assert (found.task, found.run, found.progress) == ("a.0.0.0", 2, 41)
        value = "none" if found.measurement is None else found.measurement
        assert str(value) == row["taken as"], (reading, value)


@behave.then("listings with these rows are not read at all")
def step_bad_rows(context: Context) -> None:
    for row in context.table:
        lists = {"running": '["b.0.0.0",1,"",9]', "finished": ""}
        good = lists[row["list"]]
        lists[row["list"]] = ",".join(
            part for part in (good, row["row"]) if part
        )
        body = (
            f'{{"clock_ms":1,"running":[{lists["running"]}],'
            f'"finished":[{lists["finished"]}]}}'
        )
        answer = _renew(body.encode())
        assert isinstance(answer, ports.NoAnswer), (row["row"], answer)


@behave.then("listings tell whether more ends follow")
def step_more_ends(context: Context) -> None:
    for row in context.table:
        ends = ",".join(
            f'[{number},"a.0.0.0",{number},"done",""]'
            for number in range(1, int(row["ends"]) + 1)
        )
        listing = _renew(
            f'{{"clock_ms":1,"running":[],"finished":[{ends}]}}'.encode()
        )
        assert isinstance(listing, ports.Listing), listing
        assert len(listing.ended) == int(row["ends"])
        assert listing.more_ends == (row["more follow"] == "yes"), row["ends"]


@behave.then("a worker's responses are interpreted as")
def step_responses(context: Context) -> None:
    for row in context.table:
        client = workerclient.WorkerClient("i-1", "127.0.0.1:9")
        reply = httpclient.Reply(int(row["status"]), row["body"].encode())
        client._http = t.cast(httpclient.HttpClient, StubHttpClient(reply))
        answer = client.stop("a.0.0.0", 1, 7, 1.0)
        name = type(answer).__name__
        if isinstance(answer, ports.Rejected):
            name = f"{name} {answer.reason}"
        assert name == row["meaning"], (row["status"], name)


@behave.then("a transaction's responses are interpreted as")
def step_transaction_responses(context: Context) -> None:
    for row in context.table:
        client = storeclient.StoreClient("127.0.0.1:9")
        reply = httpclient.Reply(int(row["status"]), row["body"].encode())
        client._http = t.cast(httpclient.HttpClient, StubHttpClient(reply))
        with mock.patch.object(
            storeclient.LOG, "warning", autospec=True
        ) as warning:
            outcome = client.transact("a", [], [])
        name = (
            outcome.code.name
            if isinstance(outcome, codes.Refused)
            else type(outcome).__name__
        )
        assert name == row["meaning"], (row["status"], name)
        logged = [call.args[0] for call in warning.call_args_list] or ["none"]
        assert logged == [row["log event"]], (row["status"], logged)


def _order(client: str, reply: httpclient.Reply) -> t.Any:
    http = t.cast(httpclient.HttpClient, StubHttpClient(reply))
    match client:
        case "worker":
            worker = workerclient.WorkerClient("i-1", "127.0.0.1:9")
            worker._http = http
            return worker.stop("a.0.0.0", 1, 7, 1.0)
        case "machines":
            machines = machinesclient.MachinesClient("127.0.0.1:9")
            machines._http = http
            return machines.move("m-1", "p", "front-a-1", 3)
    policy = policyclient.PolicyClient("127.0.0.1:9")
    policy._http = http
    return policy.ask("a.0.0", ["i-1"], 1.0)


@behave.then("other statuses leave an order's outcome as")
def step_other_statuses(context: Context) -> None:
    for row in context.table:
        answer = _order(
            row["client"], httpclient.Reply(int(row["status"]), b"")
        )
        name = type(answer).__name__
        if isinstance(answer, ports.NoAnswer):
            may = "may" if answer.may_take_effect else "can't"
            name = f"{name}, {may} take effect"
        assert name == row["meaning"], (row["client"], row["status"], name)


@behave.then(
    "{count:d} random bodies with seed {seed:d} are decoded or refused"
)
def step_random(context: Context, count: int, seed: int) -> None:
    generator = random.Random(seed)
    valid_body = (
        b'{"spec":"a","steps":[{"count":2,"after":[0],"cpu":5}],"times":2,'
        b'"clock_ms":1,"running":[["a",1,"",4]],"finished":[],"version":1,'
        b'"service":"p","address":"1:2","zone":"z","state":"ready",'
        b'"capacity":{"cpu":1}}'
    )
    refused = 0
    for _ in range(count):
        body = bytearray(valid_body)
        for _ in range(generator.randrange(1, 6)):
            body[generator.randrange(len(body))] = generator.randrange(256)
        for decode in (
            jobmessages.job_request,
            operatormessages.configuration,
            operatormessages.decode_wave,
            workermessages.decode_listing,
            lambda content: workermessages.worker_registration(
                ports.Row("servers", "i", content, 1)
            ),
        ):
            try:
                decode(bytes(body))
            except exceptions.Undecodable:
                refused += 1
    assert refused > 0


@behave.given("the example settings of the platform's documentation")
def step_settings(context: Context) -> None:
    context.settings = SETTINGS


@behave.when("an unknown field is added")
def step_unknown(context: Context) -> None:
    context.settings = 'new_field = "x"\n' + context.settings


@behave.when('the field "{name}" is removed')
def step_removed(context: Context, name: str) -> None:
    lines = context.settings.splitlines(keepends=True)
    context.settings = "".join(
        line for line in lines if not line.startswith(f"{name} =")
    )


def _read(context: Context) -> t.Any:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(context.settings)
        file.flush()
        return node.read(pathlib.Path(file.name))


@behave.then("they can be read")
def step_read(context: Context) -> None:
    found = _read(context)
    assert found.bounds.holder_lease == 3.0
    assert found.data_centre == "zone-a"


@behave.then('they are refused with an error that names "{name}"')
def step_refused(context: Context, name: str) -> None:
    try:
        _read(context)
    except exceptions.SettingsError as error:
        assert name in str(error)
    else:
        raise AssertionError("invalid settings were accepted")


@behave.when(
    "its processor is {share:g} of a core that is {cores:d} times as fast"
)
def step_processor(context: Context, share: float, cores: int) -> None:
    limits = f"[limits]\ncpu_share = {share}\ncores = {cores}\n"
    context.settings = SETTINGS + limits


@behave.then("the VM has {cores:g} cores")
def step_cores(context: Context, cores: float) -> None:
    assert _read(context).cores == cores


def _answer_once(connection: gevent.socket.socket, _: t.Any) -> None:
    connection.recv(RECEIVE_BYTES)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    gevent.sleep(SERVER_LINGER_SECONDS)
    connection.close()


@behave.given("a client with an idle connection to a server that has ended")
def step_ended_server(context: Context) -> None:
    server = gevent.server.StreamServer(("127.0.0.1", 0), _answer_once)
    server.start()
    context.client = httpclient.HttpClient(f"127.0.0.1:{server.server_port}")
    assert context.client.request("POST", "/", b"{}").status == 200
    server.stop()
    gevent.sleep(2 * SERVER_LINGER_SECONDS)


@behave.given('a client of the address "{address}"')
def step_client(context: Context, address: str) -> None:
    context.client = httpclient.HttpClient(address)


@behave.when("the client sends a request")
def step_request(context: Context) -> None:
    try:
        context.client.request("POST", "/", b"{}")
    except exceptions.CallFailed as error:
        context.error = error


@behave.then("the request failed and can't take effect")
def step_not_sent(context: Context) -> None:
    assert not context.error.may_take_effect, context.error


class _Frontend:
    """The server of a process that stops, with at most one request."""

    def __init__(self) -> None:
        self.closing = False
        self.open_requests: list[http.OpenRequest] = []
        self.active_requests = 0
        self.open_connections = 1
        self.written = False

    def read_request(self) -> None:
        """Read a request; its answer is written some time later."""
        self.open_requests.append(http.OpenRequest("GET", "/", 0.0))
        gevent.spawn_later(ANSWER_SECONDS, self._write_answer)

    def _write_answer(self) -> None:
        self.open_requests.clear()
        self.written = True


@behave.given("a process whose clients send a request {when}")
def step_stopping_process(context: Context, when: str) -> None:
    context.frontend = _Frontend()
    bounds = deployment.Bounds(grace=GRACE_SECONDS)
    context.process = mock.Mock(
        _frontend_server=context.frontend,
        _settings=mock.Mock(bounds=bounds),
        _wait_until_answered=lambda deadline: (
            program.Program._wait_until_answered(context.process, deadline)
        ),
    )
    context.read_at = when


@behave.when("the process shuts down")
def step_shut_down(context: Context) -> None:
    read = context.frontend.read_request
    during_flush = "lines" in context.read_at
    if not during_flush:
        gevent.spawn(read)
    flush = read if during_flush else lambda: None
    with mock.patch.object(program.logs, "flush", flush):
        program.Program._shut_down(context.process)


@behave.then("the answer to the request was written before it ended")
def step_answer_written(context: Context) -> None:
    assert context.frontend.written


class _SlowLink:
    """HTTP client of a store whose large pages don't arrive in time."""

    def __init__(self, rows: int, in_time: int) -> None:
        self._keys = [f"{number:06d}" for number in range(rows)]
        self._in_time = in_time
        self.failed = 0
        self.pages = 0

    def request(
        self, method: str, path: str, **named: t.Any
    ) -> httpclient.Reply:
        """Return a page of rows."""
        query = urllib.parse.parse_qs(path.partition("?")[2])
        limit = int(query["limit"][0])
        start = query.get("from", [""])[0]
        if limit > self._in_time:
            self.failed += 1
            raise exceptions.CallFailed("time-out", True)
        later = [key for key in self._keys if key >= start]
        rows = [{"table": "t", "key": key, "ver": 1} for key in later[:limit]]
        self.pages += 1
        content = {
            "rows": rows,
            "ver": FIRST_VERSION + self.pages - 1,
            "has_more": len(later) > limit,
        }
        return httpclient.Reply(200, json.dumps(content).encode())


@behave.given(
    "a store with {rows:d} rows over a link that carries {count:d} rows in "
    "time"
)
def step_slow_link(context: Context, rows: int, count: int) -> None:
    context.rows = rows
    context.link = _SlowLink(rows, count)
    context.store = storeclient.StoreClient("127.0.0.1:9")
    context.store._http = t.cast(httpclient.HttpClient, context.link)


@behave.when("the table is read")
def step_table_read(context: Context) -> None:
    try:
        context.scan = context.store.scan("t", "")
    except exceptions.CallFailed as error:
        context.scan = error


@behave.then("all rows were read with {count:d} failed readings")
def step_all_rows(context: Context, count: int) -> None:
    assert len({row.key for row in context.scan.rows}) == context.rows
    # Rows that are added while later pages are read are read as changes.
    assert context.scan.version == FIRST_VERSION, context.scan.version
    assert context.link.failed == count, context.link.failed


@behave.then("the reading failed after {count:d} failed readings")
def step_scan_failed(context: Context, count: int) -> None:
    assert isinstance(context.scan, exceptions.CallFailed), context.scan
    assert context.link.failed == count, context.link.failed
