"""Steps for odd entries and messages."""

import json
import logging
import pathlib
import sys
import typing as t
from unittest import mock

import behave
import gevent

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "platform"))

from agaterudder import escrow  # noqa: E402
from agaterudder import exceptions  # noqa: E402
from agaterudder.jobs import clock  # noqa: E402
from agaterudder.jobs import clustercache  # noqa: E402
from agaterudder.jobs import leases  # noqa: E402
from agaterudder.jobs import listings  # noqa: E402
from agaterudder.jobs import machines  # noqa: E402
from agaterudder.jobs import model  # noqa: E402
from agaterudder.jobs import operatorconfig  # noqa: E402
from agaterudder.jobs import orders  # noqa: E402
from agaterudder.jobs import planning  # noqa: E402
from agaterudder.jobs import ports  # noqa: E402
from agaterudder.jobs import teamlimits  # noqa: E402
from agaterudder.jobs import watcher  # noqa: E402
from agaterudder.jobs import workerloop  # noqa: E402
from agaterudder.jobs import workerregistry  # noqa: E402
from agaterudder import resources  # noqa: E402
from agaterudder_platform import gateway  # noqa: E402
from agaterudder_platform import httpclient  # noqa: E402
from agaterudder_platform import jobmessages  # noqa: E402
from agaterudder_platform import machinesclient  # noqa: E402
from agaterudder_platform import operatorclient  # noqa: E402
from agaterudder_platform import storeclient  # noqa: E402
from agaterudder_platform import tablereader  # noqa: E402
from agaterudder_platform import workerclient  # noqa: E402
from agaterudder_platform import workerlistclient  # noqa: E402
from tests import fuzz_decoders  # noqa: E402
from tests import job_builders  # noqa: E402
from tests import memory_store  # noqa: E402
from tests import odd_inputs  # noqa: E402
from tests import pool_fakes  # noqa: E402
from tests import table_stub  # noqa: E402

Context = t.Any
KEY_BOUND_SECONDS = 5.0
LEASE_SECONDS = 2.0
POLL_SECONDS = 1.0
ODD_KEY = "odd"
UNREADABLE = b"\xc1"


class _Lines(logging.Handler):
    """Collects the records of a logger."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def _collect_lines(context: Context, logger: logging.Logger) -> None:
    context.lines = _Lines()
    logger.addHandler(context.lines)
    context.cleanups.append(lambda: logger.removeHandler(context.lines))


def _store_client(stub: table_stub.TableStub) -> storeclient.StoreClient:
    client = storeclient.StoreClient("127.0.0.1:9")
    client._http = t.cast(httpclient.HttpClient, stub)
    client._feed_http = t.cast(httpclient.HttpClient, stub)
    return client


def _entry(**fields: t.Any) -> bytes:
    return json.dumps({**odd_inputs.REGISTRATION, **fields}).encode()


def _table() -> table_stub.TableStub:
    stub = table_stub.TableStub()
    for key in "abc":
        stub.put(key, _entry())
    return stub


def _cluster(
    operators: t.Any = None, worker_list: t.Any = None
) -> clustercache.ClusterCache:
    return clustercache.ClusterCache(operators, worker_list, KEY_BOUND_SECONDS)


def _watch(stub: table_stub.TableStub, odd: bytes | None) -> t.Any:
    """Watch a table with an odd row; return the cluster and the reader."""
    if odd is not None:
        stub.put(ODD_KEY, odd)
    reader = workerlistclient.WorkerListClient(_store_client(stub))
    cluster = _cluster(worker_list=reader)
    assert cluster.registrations._poll_once()
    stub.put("a", _entry(state="draining"))
    if odd is not None:
        stub.put(ODD_KEY, odd)
    assert cluster.registrations._poll_once()
    stub.remove("b")
    assert cluster.registrations._poll_once()
    return cluster, reader


@behave.given('a table of workers "a", "b" and "c"')
def step_table(context: Context) -> None:
    context.stub = _table()
    _collect_lines(context, tablereader.LOG)


@behave.given('an entry whose "{field}" is "{odd_value}"')
def step_odd_entry(context: Context, field: str, odd_value: str) -> None:
    context.odd = odd_inputs.with_value(
        odd_inputs.REGISTRATION, field, odd_value
    )


@behave.given("an entry with {amount} millicores")
def step_odd_amount(context: Context, amount: str) -> None:
    text = _entry(capacity="@").decode()
    context.odd = text.replace('"@"', f'{{"cpu":{amount}}}').encode()


@behave.when(
    'the table is watched while worker "a" begins to drain and "b" is removed'
)
def step_watch_table(context: Context) -> None:
    context.cluster, context.reader = _watch(context.stub, context.odd)


@behave.then('workers "a" and "c" are known, and "a" is draining')
def step_known(context: Context) -> None:
    workers = context.cluster.workers
    assert sorted(workers) == ["a", "c"], sorted(workers)
    assert workers["a"].state == ports.WORKER_DRAINING


@behave.then(
    "the odd entry was logged {times:d} times and {count:d} rows are counted "
    "as unreadable"
)
def step_logged(context: Context, times: int, count: int) -> None:
    assert len(context.lines.records) == times, context.lines.records
    assert context.reader.unreadable_rows == count


@behave.then("the store was called as often as without the odd entry")
def step_calls(context: Context) -> None:
    usual = _table()
    _watch(usual, None)
    assert len(context.stub.calls) == len(usual.calls), context.stub.calls


@behave.given("a pool that follows a table of one worker, which runs 2 tasks")
def step_following_pool(context: Context) -> None:
    context.now = job_builders.START
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.stub = table_stub.TableStub()
    context.stub.put("w1", _entry(service=job_builders.POOL, born=1))
    reader = workerlistclient.WorkerListClient(_store_client(context.stub))
    context.cluster = _cluster(worker_list=reader)
    assert context.cluster.registrations._poll_once()
    context.state = job_builders.state()
    context.registry = workerregistry.WorkerRegistry(
        job_builders.context(context.state, memory_store.MemoryStore()),
        context.cluster,
        lambda registration: t.cast(ports.Worker, pool_fakes.FakeLink()),
        t.cast(t.Any, None),
        LEASE_SECONDS,
        t.cast(t.Any, pool_fakes.FakeHolder(context.state)),
    )
    context.registry.sync_registrations()
    (worker,) = context.state.workers.values()
    worker.fenced = worker.persisted = True
    _answer(context)
    job = job_builders.job(job_builders.step(count=2))
    context.state.accept(job, model.Progress(), 0, context.now, False)
    context.state.create_due(0.0, context.now)
    starts = planning.Plan(context.state, context.now).orders()
    assert len(starts) == 2, starts
    _answer(context)


def _answer(context: Context) -> None:
    """Let the worker list its runs as running."""
    (worker,) = context.state.workers.values()
    running = [ports.Running(task, run, "", 10) for task, run in worker.runs]
    listing = job_builders.listing(
        running, clock=job_builders.START_CLOCK + context.now
    )
    listings.apply(context.state, worker, listing, context.now, context.now)


def _follow(context: Context) -> None:
    assert context.cluster.registrations._poll_once()
    context.registry.sync_registrations()


def _started(context: Context) -> list[orders.Start]:
    found = planning.Plan(context.state, context.now).orders()
    return [order for order in found if isinstance(order, orders.Start)]


@behave.when('the entry of the worker becomes "{odd_value}"')
def step_turns_bad(context: Context, odd_value: str) -> None:
    entry = odd_inputs.with_value(
        odd_inputs.REGISTRATION, "unknown", odd_value
    )
    context.stub.put("w1", entry)
    _follow(context)


@behave.when("{seconds:d} seconds pass in which the worker answers")
def step_time_answers(context: Context, seconds: int) -> None:
    context.starts = []
    for _ in range(int(seconds / POLL_SECONDS)):
        context.now += POLL_SECONDS
        _answer(context)
        _follow(context)
        context.starts += _started(context)


@behave.then("it has 2 runs, no task waits and nothing is started")
def step_runs_on(context: Context) -> None:
    (worker,) = context.state.workers.values()
    assert len(worker.runs) == 2
    assert not any(run.stop_reason for run in worker.runs.values())
    assert context.starts == []


def _accept_another(context: Context, number: int) -> None:
    job = job_builders.job(job_builders.step(count=1), job=f"{number:016x}")
    context.state.accept(job, model.Progress(), 0, context.now, False)
    context.state.create_due(0.0, context.now)


@behave.then("it gets no new tasks")
def step_no_new(context: Context) -> None:
    _accept_another(context, 1)
    assert _started(context) == []


@behave.when("the entry of the worker can be read again")
def step_readable(context: Context) -> None:
    context.stub.put("w1", _entry(service=job_builders.POOL, born=1))
    _follow(context)


@behave.then("it gets new tasks")
def step_new(context: Context) -> None:
    assert len(_started(context)) == 1


@behave.when("its entry names another address, in incarnation {incarnation:d}")
def step_other_address(context: Context, incarnation: int) -> None:
    (worker,) = context.state.workers.values()
    context.first_link = worker.link
    entry = _entry(
        service=job_builders.POOL, born=incarnation, address="10.128.0.77:8080"
    )
    context.stub.put("w1", entry)
    _follow(context)


@behave.then("it is asked at the {place} address")
def step_asked_at(context: Context, place: str) -> None:
    (worker,) = context.state.workers.values()
    assert (worker.link is context.first_link) == (place == "same")


@behave.when(
    "another worker answers each of its polls for {seconds:d} seconds"
)
def step_other_answers(context: Context, seconds: int) -> None:
    context.polls = 0
    context.waited = 0.0
    other = ports.Rejected(ports.REJECTED_OTHER_INCARNATION)

    def wait(pause: float) -> None:
        context.waited += pause

    with mock.patch.object(context.loop, "_wake", mock.Mock(wait=wait)):
        while context.waited < seconds:
            context.loop._worker.link = pool_fakes.FakeLink([other])
            context.loop._poll()
            context.polls += 1


@behave.then("it was polled {count:d} times at most")
def step_polled_at_most(context: Context, count: int) -> None:
    assert context.polls <= count, context.polls


@behave.then("it is polled at once when its entry changes")
def step_woken(context: Context) -> None:
    other = ports.Rejected(ports.REJECTED_OTHER_INCARNATION)
    context.loop._worker.link = pool_fakes.FakeLink([other])
    context.loop.wake()
    with gevent.Timeout(workerloop.RETRY_SECONDS):
        context.loop._poll()


@behave.given(
    "the rows of the operators have a configuration of version 3 and wave 4"
)
def step_operator_rows(context: Context) -> None:
    context.stub = table_stub.TableStub()
    context.stub.put("config", json.dumps(odd_inputs.CONFIGURATION).encode())
    context.stub.put("wave/4", json.dumps(odd_inputs.WAVE).encode())
    context.reader = operatorclient.OperatorClient(_store_client(context.stub))
    context.cluster = _cluster(operators=context.reader)
    assert context.cluster.operators._poll_once()
    _collect_lines(context, tablereader.LOG)


@behave.when(
    'both rows become "{odd_value}" and data centre "{name}" is taken out'
)
def step_operator_rows_bad(
    context: Context, odd_value: str, name: str
) -> None:
    for key in ("config", "wave/4"):
        context.stub.put(key, odd_inputs.ODD_VALUES[odd_value].encode())
    context.stub.put(f"evacuate/{name}", b"")
    assert context.cluster.operators._poll_once()


@behave.then('version 3 and wave 4 are in force and "{name}" is out')
def step_in_force(context: Context, name: str) -> None:
    assert context.cluster.configuration.version == 3
    assert list(context.cluster.waves) == [4]
    assert context.cluster.taken_out == {name}


@behave.then("a watch pauses after faults in a row for")
def step_pauses(context: Context) -> None:
    _collect_lines(context, watcher.LOG)
    for row in context.table:
        found = watcher.retry_pause(int(row["faults"]))
        assert abs(found - float(row["seconds"])) < 1e-9, (row, found)


@behave.then("the fault was logged once and the watch counts {count:d} faults")
def step_fault_once(context: Context, count: int) -> None:
    found = [
        record
        for record in context.lines.records
        if record.levelno >= logging.ERROR
    ]
    assert len(found) == 1, found
    assert context.watch.faults == count, context.watch.faults


@behave.then("the watch counts {count:d} faults")
def step_faults(context: Context, count: int) -> None:
    assert context.watch.faults == count, context.watch.faults


class _Replies:
    """HTTP client that returns the same reply to each request."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    def request(self, *arguments: t.Any, **named: t.Any) -> httpclient.Reply:
        """Return the reply."""
        return httpclient.Reply(200, self._content)


@behave.when(
    'the list of machines has "m1", a row whose "{field}" is "{odd_value}" '
    'and "m2"'
)
def step_machine_list(context: Context, field: str, odd_value: str) -> None:
    good = [
        json.dumps({**odd_inputs.MACHINE, "machine": name}).encode()
        for name in ("m1", "m2")
    ]
    odd = odd_inputs.with_value(odd_inputs.MACHINE, field, odd_value)
    rows = b",".join((good[0], odd, good[1]))
    client = machinesclient.MachinesClient("127.0.0.1:9")
    client._http = t.cast(t.Any, _Replies(b'{"machines":[' + rows + b"]}"))
    context.machine_list = client.list()


@behave.then('machines "m1" and "m2" are known')
def step_machines_known(context: Context) -> None:
    names = [machine.machine for machine in context.machine_list]
    assert names == ["m1", "m2"], names


def _list_machines(context: Context, content: bytes) -> None:
    client = machinesclient.MachinesClient("127.0.0.1:9")
    client._http = t.cast(t.Any, _Replies(content))
    try:
        context.outcome = client.list()
    except exceptions.CallFailed as error:
        context.outcome = error


@behave.when("each page of the list of machines names a next page")
def step_endless(context: Context) -> None:
    _list_machines(context, b'{"machines":[],"next_token":"more"}')


@behave.when("the list of machines is nested too deeply")
def step_list_nested(context: Context) -> None:
    _list_machines(
        context,
        odd_inputs.with_value(odd_inputs.MACHINES, "unknown", "nested lists"),
    )


@behave.then("the list can't be read")
def step_list_failed(context: Context) -> None:
    assert isinstance(context.outcome, exceptions.CallFailed)


@behave.when('the listing of a worker has "{odd_value}" for "{field}"')
def step_odd_listing(context: Context, odd_value: str, field: str) -> None:
    content = odd_inputs.with_value(odd_inputs.LISTING, field, odd_value)
    client = workerclient.WorkerClient("w1", "127.0.0.1:9")
    client._http = t.cast(t.Any, _Replies(content))
    context.outcome = client.renew(1, 0, None, 0.0, 1.0)


@behave.then("the worker has given no answer")
def step_no_answer(context: Context) -> None:
    assert isinstance(context.outcome, ports.NoAnswer), context.outcome


@behave.when('worker "{name}" lists a run of the task "{task}"')
def step_odd_task(context: Context, name: str, task: str) -> None:
    worker = context.state.workers[name]
    listing = job_builders.listing([ports.Running(task, 3, "", 0)])
    listings.apply(context.state, worker, listing, context.now, context.now)
    context.run = worker.runs[(task, 3)]


@behave.then("the run has to be stopped")
def step_must_stop(context: Context) -> None:
    assert context.run.stop_reason
    assert context.run.task is None


@behave.when('a caller submits a job with "{odd_value}" for "{field}"')
def step_odd_job(context: Context, odd_value: str, field: str) -> None:
    content = odd_inputs.with_value(odd_inputs.JOB, field, odd_value)
    try:
        context.request = jobmessages.job_request(content)
    except exceptions.Undecodable as error:
        context.request = error


@behave.then("callers that ask for these deadlines are given these times")
def step_deadlines(context: Context) -> None:
    for row in context.table:
        environ = {"HTTP_DEADLINE_MS": row["header"]}
        found = gateway._timeout_seconds(environ)
        assert found == float(row["seconds"]), (row, found)


@behave.given(
    "a process and 2 pools, of which one has a lease that can't be read"
)
def step_two_pools(context: Context) -> None:
    context.store = memory_store.MemoryStore()
    context.now = 500.0
    for patch in (
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(leases.greenlets, "spawn", lambda *_, **__: None),
    ):
        patch.start()
        context.cleanups.append(patch.stop)
    partition = model.lease_partition("a")
    key = (model.LEASES_TABLE, partition, model.LEASE_KEY)
    context.store.rows[key] = (UNREADABLE, 1)
    context.manager = leases.LeaseManager(
        "vm",
        "vm-1",
        context.store,
        LEASE_SECONDS,
        1.0,
        lambda: ["a", "b"],
        lambda lease: None,
        lambda lease, reason: None,
    )


@behave.when("it scans for free pools")
def step_scans(context: Context) -> None:
    for _ in range(4):
        context.manager._scan()
        context.now += 1.0
        context.store.clock += 1.0


@behave.then("it holds the other pool")
def step_holds_other(context: Context) -> None:
    assert list(context.manager.leases) == ["b"], context.manager.leases


@behave.then(
    "a team whose limit can't be read gets no grant, and other teams do"
)
def step_team_limits(context: Context) -> None:
    limit = resources.Vector(10.0, 1_000.0)
    teams = [
        operatorconfig.Team(name, (), 1.0, limit) for name in ("odd", "sound")
    ]
    limits = teamlimits.TeamLimits(job_builders.POOL)
    limits.configure(job_builders.configuration(1, teams))
    store = memory_store.MemoryStore()
    key = (teamlimits.TABLE, teamlimits.PARTITION, "odd")
    store.rows[key] = (UNREADABLE, 1)
    assert limits.load(store)
    size = resources.Vector(1.0, 10.0)
    for name in ("odd", "sound"):
        limits.request_grant(name, size, size, 1.0)
    limits.rebalance(store, 1.0)
    assert not limits.fits("odd", size)
    assert limits.fits("sound", size)
    row = store.rows[(teamlimits.TABLE, teamlimits.PARTITION, "sound")]
    assert model.decode(row[0], escrow.LimitRow).grants


@behave.then("a machine whose row can't be read is not ordered")
def step_machine_row(context: Context) -> None:
    store = memory_store.MemoryStore()
    key = (machines.TABLE, machines.PARTITION, "m1")
    store.rows[key] = (UNREADABLE, 1)
    found = machines.MachineOrders(
        store, t.cast(ports.Machines, None), "vm", LEASE_SECONDS
    )
    assert found.claim("m1", 0.0) is None
    assert found.claim("m2", 0.0) is not None


@behave.then(
    "a pool whose stored workers can't be read asks the registered ones"
)
def step_stored_workers(context: Context) -> None:
    store = memory_store.MemoryStore()
    key = (
        model.HOLDERS_TABLE,
        job_builders.POOL,
        workerregistry.WORKERS_KEY,
    )
    store.rows[key] = (UNREADABLE, 1)
    cluster = _cluster()
    cluster.workers = {"w1": job_builders.registration()}
    state = job_builders.state()
    workerregistry.WorkerRegistry(
        job_builders.context(state, store),
        cluster,
        lambda registration: t.cast(ports.Worker, pool_fakes.FakeLink()),
        t.cast(t.Any, None),
        LEASE_SECONDS,
        t.cast(t.Any, pool_fakes.FakeHolder(state)),
    ).recover()
    assert state.recovery.unconfirmed_workers == {"w1"}


@behave.then(
    "{count:d} odd messages to each decoder with seed {seed:d} are decoded or "
    "refused"
)
def step_fuzz(context: Context, count: int, seed: int) -> None:
    for name in fuzz_decoders.DECODERS:
        share = fuzz_decoders.refused_share(name, count, seed)
        assert 0 < share < 1, (name, share)
