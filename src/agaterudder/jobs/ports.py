"""What jobs need from outside: a store, workers, machines and a policy.

The adapter of a platform implements these; the stand-ins of the tests do
as well.
"""

import dataclasses
import typing as t

from agaterudder import codes
from agaterudder.jobs import rules
from agaterudder import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the store.

    :ivar version: position of its last write in the order of all writes;
        0 for a row that does not exist.
    """

    table: str
    key: str
    value: bytes
    version: int
    part: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A condition: the row has this version (0: does not exist)."""

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row to write."""

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A row to remove."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :ivar version: version of all rows that it wrote.
    :ivar clock: the store's steady clock, seconds.
    """

    version: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A condition did not hold, nothing was done.

    :ivar rows: rows of the conditions as they are.
    """

    rows: tuple[Row, ...]


Outcome = Committed | Conflicted | codes.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Rows of one part of a table.

    :ivar version: version of the whole store, from which to follow.
    :ivar clock: the store's steady clock, seconds.
    """

    rows: tuple[Row, ...]
    version: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows of a table, in order; removed ones have version 0.

    :ivar clock: the store's steady clock, seconds.
    """

    rows: tuple[Row, ...]
    version: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes that were asked for."""


class Store(t.Protocol):
    """The platform's store."""

    def transact(
        self,
        part: str,
        checks: t.Sequence[Check],
        puts: t.Sequence[Put],
        deletes: t.Sequence[Delete] = (),
        timeout: float | None = None,
    ) -> Outcome:
        """Write rows of one part together, if all conditions hold.

        A refusal has code ``STORE_AWAY`` when nothing was done, and
        ``CHANGE_UNKNOWN`` when it may take effect, now or seconds later.
        """

    def read(
        self, table: str, part: str, key: str, timeout: float | None = None
    ) -> Row | None:
        """Return a row, None when it does not exist.

        :raises CallFailed: when no answer came.
        """

    def scan(self, table: str, part: str) -> Scan:
        """Return all rows of a part of a table.

        :raises CallFailed: when no answer came.
        """

    def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version.

        :raises CallFailed: when no answer came.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start of one run of a task.

    :ivar run: number of the run, higher than all earlier ones.
    :ivar deadline: until when the lease reaches, and after which the
        order is refused; seconds of the worker's clock.
    :ivar epoch: fencing token of the pool's holder.
    :ivar ticket: permission of the placement policy, empty without one.
    """

    task: str
    run: int
    text: str
    deadline: float
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The run is there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The worker did nothing.

    :ivar reason: one of the ``REJECTED_`` constants.
    """

    reason: str


REJECTED_FENCED = "fenced"
REJECTED_OLD_RUN = "old run"
REJECTED_LATE = "late"
REJECTED_ROOM = "no room"
REJECTED_TICKET = "no ticket"
REJECTED_OTHER_LIFE = "other life"
REJECTED_BUSY = "busy"
REJECTED_INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came.

    :ivar sent: whether the order may be carried out, now or later.
    """

    reason: str
    sent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The worker carried the order out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run that a worker lists.

    :ivar checkpoint: last saved progress, empty without one.
    :ivar progress: per cent of its work that is done; 100 for a lasting
        task once it is at work.
    :ivar reading: tail of the response times in seconds for a task that
        serves, cores in use for any other; None when not listed.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    reading: float | None = None


END_DONE = "done"
END_FAILED = "failed"
END_STOPPED = "stopped"
END_LAPSED = "lapsed"
END_BROKEN = "broken"
END_ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of a run.

    :ivar number: position in the worker's list of ends, from 1.
    :ivar how: one of the ``END_`` constants.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """What a worker runs and the ends that are not acknowledged.

    :ivar life_start: start of this life of the worker, Unix milliseconds.
    :ivar clock: the worker's steady clock, seconds.
    """

    life_start: int
    clock: float
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]


WORKER_READY = "ready"
WORKER_DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker registered about itself.

    :ivar life_start: start of this life, Unix milliseconds.
    :ivar rack: label of its rack, empty when it names none.
    """

    worker: str
    pool: str
    address: str
    data_centre: str
    state: str
    size: resources.Vector
    labels: tuple[str, ...]
    rack: str
    life_start: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSet:
    """Operators set a configuration."""

    configuration: rules.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TakenOut:
    """Operators took a data centre out, or back."""

    data_centre: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSet:
    """Operators asked for a wave, or removed it (``wave`` None)."""

    number: int
    wave: rules.Wave | None


OperatorChange = ConfigurationSet | TakenOut | WaveSet


class Operators(t.Protocol):
    """What operators configured."""

    def whole(self) -> tuple[tuple[OperatorChange, ...], int]:
        """Return all that is in force, and its version.

        :raises CallFailed: when no answer came.
        """

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[OperatorChange, ...], int] | HistoryLost:
        """Wait for changes after a version.

        :raises CallFailed: when no answer came.
        """

    def report_wave(self, number: int, completed: bool) -> bool:
        """Tell operators of a wave; return whether it was stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChange:
    """A worker registered (``entry``), or its registration went (None)."""

    worker: str
    entry: WorkerEntry | None


class WorkerList(t.Protocol):
    """Registrations of the workers."""

    def whole(self) -> tuple[tuple[WorkerChange, ...], int]:
        """Return all registrations, and their version.

        :raises CallFailed: when no answer came.
        """

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[WorkerChange, ...], int] | HistoryLost:
        """Wait for changes after a version.

        :raises CallFailed: when no answer came.
        """


class Worker(t.Protocol):
    """Orders to one worker."""

    def start(
        self, order: StartOrder, timeout: float
    ) -> Started | Rejected | NoAnswer:
        """Start a run; repeating an order changes nothing."""

    def stop(
        self, task: str, run: int, epoch: int, timeout: float
    ) -> Done | Rejected | NoAnswer:
        """Stop a run; one that has not arrived will be refused."""

    def renew(
        self,
        epoch: int,
        acknowledged: int,
        deadline: float | None,
        wait_seconds: float,
        timeout: float,
    ) -> Listing | Rejected | NoAnswer:
        """Renew the lease of all that runs, and list it.

        :param acknowledged: ends up to this number may be forgotten.
        :param deadline: end of the lease by the worker's clock, None to
            list only.
        :param wait_seconds: how long to wait for an end.
        """

    def throttle(
        self, task: str, run: int, percent: int, epoch: int, timeout: float
    ) -> Done | Rejected | NoAnswer:
        """Let a run work at a share of its speed."""

    def close(self) -> None:
        """Close the connections."""


MACHINE_UP = "up"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the platform; a worker is one life of it.

    :ivar worker: its present worker, empty when it has none.
    :ivar state: ``up``, ``moving``, ``upkeep`` or ``down``.
    """

    machine: str
    pool: str
    state: str
    data_centre: str
    worker: str


class Machines(t.Protocol):
    """The platform's machines."""

    def list(self) -> tuple[Machine, ...]:
        """Return all machines.

        :raises CallFailed: when no answer came.
        """

    def move(
        self, machine: str, pool: str, holder: str, token: int
    ) -> Done | Rejected | NoAnswer:
        """Move a machine to another pool; ends all that runs on it."""

    def maintain(
        self, machine: str, wave: int, holder: str, token: int
    ) -> Done | Rejected | NoAnswer:
        """Begin the upkeep of a machine; ends all that runs on it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tickets:
    """Workers that may run a step, each with its ticket."""

    by_worker: dict[str, str]
    valid_seconds: float


class Policy(t.Protocol):
    """The placement policy service."""

    def ask(
        self, step: str, workers: t.Sequence[str], timeout: float
    ) -> Tickets | NoAnswer:
        """Ask which of the workers may run a step."""
