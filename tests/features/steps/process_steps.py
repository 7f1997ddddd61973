"""Steps on a deployment whose processes are killed, paused or replaced."""

import itertools
import json
import time
import typing as t

import behave
import gevent

from standins import launcher
from tests import builders
from tests.features.steps import deployment_steps as deployed

Context = t.Any
PLAN = launcher.Plan(
    entries=1,
    services=(("tally", 2),),
    pools=(("count", 2),),
    work_seconds=0.02,
    timing=(
        ("heartbeat_seconds", 0.2),
        ("silence_seconds", 1.0),
        ("pause_seconds", 1.5),
        ("task_lease_seconds", 8.0),
    ),
)


@behave.given('a small deployment with a key for team "{team}"')
def step_small_deployment(context: Context, team: str) -> None:
    deployment = deployed.start(context, PLAN)
    answer = deployment.call_operator_api(
        "POST", "apply", {"assurances": builders.ONE_POOL}
    )
    assert answer.body["state"] == "accepted", answer
    deployed.step_key(context, team)
    context.sent = []
    context.request_numbers = itertools.count()


def _send(context: Context, vm: str, method: str, work: str = "") -> None:
    """Send one request; record its answer, or None when it was cut off."""
    identifier = f"r{next(context.request_numbers)}"
    headers = deployed.headers(context, request_id=identifier)
    if work:
        headers["X-Work-Seconds"] = work
    sent_at = time.monotonic()
    path = f"/v1/services/tally/{work or ''}"
    address = context.deployment.entries[vm]
    try:
        answer = launcher.call(address, method, path, b"", headers)
    except (OSError, ValueError, launcher.HTTPParseError):
        answer = None
    context.sent.append((sent_at, vm, identifier, answer))


def _send_requests(
    context: Context, vms: list[str], method: str, seconds: float
) -> list[gevent.Greenlet]:
    def send_until_deadline(vm: str) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            _send(context, vm, method)
            gevent.sleep(0.01)

    return [
        gevent.spawn(send_until_deadline, vm) for vm in vms for _ in range(4)
    ]


@behave.when("requests that may not be repeated are sent to every entry VM")
def step_flow(context: Context) -> None:
    vms = list(context.deployment.entries)
    context.senders = _send_requests(context, vms, "POST", 4.0)
    gevent.sleep(1.0)


@behave.when('entry VM "{vm}" is killed')
def step_kill(context: Context, vm: str) -> None:
    context.deployment.kill(vm)
    context.killed_at = time.monotonic()
    context.killed_vm = vm


@behave.when("requests are sent for {seconds:d} seconds more")
def step_send_more(context: Context, seconds: int) -> None:
    gevent.joinall(context.senders, timeout=seconds + 20)


def _executions(context: Context) -> dict[str, int]:
    executions: dict[str, int] = {}
    for address in context.deployment.backends.values():
        try:
            counts = launcher.call(address, "GET", "/counts").body
        except OSError:
            continue
        for identifier, count in counts["executed"].items():
            executions[identifier] = executions.get(identifier, 0) + count
    return executions


@behave.then("every answer is complete and its request ran at most once")
def step_complete_once(context: Context) -> None:
    executed = _executions(context)
    answers = 0
    for _, _, identifier, answer in context.sent:
        assert executed.get(identifier, 0) <= 1, identifier
        if answer is not None and answer.status == 200:
            assert answer.body["id"] == identifier, answer
            assert len(answer.body["pad"]) == 200, answer
            answers += 1
    assert answers > 0, "no request was answered with status 200"


@behave.then("no request refused as not run was executed by a backend server")
def step_not_run(context: Context) -> None:
    executed = _executions(context)
    for _, _, identifier, answer in context.sent:
        if answer is not None and answer.code > 0 and answer.body["not_run"]:
            assert executed.get(identifier, 0) == 0, answer


@behave.then("the other entry VMs answered after the kill")
def step_remaining(context: Context) -> None:
    for vm in context.deployment.entries:
        if vm == context.killed_vm:
            continue
        answered = [
            answer
            for sent_at, name, _, answer in context.sent
            if name == vm and sent_at > context.killed_at + 1.0 and answer
        ]
        assert any(answer.status == 200 for answer in answered), vm


@behave.when('requests are sent to entry VM "{vm}"')
def step_send_to_vm(context: Context, vm: str) -> None:
    context.senders = _send_requests(context, [vm], "POST", 6.0)
    gevent.sleep(0.5)


@behave.when('entry VM "{vm}" is asked to shut down')
def step_shut_down(context: Context, vm: str) -> None:
    started_at = time.monotonic()
    context.shutdown = gevent.get_hub().threadpool.spawn(
        context.deployment.terminate, vm
    )
    context.shutdown.wait(timeout=20)
    context.shutdown_seconds = time.monotonic() - started_at
    gevent.joinall(context.senders, timeout=20)


@behave.then("it exits with status 0 within {seconds:d} seconds")
def step_exits(context: Context, seconds: int) -> None:
    assert context.shutdown.get() == 0
    assert context.shutdown_seconds <= seconds, context.shutdown_seconds


@behave.then(
    "every request that a backend server executed was answered in full"
)
def step_accepted_answered(context: Context) -> None:
    executed = _executions(context)
    for _, _, identifier, answer in context.sent:
        if executed.get(identifier):
            assert answer is not None and answer.status == 200, identifier
            assert answer.body["id"] == identifier


@behave.then("later requests got no answer and were not executed")
def step_later_unanswered(context: Context) -> None:
    executed = _executions(context)
    unanswered = [item for item in context.sent if item[3] is None]
    assert (
        unanswered
    ), "no request was cut off: the load ended before the shutdown"
    for _, _, identifier, _ in unanswered:
        assert identifier not in executed, identifier


@behave.when('entry VM "{vm}" is paused')
def step_pause(context: Context, vm: str) -> None:
    context.deployment.signal(vm, signal_number("SIGSTOP"))
    context.paused_at = time.monotonic()


def signal_number(name: str) -> int:
    """Return the number of the named signal."""
    return int(getattr(launcher.signal, name))


@behave.then('the change is pending and only "{vm}" has not confirmed it')
def step_pending(context: Context, vm: str) -> None:
    body = context.change.body
    assert body["state"] == "pending", body
    assert body["missing"] == [vm], body


@behave.when('entry VM "{vm}" is resumed {seconds:d} seconds after the pause')
def step_resume(context: Context, vm: str, seconds: int) -> None:
    remaining = seconds - (time.monotonic() - context.paused_at)
    gevent.sleep(max(0.0, remaining))
    context.deployment.signal(vm, signal_number("SIGCONT"))


@behave.then('no request with the key is accepted at "{vm}"')
def step_not_accepted(context: Context, vm: str) -> None:
    for _ in range(40):
        _send(context, vm, "GET")
        gevent.sleep(0.05)
    codes = {answer.code for *_, answer in context.sent if answer}
    assert codes <= {301, 405}, codes
    assert 301 in codes, codes


@behave.given("{count:d} tasks of {seconds:d} second are recorded")
@behave.given("{count:d} tasks of {seconds:d} seconds are recorded")
def step_recorded(context: Context, count: int, seconds: int) -> None:
    vms = itertools.cycle(context.deployment.entries)
    context.tasks = []
    for vm in itertools.islice(vms, count):
        answer = deployed.submit(context, vm, run_seconds=seconds)
        assert answer.status == 200, answer
        context.tasks.append(answer.body["task"])


@behave.when("the table service goes down")
def step_store_down(context: Context) -> None:
    context.deployment.set_faults(context.deployment.platform, down=True)


@behave.when("the table service comes back")
def step_store_back(context: Context) -> None:
    context.deployment.set_faults(context.deployment.platform, down=False)


@behave.then("requests for services are answered at every entry VM")
def step_served(context: Context) -> None:
    for vm in context.deployment.entries:
        _send(context, vm, "GET")
        answer = context.sent[-1][-1]
        assert answer is not None and answer.status == 200, answer


@behave.then("a submission is refused or its outcome is reported as unknown")
def step_submission_unknown(context: Context) -> None:
    vm = next(iter(context.deployment.entries))
    answer = deployed.submit(context, vm)
    assert answer.code in (407, 602), answer


@behave.then("within {seconds:d} seconds submissions are refused as not run")
def step_submissions_refused(context: Context, seconds: int) -> None:
    vm = next(iter(context.deployment.entries))
    deployed.wait_for(
        lambda: deployed.submit(context, vm).code == 407,
        seconds,
        "STORE_AWAY",
    )


@behave.then("submissions are recorded again within {seconds:d} seconds")
def step_submissions_recorded(context: Context, seconds: int) -> None:
    vm = next(iter(context.deployment.entries))
    deployed.wait_for(
        lambda: deployed.submit(context, vm).status == 200,
        seconds,
        "recorded",
    )


@behave.then("every recorded task is done within {seconds:d} seconds")
def step_all_done(context: Context, seconds: int) -> None:
    vms = list(context.deployment.entries)

    def done() -> bool:
        states = [
            deployed.task_state(context, task, vm)
            for task, vm in zip(context.tasks, itertools.cycle(vms))
        ]
        context.states = states
        return set(states) == {"done"}

    try:
        deployed.wait_for(done, seconds, "every task done")
    except AssertionError as error:
        raise AssertionError(f"{error}: {context.states}") from error


@behave.when("each entry VM is replaced, one after another")
def step_replace(context: Context) -> None:
    for vm in list(context.deployment.entries):
        context.deployment.terminate(vm)
        context.deployment.start_entry(vm)
        context.deployment.wait_ready(vm)


@behave.when("all entry VMs are killed and started again")
def step_replace_all(context: Context) -> None:
    for vm in context.deployment.entries:
        context.deployment.kill(vm)
    for vm in context.deployment.entries:
        context.deployment.start_entry(vm)
    for vm in context.deployment.entries:
        context.deployment.wait_ready(vm)


@behave.then('requests of team "{team}" are accepted at every entry VM')
def step_accepted(context: Context, team: str) -> None:
    def accepted() -> bool:
        context.sent.clear()
        for vm in context.deployment.entries:
            _send(context, vm, "GET")
        answers = [answer for *_, answer in context.sent]
        return all(a is not None and a.status == 200 for a in answers)

    deployed.wait_for(accepted, 10, "requests accepted")


@behave.then("no recorded task was started twice")
def step_started_once(context: Context) -> None:
    started: dict[str, int] = {}
    for address in context.deployment.workers.values():
        counts = launcher.call(address, "GET", "/counts").body
        for task, count in counts["executed"].items():
            started[task] = started.get(task, 0) + count
    for task in context.tasks:
        assert started.get(task) == 1, (task, started.get(task))


@behave.when('every backend server of "{centre}" is killed')
def step_backends(context: Context, centre: str) -> None:
    for name in list(context.deployment.backends):
        if f"-{centre}-" in name:
            context.deployment.kill(name)


@behave.then('requests at "{vm}" are answered through another data centre')
def step_other_data_centre(context: Context, vm: str) -> None:
    for _ in range(10):
        _send(context, vm, "POST")
    for *_, answer in context.sent:
        assert answer is not None and answer.status == 200, answer


@behave.when('a roll-out of pool "{pool}" is started in the deployment')
def step_roll_out(context: Context, pool: str) -> None:
    gevent.sleep(2.0)
    answer = context.deployment.call_operator_api(
        "POST", "roll-out", {"name": pool}
    )
    assert answer.status == 200, answer
    context.wave = answer.body["wave"]
    context.max_out = 0
    context.watcher = gevent.spawn(_record_max_out, context, "south")
    context.cleanups.append(context.watcher.kill)
    gevent.sleep(1.0)


def _record_max_out(context: Context, excluded: str) -> None:
    """Record the peak number of workers out, except in one data centre."""
    while True:
        answer = launcher.call(context.deployment.platform, "GET", "/vms")
        out = [
            vm["vm"]
            for vm in answer.body["vms"]
            if vm["role"] == "worker"
            and vm["state"] != "live"
            and vm["data_centre"] != excluded
        ]
        context.max_out = max(context.max_out, len(out))
        gevent.sleep(0.05)


@behave.when('an operator takes "{centre}" out')
def step_take_out(context: Context, centre: str) -> None:
    answer = context.deployment.call_operator_api(
        "POST", "take-out", {"name": centre}
    )
    assert answer.body["state"] == "accepted", answer
    context.taken_out_at = time.time()


@behave.when('an operator puts "{centre}" back')
def step_put_back(context: Context, centre: str) -> None:
    answer = context.deployment.call_operator_api(
        "POST", "put-back", {"name": centre}
    )
    assert answer.body["state"] == "accepted", answer


@behave.then('the VMs of "{centre}" are maintained within {seconds:d} seconds')
def step_maintained(context: Context, centre: str, seconds: int) -> None:
    def maintained() -> bool:
        listed = launcher.call(context.deployment.platform, "GET", "/vms")
        return all(
            vm.get("reboots", 0) == 1 and vm["state"] == "live"
            for vm in listed.body["vms"]
            if vm["role"] == "worker" and vm["data_centre"] == centre
        )

    deployed.wait_for(maintained, seconds, "maintained")


@behave.then(
    'no task starts in "{centre}" later than {seconds:d} seconds after that'
)
def step_none_start(context: Context, centre: str, seconds: int) -> None:
    names = list(context.deployment.entries)
    for vm in itertools.islice(itertools.cycle(names), 24):
        answer = deployed.submit(context, vm, run_seconds=0.1)
        assert answer.status == 200, answer
        gevent.sleep(0.2)
    gevent.sleep(1.0)
    started = 0
    for name, address in context.deployment.workers.items():
        counts = launcher.call(address, "GET", "/counts").body
        times = counts["started_at"].values()
        if f"-{centre}-" in name:
            late = [
                started_at
                for started_at in times
                if started_at > context.taken_out_at + seconds
            ]
            assert not late, late
        else:
            started += len(times)
    assert started > 0, "no task was started in another data centre"


@behave.then("the roll-out is done within {seconds:d} seconds")
def step_rolled_out(context: Context, seconds: int) -> None:
    def done() -> bool:
        path = f"waves/{context.wave}"
        context.wave_seen = context.deployment.call_operator_api(
            "GET", path
        ).body
        return bool(context.wave_seen["state"] == "done")

    try:
        deployed.wait_for(done, seconds, "wave done")
    except AssertionError as error:
        raise AssertionError(json.dumps(context.wave_seen)) from error


@behave.then(
    'at most {count:d} VM of the pool outside "{centre}" was out at any time'
)
def step_max_out(context: Context, count: int, centre: str) -> None:
    assert 1 <= context.max_out <= count, context.max_out
