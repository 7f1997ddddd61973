"""Loads the jobs and cancellations that callers stored for a pool."""

import dataclasses
import typing as t

from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import loadreports
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import wallclock
from agaterudder.jobs import watcher

WATCH_WAIT_SECONDS = 2.0


class _JobRows:
    """Source of a pool's stored jobs; see :class:`watcher.Source`."""

    __slots__ = ("_store", "_table", "_pool")

    def __init__(self, store: ports.Store, pool: str) -> None:
        self._store = store
        self._pool = pool
        self._table = model.jobs_table(pool)

    def snapshot(self) -> tuple[tuple[ports.Row, ...], int]:
        """Return all rows, and their version."""
        scan = self._store.scan(self._table, self._pool)
        return scan.rows, scan.version

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[ports.Row, ...], int] | ports.HistoryLost:
        """Wait for changed rows."""
        found = self._store.changes(self._table, after, wait_seconds)
        if isinstance(found, ports.HistoryLost):
            return found
        return found.rows, found.version


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredJob:
    """A job with its stored progress.

    :ivar version: version of the job's row.
    :ivar progress_version: version of the progress row, 0 without one.
    """

    job: model.Job
    version: int
    progress: model.Progress
    progress_version: int


class Inbox:
    """Watches the stored jobs of a pool.

    :ivar recovered_version: version of the rows that were recovered from.
    """

    __slots__ = ("_context", "_reports", "_watcher", "recovered_version")

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._reports = loadreports.LoadReports(
            context.pool, context.lease.epoch
        )
        self.recovered_version = 0
        self._watcher = watcher.Watcher(
            f"jobs of {context.pool}",
            _JobRows(context.store, context.pool),
            self._reset,
            self._apply_changes,
            WATCH_WAIT_SECONDS,
        )

    def run(self) -> None:
        """Watch until killed."""
        self._watcher.run()

    def recover(self) -> None:
        """Load the stored jobs with their progress.

        :raises CallFailed: when the store did not answer.
        """
        now = clock.now()
        pool = self._context.pool
        store = self._context.store
        scan = store.scan(model.jobs_table(pool), pool)
        progress = {
            row.key: row for row in store.scan(model.PROGRESS_TABLE, pool).rows
        }
        self._load_rows(scan.rows, scan.clock, progress, True)
        self.recovered_version = scan.version
        self._watcher.resume_from(scan.version, now)
        self._context.state.create_due(wallclock.now(), now)

    def _reset(self, rows: tuple[ports.Row, ...]) -> None:
        """Load all rows after the history was lost."""
        self._apply_changes(rows)

    def _apply_changes(self, rows: tuple[ports.Row, ...]) -> None:
        present = tuple(row for row in rows if row.version)
        self._report_removed(row.key for row in rows if not row.version)
        self._load_rows(present, self._context.store_clock(), {}, False)
        self._context.plan_needed.set()

    def _report_removed(self, keys: t.Iterable[str]) -> None:
        """Report removed rows whose jobs have not ended here."""
        for key in keys:
            job = self._context.state.jobs.get(key)
            if job is not None and job.ending is None:
                self._reports.row_removed(job, self._context.holds_lease())

    def _load_rows(
        self,
        rows: tuple[ports.Row, ...],
        store_clock: float,
        progress: dict[str, ports.Row],
        recovering: bool,
    ) -> None:
        now = clock.now()
        found = [
            stored
            for row in rows
            if not row.key.endswith(model.CANCEL_SUFFIX)
            and (stored := self._decode(row, progress)) is not None
        ]
        # The limit of a team's rate of submissions follows their times.
        for stored in sorted(found, key=lambda item: item.job.accepted_at):
            self._load_job(stored, store_clock, recovering, now)
        for row in rows:
            if row.key.endswith(model.CANCEL_SUFFIX):
                self._load_cancellation(row, store_clock)
        self._reports.write()

    def _decode(
        self, row: ports.Row, progress: dict[str, ports.Row]
    ) -> _StoredJob | None:
        """Return a stored job, None when it can't be decoded."""
        try:
            job = model.decode(row.value, model.Job)
            stored = progress.get(row.key)
            known = (
                model.decode(stored.value, model.Progress)
                if stored is not None
                else model.Progress()
            )
        except exceptions.Undecodable as error:
            self._reports.row_skipped(row, error)
            return None
        version = stored.version if stored is not None else 0
        return _StoredJob(job, row.version, known, version)

    def _load_job(
        self,
        stored: _StoredJob,
        store_clock: float,
        recovering: bool,
        now: float,
    ) -> None:
        job = stored.job
        age = min(max(store_clock - job.accepted_at, 0.0), now)
        state = self._context.state
        loaded_before = job.job in state.jobs
        state.accept(
            job,
            stored.progress,
            stored.progress_version,
            now - age,
            recovering,
        )
        loaded = state.jobs.get(job.job)
        if loaded is not None and not loaded_before:
            self._reports.job_loaded(loaded, stored.version, now)

    def _load_cancellation(self, row: ports.Row, store_clock: float) -> None:
        name = row.key.removesuffix(model.CANCEL_SUFFIX)
        found = self._context.state.jobs.get(name)
        self._reports.cancellation_loaded(name, row.version, found)
        if found is not None:
            self._context.state.cancel(name, store_clock)
        else:
            table = model.jobs_table(self._context.pool)
            self._context.state.journal.remove(ports.Delete(table, row.key))
        self._context.write_needed.set()
