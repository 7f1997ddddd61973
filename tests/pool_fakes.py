"""Fakes of what surrounds a pool, for the tests of the job scheduler."""

import typing as t
from unittest import mock

from agaterudder.jobs import fleet
from agaterudder.jobs import orderexecutor
from agaterudder.jobs import pool as pools
from tests import job_builders
from tests import memory_store

MACHINES = 5


class FakeLink:
    """A link to a worker that answers polls as the test says.

    :ivar answers: answers to the next polls in order; later polls are
        answered with an empty listing.
    :ivar acknowledged: the end that each poll acknowledged.
    :ivar waits: the wait that each poll asked for, in seconds.
    :ivar on_renew: called while a poll is under way.
    """

    def __init__(self, answers: t.Sequence[t.Any] = ()) -> None:
        self.answers = list(answers)
        self.acknowledged: list[int] = []
        self.waits: list[float] = []
        self.on_renew: t.Callable[[], None] = lambda: None

    def renew(
        self,
        epoch: int,
        acknowledged: int,
        deadline: float | None,
        wait_seconds: float,
        timeout: float,
    ) -> t.Any:
        """Answer as set, else with a listing without runs and ends."""
        self.acknowledged.append(acknowledged)
        self.waits.append(wait_seconds)
        self.on_renew()
        if self.answers:
            return self.answers.pop(0)
        return job_builders.listing()

    def close(self) -> None:
        """Do nothing."""


class FakeHolder:
    """A holder of a pool whose store and machine list the test controls.

    :ivar on_wait: called while the ends are being stored.
    :ivar stores: whether the store stores them in time.
    :ivar reason: why its workers have ended, empty while they may run.
    :ivar on_list: called while the list of machines is asked for.
    """

    def __init__(self, state: pools.Pool) -> None:
        self.state = state
        self.lease = job_builders.lease()
        self.on_wait: t.Callable[[], None] = lambda: None
        self.stores = True
        self.reason = ""
        self.on_list: t.Callable[[], None] = lambda: None

    def holds_lease(self) -> bool:
        """Hold the lease."""
        return True

    def request_planning(self) -> None:
        """Plan nothing."""

    def termination_reason(
        self, worker: fleet.WorkerState, since: float
    ) -> str:
        """Return the reason that the test says, after what is to happen."""
        self.on_list()
        return self.reason

    def machine_evidence(self, now: float) -> str:
        """Return a fixed text."""
        return f"list of {MACHINES} machines, now"

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Store as the test says, after what is to happen meanwhile."""
        self.on_wait()
        if self.stores:
            self.state.journal.stored = self.state.journal.marked
        return self.stores


def executor(
    state: pools.Pool, link: mock.Mock
) -> orderexecutor.OrderExecutor:
    """Return the executor of a pool's orders, which all go to one link."""
    for worker in state.workers.values():
        worker.link = link
    context = job_builders.context(state, memory_store.MemoryStore())
    return orderexecutor.OrderExecutor(context, mock.Mock(), None)


class FakeScaledHolder:
    """A holder of a pool that has a standby pool.

    Implements :class:`autoscaler.PoolHolder`.
    """

    pool = job_builders.POOL

    def __init__(self, state: pools.Pool) -> None:
        self.state = state

    def holds_lease(self) -> bool:
        """Hold the lease."""
        return True

    def cordon_worker(self, worker: fleet.WorkerState, reason: str) -> None:
        """Cordon a worker from the start."""
        worker.cordon(reason, job_builders.START)

    def uncordon_worker(self, worker: fleet.WorkerState) -> None:
        """Uncordon a worker."""
        worker.cordon_reason = ""

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Mark a worker as terminated."""
        worker.terminated = True

    def store_clock(self) -> float:
        """Return a fixed time."""
        return 0.0

    def standby_pools(self) -> list[str]:
        """Return the standby pool."""
        return ["spare"]

    def machines_in_waves(self) -> frozenset[str]:
        """Return no machines."""
        return frozenset()
