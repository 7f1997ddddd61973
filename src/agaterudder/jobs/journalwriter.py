"""Stores the progress of a pool's jobs and publishes the pool's status."""

import logging

import gevent
import gevent.event

from agaterudder import codes
from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import load as loads
from agaterudder.jobs import model
from agaterudder.jobs import poolstatus
from agaterudder.jobs import ports
from agaterudder.jobs import stallreports

LOG = logging.getLogger(__name__)

WRITE_BATCH_SECONDS = 0.025
WRITE_INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 0.1
PUBLISH_INTERVAL_SECONDS = 1.0


class JournalWriter:
    """Writes the journal of a pool in batches."""

    __slots__ = ("_context", "_stalls", "_stored")

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._stalls = stallreports.StallReports()
        self._stored = gevent.event.Event()

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until a journal mark is stored; return whether it is."""
        self._context.write_needed.set()
        until = clock.now() + timeout
        while self._context.state.journal.stored < mark:
            left = until - clock.now()
            if left <= 0:
                return False
            self._stored.clear()
            self._stored.wait(left)
        return True

    def write_loop(self) -> None:
        """Store progress that is not stored yet, in batches."""
        while True:
            self._context.write_needed.wait(WRITE_INTERVAL_SECONDS)
            self._context.write_needed.clear()
            gevent.sleep(WRITE_BATCH_SECONDS)
            self._context.state.acknowledged.write()
            while (
                len(self._context.state.journal) and not self._context.stopped
            ):
                if not self._write_batch():
                    gevent.sleep(RETRY_SECONDS)

    def _write_batch(self) -> bool:
        """Store one batch; return whether it is stored."""
        journal = self._context.state.journal
        batch = journal.batch(
            self._context.pool,
            self._context.epoch_precondition,
            self._context.store_clock(),
        )
        for job in batch.oversized:
            self._context.state.finish_job(
                job,
                model.STATE_FAILED,
                "its progress exceeds a row of the store",
                0.0,
                codes.Result.TOO_LARGE,
            )
        outcome = self._context.store.transact(
            self._context.pool, batch.preconditions, batch.puts, batch.deletes
        )
        match outcome:
            case ports.Committed(version=version):
                stored_before = journal.stored
                ended = journal.committed(batch, version)
                for job in ended:
                    self._context.state.remove_ended_job(job, clock.now())
                if ended:
                    LOG.info(
                        "job ends stored",
                        extra={
                            "pool": self._context.pool,
                            "version": version,
                            "jobs": " ".join(job.job.job for job in ended),
                        },
                    )
                self._stored.set()
                if stored_before < self._context.state.suspects.prepared_mark:
                    self._context.plan_needed.set()
                return True
            case ports.Conflicted(rows=rows):
                self._context.check_epoch(rows)
                LOG.info(
                    "job progress not stored: version conflict",
                    extra={
                        "pool": self._context.pool,
                        "jobs": [job.job.job for job in batch.jobs],
                        "rows": [(row.key, row.version) for row in rows],
                    },
                )
                journal.conflicted(batch, rows)
                return False
            case codes.Refused() as refused:
                LOG.info(
                    "job progress not stored: store did not confirm",
                    extra={
                        "pool": self._context.pool,
                        "jobs": len(batch.jobs),
                        "why": refused.reason,
                    },
                )
                journal.requeue(batch)
                return False

    def publish_loop(self) -> None:
        """Publish the numbers of pending jobs, and the pool's status."""
        lag = 0.0
        while True:
            self._report_status(lag)
            content = model.encode(
                model.Pending(
                    self._context.store_clock(),
                    poolstatus.pending_counts(self._context.state),
                )
            )
            if self._context.holds_lease():
                self._context.store.transact(
                    model.pending_partition(self._context.pool),
                    [],
                    [
                        ports.Put(
                            model.PENDING_TABLE, model.PENDING_KEY, content
                        )
                    ],
                )
            slept_at = clock.now()
            gevent.sleep(PUBLISH_INTERVAL_SECONDS)
            lag = clock.now() - slept_at - PUBLISH_INTERVAL_SECONDS

    def _report_status(self, lag: float) -> None:
        """Log the status and set the gauges of the pool.

        :param lag: seconds by which the last pause was too long, as the
            process was busy.
        """
        state = self._context.state
        now = clock.now()
        workers = state.workers.values()
        usable = [worker for worker in workers if worker.accepts_tasks(now)]
        waiting = round(loads.waiting_cores(state), 1)
        first_starts = poolstatus.first_starts(state, now)
        unacknowledged = poolstatus.unacknowledged_ends(state)
        self._context.metrics.gauge(
            "pool_jobs", len(state.jobs), pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_usable", len(usable), pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_waiting_cores", waiting, pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_unstored", len(state.journal), pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_oldest_first_start_seconds",
            round(first_starts.longest, 3),
            pool=self._context.pool,
        )
        self._context.metrics.gauge(
            "pool_suspects", len(state.suspects), pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_late_jobs", first_starts.late, pool=self._context.pool
        )
        self._context.metrics.gauge(
            "pool_ends_unacknowledged",
            unacknowledged,
            pool=self._context.pool,
        )
        self._stalls.report(state, self._context.holds_lease(), now)
        self._context.metrics.observe("loop_lag", lag, pool=self._context.pool)
        LOG.info(
            "pool status",
            extra={
                "pool": self._context.pool,
                "jobs": len(state.jobs),
                "workers": len(state.workers),
                "usable": len(usable),
                "free": round(sum(w.free.cores for w in usable), 1),
                "waiting": waiting,
                "runs": sum(len(worker.runs) for worker in workers),
                "unstored": len(state.journal),
                "unacknowledged": unacknowledged,
                "unconfirmed": len(state.recovery.unconfirmed_workers),
                "oldest_first_start": round(first_starts.longest, 3),
                "late": first_starts.late,
                "lag": round(lag, 3),
                "lease": round(self._context.lease.valid_until - now, 2),
            },
        )
