"""Steps for tasks that crash their workers."""

import pathlib
import sys
import typing as t
from unittest import mock

import behave
import msgspec

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "platform"))

from agaterudder import codes  # noqa: E402
from agaterudder.jobs import clock  # noqa: E402
from agaterudder.jobs import jobcalls  # noqa: E402
from agaterudder.jobs import load as loads  # noqa: E402
from agaterudder.jobs import machines  # noqa: E402
from agaterudder.jobs import model  # noqa: E402
from agaterudder.jobs import orderexecutor  # noqa: E402
from agaterudder.jobs import orders  # noqa: E402
from agaterudder.jobs import planning  # noqa: E402
from agaterudder.jobs import ports  # noqa: E402
from agaterudder.jobs import runstarts  # noqa: E402
from agaterudder.jobs import workerends  # noqa: E402
from agaterudder.jobs import workerloop  # noqa: E402
from agaterudder import resources  # noqa: E402
from agaterudder_platform import gateway  # noqa: E402
from tests import crash_simulation  # noqa: E402
from tests import job_builders  # noqa: E402
from tests import pool_fakes  # noqa: E402

Context = t.Any
CULPRIT = crash_simulation.CULPRIT
CULPRIT_SECONDS = 0.5
OTHER = "0000000000001{:03d}"


def _task(number: int, job: str = CULPRIT) -> str:
    return model.task_name(job, 0, 0, number - 1)


@behave.given("a simulated pool of {count:d} workers")
def step_pool(context: Context, count: int) -> None:
    sleep = mock.patch.object(workerloop.gevent, "sleep", lambda _: None)
    sleep.start()
    context.cleanups.append(sleep.stop)
    context.simulation = crash_simulation.Simulation(count)


def _step(count: int, cores: float, seconds: float, **fields: t.Any) -> t.Any:
    size = resources.Vector(cores, 100.0)
    return job_builders.step(
        count=count, size=size, estimate_seconds=seconds, **fields
    )


@behave.given(
    'a simulated job "culprit" of {count:d} tasks of {cores:g} core '
    "that last {seconds:g} seconds"
)
def step_culprit(
    context: Context, count: int, cores: float, seconds: float
) -> None:
    context.simulation.submit(CULPRIT, _step(count, cores, seconds))


@behave.given(
    "{jobs:d} simulated jobs of {count:d} tasks of {cores:g} core "
    "that last {seconds:g} seconds"
)
def step_others(
    context: Context, jobs: int, count: int, cores: float, seconds: float
) -> None:
    for number in range(jobs):
        context.simulation.submit(
            OTHER.format(number), _step(count, cores, seconds)
        )


@behave.given('task {number:d} of job "culprit" crashes its worker at once')
def step_deadly(context: Context, number: int) -> None:
    context.simulation.deadly[_task(number)] = 0.0


@behave.given("the next starts of its task are {fates}")
def step_fates(context: Context, fates: str) -> None:
    context.simulation.fates[_task(1)] = fates.split(",")


@behave.given("the answer to a start that crashes its worker is {answer:w}")
def step_answer(context: Context, answer: str) -> None:
    context.simulation.answers_lost = answer == "lost"


@behave.when("{seconds:g} simulated seconds pass")
def step_pass(context: Context, seconds: float) -> None:
    context.simulation.run(seconds)


@behave.then(
    'task {number:d} of job "culprit" was started {most:d} times at most'
)
def step_started(context: Context, number: int, most: int) -> None:
    starts = context.simulation.starts(_task(number))
    assert 1 <= starts <= most, starts


@behave.then('job "culprit" is stored as {state:w}')
def step_stored(context: Context, state: str) -> None:
    ending = context.simulation.ending(CULPRIT)
    assert ending is not None and ending.state == state, ending


@behave.then("every other job is stored as completed")
def step_others_completed(context: Context) -> None:
    simulation = context.simulation
    endings = {
        name: simulation.ending(name)
        for name in simulation.jobs
        if name not in {task[:16] for task in simulation.deadly}
    }
    assert all(
        ending is not None and ending.state == model.STATE_COMPLETED
        for ending in endings.values()
    ), endings


LASTING = "00000000000000dd"
MORE_CULPRITS = "0000000000002{:03d}"
JOB_NAMES = {"culprit": CULPRIT, "lasting": LASTING}
EVENT_SECONDS = 20.0
SETTLED_SECONDS = 40


@behave.given(
    "{jobs:d} simulated culprits of {count:d} tasks of {cores:g} core "
    "that last {seconds:g} seconds"
)
def step_culprits(
    context: Context, jobs: int, count: int, cores: float, seconds: float
) -> None:
    for number in range(jobs):
        name = MORE_CULPRITS.format(number)
        context.simulation.submit(name, _step(count, cores, seconds))
        context.simulation.deadly[_task(number + 1, name)] = 0.0


@behave.given(
    'a simulated job "{name}" of {count:d} long-running tasks, '
    "{apart:d} per worker"
)
def step_lasting(context: Context, name: str, count: int, apart: int) -> None:
    context.simulation.submit(
        JOB_NAMES[name],
        _step(count, 2.0, 1.0, long_running=True, max_per_worker=apart),
    )


@behave.given(
    'a simulated job "culprit" that has begun, with {count:d} more tasks of '
    "{cores:g} core"
)
def step_begun(context: Context, count: int, cores: float) -> None:
    _begin(context, _step(count, cores, 0.5, after=(1,)), cores)


def _begin(context: Context, later: model.Step, cores: float) -> None:
    """Submit a job whose first task is started, before a later step."""
    simulation = context.simulation
    simulation.submit(CULPRIT, later, _step(1, cores, 0.2))
    while not simulation.state.jobs[CULPRIT].started:
        simulation.tick()
    simulation.write()


@behave.given(
    'a simulated gang "culprit" of {count:d} tasks of {cores:g} cores'
)
def step_gang(context: Context, count: int, cores: float) -> None:
    context.simulation.submit(CULPRIT, _step(count, cores, 0.5, gang=True))


@behave.given(
    'task {number:d} of job "culprit" crashes its worker after '
    "{seconds:g} seconds"
)
def step_deadly_after(context: Context, number: int, seconds: float) -> None:
    context.simulation.deadly[_task(number)] = seconds


@behave.given("the pool is taken over {when} each start of the culprit")
def step_taken_over(context: Context, when: str) -> None:
    moments = {
        "at once after": crash_simulation.AFTER_START,
        "when the crash is stored": crash_simulation.AFTER_STORE,
    }
    context.simulation.take_over_at = moments[when]


@behave.given("the pool is taken over before each attempt is sent")
def step_taken_over_before(context: Context) -> None:
    # Only the tasks of a recovered job start with a stored attempt.
    context.simulation.take_over()
    context.simulation.take_over_at = crash_simulation.BEFORE_START


@behave.then("the pool was taken over {count:d} times")
def step_take_overs(context: Context, count: int) -> None:
    assert context.simulation.take_overs == count


@behave.given("a simulated job of single tasks that has begun")
def step_single_begun(context: Context) -> None:
    step_begun(context, 2, 1.0)


@behave.given("a simulated job of tasks on one rack that has begun")
def step_rack_begun(context: Context) -> None:
    _begin(context, _step(3, 6.0, 0.5, after=(1,), rack_local=True), 1.0)


@behave.given("a simulated gang that has begun")
def step_gang_begun(context: Context) -> None:
    _begin(context, _step(3, 6.0, 0.5, after=(1,), gang=True), 1.0)


@behave.given("the answers of the store are {answers}")
def step_store_answers(context: Context, answers: str) -> None:
    context.simulation.store.faults = answers.split(",")


@behave.when(
    'all workers of rack "{rack}" crash {times:d} times, {seconds:g} s apart'
)
def step_rack(context: Context, rack: str, times: int, seconds: float) -> None:
    for _ in range(times):
        context.simulation.run(seconds)
        for process in list(context.simulation.processes.values()):
            if process.alive and process.rack == rack:
                context.simulation.crash(process)


@behave.when("the simulated worker {event}")
def step_event(context: Context, event: str) -> None:
    simulation = context.simulation
    state = simulation.state
    (worker,) = state.workers.values()
    holder = pool_fakes.FakeHolder(state)
    loop = workerloop.WorkerLoop(worker, t.cast(t.Any, holder), 6.0)
    closed = ports.NoAnswer("connection closed")
    match event:
        case "is moved by an order":
            workerends.lost(state, worker, "moved", simulation.now, ended=True)
        case "is in upkeep":
            holder.reason = "its machine is upkeep"
            loop._handle_no_answer(closed, simulation.now)
        case "shuts down after a drain":
            worker.cordon("draining", simulation.now)
            holder.reason = machines.NO_MACHINE
            loop._handle_no_answer(closed, simulation.now)
        case "is cut off":
            loop._handle_no_answer(closed, simulation.now)
            loop._handle_no_answer(closed, simulation.now + EVENT_SECONDS)
            assert not worker.runs
        case "is gone from the list":
            holder.reason = machines.NO_MACHINE
            loop._handle_no_answer(closed, simulation.now)
        case "has another one at its address":
            loop._handle_replacement(simulation.now)
        case "lists a new incarnation":
            workerends.restarted(
                state, worker, worker.incarnation + 1, simulation.now
            )
        case "answers a stop as another":
            for run in list(worker.runs.values()):
                workerends.superseded(state, run, simulation.now)
        case _:
            raise AssertionError(event)


@behave.when("the pool is planned and its starts are rejected")
def step_rejected(context: Context) -> None:
    state = context.simulation.state
    now = context.simulation.now
    for order in planning.Plan(state, now).orders():
        assert isinstance(order, orders.Start)
        runstarts.rejected(state, order.run, "not sent: refused", now)


@behave.when("the culprit has crashed its first worker")
def step_first_crash(context: Context) -> None:
    while not context.simulation.crashed:
        context.simulation.tick()


@behave.when(
    "another holder has taken the pool over, unknown to the present one"
)
def step_deposed(context: Context) -> None:
    place = (model.HOLDERS_TABLE, job_builders.POOL, model.HOLDER_KEY)
    epoch = context.simulation.epoch + 1
    context.simulation.store.rows[place] = (b"", epoch)


@behave.when("progress and an end are read as earlier releases stored them")
def step_old_rows(context: Context) -> None:
    progress = [{"0.0": [1]}, {"0.0.1": [7]}, {"0.0.0": "half"}]
    context.progress = model.decode(model.encode(progress), model.Progress)
    ending = [model.STATE_FAILED, 5.0, "task failed 3 times"]
    context.ended = model.decode(model.encode(ending), model.Ended)


@behave.when(
    "{count:d} random pools with a culprit are played from seed {seed:d}"
)
def step_random(context: Context, count: int, seed: int) -> None:
    sleep = mock.patch.object(workerloop.gevent, "sleep", lambda _: None)
    sleep.start()
    context.cleanups.append(sleep.stop)
    context.played = {
        number: crash_simulation.play_random(number, CULPRIT)
        for number in range(seed, seed + count)
    }


@behave.then(
    "each culprit was started {most:d} times at most and stored as failed"
)
def step_culprits_ended(context: Context, most: int) -> None:
    simulation = context.simulation
    for task in simulation.deadly:
        assert 1 <= simulation.starts(task) <= most, task
        ending = simulation.ending(task.partition(".")[0])
        assert ending is not None and ending.state == model.STATE_FAILED


@behave.then("at least {count:d} suspects wait")
def step_waiting(context: Context, count: int) -> None:
    simulation = context.simulation
    waiting = simulation.state.suspects.waiting(simulation.now)
    context.waiting = len(waiting)
    assert context.waiting >= count, waiting


@behave.then(
    "the waiting work is at least {seconds:g} worker-seconds for each of them"
)
def step_waiting_work(context: Context, seconds: float) -> None:
    simulation = context.simulation
    workers = list(simulation.state.workers.values())
    load = loads.measure(simulation.state, workers, 0, 3.0, simulation.now)
    assert load.waiting >= seconds * context.waiting, load


@behave.then("no suspect had company")
def step_no_company(context: Context) -> None:
    simulation = context.simulation
    assert simulation.suspect_starts
    assert not simulation.company, simulation.company


@behave.then("at most half of the workers were kept for suspects")
def step_kept(context: Context) -> None:
    assert 1 <= context.simulation.most_kept <= 3


@behave.then('every task of job "{name}" runs')
def step_lasting_runs(context: Context, name: str) -> None:
    jobs = context.simulation.state.jobs
    job = jobs[CULPRIT if name == "culprit" else LASTING]
    tasks = job.steps["0.0"].tasks
    assert all(task.runs for task in tasks)


@behave.given(
    "long-running tasks are available {seconds:g} s after their start"
)
def step_available(context: Context, seconds: float) -> None:
    context.simulation.available_after = seconds


@behave.when('the workers of a task of job "lasting" crash after {seconds} s')
def step_lasting_crash(context: Context, seconds: str) -> None:
    simulation = context.simulation
    task = _task(1, LASTING)
    simulation.run(1.0)
    for item in seconds.split(","):
        begun = simulation.starts(task)
        simulation.run(float(item))
        simulation.crash(_process_of(simulation, task))
        until = simulation.now + EVENT_SECONDS
        while simulation.starts(task) == begun and simulation.now < until:
            simulation.tick()
    simulation.run(EVENT_SECONDS)


@behave.when(
    'the worker of a task of job "lasting" crashes, and those of its next'
    " {count:d} starts, as {others:d} others crash a second"
)
def step_lasting_starts(context: Context, count: int, others: int) -> None:
    simulation = context.simulation
    task = _task(1, LASTING)
    simulation.run(2.0)
    simulation.fates[task] = [crash_simulation.CRASH] * count
    simulation.crash(_process_of(simulation, task))
    _pass_with_others(simulation, SETTLED_SECONDS, others)
    assert not simulation.fates[task]


def _process_of(
    simulation: crash_simulation.Simulation, task: str
) -> crash_simulation.Process:
    """Return the only process that runs a task."""
    (process,) = [
        process
        for process in simulation.processes.values()
        if any(task == key[0] for key in process.running)
    ]
    return process


def _pass_with_others(
    simulation: crash_simulation.Simulation, seconds: int, others: int
) -> None:
    """Let time pass, in which workers that run nothing crash each second."""
    for _ in range(seconds):
        idle = [
            process
            for process in simulation.processes.values()
            if process.alive and not process.running
        ]
        for process in idle[:others]:
            simulation.crash(process)
        simulation.run(1.0)


@behave.when(
    "{seconds:d} simulated seconds pass in which {others:d} others crash a"
    " second"
)
def step_pass_with_others(context: Context, seconds: int, others: int) -> None:
    _pass_with_others(context.simulation, seconds, others)


class _StartLink(pool_fakes.FakeLink):
    """A link to a worker that accepts starts.

    :ivar started: numbers of the runs that were started.
    """

    def __init__(self, answers: t.Sequence[t.Any]) -> None:
        super().__init__(answers)
        self.started: list[int] = []

    def start(self, order: ports.StartOrder, timeout: float) -> ports.Started:
        """Accept a start."""
        self.started.append(order.run)
        return ports.Started()


@behave.when("its task is a suspect, and its worker {answers} a probe")
def step_probed(context: Context, answers: str) -> None:
    simulation = context.simulation
    state = simulation.state
    job = state.jobs[CULPRIT]
    state.suspects.add(job.steps["0.0"].tasks[0])
    planning.Plan(state, simulation.now).orders()
    simulation.write()
    (order,) = planning.Plan(state, simulation.now).orders()
    silent = [ports.NoAnswer("time-out")]
    context.link = _StartLink([] if answers == "answers" else silent)
    order.run.worker.link = context.link
    executor = orderexecutor.OrderExecutor(
        job_builders.context(state, simulation.store),
        mock.Mock(),
        None,
    )
    with mock.patch.object(clock, "now", lambda: simulation.now):
        executor._start_run(order)


@behave.then("{count:d} starts reach the worker")
def step_reach(context: Context, count: int) -> None:
    assert len(context.link.started) == count, context.link.started


@behave.then('0 crashes of job "lasting" are counted')
def step_none_counted(context: Context) -> None:
    progress = context.simulation.state.jobs[LASTING].progress
    assert not any(progress.crash_records), progress


@behave.then('{count:d} crashes of job "culprit" are counted')
def step_counted(context: Context, count: int) -> None:
    progress = context.simulation.state.jobs[CULPRIT].progress
    found = [
        number
        for known in progress.crash_records
        for numbers in known.values()
        for number in numbers
    ]
    assert len(found) == count, progress


@behave.then("the pool has {count:d} suspects")
def step_suspects(context: Context, count: int) -> None:
    assert len(context.simulation.state.suspects) == count


@behave.then("every start of a suspect was stored before")
def step_stored_before(context: Context) -> None:
    starts = context.simulation.suspect_starts
    assert starts and all(starts.values()), starts


@behave.then("they have no crashes, no attempts and the code 0")
def step_old_read(context: Context) -> None:
    assert context.progress.attempts == {}
    assert not any(context.progress.crash_records), context.progress
    assert context.progress.checkpoints == {"0.0.0": "half"}
    assert context.ended.code == 0


@behave.then('the answer about job "culprit" has the code {name:w}')
def step_code(context: Context, name: str) -> None:
    store = context.simulation.store
    api = job_builders.job_api(store, job_builders.configuration())
    call = jobcalls.Call(
        job_builders.queue(), CULPRIT, "key-1", clock.now() + 3.0
    )
    state = api.state(call)
    assert isinstance(state, jobcalls.JobState), state
    context.reply = gateway._reply(state)
    code = str(codes.Result[name].value)
    assert dict(context.reply.headers)["Agaterudder-Code"] == code


@behave.then("its body holds the state alone")
def step_body(context: Context) -> None:
    assert msgspec.json.decode(context.reply.content) == {"state": "failed"}


@behave.then("no culprit was started more than {most:d} times")
def step_random_starts(context: Context, most: int) -> None:
    found = {
        seed: starts
        for seed, played in context.played.items()
        for task in played.deadly
        if (starts := played.starts(task)) > most
    }
    assert not found, found


@behave.then("no other job failed without two crashes, the last of them alone")
def step_random_failed(context: Context) -> None:
    wrong = {
        seed: name
        for seed, played in context.played.items()
        for name in played.jobs
        if name != CULPRIT
        and (ending := played.ending(name)) is not None
        and ending.state == model.STATE_FAILED
        and not played.crashed_twice_and_alone(name)
    }
    assert not wrong, wrong


@behave.then("every job ended")
def step_all_ended(context: Context) -> None:
    waiting = {
        seed: name
        for seed, played in context.played.items()
        for name in played.jobs
        if played.ending(name) is None
    }
    assert not waiting, waiting


@behave.given(
    "{count:d} simulated culprits that begin together and crash after "
    "{delay:g} s"
)
def step_culprits_together(context: Context, count: int, delay: float) -> None:
    step = job_builders.step(
        count=1,
        size=resources.Vector(1.0, 100.0),
        estimate_seconds=CULPRIT_SECONDS,
    )
    for number in range(count):
        name = f"{number:016x}"
        context.simulation.submit(name, step)
        task = model.task_name(name, 0, 0, 0)
        context.simulation.deadly[task] = delay
