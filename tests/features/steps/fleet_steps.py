"""Steps for machine maintenance, autoscaling and team limits."""

import itertools
import random
import re
import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clock
from agaterudder.jobs import demand
from agaterudder.jobs import fleet
from agaterudder.jobs import load
from agaterudder.jobs import machines
from agaterudder.jobs import maintenance
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import scaling
from agaterudder.jobs import standbyshare
from agaterudder.jobs import teamlimits
from agaterudder.jobs import wavepacing
from agaterudder import resources
from tests import job_builders
from tests import memory_store

Context = t.Any
CYCLE_SECONDS = 0.5
MAINTENANCE_SECONDS = 2.0
LEASE_SECONDS = 3.0
WAVE = 7


class FakeMachines:
    """Machines whose maintenance takes a while; answers can be lost."""

    def __init__(self, context: Context, pools: dict[str, str]) -> None:
        self._context = context
        self._pools = pools
        self._down: dict[str, float] = {}
        self._answers = itertools.count()
        self.maintained: list[str] = []
        self.max_down = 0
        self.lose_answers = False

    def list(self) -> tuple[ports.Machine, ...]:
        """Return all machines."""
        return tuple(
            ports.Machine(name, pool, self._state(name), "north", f"w-{name}")
            for name, pool in self._pools.items()
        )

    def move_to(self, machine: str, pool: str) -> None:
        """Move a machine at once."""
        self._pools[machine] = pool

    def _state(self, name: str) -> str:
        until = self._down.get(name, 0.0)
        return "upkeep" if self._context.now < until else ports.MACHINE_UP

    def maintain(
        self, machine: str, wave: int, holder: str, token: int
    ) -> ports.Done | ports.NoAnswer:
        """Start a maintenance; a repeated order changes nothing."""
        if machine not in self.maintained:
            self.maintained.append(machine)
            self._down[machine] = self._context.now + MAINTENANCE_SECONDS
        down = [x for x in self._pools if self._state(x) == "upkeep"]
        self.max_down = max(self.max_down, len(down))
        if self.lose_answers and next(self._answers) % 2 == 0:
            return ports.NoAnswer("time-out")
        return ports.Done()


class FakeOperators:
    """Records the reports on waves."""

    def __init__(self) -> None:
        self.reports: list[bool] = []

    def report_wave(self, number: int, completed: bool) -> bool:
        """Record a report."""
        self.reports.append(completed)
        return True


class FakeHolder:
    """A holder whose workers are as loaded as the test says."""

    standby = False

    def __init__(self, context: Context, pool: str) -> None:
        self._context = context
        self.pool = pool
        self.workers_registered = True
        self.waiting = 0.0
        self.ended: list[str] = []
        self.workers_read = True
        self._workers: dict[str, fleet.WorkerState] = {}

    def holds_lease(self) -> bool:
        """Return True."""
        return True

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker with a run while there is a load."""
        if not self.workers_registered:
            return None
        found = self._workers.setdefault(worker, job_builders.worker(worker))
        run = mock.Mock(task=None)
        found.runs = {("t", 1): run} if self._context.loaded else {}
        return found

    def worker_confirmed(self, worker: fleet.WorkerState) -> bool:
        """Return whether the worker was read, as the test says."""
        return self.workers_read

    def cordon_worker(self, worker: fleet.WorkerState, reason: str) -> None:
        """Place no more tasks on a worker."""
        worker.cordon(reason, self._context.now)

    def uncordon_worker(self, worker: fleet.WorkerState) -> None:
        """Do nothing."""

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Record that a worker counts as ended."""
        self.ended.append(worker.name)

    def backlog_ratio(self) -> float:
        """Return the waiting work as the test says."""
        return self.waiting

    def store_clock(self) -> float:
        """Return the present time."""
        return self._context.now


def _maintenance(
    context: Context, pool: str, standby: bool = False
) -> maintenance.Maintenance:
    holder = FakeHolder(context, pool)
    holder.standby = standby
    context.holders[pool] = holder
    mock_load = mock.patch.object(
        maintenance.Maintenance, "_load", lambda self, machine: (0, 0.0)
    )
    mock_load.start()
    context.cleanups.append(mock_load.stop)
    return maintenance.Maintenance(
        holder,
        context.store,
        context.operators,
        machines.MachineCache(context.machines),
        machines.MachineOrders(
            context.store, context.machines, f"vm-{pool}", LEASE_SECONDS
        ),
    )


@behave.given("the first machine was maintained under an earlier holder")
def step_maintained_before(context: Context) -> None:
    context.machines.maintained.append("m0")


@behave.given("the holder has not read its workers yet")
def step_unread(context: Context) -> None:
    for holder in context.holders.values():
        holder.workers_read = False


@behave.when("the holder has read its workers")
def step_all_read(context: Context) -> None:
    for holder in context.holders.values():
        holder.workers_read = True


@behave.then("{count:d} workers count as ended")
def step_ended_workers(context: Context, count: int) -> None:
    ended = {
        name for holder in context.holders.values() for name in holder.ended
    }
    assert len(ended) == count, ended


@behave.given(
    "a wave of {count:d} machines with at most {most:d} down at once"
)
def step_wave(context: Context, count: int, most: int) -> None:
    context.now = 500.0
    context.loaded = False
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.store = memory_store.MemoryStore()
    context.operators = FakeOperators()
    context.holders = {}
    names = tuple(f"m{number}" for number in range(count))
    context.wave = operatorconfig.Wave(WAVE, names, 100.0, most)


@behave.given(
    "two pools with {first:d} and {second:d} of them, {load} running tasks"
)
def step_pools(context: Context, first: int, second: int, load: str) -> None:
    context.loaded = load == "with"
    pools = ["one"] * first + ["two"] * second
    context.machines = FakeMachines(
        context, dict(zip(context.wave.machines, pools))
    )
    context.maintenance = {
        pool: _maintenance(context, pool) for pool in ("one", "two")
    }


@behave.given("it has to be completed within {seconds:d} seconds")
def step_within(context: Context, seconds: int) -> None:
    wave = context.wave
    context.wave = operatorconfig.Wave(
        wave.number, wave.machines, float(seconds), wave.max_down
    )


@behave.given("a pool {use} with all of them")
def step_one_pool(context: Context, use: str) -> None:
    context.loaded = False
    context.machines = FakeMachines(
        context, dict.fromkeys(context.wave.machines, "one")
    )
    one = _maintenance(context, "one", use == "on standby")
    context.maintenance = {"one": one}


@behave.given("it always has waiting work")
def step_always_waits(context: Context) -> None:
    context.holders["one"].waiting = 1.0


@behave.when("its maintenance has run for {seconds:d} seconds")
def step_run_for(context: Context, seconds: int) -> None:
    step_run_maintenance(context, int(seconds / CYCLE_SECONDS))


@behave.given("the workers of the first pool have not registered")
def step_unknown(context: Context) -> None:
    context.holders["one"].workers_registered = False


@behave.when("the workers of the first pool register")
def step_known(context: Context) -> None:
    context.holders["one"].workers_registered = True


@behave.given("the worker of the first machine is being returned to standby")
def step_returned(context: Context) -> None:
    worker = context.holders["one"].worker_state("w-m0")
    worker.cordon(scaling.NOT_NEEDED, context.now)


@behave.then('the worker of the first machine is cordoned for "{reason}"')
def step_cordoned_for(context: Context, reason: str) -> None:
    worker = context.holders["one"].worker_state("w-m0")
    assert worker.cordon_reason == reason, worker.cordon_reason


@behave.when("the machine in maintenance moves to the second pool")
def step_moves_away(context: Context) -> None:
    row = context.store.read(
        maintenance.TABLE, maintenance.PARTITION, str(WAVE)
    )
    (begun,) = model.decode(row.value, maintenance.Record).down
    context.machines.move_to(begun, "two")


@behave.given("every second answer of the machine API is lost")
def step_lost(context: Context) -> None:
    context.machines.lose_answers = True


@behave.when("the maintenance of both pools has run {cycles:d} times")
def step_run_maintenance(context: Context, cycles: int) -> None:
    for _ in range(cycles):
        for pool in context.maintenance.values():
            pool.reconcile([context.wave])
        context.now += CYCLE_SECONDS


@behave.when("the first pool gets a new holder")
def step_other_holder(context: Context) -> None:
    context.maintenance["one"] = _maintenance(context, "one")


@behave.when("the running tasks have ended")
def step_unloaded(context: Context) -> None:
    context.loaded = False


@behave.then("at most {most:d} machines were down at once")
def step_most_down(context: Context, most: int) -> None:
    assert 0 < context.machines.max_down <= most


@behave.then("each machine was maintained once")
def step_each(context: Context) -> None:
    assert sorted(context.machines.maintained) == sorted(context.wave.machines)


@behave.then("no machine was maintained")
def step_not_maintained(context: Context) -> None:
    assert context.machines.maintained == []


@behave.then("the wave was reported as completed once, at the end")
def step_reported(context: Context) -> None:
    assert context.operators.reports == [False, True]


@behave.then('the last of these orders is {answer}: "{orders}"')
def step_orders(context: Context, answer: str, orders: str) -> None:
    last = None
    for order in orders.split():
        vm, _, at = order.partition("@")
        allowed = machines.next_order(last, vm, float(at), LEASE_SECONDS + 0.2)
        last = allowed or last
    assert (allowed is not None) == (answer == "allowed")


@behave.given("a pool of {count:d} workers, each with {free:g} cores free")
def step_sized(context: Context, count: int, free: float) -> None:
    context.state = job_builders.state(
        [job_builders.worker(f"w{number}") for number in range(count)]
    )
    for worker in context.state.workers.values():
        used = resources.Vector(job_builders.SIZE.cores - free)
        if used.cores:
            run = mock.Mock(
                size=used, task_name="t", number=1, task=None, sent_at=0.0
            )
            worker.add(run)


@behave.given("waiting work of {cores:g} cores")
def step_waits(context: Context, cores: float) -> None:
    if not cores:
        return
    step = job_builders.step(count=int(cores))
    job = job_builders.job(step)
    now = job_builders.START
    context.state.accept(job, model.Progress(), 0, now, False)
    context.state.create_due(0.0, now)


@behave.given("its team may use {cores:d} cores")
def step_team_limit(context: Context, cores: int) -> None:
    limit = resources.Vector(float(cores), 1e12, 1e12, 1e12)
    context.state.limits.configure(
        job_builders.configuration(
            teams=(operatorconfig.Team("tally", limit=limit),)
        )
    )


@behave.given("waiting work of {cores:g} cores, beyond its team's rate")
def step_waits_beyond(context: Context, cores: float) -> None:
    step_waits(context, cores)
    for found in context.state.jobs.values():
        found.over_submission_rate = True


@behave.given(
    "{jobs:d} jobs of 8 cores for 1 second, submitted every {gap:g} seconds"
)
def step_came(context: Context, jobs: int, gap: float) -> None:
    last = job_builders.START + 1.0
    step = job_builders.step(count=8)
    for number in range(jobs):
        now = last - gap * (jobs - 1 - number)
        job = job_builders.job(step, job=f"{number:016x}", team=f"t{number}")
        context.state.accept(job, model.Progress(), 0, now, False)
        context.state.create_due(0.0, now)


@behave.given("all of them are done")
def step_all_done(context: Context) -> None:
    context.state.ready.clear()


@behave.given("a long-running job that needs {workers:d} workers")
def step_long_running_job(context: Context, workers: int) -> None:
    step = job_builders.step(
        count=2 * workers, long_running=True, max_per_worker=2
    )
    now = job_builders.START
    context.state.accept(
        job_builders.job(step), model.Progress(), 0, now, False
    )
    context.state.create_due(0.0, now)


@behave.given(
    "a long-running job that needs 2 workers, its 4 tasks spread over them"
)
def step_spread_out(context: Context) -> None:
    step_long_running_job(context, 2)
    (step,) = context.state.ready.values()
    workers = itertools.cycle(context.state.workers.values())
    for number, (task, worker) in enumerate(zip(step.tasks, workers)):
        context.state.add_run(task, worker, number + 1, 0.0)


@behave.given("nothing else ran for {seconds:d} seconds")
def step_only_long_running(context: Context, seconds: int) -> None:
    for worker in context.state.workers.values():
        worker.busy_at = job_builders.START + 1.0 - seconds


@behave.given("one has been draining for {seconds:d} seconds")
def step_draining(context: Context, seconds: int) -> None:
    step_only_long_running(context, 3)
    context.state.workers["w0"].cordon(
        scaling.NOT_NEEDED, job_builders.START + 1.0 - seconds
    )


@behave.given("one has drained after {seconds:d} seconds")
def step_drained(context: Context, seconds: int) -> None:
    step_draining(context, seconds)
    context.state.workers["w0"].runs.clear()


@behave.given("one of the workers is unresponsive")
def step_unresponsive(context: Context) -> None:
    worker = context.state.workers["w0"]
    worker.unanswered_since = worker.polled_at = job_builders.START - 1.0


@behave.given("one of the workers is in a taken-out data centre")
def step_taken_out(context: Context) -> None:
    worker = context.state.workers["w0"]
    worker.registration = job_builders.registration("w0", data_centre="south")
    context.state.taken_out = frozenset(["south"])


@behave.then("the pool should {answer}")
def step_size(context: Context, answer: str) -> None:
    found = scaling.decide(context.state, 0, job_builders.START + 1.0)
    match found:
        case scaling.ScaleUp(count=count):
            decision = f"scale up {count}"
        case scaling.ScaleDown(workers=workers):
            decision = f"scale down {len(workers)}"
        case scaling.Drain():
            decision = "drain 1"
        case scaling.Uncordon():
            decision = "uncordon 1"
        case _:
            decision = "not change"
    assert decision == answer, decision


@behave.given("three pools of a team that may use {cores:d} cores")
def step_three(context: Context, cores: int) -> None:
    context.store = memory_store.MemoryStore()
    limit = resources.Vector(float(cores), 1e12, 1e12, 1e12)
    configured = job_builders.configuration(
        teams=(operatorconfig.Team("tally", limit=limit),)
    )
    context.limits = [teamlimits.TeamLimits(name) for name in "abc"]
    for limits in context.limits:
        limits.configure(configured)


@behave.when(
    "they request and return cores at random, seed {seed:d}, answers lost"
)
def step_random(context: Context, seed: int) -> None:
    generator = random.Random(seed)
    context.granted = []
    context.overspent = 0
    running: list[tuple[teamlimits.TeamLimits, str]] = []
    for number in range(2_000):
        limits = generator.choice(context.limits)
        size = resources.Vector(float(generator.randrange(1, 40)))
        fault = generator.choice(["ok", "ok", "lost", "late", "refused"])
        context.store.faults = [fault]
        match generator.randrange(4):
            case 0:
                limits.request_grant(
                    "tally", size, size.scaled(3.0), float(number)
                )
                limits.rebalance(context.store, float(number))
            case 1:
                limits.rebalance(context.store, float(number))
            case 2 if limits.charge("tally", f"r{number}", size):
                running.append((limits, f"r{number}"))
            case 3 if running:
                owner, run = running.pop(generator.randrange(len(running)))
                owner.release("tally", run)
        if generator.random() < 0.2:
            context.store.deliver_late()
        local_grants = [
            x._account("tally").local_grant for x in context.limits
        ]
        context.granted.append(sum(x.grant.cores for x in local_grants))
        context.overspent += sum(
            not x.spent.fits_in(x.grant) for x in local_grants
        )


def _record_grants(context: Context) -> None:
    local_grants = [x._account("tally").local_grant for x in context.limits]
    context.granted = [sum(x.grant.cores for x in local_grants)]


@behave.when(
    "the first is granted {cores:g} cores and returns them, unanswered"
)
def step_returns_grant(context: Context, cores: float) -> None:
    size = resources.Vector(cores)
    limits = context.limits[0]
    limits.request_grant("tally", size, size, 0.0)
    limits.rebalance(context.store, 0.0)
    assert limits.fits("tally", size)
    context.store.faults = ["lost"]
    limits.rebalance(context.store, 10.0)


@behave.when("the first requests {cores:g} cores, which are granted {how}")
def step_unanswered_grant(context: Context, cores: float, how: str) -> None:
    size = resources.Vector(cores)
    limits = context.limits[0]
    limits.request_grant("tally", size, size, 0.0)
    context.store.faults = ["late" if how == "late" else "lost"]
    limits.rebalance(context.store, 0.0)
    limits.rebalance(context.store, 10.0)
    context.store.deliver_late()


@behave.when("the second requests {cores:g} cores")
def step_requests(context: Context, cores: float) -> None:
    size = resources.Vector(cores)
    context.limits[1].request_grant("tally", size, size, 10.0)
    context.limits[1].rebalance(context.store, 10.0)
    _record_grants(context)


@behave.then("the second was granted {cores:g} cores")
def step_second(context: Context, cores: float) -> None:
    local_grant = context.limits[1]._account("tally").local_grant
    assert local_grant.grant.cores == cores, local_grant.grant


@behave.then("never more than {cores:d} cores were granted in total")
def step_granted(context: Context, cores: int) -> None:
    assert max(context.granted) <= cores, max(context.granted)
    assert max(context.granted) > 0


@behave.then("no pool spent more than its grant")
def step_spent(context: Context) -> None:
    assert context.overspent == 0


@behave.given("a fleet of {count:d} machines and {pools:d} pools")
def step_fleet_size(context: Context, count: int, pools: int) -> None:
    context.fleet_size = count
    context.even_share = count // pools


@behave.then("the pool takes {taken:d}")
def step_taken(context: Context, taken: int) -> None:
    row = context.active_outline
    found = standbyshare.allowed(
        int(row["wanted"]),
        int(row["present"]),
        int(row["free"]),
        context.even_share,
    )
    assert found == taken, found


@behave.given("the pools have {a:d}, {b:d}, {c:d} and {d:d} machines")
def step_pool_sizes(context: Context, a: int, b: int, c: int, d: int) -> None:
    context.pool_sizes = [a, b, c, d]
    context.first_sizes = [a, b, c, d]


@behave.when(
    "each in turn takes what it may of {wanted:d} more, until none may"
)
def step_take_turns(context: Context, wanted: int) -> None:
    sizes = context.pool_sizes
    left = [wanted for _ in sizes]
    taken = 1
    while taken:
        taken = 0
        for number, size in enumerate(sizes):
            free = context.fleet_size - sum(sizes)
            found = standbyshare.allowed(
                left[number], size, free, context.even_share
            )
            sizes[number] += found
            left[number] -= found
            taken += found


@behave.then("each pool took {count:d} machines or more, and none is left")
def step_smallest_pool(context: Context, count: int) -> None:
    sizes = context.pool_sizes
    taken = [size - first for size, first in zip(sizes, context.first_sizes)]
    assert min(taken) >= count, sizes
    assert sum(sizes) == context.fleet_size, sizes


@behave.given(
    "a pool of 12 machines of a wave, of which {count:d} are in progress"
)
def step_wave_progress(context: Context, count: int) -> None:
    context.in_progress = count


@behave.given(
    "one more has a worker with {count:d} long-running tasks of a step"
)
def step_lasting_on_worker(context: Context, count: int) -> None:
    worker = job_builders.worker()
    state = job_builders.state([worker])
    step = job_builders.step(count=count, long_running=True)
    state.accept(
        job_builders.job(step), model.Progress(), 0, job_builders.START, False
    )
    state.create_due(0.0, job_builders.START)
    planning.Plan(state, job_builders.START).orders()
    assert len(worker.runs) == count
    context.needed = [wavepacing.needed_seconds(worker)]


@behave.then("it is started: {answer}")
def step_wave_started(context: Context, answer: str) -> None:
    progress = wavepacing.Progress(
        float(context.active_outline["left"]),
        10,
        context.in_progress,
        1,
        True,
    )
    found = wavepacing.to_start(context.needed, progress)
    assert found == ([0] if answer == "yes" else []), found


@behave.given("a wave whose machines need 5, 5, 9.5, 5 and 6.5 s")
def step_wave_needs(context: Context) -> None:
    context.needed = [5.0, 5.0, 9.5, 5.0, 6.5]


@behave.then(
    "with {left:g} s left and room for {room:d} the {places} are started"
)
@behave.then(
    "with {left:g} s left and room for {room:d} the {places} is started"
)
def step_wave_order(
    context: Context, left: float, room: int, places: str
) -> None:
    numbers = {"first": 0, "third": 2, "fifth": 4}
    words = re.findall(r"\w+", places)
    wanted = [numbers[word] for word in words if word in numbers]
    # Enough others are in progress, so that only urgent ones are started.
    progress = wavepacing.Progress(left, room, 3, 1, True)
    found = wavepacing.to_start(context.needed, progress)
    assert found == wanted, found


@behave.given("workers of {cores:d} cores")
def step_worker_size(context: Context, cores: int) -> None:
    context.worker_size = resources.Vector(float(cores), 1e6)


@behave.then("the load is {mean:g} workers, and {more:g} more now and then")
def step_varying_load(context: Context, mean: float, more: float) -> None:
    row = context.active_outline
    jobs = float(row["jobs"])
    size = resources.Vector(float(row["cores"]) * jobs)
    rate = demand.ArrivalRate(size, size, jobs)
    assert rate.work.dominant_share(context.worker_size) == mean
    found = load.variation(mean, rate, context.worker_size)
    assert abs(found - more) < 0.05, found
