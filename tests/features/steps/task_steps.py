"""Steps on tasks under faults, run in :mod:`tests.cell`."""

import re
import time
import typing as t
from unittest import mock

import behave
import gevent

from agaterudder import batches
from agaterudder import codes
from agaterudder import configuration
from agaterudder import requests
from agaterudder import resources
from agaterudder import tasks
from agaterudder import workers
from tests import builders
from tests import cell
from tests import fakes

Context = t.Any


def _submit(
    context: Context, vm: str, count: int, **fields: t.Any
) -> list[str]:
    submitted = context.cell.submit(vm, count, **fields)
    context.tasks = getattr(context, "tasks", []) + submitted
    return submitted


@behave.when(
    "{count:d} tasks of {seconds:g} seconds that {may} be repeated are "
    'submitted to "{vm}"'
)
def step_submit(
    context: Context, count: int, seconds: float, may: str, vm: str
) -> None:
    context.repeatable = may == "may"
    _submit(
        context,
        vm,
        count,
        run_seconds=seconds,
        repeatable=context.repeatable,
    )


@behave.when("nothing happens")
def step_nothing(context: Context) -> None:
    pass


@behave.when('"{vm}" is killed before any start')
def step_killed_before(context: Context, vm: str) -> None:
    context.cell.kill(vm)
    context.cell.report_gone(vm)


@behave.when('"{vm}" is killed while tasks run')
def step_killed_running(context: Context, vm: str) -> None:
    context.cell.run_tasks(vm, 2)
    step_killed_before(context, vm)


@behave.when('"{vm}" restarts while tasks run')
def step_restarts(context: Context, vm: str) -> None:
    context.cell.run_tasks(vm, 2)
    context.cell.kill(vm)
    context.cell.start(vm)


@behave.when("starts get no answer at random")
def step_no_answer(context: Context) -> None:
    context.cell.run_tasks("b", 1)
    for name in context.cell.workers:
        context.cell.entries["a"].worker(name)
    for transports in context.cell.worker_transports.values():
        for transport in transports:
            transport.faults = fakes.random_faults(context.generator, 12, 0.4)
    step_rounds(context, 10)
    gevent.sleep(workers.TIMEOUT_SECONDS)


@behave.when('"{vm}" releases its batches')
def step_release(context: Context, vm: str) -> None:
    context.cell.run_tasks(vm, 2)
    context.cell.entries[vm].execution.starter.stopping = True
    context.cell.entries[vm].execution.release_batches()


@behave.when("one worker is cut off while tasks run")
def step_cut(context: Context) -> None:
    context.cell.run_tasks("a", 2)
    for transport in context.cell.worker_transports["w0"]:
        transport.partitioned = True


@behave.when("one worker is cut off until its leases expire")
def step_cut_expire(context: Context) -> None:
    step_cut(context)
    context.cell.clock_offset += 2 * cell.LEASE_SECONDS
    for placement in context.cell.entries["a"].execution.placements.values():
        if placement.worker == "w0":
            placement.last_contact_at -= 2 * cell.LEASE_SECONDS
    for name in context.cell.workers:
        context.cell.entries["a"].execution.leases.renew(name)
    context.cell.entries["a"].execution._outcomes.resolve_expired(
        time.monotonic()
    )


@behave.when('"{vm}" is taken over by "{successor}" while paused')
def step_taken_over(context: Context, vm: str, successor: str) -> None:
    context.cell.run_tasks(vm, 1)
    context.cell.entries[successor].gone_at[vm] = time.monotonic()
    context.cell.platform.vms[vm]["state"] = "gone"
    context.cell.run_control_loops(successor)
    context.cell.entries[successor].control_loops.adopt()
    context.cell.platform.vms[vm]["state"] = "live"
    gevent.sleep(0.02)


@behave.when("answers of the table are lost at random")
def step_table_lost(context: Context) -> None:
    for transport in context.cell.transports.values():
        transport.faults = fakes.random_faults(context.generator, 100, 0.4)


@behave.when("the first worker fails every task")
def step_failing(context: Context) -> None:
    context.cell.workers["w0"].fault = "failing"


@behave.when(
    "the running entry VMs have done {rounds:d} rounds of all periodic work"
)
def step_rounds(context: Context, rounds: int) -> None:
    for _ in range(rounds):
        for vm, entry in list(context.cell.entries.items()):
            context.cell.run_control_loops(vm)
            entry.control_loops.adopt()
            gevent.sleep(0.01)
            context.cell.run_tasks(vm, 1)
            entry.execution.settle(time.monotonic())
        context.cell.gossip()


@behave.then("no task that may not be repeated was started twice")
def step_once(context: Context) -> None:
    if context.repeatable:
        return
    for task in context.tasks:
        assert context.cell.executions(task) <= 1, task


def _recorded(context: Context) -> dict[str, tasks.Task]:
    """Return each task from its owner or else from its row."""
    found: dict[str, tasks.Task] = {}
    for entry in context.cell.entries.values():
        for prefix in (tasks.LIVE_PREFIX, tasks.SETTLED_PREFIX):
            for row in entry.store.scan(prefix, tasks.Batch):
                for task in row.value.tasks if row.value else ():
                    found.setdefault(task.task, task)
        for owned in entry.execution.owned_batches.owned.values():
            found.update({task.task: task for task in owned.batch.tasks})
        return found if len(context.cell.entries) == 1 else found
    return found


@behave.then("every task is settled or waits, and at least {done:d} are done")
def step_settled(context: Context, done: int) -> None:
    found = _recorded(context)
    assert all(task in found for task in context.tasks), "a task is lost"
    states = [found[task].state for task in context.tasks]
    finished = states.count(tasks.State.DONE)
    assert finished >= done, [state.value for state in states]


@behave.when('the same request id is submitted to "a" and to "b"')
def step_same_id(context: Context) -> None:
    context.named = [
        context.cell.submit(vm, 2, request="r1")[0] for vm in ("a", "b")
    ]


@behave.then("both answers name the same task")
def step_same_task(context: Context) -> None:
    first, second = context.named
    assert first and first == second, context.named
    assert len(_recorded(context)) <= 2


@behave.when('a task is submitted to "{vm}"')
def step_submit_one(context: Context, vm: str) -> None:
    owned = context.cell.entries[vm].execution.owned_batches
    context.rows = dict(context.cell.platform.rows)
    call = gevent.spawn(owned.submit, builders.task(""))
    gevent.sleep(0)
    owned._commit([owned._pending.get_nowait()])
    context.outcome = call.get()


@behave.then("it is refused as not run and no row was written")
def step_refused(context: Context) -> None:
    assert isinstance(context.outcome, codes.Refused), context.outcome
    assert context.outcome.not_run, context.outcome
    assert context.cell.platform.rows == context.rows


@behave.when('every task of "{vm}" is cancelled')
def step_cancel(context: Context, vm: str) -> None:
    execution = context.cell.entries[vm].execution
    for name in context.tasks:
        execution.cancel(execution.owned_batches.find(name), time.monotonic())
    context.writes = execution.owned_batches.writes


@behave.then("every task has ended")
def step_ended(context: Context) -> None:
    found = _recorded(context)
    for name in context.tasks:
        assert found[name].state in tasks.SETTLED, found[name]
    assert context.cell.running() == 0


@behave.then("{least:d} to {most:d} writes to the table settled them")
def step_writes(context: Context, least: int, most: int) -> None:
    owned = context.cell.entries["a"].execution.owned_batches
    assert least <= owned.writes - context.writes <= most, owned.writes


@behave.when(
    '{count:d} long tasks that fill every worker are submitted to "{vm}"'
)
def step_long(context: Context, count: int, vm: str) -> None:
    _submit(
        context,
        vm,
        count,
        run_seconds=60.0,
        priority=requests.Priority.LONG,
        size=resources.Vector(4.0, 100.0, 0.0, 1.0),
    )


@behave.when('an urgent task is submitted to "{vm}"')
def step_urgent(context: Context, vm: str) -> None:
    context.urgent = context.cell.submit(
        vm,
        1,
        run_seconds=60.0,
        priority=requests.Priority.URGENT,
        size=resources.Vector(8.0, 100.0, 0.0, 1.0),
    )[0]


@behave.then("the urgent task is running and no long task is lost")
def step_urgent_runs(context: Context) -> None:
    urgent = context.cell.task(context.urgent)
    assert urgent.state is tasks.State.RUNNING, urgent
    states = [context.cell.task(name).state.value for name in context.tasks]
    assert set(states) <= {"running", "waiting"}, states
    assert not re.search("unknown", " ".join(states))


@behave.when(
    "settled tasks are deleted {later:d} seconds later with a retention of "
    "{kept:d}"
)
def step_delete_expired(context: Context, later: int, kept: int) -> None:
    entry = context.cell.entries["a"]
    rows = entry.store.scan(f"{tasks.SETTLED_PREFIX}north/", tasks.Batch)
    wall = max(row.value.settled_at for row in rows) + later
    batches.delete_expired(entry.store, "north", float(kept), wall)


@behave.then("{count:d} settled rows are left")
def step_rows_left(context: Context, count: int) -> None:
    rows = context.cell.platform.rows
    left = [key for key in rows if key.startswith(tasks.SETTLED_PREFIX)]
    assert len(left) == count, left


@behave.given("urgent work is assured to start within 4.4 seconds")
def step_assured(context: Context) -> None:
    entry = context.cell.entries["a"]
    text = entry.in_force.configuration.assurances
    text += "class.urgent = { start_seconds = 4.4 }  # Ane\n"
    edit = configuration.ReplaceAssurances(text, entry.in_force.version)
    entry.control.change(edit, "ane", time.time(), 0.0)


@behave.when('an urgent task submitted {late:d} seconds ago is started on "a"')
def step_started_late(context: Context, late: int) -> None:
    context.urgent = context.cell.submit(
        "a",
        1,
        priority=requests.Priority.URGENT,
        submitted_at=time.time() - late,
    )[0]
    context.cell.run_tasks("a", 3)


@behave.then(
    "{count:d} late starts are counted and explained with their assurance"
)
def step_late(context: Context, count: int) -> None:
    entry = context.cell.entries["a"]
    text = entry.metrics.render()
    assert ("tasks_started_late" in text) == bool(count), text
    lines = entry.decisions.explain("task", context.urgent)
    explained = [line for line in lines if "class.urgent" in line]
    assert len(explained) == count, lines


@behave.when("a worker answers a start with status {status:d}")
def step_start_status(context: Context, status: int) -> None:
    transport = mock.Mock()
    transport.call.return_value = (status, b"")
    start = mock.create_autospec(workers.Start, instance=True)
    with mock.patch.object(workers.msgspec.json, "encode", lambda _: b""):
        context.answer = workers.Worker(transport).start(start)


@behave.then("the start counts as {outcome}")
def step_start_counts(context: Context, outcome: str) -> None:
    assert type(context.answer).__name__ == outcome, context.answer
