"""Pools that each queue has had, as the store knows them.

A job lies with the pool that its queue had when it was submitted. A process
accepts jobs of a queue only after the queue's pool is recorded, so that every
other process, also one that starts later, knows where else a job may lie.
"""

import hashlib
import logging
import random
import typing as t

import gevent
import gevent.event

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

RETRY_SECONDS = 0.1
# Queues in one transaction, each with a precondition and a row: the store
# accepts 100 entries.
MAX_QUEUES_PER_WRITE = 45


def queue_key(queue: operatorconfig.Queue) -> str:
    """Return the key of a queue's row.

    Callers know a queue by its host and prefix; its name may change. The key
    is a digest, as the store limits the length of keys.
    """
    address = f"{queue.host} {queue.prefix}".encode()
    return hashlib.sha256(address).hexdigest()[:32]


class QueuePools:
    """Records the pools of the configured queues and reads those of before."""

    __slots__ = (
        "_store",
        "_configuration",
        "_recorded_version",
        "_read_version",
        "_uses",
        "_needed",
        "_recorded",
    )

    def __init__(self, store: ports.Store) -> None:
        self._store = store
        self._configuration: operatorconfig.Configuration | None = None
        self._recorded_version = 0
        self._read_version = 0
        self._uses: dict[str, list[model.UsedPool]] = {}
        self._needed = gevent.event.Event()
        self._recorded = gevent.event.Event()

    def configure(
        self, configuration: operatorconfig.Configuration | None
    ) -> None:
        """Have the pools of a configuration recorded by :meth:`run`."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._needed.set()

    def run(self) -> None:
        """Record the pools of each configuration until killed."""
        while True:
            self._needed.wait()
            self._needed.clear()
            while not self.record():
                gevent.sleep(RETRY_SECONDS * (1 + random.random()))

    def record(self) -> bool:
        """Record the pools of the present configuration.

        :returns: whether they are recorded.
        """
        configuration = self._configuration
        if configuration is None:
            return True
        try:
            known, read_version = self._read()
        except exceptions.CallFailed as error:
            LOG.info(
                "pools of the queues not read; retrying",
                extra={"version": configuration.version, "why": error},
            )
            return False
        moved = _moved(configuration, known)
        if not self._write(configuration.version, moved, known):
            return False
        found = (configuration.version, read_version)
        if found >= (self._recorded_version, self._read_version):
            self._recorded_version, self._read_version = found
            self._uses = {
                key: row.pools for key, (row, _) in (known | moved).items()
            }
        self._recorded.set()
        return True

    def _read(self) -> tuple[dict[str, tuple[model.QueuePools, int]], int]:
        """Return the rows with their versions, by key, and the store's."""
        found = {}
        scan = self._store.scan(
            model.QUEUE_POOLS_TABLE, model.QUEUE_POOLS_PARTITION
        )
        for row in scan.rows:
            try:
                content = model.decode(row.value, model.QueuePools)
            except exceptions.Undecodable as error:
                LOG.warning(
                    "pools of a queue can't be decoded, replaced",
                    extra={"row": row.key, "why": error},
                )
                content = model.QueuePools("", [])
            found[row.key] = (content, row.version)
        return found, scan.version

    def _write(
        self,
        version: int,
        moved: t.Mapping[str, tuple[model.QueuePools, int]],
        known: t.Mapping[str, tuple[model.QueuePools, int]],
    ) -> bool:
        """Write the rows of queues that moved; return whether they are stored.

        A conflict means that another process wrote first.
        """
        keys = sorted(moved)
        for first in range(0, len(keys), MAX_QUEUES_PER_WRITE):
            batch = keys[first : first + MAX_QUEUES_PER_WRITE]
            outcome = self._store.transact(
                model.QUEUE_POOLS_PARTITION,
                [
                    ports.Precondition(
                        model.QUEUE_POOLS_TABLE, key, moved[key][1]
                    )
                    for key in batch
                ],
                [
                    ports.Put(
                        model.QUEUE_POOLS_TABLE,
                        key,
                        model.encode(moved[key][0]),
                    )
                    for key in batch
                ],
            )
            if not isinstance(outcome, ports.Committed):
                return False
            _report(version, batch, moved, known)
        return True

    def earlier(
        self, queue: operatorconfig.Queue, version: int, deadline: float
    ) -> list[str] | codes.Refused:
        """Return the other pools that a queue has had.

        Waits until they are recorded for a version of the configuration.

        :param deadline: how long to wait, by :func:`clock.now`.
        """
        while self._recorded_version < version:
            left = deadline - clock.now()
            self._recorded.clear()
            if left <= 0 or not self._recorded.wait(left):
                return codes.Refused(
                    codes.Result.STALE, "the queue's pool is not recorded yet"
                )
        found = [used.pool for used in self.uses(queue)]
        if not found or found[-1] != queue.pool:
            return codes.Refused(
                codes.Result.STALE, "the queue has moved to another pool"
            )
        return [pool for pool in dict.fromkeys(found) if pool != queue.pool]

    @property
    def read(self) -> bool:
        """Whether the pools that the queues have had are known."""
        return self._recorded_version > 0

    def known(self, queue: operatorconfig.Queue) -> list[str]:
        """Return the pools that a queue is known to have had."""
        return list(dict.fromkeys(used.pool for used in self.uses(queue)))

    def uses(self, queue: operatorconfig.Queue) -> list[model.UsedPool]:
        """Return the pools that a queue is known to have had, in order.

        A pool is there once for each name that the queue had with it.
        """
        return self._uses.get(queue_key(queue), [])


def _moved(
    configuration: operatorconfig.Configuration,
    known: t.Mapping[str, tuple[model.QueuePools, int]],
) -> dict[str, tuple[model.QueuePools, int]]:
    """Return the rows to write, each with the version that it replaces.

    A row of a later version of the configuration is left as it is. Of queues
    at the same address, the first gets the requests.
    """
    moved = {}
    served: set[str] = set()
    for queue in configuration.queues.values():
        key = queue_key(queue)
        if key in served:
            continue
        served.add(key)
        row, version = known.get(key, (model.QueuePools("", []), 0))
        last = row.pools[-1] if row.pools else model.UsedPool("", 0)
        same = last.pool == queue.pool and last.queue == queue.name
        if same or last.since > configuration.version:
            continue
        used = model.UsedPool(queue.pool, configuration.version, queue.name)
        address = f"{queue.host} {queue.prefix}"
        moved[key] = (model.QueuePools(address, [*row.pools, used]), version)
    return moved


def _report(
    version: int,
    keys: t.Sequence[str],
    moved: t.Mapping[str, tuple[model.QueuePools, int]],
    known: t.Mapping[str, tuple[model.QueuePools, int]],
) -> None:
    """Log which queues were recorded with a new pool."""
    for key in keys:
        row, _ = moved[key]
        LOG.info(
            "pool of a queue recorded",
            extra={
                "address": row.address,
                "version": version,
                "pool": row.pools[-1].pool,
                "before": " ".join(used.pool for used in row.pools[:-1]),
                "known": key in known,
            },
        )
