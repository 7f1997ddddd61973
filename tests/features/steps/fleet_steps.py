"""Steps on upkeep, moves, sizes of pools and limits over pools."""

import itertools
import random
import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import machines
from agaterudder.jobs import maintenance
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import rules
from agaterudder.jobs import sizing
from agaterudder.jobs import teamlimits
from agaterudder import resources
from tests import job_builders
from tests import job_fakes

Context = t.Any
TURN_SECONDS = 0.5
UPKEEP_SECONDS = 2.0
LEASE_SECONDS = 3.0
WAVE = 7


class FakeMachines:
    """Machines whose upkeep takes a while; some answers are lost."""

    def __init__(self, context: Context, pools: dict[str, str]) -> None:
        self._context = context
        self._pools = pools
        self._down: dict[str, float] = {}
        self._answers = itertools.count()
        self.upkeeps: list[str] = []
        self.most_down = 0
        self.lose = False

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
        """Begin an upkeep, or find it done."""
        if machine not in self.upkeeps:
            self.upkeeps.append(machine)
            self._down[machine] = self._context.now + UPKEEP_SECONDS
        down = [x for x in self._pools if self._state(x) == "upkeep"]
        self.most_down = max(self.most_down, len(down))
        if self.lose and next(self._answers) % 2 == 0:
            return ports.NoAnswer("time-out")
        return ports.Done()


class FakeOperators:
    """Keeps what was reported of waves."""

    def __init__(self) -> None:
        self.reports: list[bool] = []

    def report_wave(self, number: int, completed: bool) -> bool:
        """Note a report."""
        self.reports.append(completed)
        return True


class FakeHolder:
    """A holder whose workers are as loaded as the test says."""

    standby = False

    def __init__(self, context: Context, pool: str) -> None:
        self._context = context
        self.pool = pool
        self.knows_workers = True
        self.waiting = 0.0
        self._workers: dict[str, fleet.WorkerState] = {}

    def may_order(self) -> bool:
        """Return that it may."""
        return True

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker with a run while there is a load."""
        if not self.knows_workers:
            return None
        found = self._workers.setdefault(worker, job_builders.worker(worker))
        found.runs = {("t", 1): None} if self._context.loaded else {}
        return found

    def leave(self, worker: fleet.WorkerState, reason: str) -> None:
        """Give a worker no more work."""
        worker.leave(reason, self._context.now)

    def stay(self, worker: fleet.WorkerState) -> None:
        """Do nothing."""

    def worker_ended(self, worker: fleet.WorkerState, reason: str) -> None:
        """Do nothing."""

    def waiting_part(self) -> float:
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
        machines.View(context.machines),
        machines.MachineOrders(
            context.store, context.machines, f"vm-{pool}", LEASE_SECONDS
        ),
    )


@behave.given(
    "a wave of {count:d} machines with at most {most:d} down at once"
)
def step_wave(context: Context, count: int, most: int) -> None:
    context.now = 500.0
    context.loaded = False
    patch = mock.patch.object(clock, "now", lambda: context.now)
    patch.start()
    context.cleanups.append(patch.stop)
    context.store = job_fakes.MemoryStore()
    context.operators = FakeOperators()
    context.holders = {}
    names = tuple(f"m{number}" for number in range(count))
    context.wave = rules.Wave(WAVE, names, 100.0, most)


@behave.given(
    "two pools that hold {first:d} and {second:d} of them, {load} a load"
)
def step_pools(context: Context, first: int, second: int, load: str) -> None:
    context.loaded = load == "with"
    pools = ["one"] * first + ["two"] * second
    context.machines = FakeMachines(
        context, dict(zip(context.wave.machines, pools))
    )
    context.upkeep = {
        pool: _maintenance(context, pool) for pool in ("one", "two")
    }


@behave.given("it is to be done within {seconds:d} seconds")
def step_within(context: Context, seconds: int) -> None:
    wave = context.wave
    context.wave = rules.Wave(
        wave.number, wave.machines, float(seconds), wave.most_down
    )


@behave.given("a pool {use} that holds all of them")
def step_one_pool(context: Context, use: str) -> None:
    context.loaded = False
    context.machines = FakeMachines(
        context, dict.fromkeys(context.wave.machines, "one")
    )
    upkeep = _maintenance(context, "one", use == "on standby")
    context.upkeep = {"one": upkeep}


@behave.given("its work always waits")
def step_always_waits(context: Context) -> None:
    context.holders["one"].waiting = 1.0


@behave.when("it has had turns for {seconds:d} seconds")
def step_turns_for(context: Context, seconds: int) -> None:
    step_turns(context, int(seconds / TURN_SECONDS))


@behave.given("the first pool does not know its workers yet")
def step_unknown(context: Context) -> None:
    context.holders["one"].knows_workers = False


@behave.when("the first pool gets to know its workers")
def step_known(context: Context) -> None:
    context.holders["one"].knows_workers = True


@behave.given("the worker of the first machine is being given back")
def step_given_back(context: Context) -> None:
    worker = context.holders["one"].worker_state("w-m0")
    worker.leave(sizing.NOT_NEEDED, context.now)


@behave.then('the worker of the first machine leaves for "{reason}"')
def step_leaves_for(context: Context, reason: str) -> None:
    worker = context.holders["one"].worker_state("w-m0")
    assert worker.leaving == reason, worker.leaving


@behave.when("the machine whose upkeep has begun moves to the second pool")
def step_moves_away(context: Context) -> None:
    row = context.store.read(maintenance.TABLE, maintenance.PART, str(WAVE))
    (begun,) = model.decode(row.value, maintenance.Record).down
    context.machines.move_to(begun, "two")


@behave.given("each second answer of the machines' API is lost")
def step_lost(context: Context) -> None:
    context.machines.lose = True


@behave.when("both pools have had {turns:d} turns")
def step_turns(context: Context, turns: int) -> None:
    for _ in range(turns):
        for upkeep in context.upkeep.values():
            upkeep.turn([context.wave])
        context.now += TURN_SECONDS


@behave.when("the first pool gets another holder")
def step_other_holder(context: Context) -> None:
    context.upkeep["one"] = _maintenance(context, "one")


@behave.when("the load has gone")
def step_unloaded(context: Context) -> None:
    context.loaded = False


@behave.then("at most {most:d} machines were down at once")
def step_most_down(context: Context, most: int) -> None:
    assert 0 < context.machines.most_down <= most


@behave.then("each machine had its upkeep once")
def step_each(context: Context) -> None:
    assert sorted(context.machines.upkeeps) == sorted(context.wave.machines)


@behave.then("no machine had its upkeep")
def step_no_upkeep(context: Context) -> None:
    assert context.machines.upkeeps == []


@behave.then("the wave was reported as completed once, at the end")
def step_reported(context: Context) -> None:
    assert context.operators.reports == [False, True]


@behave.then('the last of these orders is {answer}: "{orders}"')
def step_orders(context: Context, answer: str, orders: str) -> None:
    last = None
    for order in orders.split():
        vm, _, at = order.partition("@")
        following = machines.following(
            last, vm, float(at), LEASE_SECONDS + 0.2
        )
        last = following or last
    assert (following is not None) == (answer == "allowed")


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


@behave.given("work of {cores:g} cores that waits")
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
        job_builders.configuration(teams=(rules.Team("tally", limit=limit),))
    )


@behave.given("work of {cores:g} cores that waits, beyond its team's rate")
def step_waits_beyond(context: Context, cores: float) -> None:
    step_waits(context, cores)
    for found in context.state.jobs.values():
        found.beyond_share = True


@behave.given(
    "{jobs:d} jobs of 8 cores for 1 second that came one each {gap:g} seconds"
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


@behave.given("a lasting job that needs {workers:d} workers")
def step_lasting_job(context: Context, workers: int) -> None:
    step = job_builders.step(
        count=2 * workers, long_running=True, most_per_worker=2
    )
    now = job_builders.START
    context.state.accept(
        job_builders.job(step), model.Progress(), 0, now, False
    )
    context.state.create_due(0.0, now)


@behave.given(
    "a lasting job that needs 2 workers, its 4 tasks spread over them"
)
def step_spread_out(context: Context) -> None:
    step_lasting_job(context, 2)
    (step,) = context.state.ready.values()
    workers = itertools.cycle(context.state.workers.values())
    for number, (task, worker) in enumerate(zip(step.tasks, workers)):
        context.state.begin(task, worker, number + 1, 0.0)


@behave.given("nothing else ran for {seconds:d} seconds")
def step_only_lasting(context: Context, seconds: int) -> None:
    for worker in context.state.workers.values():
        worker.busy_at = job_builders.START + 1.0 - seconds


@behave.given("one is being emptied for {seconds:d} seconds")
def step_emptied(context: Context, seconds: int) -> None:
    step_only_lasting(context, 3)
    context.state.workers["w0"].leave(
        sizing.NOT_NEEDED, job_builders.START + 1.0 - seconds
    )


@behave.given("one is empty after {seconds:d} seconds")
def step_empty(context: Context, seconds: int) -> None:
    step_emptied(context, seconds)
    context.state.workers["w0"].runs.clear()


@behave.given("one of the workers is silent")
def step_silent(context: Context) -> None:
    worker = context.state.workers["w0"]
    worker.failed_at = worker.heard_at = job_builders.START - 1.0


@behave.given("one of the workers is in a taken-out centre")
def step_taken_out(context: Context) -> None:
    worker = context.state.workers["w0"]
    worker.entry = job_builders.entry("w0", data_centre="south")
    context.state.taken_out = frozenset(["south"])


@behave.then("the pool should {answer}")
def step_size(context: Context, answer: str) -> None:
    found = sizing.decide(context.state, 0, job_builders.START + 1.0)
    match found:
        case sizing.Grow(count=count):
            said = f"grow {count}"
        case sizing.Shrink(workers=workers):
            said = f"shrink {len(workers)}"
        case sizing.Empty():
            said = "empty 1"
        case sizing.Stay():
            said = "stay 1"
        case _:
            said = "keep"
    assert said == answer, said


@behave.given("three pools of a team that may use {cores:d} cores")
def step_three(context: Context, cores: int) -> None:
    context.store = job_fakes.MemoryStore()
    limit = resources.Vector(float(cores), 1e12, 1e12, 1e12)
    configured = job_builders.configuration(
        teams=(rules.Team("tally", limit=limit),)
    )
    context.limits = [teamlimits.TeamLimits(name) for name in "abc"]
    for limits in context.limits:
        limits.configure(configured)


@behave.when(
    "they ask and hand back at random with seed {seed:d}, answers being lost"
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
                limits.need("tally", size, size.scaled(3.0), float(number))
                limits.settle(context.store, float(number))
            case 1:
                limits.settle(context.store, float(number))
            case 2 if limits.spend("tally", f"r{number}", size):
                running.append((limits, f"r{number}"))
            case 3 if running:
                owner, run = running.pop(generator.randrange(len(running)))
                owner.release("tally", run)
        if generator.random() < 0.2:
            context.store.deliver_late()
        holdings = [x._account("tally").holding for x in context.limits]
        context.granted.append(sum(x.grant.cores for x in holdings))
        context.overspent += sum(
            not x.spent.fits_in(x.grant) for x in holdings
        )


def _note_grants(context: Context) -> None:
    holdings = [x._account("tally").holding for x in context.limits]
    context.granted = [sum(x.grant.cores for x in holdings)]


@behave.when(
    "the first is granted {cores:g} cores and hands them back, unanswered"
)
def step_hands_back(context: Context, cores: float) -> None:
    size = resources.Vector(cores)
    limits = context.limits[0]
    limits.need("tally", size, size, 0.0)
    limits.settle(context.store, 0.0)
    assert limits.fits("tally", size)
    context.store.faults = ["lost"]
    limits.settle(context.store, 10.0)


@behave.when("the second asks for {cores:g} cores")
def step_asks(context: Context, cores: float) -> None:
    size = resources.Vector(cores)
    context.limits[1].need("tally", size, size, 10.0)
    context.limits[1].settle(context.store, 10.0)
    _note_grants(context)


@behave.then("the second was granted {cores:g} cores")
def step_second(context: Context, cores: float) -> None:
    holding = context.limits[1]._account("tally").holding
    assert holding.grant.cores == cores, holding.grant


@behave.then("never were more than {cores:d} cores granted in all")
def step_granted(context: Context, cores: int) -> None:
    assert max(context.granted) <= cores, max(context.granted)
    assert max(context.granted) > 0


@behave.then("no pool spent more than its grant")
def step_spent(context: Context) -> None:
    assert context.overspent == 0
