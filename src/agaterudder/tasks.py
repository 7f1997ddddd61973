"""Tasks and the batches in which the table service keeps them.

One row holds a batch of tasks with one owner. It stores only what must
survive the owner: the submitted tasks and their outcomes. The workers
are asked which tasks they run when a batch changes its owner.
"""

import enum
import typing as t

import msgspec

from agaterudder import lifecycles
from agaterudder import requests
from agaterudder import resources

LIVE_PREFIX = "batches/"
SETTLED_PREFIX = "settled/"
REQUEST_PREFIX = "requests/"
MAX_TASKS_PER_BATCH = 200
MAX_ATTEMPTS = 3


class State(enum.Enum):
    """State of a task; ``charts/task.yaml`` defines the transitions."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    SET_ASIDE = "set aside"
    UNKNOWN = "outcome unknown"


SETTLED = frozenset(
    {
        State.DONE,
        State.FAILED,
        State.CANCELLED,
        State.SET_ASIDE,
        State.UNKNOWN,
    }
)


class Task(msgspec.Struct):
    """One task of a team.

    :ivar task: ``<data centre>.<batch>.<number>``.
    :ivar kind: kind of work; actual sizes are estimated for each kind.
    :ivar run_seconds: declared run time.
    :ivar submitted_at: wall-clock time in seconds since the epoch.
    :ivar attempts: starts that ended without an outcome.
    :ivar starts: starts under the present epoch.
    :ivar reason: reason for the present state.
    """

    task: str
    team: str
    queue: str
    pool: str
    priority: requests.Priority
    size: resources.Vector
    run_seconds: float
    repeatable: bool
    kind: str
    submitted_at: float
    request: str = ""
    state: State = State.WAITING
    attempts: int = 0
    starts: int = 0
    checkpoint: str = ""
    reason: str = ""


class Batch(msgspec.Struct):
    """Row of a batch.

    :ivar owner: entry VM that decides about the tasks, empty when
        released.
    :ivar owner_data_centre: data centre in which the owner starts tasks.
    :ivar epoch: fencing token, raised with each change of the owner;
        workers refuse a start with a lower one.
    :ivar incarnation: incarnation of the process that owns the batch.
    :ivar placements: worker of each started task, written when the owner
        releases the batch; None while an owner may start tasks.
    :ivar released_by: former owner that released the batch; its grants
        cover the started tasks.
    :ivar settled_at: wall-clock time at which every task had ended.
    """

    batch: str
    data_centre: str
    owner: str
    owner_data_centre: str
    epoch: int
    tasks: list[Task]
    incarnation: int = 0
    placements: dict[str, str] | None = None
    released_by: str = ""
    settled_at: float = 0.0

    @property
    def key(self) -> str:
        """Key of the row while tasks are open."""
        return f"{LIVE_PREFIX}{self.data_centre}/{self.batch}"

    @property
    def settled_key(self) -> str:
        """Key of the row when every task has ended."""
        return f"{SETTLED_PREFIX}{self.data_centre}/{self.batch}"

    @property
    def settled(self) -> bool:
        """Whether every task has ended."""
        return all(task.state in SETTLED for task in self.tasks)


class IdempotencyRecord(msgspec.Struct, frozen=True):
    """The task that a caller's request id stands for."""

    task: str


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a submission.

    :ivar size: cores, memory in MB and accelerators.
    :ivar run_seconds: declared run time in seconds.
    """

    queue: str
    cores: t.Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    memory: t.Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    accelerators: t.Annotated[float, msgspec.Meta(ge=0, le=1e4)] = 0.0
    run_seconds: t.Annotated[float, msgspec.Meta(gt=0, le=1e7)] = 1.0
    priority: requests.Priority = requests.Priority.NORMAL
    repeatable: bool = False
    kind: t.Annotated[str, msgspec.Meta(max_length=64)] = "any"

    @property
    def size(self) -> resources.Vector:
        """Declared size of the running task."""
        return resources.Vector(
            self.cores, self.memory, self.accelerators, 1.0
        )


def apply_event(task: Task, event: str) -> None:
    """Apply an event of the state chart to a task.

    :raises ChartError: when the event is not allowed in its state.
    """
    chart = lifecycles.load("task")
    task.state = State(chart.next_state(task.state.value, event))


def idempotency_key(team: str, request: str) -> str:
    """Return the key of the row for a caller's request id."""
    return f"{REQUEST_PREFIX}{team}/{request}"


def identifier(data_centre: str, batch: str, number: int) -> str:
    """Return the identifier of a task."""
    return f"{data_centre}.{batch}.{number}"


def parse_identifier(task: str) -> tuple[str, str] | None:
    """Return data centre and batch of a task's identifier, or None."""
    parts = task.split(".")
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    return parts[0], parts[1]
