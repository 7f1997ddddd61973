"""Log lines: one line of key=value pairs for each event."""

import logging
import sys

import logfmter

SECRET_FIELDS = frozenset({"key", "secret", "hash", "salt", "authorization"})


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


def configure(level: str, vm: str) -> None:
    """Send every log record to standard error as one key=value line.

    :param level: name of the lowest level that is written.
    :param vm: identity of the entry VM, written on each line.
    """
    handler = logging.StreamHandler(sys.stderr)
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


def set_level(level: str) -> None:
    """Change the level of the running process.

    :raises ValueError: if the level has no such name.
    """
    logging.getLogger().setLevel(level.upper())
