"""Follows a part of the store: reads it whole, then its changes."""

import logging
import typing as t

import gevent

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

RETRY_SECONDS = 0.1

_Change = t.TypeVar("_Change")
_Change_co = t.TypeVar("_Change_co", covariant=True)


class Source(t.Protocol[_Change_co]):
    """What is followed; see :class:`ports.Operators`."""

    def whole(self) -> tuple[tuple[_Change_co, ...], int]:
        """Return all that is there, and its version."""

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[_Change_co, ...], int] | ports.HistoryLost:
        """Wait for changes after a version."""


class Follower(t.Generic[_Change]):
    """Keeps a view of a source up to date.

    :param name: for log lines.
    :param whole: takes all that is there.
    :param changed: takes changes, in order.
    :param wait_seconds: longest wait for a change in one call.
    :param pause_seconds: returns how long to gather changes after a call.
    :ivar confirmed_at: when the last sound answer was asked for, by
        :func:`clock.now`; 0 before the first.
    """

    __slots__ = (
        "_name",
        "_source",
        "_whole",
        "_changed",
        "_wait",
        "_pause",
        "_version",
        "_away",
        "confirmed_at",
    )

    def __init__(
        self,
        name: str,
        source: Source[_Change],
        whole: t.Callable[[tuple[_Change, ...]], None],
        changed: t.Callable[[tuple[_Change, ...]], None],
        wait_seconds: float,
        pause_seconds: t.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._name = name
        self._source = source
        self._whole = whole
        self._changed = changed
        self._wait = wait_seconds
        self._pause = pause_seconds
        self._version: int | None = None
        self._away = False
        self.confirmed_at = 0.0

    def start_from(self, version: int, confirmed_at: float) -> None:
        """Follow from a reading that was made elsewhere."""
        self._version = version
        self.confirmed_at = confirmed_at

    def run(self) -> None:
        """Follow for ever."""
        while True:
            asked_at = clock.now()
            try:
                self._step()
            except exceptions.CallFailed as error:
                self._note_away(str(error))
                gevent.sleep(RETRY_SECONDS)
                continue
            self.confirmed_at = asked_at
            if self._away:
                self._away = False
                LOG.info("following again", extra={"source": self._name})
            gevent.sleep(self._pause())

    def _step(self) -> None:
        if self._version is None:
            rows, version = self._source.whole()
            self._whole(rows)
            self._version = version
            return
        found = self._source.changes(self._version, self._wait)
        if isinstance(found, ports.HistoryLost):
            LOG.info("history lost", extra={"source": self._name})
            rows, version = self._source.whole()
            self._whole(rows)
            self._version = version
            return
        rows, version = found
        if rows:
            self._changed(rows)
        self._version = max(version, self._version)

    def _note_away(self, reason: str) -> None:
        if not self._away:
            self._away = True
            LOG.warning(
                "source away", extra={"source": self._name, "why": reason}
            )
