"""Control loops of an entry process.

Each public method is one iteration of a loop; its inputs are arguments or
attributes of the entry process.
"""

import logging
import time
import typing as t

import gevent

from agaterudder import batches
from agaterudder import decisions
from agaterudder import entrystate
from agaterudder import escrow
from agaterudder import exceptions
from agaterudder import grants
from agaterudder import membership
from agaterudder import outcomes
from agaterudder import platform
from agaterudder import resources
from agaterudder import settings
from agaterudder import slots
from agaterudder import store

LOG = logging.getLogger(__name__)

PAUSE_CHECK_INTERVAL_SECONDS = 0.25
GRANTS_INTERVAL_SECONDS = 0.2
REGISTRY_INTERVAL_SECONDS = 2.0
ADOPTION_INTERVAL_SECONDS = 2.0
SLOTS_INTERVAL_SECONDS = 1.0
MAINTENANCE_INTERVAL_SECONDS = 1.0
EXPIRY_INTERVAL_SECONDS = 600.0
ACTIVE_STEPS_INTERVAL_SECONDS = 0.25
SLOTS_PREFIX = "slots/"

# Returns the seconds until its next run, None for the usual interval.
Action = t.Callable[[], float | None]


class ControlLoops:
    """Background loops of one entry process."""

    __slots__ = ("_entry", "_idle_since", "_reservations_end", "_loops")

    def __init__(self, entry: entrystate.EntryState) -> None:
        self._entry = entry
        self._idle_since: dict[str, float] = {}
        self._reservations_end = 0.0
        self._loops: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the loops."""
        poll = self._entry.settings.platform.poll_seconds
        periodic: list[tuple[Action, float]] = [
            (self.check_pause, PAUSE_CHECK_INTERVAL_SECONDS),
            (self.read_list, poll),
            (self.read_registry, REGISTRY_INTERVAL_SECONDS),
            (self.read_head, poll),
            (self.update_grants, GRANTS_INTERVAL_SECONDS),
            (self.claim_slots, SLOTS_INTERVAL_SECONDS),
            (self.adopt, ADOPTION_INTERVAL_SECONDS),
            (self.maintain, MAINTENANCE_INTERVAL_SECONDS),
            (self.delete_expired, EXPIRY_INTERVAL_SECONDS),
        ]
        self._loops = [
            gevent.spawn(self._repeat, action, seconds)
            for action, seconds in periodic
        ]

    def stop(self) -> None:
        """Stop the loops."""
        gevent.killall(self._loops, block=True, timeout=2.0)

    def _repeat(self, action: Action, seconds: float) -> None:
        while True:
            delay = None
            try:
                delay = action()
            except exceptions.StoreUnavailable as error:
                LOG.info(
                    "platform unavailable; the loop retries at its next run",
                    extra={"during": action.__name__, "why": error},
                )
            except Exception:
                LOG.exception(
                    "loop iteration failed", extra={"during": action.__name__}
                )
            gevent.sleep(seconds if delay is None else delay)

    # Loops

    def check_pause(self) -> None:
        """Detect a pause of the process; after one, read the head at once."""
        if self._entry.freshness.tick(time.monotonic()):
            LOG.warning("entry process resumed after a pause")
            gevent.spawn(self._run_once, self.read_head)

    def _run_once(self, action: t.Callable[[], None]) -> None:
        try:
            action()
        except exceptions.StoreUnavailable as error:
            LOG.info(
                "platform unavailable after a pause; action not run",
                extra={"why": error},
            )

    def read_list(self) -> None:
        """Read the platform's list of VMs."""
        listing = self._entry.platform.list_vms()
        now = time.monotonic()
        self._entry.vms = listing.vms
        for vm in listing.vms:
            if vm.state is platform.VmState.GONE:
                self._entry.gone_at.setdefault(vm.vm, now)
        self._entry.roster.update_gone(
            vm for vm in listing.vms if vm.role == "entry"
        )
        local = [
            vm
            for vm in listing.vms
            if vm.data_centre == self._entry.data_centre
        ]
        self._entry.dispatcher.update_servers(
            [vm for vm in local if vm.role == "backend"]
        )
        self._entry.fleet.update_workers(
            vm for vm in local if vm.role == "worker"
        )

    def read_registry(self) -> None:
        """Register this entry VM if needed, and read the registry."""
        if not self._entry.incarnation:
            self._register()
        rows = self._entry.store.scan(membership.PREFIX, membership.Member)
        members = [row.value for row in rows if row.value is not None]
        self._entry.roster.set_registered(members)
        for row in rows:
            if (
                row.value is not None
                and row.value.vm in self._entry.roster.gone
            ):
                self._entry.store.transact([store.replace(row, None)])
                self._entry.freshness.remove_peer(row.value.vm)
        addresses = {
            vm: member.stream
            for vm, member in self._entry.roster.members.items()
            if vm != self._entry.vm
        }
        self._entry.links.set_peers(
            addresses or seed_addresses(self._entry.settings.entry.seeds)
        )

    def _register(self) -> None:
        key = membership.PREFIX + self._entry.vm
        row = self._entry.store.read(key, membership.Member)
        incarnation = (row.value.incarnation if row.value else 0) + 1
        member = membership.Member(
            self._entry.vm,
            incarnation,
            self._entry.data_centre,
            self._entry.settings.entry.stream,
        )
        outcome = self._entry.store.transact([store.replace(row, member)])
        if not isinstance(outcome, store.Committed):
            raise exceptions.StoreUnavailable("registration was not stored")
        self._entry.incarnation = incarnation
        self._entry.execution.owned_batches.incarnation = incarnation
        self._reservations_end = (
            time.monotonic()
            + outcomes.lease_expiry_seconds(self._entry.settings.timing)
        )
        LOG.info("entry VM registered", extra={"incarnation": incarnation})

    def read_head(self) -> None:
        """Read the configuration head; record tightening changes."""
        if not self._entry.incarnation:
            # A joining process registers before it reads the head.
            return
        if self._entry.control.refresh() and self._entry.in_force.tightenings:
            self._entry.control.record_tightenings()

    def update_grants(self) -> None:
        """Request the grants that tasks need; return idle ones."""
        if not self._entry.incarnation:
            return
        held = self._entry.execution.held_grants
        if not held.restored and not held.restore():
            return
        now = time.monotonic()
        if now >= self._reservations_end:
            held.end_reservations()
        for team, request in list(
            self._entry.execution.starter.grant_requests.items()
        ):
            del self._entry.execution.starter.grant_requests[team]
            self._request_grant(team, request, now)
        self._return_idle_grants(now)

    def _request_grant(
        self, team: str, request: escrow.GrantRequest, now: float
    ) -> None:
        held = self._entry.execution.held_grants
        refused = held.enlarge(
            team, request, self._entry.execution.limit(team)
        )
        if refused is None:
            self._idle_since.pop(team, None)
            return
        self._entry.decisions.record(
            "team",
            team,
            decisions.Decision(
                time.time(),
                f"no further start: {refused.reason}",
                f"grant {held.local_grant(team).grant.values()}",
                self._entry.in_force.assurances.source("team", team),
            ),
        )

    def _return_idle_grants(self, now: float) -> None:
        """Return idle grants, and those above a lowered limit."""
        waiting = self._entry.execution.waiting.teams()
        for team in self._entry.execution.held_grants.held_teams():
            local_grant = self._entry.execution.held_grants.local_grant(team)
            limit = self._entry.execution.limit(team)
            local_grant.apply_limit(limit.limit)
            if local_grant.excess.is_positive():
                self._entry.execution.held_grants.return_grant(
                    team, local_grant.excess, limit
                )
                continue
            free = local_grant.free.elementwise_max(resources.ZERO)
            if not free.is_positive():
                self._idle_since.pop(team, None)
                continue
            since = self._idle_since.setdefault(team, now)
            idle_limit = (
                grants.BLOCKED_RETURN_SECONDS
                if team in waiting
                else grants.IDLE_RETURN_SECONDS
            )
            if now - since >= idle_limit:
                self._idle_since.pop(team, None)
                self._entry.execution.held_grants.return_grant(
                    team, free, limit
                )

    def return_all_grants(self) -> None:
        """Return the unused part of every grant."""
        for team in self._entry.execution.held_grants.held_teams():
            local_grant = self._entry.execution.held_grants.local_grant(team)
            free = local_grant.free.elementwise_max(resources.ZERO)
            if any(free.values()):
                self._entry.execution.held_grants.return_grant(
                    team, free, self._entry.execution.limit(team)
                )

    def claim_slots(self) -> None:
        """Claim this VM's fair share of the backend servers' slots."""
        if not self._entry.incarnation:
            return
        members = self._entry.roster.in_data_centre(self._entry.data_centre)
        for service in self._entry.dispatcher.services():
            self._claim_service_slots(service, members)

    def _claim_service_slots(
        self, service: settings.Service, members: list[str]
    ) -> None:
        key = f"{SLOTS_PREFIX}{self._entry.data_centre}/{service.name}"
        row = self._entry.store.read(key, slots.Division)
        division = row.value or slots.Division(service.slots)
        expired = frozenset(
            vm
            for vm, at in self._entry.gone_at.items()
            if time.monotonic() - at > service.timeout_seconds
        )
        remaining = slots.without_vms(division, expired)
        after = slots.with_claim(remaining, members, self._entry.vm)
        holder = self._entry.dispatcher.slots(service.name)
        claimed = after.held.get(self._entry.vm, 0)
        # Slots are given up here before the row frees them for other VMs, so
        # that no slot is used by two VMs at once.
        holder.held = min(holder.held, claimed)
        if after == division and row.version:
            holder.held = claimed
            return
        outcome = self._entry.store.transact([store.replace(row, after)])
        if isinstance(outcome, store.Committed):
            holder.held = claimed

    def adopt(self) -> None:
        """Take over batches and grants of VMs that are gone.

        In a data centre that was taken out, release this VM's own batches
        instead.
        """
        if not self._entry.incarnation or self._entry.leaving:
            return
        if not self._entry.may_decide(time.monotonic()):
            return
        if self._entry.data_centre in self._entry.in_force.data_centres_out:
            self._entry.execution.release_batches()
            return
        self._entry.adopter.scan()
        expiry_seconds = outcomes.lease_expiry_seconds(
            self._entry.settings.timing
        )
        entries = {
            vm: at
            for vm, at in self._entry.gone_at.items()
            if vm != self._entry.vm
        }
        if entries:
            self._entry.execution.held_grants.reclaim(
                entries, expiry_seconds, time.monotonic()
            )

    def delete_expired(self) -> None:
        """Delete the rows of tasks that were settled long ago."""
        if self._entry.incarnation and self._is_coordinator(time.monotonic()):
            batches.delete_expired(
                self._entry.store,
                self._entry.data_centre,
                self._entry.settings.timing.retention_seconds,
                time.time(),
            )

    def maintain(self) -> float | None:
        """Advance maintenance and moves; evacuate draining workers.

        Returns a shorter delay while a step is under way.
        """
        if not self._entry.incarnation or self._entry.leaving:
            return None
        if not self._entry.may_decide(time.monotonic()):
            return None
        is_coordinator = self._is_coordinator(time.monotonic())
        if is_coordinator and self._entry.maintenance.has_active_steps:
            self.read_list()
        self._entry.maintenance.reconcile(
            self._entry.vms,
            self._entry.in_force.assurances,
            self._entry.in_force.data_centres_out,
            is_coordinator,
            time.time(),
        )
        cordoned = self._entry.maintenance.cordoned()
        self._entry.fleet.cordon(cordoned)
        self._entry.execution.checkpoints.evacuate(cordoned, time.monotonic())
        if is_coordinator:
            self._entry.maintenance.balance(
                self._entry.demands(time.monotonic()),
                self._entry.load(),
                self._entry.maintenance_snapshot(),
                time.monotonic(),
            )
        busy = is_coordinator and self._entry.maintenance.has_active_steps
        return ACTIVE_STEPS_INTERVAL_SECONDS if busy else None

    def _is_coordinator(self, now: float) -> bool:
        """Return whether this VM coordinates its data centre.

        The coordinator is the first by name of the data centre's entry VMs
        that receive each other's heartbeats. There may be two for a while;
        the version checks of the rows then let only one write take effect.
        """
        live = [
            vm
            for vm, link in self._entry.links.live_links(now).items()
            if link.last_digest is not None
            and link.last_digest.data_centre == self._entry.data_centre
            and not link.last_digest.leaving
        ]
        return self._entry.vm <= min(live, default=self._entry.vm)

    def deregister(self) -> None:
        """Give up the slots and delete the registration of this process."""
        for service in self._entry.dispatcher.services():
            key = f"{SLOTS_PREFIX}{self._entry.data_centre}/{service.name}"
            row = self._entry.store.read(key, slots.Division)
            if row.value is not None:
                after = slots.without_vms(row.value, {self._entry.vm})
                self._entry.store.transact([store.replace(row, after)])
        key = membership.PREFIX + self._entry.vm
        own = self._entry.store.read(key, membership.Member)
        if own.value and own.value.incarnation == self._entry.incarnation:
            self._entry.store.transact([store.replace(own, None)])


def seed_addresses(addresses: t.Iterable[str]) -> dict[str, str]:
    """Return the seeds by placeholder names, as their VMs are unknown."""
    return {f"seed {address}": address for address in addresses}
