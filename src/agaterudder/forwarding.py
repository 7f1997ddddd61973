"""Forwards requests to backend servers over pooled connections.

A connection carries one request at a time. It is closed instead of reused
when its answer was late, truncated or malformed. A request that may not be
repeated is sent only on a new connection or on one that has been idle for
at most :data:`NON_REPEATABLE_IDLE_SECONDS`, as an older one may be broken
unnoticed.
"""

import collections
import time

import gevent
import geventhttpclient.response

from agaterudder import codes
from agaterudder import httpconnection
from agaterudder import platform
from agaterudder import requests

CONNECT_TIMEOUT_SECONDS = 1.0
NON_REPEATABLE_IDLE_SECONDS = 0.5
MAX_IDLE_SECONDS = 20.0
NETWORK_TIMEOUT_SECONDS = 600.0


class Connection(httpconnection.HttpConnection):
    """One connection to a backend server, idle or in use.

    :ivar answered_at: when it last carried a complete answer.
    """

    __slots__ = ("answered_at", "closed")

    def __init__(self, server: platform.Vm) -> None:
        super().__init__(
            server.address, CONNECT_TIMEOUT_SECONDS, NETWORK_TIMEOUT_SECONDS
        )
        self.answered_at = 0.0
        self.closed = False

    def send(
        self, request: requests.Request
    ) -> geventhttpclient.response.HTTPSocketPoolResponse:
        """Send the request and read the status and headers of the answer."""
        headers = {
            **dict(request.headers),
            "Agaterudder-Request-Id": request.identifier,
            "Agaterudder-Team": request.team,
        }
        return self.request(
            request.method, request.path, request.body, headers
        )

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        super().close()


class Forwarder:
    """Forwards requests over a pool of idle connections by server."""

    __slots__ = ("_idle", "_body_bytes")

    def __init__(self, body_bytes: int) -> None:
        self._idle: dict[str, collections.deque[Connection]] = {}
        self._body_bytes = body_bytes

    def forward(
        self, server: platform.Vm, request: requests.Request, timeout: float
    ) -> requests.Answer | codes.Refused:
        """Send a request to a server and return its answer.

        :param timeout: seconds for sending and for the answer.
        """
        try:
            connection = self._acquire_connection(server, request.repeatable)
        except (OSError, gevent.Timeout):
            return codes.Refused(
                codes.Result.NO_SERVER, f"{server.vm} can't be reached"
            )
        try:
            with gevent.Timeout(timeout):
                answer = self._exchange(connection, request)
        except gevent.Timeout:
            connection.close()
            return codes.Refused(
                codes.Result.TIMED_OUT, f"{server.vm} did not answer in time"
            )
        except httpconnection.TRANSPORT_ERRORS as error:
            connection.close()
            return codes.Refused(
                codes.Result.OUTCOME_UNKNOWN,
                f"the connection to {server.vm} broke: {error}",
            )
        except BaseException:
            connection.close()
            raise
        if isinstance(answer, requests.Answer) and not connection.closed:
            connection.answered_at = time.monotonic()
            self._idle[server.vm].append(connection)
        else:
            connection.close()
        return answer

    def close_unlisted(self, servers: list[str]) -> None:
        """Close the idle connections to servers no longer listed."""
        for name in [name for name in self._idle if name not in servers]:
            for connection in self._idle.pop(name):
                connection.close()

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for idle in self._idle.values():
            while idle and now - idle[0].answered_at > MAX_IDLE_SECONDS:
                idle.popleft().close()

    def _acquire_connection(
        self, server: platform.Vm, repeatable: bool
    ) -> Connection:
        idle = self._idle.setdefault(server.vm, collections.deque())
        if idle:
            connection = idle.pop()
            idle_seconds = time.monotonic() - connection.answered_at
            if idle_seconds <= NON_REPEATABLE_IDLE_SECONDS:
                return connection
            if repeatable and idle_seconds <= MAX_IDLE_SECONDS:
                return connection
            connection.close()
        connection = Connection(server)
        with gevent.Timeout(CONNECT_TIMEOUT_SECONDS):
            connection.open()
        return connection

    def _exchange(
        self, connection: Connection, request: requests.Request
    ) -> requests.Answer | codes.Refused:
        response = connection.send(request)
        body = bytes(response.read(self._body_bytes + 1))
        if len(body) > self._body_bytes:
            return codes.Refused(
                codes.Result.SHORT_ANSWER, "the answer is too large"
            )
        declared = response.content_length
        truncated = declared is not None and declared != len(body)
        if request.method != "HEAD" and (
            truncated or not response.message_complete
        ):
            return codes.Refused(
                codes.Result.SHORT_ANSWER, "the answer was cut"
            )
        return self._interpret_response(connection, response, request, body)

    def _interpret_response(
        self,
        connection: Connection,
        response: geventhttpclient.response.HTTPSocketPoolResponse,
        request: requests.Request,
        body: bytes,
    ) -> requests.Answer | codes.Refused:
        refused = response.status_code == 503
        leaving = refused and response.get("x-leaving") is not None
        not_run = refused and response.get("x-not-run") is not None
        if response.should_close():
            connection.close()
        if leaving:
            return codes.Refused(codes.Result.LEAVING, "it is leaving")
        if not_run:
            return codes.Refused(codes.Result.SERVER_REFUSED, "it is full")
        headers = requests.end_to_end(response.headers)
        return requests.Answer(response.status_code, headers, body)
