"""Plain data of the request path."""

import dataclasses
import enum


class Priority(enum.Enum):
    """Class of a request or task, most pressing first."""

    URGENT = "urgent"
    QUICK = "quick"
    NORMAL = "normal"
    LONG = "long"


RANKS = {priority: rank for rank, priority in enumerate(Priority)}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request for a service.

    :ivar identifier: identifier of the caller, or one made here.
    :ivar repeatable: whether executing it twice does no harm.
    :ivar deadline: end of the caller's patience, monotonic seconds.
    :ivar arrived_at: monotonic seconds.
    """

    identifier: str
    service: str
    team: str
    priority: Priority
    repeatable: bool
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A backend server's whole answer."""

    status: int
    content_type: str
    body: bytes
