"""Messages between entry processes, encoded as msgpack."""

import msgspec

from agaterudder import configuration
from agaterudder import resources


class MemberVersion(msgspec.Struct, frozen=True, array_like=True):
    """Highest configuration version that a member is known to have."""

    incarnation: int
    version: int


class Digest(msgspec.Struct, frozen=True):
    """State of a process that it sends to its peers with each heartbeat.

    :ivar versions: highest version known of each member, by VM.
    :ivar usage: resources of the running tasks of each team.
    :ivar waiting: teams with waiting tasks.
    :ivar pressure: cores that the waiting tasks declare, by pool.
    """

    vm: str
    incarnation: int
    data_centre: str
    version: int
    leaving: bool
    versions: dict[str, MemberVersion]
    tightenings: list[configuration.Tightening]
    usage: dict[str, resources.Vector]
    waiting: list[str]
    pressure: dict[str, float] = {}


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First message on a stream."""

    vm: str
    incarnation: int
    data_centre: str


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Heartbeat that carries the digest of its sender.

    :ivar sequence: number of this heartbeat on the stream.
    :ivar echo: number of the last heartbeat received on the stream; the
        receiver dates its last contact to when it sent that one.
    """

    sequence: int
    echo: int
    digest: Digest


class ConfigurationOffer(msgspec.Struct, frozen=True, tag="configuration"):
    """A version of the configuration."""

    configuration: configuration.Configuration


class ForwardRequest(msgspec.Struct, frozen=True, tag="forward"):
    """A caller's service request, forwarded to another data centre.

    :ivar timeout_seconds: time left until the caller's deadline.
    """

    call: str
    request: str
    service: str
    team: str
    priority: str
    repeatable: bool
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_seconds: float


class ForwardAnswer(msgspec.Struct, frozen=True, tag="answer"):
    """Answer to a :class:`ForwardRequest`.

    :ivar code: number of the result; 0 if the message carries the answer
        of a backend server.
    :ivar length: length of the body in bytes, to detect truncation.
    """

    call: str
    request: str
    code: int
    reason: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    length: int


class BorrowSlots(msgspec.Struct, frozen=True, tag="borrow"):
    """Asks a peer of the data centre for idle slots of a service."""

    call: str
    service: str
    count: int


class LendSlots(msgspec.Struct, frozen=True, tag="lend"):
    """Answer to :class:`BorrowSlots`.

    :ivar seconds: duration of the loan, which starts for the borrower when
        it sent the call.
    """

    call: str
    service: str
    count: int
    seconds: float


class TaskCall(msgspec.Struct, frozen=True, tag="task-call"):
    """Asks the owner of a task for its state, or to cancel it."""

    call: str
    task: str
    team: str
    cancel: bool


class TaskAnswer(msgspec.Struct, frozen=True, tag="task-answer"):
    """Answer to :class:`TaskCall`; ``state`` is empty for no such task."""

    call: str
    task: str
    state: str
    reason: str


class ExplainCall(msgspec.Struct, frozen=True, tag="explain-call"):
    """Asks a peer for its recorded decisions about a subject."""

    call: str
    kind: str
    name: str


class ExplainAnswer(msgspec.Struct, frozen=True, tag="explain-answer"):
    """Answer to :class:`ExplainCall`, one line for each decision."""

    call: str
    lines: list[str]


Message = (
    Hello
    | Heartbeat
    | ConfigurationOffer
    | ForwardRequest
    | ForwardAnswer
    | BorrowSlots
    | LendSlots
    | TaskCall
    | TaskAnswer
    | ExplainCall
    | ExplainAnswer
)
Answer = ForwardAnswer | LendSlots | TaskAnswer | ExplainAnswer
