"""Cancels jobs for clients."""

import typing as t

from agaterudder import codes
from agaterudder.jobs import clustercache
from agaterudder.jobs import jobcalls
from agaterudder.jobs import jobrows
from agaterudder.jobs import jobstore
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools


class Cancellations:
    """Stores cancellations, and keeps out jobs that are not stored yet.

    :param store_clock: returns an upper bound of the store's clock.
    """

    __slots__ = ("_store", "_cluster", "_queue_pools", "_store_clock")

    def __init__(
        self,
        store: jobstore.JobStore,
        cluster: clustercache.ClusterCache,
        queue_pools: queuepools.QueuePools,
        store_clock: t.Callable[[], float],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._queue_pools = queue_pools
        self._store_clock = store_clock

    def cancel(
        self, call: jobcalls.Call, pools: t.Iterable[str]
    ) -> jobcalls.Accepted | codes.Refused:
        """Cancel a job, whether it is stored yet or not.

        :param pools: pools that may hold it.
        :raises CallFailed: when the store did not answer.
        """
        for pool in pools:
            call.usage.pools.append(pool)
            row = self._store.read(model.jobs_table(pool), pool, call)
            if row is not None:
                return self._store_cancel(call, pool, row)
            ended = self._store.read(model.ENDED_TABLE, pool, call)
            if ended is not None and jobrows.keeping_out([ended]) is None:
                return jobcalls.Accepted()
        return self._withdraw(call)

    def _withdraw(
        self, call: jobcalls.Call
    ) -> jobcalls.Accepted | codes.Refused:
        """Cancel a job that no pool has.

        Its submission may have got no answer from the store, and may be
        stored late.
        """
        configuration = self._cluster.configuration
        assert configuration is not None
        earlier = self._queue_pools.earlier(
            call.queue, configuration.version, call.answer_by
        )
        if isinstance(earlier, codes.Refused):
            return earlier
        for pool in (call.queue.pool, *earlier):
            found = self._withdraw_from(
                call, pool, jobrows.absent(pool, call.job)
            )
            if found is not None:
                return found
        return codes.Refused(codes.Result.NOT_FOUND, "no such job")

    def _withdraw_from(
        self,
        call: jobcalls.Call,
        pool: str,
        preconditions: t.Sequence[ports.Precondition],
    ) -> jobcalls.Accepted | codes.Refused | None:
        """Make sure that a pool never stores a job.

        :returns: None when it does not, and never will.
        """
        withdrawn = model.Ended(model.STATE_WITHDRAWN, self._store_clock())
        outcome = self._store.write(
            call,
            pool,
            preconditions,
            [ports.Put(model.ENDED_TABLE, call.job, model.encode(withdrawn))],
        )
        match outcome:
            case codes.Refused():
                return outcome
            case ports.Committed():
                return None
        match jobrows.keeping_out(outcome.rows):
            case jobrows.KeepingOut(state=model.STATE_WITHDRAWN):
                return None
            case jobrows.KeepingOut(row=row):
                moved = [
                    ports.Precondition(model.jobs_table(pool), call.job, 0),
                    ports.Precondition(row.table, call.job, row.version),
                ]
                return self._withdraw_from(call, pool, moved)
        stored = [
            row
            for row in outcome.rows
            if row.table == model.jobs_table(pool) and row.version
        ]
        if stored:
            return self._store_cancel(call, pool, stored[0])
        return jobcalls.Accepted()

    def _store_cancel(
        self, call: jobcalls.Call, pool: str, row: ports.Row
    ) -> jobcalls.Accepted | codes.Refused:
        table = model.jobs_table(pool)
        # A conflict means that the job ended in the meantime.
        outcome = self._store.write(
            call,
            pool,
            [ports.Precondition(table, call.job, row.version)],
            [ports.Put(table, call.job + model.CANCEL_SUFFIX, b"")],
        )
        return jobcalls.accepted(outcome)
