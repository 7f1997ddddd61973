"""Builders of jobs, workers and pools for the tests of the job scheduler."""

import math
import typing as t

from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import context as contexts
from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import jobapi
from agaterudder.jobs import jobcalls
from agaterudder.jobs import leases
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import pool
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder.jobs import teamlimits
from agaterudder import metrics
from agaterudder import resources
from tests import memory_store

POOL = "count"
QUEUE = "checks"
EPOCH = 7
# Time at which a test begins, and the reading of the workers' clocks then.
START = 10.0
START_CLOCK = 100.0
KEY_BOUND_SECONDS = 5.0
DEADLINE_SECONDS = 3.0
SIZE = resources.Vector(16.0, 32_000.0)


class SilentLink:
    """A link to a worker on which any call fails the test."""

    def __getattr__(self, name: str) -> t.Any:
        raise AssertionError(f"{name} was called")


def step(**fields: t.Any) -> model.Step:
    """Return a step of two tasks of one core, changed by the fields."""
    values: dict[str, t.Any] = {
        "count": 2,
        "size": resources.Vector(1.0, 100.0),
        "estimate_seconds": 1.0,
    }
    values.update(fields)
    return model.Step(**values)


def job(*steps: model.Step, **fields: t.Any) -> model.Job:
    """Return a job of the steps, changed by the fields."""
    request = model.Request(
        "text",
        steps or (step(),),
        fields.pop("times", 0),
        fields.pop("start_at", 0.0),
        fields.pop("interval", 0.0),
    )
    values: dict[str, t.Any] = {
        "job": "00000000000000aa",
        "queue": QUEUE,
        "team": "tally",
        "accepted_at": 0.0,
        "request": request,
    }
    values.update(fields)
    return model.Job(**values)


def registration(
    name: str = "w1", **fields: t.Any
) -> ports.WorkerRegistration:
    """Return the registration of a ready worker, changed by the fields."""
    values: dict[str, t.Any] = {
        "worker": name,
        "pool": POOL,
        "address": "127.0.0.1:9",
        "data_centre": "north",
        "state": ports.WORKER_READY,
        "size": SIZE,
        "labels": ("a", "rack-1"),
        "rack": "rack-1",
        "incarnation": 1,
    }
    values.update(fields)
    return ports.WorkerRegistration(**values)


def worker(name: str = "w1", **fields: t.Any) -> fleet.WorkerState:
    """Return a worker that accepts tasks, last polled at ``START``."""
    link = t.cast(ports.Worker, SilentLink())
    found = fleet.WorkerState(registration(name, **fields), link)
    found.fenced = True
    found.persisted = True
    first = ports.Listing(found.incarnation, START_CLOCK, (), ())
    found.record_poll(first, START, START)
    return found


def queue(**fields: t.Any) -> operatorconfig.Queue:
    """Return the queue of the jobs, changed by the fields."""
    values: dict[str, t.Any] = {
        "name": QUEUE,
        "host": "north.example",
        "prefix": "/checks/",
        "pool": POOL,
        "max_attempts": 3,
        "stretch": 1.6,
        "target_seconds": 0.6,
    }
    values.update(fields)
    return operatorconfig.Queue(**values)


def configuration(
    version: int = 1,
    teams: t.Sequence[operatorconfig.Team] = (
        operatorconfig.Team("tally", ("key-1",)),
    ),
    queues: t.Sequence[operatorconfig.Queue] = (),
) -> operatorconfig.Configuration:
    """Return a configuration of one pool and one queue."""
    found = queues or (queue(),)
    return operatorconfig.Configuration(
        version,
        {item.name: item for item in found},
        {
            POOL: operatorconfig.Pool(POOL),
            "spare": operatorconfig.Pool("spare", standby=True),
        },
        {team.name: team for team in teams},
        10_000,
    )


def state(
    workers: t.Sequence[fleet.WorkerState] = (),
    configured: operatorconfig.Configuration | None = None,
) -> pool.Pool:
    """Return a pool with the workers, taken over at ``START``."""
    known = configured or configuration()
    limits = teamlimits.TeamLimits(POOL)
    limits.configure(known)
    found = pool.Pool(POOL, EPOCH, deployment.Bounds(), limits, START)
    found.queues = known.queues
    # Registrations are confirmed all the while.
    found.sizes_confirmed_at = math.inf
    for item in workers:
        found.adopt_worker(item)
    return found


def lease(epoch: int = EPOCH) -> leases.Lease:
    """Return a lease of the pool that does not expire."""
    found = leases.Lease(POOL, 1, 1e9)
    found.epoch = epoch
    return found


def context(
    state: pool.Pool, store: memory_store.MemoryStore, epoch: int = EPOCH
) -> contexts.Context:
    """Return the context of a pool that this process holds the lease of."""
    return contexts.Context(
        lease(epoch),
        state,
        store,
        state.metrics,
        lambda: store.clock,
        lambda reason: None,
    )


def listing(
    running: t.Sequence[ports.Running] = (),
    ended: t.Sequence[ports.Ended] = (),
    clock: float = START_CLOCK,
    incarnation: int = 1,
    more_ends: bool = False,
) -> ports.Listing:
    """Return a listing of a worker."""
    return ports.Listing(
        incarnation, clock, tuple(running), tuple(ended), more_ends
    )


def stored_job(name: str, found: operatorconfig.Queue) -> model.Job:
    """Return a job of one task as it is stored when its queue accepts it."""
    store = memory_store.MemoryStore()
    api = job_api(store, configuration(queues=(found,)))
    call = jobcalls.Call(found, name, "key-1", clock.now() + DEADLINE_SECONDS)
    answer = api.submit(call, job(step(count=1)).request)
    assert isinstance(answer, jobcalls.Accepted), answer
    row = store.read(model.jobs_table(POOL), POOL, name)
    assert row is not None
    return model.decode(row.value, model.Job)


def job_api(
    store: memory_store.MemoryStore,
    configured: operatorconfig.Configuration,
    metrics_registry: metrics.Metrics | None = None,
) -> jobapi.JobApi:
    """Return the job API of a VM whose configuration was just confirmed.

    The pools of its queues are recorded with each configuration, at once.
    """
    cluster = clustercache.ClusterCache(
        t.cast(ports.Operators, None),
        t.cast(ports.WorkerList, None),
        KEY_BOUND_SECONDS,
    )
    queue_pools = queuepools.QueuePools(store)

    def record() -> None:
        queue_pools.configure(cluster.configuration)
        queue_pools.record()

    cluster.subscribe(record)
    cluster._apply_operator_changes((ports.ConfigurationSet(configured),))
    cluster.operators.confirmed_at = clock.now()
    return jobapi.JobApi(
        store,
        cluster,
        queue_pools,
        lambda: store.clock,
        metrics_registry or metrics.Metrics(),
        deployment.Bounds().row_bytes,
    )
