"""Accepts changes to the configuration and brings them into force.

The head row names the current version, which is an immutable object. A
change writes the head and then reads the registry; a joining process
registers and then reads the head. With this order a joining process either
reads the new head or is found in the registry.
"""

import dataclasses
import logging
import time
import typing as t

import gevent
import msgspec

from agaterudder import codes
from agaterudder import configuration
from agaterudder import exceptions
from agaterudder import membership
from agaterudder import messages
from agaterudder import settings
from agaterudder import store
from agaterudder import utils

LOG = logging.getLogger(__name__)

HEAD_KEY = "configuration/head"
WRITE_ATTEMPTS = 5
WAIT_POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force everywhere."""

    version: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Some entry VMs have not acknowledged the change yet.

    :ivar missing: entry VMs without an acknowledgement.
    :ivar recorded: whether the table service has stored the change; if not,
        it is in force only on this entry VM and on those it has reached.
    """

    version: int
    missing: tuple[str, ...]
    recorded: bool


Outcome = Accepted | Pending | codes.Refused


class ConfigurationControl:
    """Reads and changes the configuration on this process.

    :param broadcast: sends the local state to all peers.
    :param note_store_contact: called with the monotonic time at which a
        successful read of the head began.
    """

    __slots__ = (
        "_settings",
        "_store",
        "_in_force",
        "_roster",
        "_broadcast",
        "_note_store_contact",
        "_acknowledged",
    )

    def __init__(
        self,
        checked: settings.Settings,
        table: store.Store,
        in_force: configuration.ActiveConfiguration,
        roster: membership.Roster,
        broadcast: t.Callable[[], None],
        note_store_contact: t.Callable[[float], None],
    ) -> None:
        self._settings = checked
        self._store = table
        self._in_force = in_force
        self._roster = roster
        self._broadcast = broadcast
        self._note_store_contact = note_store_contact
        self._acknowledged: dict[str, set[str]] = {}

    # Reading

    def refresh(self) -> bool:
        """Read the head; return whether the newest version is installed."""
        asked_at = time.monotonic()
        try:
            row = self._store.read(HEAD_KEY, configuration.Head)
            installed = row.value is None or self._fetch(row.value)
        except exceptions.StoreUnavailable as error:
            LOG.info("configuration head not read", extra={"why": error})
            return False
        if installed:
            self._note_store_contact(asked_at)
        return installed

    def _fetch(self, head: configuration.Head) -> bool:
        if head.version <= self._in_force.version:
            return True
        content = self._store.get_object(head.object_name)
        if content is None:
            return False
        self.install(
            msgspec.json.decode(content, type=configuration.Configuration)
        )
        return True

    def install(self, offered: configuration.Configuration) -> bool:
        """Install a version if it is higher, and notify the peers."""
        if not self._in_force.install(offered):
            return False
        LOG.info("configuration installed", extra={"version": offered.version})
        self._broadcast()
        return True

    def receive_digest(self, digest: messages.Digest) -> None:
        """Apply tightening changes and acknowledgements of a peer."""
        self._acknowledged[digest.vm] = {
            item.identifier for item in digest.tightenings
        }
        applied = [self._in_force.tighten(item) for item in digest.tightenings]
        if any(applied):
            LOG.warning("tightening change received from a peer")
            self._broadcast()

    # Changing

    def change(
        self,
        edit: configuration.Edit,
        author: str,
        wall: float,
        wait_seconds: float,
    ) -> Outcome:
        """Make a change and wait until it is in force.

        A change that tightens takes effect here before it is recorded.

        :param wall: wall-clock time in seconds since the epoch.
        """
        started_at = time.monotonic()
        tightening = _tightening(edit, author, wall)
        if tightening is not None:
            refused = self._check_target(edit)
            if refused is not None:
                return refused
            self._in_force.tighten(tightening)
            self._broadcast()
        recorded = self._record(edit, author, wall)
        if isinstance(recorded, codes.Refused):
            store_unavailable = recorded.code in (
                codes.Result.STORE_AWAY,
                codes.Result.CHANGE_UNKNOWN,
            )
            if tightening is None or not store_unavailable:
                return recorded
            return self._pending_tightening(tightening)
        self._read_registry()
        return self._await_acceptance(recorded, started_at, wait_seconds)

    def _check_target(self, edit: configuration.Edit) -> codes.Refused | None:
        current = self._in_force.configuration
        match edit:
            case configuration.WithdrawKey(key_id=key_id) if all(
                record.key_id != key_id for record in current.key_records
            ):
                return codes.Refused(
                    codes.Result.NOT_FOUND, f"no key {key_id}"
                )
            case configuration.TakeOut(data_centre=name) if (
                name not in self._roster.data_centres
            ):
                return codes.Refused(
                    codes.Result.NOT_FOUND, f"no data centre {name}"
                )
            case _:
                return None

    def _record(
        self, edit: configuration.Edit, author: str, wall: float
    ) -> int | codes.Refused:
        """Write the next version; return its number."""
        for _ in range(WRITE_ATTEMPTS):
            try:
                row = self._store.read(HEAD_KEY, configuration.Head)
                if row.value is not None and not self._fetch(row.value):
                    return codes.Refused(
                        codes.Result.STORE_AWAY, "an object is missing"
                    )
            except exceptions.StoreUnavailable as error:
                return codes.Refused(codes.Result.STORE_AWAY, str(error))
            after = configuration.apply_edit(
                self._in_force.configuration, edit, author, wall
            )
            if isinstance(after, codes.Refused):
                return after
            outcome = self._write(row, after)
            match outcome:
                case store.Committed():
                    self.install(after)
                    return after.version
                case store.Conflicted():
                    continue
                case codes.Refused():
                    return outcome
        return codes.Refused(
            codes.Result.CONFLICT, "other operators were always first"
        )

    def _write(
        self,
        row: store.Row[configuration.Head],
        after: configuration.Configuration,
    ) -> store.Outcome:
        name = f"configuration/{after.version}-{utils.new_identifier()}"
        refused = self._store.put_object(name, msgspec.json.encode(after))
        if refused is not None:
            return refused
        head = configuration.Head(after.version, name)
        return self._store.transact([store.replace(row, head)])

    def _read_registry(self) -> None:
        try:
            rows = self._store.scan(membership.PREFIX, membership.Member)
        except exceptions.StoreUnavailable as error:
            LOG.warning(
                "registry not read; waiting for the known members only",
                extra={"why": error},
            )
            return
        self._roster.set_registered(
            row.value for row in rows if row.value is not None
        )

    def _await_acceptance(
        self, version: int, started_at: float, wait_seconds: float
    ) -> Accepted | Pending:
        fence_seconds = self._settings.timing.keyed_grace_seconds * (
            1 + self._settings.timing.clock_rate_margin
        )
        while True:
            now = time.monotonic()
            self_fenced = now - started_at > fence_seconds
            decision = self._roster.decide(version, self_fenced)
            seconds = now - started_at
            if isinstance(decision, membership.InForceEverywhere):
                return Accepted(version, seconds)
            if seconds >= wait_seconds:
                return Pending(version, decision.missing, True)
            gevent.sleep(WAIT_POLL_SECONDS)

    def _pending_tightening(
        self, tightening: configuration.Tightening
    ) -> Pending:
        gevent.sleep(self._settings.timing.heartbeat_seconds * 2)
        own = self._settings.entry.vm
        missing = tuple(
            sorted(
                vm
                for vm in self._roster.members
                if vm != own
                and tightening.identifier not in self._acknowledged.get(vm, ())
            )
        )
        return Pending(self._in_force.version, missing, False)

    def record_tightenings(self) -> int:
        """Store tightening changes made while the store was unavailable.

        Returns the number of changes stored.
        """
        count = 0
        for item in self._in_force.tightenings:
            recorded = self._record(_edit(item), item.author, item.at)
            if isinstance(recorded, codes.Refused):
                LOG.info(
                    "tightening change not stored",
                    extra={"why": recorded.reason},
                )
                continue
            count += 1
        return count


def _tightening(
    edit: configuration.Edit, author: str, wall: float
) -> configuration.Tightening | None:
    match edit:
        case configuration.WithdrawKey(key_id=target, identifier=identifier):
            restricts = configuration.Tightens.KEY
        case configuration.TakeOut(data_centre=target, identifier=identifier):
            restricts = configuration.Tightens.DATA_CENTRE
        case _:
            return None
    return configuration.Tightening(
        identifier, restricts, target, author, wall
    )


def _edit(item: configuration.Tightening) -> configuration.Edit:
    match item.restricts:
        case configuration.Tightens.KEY:
            return configuration.WithdrawKey(item.target, item.identifier)
        case configuration.Tightens.DATA_CENTRE:
            return configuration.TakeOut(item.target, item.identifier)
