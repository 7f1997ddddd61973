"""The accepted configuration: versions, keys and data centres taken out.

A process never goes back to a lower version. Tightening changes (a withdrawn
key, a data centre taken out) are kept in addition to the version: a process
applies them as soon as it receives them, and keeps them until a version
contains them.
"""

import dataclasses
import enum
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import codes
from agaterudder import keys

MAX_HISTORY_LENGTH = 50
MAX_ABSORBED_LENGTH = 1000


class Tightens(enum.Enum):
    """What a tightening change restricts."""

    KEY = "key"
    DATA_CENTRE = "data centre"


class Tightening(msgspec.Struct, frozen=True):
    """A restriction that a process applies as soon as it receives it.

    :ivar identifier: unique; a version that lists it contains the change.
    :ivar target: key id or data centre.
    :ivar author: operator who requested it.
    :ivar at: wall-clock time in seconds since the epoch.
    """

    identifier: str
    restricts: Tightens
    target: str
    author: str
    at: float


class Change(msgspec.Struct, frozen=True):
    """One entry of the history.

    :ivar at: wall-clock time in seconds since the epoch.
    """

    version: int
    author: str
    at: float
    what: str


class Configuration(msgspec.Struct, frozen=True):
    """One immutable version of the configuration.

    :ivar assurances: text of the assurance file.
    :ivar data_centres_out: data centres that operators took out of service.
    :ivar absorbed: identifiers of the latest tightening changes contained.
    """

    version: int = 0
    assurances: str = ""
    key_records: list[keys.KeyRecord] = []
    data_centres_out: list[str] = []
    absorbed: list[str] = []
    history: list[Change] = []


class Head(msgspec.Struct, frozen=True):
    """Row that names the current version and its object."""

    version: int
    object_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceAssurances:
    """Replace the assurance file; ``base`` is the version it was based on."""

    text: str
    base: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantKey:
    """Add a key for a team."""

    record: keys.KeyRecord


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key permanently."""

    key_id: str
    identifier: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Take a data centre out of service."""

    data_centre: str
    identifier: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutBack:
    """Put a data centre back into service.

    :ivar identifiers: tightening changes that this edit supersedes.
    """

    data_centre: str
    identifiers: tuple[str, ...] = ()


Edit = ReplaceAssurances | GrantKey | WithdrawKey | TakeOut | PutBack


def apply_edit(
    current: Configuration, edit: Edit, author: str, now: float
) -> Configuration | codes.Refused:
    """Return the version that follows ``current`` after an edit.

    :param now: wall-clock time in seconds since the epoch.
    """
    match edit:
        case ReplaceAssurances(text=text, base=base):
            return _replace_assurances(current, text, base, author, now)
        case GrantKey(record=record):
            return _grant(current, record, author, now)
        case WithdrawKey(key_id=key_id, identifier=identifier):
            return _withdraw(current, key_id, identifier, author, now)
        case TakeOut(data_centre=name, identifier=identifier):
            out = sorted({*current.data_centres_out, name})
            return _next_version(
                current,
                author,
                now,
                f"take out {name}",
                data_centres_out=out,
                absorbed=_absorb(current, (identifier,)),
            )
        case PutBack(data_centre=name, identifiers=identifiers):
            left = [dc for dc in current.data_centres_out if dc != name]
            return _next_version(
                current,
                author,
                now,
                f"put back {name}",
                data_centres_out=left,
                absorbed=_absorb(current, identifiers),
            )


def _replace_assurances(
    current: Configuration, text: str, base: int, author: str, now: float
) -> Configuration | codes.Refused:
    if base != current.version:
        last = current.history[-1] if current.history else None
        by = f" by {last.author}" if last else ""
        return codes.Refused(
            codes.Result.CONFLICT,
            f"the file was based on version {base}, but version "
            f"{current.version}{by} is accepted",
        )
    parsed = assurances.parse(text)
    if parsed.faults:
        fault = parsed.faults[0]
        return codes.Refused(codes.Result.ASSURANCE_FAULT, str(fault))
    return _next_version(
        current, author, now, "replace assurances", assurances=text
    )


def _grant(
    current: Configuration, record: keys.KeyRecord, author: str, now: float
) -> Configuration | codes.Refused:
    if record.team not in assurances.parse(current.assurances).teams:
        return codes.Refused(
            codes.Result.UNKNOWN_TEAM, f"no assurance names {record.team}"
        )
    if any(known.key_id == record.key_id for known in current.key_records):
        return codes.Refused(
            codes.Result.CONFLICT, f"key {record.key_id} exists"
        )
    return _next_version(
        current,
        author,
        now,
        f"grant key {record.key_id} to {record.team}",
        key_records=[*current.key_records, record],
    )


def _withdraw(
    current: Configuration,
    key_id: str,
    identifier: str,
    author: str,
    now: float,
) -> Configuration | codes.Refused:
    if all(record.key_id != key_id for record in current.key_records):
        return codes.Refused(codes.Result.NOT_FOUND, f"no key {key_id}")
    records = [
        (
            msgspec.structs.replace(record, withdrawn=True)
            if record.key_id == key_id
            else record
        )
        for record in current.key_records
    ]
    return _next_version(
        current,
        author,
        now,
        f"withdraw key {key_id}",
        key_records=records,
        absorbed=_absorb(current, (identifier,)),
    )


def _absorb(current: Configuration, identifiers: t.Iterable[str]) -> list[str]:
    return [*current.absorbed, *identifiers][-MAX_ABSORBED_LENGTH:]


def _next_version(
    current: Configuration,
    author: str,
    now: float,
    what: str,
    **fields: t.Any,
) -> Configuration:
    version = current.version + 1
    change = Change(version, author, now, what)
    return msgspec.structs.replace(
        current,
        version=version,
        history=[*current.history, change][-MAX_HISTORY_LENGTH:],
        **fields,
    )


class ActiveConfiguration:
    """Configuration in force on this process.

    It consists of a version and of tightening changes. Versions only
    increase, and a tightening change is only replaced by a version that
    contains it.
    """

    __slots__ = ("_current", "_tightenings", "_parsed", "_keys", "_shares")

    def __init__(self) -> None:
        self._current = Configuration()
        self._tightenings: dict[str, Tightening] = {}
        self._parsed = assurances.parse("")
        self._keys: dict[str, keys.KeyRecord] = {}
        self._shares: dict[str, float] = {}

    @property
    def shares(self) -> dict[str, float]:
        """Share of each team."""
        return self._shares

    @property
    def configuration(self) -> Configuration:
        """The highest version received so far."""
        return self._current

    @property
    def version(self) -> int:
        """Number of that version."""
        return self._current.version

    @property
    def assurances(self) -> assurances.Assurances:
        """The assurances of that version."""
        return self._parsed

    @property
    def tightenings(self) -> tuple[Tightening, ...]:
        """Tightening changes that no version contains yet."""
        return tuple(self._tightenings.values())

    @property
    def data_centres_out(self) -> frozenset[str]:
        """Data centres that take no new work."""
        pending = (
            item.target
            for item in self._tightenings.values()
            if item.restricts is Tightens.DATA_CENTRE
        )
        return frozenset((*self._current.data_centres_out, *pending))

    def install(self, offered: Configuration) -> bool:
        """Install a version if it is higher than the current one.

        :returns: whether it was installed.
        """
        if offered.version <= self._current.version:
            return False
        self._current = offered
        self._parsed = assurances.parse(offered.assurances)
        self._keys = {record.key_id: record for record in offered.key_records}
        self._shares = {
            name: team.share for name, team in self._parsed.teams.items()
        }
        for identifier in offered.absorbed:
            self._tightenings.pop(identifier, None)
        return True

    def tighten(self, tightening: Tightening) -> bool:
        """Apply a tightening change immediately; return whether it is new."""
        if tightening.identifier in self._current.absorbed:
            return False
        if tightening.identifier in self._tightenings:
            return False
        self._tightenings[tightening.identifier] = tightening
        return True

    def check_key(
        self, team: str, presented: str
    ) -> keys.KeyRecord | codes.Refused:
        """Decide whether a key may be used for a team's work."""
        withdrawn = {
            item.target
            for item in self._tightenings.values()
            if item.restricts is Tightens.KEY
        }
        return keys.check(self._keys, withdrawn, team, presented)
