"""msgpack streams between entry processes.

One greenlet reads a stream and another writes it from a bounded queue of
messages. When the queue is full, a further message is refused.
"""

import logging
import typing as t

import gevent
import gevent.queue
import gevent.socket
import msgpack
import msgspec

from agaterudder import exceptions
from agaterudder import messages
from agaterudder import utils

LOG = logging.getLogger(__name__)

READ_BUFFER_BYTES = 65_536
MAX_QUEUED_MESSAGES = 1_000
CONNECT_TIMEOUT_SECONDS = 2.0
SEND_TIMEOUT_SECONDS = 5.0

_END = object()


class Stream:
    """Typed messages over one TCP connection."""

    __slots__ = ("_socket", "_unpacker", "_outgoing", "_writer", "_closed")

    def __init__(self, sock: gevent.socket.socket, buffer_bytes: int) -> None:
        self._socket = sock
        self._socket.settimeout(None)
        self._unpacker = msgpack.Unpacker(max_buffer_size=buffer_bytes)
        self._outgoing: gevent.queue.Queue = gevent.queue.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._closed = False
        self._writer = gevent.spawn(self._write_loop)

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._closed

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False when the queue is full or closed."""
        if self._closed:
            return False
        try:
            self._outgoing.put_nowait(message)
        except gevent.queue.Full:
            return False
        return True

    def receive(self) -> t.Iterator[messages.Message]:
        """Yield each message until the stream ends.

        :raises StreamClosed: when the connection failed or the data is
            malformed.
        """
        while True:
            try:
                data = self._socket.recv(READ_BUFFER_BYTES)
            except OSError as error:
                raise exceptions.StreamClosed(str(error)) from error
            if not data:
                return
            yield from self._decode(data)

    def close(self) -> None:
        """Close the stream at once, without sending queued messages."""
        if self._closed:
            return
        self._closed = True
        try:
            self._outgoing.put_nowait(_END)
        except gevent.queue.Full:
            self._writer.kill(block=False)
        self._socket.close()

    def _decode(self, data: bytes) -> t.Iterator[messages.Message]:
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                yield msgspec.convert(item, messages.Message)
        except (
            ValueError,
            RecursionError,
            OverflowError,
            msgpack.UnpackException,
        ) as error:
            raise exceptions.StreamClosed(
                f"malformed message: {error}"
            ) from error

    def _write_loop(self) -> None:
        for message in iter(self._outgoing.get, _END):
            packed = msgspec.msgpack.encode(message)
            try:
                with gevent.Timeout(SEND_TIMEOUT_SECONDS):
                    self._socket.sendall(packed)
            except (OSError, gevent.Timeout):
                self._closed = True
                self._socket.close()
                return


def connect(address: str, buffer_bytes: int) -> Stream:
    """Open a stream to another entry process.

    :raises StreamClosed: when the process can't be reached.
    """
    try:
        sock = gevent.socket.create_connection(
            utils.split_address(address), timeout=CONNECT_TIMEOUT_SECONDS
        )
    except OSError as error:
        raise exceptions.StreamClosed(f"{address}: {error}") from error
    return Stream(sock, buffer_bytes)
