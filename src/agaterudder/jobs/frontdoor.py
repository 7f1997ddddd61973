"""Takes jobs, tells their state, cancels them: what callers ask for."""

import dataclasses
import logging
import typing as t

import msgspec

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import beliefs
from agaterudder.jobs import clock
from agaterudder.jobs import model
from agaterudder.jobs import ports
from agaterudder.jobs import rules
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# One call of the store that got no answer leaves time for another.
WRITE_SECONDS = 1.0
READ_SECONDS = 0.6
# Kept of the caller's time for the answer's way.
ANSWER_MARGIN_SECONDS = 0.25
LEAST_CALL_SECONDS = 0.05
PENDING_AGE_SECONDS = 1.9
RETRY_AFTER_SECONDS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's call about one queue.

    :ivar job: identity of the job, empty for the queue itself.
    :ivar key: key of the team, empty without one.
    :ivar deadline: when the caller gives up, by :func:`clock.now`.
    """

    queue: rules.Queue
    job: str
    key: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """State of a job."""

    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """Accepted jobs of which no task has started."""

    pending: int


class FrontDoor:
    """Answers callers from the store.

    :param store_clock: most that the store's clock may show.
    """

    __slots__ = ("_store", "_beliefs", "_store_clock", "_metrics")

    def __init__(
        self,
        store: ports.Store,
        known: beliefs.Beliefs,
        store_clock: t.Callable[[], float],
        measured: metrics.Metrics,
    ) -> None:
        self._store = store
        self._beliefs = known
        self._store_clock = store_clock
        self._metrics = measured

    def queue(self, host: str, path: str) -> rules.Queue | codes.Refused:
        """Return the queue of a call."""
        configuration = self._beliefs.configuration
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
        """Store a job, once."""
        caller = self._beliefs.caller(call.queue, call.key, clock.now())
        if isinstance(caller, codes.Refused):
            return caller
        outcome = self._store_job(call, caller.team, request)
        if isinstance(outcome, Accepted):
            # The key may have been withdrawn while the store answered.
            again = self._beliefs.caller(call.queue, call.key, clock.now())
            if isinstance(again, codes.Refused):
                outcome = codes.Refused(
                    codes.Result.OUTCOME_UNKNOWN, again.reason
                )
        self._metrics.count(
            "submissions", team=caller.team, outcome=_code(outcome)
        )
        LOG.info(
            "submit",
            extra={
                "job": call.job,
                "queue": call.queue.name,
                "pool": call.queue.pool,
                "team": caller.team,
                "outcome": _name(outcome),
            },
        )
        return outcome

    def _store_job(
        self, call: Call, team: str, request: model.Request
    ) -> Accepted | codes.Refused:
        pool = call.queue.pool
        table = model.jobs_table(pool)
        job = model.Job(
            call.job, call.queue.name, team, self._store_clock(), request
        )
        checks = [
            ports.Check(table, call.job, 0),
            ports.Check(model.ENDED_TABLE, call.job, 0),
        ]
        puts = [ports.Put(table, call.job, model.encode(job))]
        maybe = False
        while True:
            left = call.deadline - ANSWER_MARGIN_SECONDS - clock.now()
            if left < LEAST_CALL_SECONDS:
                break
            outcome = self._store.transact(
                pool, checks, puts, timeout=min(WRITE_SECONDS, left)
            )
            match outcome:
                case ports.Committed() | ports.Conflicted():
                    return Accepted()
                case codes.Refused(code=codes.Result.CHANGE_UNKNOWN):
                    maybe = True
                case codes.Refused():
                    if not maybe:
                        return outcome
                    break
        if maybe:
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN, "the store did not answer"
            )
        return codes.Refused(codes.Result.TOO_LATE, "no time is left")

    def state(self, call: Call) -> JobState | codes.Refused:
        """Return the state of a job."""
        refused = self._refused(call)
        if refused is not None:
            return refused
        try:
            found = self._find_state(call)
        except exceptions.CallFailed as error:
            found = codes.Refused(codes.Result.STORE_AWAY, str(error))
        again = self._refused(call)
        return again if again is not None else found

    def _find_state(self, call: Call) -> JobState | codes.Refused:
        for pool in self._pools(call.queue):
            found = self._state_in(pool, call)
            if found is not None:
                return found
        return codes.Refused(codes.Result.NOT_FOUND, "no such job")

    def _state_in(self, pool: str, call: Call) -> JobState | None:
        if self._read(model.jobs_table(pool), pool, call) is not None:
            started = self._read(model.PROGRESS_TABLE, pool, call)
            return JobState(
                model.STATE_RUNNING if started else model.STATE_QUEUED
            )
        ended = self._read(model.ENDED_TABLE, pool, call)
        if ended is None:
            return None
        return JobState(model.decode(ended.value, model.Ended).state)

    def _read(
        self, table: str, pool: str, call: Call, suffix: str = ""
    ) -> ports.Row | None:
        """Read a row about the job; once more after no answer."""
        until = call.deadline - ANSWER_MARGIN_SECONDS
        while True:
            left = until - clock.now()
            try:
                return self._store.read(
                    table,
                    pool,
                    call.job + suffix,
                    min(READ_SECONDS, max(left, LEAST_CALL_SECONDS)),
                )
            except exceptions.CallFailed as error:
                if not error.sent or until - clock.now() < READ_SECONDS:
                    raise

    def cancel(self, call: Call) -> Accepted | codes.Refused:
        """Cancel a job."""
        refused = self._refused(call)
        if refused is not None:
            return refused
        outcome: Accepted | codes.Refused
        try:
            outcome = self._cancel(call)
        except exceptions.CallFailed as error:
            outcome = codes.Refused(codes.Result.STORE_AWAY, str(error))
        again = self._refused(call)
        LOG.info(
            "cancel",
            extra={
                "job": call.job,
                "queue": call.queue.name,
                "outcome": _name(outcome),
            },
        )
        return again if again is not None else outcome

    def _cancel(self, call: Call) -> Accepted | codes.Refused:
        for pool in self._pools(call.queue):
            row = self._read(model.jobs_table(pool), pool, call)
            if row is not None:
                return self._store_cancel(call, pool, row)
            if self._read(model.ENDED_TABLE, pool, call) is not None:
                return Accepted()
        return codes.Refused(codes.Result.NOT_FOUND, "no such job")

    def _store_cancel(
        self, call: Call, pool: str, row: ports.Row
    ) -> Accepted | codes.Refused:
        table = model.jobs_table(pool)
        key = call.job + model.CANCEL_SUFFIX
        outcome: ports.Outcome | None = None
        while True:
            left = call.deadline - ANSWER_MARGIN_SECONDS - clock.now()
            if left < LEAST_CALL_SECONDS:
                break
            outcome = self._store.transact(
                pool,
                [ports.Check(table, call.job, row.version)],
                [ports.Put(table, key, b"")],
                timeout=min(WRITE_SECONDS, left),
            )
            match outcome:
                case ports.Committed() | ports.Conflicted():
                    # A conflict means that the job has ended meanwhile.
                    return Accepted()
                case codes.Refused(code=codes.Result.CHANGE_UNKNOWN):
                    continue
                case codes.Refused():
                    return outcome
        return codes.Refused(
            codes.Result.CHANGE_UNKNOWN, "the store did not answer"
        )

    def pending(self, call: Call) -> QueueState | codes.Refused:
        """Return how many jobs of a queue have not begun."""
        refused = self._refused(call)
        if refused is not None:
            return refused
        try:
            return QueueState(self._count_pending(call))
        except (exceptions.CallFailed, msgspec.MsgspecError) as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))

    def _count_pending(self, call: Call) -> int:
        pool = call.queue.pool
        row = self._store.read(
            model.PENDING_TABLE,
            model.pending_part(pool),
            model.PENDING_KEY,
            READ_SECONDS,
        )
        if row is not None:
            found = model.decode(row.value, model.Pending)
            if self._store_clock() - found.written_at < PENDING_AGE_SECONDS:
                return found.counts.get(call.queue.name, 0)
        started = {
            row.key
            for row in self._store.scan(model.PROGRESS_TABLE, pool).rows
        }
        return sum(
            1
            for row in self._store.scan(model.jobs_table(pool), pool).rows
            if not row.key.endswith(model.CANCEL_SUFFIX)
            and row.key not in started
            and model.decode(row.value, model.Job).queue == call.queue.name
        )

    def _refused(self, call: Call) -> codes.Refused | None:
        caller = self._beliefs.caller(call.queue, call.key, clock.now())
        return caller if isinstance(caller, codes.Refused) else None

    def _pools(self, queue: rules.Queue) -> list[str]:
        """Return the pools that a job of a queue may be in."""
        configuration = self._beliefs.configuration
        others = configuration.working_pools() if configuration else []
        return [queue.pool, *(name for name in others if name != queue.pool)]


def _code(outcome: t.Any) -> str:
    if isinstance(outcome, codes.Refused):
        return outcome.code.name
    return "ACCEPTED"


def _name(outcome: t.Any) -> str:
    if isinstance(outcome, codes.Refused):
        return f"{outcome.code.name}: {outcome.reason}"
    return type(outcome).__name__
