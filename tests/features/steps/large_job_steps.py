"""Steps on jobs of many steps, tasks or occurrences."""

import time
import typing as t
from unittest import mock

import behave

from agaterudder import codes
from agaterudder.jobs import clock
from agaterudder.jobs import deployment
from agaterudder.jobs import estimates
from agaterudder.jobs import jobcalls
from agaterudder.jobs import journalwriter
from agaterudder.jobs import model
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import runends
from agaterudder.jobs import runstarts
from agaterudder.jobs import service
from agaterudder import resources
from tests import job_builders
from tests import memory_store

Context = t.Any
ROUND_SECONDS = 0.1
MAX_ROUNDS = 2_000
OTHER = "00000000000000bb"
PROGRESS_VERSION = 3
# Unix time at which all occurrences are due.
WALL_SECONDS = 1e9


def _accept(context: Context, job: model.Job) -> None:
    context.state.accept(
        job, model.Progress(), 0, job_builders.START, recovered=False
    )
    context.state.create_due(0.0, job_builders.START)


@behave.given("a pool of {count:d} workers with 16 cores")
def step_pool(context: Context, count: int) -> None:
    workers = [job_builders.worker(f"w{number}") for number in range(count)]
    context.state = job_builders.state(workers)


@behave.given(
    "{jobs:d} large jobs of {steps:d} steps,"
    " each after {after:d} of the steps before"
)
def step_large_jobs(
    context: Context, jobs: int, steps: int, after: int
) -> None:
    found = [
        job_builders.step(
            count=1,
            size=resources.Vector(0.1, 64.0),
            after=tuple(range(after)) if number >= after else (),
        )
        for number in range(steps)
    ]
    for number in range(jobs):
        _accept(context, job_builders.job(*found, job=f"{number:016x}"))


@behave.given("a large job of these steps")
def step_steps(context: Context) -> None:
    found = [
        job_builders.step(
            estimate_seconds=float(row["seconds"]),
            after=tuple(map(int, filter(None, row["after"].split(",")))),
        )
        for row in context.table
    ]
    _accept(context, job_builders.job(*found))


@behave.when("the pool is planned {times:d} times")
def step_planned(context: Context, times: int) -> None:
    context.rounds = []
    context.looks = []
    context.starts = []
    for number in range(1, times + 1):
        now = job_builders.START + number * ROUND_SECONDS
        with mock.patch.object(
            estimates.Estimates,
            "seconds",
            autospec=True,
            side_effect=estimates.Estimates.seconds,
        ) as looks:
            began_at = time.monotonic()
            found = planning.Plan(context.state, now).orders()
            context.rounds.append(time.monotonic() - began_at)
        context.looks.append(looks.call_count)
        context.starts.append(
            sum(isinstance(order, orders.Start) for order in found)
        )


@behave.then("each round took less than the pool's lease")
def step_round_seconds(context: Context) -> None:
    lease = deployment.Bounds().holder_lease * service.HOLDER_LEASE_FRACTION
    assert max(context.rounds) < lease, context.rounds


@behave.then("tasks were started in the first round")
def step_started(context: Context) -> None:
    assert context.starts[0] > 0, context.starts


@behave.then("a round looked at no estimate more than once")
def step_looks(context: Context) -> None:
    steps = sum(len(job.steps) for job in context.state.jobs.values())
    assert max(context.looks) <= steps, (context.looks, steps)


@behave.then('the critical paths of its steps are "{expected}" seconds')
def step_critical_paths(context: Context, expected: str) -> None:
    (job,) = context.state.jobs.values()
    found = context.state.estimates.critical_paths(job, 0)
    assert found == [float(item) for item in expected.split(",")], found


@behave.given("a large job of {occurrences:d} occurrences that are all due")
def step_occurrences(context: Context, occurrences: int) -> None:
    step = job_builders.step(count=1, size=resources.Vector(0.1, 64.0))
    job = job_builders.job(step, times=occurrences, start_at=1.0)
    context.state.accept(
        job, model.Progress(), 0, job_builders.START, recovered=False
    )


@behave.when("its occurrences are created within the pool's lease")
def step_created(context: Context) -> None:
    began_at = time.monotonic()
    context.state.create_due(WALL_SECONDS, job_builders.START)
    context.rounds = [time.monotonic() - began_at]
    step_round_seconds(context)


@behave.when("all its tasks end again and again")
def step_all_end(context: Context) -> None:
    (context.job,) = context.state.jobs.values()
    while context.state.awaiting_occurrences or context.state.ready:
        context.state.create_due(WALL_SECONDS, job_builders.START)
        before = len(context.state.ready)
        assert before, "no occurrence was created"
        worker = context.state.workers["w0"]
        for number, step in enumerate(list(context.state.ready.values()), 1):
            end = ports.Ended(
                number, step.tasks[0].name, number, ports.END_DONE, ""
            )
            runends.apply(context.state, worker, end, job_builders.START)


@behave.then("{count:d} occurrences of it have ended")
def step_ended(context: Context, count: int) -> None:
    found = [step for step in context.job.steps.values() if step.finished]
    assert len(found) == count, len(found)


@behave.then("the large job is complete")
def step_complete(context: Context) -> None:
    ending = context.job.ending
    assert ending is not None and ending.state == model.STATE_COMPLETED, ending


def _accept_begun(context: Context, job: model.Job) -> None:
    """Accept a job of which an earlier holder has started tasks."""
    context.store = memory_store.MemoryStore()
    context.largest_row = 0
    transact = context.store.transact

    def measure(
        partition: str,
        preconditions: t.Any,
        puts: t.Sequence[ports.Put],
        *arguments: t.Any,
    ) -> ports.Outcome:
        sizes = [len(put.value) for put in puts]
        context.largest_row = max(context.largest_row, *sizes, 0)
        return t.cast(
            ports.Outcome,
            transact(partition, preconditions, puts, *arguments),
        )

    context.store.transact = measure
    holder = (model.HOLDERS_TABLE, job_builders.POOL, model.HOLDER_KEY)
    context.store.rows[holder] = (b"", job_builders.EPOCH)
    row = (model.PROGRESS_TABLE, job_builders.POOL, job.job)
    context.store.rows[row] = (b"", PROGRESS_VERSION)
    context.state.accept(
        job, model.Progress(), PROGRESS_VERSION, job_builders.START, True
    )
    context.state.create_due(0.0, job_builders.START)
    context.job = context.state.jobs[job.job]


def _store(context: Context) -> None:
    writer = journalwriter.JournalWriter(
        job_builders.context(context.state, context.store)
    )
    while len(context.state.journal):
        assert writer._write_batch()


@behave.given(
    "a large job of {count:d} tasks that has begun, from before the take-over"
)
def step_begun(context: Context, count: int) -> None:
    step = job_builders.step(count=count, size=resources.Vector(0.01, 8.0))
    _accept_begun(context, job_builders.job(step))


@behave.when("the pool is planned and stored until all its tasks have ended")
def step_planned_to_end(context: Context) -> None:
    now = job_builders.START
    ends: dict[str, int] = {}
    for _ in range(MAX_ROUNDS):
        now += ROUND_SECONDS
        for order in planning.Plan(context.state, now).orders():
            if isinstance(order, orders.Start):
                runstarts.accepted(context.state, order.run, now)
        _store(context)
        for worker in context.state.workers.values():
            for run in list(worker.runs.values()):
                number = ends[worker.name] = ends.get(worker.name, 0) + 1
                end = ports.Ended(
                    number, run.task_name, run.number, ports.END_DONE, ""
                )
                runends.apply(context.state, worker, end, now)
        _store(context)
        if context.job.ending is not None:
            return


@behave.then("no row was larger than a row of the store may be")
def step_row_size(context: Context) -> None:
    most = deployment.Bounds().row_bytes
    assert 0 < context.largest_row <= most, context.largest_row


@behave.given("a large job whose {records} exceed a row of the store")
def step_exceeding(context: Context, records: str) -> None:
    step = job_builders.step(count=4_000)
    _accept_begun(context, job_builders.job(step))
    progress = context.job.progress
    for index in range(4_000):
        if records == "checkpoints":
            progress.checkpoints[f"0.0.{index}"] = f"{index:016x}"
        else:
            progress.crashes[f"0.0.{index}"] = [7_000_000, 7_000_001]
    context.state.journal.mark(context.job)


@behave.given("another job that has made progress")
def step_other(context: Context) -> None:
    job = job_builders.job(job=OTHER)
    context.state.accept(
        job, model.Progress(), 0, job_builders.START, recovered=False
    )
    context.state.journal.mark(context.state.jobs[OTHER])


@behave.when("the journal of the pool is stored")
def step_journal_stored(context: Context) -> None:
    _store(context)


@behave.then("the progress of the other job is stored")
def step_other_stored(context: Context) -> None:
    row = (model.PROGRESS_TABLE, job_builders.POOL, OTHER)
    assert row in context.store.rows


@behave.then("the large job is stored without them")
def step_without_checkpoints(context: Context) -> None:
    row = (model.PROGRESS_TABLE, job_builders.POOL, context.job.job.job)
    content, version = context.store.rows[row]
    assert version != PROGRESS_VERSION, version
    assert not model.decode(content, model.Progress).checkpoints
    assert context.job.progress.checkpoints


@behave.then("the large job has failed with code {name:w}")
def step_failed(context: Context, name: str) -> None:
    row = (model.ENDED_TABLE, job_builders.POOL, context.job.job.job)
    ended = model.decode(context.store.rows[row][0], model.Ended)
    assert ended.state == model.STATE_FAILED, ended
    assert codes.Result(ended.code).name == name, ended


@behave.when(
    "a job of {steps:d} steps of {count:d} tasks is submitted, {times:d} times"
)
def step_submitted(
    context: Context, steps: int, count: int, times: int
) -> None:
    configured = job_builders.configuration()
    api = job_builders.job_api(memory_store.MemoryStore(), configured)
    step = job_builders.step(count=count)
    request = model.Request("text", (step,) * steps, times)
    (queue,) = configured.queues.values()
    call = jobcalls.Call(queue, OTHER, "key-1", clock.now() + 3.0)
    context.answer = api.submit(call, request)


@behave.then("the submission is answered with {name:w}")
def step_answered(context: Context, name: str) -> None:
    answer = context.answer
    refused = isinstance(answer, codes.Refused)
    found = answer.code.name if refused else type(answer).__name__
    assert found == name, answer
