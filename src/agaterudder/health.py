"""Outlier ejection: takes servers out of use that fail more than their peers.

A server is ejected when its error rate is far above the median of its peers,
and probed after an exponentially growing delay. The ejected fraction is
capped: when many servers fail together, the servers are not the cause.
"""

import collections
import dataclasses
import math
import typing as t

RESULT_WINDOW = 20
MIN_RESULTS = 5
EXCESS_ERROR_RATE = 0.4
MAX_EJECTED_FRACTION = 0.34
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """The server gets no work before ``until``, and is then probed."""

    server: str
    until: float
    reason: str


class _Record:
    """Results of one server."""

    __slots__ = ("results", "ejected_until", "ejections", "probing")

    def __init__(self) -> None:
        self.results: collections.deque[bool] = collections.deque(
            maxlen=RESULT_WINDOW
        )
        self.ejected_until = 0.0
        self.ejections = 0
        self.probing = False

    @property
    def error_rate(self) -> float:
        """Fraction of the last results that were errors."""
        if not self.results:
            return 0.0
        return self.results.count(False) / len(self.results)


class Health:
    """Results of a group of equivalent servers."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def retain(self, servers: t.Iterable[str]) -> None:
        """Drop the records of servers that are no longer listed."""
        listed = set(servers)
        self._records = {
            name: self._records.get(name) or _Record() for name in listed
        }

    def usable(self, server: str, now: float) -> bool:
        """Return whether a server may be chosen.

        After its ejection, a server gets one probe at a time.
        """
        record = self._records.get(server)
        if record is None or record.ejected_until == 0.0:
            return True
        return now >= record.ejected_until and not record.probing

    def record_chosen(self, server: str, now: float) -> None:
        """Record that a server was chosen, as its probe if ejected."""
        record = self._records.get(server)
        if record is not None and record.ejected_until:
            record.probing = True

    def end_probe(self, server: str) -> None:
        """End a probe whose outcome says nothing about the server."""
        record = self._records.get(server)
        if record is not None:
            record.probing = False

    def record_result(
        self, server: str, succeeded: bool, now: float
    ) -> Ejected | None:
        """Record a result; return the ejection that it causes, if any."""
        record = self._records.setdefault(server, _Record())
        if record.ejected_until:
            return self._record_probe(server, record, succeeded, now)
        record.results.append(succeeded)
        if succeeded or not self._is_outlier(server, record):
            return None
        if not self._may_eject(now):
            return None
        return self._eject(server, record, now)

    def ejected(self) -> list[str]:
        """Return the servers under ejection, sorted."""
        return sorted(
            name
            for name, record in self._records.items()
            if record.ejected_until
        )

    def _record_probe(
        self, server: str, record: _Record, succeeded: bool, now: float
    ) -> Ejected | None:
        if not record.probing:
            return None
        record.probing = False
        if not succeeded:
            return self._eject(server, record, now)
        record.ejected_until = 0.0
        record.ejections = 0
        record.results.clear()
        return None

    def _is_outlier(self, server: str, record: _Record) -> bool:
        if len(record.results) < MIN_RESULTS:
            return False
        others = [
            other.error_rate
            for name, other in self._records.items()
            if name != server and other.results and not other.ejected_until
        ]
        median = sorted(others)[len(others) // 2] if others else 0.0
        return record.error_rate - median > EXCESS_ERROR_RATE

    def _may_eject(self, now: float) -> bool:
        ejected = len(self.ejected())
        max_ejected = math.ceil(len(self._records) * MAX_EJECTED_FRACTION)
        return ejected + 1 <= min(max_ejected, len(self._records) - 1)

    def _eject(self, server: str, record: _Record, now: float) -> Ejected:
        seconds = min(
            BASE_EJECTION_SECONDS * 2**record.ejections,
            MAX_EJECTION_SECONDS,
        )
        reason = f"error rate {record.error_rate:.2f} above its peers"
        record.ejected_until = now + seconds
        record.ejections += 1
        record.probing = False
        record.results.clear()
        return Ejected(server, record.ejected_until, reason)
