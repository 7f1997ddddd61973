"""Steps for entry processes that the test drives explicitly."""

import itertools
import random
import re
import time
import typing as t

import behave
import gevent

from agaterudder import codes
from agaterudder import configuration
from agaterudder import escrow
from agaterudder import grants
from agaterudder import resources
from agaterudder import store
from standins import platform
from tests import cell
from tests import fakes

Context = t.Any
SEED = 20261204
ADOPTION_SECONDS = 2.5
WRITE_DELAY_SECONDS = 0.02


def _assurances(tasks: int) -> str:
    return (
        f"team.tally = {{ share = 1, tasks = {tasks} }}  # Ane\n"
        "team.grants = { share = 1, tasks = 50 }  # Ane\n"
        "pool.count = { out = 1 }  # Bo\n"
        'queue.open-counts = { pool = "count", open = true }  # Bo\n'
    )


@behave.given('entry VMs {names} in "{centre}" with {count:d} workers')
def step_cell(context: Context, names: str, centre: str, count: int) -> None:
    vms = re.findall(r'"([\w-]+)"', names)
    context.cell = cell.Cell(
        dict.fromkeys(vms, centre),
        {f"w{n}": centre for n in range(count)},
        _assurances(50),
    )
    context.generator = random.Random(SEED)


@behave.given('entry VMs in data centres "{centres}" with a worker each')
def step_centres(context: Context, centres: str) -> None:
    names = centres.split(",")
    context.cell = cell.Cell(
        {f"entry-{name}": name for name in names},
        {f"worker-{name}": name for name in names},
        _assurances(50),
    )


@behave.given('team "{team}" may run {count:d} tasks')
@behave.when('an operator lowers the limit of "{team}" to {count:d} tasks')
def step_limit(context: Context, team: str, count: int) -> None:
    first = next(iter(context.cell.entries.values()))
    edit = configuration.ReplaceAssurances(
        _assurances(count), first.in_force.version
    )
    first.control.change(edit, "ane", time.time(), 0.0)
    context.cell.gossip()


@behave.when("{count:d} tasks of {seconds:g} seconds are submitted to {names}")
def step_submit(
    context: Context, count: int, seconds: float, names: str
) -> None:
    context.tasks = []
    for vm in re.findall(r'"([\w-]+)"', names):
        context.tasks += context.cell.submit(
            vm, count, run_seconds=seconds, repeatable=True
        )


@behave.when("both have run {turns:d} scheduling rounds")
def step_turns(context: Context, turns: int) -> None:
    for _ in range(turns):
        for vm in context.cell.entries:
            context.cell.run_tasks(vm, 1)
        context.cell.gossip()
        assert context.cell.running() <= 6


@behave.when('"{vm}" has done {rounds:d} rounds of all periodic work')
def step_rounds_of(context: Context, vm: str, rounds: int) -> None:
    for _ in range(rounds):
        context.cell.run_control_loops(vm)
        context.cell.entries[vm].control_loops.adopt()
        gevent.sleep(0.01)
        context.cell.run_tasks(vm, 1)


@behave.when('the table service is down for "{vm}"')
def step_down(context: Context, vm: str) -> None:
    context.cell.transports[vm].partitioned = True


@behave.when("answers of the table service are lost at random")
def step_lost(context: Context) -> None:
    for transport in context.cell.transports.values():
        transport.faults = fakes.random_faults(context.generator, 300, 0.3)


@behave.when("starts on the workers get no answer at random")
def step_starts_lost(context: Context) -> None:
    for transports in context.cell.worker_transports.values():
        for transport in transports:
            transport.faults = fakes.random_faults(context.generator, 300, 0.3)


@behave.when('the process on "{vm}" is killed and starts again')
def step_restart(context: Context, vm: str) -> None:
    context.cell.kill(vm)
    context.cell.start(vm)
    context.cell.submit(vm, 10, run_seconds=60.0, repeatable=True)


@behave.when('"{vm}" is killed and the platform says it is gone')
def step_gone(context: Context, vm: str) -> None:
    context.cell.kill(vm)
    context.cell.report_gone(vm)


@behave.when('the workers\' leases of "{vm}" expire')
def step_expire(context: Context, vm: str) -> None:
    context.cell.clock_offset += cell.LEASE_SECONDS + 1
    context.cell.running()
    for entry in context.cell.entries.values():
        entry.gone_at[vm] -= 2 * cell.LEASE_SECONDS


@behave.when("running tasks finish")
def step_end(context: Context) -> None:
    gevent.sleep(0.1)
    for vm in context.cell.entries:
        for name in context.cell.workers:
            context.cell.entries[vm].execution.leases.renew(name)


@behave.given('"a" holds a grant and is listed as {listed}')
def step_holds(context: Context, listed: str) -> None:
    amount = resources.Vector(0.0, 0.0, 0.0, 2.0)
    context.limit_row = escrow.LimitRow(resources.UNLIMITED, 1, {"a": amount})
    context.gone_at = 100.0 if listed == "gone" else None


@behave.when("{percent:d} % of its lease duration has passed")
def step_passed(context: Context, percent: int) -> None:
    seconds = cell.LEASE_SECONDS * percent / 100
    context.after = escrow.reclaimed(
        context.limit_row,
        "a",
        context.gone_at,
        cell.LEASE_SECONDS,
        100.0 + seconds,
    )


@behave.then("reclaiming the grant is {answer}")
def step_reclaiming(context: Context, answer: str) -> None:
    allowed = isinstance(context.after, escrow.LimitRow)
    assert allowed == (answer == "allowed"), context.after
    if isinstance(context.after, escrow.LimitRow):
        assert "a" not in context.after.grants


@behave.then("at least {count:d} tasks were started in all")
def step_started_in_all(context: Context, count: int) -> None:
    workers = context.cell.workers.values()
    started = sum(sum(each.executed.values()) for each in workers)
    assert started >= count, started


@behave.then("at most {most:d} tasks are running and at least {least:d} are")
def step_running(context: Context, most: int, least: int) -> None:
    running = context.cell.running()
    assert least <= running <= most, running


class _InterceptingTransport(fakes.PlatformTransport):
    """Calls a function before each write takes effect."""

    def __init__(
        self, target: platform.Platform, before_write: t.Callable[[], None]
    ) -> None:
        super().__init__(target)
        self._before_write = before_write

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """See :class:`agaterudder.store.Transport`."""
        if method == "POST":
            self._before_write()
        return super().call(method, path, body, headers)


def _slow_transport(target: platform.Platform) -> _InterceptingTransport:
    """Return a transport that yields to other greenlets before each write."""
    return _InterceptingTransport(
        target, lambda: gevent.sleep(WRITE_DELAY_SECONDS)
    )


def _tasks(count: float) -> resources.Vector:
    return resources.Vector(0.0, 0.0, 0.0, count)


def _contended_transport(
    target: platform.Platform, teams: list[str]
) -> _InterceptingTransport:
    """Return a transport before whose writes another VM changes one row."""
    other = grants.Grants(
        "b", store.Store(fakes.PlatformTransport(target), 0.0)
    )
    turns = itertools.cycle(teams)

    def change_row() -> None:
        limit = grants.TeamLimit(_tasks(600.0), 1)
        request = escrow.GrantRequest(_tasks(1.0), _tasks(1.0))
        other.enlarge(next(turns), request, limit)

    return _InterceptingTransport(target, change_row)


@behave.given(
    '{count:d} rows with a grant of VM "a", '
    "one of which changes before each write"
)
def step_contended_rows(context: Context, count: int) -> None:
    target = platform.Platform([], 0.0)
    before = grants.Grants(
        "a", store.Store(fakes.PlatformTransport(target), 0.0)
    )
    context.teams = [f"team-{number}" for number in range(count)]
    request = escrow.GrantRequest(_tasks(2.0), _tasks(2.0))
    for team in context.teams:
        limit = grants.TeamLimit(_tasks(600.0), 1)
        assert before.enlarge(team, request, limit) is None
    later = [*context.teams[1:], context.teams[0]]
    context.grants = grants.Grants(
        "a", store.Store(_contended_transport(target, later), 0.0)
    )


@behave.when('VM "a" restores its grants {times:d} times')
def step_restores(context: Context, times: int) -> None:
    for _ in range(times):
        context.grants.restore()


@behave.then("all its grants are restored")
def step_all_restored(context: Context) -> None:
    assert context.grants.restored
    for team in context.teams:
        assert context.grants.local_grant(team).reserved == _tasks(2.0)


@behave.given("a VM with a grant of 4 out of 6 in the row")
def step_holds_four(context: Context) -> None:
    context.platform = platform.Platform([], 0.0)
    context.slow = store.Store(_slow_transport(context.platform), 0.0)
    context.grants = grants.Grants("a", context.slow)
    context.limit = grants.TeamLimit(_tasks(6.0), 1)
    request = escrow.GrantRequest(_tasks(4.0), _tasks(4.0))
    assert context.grants.enlarge("tally", request, context.limit) is None
    other = grants.Grants("b", context.slow)
    request = escrow.GrantRequest(_tasks(1.0), _tasks(1.0))
    assert other.enlarge("tally", request, context.limit) is None


@behave.when("it returns 3 and adopts 1 from another VM at the same time")
def step_both(context: Context) -> None:
    back = gevent.spawn(
        context.grants.return_grant, "tally", _tasks(3.0), context.limit
    )
    gevent.sleep(0.01)
    fast = store.Store(fakes.PlatformTransport(context.platform), 0.0)
    context.grants._store = fast
    adopt = gevent.spawn(
        context.grants.adopt, "tally", "b", _tasks(1.0), context.limit
    )
    gevent.joinall([back, adopt])


@behave.then("its local grant is at most that in the row")
def step_no_more(context: Context) -> None:
    row = context.slow.read("limits/tally", escrow.LimitRow)
    held = context.grants.local_grant("tally").grant
    assert held.fits_in(row.value.grants["a"]), (held, row.value)


@behave.when('"b" can take over grants only {when}')
def step_take_over(context: Context, when: str) -> None:
    refusals = {"at once": 0, "at the 3rd time": 2, "never": 1_000}[when]
    entry = context.cell.entries["b"]
    held = entry.execution.held_grants
    entry.adopter._lease_expiry_seconds = 2.0
    entry.execution.starter.stopping = True
    original = held._change
    refusals_left = [refusals]

    def change(team: str, limit: t.Any, edit: t.Any) -> t.Any:
        if "moved" in edit.__qualname__ and refusals_left[0] > 0:
            refusals_left[0] -= 1
            return codes.Refused(codes.Result.CONFLICT, "a fake conflict")
        return original(team, limit, edit)

    context.cleanups.append(_replace_change(change))


def _replace_change(change: t.Any) -> t.Callable[[], None]:
    original = grants.Grants._change
    setattr(
        grants.Grants,
        "_change",
        lambda self, team, limit, edit: change(team, limit, edit),
    )
    return lambda: setattr(grants.Grants, "_change", original)


@behave.then("{count:d} adopted tasks are running and none is lost")
def step_adopted(context: Context, count: int) -> None:
    gevent.sleep(ADOPTION_SECONDS)
    assert context.cell.running() == count, context.cell.running()
    for name in context.tasks:
        state = context.cell.task(name).state.value
        assert state == ("running" if count else "waiting"), state
