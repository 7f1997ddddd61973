"""Stand-in for a backend server with slots, connections and faults.

``POST /faults`` sets the active fault; ``GET /counts`` returns counters,
among them the executions of each request.
"""

import argparse
import collections
import json
import socket
import time
import typing as t

import gevent
from gevent import pywsgi

Environ = dict[str, t.Any]


class _Handler(pywsgi.WSGIHandler):
    """Request handler that can break its connection during a call."""

    @property
    def backend(self) -> "Backend":
        """State of the stand-in."""
        return t.cast(t.Any, self.server).backend  # type: ignore

    def break_connection(self) -> None:
        """Shut the connection down while its request is in progress."""
        self.close_connection = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def get_environ(self) -> Environ:
        environ = super().get_environ()
        environ["handler"] = self
        environ["opened_at"] = self.backend.connection_opened_at(self.socket)
        return environ

    def handle(self) -> None:
        backend = self.backend
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        backend.connections += 1
        backend.max_connections = max(
            backend.max_connections, backend.connections
        )
        backend.opened_at[id(self.socket)] = time.monotonic()
        try:
            super().handle()
        finally:
            backend.connections -= 1


class Backend:
    """State of the stand-in and its WSGI application.

    :ivar slots: requests that it executes at once; it rejects more.
    :ivar opened_at: monotonic time at which each connection was opened.
    :ivar executed: number of executions of each request, by its identifier.
    :ivar rejected_full: number of requests rejected as every slot was busy.
    :ivar rejected_draining: number of requests rejected while draining.
    :ivar draining: whether it rejects requests because it shuts down.
    """

    def __init__(self, slots: int, work_seconds: float) -> None:
        self.slots = slots
        self.work_seconds = work_seconds
        self.busy = 0
        self.max_busy = 0
        self.connections = 0
        self.max_connections = 0
        self.opened_at: dict[int, float] = {}
        self.executed: collections.Counter[str] = collections.Counter()
        self.rejected_full = 0
        self.rejected_draining = 0
        self.draining = False
        self.fault = ""
        self.fault_at = 0.0

    def connection_opened_at(self, sock: t.Any) -> float:
        """Return the monotonic time at which a connection was opened."""
        return self.opened_at.get(id(sock), 0.0)

    def application(
        self, environ: Environ, start_response: t.Callable[..., t.Any]
    ) -> t.Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/faults":
            return self._set_fault(json.loads(body), start_response)
        if path == "/counts":
            return _answer(
                start_response, 200, json.dumps(self._counts()).encode()
            )
        if self.fault == "silent" and environ["opened_at"] < self.fault_at:
            gevent.sleep(3600)
        if self.draining:
            self.rejected_draining += 1
            start_response(
                "503 -", [("Connection", "close"), ("X-Leaving", "1")]
            )
            return [b"leaving"]
        if self.busy >= self.slots:
            self.rejected_full += 1
            start_response(
                "503 -", [("X-Not-Run", "1"), ("Content-Length", "0")]
            )
            return [b""]
        return self._execute(environ, body, start_response)

    def _execute(
        self,
        environ: Environ,
        body: bytes,
        start_response: t.Callable[..., t.Any],
    ) -> t.Iterable[bytes]:
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        request_id = environ.get("HTTP_AGATERUDDER_REQUEST_ID", "")
        self.executed[request_id] += 1
        try:
            seconds = float(environ.get("HTTP_X_WORK_SECONDS", "-1"))
            gevent.sleep(seconds if seconds >= 0 else self.work_seconds)
            return self._finish(environ, request_id, body, start_response)
        finally:
            self.busy -= 1

    def _finish(
        self,
        environ: Environ,
        request_id: str,
        body: bytes,
        start_response: t.Callable[..., t.Any],
    ) -> t.Iterable[bytes]:
        content = json.dumps(
            {"id": request_id, "size": len(body), "pad": "x" * 200}
        ).encode()
        match self.fault:
            case "killed":
                environ["handler"].break_connection()
                return [b""]
            case "short":
                start_response(
                    "200 -", [("Content-Length", str(len(content)))]
                )
                environ["handler"].close_connection = True
                return [content[: len(content) // 2]]
            case "late":
                gevent.sleep(2.0)
            case "failing":
                return _answer(start_response, 500, b"failed")
        return _answer(start_response, 200, content)

    def _set_fault(
        self, body: dict[str, t.Any], start_response: t.Callable[..., t.Any]
    ) -> list[bytes]:
        self.fault = body.get("fault", "")
        self.fault_at = time.monotonic()
        self.draining = body.get("leaving", False)
        return _answer(start_response, 200, b"")

    def _counts(self) -> dict[str, t.Any]:
        return {
            "executed": dict(self.executed),
            "refused": self.rejected_full,
            "most_busy": self.max_busy,
            "most_connections": self.max_connections,
        }


def _answer(
    start_response: t.Callable[..., t.Any], status: int, body: bytes
) -> list[bytes]:
    start_response(f"{status} -", [("Content-Length", str(len(body)))])
    return [body]


def create_server(listen: str, backend: Backend) -> pywsgi.WSGIServer:
    """Return a server for the stand-in, not yet started."""
    server = pywsgi.WSGIServer(
        listen,
        backend.application,
        handler_class=_Handler,
        log=None,
        error_log=None,
    )
    setattr(server, "backend", backend)
    return server


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-seconds", type=float, default=0.01)
    arguments = parser.parse_args()
    backend = Backend(arguments.slots, arguments.work_seconds)
    create_server(arguments.listen, backend).serve_forever()


if __name__ == "__main__":
    main()
