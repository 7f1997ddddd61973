"""Steps for what a new holder of a pool knows of its predecessors."""

import random
import types
import typing as t
from unittest import mock

import behave
import gevent

from agaterudder import escrow
from agaterudder import exceptions
from agaterudder.jobs import autoscaler
from agaterudder.jobs import clock
from agaterudder.jobs import deployment
from agaterudder.jobs import holder as holders
from agaterudder.jobs import inbox
from agaterudder.jobs import leases
from agaterudder.jobs import listings
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import runends
from agaterudder.jobs import runs
from agaterudder.jobs import scaling
from agaterudder.jobs import teamlimits
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from agaterudder.jobs import workerregistry
from agaterudder import metrics
from agaterudder import resources
from tests import job_builders
from tests import memory_store
from tests import pool_fakes

Context = t.Any
MAX_ATTEMPTS = 20
# By the store's clock, and by that of the machine.
FIRST_JOB_AT = 100.0
RECOVERED_AT = 500.0
GRANT = resources.Vector(4.0, 4.0, 4.0, 4.0)
LIMIT = resources.Vector(100.0, 1e12, 1e12, 1e12)


class ContendedStore(memory_store.MemoryStore):
    """A store in which another pool changes one row before each write.

    :ivar written: keys of the rows that were written, with repetitions.
    """

    def __init__(self, keys: t.Sequence[str]) -> None:
        super().__init__()
        self.contended = False
        self.written: list[str] = []
        self._keys = list(keys)
        self._turn = 0

    def transact(
        self,
        partition: str,
        preconditions: t.Sequence[ports.Precondition],
        puts: t.Sequence[ports.Put],
        deletes: t.Sequence[ports.Delete] = (),
        timeout: float | None = None,
    ) -> ports.Outcome:
        """Change the next row as another pool, then write."""
        if self.contended:
            self._turn += 1
            key = self._keys[self._turn % len(self._keys)]
            place = (teamlimits.TABLE, partition, key)
            self.version += 1
            self.rows[place] = (self.rows[place][0], self.version)
        outcome = super().transact(
            partition, preconditions, puts, deletes, timeout
        )
        if isinstance(outcome, ports.Committed):
            self.written.extend(put.key for put in puts)
        return outcome


@behave.given('{count:d} teams with grants of pool "a" and pool "b"')
def step_grants(context: Context, count: int) -> None:
    context.teams = [f"team-{number}" for number in range(count)]
    context.store = ContendedStore(context.teams)
    for team in context.teams:
        row = escrow.LimitRow(LIMIT, 1, {"a": GRANT, "b": GRANT})
        put = ports.Put(teamlimits.TABLE, team, model.encode(row))
        context.store.transact(teamlimits.PARTITION, [], [put])
    context.store.written.clear()


@behave.when(
    'pool "a" takes over its grants while "b" changes a row before each write'
)
def step_take_over(context: Context) -> None:
    context.limits = teamlimits.TeamLimits("a")
    context.limits.configure(
        job_builders.configuration(
            teams=[
                operatorconfig.Team(team, limit=LIMIT)
                for team in context.teams
            ]
        )
    )
    context.store.contended = True
    context.attempts = 1
    while not context.limits.load(context.store):
        context.attempts += 1
        if context.attempts > MAX_ATTEMPTS:
            return


@behave.then(
    'all grants of pool "a" are taken over after {most:d} attempts at most'
)
def step_taken_over(context: Context, most: int) -> None:
    assert context.attempts <= most, context.attempts
    for team in context.teams:
        local_grant = context.limits._account(team).local_grant
        assert local_grant.grant == GRANT
        assert local_grant.reserved == GRANT


@behave.then('no row was written more than {most:d} times by pool "a"')
def step_written(context: Context, most: int) -> None:
    counts = [context.store.written.count(team) for team in context.teams]
    assert 1 <= min(counts) and max(counts) <= most, counts


@behave.given('worker "{name}" has not been asked yet')
def step_not_asked(context: Context, name: str) -> None:
    worker = context.state.workers[name]
    worker.fenced = False
    worker.polled_at = 0.0
    context.state.recovery.unconfirmed_workers.add(name)


@behave.when('worker "{name}" does not answer a poll')
def step_silent(context: Context, name: str) -> None:
    worker = context.state.workers[name]
    worker.unanswered_since = worker.unanswered_since or context.now
    worker.unanswered_polls += 1


# Worker loops


@behave.given("a worker loop whose worker has listed {count:d} ends")
def step_loop(context: Context, count: int) -> None:
    context.state = job_builders.state([job_builders.worker()])
    (context.worker,) = context.state.workers.values()
    ends = [
        ports.Ended(number, "gone.0.0.0", number, ports.END_DONE, "")
        for number in range(1, count + 1)
    ]
    context.link = pool_fakes.FakeLink([job_builders.listing(ended=ends)])
    context.state.journal.marked = count
    context.worker.link = context.link
    context.holder = pool_fakes.FakeHolder(context.state)
    context.loop = workerloop.WorkerLoop(
        context.worker, t.cast(t.Any, context.holder), 6.0
    )
    sleep = mock.patch.object(workerloop.gevent, "sleep", lambda _: None)
    sleep.start()
    context.cleanups.append(sleep.stop)


@behave.given("a worker loop whose store is {behind:d} ends behind")
def step_loop_behind(context: Context, behind: int) -> None:
    step_loop(context, 0)
    context.behind = behind
    context.holder.stores = False


@behave.when("the worker lists {more:d} more end at each of {polls:d} polls")
def step_more_ends(context: Context, more: int, polls: int) -> None:
    journal = context.state.journal
    for last in range(more, (polls + 1) * more, more):
        ends = [
            ports.Ended(number, "gone.0.0.0", number, ports.END_DONE, "")
            for number in range(1, last + 1)
        ]
        context.link.answers = [job_builders.listing(ended=ends)]
        journal.marked = last
        journal.stored = max(last - context.behind, 0)
        context.loop._poll()


@behave.then("at least {count:d} ends were acknowledged")
def step_acknowledged(context: Context, count: int) -> None:
    assert max(context.link.acknowledged) >= count, context.link.acknowledged


@behave.when("the worker restarts while the loop waits for the store")
def step_restart_in_wait(context: Context) -> None:
    def restart() -> None:
        workerends.restarted(context.state, context.worker, 2, clock.now())

    context.holder.on_wait = restart
    context.loop._poll()
    context.holder.on_wait = lambda: None
    context.link.answers = [job_builders.listing(incarnation=2)] * 2


@behave.when("the loop polls once")
def step_poll_once(context: Context) -> None:
    context.loop._poll()


@behave.then("the worker is not idle")
def step_not_idle(context: Context) -> None:
    assert not context.loop._idle(clock.now())


@behave.then("the worker is idle")
def step_idle(context: Context) -> None:
    assert context.loop._idle(clock.now())


@behave.then("the poll asked for no wait")
def step_no_wait(context: Context) -> None:
    assert context.link.waits[-1] == 0.0, context.link.waits


@behave.when("the worker restarts while a poll is under way")
def step_restart_in_poll(context: Context) -> None:
    def restart() -> None:
        now = clock.now()
        workerends.restarted(context.state, context.worker, 2, now)

    context.link.on_renew = restart
    context.loop._poll()


@behave.then("the worker has not accepted the epoch")
def step_not_fenced(context: Context) -> None:
    assert context.worker.incarnation == 2
    assert not context.worker.fenced


@behave.when("a poll of the loop gets no answer")
def step_no_answer(context: Context) -> None:
    context.loop._poll()
    context.link.answers = [ports.NoAnswer("time-out")]
    context.loop._poll()


@behave.when("the loop polls again")
def step_poll(context: Context) -> None:
    if not context.link.acknowledged:
        context.loop._poll()
    context.loop._poll()


@behave.then("the poll acknowledged no end")
def step_none(context: Context) -> None:
    assert context.link.acknowledged[-1] == 0, context.link.acknowledged


@behave.then("the poll acknowledged {count:d} ends")
def step_some(context: Context, count: int) -> None:
    assert context.link.acknowledged[-1] == count, context.link.acknowledged


# Lives of a worker


@behave.when("its worker restarts")
def step_restarts(context: Context) -> None:
    (context.run,) = (
        run
        for worker in context.state.workers.values()
        for run in worker.runs.values()
    )
    context.now += 0.1
    workerends.restarted(context.state, context.run.worker, 2, context.now)


@behave.when("the worker answers a stop and lists nothing since its restart")
def step_stop_answered(context: Context) -> None:
    context.run.stop_answered_at = context.now
    context.now += 0.1
    listing = job_builders.listing(incarnation=2)
    worker = context.run.worker
    listings.apply(context.state, worker, listing, context.now, context.now)
    context.state.recovery.worker_fenced(worker, context.now)


@behave.when("the attempt of its next start is stored")
def step_attempt_stored(context: Context) -> None:
    (job,) = context.state.jobs.values()
    (numbers,) = job.progress.attempts.values()
    assert len(numbers) == 1, numbers
    context.state.journal.stored = context.state.journal.marked


@behave.when("the worker restarts and lists the run")
def step_restart_lists(context: Context) -> None:
    (worker,) = context.state.workers.values()
    (context.run,) = worker.runs.values()
    item = ports.Running(context.run.task_name, context.run.number, "", 0)
    context.earlier = job_builders.listing([item])
    context.earlier_sent_at = context.now
    context.now += 1.0
    workerends.restarted(context.state, worker, 2, context.now)
    listing = job_builders.listing([item], incarnation=2)
    listings.apply(context.state, worker, listing, context.now, context.now)


@behave.when("a listing of its earlier life arrives late")
def step_late_listing(context: Context) -> None:
    (worker,) = context.state.workers.values()
    listings.apply(
        context.state,
        worker,
        context.earlier,
        context.earlier_sent_at,
        context.now,
    )


@behave.then("the worker has {count:d} run")
def step_worker_runs(context: Context, count: int) -> None:
    (worker,) = context.state.workers.values()
    assert worker.incarnation == 2
    assert [run.state for run in worker.runs.values()] == [
        runs.RunState.RUNNING
    ] * count


def _registry(
    context: Context, store: memory_store.MemoryStore | None = None
) -> workerregistry.WorkerRegistry:
    return workerregistry.WorkerRegistry(
        job_builders.context(
            context.state, store or memory_store.MemoryStore()
        ),
        context.cluster,
        lambda registration: t.cast(ports.Worker, pool_fakes.FakeLink()),
        t.cast(t.Any, None),
        6.0,
        t.cast(t.Any, pool_fakes.FakeHolder(context.state)),
    )


@behave.given("a registry of a pool with a worker of life {life:d}")
def step_registry(context: Context, life: int) -> None:
    context.state = job_builders.state()
    context.registration = job_builders.registration(incarnation=life)
    context.cluster = types.SimpleNamespace(
        workers={context.registration.worker: context.registration}
    )
    context.registry = _registry(context)
    spawn = mock.patch.object(
        workerloop.greenlets, "spawn", lambda *_, **__: None
    )
    spawn.start()
    context.cleanups.append(spawn.stop)
    context.registry.sync_registrations()


@behave.when("the worker lists that it is of life {life:d}")
def step_lists_life(context: Context, life: int) -> None:
    (worker,) = context.state.workers.values()
    now = clock.now()
    listing = job_builders.listing(incarnation=life)
    listings.apply(context.state, worker, listing, now, now)


@behave.when("its registration of life {life:d} is written again")
def step_registered_again(context: Context, life: int) -> None:
    again = job_builders.registration(
        incarnation=life, state=ports.WORKER_DRAINING
    )
    context.cluster.workers = {again.worker: again}
    context.registry.sync_registrations()


@behave.then("the worker counts as of life {life:d}")
def step_life(context: Context, life: int) -> None:
    (worker,) = context.state.workers.values()
    assert worker.incarnation == life, worker.incarnation


# Jobs


@behave.given("an inbox with a job that has ended")
def step_inbox(context: Context) -> None:
    context.state = job_builders.state()
    context.inbox = inbox.Inbox(
        job_builders.context(context.state, memory_store.MemoryStore())
    )
    job = job_builders.job()
    table = model.jobs_table(job_builders.POOL)
    context.row = ports.Row(table, job.job, model.encode(job), 5)
    context.inbox._apply_changes((context.row,))
    (found,) = context.state.jobs.values()
    context.state.remove_ended_job(found, clock.now())


@behave.when("the job's row is read again from an old snapshot")
def step_old_snapshot(context: Context) -> None:
    context.inbox._reset((context.row,))


@behave.when("the job's row is read again from a delayed change")
def step_delayed_change(context: Context) -> None:
    context.inbox._apply_changes((context.row,))


@behave.then("the pool has no jobs")
def step_no_jobs(context: Context) -> None:
    assert not context.state.jobs


# Workers that an earlier holder had given up


@behave.when("a new holder recovers the workers without a stored list")
def step_recover_workers(context: Context) -> None:
    context.state = job_builders.state()
    context.registry = _registry(context)
    context.registry.recover()


@behave.when("a new holder recovers the workers without its registration")
def step_recover_unregistered(context: Context) -> None:
    known = workerregistry.KnownWorker("w1", "127.0.0.1:9", "north", 200)
    store = memory_store.MemoryStore()
    put = ports.Put(
        model.HOLDERS_TABLE, workerregistry.WORKERS_KEY, model.encode([known])
    )
    store.transact(job_builders.POOL, [], [put])
    context.cluster.workers = {}
    context.state = job_builders.state()
    context.registry = _registry(context, store)
    context.registry.recover()


@behave.then("it gets no tasks and is not drained")
def step_not_drained(context: Context) -> None:
    (worker,) = context.state.workers.values()
    worker.fenced = True
    assert not worker.accepts_tasks(clock.now())
    assert not worker.draining and not worker.cordon_reason


@behave.then("the worker is unconfirmed")
def step_unconfirmed(context: Context) -> None:
    assert context.state.recovery.unconfirmed_workers == set(
        context.state.workers
    )
    assert context.state.workers


@behave.given("the store does not answer")
def step_store_silent(context: Context) -> None:
    context.holder.stores = False


@behave.when("the store answers again")
def step_store_answers(context: Context) -> None:
    context.holder.stores = True


@behave.when("the worker's registration is removed for {seconds:g} seconds")
def step_unregistered(context: Context, seconds: float) -> None:
    context.worker.registered = False
    context.worker.unregistered_at = clock.now() - seconds


@behave.then("the worker is not removed and its machine is not released")
def step_kept(context: Context) -> None:
    assert not context.loop._removable()
    now = clock.now()
    context.worker.idle_since = now - 60.0
    assert not scaling._idle([context.worker], now)


@behave.then("the worker may be removed")
def step_removable(context: Context) -> None:
    assert context.loop._removable()


class _Orders:
    """Orders for machines that are answered as the test says."""

    def __init__(self) -> None:
        self.answers: list[t.Any] = []

    def claim(self, machine: str, store_clock: float) -> int:
        """Grant every claim."""
        return 1

    def move(self, machine: str, pool: str, token: int) -> t.Any:
        """Answer as set."""
        return self.answers.pop(0)


ORDER_ANSWERS = {
    "confirmed": [ports.Done()],
    "rejected": [ports.Rejected("busy")],
    "not sent": [ports.NoAnswer("no connection", False)],
    "not answered": [ports.NoAnswer("time-out", True)],
    "not answered, then sent": [
        ports.NoAnswer("time-out", True),
        ports.Done(),
    ],
    "not answered, then refused": [
        ports.NoAnswer("time-out", True),
        ports.Rejected("busy"),
    ],
}


@behave.given("an autoscaler of a pool with an idle worker")
def step_autoscaler(context: Context) -> None:
    context.state = job_builders.state([job_builders.worker()])
    (context.worker,) = context.state.workers.values()
    machine = ports.Machine(
        "m1", job_builders.POOL, ports.MACHINE_UP, "north", "w1"
    )
    cache = mock.Mock()
    cache.refresh.return_value = True
    cache.in_pool.return_value = [machine]
    context.orders = _Orders()
    context.autoscaler = autoscaler.Autoscaler(
        pool_fakes.FakeScaledHolder(context.state),
        cache,
        t.cast(t.Any, context.orders),
    )


@behave.when("the order to move it to standby is {answer}")
def step_move_answered(context: Context, answer: str) -> None:
    context.orders.answers = list(ORDER_ANSWERS[answer])
    context.autoscaler._scale_down(context.worker)
    while context.orders.answers:
        context.autoscaler._repeat_unanswered_moves()


@behave.then("the worker has ended")
def step_has_ended(context: Context) -> None:
    assert context.worker.terminated


@behave.then("the worker is used again")
def step_used_again(context: Context) -> None:
    assert not context.worker.terminated and not context.worker.cordon_reason


@behave.then("the worker is cordoned and has not ended")
def step_still_cordoned(context: Context) -> None:
    assert not context.worker.terminated and context.worker.cordon_reason


@behave.given("a holder of a pool")
def step_holder(context: Context) -> None:
    context.manager = mock.create_autospec(leases.LeaseManager, instance=True)
    context.holder = holders.Holder(
        job_builders.lease(),
        context.manager,
        memory_store.MemoryStore(),
        mock.Mock(subscribers=()),
        deployment.Bounds(),
        mock.Mock(),
        None,
        mock.Mock(),
        metrics.Metrics(),
    )


@behave.when("one of its loops fails")
def step_loop_fails(context: Context) -> None:
    def loop() -> None:
        raise ValueError("a row that can't be decoded")

    context.holder._spawn(loop)
    gevent.wait(timeout=1.0)


@behave.then("it has given the pool up")
def step_given_up(context: Context) -> None:
    context.manager.step_down.assert_called_once()


@behave.given("a cache of the list of machines")
def step_cache(context: Context) -> None:
    context.machines = mock.Mock()

    def answer() -> tuple[ports.Machine, ...]:
        gevent.sleep(0.01)
        return ()

    context.machines.list.side_effect = answer
    context.cache = machines.MachineCache(context.machines)


def _ask_together(context: Context, count: int) -> None:
    asked_at = clock.now()
    gevent.joinall(
        [gevent.spawn(context.cache.refresh, asked_at) for _ in range(count)]
    )


@behave.when("{count:d} workers ask for it at the same time")
def step_ask(context: Context, count: int) -> None:
    _ask_together(context, count)


@behave.when("{count:d} workers ask for it at the same time while it fails")
def step_ask_failing(context: Context, count: int) -> None:
    def fail() -> None:
        gevent.sleep(0.01)
        raise exceptions.CallFailed("time-out", True)

    context.machines.list.side_effect = fail
    _ask_together(context, count)


@behave.then("{count:d} calls were made")
def step_calls(context: Context, count: int) -> None:
    assert context.machines.list.call_count == count


@behave.given(
    "the rows of {count:d} jobs of a team of weight {weight:d}, submitted "
    "every {gap:g} s, in any order"
)
def step_job_rows(
    context: Context, count: int, weight: int, gap: float
) -> None:
    context.store = memory_store.MemoryStore()
    context.store.clock = FIRST_JOB_AT + gap * (count - 1)
    times = [FIRST_JOB_AT + gap * number for number in range(count)]
    random.Random(count).shuffle(times)
    for number, at in enumerate(times):
        job = job_builders.job(job=f"{number:016x}", accepted_at=at)
        put = ports.Put(
            model.jobs_table(job_builders.POOL), job.job, model.encode(job)
        )
        context.store.transact(job_builders.POOL, [], [put])
    team = operatorconfig.Team("tally", weight=float(weight))
    context.configuration = job_builders.configuration(teams=[team])


@behave.when("a new holder recovers the jobs")
@behave.when("a new holder recovers the jobs {ago:g} s after the last of them")
def step_recover_jobs(context: Context, ago: float = 0.0) -> None:
    context.store.clock += ago
    context.state = job_builders.state(configured=context.configuration)
    with mock.patch.object(clock, "now", lambda: RECOVERED_AT):
        inbox.Inbox(
            job_builders.context(context.state, context.store)
        ).recover()


@behave.then("{count:d} of them count as beyond the rate of their team")
def step_beyond_rate(context: Context, count: int) -> None:
    jobs = context.state.jobs.values()
    found = sum(1 for job in jobs if job.over_submission_rate)
    assert found == count, found


@behave.then("{count:d} jobs a second arrive")
def step_arrival_rate(context: Context, count: int) -> None:
    rate = context.state.demand.rate(RECOVERED_AT)
    # Each job has two tasks of one core.
    found = rate.peak_size.cores / 2
    assert abs(found - count) < 0.5, found


@behave.given(
    'a gang of 3 tasks of which task 1 was preempted at "{first}" '
    'and 2 at "{second}"'
)
def step_gang_stopped(context: Context, first: str, second: str) -> None:
    job = job_builders.job(
        job_builders.step(count=3, gang=True, checkpointing=True)
    )
    context.worker = job_builders.worker()
    context.state = job_builders.state([context.worker])
    context.state.accept(
        job, model.Progress(), 0, job_builders.START, recovered=False
    )
    context.state.create_due(0.0, job_builders.START)
    gang = context.state.jobs[job.job].steps["0.0"].tasks
    for number, (task, checkpoint) in enumerate(zip(gang, (first, second)), 1):
        end = ports.Ended(number, task.name, 1, ports.END_STOPPED, checkpoint)
        runends.apply(context.state, context.worker, end, job_builders.START)


@behave.when("another holder reads its stored progress")
def step_gang_taken_over(context: Context) -> None:
    (job,) = context.state.jobs.values()
    stored = model.decode(model.encode(job.progress), model.Progress)
    context.state = job_builders.state([context.worker])
    context.state.accept(
        job.job, stored, 1, job_builders.START, recovered=True
    )
    context.state.create_due(0.0, job_builders.START)
    (context.job,) = context.state.jobs.values()


@behave.then(
    'all members of the gang continue from the same checkpoint "{at}"'
)
def step_same_checkpoint(context: Context, at: str) -> None:
    found = [task.checkpoint for task in context.job.steps["0.0"].tasks]
    assert found == [at] * 3, found


@behave.when("its members are done")
def step_gang_done(context: Context) -> None:
    name = context.job.steps["0.0"].tasks[0].name
    end = ports.Ended(9, name, 2, ports.END_DONE, "")
    runends.apply(context.state, context.worker, end, job_builders.START)


@behave.then("it has no stored checkpoint")
def step_no_checkpoint(context: Context) -> None:
    assert not context.job.progress.checkpoints, context.job.progress
