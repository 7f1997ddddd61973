"""Queue of jobs whose progress is to be stored, and their transactions.

Each row is written on condition of its last known version, so that a
transaction that takes effect late, after its retry, changes nothing.
"""

import dataclasses
import itertools

import msgspec

from agaterudder.jobs import jobruns
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import storedprogress

# The store accepts 100 entries in a transaction; a job needs at most 5.
MAX_JOBS_PER_BATCH = 18


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """One transaction.

    :ivar marks: its jobs, each with its oldest mark that is not stored.
    :ivar upto: all marks up to this one are stored once it commits.
    :ivar oversized: jobs whose progress exceeds a row, which is not written.
    """

    marks: dict[jobruns.JobRun, int]
    preconditions: tuple[ports.Precondition, ...]
    puts: tuple[ports.Put, ...]
    deletes: tuple[ports.Delete, ...]
    upto: int
    oversized: tuple[jobruns.JobRun, ...] = ()

    @property
    def jobs(self) -> tuple[jobruns.JobRun, ...]:
        """Jobs whose progress the transaction stores."""
        return tuple(self.marks)


class Journal:
    """Jobs whose progress is not stored yet, in order.

    Each change of a job's progress is a mark, numbered in sequence. A job
    keeps its oldest mark that is not stored.

    :param row_bytes: largest value of a row of the store.
    :ivar marked: number of the last mark.
    :ivar stored: all marks up to this one are stored.
    """

    __slots__ = ("marked", "stored", "_row_bytes", "_dirty", "_orphans")

    def __init__(self, row_bytes: int) -> None:
        self._row_bytes = row_bytes
        self.marked = 0
        self.stored = 0
        self._dirty: dict[jobruns.JobRun, int] = {}
        self._orphans: list[ports.Delete] = []

    def __len__(self) -> int:
        return len(self._dirty) + len(self._orphans)

    def mark(self, job: jobruns.JobRun) -> None:
        """Note that a job's progress changed."""
        if job.ending_stored:
            return
        self.marked += 1
        self._dirty.setdefault(job, self.marked)

    def remove(self, row: ports.Delete) -> None:
        """Queue the removal of a row whose job no longer exists."""
        self._orphans.append(row)

    def batch(
        self, pool: str, epoch: ports.Precondition, clock: float
    ) -> Batch:
        """Take the next jobs from the queue; return their transaction."""
        upto = self.marked
        jobs = dict(itertools.islice(self._dirty.items(), MAX_JOBS_PER_BATCH))
        for job in jobs:
            del self._dirty[job]
        if self._dirty:
            upto = min(self._dirty.values()) - 1
        orphans = tuple(self._orphans[:MAX_JOBS_PER_BATCH]) if not jobs else ()
        del self._orphans[: len(orphans)]
        preconditions = [epoch]
        puts: list[ports.Put] = []
        deletes: list[ports.Delete] = list(orphans)
        oversized = []
        for job in jobs:
            content = None
            if job.ending is None:
                content = storedprogress.encode(
                    job.job.job, job.progress, self._row_bytes
                )
                if content is None:
                    oversized.append(job)
                    continue
            _add_job(pool, job, content, clock, preconditions, puts, deletes)
        return Batch(
            jobs,
            tuple(preconditions),
            tuple(puts),
            tuple(deletes),
            upto,
            tuple(oversized),
        )

    def committed(self, batch: Batch, version: int) -> list[jobruns.JobRun]:
        """Mark a batch as stored; return the jobs that ended."""
        self.stored = max(self.stored, batch.upto)
        progressed = {
            put.key for put in batch.puts if put.table == model.PROGRESS_TABLE
        }
        for job in batch.jobs:
            if job.job.job in progressed:
                job.row_version = version
        ended = {
            put.key for put in batch.puts if put.table == model.ENDED_TABLE
        }
        ended_jobs = [job for job in batch.jobs if job.job.job in ended]
        for job in ended_jobs:
            # The job may have been marked again while its end was stored.
            job.ending_stored = True
            self._dirty.pop(job, None)
        return ended_jobs

    def conflicted(self, batch: Batch, rows: tuple[ports.Row, ...]) -> None:
        """Requeue a batch, with the present versions of its rows.

        :param rows: the existing rows among those with a condition.
        """
        versions = {
            row.key: row.version
            for row in rows
            if row.table == model.PROGRESS_TABLE
        }
        for job in batch.jobs:
            job.row_version = versions.get(job.job.job, 0)
        self.requeue(batch)

    def requeue(self, batch: Batch) -> None:
        """Put a batch back that may or may not be stored."""
        self._dirty = {**batch.marks, **self._dirty, **batch.marks}


def _add_job(
    pool: str,
    job: jobruns.JobRun,
    progress: bytes | None,
    clock: float,
    preconditions: list[ports.Precondition],
    puts: list[ports.Put],
    deletes: list[ports.Delete],
) -> None:
    key = job.job.job
    preconditions.append(
        ports.Precondition(model.PROGRESS_TABLE, key, job.row_version)
    )
    if progress is not None:
        puts.append(ports.Put(model.PROGRESS_TABLE, key, progress))
    if job.ending is None:
        return
    ending = msgspec.structs.replace(job.ending, ended_at=clock)
    puts.append(ports.Put(model.ENDED_TABLE, key, model.encode(ending)))
    table = model.jobs_table(pool)
    deletes.append(ports.Delete(table, key))
    if job.cancelled:
        deletes.append(ports.Delete(table, key + model.CANCEL_SUFFIX))
    if job.row_version:
        deletes.append(ports.Delete(model.PROGRESS_TABLE, key))
