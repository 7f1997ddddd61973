"""A task that crashes each worker is started five times at most.

The holder of a pool counts the crashes under the task in its row. The first
start by the first holder is not written before, as nothing is known against
the task; if that holder ends, the job has begun as far as its row tells. Each
later start is an attempt that is stored before, so that a holder that ends
after it leaves it behind. Other holders take the
pool over at any moment; a former one may go on for a while without knowing
it. An answer of the store may be lost.

A holder recovers first: workers that accept its epoch carry out no start of
former holders, and an attempt whose worker still runs was not sent, or does no
harm any more, so that it is not counted. In the model each start ends its
worker.

A holder gives the task up at four crashes and attempts. That it does so
earlier, after a crash of a worker on which the task was alone, is left out.
"""

import typing as t

from models import specification

MAX_EVIDENCE = 4
MAX_STARTS = 5
MAX_EPOCH = 8

NO_ATTEMPT = "no attempt"
MARKED = "marked"
STORED = "stored"


class Memory(t.NamedTuple):
    """What a holder knows.

    :ivar epoch: its epoch, 0 when there is no such holder.
    :ivar known: crashes and attempts.
    :ivar attempt: whether the next start is being stored.
    :ivar unlearnt: whether a worker crashed under a start of it that it takes
        for running.
    :ivar recovered: whether it has read the lists of the workers.
    """

    epoch: int = 0
    known: int = 0
    attempt: str = NO_ATTEMPT
    unlearnt: bool = False
    recovered: bool = False


class Crashes(t.NamedTuple):
    """State of the model.

    :ivar present: the holder of the latest epoch.
    :ivar former: a holder that was deposed without knowing it.
    :ivar stored: crashes and attempts in the row.
    :ivar unsent: whether one of them is an attempt that was not sent.
    :ivar stored_by: epoch of the holder that wrote the row.
    :ivar starts: how often the task was started.
    """

    present: Memory = Memory(epoch=1, recovered=True)
    former: Memory = Memory()
    stored: int = 0
    unsent: bool = False
    stored_by: int = 0
    starts: int = 0


ATTEMPT = "write an attempt before the start"
WAIT = "start only once the attempt is stored"
EPOCH = "write is conditional on the epoch"
FENCED = "an attempt is settled once its worker accepted the epoch"
OUTLIVED = "an attempt is settled only if its worker still runs"
GUARDS = {
    ATTEMPT: "storedattempts.stored_numbers",
    WAIT: "storedattempts.stored_numbers",
    EPOCH: "journalwriter.JournalWriter._write_batch",
    FENCED: "crashes._outlived",
    OUTLIVED: "crashes._outlived",
}


def _started(s: Crashes, holder: Memory) -> tuple[Crashes, Memory]:
    own_row = s.stored_by == holder.epoch
    return s._replace(
        starts=s.starts + 1, unsent=s.unsent and not own_row
    ), holder._replace(attempt=NO_ATTEMPT, unlearnt=True)


def _recovered(s: Crashes, guards: frozenset[str]) -> Crashes:
    """Return the state after the present holder has recovered the pool."""
    settled = s.stored if OUTLIVED not in guards else int(s.unsent)
    return s._replace(
        present=s.present._replace(known=s.stored - settled, recovered=True)
    )


def _holder_steps(
    s: Crashes, holder: Memory, guards: frozenset[str]
) -> list[tuple[str, Crashes, Memory]]:
    """Return the steps of a holder: label, state, and its memory after."""
    found: list[tuple[str, Crashes, Memory]] = []
    fenced = holder.epoch < s.present.epoch and s.present.recovered
    if fenced and FENCED in guards:
        return found
    if holder.unlearnt:
        # A start that was written before is counted already.
        counted = ATTEMPT in guards and s.starts > 1
        known = holder.known + (0 if counted else 1)
        learnt = holder._replace(
            known=min(known, MAX_EVIDENCE), unlearnt=False
        )
        found.append(("crash is learnt", s, learnt))
    elif holder.attempt == STORED:
        found.append(("start", *_started(s, holder)))
    elif holder.attempt == MARKED:
        if WAIT not in guards:
            found.append(("start unstored", *_started(s, holder)))
    elif holder.known < MAX_EVIDENCE:
        if s.starts == 0 or ATTEMPT not in guards:
            found.append(("start", *_started(s, holder)))
        else:
            marked = holder._replace(known=holder.known + 1, attempt=MARKED)
            found.append(("attempt is marked", s, marked))
    return found


def _write(s: Crashes, holder: Memory, guards: frozenset[str]) -> Crashes:
    """Return the state after a write of the holder reached the store."""
    if holder.epoch != s.present.epoch and EPOCH in guards:
        return s
    return s._replace(
        stored=holder.known,
        unsent=holder.attempt != NO_ATTEMPT,
        stored_by=holder.epoch,
    )


def _confirmed(holder: Memory) -> Memory:
    if holder.attempt == MARKED:
        return holder._replace(attempt=STORED)
    return holder


def transitions(
    s: Crashes, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    s = _decoded(s)
    enabled: specification.Transitions = []
    for who, holder in (("present", s.present), ("former", s.former)):
        if not holder.epoch:
            continue
        if not holder.recovered:
            recovered = _recovered(s, guards)
            if who == "present":
                enabled.append(("present: recovers", recovered))
            else:
                deposed = s._replace(former=Memory())
                enabled.append(("former: learns that it is deposed", deposed))
            continue
        for label, after, memory in _holder_steps(s, holder, guards):
            changed = after._replace(**{who: memory})
            enabled.append((f"{who}: {label}", changed))
        written = _write(s, holder, guards)
        enabled.append((f"{who}: answer of the store is lost", written))
        if holder.epoch == s.present.epoch or EPOCH not in guards:
            confirmed = written._replace(**{who: _confirmed(holder)})
            enabled.append((f"{who}: write is confirmed", confirmed))
        elif who == "former":
            deposed = s._replace(former=Memory())
            enabled.append(("former: learns that it is deposed", deposed))
    if s.present.epoch < MAX_EPOCH:
        successor = Memory(epoch=s.present.epoch + 1, known=s.stored)
        taken = s._replace(present=successor, former=s.present)
        enabled.append(("take over", taken))
    return enabled


def _decoded(s: Crashes) -> Crashes:
    """Return a state whose holders are named tuples again."""
    return s._replace(present=Memory(*s.present), former=Memory(*s.former))


def invariant(s: Crashes) -> bool:
    """The task is not started too often."""
    return s.starts <= MAX_STARTS


SPECIFICATION = specification.Specification(
    "crashes", Crashes(), transitions, invariant, GUARDS
)
