"""Steps for tickets of the placement policy."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import orderexecutor
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from tests import job_builders

Context = t.Any
JOB = "00000000000000aa"


class _Policy:
    """A placement policy that allows some workers.

    :ivar questions: how often it was asked.
    """

    def __init__(self, allowed: str) -> None:
        self.allowed = {allowed}
        self.questions = 0

    def ask(
        self, step: str, workers: t.Sequence[str], timeout: float
    ) -> ports.Tickets:
        """Return a ticket for the worker, if it is named."""
        self.questions += 1
        granted = [name for name in workers if name in self.allowed]
        return ports.Tickets(dict.fromkeys(granted, "ticket"), 0.0)


@behave.given(
    'its queue has a placement policy that allows worker "{name}" only'
)
def step_policy(context: Context, name: str) -> None:
    times = operatorconfig.PolicyTimes(0.0, 0.0, 60.0)
    queue = job_builders.queue(policy=times)
    context.state.queues = {queue.name: queue}
    context.policy = _Policy(name)


@behave.when("the pool is planned and the policy answers, {times:d} times")
def step_policy_answers(context: Context, times: int) -> None:
    executor = orderexecutor.OrderExecutor(
        mock.Mock(state=context.state), mock.Mock(), context.policy
    )
    with mock.patch.object(clock, "now", lambda: context.now):
        for _ in range(times):
            for order in planning.Plan(context.state, context.now).orders():
                if isinstance(order, orders.RequestTickets):
                    executor._request_tickets(order)


@behave.then('the task runs on worker "{name}"')
def step_runs_on(context: Context, name: str) -> None:
    worker = context.state.workers[name]
    assert len(worker.runs) == 1, worker.runs


@behave.then("the policy was asked {count:d} times")
def step_asked(context: Context, count: int) -> None:
    assert context.policy.questions == count, context.policy.questions


@behave.given(
    "its queue has a placement policy that allows workers "
    '"{first}" and "{second}"'
)
def step_policy_of_two(context: Context, first: str, second: str) -> None:
    step_policy(context, first)
    context.policy.allowed.add(second)


@behave.then('a task runs on worker "{name}"')
def step_some_run_on(context: Context, name: str) -> None:
    assert context.state.workers[name].runs


@behave.given(
    "its queue has priority {priority:d}, stretch {stretch:g} "
    "and a target of {seconds:g} s"
)
def step_terms(
    context: Context, priority: int, stretch: float, seconds: float
) -> None:
    queue = job_builders.queue(
        priority=priority, stretch=stretch, target_seconds=seconds
    )
    context.state.queues = {queue.name: queue}


@behave.given("a job of that queue is accepted")
def step_accepted(context: Context) -> None:
    (queue,) = context.state.queues.values()
    context.stored_job = job_builders.stored_job(JOB, queue)


@behave.when("{reader} reads the job")
def step_read(context: Context, reader: str) -> None:
    context.state.accept(
        context.stored_job,
        model.Progress(),
        0,
        context.now,
        recovered=reader == "a new process",
    )
    context.state.create_due(0.0, context.now)


@behave.then(
    "the queue of the job has priority {priority:d}, stretch {stretch:g} "
    "and a target of {seconds:g} s"
)
def step_keeps_terms(
    context: Context, priority: int, stretch: float, seconds: float
) -> None:
    (step,) = context.state.ready.values()
    found = context.state.queue_of(step)
    kept = (found.priority, found.stretch, found.target_seconds)
    assert kept == (priority, stretch, seconds), found
