"""Accepts changes of the configuration and brings them into force.

The head row names the present version; its object never changes. The
order matters: the head is written first and the registry read after,
while a joining process registers first and reads the head after.
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
ATTEMPTS = 5
WAIT_TURN_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force everywhere."""

    version: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The change is recorded, but some entry VMs have not got it yet.

    :ivar recorded: whether the table service has it; if not, it is in
        force only where it has arrived.
    """

    version: int
    missing: tuple[str, ...]
    recorded: bool


Outcome = Accepted | Pending | codes.Refused


class Control:
    """Changes and readings of the configuration on this process."""

    __slots__ = (
        "_settings",
        "_store",
        "_in_force",
        "_roster",
        "_announce",
        "_contact",
        "_seen",
    )

    def __init__(
        self,
        checked: settings.Settings,
        table: store.Store,
        in_force: configuration.InForce,
        roster: membership.Roster,
        announce: t.Callable[[], None],
        contact: t.Callable[[float], None],
    ) -> None:
        self._settings = checked
        self._store = table
        self._in_force = in_force
        self._roster = roster
        self._announce = announce
        self._contact = contact
        self._seen: dict[str, set[str]] = {}

    # Reading

    def refresh(self) -> bool:
        """Read the head; return whether the newest version is here."""
        asked_at = time.monotonic()
        try:
            row = self._store.read(HEAD_KEY, configuration.Head)
            installed = row.value is None or self._fetch(row.value)
        except exceptions.StoreUnavailable as error:
            LOG.info("head not read", extra={"why": error})
            return False
        if installed:
            self._contact(asked_at)
        return installed

    def _fetch(self, head: configuration.Head) -> bool:
        if head.version <= self._in_force.version:
            return True
        content = self._store.get_object(head.object_name)
        if content is None:
            return False
        self.take(
            msgspec.json.decode(content, type=configuration.Configuration)
        )
        return True

    def take(self, offered: configuration.Configuration) -> bool:
        """Install a version if it is higher; pass it on."""
        if not self._in_force.install(offered):
            return False
        LOG.info("configuration", extra={"version": offered.version})
        self._announce()
        return True

    def hear(self, digest: messages.Digest) -> None:
        """Take tightening changes and acknowledgements from a peer."""
        self._seen[digest.vm] = {
            item.identifier for item in digest.tightenings
        }
        fresh = [self._in_force.tighten(item) for item in digest.tightenings]
        if any(fresh):
            LOG.warning("tightening change from a peer")
            self._announce()

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
            self._announce()
        recorded = self._record(edit, author, wall)
        if isinstance(recorded, codes.Refused):
            away = recorded.code in (
                codes.Result.STORE_AWAY,
                codes.Result.CHANGE_UNKNOWN,
            )
            if tightening is None or not away:
                return recorded
            return self._pending_tightening(tightening)
        self._read_registry()
        return self._await_acceptance(recorded, started_at, wait_seconds)

    def _check_target(self, edit: configuration.Edit) -> codes.Refused | None:
        present = self._in_force.configuration
        match edit:
            case configuration.WithdrawKey(key_id=key_id) if all(
                record.key_id != key_id for record in present.key_records
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
        for _ in range(ATTEMPTS):
            try:
                row = self._store.read(HEAD_KEY, configuration.Head)
                if row.value is not None and not self._fetch(row.value):
                    return codes.Refused(
                        codes.Result.STORE_AWAY, "an object is missing"
                    )
            except exceptions.StoreUnavailable as error:
                return codes.Refused(codes.Result.STORE_AWAY, str(error))
            after = configuration.edited(
                self._in_force.configuration, edit, author, wall
            )
            if isinstance(after, codes.Refused):
                return after
            outcome = self._write(row, after)
            match outcome:
                case store.Committed():
                    self.take(after)
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
            LOG.warning("registry not read", extra={"why": error})
            return
        self._roster.registered(
            row.value for row in rows if row.value is not None
        )

    def _await_acceptance(
        self, version: int, started_at: float, wait_seconds: float
    ) -> Accepted | Pending:
        fence = self._settings.timing.keyed_grace_seconds * (
            1 + self._settings.timing.clock_rate_margin
        )
        while True:
            now = time.monotonic()
            self_fenced = now - started_at > fence
            decision = self._roster.decide(version, self_fenced)
            seconds = now - started_at
            if isinstance(decision, membership.InForceEverywhere):
                return Accepted(version, seconds)
            if seconds >= wait_seconds:
                return Pending(version, decision.missing, True)
            gevent.sleep(WAIT_TURN_SECONDS)

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
                and tightening.identifier not in self._seen.get(vm, ())
            )
        )
        return Pending(self._in_force.version, missing, False)

    def record_tightenings(self) -> int:
        """Write tightening changes that were made without the store.

        Returns the number written.
        """
        count = 0
        for item in self._in_force.tightenings:
            recorded = self._record(_edit(item), item.author, item.at)
            if isinstance(recorded, codes.Refused):
                LOG.info("not recorded", extra={"why": recorded.reason})
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
