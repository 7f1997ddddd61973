"""In-memory store whose answers can be lost, late or refused."""

import typing as t

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import ports

REFUSED = codes.Refused(codes.Result.STORE_AWAY, "status 503")
UNKNOWN = codes.Refused(codes.Result.CHANGE_UNKNOWN, "time-out")


class MemoryStore:
    """Implements :class:`ports.Store`.

    :ivar faults: what happens to the next transactions, in order:
        ``"ok"``, ``"refused"`` (nothing done), ``"lost"`` (done, no answer)
        or ``"late"`` (no answer, done when :meth:`deliver_late` is called).
    :ivar away: whether reads fail.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.clock = 1_000.0
        self.faults: list[str] = []
        self.away = False
        self._late: list[tuple[t.Any, ...]] = []

    def transact(
        self,
        partition: str,
        preconditions: t.Sequence[ports.Precondition],
        puts: t.Sequence[ports.Put],
        deletes: t.Sequence[ports.Delete] = (),
        timeout: float | None = None,
    ) -> ports.Outcome:
        """Write rows atomically, subject to the next fault."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "refused":
            return REFUSED
        if fault == "late":
            self._late.append((partition, preconditions, puts, deletes))
            return UNKNOWN
        outcome = self._apply(partition, preconditions, puts, deletes)
        return UNKNOWN if fault == "lost" else outcome

    def deliver_late(self) -> list[ports.Outcome]:
        """Apply the late transactions; return their outcomes."""
        late, self._late = self._late, []
        return [self._apply(*arguments) for arguments in late]

    def _apply(
        self,
        partition: str,
        preconditions: t.Sequence[ports.Precondition],
        puts: t.Sequence[ports.Put],
        deletes: t.Sequence[ports.Delete],
    ) -> ports.Outcome:
        known = {
            precondition: self.rows.get(
                (precondition.table, partition, precondition.key), (b"", 0)
            )
            for precondition in preconditions
        }
        if any(
            found[1] != precondition.version
            for precondition, found in known.items()
        ):
            return ports.Conflicted(
                tuple(
                    ports.Row(
                        precondition.table, precondition.key, *found, partition
                    )
                    for precondition, found in known.items()
                    if found[1]
                )
            )
        self.version += 1
        for put in puts:
            key = (put.table, partition, put.key)
            self.rows[key] = (put.value, self.version)
        for delete in deletes:
            self.rows.pop((delete.table, partition, delete.key), None)
        return ports.Committed(self.version, self.clock)

    def read(
        self,
        table: str,
        partition: str,
        key: str,
        timeout: float | None = None,
    ) -> ports.Row | None:
        """Return a row, None when it does not exist."""
        self._check_away()
        found = self.rows.get((table, partition, key))
        return ports.Row(table, key, *found, partition) if found else None

    def scan(self, table: str, partition: str) -> ports.Scan:
        """Return all rows of a partition of a table."""
        self._check_away()
        rows = tuple(
            ports.Row(table, key[2], *found, partition)
            for key, found in sorted(self.rows.items())
            if key[:2] == (table, partition)
        )
        return ports.Scan(rows, self.version, self.clock)

    def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> ports.Changes | ports.HistoryLost:
        """Report a lost history; no test watches this store."""
        return ports.HistoryLost()

    def _check_away(self) -> None:
        if self.away:
            raise exceptions.CallFailed("time-out", True)
