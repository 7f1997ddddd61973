"""Log lines of the starts that planning orders.

Each start has a line of its own up to a limit; those above it share lines,
so that none is left out when many tasks start within a second.
"""

import logging
import typing as t

from agaterudder.jobs import linelimit
from agaterudder.jobs import runs

LOG = logging.getLogger(__name__)

# Limit of the lines of single starts, for one pool.
LINES_PER_SECOND = 100
MAX_STARTS_PER_LINE = 20


class Placements:
    """Writes the starts of a pool to the log.

    :param pool: name of the pool.
    """

    __slots__ = ("_pool", "_limit", "_starts")

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._limit = linelimit.LineLimit(LINES_PER_SECOND)
        self._starts: list[str] = []

    def add(self, run: runs.Run, kind: str, before: int, now: float) -> None:
        """Note a start that is about to be ordered.

        :param kind: first, restart or copy.
        :param before: highest run number of its task known before, 0
            without one.
        """
        if self._limit.take(now):
            self._write_line(run, kind, before, now)
            return
        entry = f"{run.task_name}/{run.number}@{run.worker.name}:{kind}"
        self._starts.append(f"{entry}:{before}" if before else entry)
        if len(self._starts) >= MAX_STARTS_PER_LINE:
            self.write()

    def write(self) -> None:
        """Write the starts that have no line yet."""
        if not self._starts:
            return
        LOG.info(
            "tasks placed",
            extra={"pool": self._pool, "starts": " ".join(self._starts)},
        )
        self._starts.clear()

    @staticmethod
    def _write_line(run: runs.Run, kind: str, before: int, now: float) -> None:
        assert run.task is not None
        step = run.task.step
        worker = run.worker
        extra: dict[str, t.Any] = {
            "task": run.task_name,
            "run": run.number,
            "worker": worker.name,
            "free": round(worker.free.cores, 2),
            "team": step.job.job.team,
            "heard": round(now - worker.polled_at, 3),
            "kind": kind,
            "ready": round(now - step.ready_at, 3),
        }
        if before:
            extra["before"] = before
        if step.job.recovered:
            extra["recovered"] = True
        LOG.info("task placed", extra=extra)
