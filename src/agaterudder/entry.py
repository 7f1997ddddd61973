"""The entry process: holds the settings and opens everything else."""

import dataclasses
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
from agaterudder import decisions
from agaterudder import dispatch
from agaterudder import exceptions
from agaterudder import execution
from agaterudder import fleet
from agaterudder import freshness
from agaterudder import grants
from agaterudder import maintenance
from agaterudder import membership
from agaterudder import messages
from agaterudder import metrics
from agaterudder import peers
from agaterudder import platform
from agaterudder import requests
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import settings
from agaterudder import slots
from agaterudder import store
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

OPEN_TEAM = "open"
TURN_SECONDS = 0.25
GRANTS_TURN_SECONDS = 0.2
REGISTRY_SECONDS = 2.0
ADOPTION_SECONDS = 2.0
SLOTS_SECONDS = 1.0
MAINTENANCE_SECONDS = 1.0
CALL_SECONDS = 2.0
SLOTS_PREFIX = "slots/"


class Entry:
    """One entry process.

    :param checked: the settings.
    """

    def __init__(self, checked: settings.Settings) -> None:
        now = time.monotonic()
        self.settings = checked
        self.vm = checked.entry.vm
        self.data_centre = checked.entry.data_centre
        self.started_at = now
        self.metrics = metrics.Metrics()
        self.decisions = decisions.Decisions()
        self.in_force = configuration.InForce()
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
        self._idle_since: dict[str, float] = {}
        self._reservations_end = 0.0

    def _open_platform(self, checked: settings.Settings) -> None:
        transport = store.HttpTransport(
            checked.platform.address, checked.platform.timeout_seconds
        )
        self.store = store.Store(transport)
        self.platform = platform.Platform(transport)
        self.control = control.Control(
            checked,
            self.store,
            self.in_force,
            self.roster,
            self._announce,
            self.freshness.store_contact,
        )

    def _open_peers(self, checked: settings.Settings) -> None:
        self.links = peers.Links(
            checked.entry.stream,
            _PeerHandler(self),
            checked.timing.heartbeat_seconds,
            checked.timing.silence_seconds,
            checked.limits.body_bytes * 8,
        )

    def _open_services(self, checked: settings.Settings) -> None:
        self.dispatcher = dispatch.Dispatcher(
            checked,
            _RemoteEntries(self),
            self.shares,
            lambda: self.data_centre in self.in_force.data_centres_out,
            self.metrics,
        )

    def _open_tasks(self, checked: settings.Settings) -> None:
        self.execution = execution.Execution(
            checked,
            self.in_force,
            self.store,
            self.fleet,
            execution.Surroundings(
                self.may_start, self.view, self.worker, self._worker_gone
            ),
            self.decisions,
            self.metrics,
        )
        self.adopter = adoption.Adopter(
            self.vm,
            self.store,
            self.execution,
            _AdoptionView(self),
            execution.lapse_seconds(checked.timing),
        )
        self.maintenance = maintenance.Maintenance(
            self.vm,
            self.data_centre,
            self.store,
            self.platform,
            self.decisions,
            self._worker_is_empty,
        )

    # What the parts ask of the process

    def may_take(self, team: str, now: float) -> codes.Refused | None:
        """Return a refusal when a team's work can't be taken now."""
        decision = self.freshness.decide(
            self.data_centre, self.roster.data_centres, now
        )
        if isinstance(decision, freshness.Fresh):
            return None
        isolated = decision.code is codes.Result.ISOLATED
        if team == OPEN_TEAM and isolated:
            return None
        return decision

    def may_start(self, team: str, now: float) -> codes.Refused | None:
        """Return a refusal when no task of a team may start here now."""
        if self.data_centre in self.in_force.data_centres_out:
            return codes.Refused(
                codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
            )
        return self.may_take(team, now)

    def shares(self) -> dict[str, float]:
        """Return the share of each team."""
        return {
            name: team.share
            for name, team in self.in_force.assurances.teams.items()
        }

    def usage(self) -> dict[str, resources.Vector]:
        """Return what each team uses in the whole fleet, as far as known."""
        used = dict(self.execution.held_grants.usage())
        for link in self.links.alive(time.monotonic()).values():
            digest = link.last
            for team, amount in (digest.usage if digest else {}).items():
                used[team] = used.get(team, resources.ZERO) + amount
        return used

    def capacity(self) -> resources.Vector:
        """Return the capacity of all live workers outside taken-out places."""
        out = self.in_force.data_centres_out
        return resources.total(
            vm.size
            for vm in self.vms
            if vm.role == "worker"
            and vm.state is platform.VmState.LIVE
            and vm.data_centre not in out
        )

    def view(self) -> scheduling.View:
        """Return what scheduling decisions are made from."""
        links = self.links.alive(time.monotonic()).values()
        elsewhere = frozenset(
            itertools.chain.from_iterable(
                link.last.waiting for link in links if link.last
            )
        )
        return scheduling.View(
            self.vm,
            self.in_force.assurances,
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
        transport = store.HttpTransport(
            listed.address, workers.TIMEOUT_SECONDS
        )
        self._workers[vm] = workers.Worker(transport)
        return self._workers[vm]

    def _worker_gone(self, vm: str) -> bool:
        return vm in self.gone_at

    def queue(self, name: str) -> assurances.QueueAssurance | None:
        """Return the queue of that name; each pool is a queue by itself."""
        found = self.in_force.assurances
        if name in found.queues:
            return found.queues[name]
        if name in found.pools:
            return assurances.QueueAssurance(name)
        return None

    def digest(self) -> messages.Digest:
        """Return what this process tells its peers."""
        own = messages.MemberVersion(self.incarnation, self.in_force.version)
        self.roster.acknowledged(self.vm, own)
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
        )

    def _announce(self) -> None:
        self.links.broadcast(time.monotonic())

    # Start and stop

    def start(self) -> None:
        """Open the streams and start the loops."""
        self.links.start()
        self.links.want(_by_address(self.settings.entry.seeds))
        periodic: list[tuple[t.Callable[[], None], float]] = [
            (self._turn, TURN_SECONDS),
            (self._read_list, self.settings.platform.poll_seconds),
            (self._read_registry, REGISTRY_SECONDS),
            (self._read_head, self.settings.platform.poll_seconds),
            (self._tend_grants, GRANTS_TURN_SECONDS),
            (self._divide_slots, SLOTS_SECONDS),
            (self._adopt, ADOPTION_SECONDS),
            (self._maintain, MAINTENANCE_SECONDS),
        ]
        self._loops = [
            gevent.spawn(self._repeat, action, seconds)
            for action, seconds in periodic
        ]
        self._loops.append(gevent.spawn(self.dispatcher.run))
        self._loops.extend(self.execution.start())

    def stop(self) -> None:
        """Hand over what this process holds, then end the loops."""
        self.execution.stopping = True
        try:
            self.execution.release_batches()
            self._hand_back_all()
            self._leave_registry()
        except exceptions.StoreUnavailable as error:
            LOG.warning("not handed over", extra={"why": error})
        gevent.killall(self._loops, block=True, timeout=2.0)
        self.links.stop()

    def _repeat(self, action: t.Callable[[], None], seconds: float) -> None:
        while True:
            try:
                action()
            except exceptions.StoreUnavailable as error:
                LOG.info(
                    "platform away",
                    extra={"during": action.__name__, "why": error},
                )
            except Exception:
                LOG.exception("loop failed", extra={"during": action.__name__})
            gevent.sleep(seconds)

    # Loops

    def _turn(self) -> None:
        if self.freshness.turn(time.monotonic()):
            LOG.warning("resumed after a pause")
            gevent.spawn(self._repeat_once, self._read_head)

    def _repeat_once(self, action: t.Callable[[], None]) -> None:
        try:
            action()
        except exceptions.StoreUnavailable as error:
            LOG.info("platform away", extra={"why": error})

    def _read_list(self) -> None:
        listing = self.platform.list_vms()
        now = time.monotonic()
        self.vms = listing.vms
        for vm in listing.vms:
            if vm.state is platform.VmState.GONE:
                self.gone_at.setdefault(vm.vm, now)
        self.roster.listed(vm for vm in listing.vms if vm.role == "entry")
        here = [vm for vm in listing.vms if vm.data_centre == self.data_centre]
        self.dispatcher.listed([vm for vm in here if vm.role == "backend"])
        self.fleet.listed(vm for vm in here if vm.role == "worker")

    def _read_registry(self) -> None:
        if not self.incarnation:
            self._register()
        rows = self.store.scan(membership.PREFIX, membership.Member)
        members = [row.value for row in rows if row.value is not None]
        self.roster.registered(members)
        for row in rows:
            if row.value is not None and row.value.vm in self.roster.gone:
                self.store.transact([store.replace(row, None)])
                self.freshness.forget_peer(row.value.vm)
        addresses = {
            vm: member.stream
            for vm, member in self.roster.members.items()
            if vm != self.vm
        }
        self.links.want(
            {**_by_address(self.settings.entry.seeds), **addresses}
            if not addresses
            else addresses
        )

    def _register(self) -> None:
        key = membership.PREFIX + self.vm
        row = self.store.read(key, membership.Member)
        incarnation = (row.value.incarnation if row.value else 0) + 1
        member = membership.Member(
            self.vm,
            incarnation,
            self.data_centre,
            self.settings.entry.stream,
        )
        outcome = self.store.transact([store.replace(row, member)])
        if not isinstance(outcome, store.Committed):
            raise exceptions.StoreUnavailable("not registered")
        self.incarnation = incarnation
        self.execution.owned.incarnation = incarnation
        self._reservations_end = time.monotonic() + execution.lapse_seconds(
            self.settings.timing
        )
        LOG.info("registered", extra={"incarnation": incarnation})

    def _read_head(self) -> None:
        if not self.incarnation:
            # A joining process registers first and reads the head after.
            return
        if self.control.refresh() and self.in_force.tightenings:
            self.control.record_tightenings()

    def _tend_grants(self) -> None:
        if not self.incarnation:
            return
        held = self.execution.held_grants
        if not held.restored and not held.restore():
            return
        now = time.monotonic()
        if now >= self._reservations_end:
            held.end_reservations()
        for team, amount in list(self.execution.needs.items()):
            del self.execution.needs[team]
            self._enlarge(team, amount, now)
        self._hand_back_idle(now)

    def _enlarge(
        self, team: str, amount: resources.Vector, now: float
    ) -> None:
        held = self.execution.held_grants
        refused = held.enlarge(team, amount, self.execution.limit(team))
        if refused is None:
            self._idle_since.pop(team, None)
            return
        self.decisions.record(
            "team",
            team,
            decisions.Decision(
                time.time(),
                f"no further start: {refused.reason}",
                f"grant {held.holding(team).grant.values()}",
                self.in_force.assurances.source("team", team),
            ),
        )

    def _hand_back_idle(self, now: float) -> None:
        """Hand back what is idle, and what is above a lowered limit."""
        waiting = self.execution.waiting.teams()
        for team in self.execution.held_grants.held_teams():
            holding = self.execution.held_grants.holding(team)
            free = holding.free.larger(resources.ZERO)
            if not any(value > resources.TOLERANCE for value in free.values()):
                self._idle_since.pop(team, None)
                continue
            since = self._idle_since.setdefault(team, now)
            patience = (
                grants.STARVED_SECONDS
                if team in waiting
                else grants.IDLE_SECONDS
            )
            if now - since >= patience:
                self._idle_since.pop(team, None)
                self.execution.held_grants.hand_back(
                    team, free, self.execution.limit(team)
                )

    def _hand_back_all(self) -> None:
        for team in self.execution.held_grants.held_teams():
            holding = self.execution.held_grants.holding(team)
            free = holding.free.larger(resources.ZERO)
            if any(free.values()):
                self.execution.held_grants.hand_back(
                    team, free, self.execution.limit(team)
                )

    def _divide_slots(self) -> None:
        if not self.incarnation:
            return
        members = self.roster.in_data_centre(self.data_centre)
        for service in self.dispatcher.services():
            self._divide_service(service, members)

    def _divide_service(
        self, service: settings.Service, members: list[str]
    ) -> None:
        key = f"{SLOTS_PREFIX}{self.data_centre}/{service.name}"
        row = self.store.read(key, slots.Division)
        division = row.value or slots.Division(service.slots)
        settled = frozenset(
            vm
            for vm, at in self.gone_at.items()
            if time.monotonic() - at > service.timeout_seconds
        )
        cleaned = slots.without(division, settled)
        after = slots.claimed(cleaned, members, self.vm)
        holder = self.dispatcher.slots(service.name)
        wanted = after.held.get(self.vm, 0)
        # Slots are given up here before the row says so.
        holder.held = min(holder.held, wanted)
        if after == division and row.version:
            holder.held = wanted
            return
        outcome = self.store.transact([store.replace(row, after)])
        if isinstance(outcome, store.Committed):
            holder.held = wanted

    def _adopt(self) -> None:
        if not self.incarnation or self.leaving:
            return
        if self.may_take(self.vm, time.monotonic()) is not None:
            return
        self.adopter.scan()
        lapse = execution.lapse_seconds(self.settings.timing)
        entries = {vm: at for vm, at in self.gone_at.items() if vm != self.vm}
        if entries:
            self.execution.held_grants.reclaim(
                entries, lapse, time.monotonic()
            )

    def _maintain(self) -> None:
        if not self.incarnation or self.leaving:
            return
        if self.may_take(self.vm, time.monotonic()) is not None:
            return
        self.maintenance.turn(
            self.vms,
            self.in_force.assurances,
            self.in_force.data_centres_out,
            self._drives(time.monotonic()),
            time.time(),
        )
        self.fleet.hold_back(self.maintenance.held_back())
        for vm in self.maintenance.held_back():
            self.execution.evacuate(vm)

    def _drives(self, now: float) -> bool:
        """Return whether this VM acts for its data centre.

        Of the VMs that hear each other the first by name acts; when two
        act at once, the rows decide between them.
        """
        alive = [
            vm
            for vm, link in self.links.alive(now).items()
            if link.last is not None
            and link.last.data_centre == self.data_centre
            and not link.last.leaving
        ]
        return self.vm <= min(alive, default=self.vm)

    def _worker_is_empty(self, vm: str) -> bool:
        """Ask a worker whether nothing runs on it."""
        client = self.worker(vm)
        listed = next((item for item in self.vms if item.vm == vm), None)
        if client is None or listed is None:
            return False
        return listed.size.fits_in(client.renew([], [], 1.0).free)

    def around(self) -> maintenance.Surroundings:
        """Return what maintenance decisions are made from."""
        listed = {
            vm.vm: vm
            for vm in self.vms
            if vm.role == "worker" and vm.state is not platform.VmState.GONE
        }
        return maintenance.Surroundings(
            listed,
            self.in_force.assurances,
            self.in_force.data_centres_out,
            time.time(),
        )

    def _leave_registry(self) -> None:
        for service in self.dispatcher.services():
            key = f"{SLOTS_PREFIX}{self.data_centre}/{service.name}"
            row = self.store.read(key, slots.Division)
            if row.value is not None:
                after = slots.without(row.value, {self.vm})
                self.store.transact([store.replace(row, after)])
        key = membership.PREFIX + self.vm
        own = self.store.read(key, membership.Member)
        if own.value and own.value.incarnation == self.incarnation:
            self.store.transact([store.replace(own, None)])


def _by_address(addresses: t.Iterable[str]) -> dict[str, str]:
    return {f"seed {address}": address for address in addresses}


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerHandler:
    """Connects the links with the entry process."""

    entry: Entry

    def digest(self) -> messages.Digest:
        """See :class:`peers.Handler`."""
        return self.entry.digest()

    def version_to_offer(
        self, peer: messages.Digest | None
    ) -> messages.ConfigurationOffer | None:
        """See :class:`peers.Handler`."""
        present = self.entry.in_force.configuration
        if peer is None or peer.version >= present.version:
            return None
        return messages.ConfigurationOffer(present)

    def heard(
        self,
        link: peers.Link,
        digest: messages.Digest,
        asked_at: float | None,
    ) -> None:
        """See :class:`peers.Handler`."""
        entry = self.entry
        for vm, known in digest.versions.items():
            entry.roster.acknowledged(vm, known)
        entry.control.hear(digest)
        current = digest.version <= entry.in_force.version
        learnt = digest.version > 0 or entry.in_force.version > 0
        if asked_at is not None and current and learnt:
            entry.freshness.peer_contact(
                digest.vm, digest.data_centre, asked_at
            )

    def offered(self, offer: messages.ConfigurationOffer) -> None:
        """See :class:`peers.Handler`."""
        self.entry.control.take(offer.configuration)

    def called(self, link: peers.Link, call: messages.Message) -> None:
        """See :class:`peers.Handler`."""
        match call:
            case messages.ForwardRequest():
                gevent.spawn(self._serve, link, call)
            case messages.BorrowSlots():
                link.send(self.entry.dispatcher.lend(call))
            case messages.TaskCall():
                link.send(self._task(call))
            case messages.ExplainCall(call=identifier, kind=kind, name=name):
                lines = self.entry.decisions.explain(kind, name)
                link.send(messages.ExplainAnswer(identifier, lines))
            case (
                messages.ForwardAnswer()
                | messages.LendSlots()
                | messages.TaskAnswer()
                | messages.ExplainAnswer()
            ):
                self.entry.links.answered(call)

    def _serve(self, link: peers.Link, call: messages.ForwardRequest) -> None:
        link.send(self._answer(call))

    def _answer(self, call: messages.ForwardRequest) -> messages.ForwardAnswer:
        entry = self.entry
        now = time.monotonic()
        outcome: dispatch.Outcome | None = None
        if entry.leaving:
            outcome = codes.Refused(codes.Result.LEAVING, "it is leaving")
        elif entry.data_centre in entry.in_force.data_centres_out:
            outcome = codes.Refused(
                codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
            )
        if outcome is None:
            outcome = entry.dispatcher.serve_here(_request(call, now))
        match outcome:
            case codes.Refused(code=code, reason=reason):
                return messages.ForwardAnswer(
                    call.call, call.request, code.value, reason, 0, "", b"", 0
                )
            case requests.Answer(status=status, content_type=kind, body=body):
                return messages.ForwardAnswer(
                    call.call,
                    call.request,
                    0,
                    "",
                    status,
                    kind,
                    body,
                    len(body),
                )

    def _task(self, call: messages.TaskCall) -> messages.TaskAnswer:
        task = self.entry.execution.owned.find(call.task)
        if task is None or task.team != call.team:
            return messages.TaskAnswer(call.call, call.task, "", "")
        if call.cancel:
            self.entry.execution.cancel(task, time.monotonic())
        return messages.TaskAnswer(
            call.call, call.task, task.state.value, task.reason
        )


def _request(call: messages.ForwardRequest, now: float) -> requests.Request:
    return requests.Request(
        call.request,
        call.service,
        call.team,
        requests.Priority(call.priority),
        call.repeatable,
        call.method,
        call.path,
        call.content_type,
        call.body,
        now + call.timeout_seconds,
        now,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _RemoteEntries:
    """Other entry processes, as the dispatcher sees them."""

    entry: Entry

    def helpers(self, now: float) -> list[str]:
        """See :class:`dispatch.Remote`."""
        out = self.entry.in_force.data_centres_out
        return [
            vm
            for vm, link in self.entry.links.alive(now).items()
            if link.last is not None
            and not link.last.leaving
            and link.last.data_centre != self.entry.data_centre
            and link.last.data_centre not in out
        ]

    def neighbours(self, now: float) -> list[str]:
        """See :class:`dispatch.Remote`."""
        return sorted(
            vm
            for vm, link in self.entry.links.alive(now).items()
            if link.last is not None
            and link.last.data_centre == self.entry.data_centre
        )

    def forward(
        self, vm: str, call: messages.ForwardRequest, timeout: float
    ) -> messages.ForwardAnswer | None:
        """See :class:`dispatch.Remote`."""
        answer = self.entry.links.call(vm, call, timeout)
        return answer if isinstance(answer, messages.ForwardAnswer) else None

    def borrow(
        self, vm: str, call: messages.BorrowSlots, timeout: float
    ) -> messages.LendSlots | None:
        """See :class:`dispatch.Remote`."""
        answer = self.entry.links.call(vm, call, timeout)
        return answer if isinstance(answer, messages.LendSlots) else None

    def can_call(self, vm: str, now: float) -> bool:
        """See :class:`dispatch.Remote`."""
        return self.entry.links.can_call(vm, now)


@dataclasses.dataclass(frozen=True, slots=True)
class _AdoptionView:
    """The rest of the process, as adoption sees it."""

    entry: Entry

    def gone(self) -> frozenset[str]:
        """See :class:`adoption.Surroundings`."""
        return self.entry.roster.gone

    def workers_of(self, data_centre: str) -> list[platform.Vm]:
        """See :class:`adoption.Surroundings`."""
        return [
            vm
            for vm in self.entry.vms
            if vm.role == "worker"
            and vm.data_centre == data_centre
            and vm.state is not platform.VmState.GONE
        ]

    def worker(self, vm: str) -> workers.Worker | None:
        """See :class:`adoption.Surroundings`."""
        return self.entry.worker(vm)

    def prefixes(self) -> list[str]:
        """See :class:`adoption.Surroundings`."""
        out = self.entry.in_force.data_centres_out
        if self.entry.data_centre in out:
            return []
        return [self.entry.data_centre, *sorted(out)]


def recorded_task(entry: Entry, task: str) -> tasks.Task | codes.Refused:
    """Read a task that this process does not own from its row."""
    place = tasks.batch_of(task)
    if place is None:
        return codes.Refused(codes.Result.NOT_FOUND, f"no task {task}")
    data_centre, batch = place
    for prefix in (tasks.LIVE_PREFIX, tasks.SETTLED_PREFIX):
        key = f"{prefix}{data_centre}/{batch}"
        try:
            row = entry.store.read(key, tasks.Batch)
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))
        for found in row.value.tasks if row.value else ():
            if found.task == task:
                return found
    return codes.Refused(codes.Result.NOT_FOUND, f"no task {task}")
