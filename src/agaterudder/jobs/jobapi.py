"""Calls of clients: submit a job, read its state, cancel it."""

import logging
import typing as t

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import callreports
from agaterudder.jobs import cancellations
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import jobcalls
from agaterudder.jobs import jobstore
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import pendingcounts
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder.jobs import submissions
from agaterudder import metrics

LOG = logging.getLogger(__name__)

RETRY_AFTER_SECONDS = 1
# Reason of a refusal while jobs may lie in pools that are not known.
POOLS_NOT_READ = "the pools of the queues are not read yet"


class JobApi:
    """Answers the calls of clients from the store.

    :param store_clock: returns an upper bound of the store's clock.
    :param row_bytes: largest value of a row of the store.
    """

    __slots__ = (
        "_cluster",
        "_queue_pools",
        "_metrics",
        "_reports",
        "_job_store",
        "_submissions",
        "_cancellations",
        "_pending_counts",
    )

    def __init__(
        self,
        store: ports.Store,
        cluster: clustercache.ClusterCache,
        queue_pools: queuepools.QueuePools,
        store_clock: t.Callable[[], float],
        metrics_registry: metrics.Metrics,
        row_bytes: int,
    ) -> None:
        self._cluster = cluster
        self._queue_pools = queue_pools
        self._metrics = metrics_registry
        self._reports = callreports.CallReports(cluster, metrics_registry)
        self._job_store = jobstore.JobStore(store)
        self._submissions = submissions.Submissions(
            self._job_store, cluster, queue_pools, store_clock, row_bytes
        )
        self._cancellations = cancellations.Cancellations(
            self._job_store, cluster, queue_pools, store_clock
        )
        self._pending_counts = pendingcounts.PendingCounts(
            store, queue_pools, store_clock
        )

    def queue(
        self, host: str, path: str
    ) -> operatorconfig.Queue | codes.Refused:
        """Return the queue that a host and path belong to."""
        configuration = self._cluster.configuration
        if configuration is None:
            return codes.Refused(
                codes.Result.STALE, "no configuration is known yet"
            )
        found = configuration.queue_for(host, path)
        if found is None:
            return codes.Refused(codes.Result.UNKNOWN_QUEUE, "no such queue")
        return found

    def submit(
        self, call: jobcalls.Call, request: model.Request
    ) -> jobcalls.Accepted | codes.Refused:
        """Store a job; a repeated submission changes nothing."""
        caller = self._cluster.authenticate(call.queue, call.key, clock.now())
        if isinstance(caller, codes.Refused):
            self._report_submission(call, "", caller)
            return caller
        outcome = self._submissions.submit(call, caller.team, request)
        if isinstance(outcome, jobcalls.Accepted):
            # The key may have been withdrawn while the store answered.
            again = self._cluster.authenticate(
                call.queue, call.key, clock.now()
            )
            if isinstance(again, codes.Refused):
                outcome = codes.Refused(
                    codes.Result.OUTCOME_UNKNOWN, again.reason
                )
        self._report_submission(call, caller.team, outcome)
        return outcome

    def _report_submission(
        self,
        call: jobcalls.Call,
        team: str,
        outcome: jobcalls.Accepted | codes.Refused,
    ) -> None:
        self._metrics.count(
            "submissions",
            team=team,
            outcome=callreports.code(outcome, callreports.ACCEPTED),
        )
        LOG.info(
            "job submission handled",
            extra={
                "job": call.job,
                "queue": call.queue.name,
                "pool": call.queue.pool,
                "team": team,
                "outcome": callreports.describe(outcome),
                **call.usage.written(),
            },
        )
        self._report_unanswered("submit", call, outcome)

    def state(self, call: jobcalls.Call) -> jobcalls.JobState | codes.Refused:
        """Return the state of a job."""
        outcome = self._state(call)
        self._reports.lookup(
            call.job, call.queue.name, call.usage, outcome, clock.now()
        )
        self._report_unanswered("state", call, outcome)
        return outcome

    def refuse_name(self, call: jobcalls.Call) -> codes.Refused:
        """Refuse a call about a name that no job can have."""
        refused = codes.Refused(codes.Result.NOT_FOUND, "no such job")
        self._reports.lookup(
            call.job, call.queue.name, call.usage, refused, clock.now()
        )
        return refused

    def _state(self, call: jobcalls.Call) -> jobcalls.JobState | codes.Refused:
        refusal = self._authentication_error(call)
        if refusal is not None:
            return refusal
        try:
            found = self._find_state(call)
        except exceptions.CallFailed as error:
            found = codes.Refused(codes.Result.STORE_AWAY, str(error))
        again = self._authentication_error(call)
        return again if again is not None else found

    def _find_state(
        self, call: jobcalls.Call
    ) -> jobcalls.JobState | codes.Refused:
        for pool in self._pools(call.queue):
            call.usage.pools.append(pool)
            found = self._state_in_pool(pool, call)
            if found is not None:
                return found
        if not self._queue_pools.read:
            return codes.Refused(codes.Result.STALE, POOLS_NOT_READ)
        return codes.Refused(codes.Result.NOT_FOUND, "no such job")

    def _state_in_pool(
        self, pool: str, call: jobcalls.Call
    ) -> jobcalls.JobState | None:
        if (
            self._job_store.read(model.jobs_table(pool), pool, call)
            is not None
        ):
            started = self._job_store.read(model.PROGRESS_TABLE, pool, call)
            return jobcalls.JobState(
                model.STATE_RUNNING if started else model.STATE_QUEUED
            )
        ended = self._job_store.read(model.ENDED_TABLE, pool, call)
        if ended is None:
            return None
        found = model.decode(ended.value, model.Ended)
        if found.keeps_out:
            return None
        if found.state != model.STATE_FAILED:
            return jobcalls.JobState(found.state)
        return jobcalls.JobState(found.state, found.code, found.reason)

    def cancel(self, call: jobcalls.Call) -> jobcalls.Accepted | codes.Refused:
        """Cancel a job."""
        refusal = self._authentication_error(call)
        if refusal is not None:
            self._reports.count("cancels", refusal, callreports.ACCEPTED)
            return refusal
        outcome: jobcalls.Accepted | codes.Refused
        try:
            outcome = self._cancellations.cancel(call, self._pools(call.queue))
        except exceptions.CallFailed as error:
            outcome = codes.Refused(codes.Result.STORE_AWAY, str(error))
        again = self._authentication_error(call)
        answer = again if again is not None else outcome
        self._reports.count("cancels", answer, callreports.ACCEPTED)
        LOG.info(
            "job cancellation handled",
            extra={
                "job": call.job,
                "queue": call.queue.name,
                "outcome": callreports.describe(outcome),
                "pools": " ".join(call.usage.pools),
                **call.usage.written(),
            },
        )
        self._report_unanswered("cancel", call, answer)
        return answer

    def pending(
        self, call: jobcalls.Call
    ) -> jobcalls.QueueState | codes.Refused:
        """Return how many jobs of a queue are pending."""
        outcome = self._pending(call)
        self._reports.count("pending_calls", outcome, callreports.COUNTED)
        self._report_unanswered("pending", call, outcome)
        return outcome

    def _pending(
        self, call: jobcalls.Call
    ) -> jobcalls.QueueState | codes.Refused:
        refusal = self._authentication_error(call)
        if refusal is not None:
            return refusal
        if not self._queue_pools.read:
            return codes.Refused(codes.Result.STALE, POOLS_NOT_READ)
        try:
            return jobcalls.QueueState(
                self._pending_counts.count(call.queue, call.usage)
            )
        except (exceptions.CallFailed, exceptions.Undecodable) as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))

    def _report_unanswered(
        self, kind: str, call: jobcalls.Call, outcome: t.Any
    ) -> None:
        self._reports.unanswered(
            kind, call.job, call.usage, call.deadline, outcome, clock.now()
        )

    def _authentication_error(
        self, call: jobcalls.Call
    ) -> codes.Refused | None:
        caller = self._cluster.authenticate(call.queue, call.key, clock.now())
        return caller if isinstance(caller, codes.Refused) else None

    def _pools(self, queue: operatorconfig.Queue) -> list[str]:
        """Return the pools that may hold jobs of a queue, likely ones first.

        A pool keeps the jobs that it had when it became a standby pool.
        """
        configuration = self._cluster.configuration
        others = sorted(configuration.pools) if configuration else []
        past = self._queue_pools.known(queue)
        return list(dict.fromkeys([queue.pool, *past, *others]))
