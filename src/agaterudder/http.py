"""HTTP server: checked heads, bounded bodies and answers with codes."""

import dataclasses
import logging
import socket
import typing as t

import gevent.pool
from gevent import pywsgi
import msgspec

from agaterudder import codes
from agaterudder import utils

LOG = logging.getLogger(__name__)

IDLE_SECONDS = 60.0
READ_SECONDS = 10.0

Environ = dict[str, t.Any]
Start = t.Callable[[str, list[tuple[str, str]]], t.Any]


class Body(msgspec.Struct, frozen=True):
    """JSON body of a refusal."""

    code: int
    name: str
    reason: str
    not_run: bool
    may_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What is sent to the caller."""

    status: int
    content: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


def reply(content: t.Any, code: codes.Result = codes.Result.OK) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(
        codes.DESCRIPTIONS[code].status,
        msgspec.json.encode(content),
        headers=(("Agaterudder-Code", str(code.value)),),
    )


def refusal(refused: codes.Refused) -> Reply:
    """Return the reply that carries a refusal."""
    row = codes.DESCRIPTIONS[refused.code]
    body = Body(
        refused.code.value,
        refused.code.name,
        refused.reason,
        refused.not_run,
        row.repeat,
    )
    return reply(body, refused.code)


class _Handler(pywsgi.WSGIHandler):
    """Refuses heads that two readers could understand differently."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        with utils.silent_timeout(IDLE_SECONDS):
            return t.cast(str, super().read_requestline())
        return ""

    def read_request(self, raw_requestline: str) -> t.Any:
        valid = False
        with utils.silent_timeout(READ_SECONDS):
            valid = bool(super().read_request(raw_requestline))
        if not valid:
            raise ValueError("the head took too long")
        self._check_length()
        return True

    def _check_length(self) -> None:
        lengths = self.headers.get_all("content-length") or []
        encodings = self.headers.get_all("transfer-encoding") or []
        if len(lengths) > 1 or len(encodings) > 1:
            raise ValueError("a length is given twice")
        if encodings and encodings[0].strip().lower() != "chunked":
            raise ValueError("unknown transfer encoding")
        if encodings and lengths:
            raise ValueError("two kinds of length")


class _ErrorLog:
    """Passes the server's error lines to the log."""

    def write(self, line: str) -> None:
        """Log one line."""
        if line.strip():
            LOG.info("http", extra={"line": line.strip()})

    def flush(self) -> None:
        """Do nothing; the log is not buffered."""


class Server:
    """Serves an application until it is stopped.

    :param answer: returns the reply to one request; it is given the
        environment and the whole body.
    """

    __slots__ = ("_server", "_answer", "_body_bytes", "_busy", "closing")

    def __init__(
        self,
        listen: str,
        answer: t.Callable[[Environ, bytes], Reply],
        body_bytes: int,
        connections: int,
    ) -> None:
        self._answer = answer
        self._body_bytes = body_bytes
        self._busy = 0
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
    def busy(self) -> int:
        """Number of requests under way."""
        return self._busy

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and the connections."""
        self._server.stop(timeout=1)

    def _application(
        self, environ: Environ, start: Start
    ) -> t.Iterable[bytes]:
        self._busy += 1
        try:
            result = self._reply(environ)
        finally:
            self._busy -= 1
        headers = [
            ("Content-Type", result.content_type),
            ("Content-Length", str(len(result.content))),
            *result.headers,
        ]
        if self.closing:
            headers.append(("Connection", "close"))
        start(f"{result.status} -", headers)
        return [result.content]

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
            LOG.exception("request failed")
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
            with utils.silent_timeout(READ_SECONDS):
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
