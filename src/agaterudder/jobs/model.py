"""Stored form of jobs and their progress."""

import dataclasses
import re
import typing as t

import msgspec

from agaterudder import decoding
from agaterudder import resources


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: tasks of one kind.

    :ivar size: resources that each task needs.
    :ivar after: numbers of the earlier steps that it depends on; all of
        their tasks must be done first.
    :ivar gang: the tasks run only together and end together.
    :ivar rack_local: the tasks are slower on more than one rack.
    :ivar data_rack: rack of its data; the tasks are slower elsewhere.
    :ivar max_per_worker: limit of its tasks on one worker, 0 without one.
    :ivar speculative: several copies of a task may run in parallel.
    :ivar long_running: the tasks run until the job is cancelled.
    :ivar target_seconds: target for the response times of the tasks, which
        makes them latency-sensitive; 0 without one.
    :ivar best_effort: the tasks use only processor time that other tasks
        leave idle.
    :ivar max_unavailable: how many tasks the manager may make unavailable at
        the same time.
    """

    count: int
    size: resources.Vector
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_seconds: float = 0.0
    best_effort: bool = False
    max_unavailable: int = 0


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A submitted job.

    :ivar payload: input that is passed to each task.
    :ivar times: how often the steps run, 0 for once and at once.
    :ivar start_at: when the first occurrence is due, Unix seconds.
    :ivar interval: seconds between occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    start_at: float = 0.0
    interval: float = 0.0


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """What a queue promised its jobs; see :class:`operatorconfig.Queue`.

    :ivar policy: fixed part of the response time of its placement policy, part
        for each named worker, and validity of a ticket, in seconds; None
        without a policy.
    """

    priority: int = 0
    stretch: float = 1.0
    target_seconds: float = 0.0
    policy: tuple[float, float, float] | None = None


class Job(msgspec.Struct, frozen=True, array_like=True):
    """An accepted job.

    :ivar accepted_at: when it was accepted, seconds of the store's clock.
    :ivar max_attempts: how many runs of a task its queue allowed to fail when
        it was accepted; 0 in rows of releases that did not store it.
    :ivar terms: what its queue promised when it was accepted, in force once
        operators have removed the queue.
    """

    job: str
    queue: str
    team: str
    accepted_at: float
    request: Request
    max_attempts: int = 0
    terms: QueueTerms = QueueTerms()

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return max(self.request.times, 1)


STATE_QUEUED = "queued"
STATE_RUNNING = "running"
STATE_COMPLETED = "completed"
STATE_FAILED = "failed"
STATE_CANCELLED = "cancelled"
# The job does not lie here: its queue has moved to another pool. The row keeps
# a late submission from being stored here all the same.
STATE_MOVED = "moved"
# The job was cancelled before it was stored. The row keeps a late submission
# from being stored all the same.
STATE_WITHDRAWN = "withdrawn"


class WorkerLife(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a worker.

    :ivar incarnation: its start, Unix milliseconds; 0 when not known.
    """

    worker: str
    incarnation: int


class Progress(msgspec.Struct, array_like=True):
    """Durable progress of a job that has not ended.

    :ivar done: numbers of the tasks that are done, by occurrence and step
        (``"0.1"``).
    :ivar failures: numbers of the failed runs by task (or by occurrence
        and step for a gang), so that an end that is listed again counts
        once.
    :ivar checkpoints: last checkpoints of tasks that are not done.
    :ivar crashes: numbers of the runs under which a worker crashed when they
        had just started, by task (or by occurrence and step for a gang).
    :ivar attempts: numbers of runs, by the same keys, that were stored before
        their start and whose outcome is not known.
    :ivar lost_starts: numbers of runs, by the same keys, whose worker crashed
        and never said that it has them: it may have crashed before.
    :ivar late_crashes: numbers of the runs, by the same keys, under which a
        worker crashed later.
    :ivar attempt_workers: workers on which the attempts were to start, by
        number; rows of earlier releases lack them.
    """

    done: dict[str, list[int]] = {}
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[int]] = {}
    attempts: dict[str, list[int]] = {}
    lost_starts: dict[str, list[int]] = {}
    late_crashes: dict[str, list[int]] = {}
    attempt_workers: dict[int, tuple[WorkerLife, ...]] = {}

    @property
    def crash_records(self) -> tuple[dict[str, list[int]], ...]:
        """All records of runs whose worker crashed."""
        return (self.crashes, self.lost_starts, self.late_crashes)


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """The end of a job.

    :ivar state: completed, failed, cancelled, moved or withdrawn.
    :ivar ended_at: seconds of the store's clock.
    :ivar code: number of the result, see :mod:`agaterudder.codes`.
    """

    state: str
    ended_at: float
    reason: str = ""
    code: int = 0

    @property
    def keeps_out(self) -> bool:
        """Whether the job was not stored here, and must not be."""
        return self.state in (STATE_MOVED, STATE_WITHDRAWN)


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """Row of a pool's holder; its version is the epoch."""

    vm: str
    incarnation: str


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """Lease of the holder of a pool.

    :ivar expires_at: seconds of the store's clock.
    """

    vm: str
    incarnation: str
    expires_at: float


class Pending(msgspec.Struct, frozen=True, array_like=True):
    """Accepted jobs of which no task has started, by queue."""

    written_at: float
    counts: dict[str, int]


class UsedPool(msgspec.Struct, frozen=True, array_like=True):
    """A pool that a queue has.

    :ivar since: version of the configuration with which it was recorded.
    :ivar queue: name of the queue in that configuration, empty in rows of
        releases that did not store it.
    """

    pool: str
    since: int
    queue: str = ""


class QueuePools(msgspec.Struct, frozen=True, array_like=True):
    """Pools that a queue has had, the latest last.

    :ivar address: host and path prefix of the queue.
    """

    address: str
    pools: list[UsedPool]


_Stored = t.TypeVar("_Stored")


def encode(value: t.Any) -> bytes:
    """Encode a value for the store."""
    return msgspec.msgpack.encode(value)


def decode(content: bytes, kind: type[_Stored]) -> _Stored:
    """Decode a stored value.

    :raises Undecodable: when the content does not match the type.
    """
    return decoding.from_msgpack(content, kind)


CANCEL_SUFFIX = ".cancel"


def jobs_table(pool: str) -> str:
    """Return the table of accepted jobs and cancellations of a pool."""
    return f"jobs.{pool}"


PROGRESS_TABLE = "progress"
ENDED_TABLE = "ended"
HOLDERS_TABLE = "holders"
LEASES_TABLE = "leases"
PENDING_TABLE = "pending"
QUEUE_POOLS_TABLE = "queuepools"
QUEUE_POOLS_PARTITION = "queuepools"
HOLDER_KEY = "holder"
LEASE_KEY = "lease"
PENDING_KEY = "pending"


def lease_partition(pool: str) -> str:
    """Return the partition of the store with a pool's lease.

    Each partition of the store runs one transaction at a time. Separate
    partitions keep leases and counts from waiting behind jobs.
    """
    return f"lease.{pool}"


def pending_partition(pool: str) -> str:
    """Return the partition of the store with a pool's pending jobs."""
    return f"pending.{pool}"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskKey:
    """Parts of the name of a task."""

    job: str
    occurrence: int
    step: int
    index: int


TASK_NAME = re.compile(
    r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})", re.ASCII
)


def task_key(name: str) -> TaskKey | None:
    """Return the parts of the name of a task, None for any other text."""
    found = TASK_NAME.fullmatch(name)
    if found is None:
        return None
    occurrence, step, index = (int(part) for part in found.groups()[1:])
    return TaskKey(found[1], occurrence, step, index)


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task."""
    return f"{job}.{occurrence}.{step}.{index}"
