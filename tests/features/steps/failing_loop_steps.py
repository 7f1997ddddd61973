"""Steps for loops of a process that fail."""

import typing as t
from unittest import mock

import behave
import gevent

from agaterudder import exceptions
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import watcher
from agaterudder.jobs import workerregistry
from tests import job_builders

Context = t.Any
WAIT_SECONDS = 2.0


@behave.when("the loop fails while it polls")
def step_worker_loop_fails(context: Context) -> None:
    context.reasons = []
    context.holder.step_down = context.reasons.append

    def fail() -> None:
        raise KeyError("a fault of the program")

    context.link.on_renew = fail
    context.holder.holds_lease = lambda: True
    context.loop.wake()
    context.loop.start()
    gevent.wait([context.loop._greenlet], timeout=1.0)
    gevent.idle()


@behave.then("its holder has given the pool up")
def step_gave_up(context: Context) -> None:
    assert context.reasons == ["the loop of one of its workers failed"]


class _Source:
    """A source with one row, whose version rises with each call."""

    def __init__(self) -> None:
        self.version = 0
        self.snapshots = 0
        self.away = 0
        self.waits: list[float] = []

    def snapshot(self) -> tuple[tuple[str, ...], int]:
        """Return the row and its version."""
        self.snapshots += 1
        self.version += 1
        return ("row",), self.version

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[str, ...], int]:
        """Return a change of the row, or fail while it is away."""
        self.waits.append(wait_seconds)
        if self.away:
            self.away -= 1
            raise exceptions.CallFailed("time-out", True)
        self.version += 1
        return ("row",), self.version


@behave.given("a watch whose next {count:d} changes can't be applied")
def step_watch(context: Context, count: int) -> None:
    faults = iter(range(count))

    def apply(_: t.Any) -> None:
        if next(faults, None) is not None:
            raise KeyError("a fault of the program")

    context.source = _Source()
    context.watch = watcher.Watcher(
        "rows", context.source, lambda _: None, apply, 0.0
    )


@behave.given("a watch whose source is away for the next {count:d} calls")
def step_source_away(context: Context, count: int) -> None:
    context.source = _Source()
    context.source.away = count
    context.watch = watcher.Watcher(
        "rows",
        context.source,
        lambda _: None,
        lambda _: None,
        WAIT_SECONDS,
    )


@behave.when("the watch polls {count:d} times")
def step_watch_polls(context: Context, count: int) -> None:
    context.watch._poll_once()
    for _ in range(count):
        context.watch._poll_once()


@behave.then('the calls asked to wait for "{seconds}" seconds')
def step_waits(context: Context, seconds: str) -> None:
    expected = [float(text) for text in seconds.split(", ")]
    assert context.source.waits == expected, context.source.waits


@behave.then("it has read {count:d} snapshots and is watching again")
def step_watching(context: Context, count: int) -> None:
    assert context.source.snapshots == count, context.source.snapshots
    assert context.watch._poll_once()


@behave.when('a scan of "{name}" meets a row that can\'t be read')
def step_bad_row(context: Context, name: str) -> None:
    partition = model.lease_partition(job_builders.POOL)
    context.bad = (model.LEASES_TABLE, partition, model.LEASE_KEY)
    context.store.rows[context.bad] = (b"", 1)
    context.scanned = context.managers[name]._scan()


@behave.then('"{name}" scans again')
def step_scans_again(context: Context, name: str) -> None:
    assert context.scanned is False


@behave.then('"{name}" acquires the pool when the row can be read')
def step_row_read(context: Context, name: str) -> None:
    del context.store.rows[context.bad]
    context.managers[name]._version = None
    context.managers[name]._rows.clear()
    context.execute_steps(f'When "{name}" scans for free pools')
    assert job_builders.POOL in context.managers[name].leases


@behave.when("a change of the cluster can't be applied to it")
def step_cluster_fails(context: Context) -> None:
    def fail(_: t.Any) -> None:
        raise KeyError("a fault of the program")

    with mock.patch.object(
        workerregistry.WorkerRegistry, "sync_registrations", fail
    ):
        context.holder._cluster_changed()


@behave.when('"{name}" acquires the pool and its renewal ends by a fault')
def step_renewal_fails(context: Context, name: str) -> None:
    spawned: dict[str, t.Any] = {}
    with mock.patch.object(
        leases.greenlets, "spawn", lambda *_, **named: spawned.update(named)
    ):
        context.execute_steps(f'When "{name}" scans for free pools')
    assert job_builders.POOL in context.managers[name].leases
    spawned["on_failure"]()


@behave.then('"{name}" has lost the pool')
def step_lost_pool(context: Context, name: str) -> None:
    assert job_builders.POOL not in context.managers[name].leases
    assert [found for found, _ in context.lost] == [name]
