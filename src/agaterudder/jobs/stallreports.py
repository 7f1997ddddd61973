"""Log lines and metrics of the stalled tasks of a pool."""

import logging

from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import stalls

LOG = logging.getLogger(__name__)

# A task has a line when it is found, and again after this time.
REPEAT_SECONDS = 5.0
# Limit of the lines of single tasks in one report, for one pool.
MAX_LINES = 20


class StallReports:
    """Reports stalled tasks; called about once a second."""

    __slots__ = ("_reported_at", "_forgotten_at")

    def __init__(self) -> None:
        self._reported_at: dict[str, float] = {}
        self._forgotten_at = -REPEAT_SECONDS

    def report(self, state: pools.Pool, lease_held: bool, now: float) -> None:
        """Report the tasks that are stalled now."""
        found = stalls.find(state, now)
        oldest = now - found[0].since if found else 0.0
        state.metrics.gauge("pool_stalled_tasks", len(found), pool=state.name)
        state.metrics.gauge(
            "pool_oldest_stalled_seconds", round(oldest, 3), pool=state.name
        )
        present = {stall.task.name for stall in found}
        self._reported_at = {
            name: at
            for name, at in self._reported_at.items()
            if name in present
        }
        self._report_forgotten(state, now)
        due = [stall for stall in found if self._due(stall, now)]
        for stall in due[:MAX_LINES]:
            self._reported_at[stall.task.name] = now
            self._write(state, stall, lease_held, now)
        if len(due) > MAX_LINES:
            LOG.warning(
                "more tasks have not started",
                extra={
                    "pool": state.name,
                    "tasks": len(due) - MAX_LINES,
                    "stalled": len(found),
                },
            )

    def _report_forgotten(self, state: pools.Pool, now: float) -> None:
        """Report jobs that have nothing left to start and have not ended."""
        found = stalls.forgotten(state)
        if not found or now - self._forgotten_at < REPEAT_SECONDS:
            return
        self._forgotten_at = now
        LOG.error(
            "jobs have not ended and nothing of them is left to start",
            extra={
                "pool": state.name,
                "jobs": poolreports.names([job.job.job for job in found]),
            },
        )

    def _due(self, stall: stalls.Stall, now: float) -> bool:
        reported_at = self._reported_at.get(stall.task.name)
        return reported_at is None or now - reported_at >= REPEAT_SECONDS

    @staticmethod
    def _write(
        state: pools.Pool, stall: stalls.Stall, lease_held: bool, now: float
    ) -> None:
        task = stall.task
        job = task.step.job
        found = stalls.reason(state, task, lease_held, now)
        LOG.warning(
            "task has not started",
            extra={
                "task": task.name,
                "pool": state.name,
                "queue": job.job.queue,
                "team": job.job.team,
                "waited": round(now - stall.since, 3),
                "lasting": task.step.step.long_running,
                "recovered": job.recovered,
                "last_run": task.last_run,
                "why": found.why,
                "details": found.details,
            },
        )
