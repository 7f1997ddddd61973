"""Steps on the specifications of the core protocol."""

import typing as t

import behave

from models import report
from models import specification

Context = t.Any


@behave.when('the checker searches every state of "{name}"')
def step_search(context: Context, name: str) -> None:
    context.specification = report.SPECIFICATIONS[name]
    context.verdict = specification.check(context.specification)


@behave.then("the invariant holds and the search was exhaustive")
def step_holds(context: Context) -> None:
    verdict = context.verdict
    assert verdict.holds and verdict.exhaustive, verdict.counterexample


@behave.then("at least {count:d} states were searched")
def step_states(context: Context, count: int) -> None:
    assert context.verdict.states >= count, context.verdict.states


@behave.then("disabling any single guard yields a counterexample")
def step_guards(context: Context) -> None:
    for guard in context.specification.guards:
        verdict = specification.check(context.specification, guard)
        assert not verdict.holds, guard
        assert verdict.counterexample, guard
