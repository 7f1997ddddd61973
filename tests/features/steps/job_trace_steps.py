"""Steps on the lines that trace a job from its acknowledgement to its end."""

import functools
import types
import typing as t
from unittest import mock

import behave
import gevent

from agaterudder.jobs import autoscaler
from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import inbox
from agaterudder.jobs import jobruns
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import orderexecutor
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import scaling
from agaterudder.jobs import service as services
from agaterudder.jobs import stallreports
from agaterudder.jobs import tickets
from agaterudder.jobs import workerloop
from agaterudder import resources
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


# Stalled tasks


def _hamper(context: Context, worker: fleet.WorkerState, how: str) -> None:
    later = context.now + 60.0
    match how:
        case "unresponsive":
            worker.unanswered_since = context.now
        case "cordoned":
            worker.cordon("test", context.now)
        case "quarantined":
            worker.quarantined_until = later
        case "not fenced":
            worker.fenced = False
        case "not persisted":
            worker.persisted = False
        case "full":
            worker.full_until = later
        case "taken out":
            worker.registration = job_builders.registration(
                worker.name, data_centre="south"
            )
            context.state.taken_out = frozenset({"south"})
        case "unregistered":
            worker.registered = False
        case "terminated":
            worker.terminated = True
        case "occupied":
            worker.used = worker.registration.size
        case _:
            raise AssertionError(how)


@behave.given("the workers are {conditions}")
def step_hampered(context: Context, conditions: str) -> None:
    for worker, how in zip(context.workers, conditions.split(", ")):
        _hamper(context, worker, how)


def _only_task(context: Context) -> jobruns.Task:
    (job,) = context.state.jobs.values()
    (step,) = job.steps.values()
    return t.cast(jobruns.Task, step.tasks[0])


@behave.given("the task has failed on both workers")
def step_failed_on_both(context: Context) -> None:
    _only_task(context).excluded_workers.update({"w1", "w2"})


def _change_step(context: Context, **fields: t.Any) -> jobruns.Task:
    task = _only_task(context)
    task.step.step = job_builders.step(count=1, **fields)
    return task


@behave.given("its step may run no more tasks on a worker")
def step_worker_limit(context: Context) -> None:
    task = _change_step(context, max_per_worker=1)
    for worker in context.workers:
        other = jobruns.Task(f"{task.name}-{worker.name}", task.step, 1)
        other.done = True
        task.step.tasks.append(other)
        context.state.add_run(other, worker, 1, context.now)


@behave.given("its team has no grant")
def step_no_grant(context: Context) -> None:
    team = operatorconfig.Team("tally", limit=resources.Vector(1.0, 100.0))
    context.state.limits.configure(job_builders.configuration(teams=(team,)))


def _set_policy(context: Context) -> None:
    queue = job_builders.queue(policy=operatorconfig.PolicyTimes(0, 0, 9))
    context.state.queues = {queue.name: queue}


@behave.given("its queue has a policy without a ticket")
def step_policy(context: Context) -> None:
    _set_policy(context)


@behave.given("its queue has a policy that allows {worker}")
def step_policy_elsewhere(context: Context, worker: str) -> None:
    _set_policy(context)
    step = _only_task(context).step
    step.tickets = tickets.Tickets(set(), {worker: "yes"}, context.now + 60.0)


@behave.given("its last start was invalid")
def step_invalid(context: Context) -> None:
    _only_task(context).not_before = context.now + 60.0


def _add_start(context: Context) -> runs.Run:
    number = context.state.next_run()
    run = context.state.add_run(
        _only_task(context), context.workers[0], number, context.now
    )
    return t.cast(runs.Run, run)


@behave.given("its start is under way")
def step_start_sent(context: Context) -> None:
    _add_start(context)


@behave.given("its start was not answered")
def step_start_unanswered(context: Context) -> None:
    runstarts.unanswered(
        context.state, _add_start(context), "time-out", context.now
    )


@behave.when("the polls of all responsive workers are answered")
def step_polls_answered(context: Context) -> None:
    for worker in context.workers:
        if not worker.unanswered_since:
            worker.polled_at = context.now


@behave.when("the start is rejected as full")
def step_start_rejected(context: Context) -> None:
    (run,) = _only_task(context).runs
    runstarts.rejected(
        context.state, run, ports.REJECTED_NO_CAPACITY, context.now
    )


@behave.when("the pool forgets the steps of the job")
def step_forget(context: Context) -> None:
    context.state.ready.clear()


def _report_stalls(context: Context, lease_held: bool) -> None:
    if "stalls" not in context:
        context.stalls = stallreports.StallReports()
    context.stalls.report(context.state, lease_held, context.now)


@behave.when("the stalled tasks are reported")
def step_report_stalls(context: Context) -> None:
    _report_stalls(context, True)


@behave.when("the stalled tasks are reported without the lease")
def step_report_stalls_without(context: Context) -> None:
    _report_stalls(context, False)


# Failed greenlets


def _fail(*_: t.Any, **__: t.Any) -> t.NoReturn:
    raise ValueError("a mistake")


def _start_worker_loop(holds_lease: t.Callable[[], bool]) -> t.Any:
    holder = types.SimpleNamespace(
        state=job_builders.state(), holds_lease=holds_lease
    )
    worker = job_builders.worker()
    worker.link = mock.Mock(renew=_fail)
    loop = workerloop.WorkerLoop(worker, t.cast(t.Any, holder), 6.0)
    loop.start()
    return loop


def _fail_order(policy: operatorconfig.PolicyTimes | None) -> None:
    worker = job_builders.worker()
    worker.link = mock.Mock(start=_fail)
    state = job_builders.state([worker])
    queue = job_builders.queue(policy=policy)
    state.queues = {queue.name: queue}
    now = job_builders.START
    job = job_builders.job(job_builders.step(count=1))
    state.accept(job, model.Progress(), 0, now, False)
    state.create_due(0.0, now)
    (order,) = planning.Plan(state, now).orders()
    shared = mock.Mock(pool=job_builders.POOL, state=state)
    executor = orderexecutor.OrderExecutor(
        shared, mock.Mock(), mock.Mock(ask=_fail)
    )
    executor.spawn(order)


def _fail_renewal(context: Context) -> None:
    patch = mock.patch.object(leases, "RENEW_INTERVAL_SECONDS", 0.0)
    patch.start()
    context.cleanups.append(patch.stop)
    store = memory_store.MemoryStore()
    manager = leases.LeaseManager(
        "a",
        "a-1",
        store,
        3.0,
        1.0,
        lambda: [job_builders.POOL],
        lambda lease: setattr(store, "transact", _fail),
        lambda lease, reason: None,
    )
    manager._claim(job_builders.POOL, None)


def _fail_move() -> None:
    worker = job_builders.worker()
    worker.cordon_reason = scaling.MOVE_UNANSWERED
    holder = mock.Mock(
        pool=job_builders.POOL,
        state=job_builders.state([worker]),
        standby_pools=_fail,
    )
    autoscaler.Autoscaler(
        holder, mock.Mock(), mock.Mock()
    )._repeat_unanswered_moves()


def _fail_service(*path: str) -> None:
    service = services.Service(
        mock.Mock(bounds=deployment.Bounds(), cores=1.0), mock.Mock()
    )
    service.cluster = mock.Mock()
    service.lease_manager = mock.Mock()
    found = functools.reduce(getattr, path, service)
    t.cast(t.Any, found).run = _fail
    service.start()


@behave.when("the {loop} meets a fault of the program")
def step_fault(context: Context, loop: str) -> None:
    match loop:
        case "loop of a worker":
            _start_worker_loop(_fail)
        case "start of a task":
            _fail_order(None)
        case "request for tickets":
            _fail_order(operatorconfig.PolicyTimes(0.0, 0.0, 9.0))
        case "renewal of a lease":
            _fail_renewal(context)
        case "move of a machine":
            _fail_move()
        case "watch of the configuration":
            _fail_service("cluster", "operators")
        case "watch of the registrations":
            _fail_service("cluster", "registrations")
        case "claims of leases":
            _fail_service("lease_manager")
        case _:
            raise AssertionError(loop)
    gevent.sleep(0.05)


@behave.when("the loop of a worker is stopped")
def step_loop_stopped(context: Context) -> None:
    loop = _start_worker_loop(lambda: False)
    gevent.sleep(0)
    loop.stop()
    gevent.sleep(0.05)


@behave.then("it names the line of the fault")
def step_names_line(context: Context) -> None:
    file, _, line = context.line["at"].rpartition(":")
    assert file.endswith("job_trace_steps.py") and line.isdigit(), context.line


# Lost workers


@behave.given("a pool with 1 workers that holds {count:d} runs")
def step_many_runs(context: Context, count: int) -> None:
    size = resources.Vector(float(count), 1e6)
    context.now = job_builders.START
    context.state = job_builders.state([job_builders.worker(size=size)])
    job = job_builders.job(job_builders.step(count=count))
    context.state.accept(job, model.Progress(), 0, context.now, False)
    context.state.create_due(0.0, context.now)
    planning.Plan(context.state, context.now).orders()


@behave.when("the worker has accepted the epoch")
def step_accepted_epoch(context: Context) -> None:
    assert context.workers[0].fenced


@behave.when("the worker has not accepted the epoch")
def step_not_accepted_epoch(context: Context) -> None:
    context.workers[0].fenced = False


@behave.when('a poll of worker "{name}" is not answered')
def step_poll_unanswered(context: Context, name: str) -> None:
    link = context.state.workers[name].link
    link.answers = [ports.NoAnswer("time-out")]
    context.loops[name]._poll()
