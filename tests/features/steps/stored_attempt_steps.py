"""Steps for the attempts that are stored before a task starts."""

import typing as t

import behave

from agaterudder.jobs import model
from agaterudder.jobs import planning
from agaterudder.jobs import runs
from agaterudder.jobs import storedprogress
from agaterudder.jobs import suspects
from agaterudder import resources
from tests import crash_simulation
from tests import job_builders

Context = t.Any
CULPRIT = crash_simulation.CULPRIT


@behave.when("an attempt of its first task is stored and its holder ends")
@behave.when("an attempt of its first task is stored")
def step_attempt_stored(context: Context) -> None:
    simulation = context.simulation
    task = simulation.state.jobs[CULPRIT].steps["0.0"].tasks[0]
    context.task = task
    simulation.state.suspects.add(task)
    planning.Plan(simulation.state, simulation.now).orders()
    assert task.prepared is not None
    simulation.write()


@behave.when("the worker of its attempt {fate}")
def step_worker_fate(context: Context, fate: str) -> None:
    simulation = context.simulation
    (process,) = simulation.processes.values()
    match fate:
        case "still runs":
            pass
        case "answers":
            process.answers = True
        case "has restarted under its name":
            process.answers = True
            process.incarnation += 1
        case "is gone":
            process.alive = False
        case "has not answered the new holder":
            process.answers = False
        case "is not named by an earlier release":
            place = (model.PROGRESS_TABLE, job_builders.POOL, CULPRIT)
            content, version = simulation.store.rows[place]
            progress = model.decode(content, model.Progress)
            (number,) = progress.attempt_workers
            progress.attempt_workers[number + 1] = (
                progress.attempt_workers.pop(number)
            )
            simulation.store.rows[place] = (model.encode(progress), version)
        case _:
            raise AssertionError(fate)


@behave.when(
    "{count:d} holders end after they stored an attempt, unheard by its worker"
)
def step_unheard(context: Context, count: int) -> None:
    simulation = context.simulation
    (process,) = simulation.processes.values()
    for _ in range(count):
        step_attempt_stored(context)
        process.answers = False
        simulation.take_over()
        # It is heard again once the pool counts as recovered.
        process.answers = True
        simulation.poll()
    process.answers = False
    simulation.take_over()


@behave.when("the pool is recovered by another holder")
def step_recovered(context: Context) -> None:
    context.simulation.take_over()


@behave.then('{count:d} attempts of job "culprit" may have crashed a worker')
def step_unresolved(context: Context, count: int) -> None:
    (step,) = context.simulation.state.jobs[CULPRIT].steps.values()
    found = suspects.evidence(step.tasks[0])
    assert found.total == found.unresolved == count, found


@behave.when("the worker that it names accepts no tasks")
def step_named_full(context: Context) -> None:
    (life,) = context.task.prepared.workers
    context.named = life.worker
    context.simulation.state.workers[life.worker].cordon(
        "draining", context.simulation.now
    )


@behave.given("another holder has taken the pool over")
def step_one_take_over(context: Context) -> None:
    context.simulation.take_over()


@behave.when("attempts of its {count:d} tasks are stored")
def step_attempts_stored(context: Context, count: int) -> None:
    simulation = context.simulation
    step = simulation.state.jobs[CULPRIT].steps["0.0"]
    while not step.ready_at:
        simulation.now += crash_simulation.TICK_SECONDS
        simulation.progress()
        simulation.poll()
    planning.Plan(simulation.state, simulation.now).orders()
    simulation.write()
    context.tasks = [task for task in step.tasks if task.prepared]
    assert len(context.tasks) == count, step.tasks
    context.named = {
        task.name: {life.worker for life in task.prepared.workers}
        for task in context.tasks
    }


@behave.when("the load of {which} workers grows")
def step_load_grows(context: Context, which: str) -> None:
    """Make other workers the better choice than those of the attempts.

    A task prefers a worker with little left, tasks that start together one
    with much left.
    """
    simulation = context.simulation
    named = set.union(*context.named.values())
    for number, worker in enumerate(simulation.state.workers.values()):
        if (worker.name in named) != (which == "these"):
            continue
        size = resources.Vector(6.0 - number, 100.0)
        run = runs.Run("gone.0.0.0", None, 1, worker, simulation.now, size)
        worker.add(run)


@behave.then("the tasks start at once where their attempts were stored")
def step_start_where_stored(context: Context) -> None:
    simulation = context.simulation
    planning.Plan(simulation.state, simulation.now).orders()
    found = {
        task.name: {run.worker.name for run in task.runs}
        for task in context.tasks
    }
    assert all(
        found[name] and found[name] <= named
        for name, named in context.named.items()
    ), (found, context.named)


@behave.when("the pool is planned until the task starts")
def step_until_started(context: Context) -> None:
    while not context.task.runs:
        context.simulation.tick()


@behave.then("its run started on the worker that the stored attempt names")
def step_started_where_stored(context: Context) -> None:
    (run,) = context.task.runs
    assert run.worker.name != context.named
    place = (model.PROGRESS_TABLE, job_builders.POOL, CULPRIT)
    content, _ = context.simulation.store.rows[place]
    stored = model.decode(content, model.Progress).attempt_workers
    assert [life.worker for life in stored[run.number]] == [run.worker.name]


@behave.when(
    "the progress of a job with {count:d} attempts is stored in "
    "{row_bytes:d} bytes"
)
def step_large_progress(context: Context, count: int, row_bytes: int) -> None:
    progress = model.Progress(checkpoints={"0.0.0": "half"})
    for number in range(count):
        progress.attempts[f"0.0.{number}"] = [number]
        progress.attempt_workers[number] = (
            model.WorkerLife(f"worker-{number}", number),
        )
    content = storedprogress.encode(CULPRIT, progress, row_bytes)
    assert content is not None
    context.progress = model.decode(content, model.Progress)
    context.attempts = progress.attempts


@behave.then("its attempts are stored without their workers")
def step_without_workers(context: Context) -> None:
    assert context.progress.attempts == context.attempts
    assert not context.progress.attempt_workers


@behave.then("its checkpoints are stored")
def step_checkpoints(context: Context) -> None:
    assert context.progress.checkpoints == {"0.0.0": "half"}
