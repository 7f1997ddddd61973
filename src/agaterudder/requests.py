"""Data types of the request path."""

import dataclasses
import enum
import typing as t


class Priority(enum.Enum):
    """Priority class of a request or task, most urgent first."""

    URGENT = "urgent"
    QUICK = "quick"
    NORMAL = "normal"
    LONG = "long"


HOP_BY_HOP_HEADERS = frozenset(
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
OWN_HEADER_PREFIX = "agaterudder-"


def end_to_end(
    headers: t.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward.

    Hop-by-hop headers and the product's own headers, which hold keys, are
    removed.
    """
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


RANKS = {priority: rank for rank, priority in enumerate(Priority)}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request for a service.

    :ivar identifier: request id of the caller, or a generated one.
    :ivar headers: end-to-end headers of the caller.
    :ivar repeatable: whether executing it twice does no harm.
    :ivar deadline: when the caller's time-out ends, monotonic seconds.
    :ivar arrived_at: time of arrival, monotonic seconds.
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
    """A complete answer of a backend server, with end-to-end headers."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
