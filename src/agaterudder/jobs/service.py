"""The central class of jobs on an entry VM: opens all the rest."""

import logging
import typing as t

import gevent

from agaterudder.jobs import beliefs
from agaterudder.jobs import clock
from agaterudder.jobs import deployment
from agaterudder.jobs import frontdoor
from agaterudder.jobs import holder
from agaterudder.jobs import machines
from agaterudder.jobs import measured
from agaterudder.jobs import ownership
from agaterudder.jobs import ports
from agaterudder import metrics
from agaterudder import utils

LOG = logging.getLogger(__name__)


# A pool without a holder is taken sooner than the bound asks for; a holder
# that lost touch has not ordered anything for the rest of it.
HOLDER_LEASE_PART = 0.7


class Outside(t.Protocol):
    """What an adapter opens for a process."""

    store: ports.Store
    operators: ports.Operators
    worker_list: ports.WorkerList
    machines: ports.Machines
    policy: ports.Policy | None

    def worker(self, entry: ports.WorkerEntry) -> ports.Worker:
        """Return the link to a worker."""


class Service:
    """Jobs on one entry VM.

    :param settings: where this process runs.
    """

    def __init__(
        self, settings: deployment.Deployment, outside: Outside
    ) -> None:
        self.settings = settings
        self.incarnation = utils.new_identifier()
        self.metrics = metrics.Metrics()
        self._outside = outside
        self._store = measured.MeasuredStore(outside.store, self.metrics)
        self.beliefs = beliefs.Beliefs(
            outside.operators,
            outside.worker_list,
            settings.bounds.key_withdrawal,
        )
        self.owner = ownership.Owner(
            # A VM that replaces another may have its name, at an address of
            # its own.
            f"{settings.vm} {settings.frontend}",
            self.incarnation,
            self._store,
            settings.bounds.holder_lease * HOLDER_LEASE_PART,
            self._pools,
            self._take,
            self._drop,
        )
        self.front_door = frontdoor.FrontDoor(
            self._store, self.beliefs, self.owner.store_clock, self.metrics
        )
        self._fleet_tools = holder.FleetTools(
            outside.operators,
            machines.View(outside.machines),
            machines.MachineOrders(
                self._store,
                outside.machines,
                settings.vm,
                settings.bounds.holder_lease,
            ),
        )
        self.holders: dict[str, holder.Holder] = {}
        self._loops: list[gevent.Greenlet] = []
        self.leaving = False

    def start(self) -> None:
        """Start the loops."""
        self._loops = [
            gevent.spawn(self.beliefs.operators.run),
            gevent.spawn(self.beliefs.registrations.run),
            gevent.spawn(self.owner.run),
        ]

    def ready(self) -> bool:
        """Return whether callers should come here."""
        return not self.leaving and self.beliefs.fresh(clock.now())

    def leave(self) -> None:
        """Give the pools up, so that others take them at once."""
        self.leaving = True
        self.owner.release_all()

    def stop(self) -> None:
        """End the loops."""
        gevent.killall(self._loops, block=False)

    def _pools(self) -> list[str]:
        configuration = self.beliefs.configuration
        if (
            configuration is None
            or not self.beliefs.registrations.confirmed_at
        ):
            return []
        return sorted(configuration.pools)

    def _take(self, lease: ownership.Lease) -> None:
        found = holder.Holder(
            lease,
            self.owner,
            self._store,
            self.beliefs,
            self.settings.bounds,
            self._outside.worker,
            self._outside.policy,
            self._fleet_tools,
            self.metrics,
        )
        self.holders[lease.pool] = found
        found.start()

    def _drop(self, lease: ownership.Lease, reason: str) -> None:
        found = self.holders.get(lease.pool)
        if found is not None and found.lease is lease:
            del self.holders[lease.pool]
            found.stop()
