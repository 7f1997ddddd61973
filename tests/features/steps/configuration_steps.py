"""Steps for changes of the configuration, on entry processes in one test."""

import time
import typing as t

import behave
import gevent

from agaterudder import codes
from agaterudder import configuration
from agaterudder import control
from agaterudder import entry as entries
from agaterudder import freshness
from agaterudder import membership
from agaterudder import utils
from tests import builders

Context = t.Any
WAIT_SECONDS = 0.0


def _change(
    context: Context, vm: str, edit: configuration.Edit
) -> control.Outcome:
    entry = context.cell.entries[vm]
    outcome = entry.control.change(edit, "ane", time.time(), WAIT_SECONDS)
    context.outcome = outcome
    return outcome


def _gossip(context: Context) -> None:
    """Exchange gossip between the entry VMs that are not cut off."""
    partitioned = getattr(context, "partitioned", set())
    isolated = {vm: context.cell.entries.pop(vm) for vm in partitioned}
    context.cell.gossip()
    context.cell.gossip()
    context.cell.entries.update(isolated)


def _note_versions(context: Context) -> None:
    context.versions = {
        vm: entry.in_force.version
        for vm, entry in context.cell.entries.items()
    }


@behave.when('an operator at "{vm}" replaces the assurances')
def step_replace(context: Context, vm: str) -> None:
    _change(
        context,
        vm,
        configuration.ReplaceAssurances(builders.ASSURANCES, 1),
    )


@behave.then('the change is pending and names "{names}"')
def step_pending(context: Context, names: str) -> None:
    assert isinstance(context.outcome, control.Pending), context.outcome
    assert set(names.split(",")) == set(context.outcome.missing)


@behave.when("the entry VMs exchange gossip")
def step_gossip(context: Context) -> None:
    context.cell.gossip()
    context.cell.gossip()


@behave.then("version {version:d} is in force everywhere")
def step_everywhere(context: Context, version: int) -> None:
    for entry in context.cell.entries.values():
        assert entry.in_force.version == version
        decision = entry.roster.decide(version, False)
        assert isinstance(decision, membership.InForceEverywhere), decision


@behave.when('"{vm}" is offered version {version:d}')
def step_offered(context: Context, vm: str, version: int) -> None:
    offered = configuration.Configuration(version, builders.ASSURANCES)
    context.cell.entries[vm].control.install(offered)


@behave.then('"{vm}" has version {version:d}')
def step_has(context: Context, vm: str, version: int) -> None:
    assert context.cell.entries[vm].in_force.version == version


@behave.when('operators at "{one}" and "{two}" replace version {base:d}')
def step_race(context: Context, one: str, two: str, base: int) -> None:
    edit = configuration.ReplaceAssurances(builders.ASSURANCES, base)
    context.race = [_change(context, vm, edit) for vm in (one, two)]


@behave.then('one change is recorded and the other refused with "{code}"')
def step_one_wins(context: Context, code: str) -> None:
    first, second = context.race
    assert isinstance(first, control.Pending) and first.recorded
    assert isinstance(second, codes.Refused), second
    assert second.code.name == code and "version 2 by ane" in second.reason


@behave.given('a key of team "{team}" that works everywhere')
def step_key(context: Context, team: str) -> None:
    context.team = team
    context.key = context.cell.key(team)
    for entry in context.cell.entries.values():
        checked = entry.in_force.check_key(team, context.key)
        assert not isinstance(checked, codes.Refused), checked
    _note_versions(context)


@behave.when("nothing is wrong")
def step_fine(context: Context) -> None:
    pass


@behave.when("the table service is down for all")
def step_all_down(context: Context) -> None:
    for transport in context.cell.transports.values():
        transport.partitioned = True


@behave.when('"{vm}" is cut off from all')
def step_cut_off(context: Context, vm: str) -> None:
    context.partitioned = {vm}
    context.cell.transports[vm].partitioned = True


@behave.when("the answer of the write is lost")
def step_write_lost(context: Context) -> None:
    context.cell.transports["entry-north"].faults = ["lost answer"]


@behave.when('an operator at "{vm}" withdraws the key')
def step_withdraw(context: Context, vm: str) -> None:
    key_id = context.key.partition(".")[0]
    edit = configuration.WithdrawKey(key_id, utils.new_identifier())
    _change(context, vm, edit)


@behave.when("the connected entry VMs exchange gossip")
def step_gossip_connected(context: Context) -> None:
    _gossip(context)


@behave.then('the key is refused at "{names}"')
def step_key_refused(context: Context, names: str) -> None:
    for vm in names.split(","):
        entry = context.cell.entries[vm]
        checked = entry.in_force.check_key(context.team, context.key)
        assert isinstance(checked, codes.Refused), vm


@behave.then('the outcome says "{word}"')
def step_says(context: Context, word: str) -> None:
    assert type(context.outcome).__name__.lower() == word, context.outcome


@behave.when("every fault is healed and one round passes")
def step_heal(context: Context) -> None:
    context.partitioned = set()
    for vm, transport in context.cell.transports.items():
        transport.partitioned = False
        context.cell.run_control_loops(vm)
    _gossip(context)
    for vm in context.cell.entries:
        context.cell.run_control_loops(vm)


@behave.then("no entry VM went back to a lower version")
def step_no_revert(context: Context) -> None:
    for vm, entry in context.cell.entries.items():
        assert entry.in_force.version >= context.versions[vm], vm


@behave.when('the process on "{vm}" starts again')
def step_starts_again(context: Context, vm: str) -> None:
    context.cell.kill(vm)
    transport = context.cell.transports[vm]
    try:
        context.cell.start(vm)
    except Exception:
        assert transport.partitioned


def _answer(context: Context, vm: str, team: str, now: float) -> str:
    refused = context.cell.entries[vm].check_admission(team, now)
    return refused.code.name if refused else "taken"


@behave.then('work of team "{team}" is refused at "{vm}" with "{code}"')
def step_work_refused(context: Context, team: str, vm: str, code: str) -> None:
    now = time.monotonic()
    assert _answer(context, vm, team, now) == code


@behave.when('"{vm}" has had no contact for {seconds:d} seconds')
def step_no_contact(context: Context, vm: str, seconds: int) -> None:
    entry = context.cell.entries[vm]
    context.now = time.monotonic() + seconds
    step = entry.settings.timing.pause_seconds / 2
    at = time.monotonic()
    while at < context.now:
        at = min(at + step, context.now)
        entry.freshness.tick(at)


@behave.then('work of team "{team}" at "{vm}" is "{answer}"')
def step_work(context: Context, team: str, vm: str, answer: str) -> None:
    found = _answer(context, vm, team, context.now)
    assert found == answer, found


@behave.then('work on open queues at "{vm}" is "{answer}"')
def step_open_work(context: Context, vm: str, answer: str) -> None:
    found = _answer(context, vm, entries.OPEN_TEAM, context.now)
    assert found == answer, found


@behave.when('"{vm}" was paused for {seconds:d} seconds')
def step_paused(context: Context, vm: str, seconds: int) -> None:
    context.asked_before = time.monotonic()
    context.now = time.monotonic() + seconds
    context.cell.entries[vm].freshness.tick(context.now)


@behave.when('"{vm}" has had no contact since')
def step_none_since(context: Context, vm: str) -> None:
    pass


@behave.when('"{vm}" got an answer to a call made {when} the pause')
def step_answer(context: Context, vm: str, when: str) -> None:
    asked_at = context.now if when == "after" else context.asked_before
    entry = context.cell.entries[vm]
    entry.freshness.record_store_contact(asked_at)
    for name in ("north", "middle"):
        entry.freshness.record_peer_contact(f"entry-{name}", asked_at)


@behave.when('an operator at "{vm}" takes "{centre}" out')
def step_take_out(context: Context, vm: str, centre: str) -> None:
    edit = configuration.TakeOut(centre, utils.new_identifier())
    _change(context, vm, edit)


@behave.when('an operator at "{vm}" puts "{centre}" back')
def step_put_back(context: Context, vm: str, centre: str) -> None:
    outcome = _change(context, vm, configuration.PutBack(centre))
    assert isinstance(outcome, control.Pending) and outcome.recorded


@behave.when('{count:d} tasks are submitted at "{vm}" and rounds pass')
def step_tasks(context: Context, count: int, vm: str) -> None:
    context.started = {
        name: sum(each.executed.values())
        for name, each in context.cell.workers.items()
    }
    context.tasks = context.cell.submit(vm, count, run_seconds=0.01)
    for _ in range(8):
        for name, entry in context.cell.entries.items():
            context.cell.run_control_loops(name)
            context.cell.run_tasks(name, 1)
            entry.control_loops.adopt()
            gevent.sleep(0.01)
            context.cell.run_tasks(name, 1)
            entry.execution.settle(time.monotonic())


def _started(context: Context, centre: str) -> int:
    name = f"worker-{centre}"
    now = sum(context.cell.workers[name].executed.values())
    return int(now - context.started[name])


@behave.then('no task was started in "{centre}" and the others run them')
def step_none_started(context: Context, centre: str) -> None:
    assert _started(context, centre) == 0
    others = sum(_started(context, name) for name in ("north", "middle"))
    assert others == len(context.tasks), others


@behave.then('tasks were started in "{centre}"')
def step_started(context: Context, centre: str) -> None:
    assert _started(context, centre) == len(context.tasks)


@behave.then('"{centre}" is out at "{names}"')
def step_out(context: Context, centre: str, names: str) -> None:
    for vm in names.split(","):
        entry = context.cell.entries[vm]
        assert centre in entry.in_force.data_centres_out, vm


@behave.when(
    '"{vm}" is in contact with "{heard}" but not with the table service'
)
def step_gossips(context: Context, vm: str, heard: str) -> None:
    for name in heard.split(","):
        context.cell.entries[vm].freshness.record_peer_contact(
            name, context.now
        )


@behave.given(
    '"c" in "south" knows "a1" and "a2" in "north" and is in contact with '
    '"{heard}"'
)
def step_two_in_north(context: Context, heard: str) -> None:
    context.freshness = freshness.Freshness(1_000.0, 300.0, 0.0)
    context.freshness.record_store_contact(0.0)
    for vm in heard.split(","):
        context.freshness.record_peer_contact(vm, 400.0)


@behave.then('keyed work at "c" is "{answer}" after the grace period')
def step_after_grace(context: Context, answer: str) -> None:
    members = frozenset({"a1", "a2", "c"})
    decision = context.freshness.decide("c", members, 401.0)
    refused = isinstance(decision, codes.Refused)
    name = decision.code.name if refused else "taken"
    assert name == answer, decision


@behave.then('a start at "{vm}" is "{answer}"')
def step_start_at(context: Context, vm: str, answer: str) -> None:
    entry = context.cell.entries[vm]
    refused = entry.check_start("tally", time.monotonic())
    found = refused.code.name if refused else "taken"
    assert found == answer, refused
