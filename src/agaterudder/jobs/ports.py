"""Interfaces to the platform: store, workers, machines and policy.

The adapter of a platform implements these, and so do the fakes of the
tests.
"""

import dataclasses
import typing as t

import msgspec

from agaterudder import codes
from agaterudder.jobs import operatorconfig
from agaterudder import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the store.

    :ivar version: sequence number of its last write among all writes to the
        store; 0 for a row that does not exist.
    """

    table: str
    key: str
    value: bytes
    version: int
    partition: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Precondition:
    """Condition of a write: the row has this version (0: does not exist)."""

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
    :ivar clock: the store's monotonic clock, seconds.
    """

    version: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A precondition failed and nothing was written.

    :ivar rows: present state of the rows that the preconditions name.
    """

    rows: tuple[Row, ...]


Outcome = Committed | Conflicted | codes.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Rows of one partition of a table.

    :ivar version: version of the store, after which to read changes.
    :ivar clock: the store's monotonic clock, seconds.
    """

    rows: tuple[Row, ...]
    version: int
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows of a table, in order; removed ones have version 0.

    :ivar clock: the store's monotonic clock, seconds.
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
        partition: str,
        preconditions: t.Sequence[Precondition],
        puts: t.Sequence[Put],
        deletes: t.Sequence[Delete] = (),
        timeout: float | None = None,
    ) -> Outcome:
        """Write rows of one partition atomically if all preconditions hold.

        A refusal has code ``STORE_AWAY`` when nothing was written, and
        ``CHANGE_UNKNOWN`` when the write may take effect, now or seconds
        later.
        """

    def read(
        self,
        table: str,
        partition: str,
        key: str,
        timeout: float | None = None,
    ) -> Row | None:
        """Return a row, None when it does not exist.

        :raises CallFailed: when no answer arrived.
        """

    def scan(self, table: str, partition: str) -> Scan:
        """Return all rows of a partition of a table.

        :raises CallFailed: when no answer arrived.
        """

    def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Changes | HistoryLost:
        """Wait for changes of a table after a version.

        :raises CallFailed: when no answer arrived.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one run of a task.

    :ivar run: number of the run, higher than all earlier ones.
    :ivar deadline: end of the run's lease, after which the worker rejects
        the order; seconds of the worker's clock.
    :ivar epoch: fencing token of the pool's holder.
    :ivar ticket: permit of the placement policy, empty without one.
    """

    task: str
    run: int
    payload: str
    deadline: float
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The worker has the run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The worker rejected the order and did nothing.

    :ivar reason: one of the ``REJECTED_`` constants.
    """

    reason: str


REJECTED_FENCED = "fenced"
REJECTED_OLD_RUN = "old run"
REJECTED_DEADLINE_PASSED = "late"
REJECTED_NO_CAPACITY = "no room"
REJECTED_TICKET = "no ticket"
REJECTED_OTHER_INCARNATION = "other life"
REJECTED_BUSY = "busy"
REJECTED_INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer arrived.

    :ivar may_take_effect: whether the order may be carried out, now or later.
    """

    reason: str
    may_take_effect: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The worker carried the order out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run in a worker's list.

    :ivar checkpoint: last saved progress, empty without one.
    :ivar progress: per cent of its work that is done; 100 for a long-running
        task that has started up.
    :ivar measurement: tail latency in seconds for a latency-sensitive task,
        cores in use for any other; None when not listed.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    measurement: float | None = None


END_DONE = "done"
END_FAILED = "failed"
END_STOPPED = "stopped"
END_LAPSED = "lapsed"
END_BROKEN = "broken"
END_ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of a run.

    :ivar number: sequence number of the end on its worker, from 1.
    :ivar outcome: one of the ``END_`` constants.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Runs of a worker, and ends of runs that are not acknowledged.

    :ivar incarnation: start of the worker's incarnation, Unix milliseconds.
    :ivar clock: the worker's monotonic clock, seconds.
    :ivar more_ends: whether further ends may follow, which the worker lists
        once these are acknowledged.
    """

    incarnation: int
    clock: float
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    more_ends: bool = False


WORKER_READY = "ready"
WORKER_DRAINING = "draining"


class WorkerRegistration(msgspec.Struct, frozen=True):
    """Registration of a worker.

    :ivar incarnation: start of its incarnation, Unix milliseconds.
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
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSet:
    """Operators set a configuration."""

    configuration: operatorconfig.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TakenOut:
    """Operators took a data centre out of service, or put it back."""

    data_centre: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSet:
    """Operators requested a maintenance wave, or removed it (None)."""

    number: int
    wave: operatorconfig.Wave | None


OperatorChange = ConfigurationSet | TakenOut | WaveSet


class Operators(t.Protocol):
    """Settings of the operators."""

    def snapshot(self) -> tuple[tuple[OperatorChange, ...], int]:
        """Return a snapshot of the settings in force, and its version.

        :raises CallFailed: when no answer arrived.
        """

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[OperatorChange, ...], int] | HistoryLost:
        """Wait for changes after a version.

        :raises CallFailed: when no answer arrived.
        """

    def report_wave(self, number: int, completed: bool) -> bool:
        """Report a wave's status; return whether it was stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChange:
    """A worker registered, or its registration was removed (None)."""

    worker: str
    registration: WorkerRegistration | None


class WorkerList(t.Protocol):
    """Registrations of the workers."""

    def snapshot(self) -> tuple[tuple[WorkerChange, ...], int]:
        """Return a snapshot of the registrations, and its version.

        :raises CallFailed: when no answer arrived.
        """

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[WorkerChange, ...], int] | HistoryLost:
        """Wait for changes after a version.

        :raises CallFailed: when no answer arrived.
        """


class Worker(t.Protocol):
    """Orders to one worker."""

    def start(
        self, order: StartOrder, timeout: float
    ) -> Started | Rejected | NoAnswer:
        """Start a run; idempotent."""

    def stop(
        self, task: str, run: int, epoch: int, timeout: float
    ) -> Done | Rejected | NoAnswer:
        """Stop a run; the worker rejects a start of it that comes later."""

    def renew(
        self,
        epoch: int,
        acknowledged: int,
        deadline: float | None,
        wait_seconds: float,
        timeout: float,
    ) -> Listing | Rejected | NoAnswer:
        """Renew the lease of all runs of a worker, and list them.

        :param acknowledged: ends up to this number may be discarded.
        :param deadline: end of the lease by the worker's clock, None to
            list only.
        :param wait_seconds: how long to wait for the end of a run.
        """

    def throttle(
        self, task: str, run: int, percent: int, epoch: int, timeout: float
    ) -> Done | Rejected | NoAnswer:
        """Limit a run to a percentage of its speed."""

    def close(self) -> None:
        """Close the connections."""


MACHINE_UP = "up"


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the platform; each incarnation of it is a worker.

    :ivar worker: its present worker, empty when it has none.
    :ivar state: ``up``, ``moving``, ``upkeep`` (in maintenance) or
        ``down``.
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

        :raises CallFailed: when no answer arrived.
        """

    def move(
        self, machine: str, pool: str, holder: str, token: int
    ) -> Done | Rejected | NoAnswer:
        """Move a machine to another pool; this ends all its runs."""

    def maintain(
        self, machine: str, wave: int, holder: str, token: int
    ) -> Done | Rejected | NoAnswer:
        """Start the maintenance of a machine; this ends all its runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tickets:
    """Permits of the placement policy for a step, by worker."""

    by_worker: dict[str, str]
    valid_seconds: float


class Policy(t.Protocol):
    """The placement policy service."""

    def ask(
        self, step: str, workers: t.Sequence[str], timeout: float
    ) -> Tickets | NoAnswer:
        """Ask which of the workers may run a step."""
