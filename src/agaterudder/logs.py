"""Logging: one line of key=value pairs for each event.

A greenlet writes the lines from a bounded queue to standard output, so
that a reader that stops reading never blocks the process. Lines of an
event above its rate limit are suppressed and counted, except warnings.
"""

import collections
import logging
import time
import typing as t

import gevent
import gevent.event
import gevent.os
import logfmter

from agaterudder import utils

SECRET_FIELDS = frozenset({"key", "secret", "hash", "salt", "authorization"})
STDOUT = 1
# Limit for lines of one event (message) below the level of warnings.
LINES_PER_SECOND = 300
MAX_TRACKED_EVENTS = 500
MAX_QUEUED_LINES = 5_000
# Extra capacity for warnings when the queue is full.
RESERVED_WARNING_LINES = 1_000
MAX_BLOCK_LINES = 100
FLUSH_TIMEOUT_SECONDS = 0.3


class _RecordContext(logging.Filter):
    """Adds the VM to records and masks values that may hold a secret."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def filter(self, record: logging.LogRecord) -> bool:
        record.vm = self._vm
        for field in SECRET_FIELDS.intersection(record.__dict__):
            setattr(record, field, "***")
        return True


class RateLimiter(logging.Filter):
    """Suppresses lines of an event above its rate limit.

    :param clock: returns the present time in seconds.
    :ivar suppressed: number of suppressed lines, by event.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._current_second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self.suppressed: collections.Counter[str] = collections.Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.levelno >= logging.WARNING:
            return True
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._counts.clear()
        event = (
            record.msg if len(self._counts) < MAX_TRACKED_EVENTS else "other"
        )
        self._counts[event] += 1
        if self._counts[event] <= LINES_PER_SECOND:
            return True
        self.suppressed[event] += 1
        return False


class QueueHandler(logging.Handler):
    """Writes lines to a file descriptor from a greenlet of its own.

    :param descriptor: file descriptor, which is made non-blocking.
    :ivar dropped: number of lines dropped because the queue was full.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._not_empty = gevent.event.Event()
        self.dropped = 0
        self._reported_drops = 0
        gevent.os.make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._write_loop)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record without blocking."""
        capacity = MAX_QUEUED_LINES
        if record.levelno >= logging.WARNING:
            capacity += RESERVED_WARNING_LINES
        if len(self._lines) >= capacity:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self._not_empty.set()

    def flush(self) -> None:
        """Wait for the queue to empty, up to a time-out."""
        with utils.silent_timeout(FLUSH_TIMEOUT_SECONDS):
            while self._lines:
                gevent.sleep(0.01)

    def _write_loop(self) -> None:
        while True:
            self._not_empty.wait()
            self._not_empty.clear()
            while self._lines:
                count = min(len(self._lines), MAX_BLOCK_LINES)
                block = b"".join(self._lines.popleft() for _ in range(count))
                self._write(block + self._drop_notice())

    def _drop_notice(self) -> bytes:
        """Return a line with the number of newly dropped lines, if any."""
        if self.dropped == self._reported_drops:
            return b""
        count, self._reported_drops = (
            self.dropped - self._reported_drops,
            self.dropped,
        )
        return f'level=WARNING msg="lines dropped" count={count}\n'.encode()

    def _write(self, block: bytes) -> None:
        while block:
            try:
                written = gevent.os.nb_write(self._descriptor, block)
            except OSError:
                # No reader is left, so the error can't be logged either.
                return
            block = block[written:]


def configure(level: str, vm: str) -> RateLimiter:
    """Send every log record to standard output as one key=value line.

    :param level: name of the lowest level that is written.
    :param vm: name of the entry VM, written on each line.
    :returns: the rate limiter, which counts the suppressed lines.
    """
    handler = QueueHandler()
    rate_limiter = RateLimiter()
    handler.addFilter(rate_limiter)
    handler.addFilter(_RecordContext(vm))
    handler.setFormatter(
        logfmter.Logfmter(
            keys=["time", "level", "vm"],
            mapping={
                "time": "asctime",
                "level": "levelname",
            },
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(level)
    return rate_limiter


def flush() -> None:
    """Wait for queued lines to be written, up to a time-out."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def set_level(level: str) -> None:
    """Change the level of the running process.

    :raises ValueError: if the level has no such name.
    """
    logging.getLogger().setLevel(level.upper())
