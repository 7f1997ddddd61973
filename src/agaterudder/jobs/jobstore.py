"""Readings and writes of rows within the time of a client's call."""

import typing as t

import gevent

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import clock
from agaterudder.jobs import jobcalls
from agaterudder.jobs import ports

# Short enough to leave time for a second call after one without an answer.
WRITE_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 0.6
MIN_CALL_SECONDS = 0.05
# The store may fail a call at once: it resets connections, or answers without
# saying whether it stored a write.
MIN_REPEAT_INTERVAL_SECONDS = 0.05
# A store that rejects readings, as it does above its rate, may accept them
# soon; after this time it counts as away.
REJECTED_READ_SECONDS = 0.5
REJECTED_READ_PAUSE_SECONDS = 0.2


class JobStore:
    """Calls the store for the calls of clients."""

    __slots__ = ("_store",)

    def __init__(self, store: ports.Store) -> None:
        self._store = store

    def write(
        self,
        call: jobcalls.Call,
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
            left = call.answer_by - sent_at
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

    def read(
        self, table: str, pool: str, call: jobcalls.Call
    ) -> ports.Row | None:
        """Read a row of the job; retry after a failure if time is left."""
        until = call.answer_by
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
