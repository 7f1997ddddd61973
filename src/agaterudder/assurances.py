"""The assurance file: one assurance per line, with who asked for it.

The file is TOML. Each line is ``kind.name = { field = value, ... }``
followed by a comment that names who asked, for instance::

    team.registry = { share = 2, cores = 64, tasks = 40 }  # Ane, 2026-11
"""

import dataclasses
import functools
import re
import typing as t

import msgspec
import tomlkit
import tomlkit.exceptions

from agaterudder import resources

TeamName = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]*$")]
Positive = t.Annotated[float, msgspec.Meta(gt=0)]
NonNegative = t.Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]

PARSE_CACHE_SIZE = 4

_LINE = re.compile(
    r"^(?P<kind>[a-z-]+)(\.(?P<name>[a-z0-9-]+))?\s*=\s*(?P<value>\{.*)$"
)


class TeamAssurance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share and fleet-wide upper limit of a team.

    :ivar share: weight of the team when the fleet is full.
    :ivar cores: maximum number of cores in use at once; memory (in MB),
        accelerators and tasks likewise.
    """

    share: Positive = 1.0
    cores: NonNegative = resources.UNBOUNDED
    memory: NonNegative = resources.UNBOUNDED
    accelerators: NonNegative = resources.UNBOUNDED
    tasks: NonNegativeInt = 1_000_000

    @property
    def limit(self) -> resources.Vector:
        """The upper limit as a vector."""
        return resources.Vector(
            self.cores, self.memory, self.accelerators, self.tasks
        )


class PoolAssurance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Availability budget and maintenance of a pool of VMs.

    :ivar out: maximum number of VMs that may be out of service at once.
    :ivar out_per_data_centre: the same in one data centre.
    :ivar out_per_rack: the same in one rack.
    :ivar spare: minimum number of VMs that must stay in service.
    :ivar survive_rack: whether the budget must also hold after the loss
        of the largest rack.
    :ivar maintain_days: interval in which every VM is maintained once.
    :ivar buffer: whether the pool lends VMs to other pools, which return
        them.
    """

    out: NonNegativeInt = 1
    out_per_data_centre: NonNegativeInt = 1_000_000
    out_per_rack: NonNegativeInt = 1_000_000
    spare: NonNegativeInt = 0
    survive_rack: bool = False
    maintain_days: Positive = 28.0
    buffer: bool = False


class QueueAssurance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who may use a queue, and the pool that runs its tasks."""

    pool: str
    open: bool = False


class ClassAssurance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start-time objective of a priority class.

    :ivar start_seconds: time within which work of the class starts.
    """

    start_seconds: Positive


_TYPES_BY_KIND: dict[str, type[msgspec.Struct]] = {
    "team": TeamAssurance,
    "pool": PoolAssurance,
    "queue": QueueAssurance,
    "class": ClassAssurance,
}
CLASSES = ("urgent", "quick", "normal", "long")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in the file; line and column are counted from 1."""

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Line of an assurance and who asked for it."""

    line: int
    asked_by: str
    text: str

    def __str__(self) -> str:
        return f"line {self.line} (asked by {self.asked_by}): {self.text}"


@dataclasses.dataclass(frozen=True, slots=True)
class Assurances:
    """Every assurance of a file, and its faults."""

    teams: dict[str, TeamAssurance]
    pools: dict[str, PoolAssurance]
    queues: dict[str, QueueAssurance]
    classes: dict[str, ClassAssurance]
    sources: dict[str, Source]
    faults: tuple[Fault, ...]

    def source(self, kind: str, name: str) -> str:
        """Return the line of an assurance, for explanations."""
        found = self.sources.get(f"{kind}.{name}")
        return str(found) if found else "no assurance"


@dataclasses.dataclass(frozen=True, slots=True)
class _Parsed:
    key: str
    value: msgspec.Struct
    source: Source


@functools.lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse(text: str) -> Assurances:
    """Parse a file; faults are collected, not raised.

    The results for the latest texts are cached, because most versions of
    the configuration change a key and leave the file unchanged.
    """
    faults: list[Fault] = []
    entries: dict[str, dict[str, t.Any]] = {
        kind: {} for kind in _TYPES_BY_KIND
    }
    sources: dict[str, Source] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        match _parse_line(number, line):
            case Fault() as fault:
                faults.append(fault)
            case _Parsed(key=key) if key in sources:
                first = sources[key].line
                faults.append(
                    Fault(number, 1, f"{key} stands already in line {first}")
                )
            case _Parsed(key=key, value=value, source=source):
                kind, _, name = key.partition(".")
                entries[kind][name] = value
                sources[key] = source
    found = Assurances(
        entries["team"],
        entries["pool"],
        entries["queue"],
        entries["class"],
        sources,
        (),
    )
    faults.extend(_contradictions(found))
    return dataclasses.replace(found, faults=tuple(faults))


def _parse_line(number: int, line: str) -> _Parsed | Fault:
    matched = _LINE.match(line)
    if matched is None or matched["name"] is None:
        return Fault(number, 1, "expected kind.name = { field = value }")
    kind = matched["kind"]
    if kind not in _TYPES_BY_KIND:
        known = ", ".join(_TYPES_BY_KIND)
        return Fault(number, 1, f"unknown kind {kind}; known are {known}")
    name = matched["name"]
    if kind == "class" and name not in CLASSES:
        column = matched.start("name") + 1
        return Fault(number, column, f"unknown class {name}; known: {CLASSES}")
    return _parse_value(number, line, f"{kind}.{name}", matched)


def _parse_value(
    number: int, line: str, key: str, matched: re.Match[str]
) -> _Parsed | Fault:
    column = matched.start("value") + 1
    kind = key.partition(".")[0]
    try:
        item = tomlkit.parse(line)[kind][key.partition(".")[2]]
        value = msgspec.convert(item.unwrap(), _TYPES_BY_KIND[kind])
    except tomlkit.exceptions.ParseError as error:
        return _syntax_fault(number, line, error)
    except (tomlkit.exceptions.TOMLKitError, AttributeError) as error:
        return Fault(number, column, str(error))
    except msgspec.ValidationError as error:
        return Fault(number, _column(line, error, column), str(error))
    asked_by = item.trivia.comment.lstrip("# ").strip()
    if not asked_by:
        end = len(line.rstrip()) + 1
        return Fault(number, end, "no comment names who asked for it")
    return _Parsed(key, value, Source(number, asked_by, line.strip()))


def _syntax_fault(
    number: int, line: str, error: tomlkit.exceptions.ParseError
) -> Fault:
    """Return the fault of a line that is not valid TOML.

    The parser reports column 0 when the line ends prematurely.
    """
    if error.col:
        return Fault(number, error.col + 1, str(error))
    end = len(line.partition("#")[0].rstrip()) + 1
    return Fault(number, end, "the line ends too early; is a } missing?")


def _column(line: str, error: Exception, default: int) -> int:
    named = re.search(r"`\$\.(\w+)`|field `(\w+)`", str(error))
    if named is None:
        return default
    field = named.group(1) or named.group(2)
    place = re.search(rf"\b{field}\b\s*=", line)
    return place.start() + 1 if place else default


def _contradictions(found: Assurances) -> t.Iterator[Fault]:
    for name, queue in found.queues.items():
        if queue.pool not in found.pools:
            line = found.sources[f"queue.{name}"].line
            yield Fault(line, 1, f"queue {name}: no pool {queue.pool}")
    for name, pool in found.pools.items():
        line = found.sources[f"pool.{name}"].line
        if 0 in (pool.out, pool.out_per_data_centre, pool.out_per_rack):
            yield Fault(
                line, 1, f"pool {name}: its budget allows no maintenance"
            )
    buffers = [n for n, pool in found.pools.items() if pool.buffer]
    if len(buffers) > 1:
        line = found.sources[f"pool.{buffers[1]}"].line
        yield Fault(line, 1, f"pools {buffers[:2]}: only one can be buffer")


def check_capacity(
    found: Assurances,
    pool_sizes: t.Mapping[str, int],
    capacity: resources.Vector,
) -> tuple[Fault, ...]:
    """Return the assurances that the fleet can't meet.

    :param pool_sizes: number of VMs of each pool.
    :param capacity: capacity of the fleet.
    """
    return (
        *_unreachable_shares(found, capacity),
        *_unmaintainable(found, pool_sizes),
    )


def _unreachable_shares(
    found: Assurances, capacity: resources.Vector
) -> t.Iterator[Fault]:
    total_share = sum(team.share for team in found.teams.values())
    for name, team in found.teams.items():
        guaranteed = capacity.scaled(team.share / total_share)
        if team.limit.cores + resources.TOLERANCE < guaranteed.cores:
            line = found.sources[f"team.{name}"].line
            yield Fault(
                line,
                1,
                f"team {name}: its limit of {team.limit.cores:g} cores is "
                f"below its share of {guaranteed.cores:.1f}",
            )


def _unmaintainable(
    found: Assurances, pool_sizes: t.Mapping[str, int]
) -> t.Iterator[Fault]:
    for name, pool in found.pools.items():
        line = found.sources[f"pool.{name}"].line
        size = pool_sizes.get(name, 0)
        if size == 0:
            yield Fault(line, 1, f"pool {name}: the fleet has no such VM")
        elif pool.spare + pool.out > size:
            yield Fault(
                line,
                1,
                f"pool {name}: {pool.spare} spare and {pool.out} out are "
                f"more than its {size} VMs",
            )


def differences(old: str, new: str) -> list[str]:
    """Return the changes of a new file, one line per assurance."""
    before = parse(old).sources
    after = parse(new).sources
    removed = [f"- {before[k].text}" for k in before if k not in after]
    added = [f"+ {after[k].text}" for k in after if k not in before]
    changed = [
        f"~ {before[k].text}  ->  {after[k].text}"
        for k in after
        if k in before and before[k].text != after[k].text
    ]
    return [*removed, *added, *changed]
