"""Steps for workers that have ended, and for unanswered starts."""

import typing as t
from unittest import mock

import behave
import gevent

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import listings
from agaterudder.jobs import orders
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from agaterudder.jobs import workerregistry
from agaterudder import resources
from tests import job_builders
from tests import memory_store
from tests import pool_fakes

Context = t.Any
LEASE_SECONDS = 6.0
FIRST = "00000000000000aa"


def _only_run(context: Context) -> runs.Run:
    (run,) = (
        run
        for worker in context.state.workers.values()
        for run in worker.runs.values()
    )
    return run


def _poll_unanswered(context: Context, answer: t.Any, reason: str) -> None:
    """Let the loop of the run's worker poll it once, in vain.

    :param reason: why the worker has ended by the list of machines.
    """
    worker = context.run.worker
    worker.link = pool_fakes.FakeLink([answer])
    holder = pool_fakes.FakeHolder(context.state)
    holder.reason = reason
    loop = workerloop.WorkerLoop(worker, t.cast(t.Any, holder), LEASE_SECONDS)
    with (
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(workerloop.gevent, "sleep", lambda _: None),
    ):
        loop._poll()


def _registry(context: Context) -> workerregistry.WorkerRegistry:
    return workerregistry.WorkerRegistry(
        job_builders.context(context.state, memory_store.MemoryStore()),
        mock.Mock(),
        mock.Mock(),
        mock.Mock(),
        LEASE_SECONDS,
        mock.Mock(),
    )


@behave.when("its worker is not run by any machine")
def step_no_machine(context: Context) -> None:
    _poll_unanswered(context, ports.NoAnswer("reset"), "no machine runs it")


@behave.when("its worker is replaced at its address")
def step_replaced(context: Context) -> None:
    other = ports.Rejected(ports.REJECTED_OTHER_INCARNATION)
    _poll_unanswered(context, other, "")


@behave.when("all progress is stored")
def step_all_stored(context: Context) -> None:
    journal = context.state.journal
    journal.stored = journal.marked


@behave.when("its worker was moved to standby")
def step_moved(context: Context) -> None:
    _registry(context).mark_worker_terminated(
        context.run.worker, "moved to standby"
    )


@behave.when("its worker answers no poll, and its lease has lapsed")
def step_lapsed(context: Context) -> None:
    context.run.worker.unanswered_since = context.now
    context.now += LEASE_SECONDS + 1.0
    _poll_unanswered(context, ports.NoAnswer("time-out"), "")
    assert not context.run.worker.fenced


@behave.when(
    "{seconds:g} seconds later it is registered under its name as a new one"
)
def step_registered_anew(context: Context, seconds: float) -> None:
    context.now += seconds
    name = context.run.worker.name
    del context.state.workers[name]
    registration = job_builders.registration(name, incarnation=2)
    with (
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(workerloop.WorkerLoop, "start", lambda _: None),
    ):
        context.returned = _registry(context)._add_worker(registration)


@behave.when("{seconds:g} seconds later it lists a new incarnation")
def step_lists_anew(context: Context, seconds: float) -> None:
    context.now += seconds
    _list_incarnation(context, 2)


@behave.when("{seconds:g} seconds later it lists a third incarnation")
def step_lists_third(context: Context, seconds: float) -> None:
    context.now += seconds
    context.orders.clear()
    _list_incarnation(context, 3)


def _list_incarnation(context: Context, incarnation: int) -> None:
    """Let the worker of the run list no runs as an incarnation."""
    context.returned = context.run.worker
    listings.apply(
        context.state,
        context.returned,
        job_builders.listing(incarnation=incarnation),
        context.now,
        context.now,
    )


@behave.when(
    "{seconds:g} seconds later it is registered with a new incarnation"
)
def step_registered_incarnation(context: Context, seconds: float) -> None:
    context.now += seconds
    worker = context.returned = context.run.worker
    registration = job_builders.registration(worker.name, incarnation=2)
    with mock.patch.object(clock, "now", lambda: context.now):
        _registry(context)._update_worker(worker, registration)


@behave.when("the worker answers a stop as another incarnation")
def step_stop_superseded(context: Context) -> None:
    workerends.superseded(context.state, context.run, context.now)


@behave.when("the new incarnation answers a stop and lists no runs")
def step_new_stopped(context: Context) -> None:
    (run,) = context.returned.runs.values()
    run.stop_answered_at = context.now
    context.now += 1.0
    _list_incarnation(context, 2)
    assert not context.returned.runs


@behave.then("{count:d} late starts are stopped")
@behave.then("{count:d} late starts are stopped")
def step_late_starts(context: Context, count: int) -> None:
    stopped = [
        order.run.number
        for order in context.orders
        if isinstance(order, orders.Stop)
        and order.run.worker is context.returned
    ]
    assert stopped == [context.run.number] * count, stopped


@behave.when(
    "the pool is planned {rounds:d} times after {answered:d} answered polls"
)
def step_planned_after(context: Context, rounds: int, answered: int) -> None:
    for _ in range(answered):
        context.execute_steps("When the worker lists no runs")
    for _ in range(rounds):
        context.execute_steps("When the pool is planned")


@behave.when("the loop runs for {seconds:g} seconds with an idle worker")
def step_idle_loop(context: Context, seconds: float) -> None:
    context.polls = 0
    context.until = seconds
    context.waited = 0.0

    def wait(timeout: float) -> bool:
        context.waited += timeout
        if context.waited > context.until:
            raise gevent.GreenletExit
        return False

    poll = context.loop._poll

    def count_poll() -> None:
        context.polls += 1
        poll()

    context.event = mock.Mock(wait=wait, set=lambda: None)
    with mock.patch.object(
        workerloop.WorkerLoop, "_poll", lambda _: count_poll()
    ):
        context.loop._wake = context.event
        try:
            context.loop._run()
        except gevent.GreenletExit:
            pass


@behave.when("a start that was given up may arrive")
def step_start_may_arrive(context: Context) -> None:
    now = job_builders.START + 2 * fleet.MAX_ORDER_DELAY_SECONDS
    context.sent_at = now
    run = runs.Run(
        f"{FIRST}.0.0.0", None, 1, context.worker, now, resources.ZERO
    )
    workerends.remove_run(context.state, run, "stop answered", now)


@behave.when("orders of the earlier holder may arrive")
def step_orders_may_arrive(context: Context) -> None:
    context.sent_at = job_builders.START


@behave.then("the worker is polled without a pause for {seconds:g} seconds")
def step_no_pause(context: Context, seconds: float) -> None:
    assert not context.loop._idle(context.sent_at + seconds - 0.1)
    assert context.loop._idle(context.sent_at + seconds + 0.1)


@behave.when("the loop is woken")
def step_woken(context: Context) -> None:
    woken = iter([True])

    def wait(timeout: float) -> bool:
        if not next(woken, False):
            raise gevent.GreenletExit
        return True

    def count_poll() -> None:
        context.polls += 1

    context.loop._wake = mock.Mock(wait=wait)
    with mock.patch.object(
        workerloop.WorkerLoop, "_poll", lambda _: count_poll()
    ):
        try:
            context.loop._run()
        except gevent.GreenletExit:
            pass


@behave.then("the worker was polled {count:d} times")
def step_polled(context: Context, count: int) -> None:
    assert context.polls == count, context.polls


@behave.when("the worker moves to another address while its old one is polled")
def step_moves_address(context: Context) -> None:
    other = ports.Rejected(ports.REJECTED_OTHER_INCARNATION)

    def exchange() -> None:
        context.worker.link = mock.Mock()

    context.link.answers = [other]
    context.link.on_renew = exchange
    context.loop._poll()


@behave.then("the worker is still registered")
def step_registered(context: Context) -> None:
    assert context.worker.registered


@behave.when("none of the starts gets an answer")
def step_no_answers(context: Context) -> None:
    for worker in context.state.workers.values():
        for run in worker.runs.values():
            runstarts.unanswered(context.state, run, "time-out", context.now)


@behave.when("its team cancels the job")
def step_cancelled(context: Context) -> None:
    context.state.cancel(FIRST, 0.0)


@behave.when("all workers restart")
def step_workers_restart(context: Context) -> None:
    for worker in context.state.workers.values():
        workerends.restarted(context.state, worker, 1, context.now)


@behave.when("nothing else happens")
def step_nothing(context: Context) -> None:
    assert context.state.jobs


@behave.when("its worker ends before the start is sent")
def step_ends_before(context: Context) -> None:
    (start,) = (o for o in context.orders if isinstance(o, orders.Start))
    worker = start.run.worker
    workerends.lost(context.state, worker, "gone", context.now, ended=True)
    context.link = mock.Mock()
    pool_fakes.executor(context.state, context.link)._start_run(start)


@behave.then("the start is not sent")
def step_start_not_sent(context: Context) -> None:
    context.link.start.assert_not_called()


@behave.when("the worker restarts while it is told to stop the run")
def step_restarts_in_stop(context: Context) -> None:
    run = context.run = _only_run(context)
    run.require_stop("by the test")

    def stop(*_: t.Any) -> ports.Done:
        workerends.restarted(context.state, run.worker, 2, context.now)
        return ports.Done()

    link = mock.Mock(stop=stop)
    pool_fakes.executor(context.state, link)._stop_run(run)


@behave.then("the stop does not count as answered")
def step_stop_not_answered(context: Context) -> None:
    assert not context.run.stop_answered_at


@behave.when("the start is not sent, as the connection was refused")
def step_refused(context: Context) -> None:
    run = _only_run(context)
    reason = f"{runstarts.NOT_SENT}connection refused"
    runstarts.rejected(context.state, run, reason, context.now)
