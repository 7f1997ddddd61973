"""Ends of tasks, acknowledged to the worker only once they are stored.

An end is a worker's record that a task has ended. The process that holds the
lease of a pool polls the pool's workers for their ends and stores the
progress of the jobs. Each new holder has a higher epoch, which is the
fencing token of its writes and of its calls to workers.

The model has one worker, two jobs and two processes, the second of which
takes over the pool from the first. Each transaction stores one job; its
response may be lost, or it may take effect late. The worker deletes an end
once it is acknowledged, so a task whose end was acknowledged but not stored
would run again.
"""

import typing as t

from models import specification

# Job of the task that each modelled end belongs to.
JOB_BY_END = {"a": 0, "b1": 1, "b2": 1}
# Highest version of a row, which bounds the state space.
MAX_VERSION = 2

EndSet = frozenset[str]


class Row(t.NamedTuple):
    """Stored progress of a job."""

    version: int = 0
    ends: EndSet = frozenset()


class Write(t.NamedTuple):
    """A transaction that stores the progress of one job.

    :ivar epoch: epoch of the process that sent it.
    :ivar version: version that the job's row must have.
    :ivar ends: ends of the job that it stores.
    """

    epoch: int
    job: int
    version: int
    ends: EndSet


class Process(t.NamedTuple):
    """State of a process; the second takes over the pool from the first.

    A mark is the sequence number of a change that is to be stored.

    :ivar epoch: epoch under which it believes that it holds the pool, 0 when
        it knows that it does not.
    :ivar marks: known ends, each with the mark that must be stored before
        it is acknowledged; 0 for an end that was read from a row.
    :ivar dirty: jobs with progress to store, in the order of writing, each
        with a mark: that of its oldest change not stored, by OLDEST_MARK.
    :ivar last_mark: last mark that was assigned.
    :ivar stored_mark: all marks up to this one count as stored.
    :ivar versions: last known versions of the rows.
    """

    epoch: int = 0
    marks: tuple[tuple[str, int], ...] = ()
    dirty: tuple[tuple[int, int], ...] = ()
    last_mark: int = 0
    stored_mark: int = 0
    versions: tuple[int, int] = (0, 0)


class Ends(t.NamedTuple):
    """State of the model.

    :ivar epoch: epoch of the process that holds the pool.
    :ivar fence: highest epoch that the worker has seen; it refuses calls
        with a lower one.
    :ivar happened: ends that have happened on the worker.
    :ivar acknowledged: ends that were acknowledged to the worker.
    :ivar in_flight: a transaction that may still take effect.
    """

    epoch: int
    fence: int
    happened: EndSet
    acknowledged: EndSet
    rows: tuple[Row, Row]
    processes: tuple[Process, Process]
    in_flight: Write | None


OLDEST_MARK = "a dirty job keeps its oldest mark"
STORED_BEFORE_ACK = "acknowledge only after the mark is stored"
EPOCH_CONDITION = "write is conditional on the epoch"
VERSION_CONDITION = "write is conditional on the row version"
GUARDS = {
    OLDEST_MARK: "journal.Journal.mark",
    STORED_BEFORE_ACK: "workerloop.WorkerLoop._apply_listing",
    EPOCH_CONDITION: "journalwriter.JournalWriter._write_batch",
    VERSION_CONDITION: "journal.Journal.batch",
}


def _with_process(s: Ends, index: int, process: Process) -> Ends:
    first, second = s.processes
    pair = (process, second) if index == 0 else (first, process)
    return s._replace(processes=pair)


def _applies(s: Ends, write: Write, guards: frozenset[str]) -> bool:
    if EPOCH_CONDITION in guards and write.epoch != s.epoch:
        return False
    if (
        VERSION_CONDITION in guards
        and write.version != s.rows[write.job].version
    ):
        return False
    return s.rows[write.job].version < MAX_VERSION


def _apply(s: Ends, write: Write) -> Ends:
    rows = list(s.rows)
    rows[write.job] = Row(rows[write.job].version + 1, write.ends)
    return s._replace(rows=(rows[0], rows[1]))


def _poll(s: Ends, index: int, guards: frozenset[str]) -> Ends:
    """Return the state after a process polled the worker for its ends."""
    process = s.processes[index]
    known = dict(process.marks)
    dirty = dict(process.dirty)
    last_mark = process.last_mark
    for end in sorted(s.happened - s.acknowledged - set(known)):
        last_mark += 1
        known[end] = last_mark
        job = JOB_BY_END[end]
        if OLDEST_MARK in guards:
            dirty.setdefault(job, last_mark)
        else:
            dirty[job] = last_mark
    after = process._replace(
        marks=tuple(sorted(known.items())),
        dirty=tuple(dirty.items()),
        last_mark=last_mark,
    )
    return _with_process(s._replace(fence=process.epoch), index, after)


def _committed(process: Process, job: int, version: int) -> Process:
    """Return the process after its write of a job was confirmed."""
    remaining = tuple(item for item in process.dirty if item[0] != job)
    last_stored = (
        min((mark for _, mark in remaining), default=process.last_mark + 1) - 1
    )
    versions = list(process.versions)
    versions[job] = version
    return process._replace(
        dirty=remaining,
        stored_mark=max(process.stored_mark, last_stored),
        versions=(versions[0], versions[1]),
    )


def _conflicted(s: Ends, process: Process, guards: frozenset[str]) -> Process:
    """Return the process after its write failed a condition.

    It steps down when the epoch is another one, and otherwise reads the
    versions of the rows again.
    """
    if EPOCH_CONDITION in guards and process.epoch != s.epoch:
        return Process()
    return process._replace(versions=(s.rows[0].version, s.rows[1].version))


def _store_transitions(
    s: Ends, index: int, guards: frozenset[str]
) -> specification.Transitions:
    process = s.processes[index]
    if not process.dirty:
        return []
    job = process.dirty[0][0]
    ends = frozenset(end for end, _ in process.marks if JOB_BY_END[end] == job)
    write = Write(process.epoch, job, process.versions[job], ends)
    enabled: specification.Transitions = []
    if s.in_flight is None:
        enabled.append(("store, delayed", s._replace(in_flight=write)))
    if not _applies(s, write, guards):
        conflicted = _conflicted(s, process, guards)
        enabled.append(
            ("store, conflict", _with_process(s, index, conflicted))
        )
        return enabled
    applied = _apply(s, write)
    enabled.append(("store, response lost", applied))
    version = applied.rows[job].version
    committed = _committed(process, job, version)
    enabled.append(("store", _with_process(applied, index, committed)))
    return enabled


def _process_transitions(
    s: Ends, index: int, guards: frozenset[str]
) -> specification.Transitions:
    process = s.processes[index]
    if not process.epoch:
        return []
    enabled = _store_transitions(s, index, guards)
    if process.epoch < s.fence:
        return enabled
    polled = _poll(s, index, guards)
    if polled != s:
        enabled.append(("poll", polled))
    ready = frozenset(
        end
        for end, mark in process.marks
        if mark <= process.stored_mark or STORED_BEFORE_ACK not in guards
    )
    if not ready <= s.acknowledged:
        acknowledged = s._replace(
            acknowledged=s.acknowledged | ready, fence=process.epoch
        )
        enabled.append(("acknowledge", acknowledged))
    return enabled


def _take_over(s: Ends) -> Ends:
    """Return the state after the second process took over the pool.

    It knows the ends that it has read from the rows.
    """
    known = sorted(s.rows[0].ends | s.rows[1].ends)
    process = Process(
        epoch=s.epoch + 1,
        marks=tuple((end, 0) for end in known),
        versions=(s.rows[0].version, s.rows[1].version),
    )
    return _with_process(s._replace(epoch=s.epoch + 1), 1, process)


def transitions(s: Ends, guards: frozenset[str]) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = [
        (f"{end} ends", s._replace(happened=s.happened | {end}))
        for end in JOB_BY_END
        if end not in s.happened
    ]
    if s.epoch == 1:
        enabled.append(("take over", _take_over(s)))
    if s.in_flight is not None:
        after = s._replace(in_flight=None)
        if _applies(s, s.in_flight, guards):
            after = _apply(after, s.in_flight)
        enabled.append(("delayed write arrives", after))
    for index in (0, 1):
        enabled.extend(_process_transitions(s, index, guards))
    return enabled


def invariant(s: Ends) -> bool:
    """Every acknowledged end is stored."""
    return s.acknowledged <= s.rows[0].ends | s.rows[1].ends


SPECIFICATION = specification.Specification(
    "ends",
    Ends(
        1,
        0,
        frozenset(),
        frozenset(),
        (Row(), Row()),
        (Process(epoch=1), Process()),
        None,
    ),
    transitions,
    invariant,
    GUARDS,
)
