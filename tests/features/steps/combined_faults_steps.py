"""Steps on several kinds of faults at the same time."""

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
FAULT_INTERVAL_SECONDS = 1.5
END_STATES = {"done", "failed", "cancelled", "set aside", "outcome unknown"}


@behave.given('team "{team}" may run {count:d} tasks in the deployment')
def step_limit(context: Context, team: str, count: int) -> None:
    text = builders.ONE_POOL.replace("tasks = 60", f"tasks = {count}")
    assert f"tasks = {count}" in text
    answer = context.deployment.call_operator_api(
        "POST", "apply", {"assurances": text}
    )
    assert answer.body["state"] == "accepted", answer


@behave.when(
    "requests and tasks are sent for {seconds:d} seconds with faults of "
    "seed {seed:d}"
)
def step_flow(context: Context, seconds: int, seed: int) -> None:
    context.generator = random.Random(seed)
    context.tasks = []
    context.max_running = 0
    vms = list(context.deployment.entries)
    senders = processes._send_requests(context, vms, "POST", float(seconds))
    senders.append(gevent.spawn(_submit_until_deadline, context, vms, seconds))
    watcher = gevent.spawn(_record_max_running, context)
    context.cleanups.append(watcher.kill)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        _inject_fault(context, vms)
        gevent.sleep(FAULT_INTERVAL_SECONDS)
    gevent.joinall(senders, timeout=60)
    _clear_faults(context)


def _submit_until_deadline(
    context: Context, vms: list[str], seconds: int
) -> None:
    generator = random.Random(0)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
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


def _record_max_running(context: Context) -> None:
    """Record the peak number of running tasks."""
    while True:
        running = sum(
            launcher.call(address, "GET", "/counts").body["running"]
            for address in context.deployment.workers.values()
        )
        context.max_running = max(context.max_running, running)
        gevent.sleep(0.05)


def _inject_fault(context: Context, vms: list[str]) -> None:
    generator = context.generator
    deployment = context.deployment
    vm = generator.choice(vms)
    backend = generator.choice(list(deployment.backends.values()))
    match generator.randrange(5):
        case 0:
            deployment.kill(vm)
            deployment.start_entry(vm)
        case 1:
            deployment.signal(vm, processes.signal_number("SIGSTOP"))
            gevent.sleep(2.0)
            deployment.signal(vm, processes.signal_number("SIGCONT"))
        case 2:
            deployment.set_faults(deployment.platform, down=True)
            gevent.sleep(1.0)
            deployment.set_faults(deployment.platform, down=False)
        case 3:
            deployment.set_faults(deployment.platform, lose_answers=3)
        case 4:
            deployment.set_faults(
                backend, fault=generator.choice(("killed", "short"))
            )


def _clear_faults(context: Context) -> None:
    deployment = context.deployment
    deployment.set_faults(deployment.platform, down=False, lose_answers=0)
    for address in deployment.backends.values():
        deployment.set_faults(address, fault="")
    for vm in deployment.entries:
        deployment.wait_ready(vm)


@behave.then("at most {count:d} tasks of the team ran at once")
def step_max_running(context: Context, count: int) -> None:
    assert 1 <= context.max_running <= count, context.max_running


@behave.then(
    "every recorded task ends within {seconds:d} seconds, and none ran twice"
)
def step_all_ended(context: Context, seconds: int) -> None:
    assert len(context.tasks) >= 10, len(context.tasks)
    vm = next(iter(context.deployment.entries))

    def ended() -> bool:
        context.states = {
            task: deployed.task_state(context, task, vm)
            for task in context.tasks
        }
        return set(context.states.values()) <= END_STATES

    try:
        deployed.wait_for(ended, seconds, "every task ended")
    except AssertionError as error:
        unfinished = {
            k: v for k, v in context.states.items() if v not in END_STATES
        }
        raise AssertionError(f"{error}: {unfinished}") from error
    started: dict[str, int] = {}
    for address in context.deployment.workers.values():
        counts = launcher.call(address, "GET", "/counts").body["executed"]
        for task, count in counts.items():
            started[task] = started.get(task, 0) + count
    repeated = {task: count for task, count in started.items() if count > 1}
    assert not repeated, repeated
