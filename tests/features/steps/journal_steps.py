"""Steps for the journal of a pool."""

import typing as t

import behave

from agaterudder import codes
from agaterudder.jobs import deployment
from agaterudder.jobs import jobruns
from agaterudder.jobs import journal
from agaterudder.jobs import model
from agaterudder.jobs import ports
from tests import job_builders
from tests import memory_store

Context = t.Any
MAX_ATTEMPTS = 20


def _job(number: int) -> jobruns.JobRun:
    job = job_builders.job(job=f"{number:016x}")
    return jobruns.JobRun(job, 0.0, False)


def _store(context: Context) -> bool:
    """Store one batch as the holder of a pool does."""
    batch = context.journal.batch(job_builders.POOL, context.epoch, 1.0)
    outcome = context.store.transact(
        job_builders.POOL, batch.preconditions, batch.puts, batch.deletes
    )
    match outcome:
        case ports.Committed(version=version):
            context.journal.committed(batch, version)
        case ports.Conflicted(rows=rows):
            context.journal.conflicted(batch, rows)
        case codes.Refused():
            context.journal.requeue(batch)
    return isinstance(outcome, ports.Committed)


@behave.given("a journal and a store")
def step_journal(context: Context) -> None:
    context.store = memory_store.MemoryStore()
    holder = ports.Put(model.HOLDERS_TABLE, model.HOLDER_KEY, b"a")
    written = context.store.transact(job_builders.POOL, [], [holder])
    context.epoch = ports.Precondition(
        model.HOLDERS_TABLE, model.HOLDER_KEY, written.version
    )
    context.journal = journal.Journal(deployment.Bounds().row_bytes)
    context.job = _job(1)
    table = model.jobs_table(job_builders.POOL)
    put = ports.Put(table, context.job.job.job, b"job")
    context.store.transact(job_builders.POOL, [], [put])


@behave.when("a job makes progress")
def step_progress(context: Context) -> None:
    context.job.progress.done["0.0"] = [0]
    context.journal.mark(context.job)


@behave.when("the job makes more progress")
def step_more(context: Context) -> None:
    context.job.progress.done["0.0"] = [0, 1]
    context.journal.mark(context.job)


@behave.when("another job makes progress")
def step_other(context: Context) -> None:
    context.journal.mark(_job(2))


@behave.when("{count:d} jobs make progress")
def step_many(context: Context, count: int) -> None:
    context.marks = {}
    context.jobs = [_job(number + 10) for number in range(count)]
    for job in context.jobs:
        context.journal.mark(job)
        context.marks[job.job.job] = context.journal.marked


@behave.when("the first job after the first batch makes progress again")
def step_next_again(context: Context) -> None:
    context.journal.mark(context.jobs[journal.MAX_JOBS_PER_BATCH])


@behave.when(
    "the first batch is requeued after its first job made progress again"
)
def step_requeued_again(context: Context) -> None:
    batch = context.journal.batch(job_builders.POOL, context.epoch, 1.0)
    context.journal.mark(context.jobs[0])
    context.journal.requeue(batch)


@behave.when("{count:d} of the other jobs are stored first")
def step_others_first(context: Context, count: int) -> None:
    dirty = context.journal._dirty
    first = context.jobs[0]
    dirty[first] = dirty.pop(first)
    _store(context)


@behave.when("the first batch is requeued")
def step_requeued(context: Context) -> None:
    batch = context.journal.batch(job_builders.POOL, context.epoch, 1.0)
    context.journal.requeue(batch)


@behave.when("the job ends")
def step_ends(context: Context) -> None:
    context.job.ending = model.Ended(model.STATE_COMPLETED, 0.0)
    context.journal.mark(context.job)


@behave.when("the next answer is {fault}")
def step_fault(context: Context, fault: str) -> None:
    context.store.faults = [fault]


@behave.when("the journal is stored")
def step_store(context: Context) -> None:
    _store(context)


@behave.when("it is marked again while its end is being stored")
def step_marked_again(context: Context) -> None:
    batch = context.journal.batch(job_builders.POOL, context.epoch, 1.0)
    context.journal.mark(context.job)
    outcome = context.store.transact(
        job_builders.POOL, batch.preconditions, batch.puts, batch.deletes
    )
    context.journal.committed(batch, outcome.version)
    context.ended_version = outcome.version


@behave.when("it ends while its progress is being stored")
def step_ends_in_flight(context: Context) -> None:
    batch = context.journal.batch(job_builders.POOL, context.epoch, 1.0)
    step_ends(context)
    outcome = context.store.transact(
        job_builders.POOL, batch.preconditions, batch.puts, batch.deletes
    )
    context.journal.committed(batch, outcome.version)


@behave.when("the journal is stored without a conflict")
def step_no_conflict(context: Context) -> None:
    assert _store(context)


@behave.when("the journal is stored until it is empty")
def step_store_all(context: Context) -> None:
    attempts = 0
    while len(context.journal):
        _store(context)
        attempts += 1
        assert attempts < MAX_ATTEMPTS, "the journal is still not empty"


@behave.when("late calls take effect")
def step_late(context: Context) -> None:
    context.store.deliver_late()


def _tables(context: Context) -> set[str]:
    name = context.job.job.job
    return {table for table, _, key in context.store.rows if key == name}


@behave.then("the store has progress of the job")
def step_has_progress(context: Context) -> None:
    assert model.PROGRESS_TABLE in _tables(context)


@behave.then("the store has the later progress")
def step_later(context: Context) -> None:
    key = context.job.job.job
    row = context.store.read(model.PROGRESS_TABLE, job_builders.POOL, key)
    stored = model.decode(row.value, model.Progress)
    assert stored.done == {"0.0": [0, 1]}


@behave.then("the store has the end of the job and no other row of it")
def step_has_end(context: Context) -> None:
    assert _tables(context) == {model.ENDED_TABLE}, _tables(context)


@behave.then("the end of the job was written once")
def step_once(context: Context) -> None:
    key = context.job.job.job
    row = context.store.read(model.ENDED_TABLE, job_builders.POOL, key)
    assert row.version == context.ended_version


@behave.then("no mark counts as stored")
def step_none(context: Context) -> None:
    assert context.journal.stored == 0


@behave.then("only marks of stored jobs count as stored")
def step_only(context: Context) -> None:
    stored = {key for table, _, key in context.store.rows}
    counted = {
        name
        for name, mark in context.marks.items()
        if mark <= context.journal.stored
    }
    assert counted
    assert counted <= stored
