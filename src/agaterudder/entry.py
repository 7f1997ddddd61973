"""The entry process: creates and connects its components."""

import itertools
import logging
import time
import typing as t

import gevent
import gevent.event

from agaterudder import adoption
from agaterudder import assurances
from agaterudder import codes
from agaterudder import configuration
from agaterudder import control
from agaterudder import controlloops
from agaterudder import decisions
from agaterudder import dispatch
from agaterudder import exceptions
from agaterudder import execution
from agaterudder import fleet
from agaterudder import freshness
from agaterudder import maintenance
from agaterudder import membership
from agaterudder import messages
from agaterudder import metrics
from agaterudder import outcomes
from agaterudder import peeradapters
from agaterudder import peers
from agaterudder import platform
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import settings
from agaterudder import store
from agaterudder import vmsteps
from agaterudder import workers

LOG = logging.getLogger(__name__)

OPEN_TEAM = "open"


class Entry:
    """One entry process.

    :param checked: the settings.
    :param connect: opens a transport to an address, with a time-out in
        seconds.
    """

    def __init__(
        self,
        checked: settings.Settings,
        connect: t.Callable[
            [str, float], store.Transport
        ] = store.HttpTransport,
    ) -> None:
        self._connect = connect
        now = time.monotonic()
        self.settings = checked
        self.vm = checked.entry.vm
        self.data_centre = checked.entry.data_centre
        self.started_at = now
        self.metrics = metrics.Metrics()
        self.decisions = decisions.Decisions()
        self.in_force = configuration.ActiveConfiguration()
        self.roster = membership.Roster()
        self.fleet = fleet.Fleet()
        self.incarnation = 0
        self.leaving = False
        self.closed = False
        self.vms: list[platform.Vm] = []
        self.gone_at: dict[str, float] = {}
        self.freshness = freshness.Freshness(
            checked.timing.pause_seconds,
            checked.timing.keyed_grace_seconds,
            now,
        )
        self._open_platform(checked)
        self._open_peers(checked)
        self._open_services(checked)
        self._open_tasks(checked)
        self._loops: list[gevent.Greenlet] = []
        self._workers: dict[str, workers.Worker] = {}
        self.control_loops = controlloops.ControlLoops(self)

    def _open_platform(self, checked: settings.Settings) -> None:
        transport = self._connect(
            checked.platform.address,
            checked.platform.timeout_seconds,
        )
        self.store = store.Store(transport)
        self.platform = platform.Platform(transport)
        self.control = control.ConfigurationControl(
            checked,
            self.store,
            self.in_force,
            self.roster,
            self._broadcast_digest,
            self.freshness.record_store_contact,
        )

    def _open_peers(self, checked: settings.Settings) -> None:
        self.links = peers.Links(
            checked.entry.stream,
            peeradapters.PeerHandler(self),
            checked.timing.heartbeat_seconds,
            checked.timing.silence_seconds,
            checked.limits.body_bytes * 8,
        )

    def _open_services(self, checked: settings.Settings) -> None:
        self.dispatcher = dispatch.Dispatcher(
            checked,
            peeradapters.PeerCalls(self),
            lambda: self.in_force.shares,
            lambda: self.data_centre in self.in_force.data_centres_out,
            self.metrics,
        )

    def _open_tasks(self, checked: settings.Settings) -> None:
        self.execution = execution.Execution(
            checked,
            self.in_force,
            self.store,
            self.fleet,
            execution.Callbacks(
                self.check_start,
                self.scheduling_view,
                self.worker,
                self._is_worker_gone,
            ),
            self.decisions,
            self.metrics,
        )
        self.adopter = adoption.Adopter(
            self.vm,
            self.store,
            self.execution,
            self,
            outcomes.lease_expiry_seconds(checked.timing),
        )
        self.maintenance = maintenance.Maintenance(
            self.vm,
            self.data_centre,
            self.store,
            self.platform,
            self.decisions,
            self.is_worker_empty,
        )

    # Queries of the components

    def check_admission(self, team: str, now: float) -> codes.Refused | None:
        """Return a refusal when a team's work can't be admitted now."""
        decision = self.freshness.decide(self.vm, self.roster.names, now)
        if isinstance(decision, freshness.Fresh):
            return None
        isolated = decision.code is codes.Result.ISOLATED
        if team == OPEN_TEAM and isolated:
            return None
        return decision

    def may_decide(self, now: float) -> bool:
        """Return whether the local state is fresh enough for decisions."""
        return self.check_admission("", now) is None

    def check_start(self, team: str, now: float) -> codes.Refused | None:
        """Return a refusal when no task of a team may start here now."""
        if self.data_centre in self.in_force.data_centres_out:
            return codes.Refused(
                codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
            )
        return self.check_admission(team, now)

    def usage(self) -> dict[str, resources.Vector]:
        """Return each team's known usage across the fleet."""
        used = dict(self.execution.held_grants.usage())
        for link in self.links.live_links(time.monotonic()).values():
            digest = link.last_digest
            for team, amount in (digest.usage if digest else {}).items():
                used[team] = used.get(team, resources.ZERO) + amount
        return used

    def capacity(self) -> resources.Vector:
        """Return the capacity of live workers in data centres in service."""
        out = self.in_force.data_centres_out
        return resources.total(
            vm.size
            for vm in self.vms
            if vm.role == "worker"
            and vm.state is platform.VmState.LIVE
            and vm.data_centre not in out
        )

    def scheduling_view(self) -> scheduling.View:
        """Return the inputs of scheduling decisions."""
        links = self.links.live_links(time.monotonic()).values()
        elsewhere = frozenset(
            itertools.chain.from_iterable(
                link.last_digest.waiting for link in links if link.last_digest
            )
        )
        return scheduling.View(
            self.vm,
            self.in_force.shares,
            self.usage(),
            elsewhere,
            self.capacity(),
            frozenset(),
            {},
        )

    def worker(self, vm: str) -> workers.Worker | None:
        """Return the client of a worker, None when it is not listed."""
        client = self._workers.get(vm)
        if client is not None:
            return client
        listed = next((item for item in self.vms if item.vm == vm), None)
        if listed is None:
            return None
        transport = self._connect(listed.address, workers.TIMEOUT_SECONDS)
        self._workers[vm] = workers.Worker(transport)
        return self._workers[vm]

    def is_worker_empty(self, vm: str) -> bool:
        """Return whether a worker reports that nothing runs on it.

        :raises StoreUnavailable: when it does not answer.
        """
        client = self.worker(vm)
        listed = next((item for item in self.vms if item.vm == vm), None)
        if client is None or listed is None:
            return False
        return listed.size.fits_in(client.renew([], [], 1.0).free)

    def _is_worker_gone(self, vm: str) -> bool:
        return vm in self.gone_at

    def queue(self, name: str) -> assurances.QueueAssurance | None:
        """Return the queue of that name; a pool's name is a queue as well."""
        known = self.in_force.assurances
        if name in known.queues:
            return known.queues[name]
        if name in known.pools:
            return assurances.QueueAssurance(name)
        return None

    def digest(self) -> messages.Digest:
        """Return the state that this process sends to its peers."""
        self._acknowledge_own_version()
        return messages.Digest(
            self.vm,
            self.incarnation,
            self.data_centre,
            self.in_force.version,
            self.leaving,
            self.roster.versions,
            list(self.in_force.tightenings),
            self.execution.held_grants.usage(),
            sorted(self.execution.waiting.teams()),
            self.execution.waiting.pressure(),
        )

    def _acknowledge_own_version(self) -> None:
        own = messages.MemberVersion(self.incarnation, self.in_force.version)
        self.roster.record_version(self.vm, own)

    def _broadcast_digest(self) -> None:
        self._acknowledge_own_version()
        self.links.broadcast(time.monotonic())

    def load(self) -> dict[str, float]:
        """Return the busy fraction of each worker of this data centre."""
        return {
            name: 1.0 - view.free.cores / view.vm.size.cores
            for name, view in self.fleet.views.items()
            if view.vm.size.cores
        }

    def demands(self, now: float) -> dict[str, float]:
        """Return running and waiting work of each local pool, in VMs.

        Waiting work is counted at the entry VMs of this data centre only.
        """
        pressures = [self.execution.waiting.pressure()]
        for link in self.links.live_links(now).values():
            if (
                link.last_digest
                and link.last_digest.data_centre == self.data_centre
            ):
                pressures.append(link.last_digest.pressure)
        demands: dict[str, float] = {}
        for name, busy in self.load().items():
            view = self.fleet.views[name]
            demands[view.vm.pool] = demands.get(view.vm.pool, 0.0) + busy
            for pressure in pressures:
                waiting = pressure.get(view.vm.pool, 0.0)
                members = self.fleet.members(view.vm.pool)
                waiting_vms = waiting / view.vm.size.cores / members
                demands[view.vm.pool] += waiting_vms
        return demands

    def maintenance_snapshot(self) -> vmsteps.Snapshot:
        """Return the inputs of maintenance decisions."""
        return vmsteps.snapshot(
            self.vms,
            self.in_force.assurances,
            self.in_force.data_centres_out,
            time.time(),
        )

    # Implementation of :class:`adoption.AdoptionContext`

    def gone(self) -> frozenset[str]:
        """Return the entry VMs that are gone."""
        return self.roster.gone

    def workers_of(self, data_centre: str) -> list[platform.Vm]:
        """Return the workers listed in a data centre."""
        return [
            vm
            for vm in self.vms
            if vm.role == "worker"
            and vm.data_centre == data_centre
            and vm.state is not platform.VmState.GONE
        ]

    def adoptable_data_centres(self) -> list[str]:
        """Return the data centres whose batches may be taken over."""
        out = self.in_force.data_centres_out
        if self.data_centre in out:
            return []
        return [self.data_centre, *sorted(out)]

    # Start and stop

    def start(self) -> None:
        """Open the streams and start the loops."""
        self.links.start()
        self.links.set_peers(
            controlloops.seed_addresses(self.settings.entry.seeds)
        )
        self.control_loops.start()
        self._loops.append(gevent.spawn(self.dispatcher.run))
        self._loops.extend(self.execution.start())

    def stop(self) -> None:
        """Release batches, grants and slots, then stop the loops."""
        self.execution.starter.stopping = True
        try:
            self.execution.release_batches()
            self.control_loops.return_all_grants()
            self.control_loops.deregister()
        except exceptions.StoreUnavailable as error:
            LOG.warning(
                "batches, grants or slots not released at shutdown",
                extra={"why": error},
            )
        self.control_loops.stop()
        gevent.killall(self._loops, block=True, timeout=2.0)
        self.links.stop()
