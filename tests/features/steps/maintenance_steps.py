"""Steps for availability budgets, maintenance waves and moves."""

import itertools
import time
import typing as t
from unittest import mock

import behave
import gevent
import msgspec

from agaterudder import assurances
from agaterudder import budgets
from agaterudder import codes
from agaterudder import configuration
from agaterudder import exceptions
from agaterudder import execution
from agaterudder import maintenance
from agaterudder import platform
from agaterudder import store
from agaterudder import vmsteps
from agaterudder import waves
from tests import builders
from tests import fakes

Context = t.Any
YIELD_SECONDS = 0.001
POOLS = (
    "pool.report = {{ out = 2 }}  # Bo\npool.spare = {{ out = 2 }}  # Bo\n"
    "pool.count = {{ {budget} }}  # Bo\n"
    "team.tally = {{ share = 1 }}  # Ane\n"
)


@behave.given("a pool of 6 VMs in 3 racks of 2")
def step_pool(context: Context) -> None:
    context.vms = [builders.vm(f"w{n}", rack=f"r{n // 2}") for n in range(6)]


@behave.given(
    "{down:d} are down, {leaving:d} are leaving and {missing:d} are missing"
)
def step_states(
    context: Context, down: int, leaving: int, missing: int
) -> None:
    states = [
        *itertools.repeat(platform.VmState.DOWN, down + missing),
        *itertools.repeat(platform.VmState.LEAVING, leaving),
    ]
    for place, state in enumerate(states):
        context.vms[place] = builders.vm(
            f"w{place}", rack=f"r{place // 2}", state=state
        )


@behave.when('a step requests one more VM of rack "{rack}" under "{budget}"')
def step_request(context: Context, rack: str, budget: str) -> None:
    text = POOLS.format(budget=budget)
    parsed = assurances.parse(text)
    assert not parsed.faults, parsed.faults
    view = budgets.view(context.vms, budgets.Budget(), frozenset())
    candidate = [vm for vm in context.vms if vm.rack == rack][-1]
    context.answer = budgets.decide(parsed.pools["count"], view, candidate)


@behave.then('the answer is "{answer}"')
def step_answer(context: Context, answer: str) -> None:
    if answer == "allowed":
        assert isinstance(context.answer, budgets.Allowed), context.answer
        return
    assert isinstance(context.answer, codes.Refused), context.answer
    assert context.answer.reason.startswith(f"{answer}:"), context.answer


@behave.given('pool "count" allows {out:d} out')
def step_allows(context: Context, out: int) -> None:
    first = context.cell.entries["a"]
    edit = configuration.ReplaceAssurances(
        POOLS.format(budget=f"out = {out}"), first.in_force.version
    )
    first.control.change(edit, "ane", time.time(), 0.0)
    context.cell.gossip()
    context.out = out
    context.max_out = 0
    context.own_faults = 0
    context.wall = time.time()
    context.platform = context.cell.platform
    for _ in range(2):
        _run_pass(context)


def _count_out(context: Context) -> int:
    """Return how many VMs of pool count the platform has out of service."""
    return sum(
        vm["state"] != "live"
        for vm in context.platform.vms.values()
        if vm["role"] == "worker" and vm["pool"] == "count"
    )


def _run_pass(context: Context) -> None:
    for vm, entry in list(context.cell.entries.items()):
        try:
            entry.control_loops.read_list()
            entry.maintenance.reconcile(
                entry.vms,
                entry.in_force.assurances,
                entry.in_force.data_centres_out,
                True,
                context.wall,
            )
        except exceptions.StoreUnavailable:
            pass
        # sleep(0) runs callbacks only, but a reboot ends by a timer.
        gevent.sleep(YIELD_SECONDS)
        context.max_out = max(context.max_out, _count_out(context))
    after_reboot = getattr(context, "after_reboot", None)
    if after_reboot:
        after_reboot()


@behave.when('a roll-out of pool "count" is begun')
def step_roll_out(context: Context) -> None:
    entry = context.cell.entries["a"]
    wave = entry.maintenance.roll_out(
        "count", "ane", entry.maintenance_snapshot()
    )
    assert isinstance(wave, waves.Wave), wave
    context.wave = wave.wave


def _wave(context: Context) -> waves.Wave:
    entry = next(iter(context.cell.entries.values()))
    return entry.maintenance.read_wave(context.wave)


@behave.when("both coordinators run up to {passes:d} passes")
def step_run_passes(context: Context, passes: int) -> None:
    for _ in range(passes):
        _run_pass(context)
        if hasattr(context, "wave") and _wave(context).state == "done":
            return


@behave.when("answers of the platform are lost at random")
def step_answers_lost(context: Context) -> None:
    for transport in context.cell.transports.values():
        transport.faults = fakes.random_faults(context.generator, 300, 0.2)


@behave.when("the first coordinator is killed after {passes:d} passes")
def step_killed(context: Context, passes: int) -> None:
    for _ in range(passes):
        _run_pass(context)
    context.cell.kill("a")


@behave.when("the table service is down for {passes:d} passes")
def step_table_down(context: Context, passes: int) -> None:
    for _ in range(3):
        _run_pass(context)
    context.platform.faults.down = True
    for _ in range(passes):
        _run_pass(context)
    context.platform.faults.down = False
    for entry in context.cell.entries.values():
        entry.store._unavailable_until = 0.0


@behave.then("the budget held after every pass")
def step_budget_held(context: Context) -> None:
    assert context.max_out <= context.out, context.max_out
    assert context.max_out >= 1, "nothing was taken out"


@behave.then("every VM was rebooted at least once and serves again")
def step_rebooted(context: Context) -> None:
    for vm in context.platform.vms.values():
        if vm["role"] == "worker":
            assert vm.get("reboots", 0) >= 1, vm
            assert vm["state"] == "live", vm


@behave.then('the wave is "{state}"')
def step_wave(context: Context, state: str) -> None:
    wave = _wave(context)
    assert wave.state == state, wave


@behave.when("VMs fail after their reboot")
def step_fail_after(context: Context) -> None:
    def fail() -> None:
        entry = next(iter(context.cell.entries.values()))
        for vm in context.platform.vms.values():
            if vm.get("reboots") and vm["state"] == "live":
                record = entry.maintenance.steps.read_record("north", vm["vm"])
                if record is not None and record.state == "serving":
                    vm["state"] = "down"

    context.after_reboot = fail


@behave.then("at most {count:d} VMs were rebooted")
def step_rebooted_at_most(context: Context, count: int) -> None:
    rebooted = [
        vm for vm in context.platform.vms.values() if vm.get("reboots")
    ]
    assert 1 <= len(rebooted) <= count, len(rebooted)


@behave.when("the failed VMs come back and the pause has passed")
def step_come_back(context: Context) -> None:
    context.after_reboot = None
    for vm in context.platform.vms.values():
        vm["state"] = "live"
    context.wall += waves.PAUSE_SECONDS + 1


@behave.when('a step drains "{vm}" while it still runs a task')
def step_drain(context: Context, vm: str) -> None:
    entry = context.cell.entries["a"]
    for name in context.cell.entries:
        context.cell.entries[name].maintenance.steps._empty = lambda _: False
    refused = entry.maintenance.steps.begin(
        vm, vmsteps.MAINTAIN, "", "", entry.maintenance_snapshot()
    )
    assert refused is None, refused
    _run_pass(context)
    assert context.platform.vms[vm]["state"] == "leaving"


@behave.then("the tasks on draining workers are checkpointed at")
def step_grace_time(context: Context) -> None:
    running = context.cell.entries["a"].execution
    for row in context.table:
        draining = [] if row["draining"] == "none" else [row["draining"]]
        with mock.patch.object(
            execution.Execution, "checkpoint_all", autospec=True
        ) as checkpoint:
            running.evacuate(draining, 100.0 + float(row["second"]))
        expected = row["checkpointed"] == "yes"
        assert checkpoint.called == expected, row["second"]


@behave.when('"{vm}" fails')
def step_fails(context: Context, vm: str) -> None:
    context.platform.vms[vm]["state"] = "down"


@behave.then('"{vm}" serves again without a reboot')
def step_serves(context: Context, vm: str) -> None:
    listed = context.platform.vms[vm]
    assert listed["state"] == "live", listed
    assert not listed.get("reboots"), listed


@behave.when('operators at "a" and "b" move "w0" to "report" and to "spare"')
def step_moves(context: Context) -> None:
    context.moves = []
    for vm, pool in (("a", "report"), ("b", "spare")):
        entry = context.cell.entries[vm]
        context.moves.append(
            entry.maintenance.steps.begin(
                "w0", vmsteps.MOVE, pool, "", entry.maintenance_snapshot()
            )
        )


@behave.then('one move is begun and the other refused with "{code}"')
def step_one_move(context: Context, code: str) -> None:
    first, second = context.moves
    assert first is None, first
    assert isinstance(second, codes.Refused) and second.code.name == code


@behave.when('"a" is killed at a random pass of the move')
def step_killed_at(context: Context) -> None:
    for _ in range(context.generator.randrange(1, 4)):
        _run_pass(context)
    context.cell.kill("a")


@behave.then('"{vm}" is in exactly one pool, "{pool}", and serves')
def step_one_pool(context: Context, vm: str, pool: str) -> None:
    listed = context.platform.vms[vm]
    assert listed["pool"] == pool and listed["state"] == "live", listed
    entry = next(iter(context.cell.entries.values()))
    record = entry.maintenance.steps.read_record("north", vm)
    assert record is not None
    assert record.pool == pool and record.state == "serving", record


@behave.when('the platform assigns "{vm}" to "{pool}" by a delayed call')
def step_delayed_assignment(context: Context, vm: str, pool: str) -> None:
    context.platform.vms[vm]["pool"] = pool


@behave.then('no process gives "{vm}" work')
def step_no_work(context: Context, vm: str) -> None:
    for entry in context.cell.entries.values():
        entry.control_loops.read_list()
        entry.maintenance.reconcile(
            entry.vms,
            entry.in_force.assurances,
            frozenset(),
            False,
            context.wall,
        )
        entry.fleet.cordon(entry.maintenance.cordoned())
        usable = [
            view.vm.vm
            for pool in ("count", "report", "spare")
            for view in entry.fleet.usable(pool, time.monotonic())
        ]
        assert vm not in usable, usable


@behave.given(
    'pool "count" allows 2 out and "spare", with 2 of the VMs, is the buffer'
)
def step_buffer(context: Context) -> None:
    for vm in ("w4", "w5"):
        context.cell.platform.vms[vm]["pool"] = "spare"
    step_allows(context, 2)
    first = context.cell.entries["a"]
    text = first.in_force.configuration.assurances.replace(
        "pool.spare = { out = 2 }", "pool.spare = { out = 2, buffer = true }"
    )
    edit = configuration.ReplaceAssurances(text, first.in_force.version)
    first.control.change(edit, "ane", time.time(), 0.0)
    context.cell.gossip()
    context.now = 0.0
    context.pool_changes = 0
    context.listed_pools = _pools(context)


def _pools(context: Context) -> dict[str, str]:
    return {
        vm["vm"]: vm["pool"]
        for vm in context.cell.platform.vms.values()
        if vm["role"] == "worker"
    }


@behave.when('pool "{pool}" needs {needed:g} VMs for {seconds:d} seconds')
def step_needs(
    context: Context, pool: str, needed: float, seconds: int
) -> None:
    entry = context.cell.entries["a"]
    until = context.now + seconds
    while context.now < until:
        context.now += 1.0
        _run_pass(context)
        entry.maintenance.balance(
            {pool: needed}, {}, entry.maintenance_snapshot(), context.now
        )
        pools = _pools(context)
        context.pool_changes += sum(
            pools[vm] != previous
            for vm, previous in context.listed_pools.items()
        )
        context.listed_pools = pools


@behave.then('pool "{one}" has {count:d} VMs and "{two}" has {rest:d}')
def step_sizes(
    context: Context, one: str, count: int, two: str, rest: int
) -> None:
    pools = list(_pools(context).values())
    assert (pools.count(one), pools.count(two)) == (count, rest), pools


@behave.then("{count:d} moves were made in total")
def step_moves_made(context: Context, count: int) -> None:
    assert context.pool_changes == count, context.pool_changes


@behave.when('"{vm}" was last maintained {days:d} days ago')
def step_maintained_ago(context: Context, vm: str, days: int) -> None:
    entry = context.cell.entries["a"]
    row = entry.store.read(f"{vmsteps.PREFIX}north/{vm}", vmsteps.VmRecord)
    assert row.value is not None
    maintained_at = context.wall - days * maintenance.DAY_SECONDS
    record = msgspec.structs.replace(row.value, maintained_at=maintained_at)
    entry.store.transact([store.replace(row, record)])


@behave.then('"{vm}" was rebooted {times:d} times and the others not')
def step_times(context: Context, vm: str, times: int) -> None:
    for listed in context.platform.vms.values():
        if listed["role"] == "worker":
            expected = times if listed["vm"] == vm else 0
            assert listed.get("reboots", 0) == expected, listed
