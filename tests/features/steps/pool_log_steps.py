"""Steps on what a pool logs and counts."""

import logging
import typing as t
from unittest import mock

import behave

from agaterudder.jobs import autoscaler
from agaterudder.jobs import clock
from agaterudder.jobs import journalwriter
from agaterudder.jobs import listings
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import planning
from agaterudder.jobs import poolstatus
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import scaling
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from tests import job_builders
from tests import memory_store
from tests import pool_fakes

Context = t.Any
EVIDENCE_AGE_SECONDS = 0.25
LEASE_SECONDS = 6.0
SCALING_INTERVAL_SECONDS = 0.1
# The histogram keeps one significant digit.
HISTOGRAM_TOLERANCE = 0.1


class Recorder(logging.Handler):
    """Keeps the records that are logged."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record)


def _lines(context: Context, event: str) -> list[dict[str, t.Any]]:
    return [
        record.__dict__
        for record in context.recorder.records
        if record.msg == event
    ]


@behave.given("the log is recorded")
def step_recorded(context: Context) -> None:
    logger = logging.getLogger("agaterudder")
    level = logger.level
    context.recorder = Recorder()
    logger.addHandler(context.recorder)
    logger.setLevel(logging.INFO)
    context.cleanups.append(lambda: logger.removeHandler(context.recorder))
    context.cleanups.append(lambda: logger.setLevel(level))


@behave.given("{count:d} of the workers have not answered yet")
def step_unanswered(context: Context, count: int) -> None:
    for worker in context.workers[:count]:
        worker.fenced = False
        context.state.recovery.unconfirmed_workers.add(worker.name)


@behave.when("the recovery is complete")
def step_recovery_complete(context: Context) -> None:
    assert not context.state.recovery.pending(context.now)
    context.state.recovery.finish(context.now)


@behave.when('worker "{name}" is not waited for, as "{reason}"')
def step_not_waited_for(context: Context, name: str, reason: str) -> None:
    cache = machines.MachineCache(t.cast(t.Any, None))
    cache.machines = dict.fromkeys(
        map(str, range(pool_fakes.MACHINES)), t.cast(t.Any, None)
    )
    cache.asked_at = context.now - EVIDENCE_AGE_SECONDS
    evidence = cache.evidence(context.now)
    context.state.recovery.discard_worker(name, reason, evidence, context.now)


@behave.when('worker "{name}" is lost, as "{reason}"')
def step_lost(context: Context, name: str, reason: str) -> None:
    worker = context.state.workers[name]
    workerends.lost(context.state, worker, reason, context.now)


@behave.when('worker "{name}" lists no runs as incarnation {incarnation:d}')
def step_other_incarnation(
    context: Context, name: str, incarnation: int
) -> None:
    listings.apply(
        context.state,
        context.state.workers[name],
        job_builders.listing(incarnation=incarnation),
        context.now,
        context.now,
    )


@behave.then('a line "{event}" says')
def step_says(context: Context, event: str) -> None:
    lines = _lines(context, event)
    wanted = {row["field"]: row["value"] for row in context.table}
    found = [{key: str(line.get(key)) for key in wanted} for line in lines]
    assert wanted in found, found
    context.line = lines[found.index(wanted)]


@behave.then('its field "{field}" names {count:d} tasks and {others:d} others')
def step_names(context: Context, field: str, count: int, others: int) -> None:
    *names, rest = context.line[field].split()
    assert len(names) == count, names
    assert rest == f"+{others}", rest


@behave.then('no line "{event}" is written')
def step_no_line(context: Context, event: str) -> None:
    assert not _lines(context, event), _lines(context, event)


@behave.then('{count:d} lines "{event}" are written')
def step_lines_written(context: Context, count: int, event: str) -> None:
    assert len(_lines(context, event)) == count, len(_lines(context, event))


@behave.then("no worker is unconfirmed")
def step_none_unconfirmed(context: Context) -> None:
    assert not context.state.recovery.unconfirmed_workers


def _series(context: Context) -> dict[str, float]:
    lines = context.state.metrics.render().splitlines()
    pairs = (line.rpartition(" ") for line in lines)
    return {
        name.removeprefix("agaterudder_"): float(value)
        for name, _, value in pairs
    }


@behave.then("the metrics have")
def step_metrics(context: Context) -> None:
    found = _series(context)
    for row in context.table:
        assert found.get(row["series"]) == float(row["value"]), found


@behave.then('the "{name}" median of the queue is {seconds:g} seconds')
def step_median(context: Context, name: str, seconds: float) -> None:
    series = (
        f'{name}_seconds{{pool="{job_builders.POOL}"'
        f',queue="{job_builders.QUEUE}",quantile="0.5"}}'
    )
    found = _series(context)[series]
    assert abs(found - seconds) <= seconds * HISTOGRAM_TOLERANCE, found


def _runs(context: Context) -> list[runs.Run]:
    return [
        run
        for worker in context.state.workers.values()
        for run in worker.runs.values()
    ]


@behave.when("its worker is lost and the task is started on the other")
def step_started_elsewhere(context: Context) -> None:
    (context.first,) = _runs(context)
    worker = context.first.worker
    worker.cordon("test", context.now)
    workerends.lost(context.state, worker, "its machine is down", context.now)
    planning.Plan(context.state, context.now).orders()
    (second,) = _runs(context)
    assert second.worker is not worker


@behave.when("the first run is listed as {how}")
def step_first_listed(context: Context, how: str) -> None:
    first = context.first
    running = ports.Running(first.task_name, first.number, "", 0)
    ended = ports.Ended(
        first.worker.last_end_number + 1,
        first.task_name,
        first.number,
        how,
        "",
    )
    listing = (
        job_builders.listing([running])
        if how == "running"
        else job_builders.listing((), [ended])
    )
    listings.apply(
        context.state, first.worker, listing, context.now, context.now
    )


@behave.then("the duplicate runs counted are {count:d}")
def step_duplicates(context: Context, count: int) -> None:
    series = f'duplicate_runs{{pool="{job_builders.POOL}"}}'
    assert _series(context).get(series, 0) == count, _series(context)


@behave.when("the job is stored as ended")
def step_stored_as_ended(context: Context) -> None:
    (context.job,) = context.state.jobs.values()
    context.state.remove_ended_job(context.job, context.now)


@behave.when("the job is not known to the pool")
def step_not_known(context: Context) -> None:
    context.state.jobs.clear()


@behave.when("the job is read again")
def step_loaded_again(context: Context) -> None:
    context.state.accept(
        context.job.job, model.Progress(), 0, context.now, False
    )


def _writer(context: Context) -> journalwriter.JournalWriter:
    store = memory_store.MemoryStore()
    holder = ports.Put(model.HOLDERS_TABLE, model.HOLDER_KEY, b"a")
    epoch = store.transact(job_builders.POOL, [], [holder]).version
    return journalwriter.JournalWriter(
        job_builders.context(context.state, store, epoch)
    )


@behave.when("the pool's journal is written")
def step_journal_written(context: Context) -> None:
    assert _writer(context)._write_batch()


@behave.when(
    "the status of the pool is reported"
    " after a pause that was {lag:g} s too long"
)
def step_status(context: Context, lag: float) -> None:
    _writer(context)._report_status(lag)


def _pass_storing(context: Context) -> None:
    """Let the time pass that the store takes."""
    context.now += context.store_seconds
    context.while_storing()


@behave.given("a pool with {count:d} workers whose polls are answered")
def step_polled_pool(context: Context, count: int) -> None:
    context.execute_steps(f"Given a pool with {count} workers")
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.store_seconds = 0.0
    context.while_storing = lambda: None
    context.holder = pool_fakes.FakeHolder(context.state)
    context.holder.on_wait = lambda: _pass_storing(context)
    context.loops = {}
    for worker in context.workers:
        worker.link = pool_fakes.FakeLink()
        context.loops[worker.name] = workerloop.WorkerLoop(
            worker, t.cast(t.Any, context.holder), LEASE_SECONDS
        )


@behave.given("the ends are stored after {seconds:g} seconds")
def step_stored_after(context: Context, seconds: float) -> None:
    context.holder.stores = True
    context.store_seconds = seconds


@behave.given("the ends are not stored within {seconds:g} seconds")
def step_not_stored(context: Context, seconds: float) -> None:
    context.holder.stores = False
    context.store_seconds = seconds


@behave.given("the worker restarts while its ends are being stored")
def step_restarts_while_storing(context: Context) -> None:
    (worker,) = context.workers
    context.while_storing = lambda: workerends.restarted(
        context.state, worker, 2, context.now
    )


def _poll(
    context: Context,
    name: str,
    first: int,
    last: int,
    incarnation: int = 1,
    outcome: str = ports.END_DONE,
) -> None:
    # Stands for the progress of the ended tasks, whose jobs are not loaded.
    context.state.journal.marked += 1
    ends = [
        ports.Ended(number, f"{number:016x}.0.0.0", 1, outcome, "")
        for number in range(first, last + 1)
    ]
    context.state.workers[name].link.answers = [
        job_builders.listing((), ends, incarnation=incarnation)
    ]
    context.loops[name]._poll()


@behave.when(
    'worker "{name}" is polled and lists the ends {first:d} to {last:d}'
)
def step_polled(context: Context, name: str, first: int, last: int) -> None:
    _poll(context, name, first, last)


@behave.when('worker "{name}" is polled and lists that a run failed')
def step_polled_failure(context: Context, name: str) -> None:
    _poll(context, name, 1, 1, outcome=ports.END_FAILED)


@behave.when('worker "{name}" restarts, is polled and lists no ends')
def step_restarted_and_polled(context: Context, name: str) -> None:
    _poll(context, name, 1, 0, incarnation=2)


@behave.when(
    'worker "{name}" is polled {times:d} times'
    " and lists {count:d} new ends each time"
)
def step_polled_often(
    context: Context, name: str, times: int, count: int
) -> None:
    for number in range(times):
        _poll(context, name, number * count + 1, (number + 1) * count)


@behave.when(
    'the poll of worker "{name}" is not answered and "{termination_reason}"'
)
def step_not_answered(
    context: Context, name: str, termination_reason: str
) -> None:
    context.holder.reason = termination_reason
    context.state.workers[name].link.answers = [ports.NoAnswer("time-out")]
    context.loops[name]._poll()


@behave.when("the acknowledgements are written")
def step_write_acknowledgements(context: Context) -> None:
    context.state.acknowledged.write()


@behave.then("{count:d} ends are not acknowledged")
def step_unacknowledged(context: Context, count: int) -> None:
    assert poolstatus.unacknowledged_ends(context.state) == count


@behave.then("each poll in them names {count:d} tasks and {others:d} others")
def step_polls_name(context: Context, count: int, others: int) -> None:
    for line in _lines(context, "ends acknowledged"):
        for poll in line["polls"].split():
            *names, rest = poll.partition("=")[2].split(",")
            assert len(names) == count, poll
            assert rest == f"+{others}", poll


@behave.given("a worker that is {state} has not been heard by the new holder")
def step_not_heard(context: Context, state: str) -> None:
    worker = context.workers[1]
    worker.fenced = False
    if state == "awaited":
        context.state.recovery.unconfirmed_workers.add(worker.name)


@behave.when('worker "{name}" is polled and lists a run')
def step_lists_run(context: Context, name: str) -> None:
    running = ports.Running("00000000000000ff.0.0.0", 3, "", 0)
    link = context.state.workers[name].link
    link.answers = [job_builders.listing([running])]
    context.loops[name]._poll()


@behave.given("{count:d} machines on standby, of which {down:d} is not up")
def step_standby(context: Context, count: int, down: int) -> None:
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.standby = [
        ports.Machine(
            f"m{number}",
            "spare",
            "down" if number < down else ports.MACHINE_UP,
            "north",
            "",
        )
        for number in range(count)
    ]


@behave.when("the pool needs {count:d} more machines for {seconds:g} seconds")
def step_needs_machines(context: Context, count: int, seconds: float) -> None:
    source = mock.Mock(list=lambda: context.standby)
    orders = mock.Mock(claim=lambda machine, store_clock: None)
    scaler = autoscaler.Autoscaler(
        pool_fakes.FakeScaledHolder(context.state),
        machines.MachineCache(source),
        t.cast(t.Any, orders),
    )
    until = context.now + seconds
    while context.now < until:
        scaler._scale_up(scaling.ScaleUp(count, "much work", required=True))
        scaler._refused.clear()
        context.now += SCALING_INTERVAL_SECONDS


@behave.then(
    "{count:d} starts are written in them, each with its run and worker"
)
def step_starts_written(context: Context, count: int) -> None:
    found = [
        entry
        for line in _lines(context, "tasks placed")
        for entry in line["starts"].split()
    ]
    ordered = {
        f"{run.task_name}/{run.number}@{run.worker.name}:first"
        for run in _runs(context)
    }
    assert len(found) == count, len(found)
    assert set(found) <= ordered, found


@behave.when("the task of one of them fails")
def step_one_fails(context: Context) -> None:
    run = _runs(context)[0]
    ended = ports.Ended(1, run.task_name, run.number, ports.END_FAILED, "")
    listings.apply(
        context.state,
        run.worker,
        job_builders.listing((), [ended]),
        context.now,
        context.now,
    )
