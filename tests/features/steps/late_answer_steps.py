"""Steps for answers that were true when they were asked for."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import autoscaler
from agaterudder.jobs import clock
from agaterudder.jobs import listings
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from agaterudder.jobs import workerregistry
from tests import job_builders
from tests import memory_store
from tests import pool_fakes

Context = t.Any
LEASE_SECONDS = 6.0
FIRST_ADDRESS = job_builders.registration().address
OTHER_ADDRESS = "127.0.0.1:10"
# How long an answer is on its way.
DELAY_SECONDS = 0.1
# How much earlier than usual a wave is looked at once more.
SINCE_LAST_SECONDS = 0.3


def _poll_in_vain(
    context: Context,
    worker: t.Any,
    meanwhile: t.Callable[[], None],
    reason: str,
    answer: t.Any = ports.NoAnswer("reset"),
) -> None:
    """Let a worker's loop poll it, in vain.

    :param meanwhile: what happens before it is known whether it has ended.
    :param reason: why the worker has ended by the list of machines.
    :param answer: the answer to the poll.
    """

    def wait() -> None:
        context.now += DELAY_SECONDS
        meanwhile()
        context.now += DELAY_SECONDS

    holder = pool_fakes.FakeHolder(context.state)
    holder.reason = reason
    link = worker.link = pool_fakes.FakeLink([answer])
    if isinstance(answer, ports.Rejected):
        link.on_renew = wait
    else:
        holder.on_list = wait
    loop = workerloop.WorkerLoop(worker, t.cast(t.Any, holder), LEASE_SECONDS)
    loop._wake = mock.Mock()
    with (
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(workerloop.gevent, "sleep", lambda _: None),
    ):
        loop._poll()


@behave.given("a pool with 1 workers whose registration is known")
def step_registered_pool(context: Context) -> None:
    context.execute_steps("Given a pool with 1 workers")
    (worker,) = context.workers
    worker.link = pool_fakes.FakeLink()
    context.cluster = mock.Mock(workers={worker.name: worker.registration})
    context.holder = pool_fakes.FakeHolder(context.state)
    context.store = memory_store.MemoryStore()
    place = (model.HOLDERS_TABLE, job_builders.POOL, model.HOLDER_KEY)
    context.store.rows[place] = (b"", job_builders.EPOCH)
    context.registry = workerregistry.WorkerRegistry(
        job_builders.context(context.state, context.store),
        context.cluster,
        lambda registration: pool_fakes.FakeLink(),
        mock.Mock(),
        LEASE_SECONDS,
        t.cast(t.Any, context.holder),
    )
    context.loop = workerloop.WorkerLoop(
        worker, t.cast(t.Any, context.holder), LEASE_SECONDS
    )


def _register_anew(context: Context, address: str = FIRST_ADDRESS) -> None:
    """Let the worker register as a new incarnation, a moment later."""
    (worker,) = context.workers
    context.now += DELAY_SECONDS
    found = job_builders.registration(
        worker.name, incarnation=2, address=address
    )
    context.cluster.workers = {worker.name: found}
    context.registry.sync_registrations()


def _await_list(context: Context) -> None:
    (worker,) = context.workers
    _poll_in_vain(
        context, worker, lambda: _register_anew(context), machines.NO_MACHINE
    )


def _await_move(context: Context) -> None:
    (worker,) = context.workers
    machine = ports.Machine(
        "m1", job_builders.POOL, ports.MACHINE_UP, "north", worker.name
    )

    def move(*_: t.Any) -> ports.Done:
        _register_anew(context)
        return ports.Done()

    scaler = autoscaler.Autoscaler(
        pool_fakes.FakeScaledHolder(context.state),
        machines.MachineCache(mock.Mock(list=lambda: [machine])),
        t.cast(t.Any, mock.Mock(move=move)),
    )
    scaler._scale_down(worker)
    # The order would be repeated.
    worker.cordon_reason = ""


AWAITED = {
    "the list of machines": _await_list,
    "the answer to the move of its machine to standby": _await_move,
}


@behave.when("it registers as a new incarnation before {answer} arrives")
def step_registers_before(context: Context, answer: str) -> None:
    with (
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(workerloop.WorkerLoop, "start", lambda _: None),
    ):
        AWAITED[answer](context)
        (worker,) = context.workers
        if context.loop._removable():
            context.registry.remove_worker(worker)
        context.now += workerloop.UNREGISTERED_GRACE_SECONDS
        context.registry.sync_registrations()


@behave.when(
    "it registers at another address {when} the list of used workers is"
    " stored"
)
def step_moves_while_stored(context: Context, when: str) -> None:
    transact = context.store.transact

    def store(*arguments: t.Any) -> ports.Outcome:
        context.store.transact = transact
        if when == "while":
            _register_anew(context, OTHER_ADDRESS)
        return t.cast(ports.Outcome, transact(*arguments))

    context.store.transact = store
    with mock.patch.object(clock, "now", lambda: context.now):
        assert context.registry._persist_workers()
        if when == "after":
            _register_anew(context, OTHER_ADDRESS)


@behave.when("the list of used workers is stored once more")
def step_stored_again(context: Context) -> None:
    assert context.registry._persist_workers()


@behave.then("the stored list has its new address")
def step_stored_address(context: Context) -> None:
    row = context.store.read(
        model.HOLDERS_TABLE, job_builders.POOL, workerregistry.WORKERS_KEY
    )
    (known,) = model.decode(row.value, list[workerregistry.KnownWorker])
    assert known.address == OTHER_ADDRESS, known


@behave.when("its new incarnation answers a poll")
def step_polled_anew(context: Context) -> None:
    step_accepted_anew(context)
    for worker in context.state.workers.values():
        worker.persisted = True


@behave.when("its new incarnation has accepted the epoch")
def step_accepted_anew(context: Context) -> None:
    for worker in context.state.workers.values():
        listing = job_builders.listing(incarnation=2)
        listings.apply(
            context.state, worker, listing, context.now, context.now
        )
        context.state.recovery.worker_fenced(worker, context.now)


@behave.when(
    "its worker registers anew {when} the list that shows the maintenance"
)
def step_registers_in_wave(context: Context, when: str) -> None:
    worker = context.holders["one"].worker_state("w-m0")
    if when == "before":
        worker.reset_incarnation(2, context.now - DELAY_SECONDS)
        return
    read = context.store.read

    def read_slowly(*arguments: t.Any) -> t.Any:
        context.store.read = read
        context.now += DELAY_SECONDS
        worker.reset_incarnation(2, context.now)
        return read(*arguments)

    context.store.read = read_slowly


@behave.when(
    "the list is read again while the first machine is ordered once more"
)
def step_list_read_again(context: Context) -> None:
    """Run the maintenance soon, so that the list is still that of before."""
    (found,) = context.maintenance.values()
    maintain = context.machines.maintain

    def read_again(*arguments: t.Any) -> t.Any:
        context.machines.maintain = maintain
        context.now += DELAY_SECONDS
        assert found._machine_cache.refresh(context.now - DELAY_SECONDS / 2)
        return maintain(*arguments)

    context.machines.maintain = read_again
    context.now -= SINCE_LAST_SECONDS
    found.reconcile([context.wave])
    context.now += SINCE_LAST_SECONDS


def _start(context: Context) -> orders.Start:
    (start,) = (o for o in context.orders if isinstance(o, orders.Start))
    return start


def _happen(context: Context, event: str, run: runs.Run) -> None:
    """Let something happen to a run or its worker."""
    other = ports.Rejected(ports.REJECTED_OTHER_INCARNATION)
    refused = ports.NoAnswer("connection refused", may_take_effect=False)
    link = mock.Mock()
    link.start.return_value = ports.Started()
    link.stop.return_value = ports.Done()
    link.throttle.return_value = ports.Done()
    link.renew.return_value = job_builders.listing()
    polled = run.worker.link
    executor = pool_fakes.executor(context.state, link)
    match event:
        case "the worker accepts the start":
            executor._start_run(_start(context))
        case "the worker answers a stop":
            run.require_stop("by the test")
            executor._stop_run(run)
        case "the worker answers a throttle":
            executor._throttle(run, 50)
        case "the worker answers a probe":
            executor._probe(run)
        case "the start stays in flight":
            run.ordered_at = context.now
        case "another worker answers the start":
            link.start.return_value = other
            executor._start_run(_start(context))
        case "the start gets no answer at all":
            link.start.return_value = ports.NoAnswer("time-out")
            executor._start_run(_start(context))
        case "the start's connection is refused":
            link.start.return_value = refused
            executor._start_run(_start(context))
        case "the worker registers anew":
            workerends.restarted(context.state, run.worker, 2, context.now)
        case "nothing, as the start was not sent":
            assert not run.ordered_at
        case _:
            raise AssertionError(event)
    run.worker.link = polled


@behave.when(
    "the list of machines says that its worker has ended; meanwhile {event}"
)
def step_ended_meanwhile(context: Context, event: str) -> None:
    run = _start(context).run
    _poll_in_vain(
        context,
        run.worker,
        lambda: _happen(context, event, run),
        machines.NO_MACHINE,
    )


@behave.when("another worker answers its worker's poll; meanwhile {event}")
def step_replaced_meanwhile(context: Context, event: str) -> None:
    run = _start(context).run
    _poll_in_vain(
        context,
        run.worker,
        lambda: _happen(context, event, run),
        "",
        ports.Rejected(ports.REJECTED_OTHER_INCARNATION),
    )


@behave.when(
    "the start is sent; its worker is found ended, and the start {outcome}"
)
def step_ended_in_flight(context: Context, outcome: str) -> None:
    run = _start(context).run
    answers = {
        "is accepted": ports.Started(),
        "was not sent": ports.NoAnswer("refused", may_take_effect=False),
    }

    def start(*_: t.Any) -> t.Any:
        _poll_in_vain(context, run.worker, lambda: None, machines.NO_MACHINE)
        return answers[outcome]

    with mock.patch.object(clock, "now", lambda: context.now):
        executor = pool_fakes.executor(context.state, mock.Mock(start=start))
        executor._start_run(_start(context))
    assert (run.state is runs.RunState.RUNNING) == (outcome == "is accepted")


@behave.when(
    "a poll gets no answer, and the pool is planned while the list is asked"
    " for"
)
def step_planned_meanwhile(context: Context) -> None:
    (worker,) = context.state.workers.values()

    def plan() -> None:
        context.orders += planning.Plan(context.state, context.now).orders()

    _poll_in_vain(context, worker, plan, "")
