"""Steps for workers whose capacity changes while they run."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clustercache
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import workerregistry
from agaterudder import resources
from tests import job_builders
from tests import memory_store

Context = t.Any
KEY_BOUND_SECONDS = 5.0
MEMORY = 32_000.0
LEASE_SECONDS = 6.0
LATER_JOB = "00000000000000bb"


class _Registrations:
    """Registrations of one worker in a store that may answer late readings.

    :ivar cores: what the worker has now.
    :ivar stale: the next snapshots are as of the first version.
    :ivar lost: whether the history is lost.
    """

    def __init__(self, cores: float) -> None:
        self.first = cores
        self.cores = cores
        self.version = 10
        self.stale = 0
        self.lost = False

    def _change(self, cores: float) -> tuple[ports.WorkerChange, ...]:
        size = resources.Vector(cores, MEMORY)
        found = job_builders.registration("w1", size=size)
        return (ports.WorkerChange("w1", found),)

    def snapshot(self) -> tuple[tuple[ports.WorkerChange, ...], int]:
        """Return the registration as it is, or as it was at first."""
        if self.stale:
            self.stale -= 1
            return self._change(self.first), 10
        self.lost = False
        return self._change(self.cores), self.version

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[ports.WorkerChange, ...], int] | ports.HistoryLost:
        """Return the registration if it has changed."""
        if self.lost:
            return ports.HistoryLost()
        changed = self._change(self.cores) if after < self.version else ()
        return changed, self.version


@behave.given(
    'a watch of registrations that shows worker "w1" with {cores:d} cores'
)
def step_watch(context: Context, cores: int) -> None:
    context.source = _Registrations(float(cores))
    context.cluster = clustercache.ClusterCache(
        t.cast(ports.Operators, None),
        t.cast(ports.WorkerList, context.source),
        KEY_BOUND_SECONDS,
    )
    assert context.cluster.registrations._poll_once()


@behave.when("the worker shrinks to {cores:d} cores")
def step_shrinks(context: Context, cores: int) -> None:
    context.source.cores = float(cores)
    context.source.version += 1
    assert context.cluster.registrations._poll_once()


@behave.when(
    "the history is lost and the next {count:d} snapshots are older than the "
    "change"
)
def step_stale(context: Context, count: int) -> None:
    context.source.lost = True
    context.source.stale = count


@behave.then('worker "w1" has {cores:d} cores after each of {count:d} polls')
def step_cores(context: Context, cores: int, count: int) -> None:
    context.confirmed = []
    for _ in range(count):
        context.confirmed.append(context.cluster.registrations._poll_once())
        found = context.cluster.workers["w1"].size.cores
        assert found == cores, found


@behave.then("the watch was not confirmed by the older snapshots")
def step_not_confirmed(context: Context) -> None:
    assert context.confirmed == [False, False, True, True], context.confirmed


def _registry(context: Context) -> workerregistry.WorkerRegistry:
    registry = workerregistry.WorkerRegistry(
        job_builders.context(context.state, memory_store.MemoryStore()),
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        LEASE_SECONDS,
        mock.Mock(),
    )
    return registry


@behave.when('worker "{name}" registers with {cores:d} cores')
def step_registers(context: Context, name: str, cores: int) -> None:
    worker = context.state.workers[name]
    registration = job_builders.registration(
        name,
        size=resources.Vector(float(cores), MEMORY),
        incarnation=worker.incarnation,
    )
    _registry(context)._update_worker(worker, registration)


@behave.when("a job of {count:d} tasks of 1 core is accepted")
def step_another_job(context: Context, count: int) -> None:
    job = job_builders.job(job_builders.step(count=count), job=LATER_JOB)
    context.state.accept(job, model.Progress(), 0, context.now, False)
    context.state.create_due(0.0, context.now)


@behave.given(
    'worker "{name}" has restarted, and its registration is of before'
)
def step_restarted(context: Context, name: str) -> None:
    worker = context.state.workers[name]
    worker.incarnation += 1


@behave.given("the registrations were confirmed {age:g} seconds ago")
def step_confirmed(context: Context, age: float) -> None:
    context.state.sizes_confirmed_at = context.now - age
