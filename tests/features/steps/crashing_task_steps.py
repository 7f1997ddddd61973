"""Steps for tasks that crash their workers."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import model
from agaterudder.jobs import workerloop
from agaterudder import resources
from tests import crash_simulation
from tests import job_builders

Context = t.Any
CULPRIT = "00000000000000cc"
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
        if name != CULPRIT
    }
    assert all(
        ending is not None and ending.state == model.STATE_COMPLETED
        for ending in endings.values()
    ), endings
