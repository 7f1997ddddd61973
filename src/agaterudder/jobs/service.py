"""Job service of an entry VM: creates and connects its components."""

import logging
import typing as t

import gevent

from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import deployment
from agaterudder.jobs import greenlets
from agaterudder.jobs import holder
from agaterudder.jobs import instrumentedstore
from agaterudder.jobs import jobapi
from agaterudder.jobs import leases
from agaterudder.jobs import machines
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder import metrics
from agaterudder import utils

LOG = logging.getLogger(__name__)

# Leases are shorter than the configured bound: a pool without a holder is
# acquired sooner, and a holder that lost contact has sent no orders for the
# remaining time.
HOLDER_LEASE_FRACTION = 0.7


class Adapter(t.Protocol):
    """Connections to the platform that its adapter provides."""

    store: ports.Store
    operators: ports.Operators
    worker_list: ports.WorkerList
    machines: ports.Machines
    policy: ports.Policy | None

    def worker_client(
        self, registration: ports.WorkerRegistration
    ) -> ports.Worker:
        """Open the link to a worker."""


class Service:
    """Job service of one entry VM.

    :param settings: deployment of this process.
    """

    def __init__(
        self, settings: deployment.Deployment, adapter: Adapter
    ) -> None:
        self.settings = settings
        self.incarnation = utils.new_identifier()
        self.metrics = metrics.Metrics()
        self._adapter = adapter
        self._store = instrumentedstore.InstrumentedStore(
            adapter.store, self.metrics
        )
        self.cluster = clustercache.ClusterCache(
            adapter.operators,
            adapter.worker_list,
            settings.bounds.key_withdrawal,
        )
        self.lease_manager = leases.LeaseManager(
            # A replacement VM may have the name of the VM before it, but has
            # an address of its own.
            f"{settings.vm} {settings.frontend}",
            self.incarnation,
            self._store,
            settings.bounds.holder_lease * HOLDER_LEASE_FRACTION,
            settings.cores,
            self._pools,
            self._start_holder,
            self._stop_holder,
        )
        self._queue_pools = queuepools.QueuePools(self._store)
        self.cluster.subscribe(self._record_queues)
        self.job_api = jobapi.JobApi(
            self._store,
            self.cluster,
            self._queue_pools,
            self.lease_manager.store_clock,
            self.metrics,
            settings.bounds.row_bytes,
        )
        self._machine_control = holder.MachineControl(
            adapter.operators,
            machines.MachineCache(adapter.machines),
            machines.MachineOrders(
                self._store,
                adapter.machines,
                settings.vm,
                settings.bounds.holder_lease,
            ),
        )
        self.holders: dict[str, holder.Holder] = {}
        self._loops: list[gevent.Greenlet] = []
        self.draining = False

    def start(self) -> None:
        """Start the background loops."""
        self._loops = [
            greenlets.spawn(
                self.cluster.operators.run, what="watch of the configuration"
            ),
            greenlets.spawn(
                self.cluster.registrations.run,
                what="watch of the registrations",
            ),
            greenlets.spawn(self.lease_manager.run, what="claims of leases"),
            greenlets.spawn(
                self._queue_pools.run, what="record of the queues' pools"
            ),
        ]

    def ready(self) -> bool:
        """Return whether clients should be routed here."""
        return not self.draining and self.cluster.fresh(clock.now())

    def drain(self) -> None:
        """Release the pools, so that others can acquire them at once."""
        self.draining = True
        self.lease_manager.release_all()

    def stop(self) -> None:
        """Stop the background loops."""
        gevent.killall(self._loops, block=False)

    def _record_queues(self) -> None:
        self._queue_pools.configure(self.cluster.configuration)

    def _pools(self) -> list[str]:
        configuration = self.cluster.configuration
        if configuration is None:
            return []
        return sorted(configuration.pools)

    def _start_holder(self, lease: leases.Lease) -> None:
        found = holder.Holder(
            lease,
            self.lease_manager,
            self._store,
            self.cluster,
            self.settings.bounds,
            self._adapter.worker_client,
            self._adapter.policy,
            self._machine_control,
            self.metrics,
        )
        self.holders[lease.pool] = found
        self.cluster.follow_workers(clock.now())
        found.start()

    def _stop_holder(self, lease: leases.Lease, reason: str) -> None:
        found = self.holders.get(lease.pool)
        if found is not None and found.lease is lease:
            del self.holders[lease.pool]
            self.cluster.unfollow_workers()
            found.stop()
