"""Plain data of the request path."""

import dataclasses
import enum
import typing as t


class Priority(enum.Enum):
    """Class of a request or task, most pressing first."""

    URGENT = "urgent"
    QUICK = "quick"
    NORMAL = "normal"
    LONG = "long"


HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_HEADERS = "agaterudder-"


def end_to_end(
    headers: t.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are passed on.

    Headers of one connection and the product's own, which hold keys, are
    left out.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
        and not name.lower().startswith(OWN_HEADERS)
    )


RANKS = {priority: rank for rank, priority in enumerate(Priority)}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request for a service.

    :ivar identifier: identifier of the caller, or one made here.
    :ivar headers: end-to-end headers of the caller.
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
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A backend server's whole answer, with its end-to-end headers."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
