"""Steps on a deployment whose processes fail."""

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
def step_small(context: Context, team: str) -> None:
    deployment = deployed.start(context, PLAN)
    answer = deployment.operate(
        "POST", "apply", {"assurances": builders.ONE_POOL}
    )
    assert answer.body["state"] == "accepted", answer
    deployed.step_key(context, team)
    context.sent = []
    context.numbers = itertools.count()


def _ask(context: Context, vm: str, method: str, work: str = "") -> None:
    """Send one request and note its answer, or None when cut."""
    identifier = f"r{next(context.numbers)}"
    named = deployed.headers(context, request_id=identifier)
    if work:
        named["X-Work-Seconds"] = work
    at = time.monotonic()
    path = f"/v1/services/tally/{work or ''}"
    address = context.deployment.entries[vm]
    try:
        answer = launcher.call(address, method, path, b"", named)
    except (OSError, ValueError, launcher.HTTPParseError):
        answer = None
    context.sent.append((at, vm, identifier, answer))


def _flow(
    context: Context, vms: list[str], method: str, seconds: float
) -> list[gevent.Greenlet]:
    def forever(vm: str) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            _ask(context, vm, method)
            gevent.sleep(0.01)

    return [gevent.spawn(forever, vm) for vm in vms for _ in range(4)]


@behave.when("requests that may not be repeated flow to every entry VM")
def step_flow(context: Context) -> None:
    vms = list(context.deployment.entries)
    context.flow = _flow(context, vms, "POST", 4.0)
    gevent.sleep(1.0)


@behave.when('entry VM "{vm}" is killed')
def step_kill(context: Context, vm: str) -> None:
    context.deployment.kill(vm)
    context.killed_at = time.monotonic()
    context.killed = vm


@behave.when("requests flow for {seconds:d} seconds more")
def step_more(context: Context, seconds: int) -> None:
    gevent.joinall(context.flow, timeout=seconds + 20)


def _executed(context: Context) -> dict[str, int]:
    found: dict[str, int] = {}
    for address in context.deployment.backends.values():
        try:
            counts = launcher.call(address, "GET", "/counts").body
        except OSError:
            continue
        for identifier, count in counts["executed"].items():
            found[identifier] = found.get(identifier, 0) + count
    return found


@behave.then("every answer is whole and its request ran at most once")
def step_whole_once(context: Context) -> None:
    executed = _executed(context)
    answers = 0
    for _, _, identifier, answer in context.sent:
        assert executed.get(identifier, 0) <= 1, identifier
        if answer is not None and answer.status == 200:
            assert answer.body["id"] == identifier, answer
            assert len(answer.body["pad"]) == 200, answer
            answers += 1
    assert answers > 0, "nothing was answered"


@behave.then("every refusal that says not run is true at the backend servers")
def step_not_run(context: Context) -> None:
    executed = _executed(context)
    for _, _, identifier, answer in context.sent:
        if answer is not None and answer.code > 0 and answer.body["not_run"]:
            assert executed.get(identifier, 0) == 0, answer


@behave.then("the entry VMs that live answered after the kill")
def step_live(context: Context) -> None:
    for vm in context.deployment.entries:
        if vm == context.killed:
            continue
        answered = [
            answer
            for at, name, _, answer in context.sent
            if name == vm and at > context.killed_at + 1.0 and answer
        ]
        assert any(answer.status == 200 for answer in answered), vm


@behave.when('slow requests flow to entry VM "{vm}"')
def step_slow(context: Context, vm: str) -> None:
    context.flow = _flow(context, [vm], "POST", 6.0)
    gevent.sleep(0.5)


@behave.when('entry VM "{vm}" is asked to leave')
def step_leave(context: Context, vm: str) -> None:
    started_at = time.monotonic()
    context.left = gevent.get_hub().threadpool.spawn(
        context.deployment.end, vm
    )
    context.left.wait(timeout=20)
    context.left_after = time.monotonic() - started_at
    gevent.joinall(context.flow, timeout=20)


@behave.then("it leaves with status 0 within {seconds:d} seconds")
def step_left(context: Context, seconds: int) -> None:
    assert context.left.get() == 0
    assert context.left_after <= seconds, context.left_after


@behave.then("every request that it took was answered whole")
def step_answered(context: Context) -> None:
    executed = _executed(context)
    for _, _, identifier, answer in context.sent:
        if executed.get(identifier):
            assert answer is not None and answer.status == 200, identifier
            assert answer.body["id"] == identifier


@behave.then("later requests were refused as not run or not taken at all")
def step_later(context: Context) -> None:
    executed = _executed(context)
    refused = [item for item in context.sent if item[3] is None]
    assert refused, "the flow ended too early"
    for _, _, identifier, _ in refused:
        assert identifier not in executed, identifier


@behave.when('entry VM "{vm}" is paused')
def step_pause(context: Context, vm: str) -> None:
    context.deployment.signal(vm, deployed_signal("SIGSTOP"))
    context.paused_at = time.monotonic()


def deployed_signal(name: str) -> int:
    """Return the number of a signal."""
    return int(getattr(launcher.signal, name))


@behave.then('the change is pending and names "{vm}" alone')
def step_names(context: Context, vm: str) -> None:
    body = context.change.body
    assert body["state"] == "pending", body
    assert body["missing"] == [vm], body


@behave.when('entry VM "{vm}" is resumed after {seconds:d} seconds in all')
def step_resume(context: Context, vm: str, seconds: int) -> None:
    left = seconds - (time.monotonic() - context.paused_at)
    gevent.sleep(max(0.0, left))
    context.deployment.signal(vm, deployed_signal("SIGCONT"))


@behave.then('not one request with the key is taken at "{vm}"')
def step_not_taken(context: Context, vm: str) -> None:
    for _ in range(40):
        _ask(context, vm, "GET")
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
def step_down(context: Context) -> None:
    context.deployment.fault(context.deployment.platform, down=True)


@behave.when("the table service comes back")
def step_back(context: Context) -> None:
    context.deployment.fault(context.deployment.platform, down=False)


@behave.then("requests for services are answered at every entry VM")
def step_served(context: Context) -> None:
    for vm in context.deployment.entries:
        _ask(context, vm, "GET")
        answer = context.sent[-1][-1]
        assert answer is not None and answer.status == 200, answer


@behave.then("a submission is refused or its outcome is said to be unknown")
def step_unsure(context: Context) -> None:
    vm = next(iter(context.deployment.entries))
    answer = deployed.submit(context, vm)
    assert answer.code in (407, 602), answer


@behave.then("within {seconds:d} seconds submissions are refused as not run")
def step_refused(context: Context, seconds: int) -> None:
    vm = next(iter(context.deployment.entries))
    deployed.wait_for(
        lambda: deployed.submit(context, vm).code == 407,
        seconds,
        "STORE_AWAY",
    )


@behave.then("submissions are recorded again within {seconds:d} seconds")
def step_again(context: Context, seconds: int) -> None:
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
        context.deployment.end(vm)
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


@behave.then('work of team "{team}" is taken at every entry VM')
def step_taken(context: Context, team: str) -> None:
    def taken() -> bool:
        context.sent.clear()
        for vm in context.deployment.entries:
            _ask(context, vm, "GET")
        answers = [answer for *_, answer in context.sent]
        return all(a is not None and a.status == 200 for a in answers)

    deployed.wait_for(taken, 10, "work taken")


@behave.then("no recorded task was started twice")
def step_once(context: Context) -> None:
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
def step_through(context: Context, vm: str) -> None:
    for _ in range(10):
        _ask(context, vm, "POST")
    for *_, answer in context.sent:
        assert answer is not None and answer.status == 200, answer


@behave.when('a roll-out of pool "{pool}" is begun in the deployment')
def step_roll_out(context: Context, pool: str) -> None:
    gevent.sleep(2.0)
    answer = context.deployment.operate("POST", "roll-out", {"name": pool})
    assert answer.status == 200, answer
    context.wave = answer.body["wave"]
    context.most_out = 0
    context.watch = gevent.spawn(_watch, context, "south")
    context.cleanups.append(context.watch.kill)
    gevent.sleep(1.0)


def _watch(context: Context, apart: str) -> None:
    """Note the most VMs that were out at once, outside one place."""
    while True:
        answer = launcher.call(context.deployment.platform, "GET", "/vms")
        out = [
            vm["vm"]
            for vm in answer.body["vms"]
            if vm["role"] == "worker"
            and vm["state"] != "live"
            and vm["data_centre"] != apart
        ]
        context.most_out = max(context.most_out, len(out))
        gevent.sleep(0.05)


@behave.when('an operator takes "{centre}" out')
def step_take_out(context: Context, centre: str) -> None:
    answer = context.deployment.operate("POST", "take-out", {"name": centre})
    assert answer.body["state"] == "accepted", answer
    context.out_at = time.time()


@behave.when('an operator puts "{centre}" back')
def step_put_back(context: Context, centre: str) -> None:
    answer = context.deployment.operate("POST", "put-back", {"name": centre})
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


@behave.then('no task starts in "{centre}" from {seconds:d} seconds after')
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
            late = [at for at in times if at > context.out_at + seconds]
            assert not late, late
        else:
            started += len(times)
    assert started > 0, "nothing was started elsewhere"


@behave.then("the roll-out is done within {seconds:d} seconds")
def step_rolled(context: Context, seconds: int) -> None:
    def done() -> bool:
        path = f"waves/{context.wave}"
        context.seen = context.deployment.operate("GET", path).body
        return bool(context.seen["state"] == "done")

    try:
        deployed.wait_for(done, seconds, "wave done")
    except AssertionError as error:
        raise AssertionError(json.dumps(context.seen)) from error


@behave.then(
    'at most {count:d} VM of the pool outside "{centre}" was ever out at once'
)
def step_most_out(context: Context, count: int, centre: str) -> None:
    assert 1 <= context.most_out <= count, context.most_out
