"""Workers of a pool: the registered ones and those that were used.

The list of workers that a pool uses is stored before a task starts on a
new one, so that the next holder knows where tasks may run.
"""

import logging
import typing as t

import gevent
import msgspec

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import context as contexts
from agaterudder.jobs import fleet
from agaterudder.jobs import machines
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from agaterudder import resources

LOG = logging.getLogger(__name__)

WORKERS_KEY = "workers"
RETRY_SECONDS = 0.1


class KnownWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that a pool may have started tasks on."""

    worker: str
    address: str
    data_centre: str
    incarnation: int


class WorkerRegistry:
    """Tracks the workers of a pool and stores which ones it uses.

    :param connect: opens the link to a worker.
    :param longest_lease: longest lease of a worker, seconds.
    """

    __slots__ = (
        "_holder",
        "_context",
        "_cluster",
        "_connect",
        "_machine_cache",
        "_longest_lease",
        "_loops",
        "_persisted",
        "_persisted_version",
        "_terminated_incarnations",
        "_unused_addresses",
    )

    def __init__(
        self,
        context: contexts.Context,
        cluster: clustercache.ClusterCache,
        connect: t.Callable[[ports.WorkerRegistration], ports.Worker],
        machine_cache: machines.MachineCache,
        longest_lease: float,
        holder: workerloop.PoolHolder,
    ) -> None:
        self._holder = holder
        self._context = context
        self._cluster = cluster
        self._connect = connect
        self._machine_cache = machine_cache
        self._longest_lease = longest_lease
        self._loops: dict[str, workerloop.WorkerLoop] = {}
        self._persisted: dict[str, KnownWorker] = {}
        self._persisted_version = 0
        self._terminated_incarnations: dict[str, int] = {}
        self._unused_addresses: dict[str, str] = {}

    def recover(self) -> None:
        """Load the workers that earlier holders used.

        :raises CallFailed: when the store did not answer.
        """
        row = self._context.store.read(
            model.HOLDERS_TABLE, self._context.pool, WORKERS_KEY
        )
        if row is not None:
            self._persisted_version = row.version
            self._persisted = {
                item.worker: item for item in self._known_workers(row)
            }
        self._recover_workers()

    def _known_workers(self, row: ports.Row) -> list[KnownWorker]:
        """Return the stored workers, none when the row can't be decoded.

        The registered workers are asked for their runs in any case.
        """
        try:
            return model.decode(row.value, list[KnownWorker])
        except exceptions.Undecodable as error:
            LOG.error(
                "stored workers can't be decoded; using the registered ones",
                extra={"pool": self._context.pool, "why": error},
            )
            return []

    def stop(self) -> None:
        """Stop the loops of all workers."""
        for loop in self._loops.values():
            loop.stop()

    def wake(self, worker: runs.Worker) -> None:
        """Poll a worker soon."""
        loop = self._loops.get(worker.name)
        if loop is not None:
            loop.wake()

    def _recover_workers(self) -> None:
        registered = self._cluster.workers
        for item in self._persisted.values():
            registration = registered.get(
                item.worker
            ) or ports.WorkerRegistration(
                item.worker,
                self._context.pool,
                item.address,
                item.data_centre,
                ports.WORKER_READY,
                fleet.NO_CAPACITY,
                (),
                "",
                item.incarnation,
            )
            worker = self._add_worker(registration)
            worker.persisted = True
        # The stored list may lack one that an earlier holder had given up.
        self.sync_registrations()
        self._context.state.recovery.unconfirmed_workers.update(
            self._context.state.workers
        )

    def sync_registrations(self) -> None:
        """Bring the workers in line with their registrations."""
        registered = {
            name: registration
            for name, registration in self._cluster.workers.items()
            if registration.pool == self._context.pool
            and self._terminated_incarnations.get(name)
            != registration.incarnation
        }
        self._terminated_incarnations = {
            name: incarnation
            for name, incarnation in self._terminated_incarnations.items()
            if name in self._cluster.workers
        }
        for name, registration in registered.items():
            worker = self._context.state.workers.get(name)
            if worker is None:
                worker = self._add_worker(registration)
            elif worker.registration != registration:
                self._update_worker(worker, registration)
            worker.registered = True
        now = clock.now()
        for worker in list(self._context.state.workers.values()):
            if worker.name not in registered and worker.registered:
                LOG.info(
                    "worker registration removed",
                    extra={"worker": worker.name},
                )
                worker.registered = False
                worker.unregistered_at = now
                self.wake(worker)
        if any(not w.persisted for w in self._context.state.workers.values()):
            self._context.persist_needed.set()

    def _add_worker(
        self, registration: ports.WorkerRegistration
    ) -> fleet.WorkerState:
        worker = fleet.WorkerState(registration, self._connect(registration))
        _apply_drain_state(worker, registration)
        worker.idle_since = clock.now()
        self._context.state.adopt_worker(worker)
        workerends.stop_late_starts(self._context.state, worker, clock.now())
        loop = workerloop.WorkerLoop(worker, self._holder, self._longest_lease)
        self._loops[worker.name] = loop
        loop.start()
        return worker

    def _update_worker(
        self, worker: fleet.WorkerState, registration: ports.WorkerRegistration
    ) -> None:
        registration = self._with_address_of_life(worker, registration)
        if registration.address != worker.registration.address:
            worker.link.close()
            worker.link = self._connect(registration)
            # The stored list has the address from before.
            worker.persisted = False
        # The worker's listings may know of a later restart. Its clock may have
        # been set back, so that the latest start is not always the highest.
        if (
            registration.incarnation != worker.registration.incarnation
            and registration.incarnation > worker.incarnation
        ):
            workerends.restarted(
                self._context.state,
                worker,
                registration.incarnation,
                clock.now(),
                "its registration",
            )
        if registration.size != worker.registration.size:
            LOG.info(
                "worker capacity changed",
                extra={
                    "worker": worker.name,
                    "before": _size_text(worker.registration.size),
                    "size": _size_text(registration.size),
                    "used": _size_text(worker.used),
                },
            )
        worker.registration = registration
        _apply_drain_state(worker, registration)
        self.wake(worker)

    def _with_address_of_life(
        self,
        worker: fleet.WorkerState,
        registration: ports.WorkerRegistration,
    ) -> ports.WorkerRegistration:
        """Return a registration whose address is that of the worker's life.

        A worker keeps its address as long as it lives. An entry that says
        otherwise is another writer's, and the worker that answers there would
        make this one count as ended while it runs on.
        """
        known = worker.registration
        same_life = registration.incarnation in (0, known.incarnation)
        if not (known.incarnation and same_life):
            return registration
        if registration.address == known.address:
            return registration
        if self._unused_addresses.get(worker.name) != registration.address:
            self._unused_addresses[worker.name] = registration.address
            LOG.warning(
                "worker names another address in the same life; not used",
                extra={
                    "worker": worker.name,
                    "before": known.address,
                    "address": registration.address,
                    "life_start": known.incarnation,
                },
            )
        return msgspec.structs.replace(registration, address=known.address)

    def remove_worker(self, worker: fleet.WorkerState) -> None:
        """Remove a worker that has ended and runs nothing."""
        if worker.terminated:
            self._terminated_incarnations[worker.name] = worker.incarnation
        now = clock.now()
        away = now - worker.unregistered_at
        self._context.state.recovery.discard_worker(
            worker.name,
            "removed from pool",
            "terminated" if worker.terminated else f"away for {away:.3f} s",
            now,
        )
        self._context.state.workers.pop(worker.name, None)
        self._unused_addresses.pop(worker.name, None)
        self._loops.pop(worker.name, None)
        self._context.persist_needed.set()
        self._context.plan_needed.set()

    def termination_reason(
        self, worker: fleet.WorkerState, since: float
    ) -> str:
        """Return why an unresponsive worker ended, empty if it may run."""
        return self._machine_cache.termination_reason(worker.name, since)

    def machine_evidence(self, now: float) -> str:
        """Return the size and the age of the machine list."""
        return self._machine_cache.evidence(now)

    def mark_worker_terminated(
        self, worker: fleet.WorkerState, reason: str
    ) -> None:
        """Record that a worker and all its runs have ended."""
        now = clock.now()
        workerends.lost(
            self._context.state, worker, reason, now, "its order", ended=True
        )
        worker.fenced = False
        worker.terminated = True
        self.wake(worker)
        self._context.plan_needed.set()

    def persist_loop(self) -> None:
        """Store which workers this pool uses, before tasks start on them."""
        while True:
            self._context.persist_needed.wait()
            self._context.persist_needed.clear()
            while not self._persist_workers():
                gevent.sleep(RETRY_SECONDS)
            self._context.plan_needed.set()

    def _persist_workers(self) -> bool:
        present = list(self._context.state.workers.values())
        wanted = {
            worker.name: KnownWorker(
                worker.name,
                worker.registration.address,
                worker.registration.data_centre,
                worker.incarnation,
            )
            for worker in present
        }
        outcome = self._context.store.transact(
            self._context.pool,
            [
                self._context.epoch_precondition,
                ports.Precondition(
                    model.HOLDERS_TABLE, WORKERS_KEY, self._persisted_version
                ),
            ],
            [
                ports.Put(
                    model.HOLDERS_TABLE,
                    WORKERS_KEY,
                    model.encode(list(wanted.values())),
                )
            ],
        )
        match outcome:
            case ports.Committed(version=version):
                self._persisted = wanted
                self._persisted_version = version
                for worker in present:
                    # It may have moved while the list was being stored.
                    address = worker.registration.address
                    worker.persisted = wanted[worker.name].address == address
                return True
            case ports.Conflicted(rows=rows):
                self._context.check_epoch(rows)
                self._persisted_version = next(
                    (row.version for row in rows if row.key == WORKERS_KEY), 0
                )
                return False
            case _:
                return False


def _size_text(size: resources.Vector) -> str:
    return f"{size.cores:g} cores, {size.memory:g} MB"


def _apply_drain_state(
    worker: fleet.WorkerState, registration: ports.WorkerRegistration
) -> None:
    draining = registration.state == ports.WORKER_DRAINING
    if draining and not worker.draining:
        LOG.info(
            "worker draining; no new tasks placed on it",
            extra={"worker": worker.name},
        )
        worker.cordon("draining", clock.now())
    if not draining and worker.draining:
        worker.cordon_reason = ""
    worker.draining = draining
