"""A new holder reads a worker before it starts the worker's task again.

The first holder of a pool started a task on a worker. The second holder takes
the pool over and knows what the first one stored. A worker lists the ends of
its runs until they are acknowledged by their numbers, which begin at 1 in each
incarnation. The worker may be cut off for a while, and may restart once under
its name; a start that was late in arriving may then run in its second
incarnation, and its end has the same number as that of the first.

A restart breaks the connection, so that the poll after it gets no answer.
"""

import typing as t

from models import specification

NOT_ASKED = "not asked"
SILENT = "silent"
ANSWERED = "answered"


class Takeover(t.NamedTuple):
    """State of the model.

    :ivar holder: the present holder, 1 or 2.
    :ivar incarnation: the worker's, 1 or 2.
    :ivar reachable: whether the worker is not cut off.
    :ivar broken: whether a restart broke the connection to the worker.
    :ivar away: whether the worker was out of reach at some time since the
        take-over.
    :ivar running: whether the first run of the task is under way.
    :ivar listed: whether the worker lists an end.
    :ivar read: whether the holder has read that end.
    :ivar late_run_ended: whether the late start has run and ended.
    :ivar known_done: whether the holder knows that the task is done.
    :ivar stored: whether the store has that.
    :ivar run_seen: whether the holder knows of the first run.
    :ivar known_incarnation: the worker's incarnation as known to the holder.
    :ivar storing: incarnation whose end is being stored, 0 for none.
    :ivar cursor: number up to which polls acknowledge ends.
    :ivar asked: whether the second holder has polled the worker.
    :ivar unanswered: whether the last poll got no answer.
    :ivar leases_over: whether all leases of the first holder are over.
    :ivar started_again: whether the second holder started the task again.
    :ivar ran_twice: whether that start was one too many.
    :ivar end_lost: whether the worker discarded an end that nobody had read.
    """

    holder: int = 1
    incarnation: int = 1
    reachable: bool = True
    broken: bool = False
    away: bool = False
    running: bool = True
    listed: bool = False
    read: bool = False
    late_run_ended: bool = False
    known_done: bool = False
    stored: bool = False
    run_seen: bool = True
    known_incarnation: int = 1
    storing: int = 0
    cursor: int = 0
    asked: str = NOT_ASKED
    unanswered: bool = False
    leases_over: bool = False
    started_again: bool = False
    ran_twice: bool = False
    end_lost: bool = False


ASKED = "give a worker up only after it was asked in vain"
LEASES_OVER = "give a worker up only when its lease is over"
OWN_NUMBERS = "record a number only for the incarnation that listed it"
AFTER_ANSWER = "acknowledge nothing after a poll without an answer"
GUARDS = {
    ASKED: "pool.Pool.recovering",
    LEASES_OVER: "pool.Pool.recovering",
    OWN_NUMBERS: "fleet.WorkerState.acknowledge",
    AFTER_ANSWER: "fleet.WorkerState.end_to_acknowledge",
}


def _worker_transitions(s: Takeover) -> specification.Transitions:
    enabled: specification.Transitions = []
    if s.running:
        ended = s._replace(running=False, listed=True, read=False)
        enabled.append(("task ends", ended))
    if s.incarnation == 1:
        restarted = s._replace(
            incarnation=2, running=False, listed=False, broken=True, away=True
        )
        enabled.append(("worker restarts", restarted))
    if s.incarnation == 2 and not s.late_run_ended:
        late = s._replace(late_run_ended=True, listed=True, read=False)
        enabled.append(("late run ends", late))
    if s.incarnation > s.known_incarnation:
        enabled.append(("restart is registered", _with_restart_known(s)))
    cut = s._replace(reachable=not s.reachable, away=True)
    enabled.append(("cut" if s.reachable else "heal", cut))
    return enabled


def _with_restart_known(s: Takeover) -> Takeover:
    return s._replace(
        known_incarnation=2, cursor=0, read=False, run_seen=False
    )


def _poll(s: Takeover, guards: frozenset[str]) -> Takeover:
    """Return the state after the holder polled the worker."""
    if not s.reachable or s.broken:
        asked = SILENT if s.asked == NOT_ASKED else s.asked
        return s._replace(asked=asked, unanswered=True, broken=False)
    number = 0 if s.unanswered and AFTER_ANSWER in guards else s.cursor
    if number and s.listed:
        lost = s.end_lost or not s.read
        s = s._replace(listed=False, end_lost=lost)
    if s.incarnation > s.known_incarnation:
        s = _with_restart_known(s)
    s = s._replace(asked=ANSWERED, unanswered=False, run_seen=s.running)
    if not s.listed or s.read:
        return s
    done = s.known_done or s.incarnation == 1
    return s._replace(read=True, known_done=done, storing=s.incarnation)


def _with_end_stored(s: Takeover, guards: frozenset[str]) -> Takeover:
    """Return the state after the store confirmed what was being stored."""
    own = s.storing == s.known_incarnation
    cursor = 1 if own or OWN_NUMBERS not in guards else s.cursor
    return s._replace(stored=s.known_done, cursor=cursor, storing=0)


def _take_over(s: Takeover) -> Takeover:
    return s._replace(
        holder=2,
        away=not s.reachable or s.broken,
        read=False,
        known_done=s.stored,
        run_seen=False,
        storing=0,
        cursor=0,
        asked=NOT_ASKED,
        unanswered=False,
    )


def _may_start_again(s: Takeover, guards: frozenset[str]) -> bool:
    if s.known_done or s.run_seen or s.started_again:
        return False
    if s.asked == ANSWERED:
        return True
    asked = s.asked == SILENT or ASKED not in guards
    return asked and (s.leases_over or LEASES_OVER not in guards)


def _start_again(s: Takeover) -> Takeover:
    """Return the state after the second holder started the task again.

    The end of a run that the worker lists counts only if the worker was in
    reach all the time: otherwise its lease was over.
    """
    unread_end = s.listed and s.incarnation == 1 and not s.away
    return s._replace(started_again=True, ran_twice=s.running or unread_end)


def transitions(
    s: Takeover, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled = _worker_transitions(s)
    enabled.append(("poll", _poll(s, guards)))
    if s.storing:
        enabled.append(("end is stored", _with_end_stored(s, guards)))
    if s.holder == 1:
        enabled.append(("take over", _take_over(s)))
        return enabled
    if not s.leases_over:
        # Only polls with an answer renew a lease.
        running = s.running and s.asked == ANSWERED
        over = s._replace(leases_over=True, running=running)
        enabled.append(("leases are over", over))
    if _may_start_again(s, guards):
        enabled.append(("start again", _start_again(s)))
    return enabled


def invariant(s: Takeover) -> bool:
    """The task runs once, and no end is discarded unread."""
    return not s.ran_twice and not s.end_lost


SPECIFICATION = specification.Specification(
    "takeover", Takeover(), transitions, invariant, GUARDS
)
