"""Ends of tasks: acknowledged to the worker only when they are stored.

One worker, two jobs and two processes, of which the second takes the pool
from the first. A transaction stores one job; its answer may be lost, or it
may take effect late. What a worker's end is acknowledged by is forgotten
there, so an acknowledged end that is not stored lets its task run again.
"""

import typing as t

from models import specification

# The ends that may happen, and the job of each.
JOB_OF = {"a": 0, "b1": 1, "b2": 1}
MAX_VERSION = 2

Content = frozenset[str]


class Row(t.NamedTuple):
    """Stored progress of a job."""

    version: int = 0
    ends: Content = frozenset()


class Write(t.NamedTuple):
    """A transaction.

    :ivar epoch: of the process that sent it.
    :ivar version: version that the job's row must have.
    """

    epoch: int
    job: int
    version: int
    ends: Content


class Process(t.NamedTuple):
    """A process that holds, or held, the pool.

    :ivar epoch: what it believes, 0 when it knows that it has no pool.
    :ivar marks: known ends, each with the mark that it waits for.
    :ivar dirty: jobs to store, in order, each with its mark.
    :ivar marked: last mark.
    :ivar stored: marks up to here count as stored.
    :ivar versions: versions of the rows as it knows them.
    """

    epoch: int = 0
    marks: tuple[tuple[str, int], ...] = ()
    dirty: tuple[tuple[int, int], ...] = ()
    marked: int = 0
    stored: int = 0
    versions: tuple[int, int] = (0, 0)


class Ends(t.NamedTuple):
    """State.

    :ivar fence: highest epoch that the worker has seen.
    :ivar late: a transaction that may still take effect.
    """

    epoch: int
    fence: int
    happened: Content
    acknowledged: Content
    rows: tuple[Row, Row]
    processes: tuple[Process, Process]
    late: Write | None


OLDEST_MARK = "a job keeps its oldest mark"
STORED_FIRST = "acknowledged when the mark is stored"
EPOCH = "epoch is a condition"
VERSION = "version of the row is a condition"
GUARDS = {
    OLDEST_MARK: "journal.Journal.mark",
    STORED_FIRST: "workerloop.WorkerLoop._take",
    EPOCH: "storing.Storing._write_batch",
    VERSION: "journal.Journal.batch",
}


def _with(s: Ends, number: int, process: Process) -> Ends:
    first, second = s.processes
    pair = (process, second) if number == 0 else (first, process)
    return s._replace(processes=pair)


def _applies(s: Ends, write: Write, guards: frozenset[str]) -> bool:
    if EPOCH in guards and write.epoch != s.epoch:
        return False
    if VERSION in guards and write.version != s.rows[write.job].version:
        return False
    return s.rows[write.job].version < MAX_VERSION


def _apply(s: Ends, write: Write) -> Ends:
    rows = list(s.rows)
    rows[write.job] = Row(rows[write.job].version + 1, write.ends)
    return s._replace(rows=(rows[0], rows[1]))


def _list(s: Ends, number: int, guards: frozenset[str]) -> Ends:
    """Let a process learn of the ends that the worker lists."""
    process = s.processes[number]
    known = dict(process.marks)
    dirty = dict(process.dirty)
    marked = process.marked
    for end in sorted(s.happened - s.acknowledged - set(known)):
        marked += 1
        known[end] = marked
        job = JOB_OF[end]
        if OLDEST_MARK in guards:
            dirty.setdefault(job, marked)
        else:
            dirty[job] = marked
    after = process._replace(
        marks=tuple(sorted(known.items())),
        dirty=tuple(dirty.items()),
        marked=marked,
    )
    return _with(s._replace(fence=process.epoch), number, after)


def _committed(process: Process, job: int, version: int) -> Process:
    left = tuple(item for item in process.dirty if item[0] != job)
    upto = min((mark for _, mark in left), default=process.marked + 1) - 1
    versions = list(process.versions)
    versions[job] = version
    return process._replace(
        dirty=left,
        stored=max(process.stored, upto),
        versions=(versions[0], versions[1]),
    )


def _conflicted(s: Ends, process: Process, guards: frozenset[str]) -> Process:
    if EPOCH in guards and process.epoch != s.epoch:
        return Process()
    return process._replace(versions=(s.rows[0].version, s.rows[1].version))


def _steps_store(
    s: Ends, number: int, guards: frozenset[str]
) -> specification.Steps:
    process = s.processes[number]
    if not process.dirty:
        return []
    job = process.dirty[0][0]
    ends = frozenset(end for end, _ in process.marks if JOB_OF[end] == job)
    write = Write(process.epoch, job, process.versions[job], ends)
    found: specification.Steps = []
    if s.late is None:
        found.append(("store, late", s._replace(late=write)))
    if not _applies(s, write, guards):
        conflicted = _conflicted(s, process, guards)
        found.append(("store, conflict", _with(s, number, conflicted)))
        return found
    applied = _apply(s, write)
    found.append(("store, answer lost", applied))
    version = applied.rows[job].version
    stored = _committed(process, job, version)
    found.append(("store", _with(applied, number, stored)))
    return found


def _steps_process(
    s: Ends, number: int, guards: frozenset[str]
) -> specification.Steps:
    process = s.processes[number]
    if not process.epoch:
        return []
    found = _steps_store(s, number, guards)
    if process.epoch < s.fence:
        return found
    listed = _list(s, number, guards)
    if listed != s:
        found.append(("list", listed))
    done = frozenset(
        end
        for end, mark in process.marks
        if mark <= process.stored or STORED_FIRST not in guards
    )
    if not done <= s.acknowledged:
        acknowledged = s._replace(
            acknowledged=s.acknowledged | done, fence=process.epoch
        )
        found.append(("acknowledge", acknowledged))
    return found


def _take_over(s: Ends) -> Ends:
    """Let the second process take the pool and read the rows."""
    known = sorted(s.rows[0].ends | s.rows[1].ends)
    process = Process(
        epoch=s.epoch + 1,
        marks=tuple((end, 0) for end in known),
        versions=(s.rows[0].version, s.rows[1].version),
    )
    return _with(s._replace(epoch=s.epoch + 1), 1, process)


def steps(s: Ends, guards: frozenset[str]) -> specification.Steps:
    """Return the steps from a state."""
    found: specification.Steps = [
        (f"{end} ends", s._replace(happened=s.happened | {end}))
        for end in JOB_OF
        if end not in s.happened
    ]
    if s.epoch == 1:
        found.append(("take over", _take_over(s)))
    if s.late is not None:
        after = s._replace(late=None)
        if _applies(s, s.late, guards):
            after = _apply(after, s.late)
        found.append(("late write arrives", after))
    for number in (0, 1):
        found.extend(_steps_process(s, number, guards))
    return found


def promise(s: Ends) -> bool:
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
    steps,
    promise,
    GUARDS,
)
