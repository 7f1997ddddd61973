"""The accepted configuration: versions, keys and data centres taken out.

A process never goes back to a lower version. Tightening changes (a
withdrawn key, a data centre taken out) are kept beside the version, take
effect where they arrive and stay until a version contains them.
"""

import dataclasses
import enum
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import codes
from agaterudder import keys

HISTORY_LENGTH = 50
ABSORBED_LENGTH = 1000


class Tightens(enum.Enum):
    """What a tightening change restricts."""

    KEY = "key"
    DATA_CENTRE = "data centre"


class Tightening(msgspec.Struct, frozen=True):
    """A restriction that takes effect wherever it arrives.

    :ivar identifier: unique; a version that lists it contains it.
    :ivar target: key id or data centre.
    :ivar author: operator who asked.
    :ivar at: wall-clock time in seconds since the epoch.
    """

    identifier: str
    restricts: Tightens
    target: str
    author: str
    at: float


class Change(msgspec.Struct, frozen=True):
    """One line of the history.

    :ivar at: wall-clock time in seconds since the epoch.
    """

    version: int
    author: str
    at: float
    what: str


class Configuration(msgspec.Struct, frozen=True):
    """One immutable version.

    :ivar assurances: text of the assurance file.
    :ivar data_centres_out: data centres that operators took out.
    :ivar absorbed: identifiers of the last tightening changes contained.
    """

    version: int = 0
    assurances: str = ""
    key_records: list[keys.KeyRecord] = []
    data_centres_out: list[str] = []
    absorbed: list[str] = []
    history: list[Change] = []


class Head(msgspec.Struct, frozen=True):
    """Row that names the present version and its object."""

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
    """Withdraw a key for good."""

    key_id: str
    identifier: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Take a data centre out."""

    data_centre: str
    identifier: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutBack:
    """Put a data centre back.

    :ivar identifiers: tightening changes that it supersedes.
    """

    data_centre: str
    identifiers: tuple[str, ...] = ()


Edit = ReplaceAssurances | GrantKey | WithdrawKey | TakeOut | PutBack


def edited(
    present: Configuration, edit: Edit, author: str, now: float
) -> Configuration | codes.Refused:
    """Return the version that follows ``present`` after an edit.

    :param now: wall-clock time in seconds since the epoch.
    """
    match edit:
        case ReplaceAssurances(text=text, base=base):
            return _replace_assurances(present, text, base, author, now)
        case GrantKey(record=record):
            return _grant(present, record, author, now)
        case WithdrawKey(key_id=key_id, identifier=identifier):
            return _withdraw(present, key_id, identifier, author, now)
        case TakeOut(data_centre=name, identifier=identifier):
            out = sorted({*present.data_centres_out, name})
            return _next(
                present,
                author,
                now,
                f"take out {name}",
                data_centres_out=out,
                absorbed=_absorb(present, (identifier,)),
            )
        case PutBack(data_centre=name, identifiers=identifiers):
            left = [dc for dc in present.data_centres_out if dc != name]
            return _next(
                present,
                author,
                now,
                f"put back {name}",
                data_centres_out=left,
                absorbed=_absorb(present, identifiers),
            )


def _replace_assurances(
    present: Configuration, text: str, base: int, author: str, now: float
) -> Configuration | codes.Refused:
    if base != present.version:
        last = present.history[-1] if present.history else None
        by = f" by {last.author}" if last else ""
        return codes.Refused(
            codes.Result.CONFLICT,
            f"the file was based on version {base}, but version "
            f"{present.version}{by} is accepted",
        )
    parsed = assurances.parse(text)
    if parsed.faults:
        fault = parsed.faults[0]
        return codes.Refused(codes.Result.ASSURANCE_FAULT, str(fault))
    return _next(present, author, now, "replace assurances", assurances=text)


def _grant(
    present: Configuration, record: keys.KeyRecord, author: str, now: float
) -> Configuration | codes.Refused:
    if record.team not in assurances.parse(present.assurances).teams:
        return codes.Refused(
            codes.Result.UNKNOWN_TEAM, f"no assurance names {record.team}"
        )
    if any(known.key_id == record.key_id for known in present.key_records):
        return codes.Refused(
            codes.Result.CONFLICT, f"key {record.key_id} exists"
        )
    return _next(
        present,
        author,
        now,
        f"grant key {record.key_id} to {record.team}",
        key_records=[*present.key_records, record],
    )


def _withdraw(
    present: Configuration,
    key_id: str,
    identifier: str,
    author: str,
    now: float,
) -> Configuration | codes.Refused:
    if all(record.key_id != key_id for record in present.key_records):
        return codes.Refused(codes.Result.NOT_FOUND, f"no key {key_id}")
    records = [
        (
            msgspec.structs.replace(record, withdrawn=True)
            if record.key_id == key_id
            else record
        )
        for record in present.key_records
    ]
    return _next(
        present,
        author,
        now,
        f"withdraw key {key_id}",
        key_records=records,
        absorbed=_absorb(present, (identifier,)),
    )


def _absorb(present: Configuration, identifiers: t.Iterable[str]) -> list[str]:
    return [*present.absorbed, *identifiers][-ABSORBED_LENGTH:]


def _next(
    present: Configuration,
    author: str,
    now: float,
    what: str,
    **fields: t.Any,
) -> Configuration:
    version = present.version + 1
    change = Change(version, author, now, what)
    return msgspec.structs.replace(
        present,
        version=version,
        history=[*present.history, change][-HISTORY_LENGTH:],
        **fields,
    )


class InForce:
    """What is in force on this process: a version and tightening changes.

    Versions only rise, and a tightening change leaves only for a version
    that contains it.
    """

    __slots__ = ("_present", "_tightenings", "_parsed", "_keys", "_shares")

    def __init__(self) -> None:
        self._present = Configuration()
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
        """The highest version ever seen."""
        return self._present

    @property
    def version(self) -> int:
        """Number of that version."""
        return self._present.version

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
        return frozenset((*self._present.data_centres_out, *pending))

    def install(self, offered: Configuration) -> bool:
        """Take a version if it is higher than the present one.

        Returns whether it was taken.
        """
        if offered.version <= self._present.version:
            return False
        self._present = offered
        self._parsed = assurances.parse(offered.assurances)
        self._keys = {record.key_id: record for record in offered.key_records}
        self._shares = {
            name: team.share for name, team in self._parsed.teams.items()
        }
        for identifier in offered.absorbed:
            self._tightenings.pop(identifier, None)
        return True

    def tighten(self, tightening: Tightening) -> bool:
        """Apply a tightening change at once; return whether it is new."""
        if tightening.identifier in self._present.absorbed:
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
