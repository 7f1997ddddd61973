"""Steps on the lines that trace a job from its acknowledgement to its end."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import inbox
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import ports
from tests import job_builders
from tests import memory_store

Context = t.Any


@behave.given("an inbox of a pool")
def step_inbox(context: Context) -> None:
    context.now = job_builders.START
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.state = job_builders.state()
    context.store = memory_store.MemoryStore()
    lease = leases.Lease(job_builders.POOL, 1, 1e9)
    lease.epoch = job_builders.EPOCH
    context.inbox = inbox.Inbox(
        contexts.Context(
            lease,
            context.state,
            context.store,
            context.state.metrics,
            lambda: context.store.clock,
            lambda reason: None,
        )
    )


def _store_row(context: Context, table: str, key: str, value: bytes) -> None:
    put = ports.Put(table, key, value)
    context.store.transact(job_builders.POOL, [], [put])


def _job_rows(context: Context) -> tuple[ports.Row, ...]:
    table = model.jobs_table(job_builders.POOL)
    return tuple(context.store.scan(table, job_builders.POOL).rows)


def _tell(context: Context, key: str, version: int, value: bytes) -> None:
    table = model.jobs_table(job_builders.POOL)
    context.inbox._apply_changes(
        (ports.Row(table, key, value, version, job_builders.POOL),)
    )


@behave.given(
    "the store has a job of {age:g} seconds ago"
    " with progress of version {version:d}"
)
def step_stored_job(context: Context, age: float, version: int) -> None:
    context.job = job_builders.job(accepted_at=context.store.clock - age)
    table = model.jobs_table(job_builders.POOL)
    _store_row(context, table, context.job.job, model.encode(context.job))
    if version:
        content = model.encode(model.Progress())
        _store_row(context, model.PROGRESS_TABLE, context.job.job, content)


@behave.given("the store has {count:d} jobs")
def step_stored_jobs(context: Context, count: int) -> None:
    table = model.jobs_table(job_builders.POOL)
    for number in range(count):
        job = job_builders.job(job=f"{number:016x}")
        _store_row(context, table, job.job, model.encode(job))


@behave.when("the inbox is recovered")
def step_recover_inbox(context: Context) -> None:
    context.inbox.recover()


@behave.when("the inbox is told of the job")
@behave.when("the inbox is told again of the job")
@behave.when("the job is loaded")
def step_told(context: Context) -> None:
    context.inbox._apply_changes(_job_rows(context))


@behave.when("the job has been cancelled")
def step_cancelled(context: Context) -> None:
    step_told(context)
    context.state.cancel(context.job.job, context.store.clock)


@behave.when("the job is unknown")
def step_unknown_job(context: Context) -> None:
    assert not context.state.jobs


@behave.when("the inbox is told of its cancellation")
def step_told_cancellation(context: Context) -> None:
    _tell(context, f"{context.job.job}{model.CANCEL_SUFFIX}", 5, b"")


@behave.when("the inbox is told of a row that is no job")
def step_told_garbage(context: Context) -> None:
    _tell(context, "00000000000000aa", 4, b"?")


@behave.when("the inbox is told that its row was removed")
def step_told_removed(context: Context) -> None:
    _tell(context, context.job.job, 0, b"")
