"""Steps for the calls of clients about jobs."""

import typing as t
from unittest import mock

import behave
import gevent

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import jobapi
from agaterudder.jobs import jobcalls
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder import metrics
from tests import job_builders
from tests import memory_store

Context = t.Any
DEADLINE_SECONDS = 3.0
OTHER_POOL = "other"


def _configure(
    context: Context, *queues: operatorconfig.Queue, keys: str
) -> None:
    context.version += 1
    team = operatorconfig.Team("tally", (keys,))
    context.cluster._apply_operator_changes(
        (
            ports.ConfigurationSet(
                job_builders.configuration(context.version, (team,), queues)
            ),
        )
    )


def _call(
    context: Context,
    number: int,
    queue: operatorconfig.Queue | None = None,
) -> jobcalls.Call:
    """Return a call about a queue, by default the only one."""
    if queue is None:
        (queue,) = context.cluster.configuration.queues.values()
    return jobcalls.Call(
        queue,
        f"{number:016x}",
        context.key,
        context.now + DEADLINE_SECONDS,
    )


def _pass_time_in_sleeps(context: Context) -> None:
    """Count calls of the store from now on; pauses advance the clock."""
    context.calls = 0

    def sleep(duration: float) -> None:
        context.now += duration

    patch = mock.patch.object(gevent, "sleep", sleep)
    patch.start()
    context.cleanups.append(patch.stop)


def _name(answer: t.Any) -> str:
    if isinstance(answer, codes.Refused):
        return answer.code.name
    return type(answer).__name__


@behave.given("a job API whose configuration was just confirmed")
def step_job_api(context: Context) -> None:
    context.now = 500.0
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.store = memory_store.MemoryStore()
    context.version = 1
    context.key = "key-1"
    context.answers = []
    context.metrics = metrics.Metrics()
    context.job_api = job_builders.job_api(
        context.store,
        job_builders.configuration(context.version),
        context.metrics,
    )
    context.cluster = context.job_api._cluster


@behave.given("the queue is public")
def step_public(context: Context) -> None:
    _configure(context, job_builders.queue(public=True), keys="key-1")


@behave.given('queues at "{first}", "{second}" and "{third}" of "{host}"')
def step_queues(
    context: Context, first: str, second: str, third: str, host: str
) -> None:
    queues = [
        job_builders.queue(name=prefix, prefix=prefix, host=host)
        for prefix in (first, second, third)
    ]
    _configure(context, *queues, keys="key-1")


@behave.when('the key is "{key}"')
def step_key(context: Context, key: str) -> None:
    context.key = "" if key == "none" else key


@behave.when("the configuration was confirmed {age:g} seconds ago")
def step_age(context: Context, age: float) -> None:
    context.cluster.operators.confirmed_at = context.now - age


@behave.when("the key is withdrawn while the store answers")
def step_withdrawn(context: Context) -> None:
    transact = context.store.transact

    def withdraw(*arguments: t.Any, **named: t.Any) -> ports.Outcome:
        outcome = transact(*arguments, **named)
        _configure(context, keys="key-2")
        return outcome

    context.store.transact = withdraw


@behave.when("job {number:d} is submitted")
def step_submit(context: Context, number: int) -> None:
    request = job_builders.job().request
    answer = context.job_api.submit(_call(context, number), request)
    context.answers.append(answer)


@behave.when("job {number:d} is cancelled")
def step_cancel(context: Context, number: int) -> None:
    context.answers.append(context.job_api.cancel(_call(context, number)))


@behave.when("the state of job {number:d} is read")
def step_state(context: Context, number: int) -> None:
    context.answers.append(context.job_api.state(_call(context, number)))


@behave.when("job {number:d} ends as {state}")
def step_ends(context: Context, number: int, state: str) -> None:
    name = f"{number:016x}"
    content = model.encode(model.Ended(state, 0.0))
    context.store.transact(
        job_builders.POOL,
        [],
        [ports.Put(model.ENDED_TABLE, name, content)],
        [ports.Delete(model.jobs_table(job_builders.POOL), name)],
    )


@behave.when("job {number:d} has started")
def step_started(context: Context, number: int) -> None:
    put = ports.Put(model.PROGRESS_TABLE, f"{number:016x}", b"")
    context.store.transact(job_builders.POOL, [], [put])


@behave.when('the store\'s next answers are "{faults}"')
def step_faults(context: Context, faults: str) -> None:
    context.store.faults = faults.split(",")


@behave.when(
    "the store answers within {seconds:g} seconds that the outcome is unknown"
)
def step_unknown(context: Context, seconds: float) -> None:
    _pass_time_in_sleeps(context)

    def transact(*arguments: t.Any, **named: t.Any) -> ports.Outcome:
        context.calls += 1
        context.now += seconds
        return memory_store.UNKNOWN

    context.store.transact = transact


@behave.when("the store fails each reading within {seconds:g} seconds")
def step_readings_fail(context: Context, seconds: float) -> None:
    _pass_time_in_sleeps(context)

    def read(*arguments: t.Any, **named: t.Any) -> ports.Row | None:
        context.calls += 1
        context.now += seconds
        raise exceptions.CallFailed("connection reset", True)

    context.store.read = read


def _with_queues(
    context: Context, *queues: operatorconfig.Queue, standby: bool = False
) -> operatorconfig.Configuration:
    """Return the next configuration, with two pools."""
    context.version += 1
    pools = {
        job_builders.POOL: operatorconfig.Pool(
            job_builders.POOL, False, standby
        ),
        OTHER_POOL: operatorconfig.Pool(OTHER_POOL),
    }
    known = context.cluster.configuration
    return operatorconfig.Configuration(
        context.version,
        {queue.name: queue for queue in queues},
        pools,
        known.teams,
        10_000,
    )


def _apply(api: jobapi.JobApi, found: operatorconfig.Configuration) -> None:
    api._cluster._apply_operator_changes((ports.ConfigurationSet(found),))


def _move_queue(context: Context, standby: bool) -> None:
    queue = job_builders.queue(pool=OTHER_POOL)
    moved = _with_queues(context, queue, standby=standby)
    _apply(context.job_api, moved)


@behave.given("another process with the same configuration")
def step_same_configuration(context: Context) -> None:
    context.other_api = job_builders.job_api(
        context.store, context.cluster.configuration
    )


@behave.when("operators remove the route of the queue")
def step_queue_removed(context: Context) -> None:
    _apply(context.job_api, _with_queues(context))


@behave.when('operators add the queue as "{name}" with pool "{pool}"')
def step_queue_added(context: Context, name: str, pool: str) -> None:
    queue = job_builders.queue(name=name, pool=pool)
    _apply(context.job_api, _with_queues(context, queue))


@behave.when(
    'operators add a second queue with the same address and pool "{pool}"'
)
def step_second_queue(context: Context, pool: str) -> None:
    queues = (job_builders.queue(), job_builders.queue(name="b", pool=pool))
    _apply(context.job_api, _with_queues(context, *queues))


@behave.when("job {number:d} is submitted to the first queue")
def step_submit_first(context: Context, number: int) -> None:
    queue = context.job_api.queue("north.example", "/checks/")
    _submit_at(context, number, context.job_api, queue)


@behave.when(
    'operators move the queue to pool "other" while it is being recorded'
)
def step_moves_meanwhile(context: Context) -> None:
    scan = context.store.scan

    def move(*arguments: t.Any) -> ports.Scan:
        found = scan(*arguments)
        context.store.scan = scan
        _move_queue(context, False)
        return t.cast(ports.Scan, found)

    context.store.scan = move
    _apply(context.job_api, _with_queues(context, job_builders.queue()))


@behave.when("operators move the queue back")
def step_queue_moves_back(context: Context) -> None:
    _apply(context.job_api, _with_queues(context, job_builders.queue()))


@behave.when(
    "operators move the queue back, as seen by the other process alone"
)
def step_queue_back_elsewhere(context: Context) -> None:
    _apply(context.other_api, _with_queues(context, job_builders.queue()))


def _submit_at(
    context: Context,
    number: int,
    api: jobapi.JobApi,
    queue: operatorconfig.Queue | None = None,
) -> None:
    if queue is None:
        (queue,) = api._cluster.configuration.queues.values()
    call = _call(context, number, queue)
    context.answers.append(api.submit(call, job_builders.job().request))


@behave.when("job {number:d} is submitted to the other process")
def step_submit_elsewhere(context: Context, number: int) -> None:
    _submit_at(context, number, context.other_api)


@behave.when("job {number:d} is submitted again to {process} process")
def step_submit_at(context: Context, number: int, process: str) -> None:
    api = context.job_api
    if process == "a new":
        api = job_builders.job_api(
            context.store, context.cluster.configuration
        )
    _submit_at(context, number, api)


@behave.then(
    'the store has the cancellation of job {number:d} in pool "{pool}"'
)
def step_cancellation_in_pool(
    context: Context, number: int, pool: str
) -> None:
    key = f"{number:016x}{model.CANCEL_SUFFIX}"
    assert context.store.read(model.jobs_table(pool), pool, key) is not None


@behave.when('operators move the queue to pool "other"')
def step_queue_moves(context: Context) -> None:
    _move_queue(context, False)


@behave.when(
    'operators move the queue to pool "other" and put its pool on standby'
)
def step_pool_standby(context: Context) -> None:
    _move_queue(context, True)


@behave.when("another process looks job {number:d} up")
def step_other_process(context: Context, number: int) -> None:
    other = job_builders.job_api(context.store, context.cluster.configuration)
    context.answers.append(other.state(_call(context, number)))


@behave.then("the store has {count:d} job in all pools")
def step_jobs_in_pools(context: Context, count: int) -> None:
    tables = {
        model.jobs_table(pool) for pool in (job_builders.POOL, OTHER_POOL)
    }
    found = [key for key in context.store.rows if key[0] in tables]
    assert len(found) == count, found


@behave.when("the store rejects the next {count:d} readings")
def step_readings_rejected(context: Context, count: int) -> None:
    _pass_time_in_sleeps(context)
    read = context.store.read

    def reject(*arguments: t.Any, **named: t.Any) -> ports.Row | None:
        context.calls += 1
        if context.calls <= count:
            raise exceptions.CallFailed("status 429", False)
        return t.cast(ports.Row | None, read(*arguments, **named))

    context.store.read = reject


@behave.then("the store got {most:d} calls at most")
def step_most_calls(context: Context, most: int) -> None:
    assert context.calls <= most, context.calls


@behave.when("the store answers each reading after {seconds:g} seconds")
def step_readings_late(context: Context, seconds: float) -> None:
    read = context.store.read

    def read_late(*arguments: t.Any, **named: t.Any) -> ports.Row | None:
        context.now += seconds
        return t.cast("ports.Row | None", read(*arguments, **named))

    context.store.read = read_late


@behave.then("the job API counted")
def step_counted(context: Context) -> None:
    lines = context.metrics.render().splitlines()
    found = {
        name.removeprefix("agaterudder_"): float(value)
        for name, _, value in (line.rpartition(" ") for line in lines)
    }
    for row in context.table:
        assert found.get(row["series"]) == float(row["value"]), found


@behave.then("the store got between {least:d} and {most:d} calls")
def step_calls(context: Context, least: int, most: int) -> None:
    assert least <= context.calls <= most, context.calls


@behave.when("late calls to the store take effect")
def step_late(context: Context) -> None:
    context.store.deliver_late()


@behave.then('the answers are "{names}"')
def step_answers(context: Context, names: str) -> None:
    found = ", ".join(_name(answer) for answer in context.answers)
    assert found == names, found


@behave.then("the store has {count:d} job")
def step_jobs(context: Context, count: int) -> None:
    table = model.jobs_table(job_builders.POOL)
    found = [key for key in context.store.rows if key[0] == table]
    assert len(found) == count, found


@behave.then("the store has the cancellation of job {number:d}")
def step_cancellation(context: Context, number: int) -> None:
    table = model.jobs_table(job_builders.POOL)
    key = f"{number:016x}{model.CANCEL_SUFFIX}"
    assert context.store.read(table, job_builders.POOL, key) is not None


@behave.then('the state of job {number:d} is "{state}"')
def step_has_state(context: Context, number: int, state: str) -> None:
    answer = context.job_api.state(_call(context, number))
    assert answer == jobcalls.JobState(state), answer


@behave.then("the state of job {number:d} is not found")
def step_not_found(context: Context, number: int) -> None:
    answer = context.job_api.state(_call(context, number))
    assert isinstance(answer, codes.Refused), answer
    assert answer.code is codes.Result.NOT_FOUND, answer


@behave.when("job {number:d} {happens} while it is looked for and cancelled")
def step_cancel_races(context: Context, number: int, happens: str) -> None:
    transact = context.store.transact

    def race(*arguments: t.Any, **named: t.Any) -> ports.Outcome:
        context.store.transact = transact
        step_submit(context, number)
        if happens == "is stored and ends":
            step_ends(context, number, model.STATE_COMPLETED)
        return t.cast(ports.Outcome, transact(*arguments, **named))

    context.store.transact = race
    step_cancel(context, number)


@behave.when('the pending jobs of pool "{pool}" are {published}')
def step_publish(context: Context, pool: str, published: str) -> None:
    if published == "not published":
        return
    table = context.store.scan(model.jobs_table(pool), pool)
    started = context.store.scan(model.PROGRESS_TABLE, pool)
    count = len(table.rows) - len(started.rows)
    content = model.Pending(context.store.clock, {job_builders.QUEUE: count})
    context.store.transact(
        model.pending_partition(pool),
        [],
        [
            ports.Put(
                model.PENDING_TABLE, model.PENDING_KEY, model.encode(content)
            )
        ],
    )


@behave.when(
    'an earlier release has recorded that the queue had pool "{pool}"'
)
def step_recorded_before(context: Context, pool: str) -> None:
    (queue,) = context.cluster.configuration.queues.values()
    row = ["", [[pool, 0], [queue.pool, 0]]]
    put = ports.Put(
        model.QUEUE_POOLS_TABLE, queuepools.queue_key(queue), model.encode(row)
    )
    context.store.transact(model.QUEUE_POOLS_PARTITION, [], [put])
    _apply(context.job_api, _with_queues(context, queue))


@behave.when("job {number:d} waits there")
def step_waits_there(context: Context, number: int) -> None:
    name = f"{number:016x}"
    job = job_builders.job(job=name)
    put = ports.Put(model.jobs_table(OTHER_POOL), name, model.encode(job))
    context.store.transact(OTHER_POOL, [], [put])


@behave.when(
    "a new process that can't read the store yet counts the pending jobs"
)
def step_count_unread(context: Context) -> None:
    api = _api_without_record(context)
    context.answers.append(api.pending(_call(context, 0)))


@behave.when(
    "a new process that can't read the store yet looks up job {number:d}"
)
def step_look_up_unread(context: Context, number: int) -> None:
    api = _api_without_record(context)
    context.answers.append(api.state(_call(context, number)))


def _api_without_record(context: Context) -> jobapi.JobApi:
    """Return the API of a process that has not read the queues' pools."""
    context.store.away = True
    api = job_builders.job_api(context.store, context.cluster.configuration)
    context.store.away = False
    return api


@behave.then("{count:d} job is pending")
def step_pending(context: Context, count: int) -> None:
    answer = context.job_api.pending(_call(context, 0))
    assert answer == jobcalls.QueueState(count), answer


@behave.then("the queues of these paths are")
def step_paths(context: Context) -> None:
    for row in context.table:
        found = context.job_api.queue(row["host"], row["path"])
        name = "none" if isinstance(found, codes.Refused) else found.name
        assert name == row["queue"], (row["path"], name)
