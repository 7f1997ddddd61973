"""Steps for the leases of pools."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import clock
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import ports
from tests import memory_store

Context = t.Any
POOL = "count"
LEASE_SECONDS = 2.0
MAX_CLAIM_DELAY_SECONDS = 1.0


def _manager(
    context: Context, name: str, process: int = 1, cores: float = 1.0
) -> leases.LeaseManager:
    return leases.LeaseManager(
        name,
        f"{name}-{process}",
        context.store,
        LEASE_SECONDS,
        cores,
        lambda: [POOL],
        lambda lease: context.acquired.append((name, lease)),
        lambda lease, reason: context.lost.append((name, lease)),
    )


def _advance_clock(context: Context, seconds: float) -> None:
    context.now += seconds
    context.store.clock += seconds


def _scan(context: Context, name: str) -> None:
    """Scan for free pools before and after the delay of a claim."""
    manager = context.managers[name]
    manager._claim_free_pools()
    _advance_clock(context, MAX_CLAIM_DELAY_SECONDS)
    manager._claim_free_pools()


def _lease(context: Context, name: str) -> leases.Lease:
    return context.managers[name].leases[POOL]


@behave.given('processes "a" and "b" and one pool')
def step_processes(context: Context) -> None:
    context.store = memory_store.MemoryStore()
    context.now = 500.0
    context.acquired = []
    context.lost = []
    patches = [
        mock.patch.object(clock, "now", lambda: context.now),
        mock.patch.object(leases.greenlets, "spawn", lambda *_, **__: None),
    ]
    for patch in patches:
        patch.start()
        context.cleanups.append(patch.stop)
    context.managers = {name: _manager(context, name) for name in "ab"}


@behave.given('"{name}" holds the pool')
def step_holds_first(context: Context, name: str) -> None:
    _scan(context, name)
    context.first = _lease(context, name)
    assert context.managers[name]._renew(context.first)


@behave.given('"{name}" runs on {cores:g} cores')
def step_cores(context: Context, name: str, cores: float) -> None:
    context.managers[name] = _manager(context, name, cores=cores)


@behave.given('"{name}" holds {count:d} other pools')
def step_other_pools(context: Context, name: str, count: int) -> None:
    for number in range(count):
        other = leases.Lease(f"other-{number}", 1, 1e9)
        context.managers[name].leases[other.pool] = other


@behave.when("both scan for free pools every {seconds:g} seconds")
def step_both_often(context: Context, seconds: float) -> None:
    held: list[str] = []
    while not held:
        for name in "ab":
            context.managers[name]._claim_free_pools()
        _advance_clock(context, seconds)
        held = [name for name in "ab" if POOL in context.managers[name].leases]


@behave.then('"{name}" is the holder')
def step_is_holder(context: Context, name: str) -> None:
    assert POOL in context.managers[name].leases


@behave.when('"{name}" scans once')
def step_scan_once(context: Context, name: str) -> None:
    context.managers[name]._claim_free_pools()


@behave.when(
    'time passes as "{name}" waits between its scans, {times:d} times at most'
)
def step_waits_between(context: Context, name: str, times: int) -> None:
    manager = context.managers[name]
    context.began_at = context.now
    for _ in range(times):
        _advance_clock(context, manager.next_scan_delay(context.now))
        manager._claim_free_pools()
        if manager.leases:
            return


@behave.when('"{name}" is killed and restarted')
def step_starts_again(context: Context, name: str) -> None:
    context.managers[name] = _manager(context, name, 2)


@behave.when("the store refuses all transactions")
def step_refuses(context: Context) -> None:
    context.store.faults = ["refused"] * 100


@behave.then(
    '"{name}" tried to claim it at most once every {seconds:g} seconds'
)
def step_tried(context: Context, name: str, seconds: float) -> None:
    assert not context.managers[name].leases
    tried = 100 - len(context.store.faults)
    passed = context.now - context.began_at
    assert 1 < tried <= 1 + passed / seconds, (tried, passed)


@behave.then("it took {seconds:g} seconds at most")
def step_took(context: Context, seconds: float) -> None:
    assert context.now - context.began_at <= seconds, context.now


@behave.when("both scan for free pools")
def step_both(context: Context) -> None:
    for name in "abab":
        context.managers[name]._claim_free_pools()
        _advance_clock(context, 0.1)


@behave.when('"{name}" scans for free pools')
def step_scan(context: Context, name: str) -> None:
    _scan(context, name)


@behave.when('{seconds:d} seconds pass in which "{name}" renews')
def step_renewing(context: Context, seconds: int, name: str) -> None:
    for _ in range(seconds):
        _advance_clock(context, 1.0)
        assert context.managers[name]._renew(_lease(context, name))


@behave.when("{seconds:d} seconds pass without a renewal")
def step_no_renewal(context: Context, seconds: int) -> None:
    _advance_clock(context, float(seconds))


@behave.when("time passes in steps of {seconds:g} seconds without a renewal")
def step_steps(context: Context, seconds: float) -> None:
    context.overlaps = 0
    context.free_steps = 0
    other = context.managers["b"]
    for _ in range(100):
        _advance_clock(context, seconds)
        row = context.store.read(
            model.LEASES_TABLE, model.lease_partition(POOL), model.LEASE_KEY
        )
        lease = model.decode(row.value, model.Lease)
        free = context.store.clock >= lease.expires_at
        context.free_steps += free
        context.overlaps += free and context.first.valid(context.now)
    assert other.leases == {}


@behave.when('a renewal of "{name}" gets no answer and takes effect late')
def step_late(context: Context, name: str) -> None:
    context.store.faults = ["late"]
    assert not context.managers[name]._renew(context.first)


@behave.when("the late call takes effect")
def step_deliver(context: Context) -> None:
    context.store.deliver_late()


@behave.when('the answer to a renewal of "{name}" is lost')
def step_lost(context: Context, name: str) -> None:
    context.store.faults = ["lost"]
    assert not context.managers[name]._renew(context.first)


@behave.when('"{name}" renews')
def step_renews(context: Context, name: str) -> None:
    context.managers[name]._renew(context.first)


@behave.when('"{name}" shuts down')
def step_leaves(context: Context, name: str) -> None:
    context.managers[name].release_all()


@behave.when('"{name}" stores progress under its epoch')
def step_stores(context: Context, name: str) -> None:
    precondition = ports.Precondition(
        model.HOLDERS_TABLE, model.HOLDER_KEY, context.first.epoch
    )
    put = ports.Put(model.PROGRESS_TABLE, "job", b"x")
    context.outcome = context.store.transact(POOL, [precondition], [put])


@behave.then("one of them holds the pool")
def step_one(context: Context) -> None:
    held = [name for name in "ab" if context.managers[name].leases]
    assert len(held) == 1, held


@behave.then('"{name}" holds the pool')
def step_holds(context: Context, name: str) -> None:
    held = [name for name in "ab" if context.managers[name].leases]
    assert held == [name], held


@behave.then('"{name}" holds the pool with a higher epoch')
def step_higher(context: Context, name: str) -> None:
    assert _lease(context, name).epoch > context.first.epoch
    row = context.store.read(
        model.LEASES_TABLE, model.lease_partition(POOL), model.LEASE_KEY
    )
    assert model.decode(row.value, model.Lease).vm == name


@behave.then('the lease of "{name}" is valid')
def step_may(context: Context, name: str) -> None:
    assert _lease(context, name).valid(context.now)


@behave.then('the lease of "{name}" has expired')
def step_may_not(context: Context, name: str) -> None:
    assert not context.first.valid(context.now)


@behave.then(
    'there was no step at which the lease of "a" is valid and the pool is free'
)
def step_never_both(context: Context) -> None:
    assert context.free_steps > 0
    assert context.overlaps == 0


@behave.then("nothing was stored")
def step_nothing(context: Context) -> None:
    assert isinstance(context.outcome, ports.Conflicted)


@behave.when(
    '"a" claims the pool, and "b" scans while "a" reads the holder row for'
    " {seconds:g} s"
)
def step_slow_claim(context: Context, seconds: float) -> None:
    read = context.store.read

    def read_slowly(*arguments: t.Any) -> t.Any:
        context.store.read = read
        _advance_clock(context, seconds)
        _scan(context, "b")
        return read(*arguments)

    context.store.read = read_slowly
    _scan(context, "a")


@behave.then('"{name}" holds the pool with the highest epoch')
def step_highest_epoch(context: Context, name: str) -> None:
    holders = [
        manager for manager in context.managers.values() if manager.leases
    ]
    assert holders == [context.managers[name]], len(holders)
    row = context.store.read(model.HOLDERS_TABLE, POOL, model.HOLDER_KEY)
    assert row.version == _lease(context, name).epoch
