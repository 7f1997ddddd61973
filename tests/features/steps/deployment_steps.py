"""Steps for a deployment in separate processes."""

import json
import time
import typing as t

import behave

from standins import launcher
from tests import builders

Context = t.Any


def start(context: Context, plan: launcher.Plan) -> launcher.Deployment:
    """Start a deployment that is stopped at the end of the scenario."""
    deployment = launcher.Deployment(plan)
    context.cleanups.append(deployment.stop)
    context.deployment = deployment
    deployment.start()
    return deployment


def headers(context: Context, **more: str) -> dict[str, str]:
    """Return the headers of the scenario's team."""
    extra = {
        f"Agaterudder-{name.replace('_', '-').title()}": value
        for name, value in more.items()
    }
    return {
        "Agaterudder-Team": context.team,
        "Agaterudder-Key": context.key,
        **extra,
    }


def submit(context: Context, vm: str, **fields: t.Any) -> launcher.Answer:
    """Submit a task of the scenario's team."""
    content = {"queue": "count", "cores": 1, "run_seconds": 0.2, **fields}
    return launcher.call(
        context.deployment.entries[vm],
        "POST",
        "/v1/tasks",
        json.dumps(content).encode(),
        headers(context),
    )


def task_state(context: Context, task: str, vm: str) -> str:
    """Return the state of a task as reported by an entry VM."""
    answer = launcher.call(
        context.deployment.entries[vm],
        "GET",
        f"/v1/tasks/{task}",
        b"",
        headers(context),
    )
    return str(answer.body.get("state", answer.body))


def wait_for(
    condition: t.Callable[[], bool], seconds: float, what: str
) -> float:
    """Wait for a condition; return how long it took."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        if condition():
            return time.monotonic() - started_at
        time.sleep(0.05)
    raise AssertionError(f"not within {seconds} s: {what}")


@behave.given("a deployment with the usual assurances")
def step_deployment(context: Context) -> None:
    deployment = start(context, launcher.Plan())
    answer = deployment.call_operator_api(
        "POST", "apply", {"assurances": builders.ASSURANCES}
    )
    assert answer.body["state"] == "accepted", answer


@behave.given('a key for team "{team}"')
def step_key(context: Context, team: str) -> None:
    answer = context.deployment.call_operator_api(
        "POST", "grant", {"name": team}
    )
    assert answer.body["state"] == "accepted", answer
    context.team = team
    context.key = answer.body["key"]


@behave.when('the team sends each entry VM a request for service "{service}"')
def step_request_each(context: Context, service: str) -> None:
    context.answers = [
        (
            vm,
            launcher.call(
                address,
                "GET",
                f"/v1/services/{service}/",
                b"",
                headers(context, request_id=vm),
            ),
        )
        for vm, address in context.deployment.entries.items()
    ]


@behave.then("every answer is whole and the caller's own")
def step_whole(context: Context) -> None:
    for identifier, answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body["id"] == identifier, answer
        assert len(answer.body["pad"]) == 200, answer


@behave.when('the team submits a task to queue "{queue}"')
def step_submit(context: Context, queue: str) -> None:
    vm = next(iter(context.deployment.entries))
    answer = submit(context, vm, queue=queue)
    assert answer.status == 200, answer
    context.task = answer.body["task"]


@behave.then("the task is done within {seconds:d} seconds")
def step_done(context: Context, seconds: int) -> None:
    vm = list(context.deployment.entries)[-1]
    wait_for(
        lambda: task_state(context, context.task, vm) == "done",
        seconds,
        "task done",
    )


@behave.when("an operator withdraws the key")
def step_withdraw(context: Context) -> None:
    context.change = context.deployment.call_operator_api(
        "POST", "withdraw", {"name": context.key}
    )


@behave.then("the change is accepted")
def step_accepted(context: Context) -> None:
    assert context.change.body["state"] == "accepted", context.change


@behave.then("no entry VM accepts work with the key")
def step_no_work(context: Context) -> None:
    for address in context.deployment.entries.values():
        answer = launcher.call(
            address, "GET", "/v1/services/tally/", b"", headers(context)
        )
        assert answer.code == 301, answer
