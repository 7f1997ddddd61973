"""Numbers of accepted jobs of which no task has started."""

import logging
import typing as t

from agaterudder import exceptions
from agaterudder.jobs import callreports
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools

LOG = logging.getLogger(__name__)

READ_TIMEOUT_SECONDS = 0.6
# A published count that is older is not used.
MAX_AGE_SECONDS = 1.9


class PendingCounts:
    """Counts the pending jobs of a queue in all pools that it has had.

    A job stays with the pool that its queue had when it was accepted, under
    the name that the queue had then.

    :param store_clock: returns an upper bound of the store's clock.
    """

    __slots__ = ("_store", "_queue_pools", "_store_clock")

    def __init__(
        self,
        store: ports.Store,
        queue_pools: queuepools.QueuePools,
        store_clock: t.Callable[[], float],
    ) -> None:
        self._store = store
        self._queue_pools = queue_pools
        self._store_clock = store_clock

    def count(
        self, queue: operatorconfig.Queue, usage: callreports.Usage
    ) -> int:
        """Return how many jobs of a queue are pending.

        :param usage: records what is read.
        :raises CallFailed: when the store did not answer.
        :raises Undecodable: when a published count can't be decoded.
        """
        names = {queue.pool: {queue.name}}
        for used in self._queue_pools.uses(queue):
            names.setdefault(used.pool, set()).add(used.queue or queue.name)
        return sum(
            self._count_in(pool, found, usage) for pool, found in names.items()
        )

    def _count_in(
        self, pool: str, names: t.Collection[str], usage: callreports.Usage
    ) -> int:
        usage.pools.append(pool)
        usage.store_calls += 1
        row = self._store.read(
            model.PENDING_TABLE,
            model.pending_partition(pool),
            model.PENDING_KEY,
            READ_TIMEOUT_SECONDS,
        )
        if row is not None:
            found = model.decode(row.value, model.Pending)
            if self._store_clock() - found.written_at < MAX_AGE_SECONDS:
                return sum(found.counts.get(name, 0) for name in names)
        return self._count_rows(pool, names, usage)

    def _count_rows(
        self, pool: str, names: t.Collection[str], usage: callreports.Usage
    ) -> int:
        """Count the rows of a pool whose holder publishes no count."""
        usage.store_calls += 2
        started = {
            row.key
            for row in self._store.scan(model.PROGRESS_TABLE, pool).rows
        }
        return sum(
            1
            for row in self._store.scan(model.jobs_table(pool), pool).rows
            if not row.key.endswith(model.CANCEL_SUFFIX)
            and row.key not in started
            and _queue_name(row) in names
        )


def _queue_name(row: ports.Row) -> str:
    """Return the queue of a stored job, empty when it can't be decoded."""
    try:
        return model.decode(row.value, model.Job).queue
    except exceptions.Undecodable as error:
        LOG.debug(
            "stored job not counted as pending",
            extra={"job": row.key, "why": error},
        )
        return ""
