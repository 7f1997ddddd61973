"""Steps on jobs of many steps, tasks or occurrences."""

import time
import typing as t
from unittest import mock

import behave

from agaterudder.jobs import deployment
from agaterudder.jobs import estimates
from agaterudder.jobs import model
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import runends
from agaterudder.jobs import service
from agaterudder import resources
from tests import job_builders

Context = t.Any
ROUND_SECONDS = 0.1
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
