"""Steps for the watch of the workers by processes with and without pools."""

import json
import re
import typing as t

import behave
import gevent

from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import ports
from agaterudder_platform import httpclient
from agaterudder_platform import storeclient
from agaterudder_platform import workerlistclient
from tests import odd_inputs
from tests import table_stub

Context = t.Any
KEY_BOUND_SECONDS = 5.0
# Long enough for several readings of a table that answers at once.
SETTLE_SECONDS = 0.5


def _put(context: Context, key: str, **fields: t.Any) -> None:
    entry = {**odd_inputs.REGISTRATION, **fields}
    context.stub.put(key, json.dumps(entry).encode())


@behave.given('a process that watches a table of workers "a", "b" and "c"')
def step_watching_process(context: Context) -> None:
    context.stub = table_stub.TableStub()
    for key in "abc":
        _put(context, key)
    client = storeclient.StoreClient("127.0.0.1:9")
    client._http = t.cast(httpclient.HttpClient, context.stub)
    client._feed_http = t.cast(httpclient.HttpClient, context.stub)
    context.cluster = clustercache.ClusterCache(
        t.cast(ports.Operators, None),
        workerlistclient.WorkerListClient(client),
        KEY_BOUND_SECONDS,
    )
    loop = gevent.spawn(context.cluster.registrations.run)
    context.cleanups.append(loop.kill)


@behave.when("{count:d} entries change")
def step_entries_change(context: Context, count: int) -> None:
    for number in range(count):
        _put(context, "a", sequence=number)
        gevent.sleep(SETTLE_SECONDS / count)


@behave.then("it has read {count:d} times from the store")
def step_reads(context: Context, count: int) -> None:
    assert len(context.stub.calls) == count, context.stub.calls


@behave.when("it acquires a pool")
def step_acquires(context: Context) -> None:
    context.cluster.follow_workers(clock.now())
    context.known_at_once = context.cluster.workers_known


@behave.given("it has held a pool and given it up")
def step_held_before(context: Context) -> None:
    context.cluster.follow_workers(clock.now())
    gevent.sleep(SETTLE_SECONDS)
    assert context.cluster.workers_known
    context.cluster.unfollow_workers()
    gevent.sleep(SETTLE_SECONDS)


@behave.when('worker "{name}" is removed from the table')
def step_removed(context: Context, name: str) -> None:
    context.stub.remove(name)


@behave.when("it acquires 2 pools and gives 1 up")
def step_two_pools_held(context: Context) -> None:
    context.cluster.follow_workers(clock.now())
    context.cluster.follow_workers(clock.now())
    context.cluster.unfollow_workers()


@behave.then("the workers are not known until they were read")
def step_not_known_at_once(context: Context) -> None:
    assert not context.known_at_once
    gevent.sleep(SETTLE_SECONDS)
    assert context.cluster.workers_known


@behave.then("workers {names} are followed")
def step_followed(context: Context, names: str) -> None:
    gevent.sleep(SETTLE_SECONDS)
    wanted = re.findall(r'"(\w+)"', names)
    assert sorted(context.cluster.workers) == wanted, context.cluster.workers


@behave.when("the workers are not known yet")
def step_unknown_workers(context: Context) -> None:
    context.holder._cluster.workers_known = False


@behave.then("it does not recover")
def step_does_not_recover(context: Context) -> None:
    assert not context.holder._recover()
    assert not context.holder.state.workers
