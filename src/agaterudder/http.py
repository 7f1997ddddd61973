"""HTTP server: strict heads, bounded bodies and result codes."""

import dataclasses
import logging
import socket
import time
import typing as t

import gevent.pool
from gevent import pywsgi
import msgspec

from agaterudder import codes
from agaterudder import utils

LOG = logging.getLogger(__name__)

KEEP_ALIVE_SECONDS = 60.0
READ_TIMEOUT_SECONDS = 10.0

Environ = dict[str, t.Any]
StartResponse = t.Callable[[str, list[tuple[str, str]]], t.Any]


class RefusalBody(msgspec.Struct, frozen=True):
    """JSON body of a refusal."""

    code: int
    name: str
    reason: str
    not_run: bool
    may_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP response to a caller."""

    status: int
    content: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request whose answer has not been written.

    :ivar began_at: when its head had been read, seconds of the monotonic
        clock.
    :ivar answered: whether its answer is known and is being written.
    """

    method: str
    path: str
    began_at: float
    answered: bool = False


class _Content:
    """Content of a response.

    :param on_written: called when it was written, or the connection broke.
    """

    __slots__ = ("_content", "_on_written")

    def __init__(
        self, content: bytes, on_written: t.Callable[[], object]
    ) -> None:
        self._content = content
        self._on_written = on_written

    def __iter__(self) -> t.Iterator[bytes]:
        yield self._content

    def __len__(self) -> int:
        return 1

    def close(self) -> None:
        """Note that the response was written."""
        self._on_written()


def reply(content: t.Any, code: codes.Result = codes.Result.OK) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(
        codes.DESCRIPTIONS[code].status,
        msgspec.json.encode(content),
        headers=(("Agaterudder-Code", str(code.value)),),
    )


def refusal(refused: codes.Refused) -> Reply:
    """Return the reply that carries a refusal."""
    description = codes.DESCRIPTIONS[refused.code]
    body = RefusalBody(
        refused.code.value,
        refused.code.name,
        refused.reason,
        refused.not_run,
        description.repeat,
    )
    return reply(body, refused.code)


class _Handler(pywsgi.WSGIHandler):
    """Refuses ambiguous request heads, which allow request smuggling."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        with utils.silent_timeout(KEEP_ALIVE_SECONDS):
            return t.cast(str, super().read_requestline())
        return ""

    def read_request(self, raw_requestline: str) -> t.Any:
        valid = False
        with utils.silent_timeout(READ_TIMEOUT_SECONDS):
            valid = bool(super().read_request(raw_requestline))
        if not valid:
            raise ValueError("request head not received in time")
        self._check_length()
        return True

    def _check_length(self) -> None:
        lengths = self.headers.get_all("content-length") or []
        encodings = self.headers.get_all("transfer-encoding") or []
        if len(lengths) > 1 or len(encodings) > 1:
            raise ValueError("duplicate Content-Length or Transfer-Encoding")
        if encodings and encodings[0].strip().lower() != "chunked":
            raise ValueError("unsupported Transfer-Encoding")
        if encodings and lengths:
            raise ValueError("both Content-Length and Transfer-Encoding given")


class _ErrorLog:
    """File-like object that writes the server's error lines to the log."""

    def write(self, line: str) -> None:
        """Log one line."""
        if line.strip():
            LOG.info("HTTP server error", extra={"line": line.strip()})

    def flush(self) -> None:
        """Do nothing; the log is not buffered."""


class Server:
    """Serves an application until it is stopped.

    :param answer: returns the reply to a request, given its WSGI environment
        and its complete body.
    """

    __slots__ = (
        "_server",
        "_answer",
        "_body_bytes",
        "_active_requests",
        "_open_requests",
        "_request_count",
        "closing",
    )

    def __init__(
        self,
        listen: str,
        answer: t.Callable[[Environ, bytes], Reply],
        body_bytes: int,
        connections: int,
    ) -> None:
        self._answer = answer
        self._body_bytes = body_bytes
        self._active_requests = 0
        self._open_requests: dict[int, OpenRequest] = {}
        self._request_count = 0
        self.closing = False
        self._server = pywsgi.WSGIServer(
            utils.split_address(listen),
            self._application,
            handler_class=_Handler,
            spawn=gevent.pool.Pool(connections),
            log=None,
            error_log=t.cast(t.Any, _ErrorLog()),
        )

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return self._active_requests

    @property
    def open_requests(self) -> list[OpenRequest]:
        """Requests whose answers have not been written, the oldest first."""
        return list(self._open_requests.values())

    @property
    def open_connections(self) -> int:
        """Number of open connections of clients."""
        return len(self._server.pool or ())

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=1)

    def _application(
        self, environ: Environ, start: StartResponse
    ) -> t.Iterable[bytes]:
        self._request_count += 1
        number = self._request_count
        opened = OpenRequest(
            environ["REQUEST_METHOD"],
            environ.get("PATH_INFO", ""),
            time.monotonic(),
        )
        self._open_requests[number] = opened
        self._active_requests += 1
        try:
            result = self._reply(environ)
            opened.answered = True
        finally:
            self._active_requests -= 1
            if not opened.answered:
                del self._open_requests[number]
        headers = [
            ("Content-Type", result.content_type),
            ("Content-Length", str(len(result.content))),
            *result.headers,
        ]
        if self.closing:
            headers.append(("Connection", "close"))
        start(f"{result.status} -", headers)
        return _Content(
            result.content, lambda: self._open_requests.pop(number, None)
        )

    def _reply(self, environ: Environ) -> Reply:
        body = self._read_body(environ)
        if isinstance(body, codes.Refused):
            refused = refusal(body)
            return dataclasses.replace(
                refused, headers=(*refused.headers, ("Connection", "close"))
            )
        try:
            return self._answer(environ, body)
        except Exception:
            LOG.exception("unhandled exception while answering a request")
            return refusal(
                codes.Refused(
                    codes.Result.OUTCOME_UNKNOWN, "a fault of the program"
                )
            )

    def _read_body(self, environ: Environ) -> bytes | codes.Refused:
        declared = int(environ.get("CONTENT_LENGTH") or 0)
        if declared > self._body_bytes:
            return codes.Refused(
                codes.Result.TOO_LARGE,
                f"the body may have {self._body_bytes} bytes",
            )
        body: bytes | None = None
        try:
            with utils.silent_timeout(READ_TIMEOUT_SECONDS):
                body = environ["wsgi.input"].read(self._body_bytes + 1)
        except (OSError, ValueError):
            return codes.Refused(codes.Result.MALFORMED, "the body was cut")
        if body is None:
            return codes.Refused(codes.Result.MALFORMED, "the body is late")
        if len(body) > self._body_bytes:
            return codes.Refused(
                codes.Result.TOO_LARGE,
                f"the body may have {self._body_bytes} bytes",
            )
        return body
