"""Steps on troubles that come together."""

import random
import time
import typing as t

import behave
import gevent

from standins import launcher
from tests import builders
from tests.features.steps import deployment_steps as deployed
from tests.features.steps import process_steps as processes

Context = t.Any
TROUBLE_SECONDS = 1.5
ENDED = {"done", "failed", "cancelled", "set aside", "outcome unknown"}


@behave.given('team "{team}" may run {count:d} tasks in the deployment')
def step_limit(context: Context, team: str, count: int) -> None:
    text = builders.ONE_POOL.replace("tasks = 60", f"tasks = {count}")
    assert f"tasks = {count}" in text
    answer = context.deployment.operate("POST", "apply", {"assurances": text})
    assert answer.body["state"] == "accepted", answer


@behave.when(
    "requests and tasks flow for {seconds:d} seconds under troubles of "
    "seed {seed:d}"
)
def step_flow(context: Context, seconds: int, seed: int) -> None:
    context.generator = random.Random(seed)
    context.tasks = []
    context.most_running = 0
    vms = list(context.deployment.entries)
    flows = processes._flow(context, vms, "POST", float(seconds))
    flows.append(gevent.spawn(_submit_forever, context, vms, seconds))
    watch = gevent.spawn(_watch, context)
    context.cleanups.append(watch.kill)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        _trouble(context, vms)
        gevent.sleep(TROUBLE_SECONDS)
    gevent.joinall(flows, timeout=60)
    _heal(context)


def _submit_forever(context: Context, vms: list[str], seconds: int) -> None:
    generator = random.Random(0)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            answer = deployed.submit(
                context, generator.choice(vms), run_seconds=0.3
            )
        except (OSError, ValueError, launcher.HTTPParseError):
            continue
        finally:
            gevent.sleep(0.1)
        if answer.status == 200:
            context.tasks.append(answer.body["task"])


def _watch(context: Context) -> None:
    """Note the most tasks that ran at once."""
    while True:
        running = sum(
            launcher.call(address, "GET", "/counts").body["running"]
            for address in context.deployment.workers.values()
        )
        context.most_running = max(context.most_running, running)
        gevent.sleep(0.05)


def _trouble(context: Context, vms: list[str]) -> None:
    generator = context.generator
    deployment = context.deployment
    vm = generator.choice(vms)
    backend = generator.choice(list(deployment.backends.values()))
    match generator.randrange(5):
        case 0:
            deployment.kill(vm)
            deployment.start_entry(vm)
        case 1:
            deployment.signal(vm, processes.deployed_signal("SIGSTOP"))
            gevent.sleep(2.0)
            deployment.signal(vm, processes.deployed_signal("SIGCONT"))
        case 2:
            deployment.fault(deployment.platform, down=True)
            gevent.sleep(1.0)
            deployment.fault(deployment.platform, down=False)
        case 3:
            deployment.fault(deployment.platform, lose_answers=3)
        case 4:
            deployment.fault(
                backend, fault=generator.choice(("killed", "short"))
            )


def _heal(context: Context) -> None:
    deployment = context.deployment
    deployment.fault(deployment.platform, down=False, lose_answers=0)
    for address in deployment.backends.values():
        deployment.fault(address, fault="")
    for vm in deployment.entries:
        deployment.wait_ready(vm)


@behave.then("never more than {count:d} tasks of the team ran at once")
def step_most(context: Context, count: int) -> None:
    assert 1 <= context.most_running <= count, context.most_running


@behave.then(
    "every recorded task ends within {seconds:d} seconds, and none ran twice"
)
def step_ends(context: Context, seconds: int) -> None:
    assert len(context.tasks) >= 10, len(context.tasks)
    vm = next(iter(context.deployment.entries))

    def ended() -> bool:
        context.states = {
            task: deployed.task_state(context, task, vm)
            for task in context.tasks
        }
        return set(context.states.values()) <= ENDED

    try:
        deployed.wait_for(ended, seconds, "every task ended")
    except AssertionError as error:
        left = {k: v for k, v in context.states.items() if v not in ENDED}
        raise AssertionError(f"{error}: {left}") from error
    started: dict[str, int] = {}
    for address in context.deployment.workers.values():
        counts = launcher.call(address, "GET", "/counts").body["executed"]
        for task, count in counts.items():
            started[task] = started.get(task, 0) + count
    twice = {task: count for task, count in started.items() if count > 1}
    assert not twice, twice
