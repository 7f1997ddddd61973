"""Client of the platform's table service and object store.

Each row stores the ids of the last operations that wrote it, so that when
the answer to a transaction is lost, reading a row tells whether it took
effect. Each written row is also compared by version, so that sending a
transaction again never applies it twice.
"""

import dataclasses
import logging
import time
import typing as t
import urllib.parse

import gevent
import geventhttpclient
import geventhttpclient.response
import msgspec

from agaterudder import codes
from agaterudder import exceptions
from agaterudder import utils

LOG = logging.getLogger(__name__)

MAX_OPERATIONS_PER_ROW = 8
TRANSACTION_ATTEMPTS = 3
BACKOFF_SECONDS = 0.1
MAX_CONNECTIONS = 8
UNAVAILABLE_SECONDS = 3.0
TRANSPORT_ERRORS = (
    OSError,
    ValueError,
    gevent.Timeout,
    geventhttpclient.response.HTTPParseError,
)

_Row = t.TypeVar("_Row", bound=msgspec.Struct)


class Envelope(msgspec.Struct):
    """What a row holds: a value and the last operations that wrote it."""

    value: msgspec.Raw
    operations: list[str]


class RawRow(msgspec.Struct):
    """One row as the table service returns it; version 0 means absent."""

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"null")


class RowList(msgspec.Struct):
    """Answer to a read of all rows with a prefix."""

    rows: list[RawRow]


class _Check(msgspec.Struct):
    key: str
    version: int


class _Put(msgspec.Struct):
    key: str
    value: Envelope


class _Body(msgspec.Struct):
    checks: list[_Check]
    puts: list[_Put]
    deletes: list[str]


class _Outcome(msgspec.Struct):
    versions: dict[str, int] = {}
    conflict: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Row(t.Generic[_Row]):
    """A decoded row.

    :ivar version: number of writes of the row, 0 when it is absent.
    :ivar value: its content, None when it is absent.
    :ivar operations: identifiers of the last operations that wrote it.
    """

    key: str
    version: int
    value: _Row | None
    operations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One row to write: ``value`` None deletes it.

    :ivar version: version that the row must have.
    :ivar operations: operations that wrote the row before.
    """

    key: str
    version: int
    value: msgspec.Struct | None
    operations: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    :ivar versions: new version of each written row.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction did not take effect: a row had another version.

    :ivar key: key of that row.
    """

    key: str


Outcome = Committed | Conflicted | codes.Refused


class Transport(t.Protocol):
    """Sends one request to the platform."""

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body.

        :raises StoreUnavailable: when no complete answer arrived.
        """


class HttpTransport:
    """Transport over HTTP with a bounded number of connections."""

    __slots__ = ("_address", "_client", "_timeout")

    def __init__(self, address: str, timeout: float) -> None:
        self._address = utils.split_address(address)
        self._timeout = timeout
        self._client = self._connect()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send one request; see :class:`Transport`."""
        try:
            with gevent.Timeout(self._timeout):
                response = self._client.request(
                    method, path, body=body, headers=headers or {}
                )
                content = bytes(response.read())
        except ConnectionRefusedError as error:
            raise exceptions.StoreUnavailable("refused", False) from error
        except TRANSPORT_ERRORS as error:
            self._client.close()
            self._client = self._connect()
            raise exceptions.StoreUnavailable(repr(error)) from error
        if response.status_code >= 500:
            raise exceptions.StoreUnavailable(f"status {response.status_code}")
        return response.status_code, content

    def _connect(self) -> geventhttpclient.HTTPClient:
        host, port = self._address
        return geventhttpclient.HTTPClient(
            host,
            port,
            concurrency=MAX_CONNECTIONS,
            connection_timeout=self._timeout,
            network_timeout=self._timeout,
        )


class Store:
    """Typed access to rows and objects."""

    __slots__ = ("_transport", "_backoff", "_unavailable_until")

    def __init__(
        self, transport: Transport, backoff_seconds: float = BACKOFF_SECONDS
    ) -> None:
        self._transport = transport
        self._backoff = backoff_seconds
        self._unavailable_until = 0.0

    def is_unavailable(self, now: float) -> bool:
        """Return whether the table service failed a moment ago.

        While it counts as unavailable, transactions are refused without
        being sent, so that callers learn at once and with certainty that
        nothing was recorded. Reads are still sent; the first that succeeds
        ends this state.
        """
        return now < self._unavailable_until

    def read(self, key: str, kind: type[_Row]) -> Row[_Row]:
        """Read one row.

        :raises StoreUnavailable: when no answer arrived.
        """
        path = "/table/row/" + urllib.parse.quote(key, safe="")
        content = self._get(path)
        return _decode(msgspec.json.decode(content, type=RawRow), kind)

    def scan(self, prefix: str, kind: type[_Row]) -> list[Row[_Row]]:
        """Read every row whose key begins with ``prefix``.

        :raises StoreUnavailable: when no answer arrived.
        """
        path = "/table/rows?prefix=" + urllib.parse.quote(prefix, safe="")
        content = self._get(path)
        rows = msgspec.json.decode(content, type=RowList).rows
        return [_decode(row, kind) for row in rows]

    def transact(self, writes: t.Sequence[Write]) -> Outcome:
        """Write rows atomically, at most once, if their versions match.

        Returns a refusal with ``STORE_AWAY`` only when no attempt can have
        reached the table service, and with ``CHANGE_UNKNOWN`` when one may
        still take effect.
        """
        if self.is_unavailable(time.monotonic()):
            return codes.Refused(
                codes.Result.STORE_AWAY, "the table service is away"
            )
        operation = utils.new_identifier()
        body = msgspec.json.encode(_body(writes, operation))
        maybe_applied = False
        for attempt in range(TRANSACTION_ATTEMPTS):
            try:
                outcome = self._send(body)
            except exceptions.StoreUnavailable as error:
                maybe_applied |= error.may_take_effect
                gevent.sleep(self._backoff * 2**attempt)
                continue
            if outcome.conflict is None:
                return Committed(outcome.versions)
            if not maybe_applied:
                return Conflicted(outcome.conflict)
            return self._find_operation(writes, operation, outcome.conflict)
        self._unavailable_until = time.monotonic() + UNAVAILABLE_SECONDS
        if maybe_applied:
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN, "the table service did not answer"
            )
        return codes.Refused(
            codes.Result.STORE_AWAY, "the table service is away"
        )

    def put_object(self, name: str, content: bytes) -> codes.Refused | None:
        """Store an immutable object under a name that was never used."""
        try:
            self._transport.call(
                "PUT", "/objects/" + urllib.parse.quote(name, safe=""), content
            )
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))
        return None

    def get_object(self, name: str) -> bytes | None:
        """Return an object's content, or None when it does not exist.

        :raises StoreUnavailable: when no answer arrived.
        """
        path = "/objects/" + urllib.parse.quote(name, safe="")
        status, content = self._transport.call("GET", path)
        return content if status == 200 else None

    def _get(self, path: str) -> bytes:
        try:
            _, content = self._transport.call("GET", path)
        except exceptions.StoreUnavailable:
            self._unavailable_until = time.monotonic() + UNAVAILABLE_SECONDS
            raise
        self._unavailable_until = 0.0
        return content

    def _send(self, body: bytes) -> _Outcome:
        _, content = self._transport.call("POST", "/table/transact", body)
        return msgspec.json.decode(content, type=_Outcome)

    def _find_operation(
        self, writes: t.Sequence[Write], operation: str, conflict: str
    ) -> Outcome:
        """Return whether an earlier attempt caused the conflict."""
        first = writes[0]
        try:
            row = self.read(first.key, msgspec.Struct)
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.CHANGE_UNKNOWN, str(error))
        if operation in row.operations or (
            first.value is None and row.version == 0
        ):
            return Committed({w.key: w.version + 1 for w in writes})
        if row.version - first.version > MAX_OPERATIONS_PER_ROW:
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN, f"{first.key} was overwritten"
            )
        return Conflicted(conflict)


def _body(writes: t.Sequence[Write], operation: str) -> _Body:
    return _Body(
        checks=[_Check(w.key, w.version) for w in writes],
        puts=[
            _Put(
                w.key,
                Envelope(
                    msgspec.Raw(msgspec.json.encode(w.value)),
                    [*w.operations, operation][-MAX_OPERATIONS_PER_ROW:],
                ),
            )
            for w in writes
            if w.value is not None
        ],
        deletes=[w.key for w in writes if w.value is None],
    )


def _decode(row: RawRow, kind: type[_Row]) -> Row[_Row]:
    if row.version == 0:
        return Row(row.key, 0, None)
    envelope = msgspec.json.decode(row.value, type=Envelope)
    value = (
        None
        if kind is msgspec.Struct
        else msgspec.json.decode(envelope.value, type=kind)
    )
    return Row(row.key, row.version, value, tuple(envelope.operations))


def replace(row: Row[_Row], value: _Row | None) -> Write:
    """Return the write that replaces the row as it was read."""
    return Write(row.key, row.version, value, row.operations)
