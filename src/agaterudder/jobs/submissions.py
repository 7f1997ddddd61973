"""Stores the jobs that clients submit, each in one pool."""

import typing as t

from agaterudder import codes
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import jobcalls
from agaterudder.jobs import jobrows
from agaterudder.jobs import jobstore
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder.jobs import storedprogress


class Submissions:
    """Stores submitted jobs; a repeated submission changes nothing.

    :param store_clock: returns an upper bound of the store's clock.
    :param row_bytes: largest value of a row of the store.
    """

    __slots__ = (
        "_store",
        "_cluster",
        "_queue_pools",
        "_store_clock",
        "_row_bytes",
    )

    def __init__(
        self,
        store: jobstore.JobStore,
        cluster: clustercache.ClusterCache,
        queue_pools: queuepools.QueuePools,
        store_clock: t.Callable[[], float],
        row_bytes: int,
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._queue_pools = queue_pools
        self._store_clock = store_clock
        self._row_bytes = row_bytes

    def submit(
        self, call: jobcalls.Call, team: str, request: model.Request
    ) -> jobcalls.Accepted | codes.Refused:
        """Store a job unless another pool of its queue has it.

        The queue may have moved between a submission and its repetition, and
        another process may not know of the move yet.
        """
        content = model.encode(self._job(call, team, request))
        if len(content) > self._row_bytes or not (
            storedprogress.fits(request, self._row_bytes)
        ):
            return codes.Refused(
                codes.Result.TOO_LARGE, "the job exceeds a row of the store"
            )
        configuration = self._cluster.configuration
        assert configuration is not None
        earlier = self._queue_pools.earlier(
            call.queue, configuration.version, call.answer_by
        )
        if isinstance(earlier, codes.Refused):
            return earlier
        found = self._keep_out(call, earlier)
        return found if found is not None else self._store_job(call, content)

    def _job(
        self, call: jobcalls.Call, team: str, request: model.Request
    ) -> model.Job:
        return model.Job(
            call.job,
            call.queue.name,
            team,
            self._store_clock(),
            request,
            call.queue.max_attempts,
            _terms(call.queue),
        )

    def _keep_out(
        self, call: jobcalls.Call, earlier: t.Iterable[str]
    ) -> jobcalls.Accepted | codes.Refused | None:
        """Keep a job out of the earlier pools of its queue.

        :returns: None when it does not lie there, and never will.
        """
        for pool in earlier:
            found = self._keep_out_of(call, pool)
            if found is not None:
                return found
        return None

    def _keep_out_of(
        self, call: jobcalls.Call, pool: str
    ) -> jobcalls.Accepted | codes.Refused | None:
        call.usage.pools.append(pool)
        moved = model.Ended(model.STATE_MOVED, self._store_clock())
        outcome = self._store.write(
            call,
            pool,
            jobrows.absent(pool, call.job),
            [ports.Put(model.ENDED_TABLE, call.job, model.encode(moved))],
        )
        match outcome:
            case ports.Conflicted(rows=rows):
                return self._found_in_earlier(call, pool, rows)
            case codes.Refused():
                return outcome
        return None

    def _found_in_earlier(
        self, call: jobcalls.Call, pool: str, rows: t.Iterable[ports.Row]
    ) -> jobcalls.Accepted | codes.Refused | None:
        """Return the answer to a submission that an earlier pool has rows of.

        :returns: None when the job was only kept out of it.
        """
        match jobrows.keeping_out(rows):
            case jobrows.KeepingOut(state=model.STATE_MOVED):
                return None
            case jobrows.KeepingOut(row=row):
                return self._store_withdrawn(call, pool, row)
        return jobcalls.Accepted()

    def _store_job(
        self, call: jobcalls.Call, content: bytes
    ) -> jobcalls.Accepted | codes.Refused:
        pool = call.queue.pool
        put = ports.Put(model.jobs_table(pool), call.job, content)
        outcome = self._store.write(
            call, pool, jobrows.absent(pool, call.job), [put]
        )
        if isinstance(outcome, ports.Conflicted):
            match jobrows.keeping_out(outcome.rows):
                case jobrows.KeepingOut(state=model.STATE_MOVED, row=row):
                    return self._bring_back(call, row, put)
                case jobrows.KeepingOut(row=row):
                    return self._store_withdrawn(call, pool, row)
        return jobcalls.accepted(outcome)

    def _store_withdrawn(
        self, call: jobcalls.Call, pool: str, withdrawn: ports.Row
    ) -> jobcalls.Accepted | codes.Refused:
        """Store a job that was cancelled before as one that is cancelled."""
        ended = model.Ended(
            model.STATE_CANCELLED, self._store_clock(), "before it was stored"
        )
        outcome = self._store.write(
            call,
            pool,
            [ports.Precondition(withdrawn.table, call.job, withdrawn.version)],
            [ports.Put(withdrawn.table, call.job, model.encode(ended))],
        )
        return jobcalls.accepted(outcome)

    def _bring_back(
        self, call: jobcalls.Call, moved: ports.Row, put: ports.Put
    ) -> jobcalls.Accepted | codes.Refused:
        """Store a job that was kept out of a pool which its queue has again.

        Another process may have kept it out as the queue has left the pool,
        without the knowledge of this one.
        """
        configuration = self._cluster.configuration
        if configuration is None or not self._queue_pools.record():
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN, "the queue has moved"
            )
        earlier = self._queue_pools.earlier(
            call.queue, configuration.version, clock.now()
        )
        if isinstance(earlier, codes.Refused):
            return codes.Refused(codes.Result.CHANGE_UNKNOWN, earlier.reason)
        found = self._keep_out(call, earlier)
        if found is not None:
            return found
        outcome = self._store.write(
            call,
            call.queue.pool,
            [
                ports.Precondition(put.table, call.job, 0),
                ports.Precondition(moved.table, call.job, moved.version),
            ],
            [put],
            [ports.Delete(moved.table, call.job)],
        )
        return jobcalls.accepted(outcome)


def _terms(queue: operatorconfig.Queue) -> model.QueueTerms:
    """Return what a queue promises its jobs."""
    times = None
    if queue.policy is not None:
        times = (
            queue.policy.base_seconds,
            queue.policy.per_worker_seconds,
            queue.policy.ticket_seconds,
        )
    return model.QueueTerms(
        queue.priority, queue.stretch, queue.target_seconds, times
    )
