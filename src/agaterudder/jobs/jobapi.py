"""Calls of clients: submit a job, read its state, cancel it."""

import dataclasses
import logging
import typing as t

import gevent

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import callreports
from agaterudder.jobs import clock
from agaterudder.jobs import clustercache
from agaterudder.jobs import jobrows
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import pendingcounts
from agaterudder.jobs import ports
from agaterudder.jobs import queuepools
from agaterudder.jobs import storedprogress
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# Short enough to leave time for a second call after one without an answer.
WRITE_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 0.6
# Part of the caller's time that is kept for the response to reach it.
RESPONSE_MARGIN_SECONDS = 0.25
MIN_CALL_SECONDS = 0.05
# The store may fail a call at once: it resets connections, or answers without
# saying whether it stored a write.
MIN_REPEAT_INTERVAL_SECONDS = 0.05
# A store that rejects readings, as it does above its rate, may accept them
# soon; after this time it counts as away.
REJECTED_READ_SECONDS = 0.5
REJECTED_READ_PAUSE_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1
# Reason of a refusal while jobs may lie in pools that are not known.
POOLS_NOT_READ = "the pools of the queues are not read yet"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A client's call about one queue.

    :ivar job: identifier of the job, empty for a call about the queue.
    :ivar key: key of the team, empty without one.
    :ivar deadline: when the client gives up, by :func:`clock.now`.
    :ivar usage: what the call has used so far, for the log.
    """

    queue: operatorconfig.Queue
    job: str
    key: str
    deadline: float
    usage: callreports.Usage = dataclasses.field(
        default_factory=callreports.Usage, compare=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """State of a job.

    :ivar code: number of the result of a failed job, 0 for any other.
    :ivar reason: why it failed, empty for any other.
    """

    state: str
    code: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of a queue.

    :ivar pending: number of accepted jobs of which no task has started.
    """

    pending: int


class JobApi:
    """Answers the calls of clients from the store.

    :param store_clock: returns an upper bound of the store's clock.
    :param row_bytes: largest value of a row of the store.
    """

    __slots__ = (
        "_store",
        "_cluster",
        "_queue_pools",
        "_store_clock",
        "_metrics",
        "_row_bytes",
        "_reports",
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
        self._store = store
        self._cluster = cluster
        self._queue_pools = queue_pools
        self._store_clock = store_clock
        self._metrics = metrics_registry
        self._row_bytes = row_bytes
        self._reports = callreports.CallReports(cluster, metrics_registry)
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
        self, call: Call, request: model.Request
    ) -> Accepted | codes.Refused:
        """Store a job; a repeated submission changes nothing."""
        caller = self._cluster.authenticate(call.queue, call.key, clock.now())
        if isinstance(caller, codes.Refused):
            self._report_submission(call, "", caller)
            return caller
        outcome = self._submit_once(call, caller.team, request)
        if isinstance(outcome, Accepted):
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
        self, call: Call, team: str, outcome: Accepted | codes.Refused
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

    def _submit_once(
        self, call: Call, team: str, request: model.Request
    ) -> Accepted | codes.Refused:
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
            call.queue, configuration.version, _answer_by(call)
        )
        if isinstance(earlier, codes.Refused):
            return earlier
        found = self._keep_out(call, earlier)
        return found if found is not None else self._store_job(call, content)

    def _job(self, call: Call, team: str, request: model.Request) -> model.Job:
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
        self, call: Call, earlier: t.Iterable[str]
    ) -> Accepted | codes.Refused | None:
        """Keep a job out of the earlier pools of its queue.

        :returns: None when it does not lie there, and never will.
        """
        for pool in earlier:
            found = self._keep_out_of(call, pool)
            if found is not None:
                return found
        return None

    def _keep_out_of(
        self, call: Call, pool: str
    ) -> Accepted | codes.Refused | None:
        call.usage.pools.append(pool)
        moved = model.Ended(model.STATE_MOVED, self._store_clock())
        outcome = self._write(
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
        self, call: Call, pool: str, rows: t.Iterable[ports.Row]
    ) -> Accepted | codes.Refused | None:
        """Return the answer to a submission that an earlier pool has rows of.

        :returns: None when the job was only kept out of it.
        """
        found = jobrows.keeping_out(rows)
        match found:
            case jobrows.KeepingOut(state=model.STATE_MOVED):
                return None
            case jobrows.KeepingOut(row=row):
                return self._store_withdrawn(call, pool, row)
        return Accepted()

    def _store_job(
        self, call: Call, content: bytes
    ) -> Accepted | codes.Refused:
        pool = call.queue.pool
        put = ports.Put(model.jobs_table(pool), call.job, content)
        outcome = self._write(
            call, pool, jobrows.absent(pool, call.job), [put]
        )
        if isinstance(outcome, ports.Conflicted):
            match jobrows.keeping_out(outcome.rows):
                case jobrows.KeepingOut(state=model.STATE_MOVED, row=row):
                    return self._bring_back(call, row, put)
                case jobrows.KeepingOut(row=row):
                    return self._store_withdrawn(call, pool, row)
        return _accepted(outcome)

    def _store_withdrawn(
        self, call: Call, pool: str, withdrawn: ports.Row
    ) -> Accepted | codes.Refused:
        """Store a job that was cancelled before as one that is cancelled."""
        ended = model.Ended(
            model.STATE_CANCELLED, self._store_clock(), "before it was stored"
        )
        outcome = self._write(
            call,
            pool,
            [ports.Precondition(withdrawn.table, call.job, withdrawn.version)],
            [ports.Put(withdrawn.table, call.job, model.encode(ended))],
        )
        return _accepted(outcome)

    def _bring_back(
        self, call: Call, moved: ports.Row, put: ports.Put
    ) -> Accepted | codes.Refused:
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
        outcome = self._write(
            call,
            call.queue.pool,
            [
                ports.Precondition(put.table, call.job, 0),
                ports.Precondition(moved.table, call.job, moved.version),
            ],
            [put],
            [ports.Delete(moved.table, call.job)],
        )
        return _accepted(outcome)

    def _write(
        self,
        call: Call,
        pool: str,
        preconditions: t.Sequence[ports.Precondition],
        puts: t.Sequence[ports.Put],
        deletes: t.Sequence[ports.Delete] = (),
    ) -> ports.Outcome:
        """Write rows; repeat this while it is unknown whether they are stored.

        A conflict may be with a row that an earlier attempt stored.
        """
        may_be_stored = False
        while True:
            sent_at = clock.now()
            left = _answer_by(call) - sent_at
            if left < MIN_CALL_SECONDS:
                break
            call.usage.store_calls += 1
            outcome = self._store.transact(
                pool,
                preconditions,
                puts,
                deletes,
                timeout=min(WRITE_TIMEOUT_SECONDS, left),
            )
            call.usage.record_write(outcome)
            match outcome:
                case ports.Committed() | ports.Conflicted():
                    return outcome
                case codes.Refused(code=codes.Result.CHANGE_UNKNOWN):
                    may_be_stored = True
                    _pause_before_repeat(sent_at)
                case codes.Refused():
                    if not may_be_stored:
                        return outcome
                    break
        if may_be_stored:
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN, "the store did not answer"
            )
        return codes.Refused(codes.Result.TOO_LATE, "no time is left")

    def state(self, call: Call) -> JobState | codes.Refused:
        """Return the state of a job."""
        outcome = self._state(call)
        self._reports.lookup(
            call.job, call.queue.name, call.usage, outcome, clock.now()
        )
        self._report_unanswered("state", call, outcome)
        return outcome

    def refuse_name(self, call: Call) -> codes.Refused:
        """Refuse a call about a name that no job can have."""
        refused = codes.Refused(codes.Result.NOT_FOUND, "no such job")
        self._reports.lookup(
            call.job, call.queue.name, call.usage, refused, clock.now()
        )
        return refused

    def _state(self, call: Call) -> JobState | codes.Refused:
        refusal = self._authentication_error(call)
        if refusal is not None:
            return refusal
        try:
            found = self._find_state(call)
        except exceptions.CallFailed as error:
            found = codes.Refused(codes.Result.STORE_AWAY, str(error))
        again = self._authentication_error(call)
        return again if again is not None else found

    def _find_state(self, call: Call) -> JobState | codes.Refused:
        for pool in self._pools(call.queue):
            call.usage.pools.append(pool)
            found = self._state_in_pool(pool, call)
            if found is not None:
                return found
        if not self._queue_pools.read:
            return codes.Refused(codes.Result.STALE, POOLS_NOT_READ)
        return codes.Refused(codes.Result.NOT_FOUND, "no such job")

    def _state_in_pool(self, pool: str, call: Call) -> JobState | None:
        if self._read(model.jobs_table(pool), pool, call) is not None:
            started = self._read(model.PROGRESS_TABLE, pool, call)
            return JobState(
                model.STATE_RUNNING if started else model.STATE_QUEUED
            )
        ended = self._read(model.ENDED_TABLE, pool, call)
        if ended is None:
            return None
        found = model.decode(ended.value, model.Ended)
        if found.keeps_out:
            return None
        if found.state != model.STATE_FAILED:
            return JobState(found.state)
        return JobState(found.state, found.code, found.reason)

    def _read(self, table: str, pool: str, call: Call) -> ports.Row | None:
        """Read a row of the job; retry after a failure if time is left."""
        until = _answer_by(call)
        began_at = clock.now()
        while True:
            asked_at = clock.now()
            left = until - asked_at
            call.usage.store_calls += 1
            try:
                return self._store.read(
                    table,
                    pool,
                    call.job,
                    min(READ_TIMEOUT_SECONDS, max(left, MIN_CALL_SECONDS)),
                )
            except exceptions.CallFailed as error:
                repeat_at = _repeat_at(
                    error, asked_at, began_at, until, clock.now()
                )
                if repeat_at is None:
                    raise
            gevent.sleep(max(repeat_at - clock.now(), 0.0))

    def cancel(self, call: Call) -> Accepted | codes.Refused:
        """Cancel a job."""
        refusal = self._authentication_error(call)
        if refusal is not None:
            self._reports.count("cancels", refusal, callreports.ACCEPTED)
            return refusal
        outcome: Accepted | codes.Refused
        try:
            outcome = self._cancel(call)
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

    def _cancel(self, call: Call) -> Accepted | codes.Refused:
        for pool in self._pools(call.queue):
            call.usage.pools.append(pool)
            row = self._read(model.jobs_table(pool), pool, call)
            if row is not None:
                return self._store_cancel(call, pool, row)
            ended = self._read(model.ENDED_TABLE, pool, call)
            if ended is not None and jobrows.keeping_out([ended]) is None:
                return Accepted()
        return self._withdraw(call)

    def _withdraw(self, call: Call) -> Accepted | codes.Refused:
        """Cancel a job that no pool has.

        Its submission may have got no answer from the store, and may be
        stored late.
        """
        configuration = self._cluster.configuration
        assert configuration is not None
        earlier = self._queue_pools.earlier(
            call.queue, configuration.version, _answer_by(call)
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
        call: Call,
        pool: str,
        preconditions: t.Sequence[ports.Precondition],
    ) -> Accepted | codes.Refused | None:
        """Make sure that a pool never stores a job.

        :returns: None when it does not, and never will.
        """
        withdrawn = model.Ended(model.STATE_WITHDRAWN, self._store_clock())
        outcome = self._write(
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
        return Accepted()

    def _store_cancel(
        self, call: Call, pool: str, row: ports.Row
    ) -> Accepted | codes.Refused:
        table = model.jobs_table(pool)
        # A conflict means that the job ended in the meantime.
        outcome = self._write(
            call,
            pool,
            [ports.Precondition(table, call.job, row.version)],
            [ports.Put(table, call.job + model.CANCEL_SUFFIX, b"")],
        )
        return _accepted(outcome)

    def pending(self, call: Call) -> QueueState | codes.Refused:
        """Return how many jobs of a queue are pending."""
        outcome = self._pending(call)
        self._reports.count("pending_calls", outcome, callreports.COUNTED)
        self._report_unanswered("pending", call, outcome)
        return outcome

    def _pending(self, call: Call) -> QueueState | codes.Refused:
        refusal = self._authentication_error(call)
        if refusal is not None:
            return refusal
        if not self._queue_pools.read:
            return codes.Refused(codes.Result.STALE, POOLS_NOT_READ)
        try:
            return QueueState(
                self._pending_counts.count(call.queue, call.usage)
            )
        except (exceptions.CallFailed, exceptions.Undecodable) as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))

    def _report_unanswered(
        self, kind: str, call: Call, outcome: t.Any
    ) -> None:
        self._reports.unanswered(
            kind, call.job, call.usage, call.deadline, outcome, clock.now()
        )

    def _authentication_error(self, call: Call) -> codes.Refused | None:
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


def _answer_by(call: Call) -> float:
    """Return until when a call may use the store, by :func:`clock.now`."""
    return call.deadline - RESPONSE_MARGIN_SECONDS


def _accepted(outcome: ports.Outcome) -> Accepted | codes.Refused:
    """Return the answer to a write whose conflict leaves nothing to do."""
    return outcome if isinstance(outcome, codes.Refused) else Accepted()


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


def _pause_before_repeat(sent_at: float) -> None:
    """Wait as long as a call may not be repeated after it was sent."""
    next_at = sent_at + MIN_REPEAT_INTERVAL_SECONDS
    gevent.sleep(max(next_at - clock.now(), 0.0))


def _repeat_at(
    error: exceptions.CallFailed,
    asked_at: float,
    began_at: float,
    until: float,
    now: float,
) -> float | None:
    """Return when a reading that failed is repeated, None if it is not.

    :param asked_at: when it was sent.
    :param began_at: when the row was first asked for.
    :param until: when the answer is due.
    """
    if error.may_take_effect:
        repeat = now + READ_TIMEOUT_SECONDS <= until
        return asked_at + MIN_REPEAT_INTERVAL_SECONDS if repeat else None
    repeat_at = now + REJECTED_READ_PAUSE_SECONDS
    repeat = repeat_at <= min(began_at + REJECTED_READ_SECONDS, until)
    return repeat_at if repeat else None
