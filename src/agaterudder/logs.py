"""Log lines: one line of key=value pairs for each event.

Lines go to standard output through a bounded queue and a task of their
own, so that a reader that stops reading never blocks the process. A kind
of line that comes too often is left out and counted; warnings are not.
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
# Lines of one kind (their message) in a second, below warnings.
LINES_PER_SECOND = 300
MOST_KINDS = 500
QUEUE_LINES = 5_000
# Kept for warnings when the queue is full of other lines.
RESERVED_LINES = 1_000
BLOCK_LINES = 100
FLUSH_SECONDS = 0.3


class _Completion(logging.Filter):
    """Adds the VM and replaces the values that could hold a secret."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def filter(self, record: logging.LogRecord) -> bool:
        record.vm = self._vm
        for field in SECRET_FIELDS.intersection(record.__dict__):
            setattr(record, field, "***")
        return True


class Rates(logging.Filter):
    """Leaves out lines of a kind that comes too often.

    :param clock: returns the present time in seconds.
    :ivar left_out: lines left out so far, by kind.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self.left_out: collections.Counter[str] = collections.Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is written."""
        if record.levelno >= logging.WARNING:
            return True
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = record.msg if len(self._counts) < MOST_KINDS else "other"
        self._counts[kind] += 1
        if self._counts[kind] <= LINES_PER_SECOND:
            return True
        self.left_out[kind] += 1
        return False


class QueueHandler(logging.Handler):
    """Writes lines to a descriptor from a task of its own.

    :param descriptor: made non-blocking.
    :ivar dropped: lines that found the queue full.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._some = gevent.event.Event()
        self.dropped = 0
        self._told = 0
        gevent.os.make_nonblocking(descriptor)
        self._writer = gevent.spawn(self._write_for_ever)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line; never waits."""
        most = QUEUE_LINES
        if record.levelno >= logging.WARNING:
            most += RESERVED_LINES
        if len(self._lines) >= most:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b"\n")
        self._some.set()

    def flush(self) -> None:
        """Wait a moment for the queue to become empty."""
        with utils.silent_timeout(FLUSH_SECONDS):
            while self._lines:
                gevent.sleep(0.01)

    def _write_for_ever(self) -> None:
        while True:
            self._some.wait()
            self._some.clear()
            while self._lines:
                count = min(len(self._lines), BLOCK_LINES)
                block = b"".join(self._lines.popleft() for _ in range(count))
                self._write(block + self._drops())

    def _drops(self) -> bytes:
        """Return a line that tells of dropped lines, once."""
        if self.dropped == self._told:
            return b""
        count, self._told = self.dropped - self._told, self.dropped
        return f'level=WARNING msg="lines dropped" count={count}\n'.encode()

    def _write(self, block: bytes) -> None:
        while block:
            try:
                written = gevent.os.nb_write(self._descriptor, block)
            except OSError:
                # Nobody reads any more; there is nowhere to tell it.
                return
            block = block[written:]


def configure(level: str, vm: str) -> Rates:
    """Send every log record to standard output as one key=value line.

    :param level: name of the lowest level that is written.
    :param vm: identity of the entry VM, written on each line.
    :returns: counts of the lines that are left out.
    """
    handler = QueueHandler()
    rates = Rates()
    handler.addFilter(rates)
    handler.addFilter(_Completion(vm))
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
    return rates


def flush() -> None:
    """Write what is queued, as far as that takes a moment only."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def set_level(level: str) -> None:
    """Change the level of the running process.

    :raises ValueError: if the level has no such name.
    """
    logging.getLogger().setLevel(level.upper())
