"""Log lines of the jobs and cancellations that a pool's holder loads.

Each job has a line of its own up to a limit; those above it share lines, so
that none is left out when a pool with many jobs is taken over.
"""

import logging
import typing as t

from agaterudder.jobs import jobruns
from agaterudder.jobs import linelimit
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)

# Limit of the lines of single jobs, for one pool.
LINES_PER_SECOND = 100
MAX_JOBS_PER_LINE = 20


class LoadReports:
    """Writes what is loaded for a pool to the log.

    :param pool: name of the pool.
    :param epoch: epoch of its holder.
    """

    __slots__ = ("_pool", "_epoch", "_limit", "_jobs")

    def __init__(self, pool: str, epoch: int) -> None:
        self._pool = pool
        self._epoch = epoch
        self._limit = linelimit.LineLimit(LINES_PER_SECOND)
        self._jobs: list[str] = []

    def job_loaded(
        self, job: jobruns.JobRun, version: int, now: float
    ) -> None:
        """Note a job that was loaded.

        :param version: version of its row.
        """
        if self._limit.take(now):
            LOG.info(
                "job loaded",
                extra={
                    "job": job.job.job,
                    "queue": job.job.queue,
                    **self._holder,
                    "version": version,
                    "progress": job.row_version,
                    "recovered": job.recovered,
                    "age": round(now - job.accepted_at, 3),
                },
            )
            return
        entry = f"{job.job.job}/{version}"
        self._jobs.append(
            f"{entry}:{job.row_version}" if job.row_version else entry
        )
        if len(self._jobs) >= MAX_JOBS_PER_LINE:
            self.write()

    def write(self) -> None:
        """Write the jobs that have no line yet."""
        if not self._jobs:
            return
        LOG.info(
            "jobs loaded", extra={**self._holder, "jobs": " ".join(self._jobs)}
        )
        self._jobs.clear()

    def cancellation_loaded(
        self, job: str, version: int, found: jobruns.JobRun | None
    ) -> None:
        """Report a cancellation that was loaded.

        :param version: version of its row.
        :param found: the job, None when it is not loaded.
        """
        if found is None:
            effect = "job is not loaded; removing the row"
        elif found.ending is not None:
            effect = f"job has ended: {found.ending.state}"
        else:
            effect = "cancelling"
        LOG.info(
            "job cancellation loaded",
            extra={
                "job": job,
                **self._holder,
                "version": version,
                "effect": effect,
            },
        )

    def row_skipped(self, row: ports.Row, error: Exception) -> None:
        """Report a row of a job that can't be decoded."""
        LOG.warning(
            "job row skipped: not decodable",
            extra={
                "job": row.key,
                **self._holder,
                "table": row.table,
                "row": row.key,
                "version": row.version,
                "why": error,
            },
        )

    def row_removed(self, job: jobruns.JobRun, lease_held: bool) -> None:
        """Report a row that was removed while its job has not ended here.

        :param lease_held: whether this process holds the pool's lease;
            without it, the next holder has ended the job.
        """
        LOG.info(
            "row of a loaded job removed",
            extra={
                "job": job.job.job,
                **self._holder,
                "progress": job.row_version,
                "lease_held": lease_held,
            },
        )

    @property
    def _holder(self) -> dict[str, t.Any]:
        return {"pool": self._pool, "epoch": self._epoch}
