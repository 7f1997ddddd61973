"""Steps for the parts of teams' upper limits that pools hold."""

import typing as t

import behave

from agaterudder import escrow
from agaterudder.jobs import listings
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import teamlimits
from agaterudder import resources
from tests import job_builders
from tests import memory_store

Context = t.Any
ROUND_SECONDS = 0.1
TEAM = "tally"


def _limited(version: int, cores: float) -> operatorconfig.Configuration:
    unbounded = resources.UNBOUNDED
    limit = resources.Vector(cores, unbounded, unbounded, unbounded)
    team = operatorconfig.Team(TEAM, ("key-1",), 1.0, limit)
    return job_builders.configuration(version, (team,))


@behave.given(
    'pools "a" and "b" with grants of {first:d} and {second:d} cores of a '
    "limit of {limit:d}"
)
def step_granted(
    context: Context, first: int, second: int, limit: int
) -> None:
    context.now = job_builders.START
    context.store = memory_store.MemoryStore()
    context.limits = {name: teamlimits.TeamLimits(name) for name in "ab"}
    for limits, cores in zip(context.limits.values(), (first, second)):
        limits.configure(_limited(1, float(limit)))
        if not cores:
            continue
        size = resources.Vector(float(cores), 100.0)
        limits.request_grant(TEAM, size, size, context.now)
        assert limits.rebalance(context.store, context.now)


@behave.given('the next writes of grants end as "{faults}"')
def step_write_faults(context: Context, faults: str) -> None:
    context.store.faults = faults.split(", ")


@behave.given("operators set the limit to {limit:d} cores")
def step_limit(context: Context, limit: int) -> None:
    for limits in context.limits.values():
        limits.configure(_limited(2, float(limit)))


@behave.when(
    "each pool has one task of {cores:d} cores, for {seconds:g} seconds"
)
def step_one_task_each(context: Context, cores: int, seconds: float) -> None:
    size = resources.Vector(float(cores), 100.0)
    context.started = set()
    context.most = 0.0
    until = context.now + seconds
    while context.now < until:
        for name, limits in context.limits.items():
            if name in context.started:
                continue
            if limits.fits(TEAM, size):
                assert limits.charge(TEAM, name, size)
                context.started.add(name)
            else:
                limits.request_grant(TEAM, size, size, context.now)
            limits.rebalance(context.store, context.now)
        context.most = max(context.most, float(cores) * len(context.started))
        context.now += ROUND_SECONDS


@behave.then("a task has started")
def step_some_started(context: Context) -> None:
    assert context.started


@behave.then("the team never used more than {limit:d} cores")
def step_within_limit(context: Context, limit: int) -> None:
    assert context.most <= limit, context.most


@behave.given("its team has a limit of {cores:d} cores")
def step_team_limit(context: Context, cores: int) -> None:
    unbounded = resources.UNBOUNDED
    grant = resources.Vector(float(cores), unbounded, unbounded, unbounded)
    limits = context.state.limits
    limits.configure(_limited(2, float(cores)))
    limits._account(TEAM).local_grant.load_row(
        escrow.LimitRow(grant, 2, {job_builders.POOL: grant}),
        job_builders.POOL,
    )


@behave.when("the job ends as {how} and its end is stored")
def step_job_ends(context: Context, how: str) -> None:
    (job,) = context.state.jobs.values()
    context.state.finish_job(job, how, "by the test", 0.0)
    context.state.remove_ended_job(job, context.now)


@behave.when("the runs end {seconds:g} seconds later")
def step_runs_end(context: Context, seconds: float) -> None:
    context.now += seconds
    for worker in context.state.workers.values():
        ends = [
            ports.Ended(number, run.task_name, run.number, "stopped", "")
            for number, run in enumerate(worker.runs.values(), 1)
        ]
        listings.apply(
            context.state,
            worker,
            job_builders.listing(ended=ends),
            context.now,
            context.now,
        )


@behave.then("the team is charged for {cores:d} cores")
def step_charged(context: Context, cores: int) -> None:
    spent = context.state.limits._account(TEAM).local_grant.spent
    assert spent.cores == cores, spent


@behave.when(
    "its team gets a limit of {cores:d} cores, all granted to the pool"
)
def step_gets_limit(context: Context, cores: int) -> None:
    step_team_limit(context, cores)


@behave.when('pool "{name}" asks for {cores:d} cores')
def step_asks(context: Context, name: str, cores: int) -> None:
    limits = context.limits[name]
    size = resources.Vector(float(cores), 100.0)
    limits.request_grant(TEAM, size, size, context.now)
    assert not limits.rebalance(context.store, context.now)


@behave.when('pool "{name}" returns its grant {seconds:g} seconds later')
def step_returns_grant(context: Context, name: str, seconds: float) -> None:
    context.now += seconds
    limits = context.limits[name]
    limits._return_grant(context.store, TEAM, limits._account(TEAM))


@behave.then('pool "{name}" counts on {cores:d} cores')
def step_counts_on(context: Context, name: str, cores: int) -> None:
    found = context.limits[name].headroom(TEAM, context.now)
    assert found.cores == cores, found
