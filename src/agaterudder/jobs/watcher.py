"""Watches part of the store: reads a snapshot, then the changes."""

import logging
import typing as t

import gevent
import gevent.event

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

RETRY_SECONDS = 0.1
# Longest pause between attempts to apply what a source says.
MAX_FAULT_PAUSE_SECONDS = 5.0
MAX_DOUBLINGS = 10

_Change = t.TypeVar("_Change")
_Change_co = t.TypeVar("_Change_co", covariant=True)


class Source(t.Protocol[_Change_co]):
    """What can be watched; see :class:`ports.Operators`."""

    def snapshot(self) -> tuple[tuple[_Change_co, ...], int]:
        """Return a snapshot and its version."""

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[_Change_co, ...], int] | ports.HistoryLost:
        """Wait for changes after a version."""


class Watcher(t.Generic[_Change]):
    """Passes on the snapshot of a source, then its changes.

    :param name: name of the source in log lines.
    :param on_snapshot: called with each snapshot.
    :param on_changes: called with changes, in order.
    :param wait_seconds: longest wait for a change in one call.
    :param batch_seconds: how long to gather changes after a call.
    :ivar confirmed_at: when the last successful call was sent, by
        :func:`clock.now`; 0 before the first.
    """

    __slots__ = (
        "_name",
        "_source",
        "_on_snapshot",
        "_on_changes",
        "_wait_seconds",
        "_batch_seconds",
        "_version",
        "_snapshot_needed",
        "_unavailable",
        "_faults",
        "_resumed",
        "confirmed_at",
    )

    def __init__(
        self,
        name: str,
        source: Source[_Change],
        on_snapshot: t.Callable[[tuple[_Change, ...]], None],
        on_changes: t.Callable[[tuple[_Change, ...]], None],
        wait_seconds: float,
        batch_seconds: float = 0.0,
    ) -> None:
        self._name = name
        self._source = source
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._wait_seconds = wait_seconds
        self._batch_seconds = batch_seconds
        self._version: int | None = None
        self._snapshot_needed = False
        self._unavailable = False
        self._faults = 0
        self._resumed = gevent.event.Event()
        self._resumed.set()
        self.confirmed_at = 0.0

    @property
    def faults(self) -> int:
        """Number of times that changes were not applied, of late.

        Changes that are applied reset it, a snapshot does not.
        """
        return self._faults

    def resume_from(self, version: int, confirmed_at: float) -> None:
        """Watch from the version of a snapshot that was read elsewhere."""
        self._version = version
        self.confirmed_at = confirmed_at

    def pause(self) -> None:
        """Read no more changes, after the call that is under way."""
        self._resumed.clear()

    def resume(self) -> None:
        """Read changes again, at first those since the pause."""
        self._resumed.set()

    def run(self) -> None:
        """Watch until killed."""
        while True:
            self._resumed.wait()
            succeeded = self._poll_once()
            pause = self._batch_seconds
            if not succeeded or self._faults:
                pause = max(retry_pause(self._faults), pause)
            gevent.sleep(pause)

    def _poll_once(self) -> bool:
        """Read and pass on what has changed; return whether it succeeded."""
        asked_at = clock.now()
        recovering = self._snapshot_needed
        try:
            self._poll()
        except exceptions.CallFailed as error:
            self._mark_unavailable(str(error))
            return False
        except Exception:
            # Changes may have been applied in part. Whoever watches would
            # learn of none any more if the watch ended here.
            if not self._faults:
                LOG.exception(
                    "changes not applied; reading new snapshots",
                    extra={"source": self._name},
                )
            self._faults += 1
            self._snapshot_needed = True
            return False
        self.confirmed_at = asked_at
        # The next changes may fail again after a new snapshot.
        resumed = self._faults and not recovering
        if self._unavailable or resumed:
            LOG.info(
                "watch resumed",
                extra={"source": self._name, "faults": self._faults},
            )
            self._unavailable = False
        if resumed:
            self._faults = 0
        return True

    def _poll(self) -> None:
        if self._version is None or self._snapshot_needed:
            self._read_snapshot()
            return
        # A call that waits and gets no answer would hide for as long that the
        # source is back.
        wait_seconds = 0.0 if self._unavailable else self._wait_seconds
        found = self._source.changes(self._version, wait_seconds)
        if isinstance(found, ports.HistoryLost):
            LOG.info(
                "watch history lost; reading a new snapshot",
                extra={"source": self._name},
            )
            self._snapshot_needed = True
            self._read_snapshot()
            return
        rows, version = found
        if rows:
            self._on_changes(rows)
        self._version = max(version, self._version)

    def _read_snapshot(self) -> None:
        """Pass on a snapshot, unless it is older than what is known.

        :raises CallFailed: when it is, or the source did not answer.
        """
        rows, version = self._source.snapshot()
        known = self._version or 0
        if version < known:
            raise exceptions.CallFailed(
                f"the snapshot is of version {version}, {known} is known",
                False,
            )
        self._on_snapshot(rows)
        self._version = version
        self._snapshot_needed = False

    def _mark_unavailable(self, reason: str) -> None:
        if not self._unavailable:
            self._unavailable = True
            LOG.warning(
                "watch failed; retrying",
                extra={"source": self._name, "why": reason},
            )


def retry_pause(faults: int) -> float:
    """Return the seconds before the next attempt of a failed watch.

    :param faults: how often changes were not applied, of late; the pause
        doubles with each. Without one, the source was away.
    """
    doublings = min(faults, MAX_DOUBLINGS)
    pause: float = RETRY_SECONDS * 2**doublings
    return min(pause, MAX_FAULT_PAUSE_SECONDS)
