"""A start that got no answer, on a worker that may end and return.

The holder of a pool sent a task's start to a worker and got no answer. The
start may be lost, carried out at once, or late. The worker may be silent, may
end, and may return once under its name as a new incarnation, whose clock may
be set back, so that it carries out a start whose deadline is over. A second
worker is free and answers; the holder may start the task there.

When the list of machines shows that the worker has ended, the task starts
elsewhere at once. Two runs at once are not excluded altogether. Each time the
second one is on a returned incarnation, and a listing shows it to the holder:

* After a known end, or a stop that the earlier incarnation answered, the late
  start may run there until the holder has read the worker's list and the stop
  that it sends takes effect.
* A lapse that the holder notices after the longest delay ends the start too.
  The worker may have restarted, unheard, and carried it out just before.

The deadline of the start counts as over with the longest delay of an order.
The holder's process does not change; its successor knows nothing of the starts
that it remembers.
"""

import typing as t

from models import specification

NONE = "none"
UNCERTAIN = "uncertain"
RUNNING = "running"

NO_REASON = ""
UNANSWERED = "start unanswered"
RESTARTED = "worker restarted"
LATE = "start of an earlier incarnation"


class Record(t.NamedTuple):
    """The holder's record of the start on the worker.

    Only a record that is not of an earlier incarnation keeps the task from
    a start elsewhere.

    :ivar state: as the holder knows it.
    :ivar reason: why it is to be stopped, empty if it is not.
    :ivar stop_sent: whether a stop was sent.
    :ivar stop_answered: whether a stop was answered.
    :ivar polled: whether a poll was answered since.
    :ivar lacked: whether a listing lacked the run.
    """

    state: str = NONE
    reason: str = NO_REASON
    stop_sent: bool = False
    stop_answered: bool = False
    polled: bool = False
    lacked: bool = False

    @property
    def being_stopped(self) -> bool:
        """Whether the run is to be stopped."""
        return self.state != NONE and self.reason != NO_REASON


class LateStarts(t.NamedTuple):
    """State of the model.

    :ivar incarnation: the worker's, 1 or 2.
    :ivar up: whether the worker has not ended.
    :ivar reachable: whether it is not silent.
    :ivar in_flight: whether the start may still arrive.
    :ivar delay_over: whether the longest delay of an order has passed.
    :ivar lapsed: whether the worker's lease has lapsed.
    :ivar silent_long: whether it was silent for the longest delay and a
        lease.
    :ivar runs_here: whether the task runs on the worker.
    :ivar refuses: whether the incarnation was told to stop the run, so that
        it refuses the start.
    :ivar runs_elsewhere: whether the task runs on the second worker.
    :ivar known_incarnation: the incarnation known to the holder.
    :ivar end_known: whether the holder has learnt an end of the worker.
    :ivar listed: whether the known incarnation has answered a poll.
    :ivar remembered: whether the holder remembers the start of an
        incarnation that has ended, or has answered a stop of it.
    :ivar stopped: whether the first incarnation has answered a stop of it.
    :ivar settled: whether the holder has forgotten the start, as the lease
        lapsed and the longest delay was over.
    :ivar stopped_unasked: whether a run was stopped for want of an answer
        that no listing had lacked.
    """

    incarnation: int = 1
    up: bool = True
    reachable: bool = True
    in_flight: bool = True
    delay_over: bool = False
    lapsed: bool = False
    silent_long: bool = False
    runs_here: bool = False
    refuses: bool = False
    runs_elsewhere: bool = False
    known_incarnation: int = 1
    end_known: bool = False
    listed: bool = True
    record: Record = Record(UNCERTAIN, UNANSWERED)
    remembered: bool = False
    stopped: bool = False
    settled: bool = False
    stopped_unasked: bool = False


END_ENDS_STARTS = "the end of an incarnation ends its starts"
TOLD_TO_STOP = "a returned incarnation is told to stop the earlier starts"
STOPPED_REMEMBERED = "a start is remembered after its stop was answered"
SILENT_KEEPS = "a silent worker keeps its starts"
LISTED_KEPT = "a listed run is kept"
STOP_WAITS = "the stop of an unanswered start waits for a listing"
GUARDS = {
    END_ENDS_STARTS: "workerends.lost",
    TOLD_TO_STOP: "workerends.stop_late_starts",
    STOPPED_REMEMBERED: "workerends.remove_run",
    SILENT_KEEPS: "workerends.lost",
    LISTED_KEPT: "listings._apply_running",
    STOP_WAITS: "stops._stop_due",
}
# What the holder does, and the time that passes for a silent worker. The
# longest delay of an order is not among them for a worker that has ended.
STEPS = frozenset(
    {
        "poll",
        "end is learnt",
        "return is registered",
        "lapse is noticed",
        "silent for delay and lease",
        "silent worker is given up",
        "stop is answered",
        "stopped run ends",
        "start elsewhere",
    }
)


def _worker_transitions(s: LateStarts) -> specification.Transitions:
    enabled: specification.Transitions = []
    if s.in_flight:
        enabled.append(("start is lost", s._replace(in_flight=False)))
    if not s.delay_over:
        over = s._replace(in_flight=False, delay_over=True)
        enabled.append(("longest delay is over", over))
    if not s.up:
        if s.incarnation == 1:
            returned = s._replace(
                incarnation=2, up=True, lapsed=False, silent_long=False
            )
            enabled.append(("worker returns", returned))
        return enabled
    # After its lease the first incarnation rejects the start as late.
    if s.in_flight and (s.incarnation == 2 or not s.lapsed):
        carried_out = s._replace(in_flight=False, runs_here=not s.refuses)
        enabled.append(("start is carried out", carried_out))
    ended = s._replace(up=False, runs_here=False, refuses=False)
    enabled.append(("worker ends", ended))
    silent = s._replace(reachable=not s.reachable)
    enabled.append(("silent" if s.reachable else "heard again", silent))
    if s.refuses and s.runs_here:
        enabled.append(("stopped run ends", s._replace(runs_here=False)))
    if not s.reachable:
        enabled.extend(_silence_transitions(s))
    return enabled


def _silence_transitions(s: LateStarts) -> specification.Transitions:
    enabled: specification.Transitions = []
    if not s.lapsed:
        lapsed = s._replace(lapsed=True, runs_here=False)
        enabled.append(("lease lapses", lapsed))
    if not s.silent_long:
        over = s._replace(
            in_flight=False,
            delay_over=True,
            lapsed=True,
            silent_long=True,
            runs_here=False,
        )
        enabled.append(("silent for delay and lease", over))
    return enabled


def _with_return_known(s: LateStarts, guards: frozenset[str]) -> LateStarts:
    """Return the state after the holder learnt of the new incarnation."""
    record = s.record
    if record.state == RUNNING:
        record = Record()
    elif record.state == UNCERTAIN:
        record = record._replace(
            reason=RESTARTED, stop_sent=False, stop_answered=False
        )
    elif s.remembered and not s.delay_over and TOLD_TO_STOP in guards:
        record = Record(UNCERTAIN, LATE)
    return s._replace(
        known_incarnation=2, listed=False, record=record, remembered=False
    )


def _poll(s: LateStarts, guards: frozenset[str]) -> LateStarts:
    """Return the state after the worker answered a poll."""
    if s.incarnation > s.known_incarnation:
        s = _with_return_known(s, guards)
    s = s._replace(
        listed=True,
        lapsed=False,
        silent_long=False,
        record=s.record._replace(polled=s.record.state != NONE),
    )
    if s.runs_here:
        return s._replace(record=_listed_record(s, guards))
    stopped = s.incarnation == 1 and s.record.stop_answered
    remembered = stopped and not s.delay_over and STOPPED_REMEMBERED in guards
    return s._replace(
        record=_unlisted_record(s),
        stopped=s.stopped or stopped,
        remembered=s.remembered or remembered,
    )


def _listed_record(s: LateStarts, guards: frozenset[str]) -> Record:
    record = s.record
    if record.state == NONE:
        return Record(RUNNING, LATE if s.runs_elsewhere else NO_REASON)
    first = record.reason == UNANSWERED and not record.stop_sent
    if first and LISTED_KEPT in guards:
        record = record._replace(reason=NO_REASON)
    return record._replace(state=RUNNING)


def _unlisted_record(s: LateStarts) -> Record:
    record = s.record
    if record.state == RUNNING or record.stop_answered:
        return Record()
    if record.state == UNCERTAIN and s.delay_over and record.reason != LATE:
        return Record()
    return record._replace(lacked=record.state != NONE)


def _with_end_learnt(s: LateStarts, guards: frozenset[str]) -> LateStarts:
    """Return the state after the list of machines showed the end."""
    s = s._replace(end_known=True)
    if s.record.state != UNCERTAIN or s.delay_over:
        return s._replace(record=Record())
    if END_ENDS_STARTS not in guards:
        return s
    return s._replace(record=Record(), remembered=True)


def _with_lapse_noticed(s: LateStarts, guards: frozenset[str]) -> LateStarts:
    """Return the state after the holder knows that the lease has lapsed."""
    may_arrive = s.record.state == UNCERTAIN and not s.delay_over
    if may_arrive and SILENT_KEEPS in guards:
        return s._replace(listed=False)
    settled = s.record.state == UNCERTAIN and s.delay_over
    return s._replace(
        listed=False, record=Record(), settled=s.settled or settled
    )


def _stop_transitions(
    s: LateStarts, guards: frozenset[str]
) -> specification.Transitions:
    record = s.record
    waits = record.reason == UNANSWERED and not record.polled
    if not record.being_stopped or waits and STOP_WAITS in guards:
        return []
    sent = s._replace(record=record._replace(stop_sent=True))
    enabled = [("stop is lost", sent)]
    if s.up and s.reachable:
        unasked = record.reason == UNANSWERED and not record.lacked
        stopped = sent._replace(
            refuses=True,
            stopped_unasked=s.stopped_unasked or s.runs_here and unasked,
        )
        answered = sent.record._replace(stop_answered=True)
        enabled.append(("answer of stop is lost", stopped))
        enabled.append(("stop is answered", stopped._replace(record=answered)))
    return enabled


def transitions(
    s: LateStarts, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled = _worker_transitions(s)
    enabled.extend(_stop_transitions(s, guards))
    if s.up and s.reachable:
        enabled.append(("poll", _poll(s, guards)))
    if s.up and s.incarnation > s.known_incarnation:
        known = _with_return_known(s, guards)
        enabled.append(("return is registered", known))
    if not s.up:
        enabled.append(("end is learnt", _with_end_learnt(s, guards)))
    if s.up and s.lapsed and s.listed:
        noticed = _with_lapse_noticed(s, guards)
        enabled.append(("lapse is noticed", noticed))
    if s.silent_long and s.record.state != NONE:
        given_up = s._replace(record=Record())
        enabled.append(("silent worker is given up", given_up))
    waiting = s.record.state == NONE or s.record.reason == LATE
    if waiting and not s.runs_elsewhere:
        started = s._replace(runs_elsewhere=True)
        enabled.append(("start elsewhere", started))
    return enabled


def _runs_once(s: LateStarts) -> bool:
    return s.runs_here != s.runs_elsewhere


def invariant(s: LateStarts) -> bool:
    """The task runs once, and no run is stopped that a listing has shown.

    The module names the cases in which a returned incarnation may run it
    beside.
    """
    to_be_stopped = (
        s.known_incarnation == 1 or not s.listed or s.record.being_stopped
    )
    may_run_twice = s.incarnation == 2 and (
        s.settled or (s.end_known or s.stopped) and to_be_stopped
    )
    runs_twice = s.runs_here and s.runs_elsewhere
    return (may_run_twice or not runs_twice) and not s.stopped_unasked


def stuck(s: LateStarts, guards: frozenset[str]) -> bool:
    """Return whether the task runs nowhere, or twice, and stays so."""
    return not _runs_once(s) and not specification.leads_to(
        s,
        lambda state: transitions(state, guards),
        STEPS,
        _runs_once,
    )


SPECIFICATION = specification.Specification(
    "latestarts", LateStarts(), transitions, invariant, GUARDS, stuck
)
