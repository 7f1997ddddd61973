"""Crashes of workers under the runs of tasks.

A crash ends all runs of a worker, and one of them may have caused it. A task
that had just started is suspected at once, any other when it happens again.
A suspect starts apart from all others, so that the next crash tells. A start
that the worker never confirmed may have been sent to one that had crashed
before: it makes its task a suspect, and says no more. The worker of a suspect
is asked right before the start.
"""

import logging
import typing as t

from agaterudder import codes
from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import linelimit
from agaterudder.jobs import model
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import storedattempts
from agaterudder.jobs import suspects

LOG = logging.getLogger(__name__)

# A run that was sent this long before the first sign of a crash may have
# caused it by its start.
SUSPECT_AGE_SECONDS = 0.3
# A suspect that had only long-running tasks beside it is given up at this many
# crashes; one that was alone, at fewer.
MAX_CRASHES_ALONE = 2
MAX_CRASHES_APART = 3
# The same if tasks of the job are at work, which would all be stopped; or if
# other workers crash, and one of the crashes is a guess.
MAX_CRASHES_DOUBTED = 4
# The same with crashes under runs that had not just started.
MAX_CRASHES_LATE = 5
LINES_PER_SECOND = 20

_lines = linelimit.LineLimit(LINES_PER_SECOND)


def worker_crashed(
    state: pools.Pool, worker: fleet.WorkerState, now: float
) -> None:
    """Record that a worker crashed under its runs, and judge them."""
    _runs_crashed(state, list(worker.runs.values()), now)


def run_crashed(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Record that the worker of a run crashed, and judge it."""
    _runs_crashed(state, [run], now)


def _runs_crashed(
    state: pools.Pool, found: t.Iterable[runs.Run], now: float
) -> None:
    state.suspects.crash_seen(now)
    recorded = [run for run in found if _record(state, run, now)]
    for run in recorded:
        _judge(state, run, now)


def _confirmed(run: runs.Run) -> bool:
    """Return whether its worker had a run, or was alive to get its start."""
    return run.state is runs.RunState.RUNNING or run.probed


def _just_started(run: runs.Run, now: float) -> bool:
    """Return whether a run was started just before its worker crashed."""
    if run.listed_at - run.sent_at > SUSPECT_AGE_SECONDS:
        return False
    first_sign = run.worker.unanswered_since or now
    return run.sent_at > first_sign - SUSPECT_AGE_SECONDS


def _record(state: pools.Pool, run: runs.Run, now: float) -> bool:
    """Record a crash under a run; return whether it is a new one."""
    task = run.task
    if task is None or task.done or task.step.job.ending is not None:
        return False
    if run.started_up:
        # What crashes its worker now is not its start, and to give its job up
        # would stop the other tasks, which are at work.
        storedattempts.settle(state, task, run.number)
        return False
    progress = task.step.job.progress
    key = task.progress_key
    if any(
        run.number in known.get(key, ()) for known in progress.crash_records
    ):
        return False
    just_started = _just_started(run, now)
    if not _confirmed(run):
        known = progress.lost_starts
    elif just_started:
        known = progress.crashes
    else:
        known = progress.late_crashes
    known.setdefault(key, []).append(run.number)
    storedattempts.remove(progress, key, run.number)
    life = (run.worker.name, run.worker.incarnation)
    state.suspects.crash_under(task, now)
    if not just_started:
        state.suspects.add_victim(life, task, run.number)
    else:
        state.suspects.add_crash(life, task, run.number)
    if known is not progress.lost_starts:
        state.suspects.count(task)
    if known is progress.crashes and run.state is not runs.RunState.RUNNING:
        state.suspects.add_guess(run.number)
    state.journal.mark(task.step.job)
    return True


def _judge(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Suspect the task of a run that crashed, or give it up."""
    task = run.task
    if task is None or task.step.job.ending is not None:
        return
    just_started = _just_started(run, now)
    found = suspects.evidence(task)
    if not found.total - found.unresolved:
        # The cause of the crash is found.
        return
    if run.apart and _proven(state, run, found, now):
        give_up(state, task, found, run)
    elif just_started or found.total >= suspects.SUSPECT_CRASHES_LATE:
        state.suspects.add(task, just_started)
        _report_suspect(state, run, task, found, now)


def _proven(
    state: pools.Pool, run: runs.Run, found: suspects.Evidence, now: float
) -> bool:
    """Return whether the crash of its worker shows that a run caused it.

    A run that had lasted for a while may have met a crash of another cause,
    unless most crashes of the pool are under its task. So may one that had
    just started, if other workers crash too.
    """
    task = run.task
    if not _confirmed(run) or task is None:
        return False
    others_crash = state.suspects.others_crash(task, now)
    at_work = any(other.started_up for other in task.step.job.live_runs())
    if others_crash and at_work:
        return False
    if (
        found.crashes + found.late_crashes >= MAX_CRASHES_LATE
        and state.suspects.mostly_under(task)
    ):
        return True
    company = [
        other
        for other in run.worker.runs.values()
        if other.task is None or other.task.unit_name != task.unit_name
    ]
    most = MAX_CRASHES_APART if company else MAX_CRASHES_ALONE
    if at_work or others_crash and state.suspects.guessed(task):
        most = MAX_CRASHES_DOUBTED
    return found.crashes >= most


def _report_suspect(
    state: pools.Pool,
    run: runs.Run,
    task: jobruns.Task,
    found: suspects.Evidence,
    now: float,
) -> None:
    state.metrics.count("crashes_suspected", pool=state.name)
    if not _lines.take(now):
        return
    LOG.info(
        "task suspected of crashing its worker",
        extra={
            "pool": state.name,
            "task": task.name,
            "run": run.number,
            "worker": run.worker.name,
            "state": run.state.value,
            "age": round(now - run.sent_at, 3),
            "listed": round(max(run.listed_at - run.sent_at, 0.0), 3),
            "progress": run.progress,
            "beside": len(run.worker.runs) - 1,
            "apart": run.apart,
            "crashes": found.crashes,
            "unresolved": found.unresolved,
            "lost_starts": found.lost_starts,
            "late_crashes": found.late_crashes,
        },
    )


def give_up(
    state: pools.Pool,
    task: jobruns.Task,
    found: suspects.Evidence,
    run: runs.Run | None = None,
) -> None:
    """End the job of a task that crashes its workers as failed.

    :param run: the run under which the last worker crashed, None when only
        the stored attempts of earlier holders show it.
    """
    job = task.step.job
    code = codes.Result.CRASHES_WORKERS
    progress = job.progress
    LOG.warning(
        "job given up: its task crashes workers",
        extra={
            "pool": state.name,
            "job": job.job.job,
            "queue": job.job.queue,
            "team": job.job.team,
            "task": task.name,
            "crashes": progress.crashes.get(task.progress_key, []),
            "attempts": progress.attempts.get(task.progress_key, []),
            "lost_starts": progress.lost_starts.get(task.progress_key, []),
            "late_crashes": progress.late_crashes.get(task.progress_key, []),
            "worker": run.worker.name if run is not None else "",
            "beside": len(run.worker.runs) - 1 if run is not None else 0,
        },
    )
    state.metrics.count("jobs_given_up", pool=state.name, code=str(code.value))
    state.suspects.discard(task)
    victims, others = state.suspects.explained_by(task)
    for other, number in victims:
        _clear(state, other, number)
    for other in others:
        # It keeps the crash: it may be another cause.
        if suspects.evidence(other).total < suspects.SUSPECT_CRASHES:
            _end_suspicion(state, other)
    state.finish_job(
        job,
        model.STATE_FAILED,
        f"{found.total} workers crashed under task {task.name}",
        0.0,
        code,
    )


def _clear(state: pools.Pool, task: jobruns.Task, number: int) -> None:
    """Remove a crash from a task, as another one caused it."""
    _remove_crash(state, task, number)
    if not suspects.evidence(task).total:
        _end_suspicion(state, task)


def _end_suspicion(state: pools.Pool, task: jobruns.Task) -> None:
    state.suspects.discard(task)
    first = task.unit[0]
    if first.prepared is not None:
        storedattempts.settle(state, first, first.prepared.number)
        first.prepared = None


def resolve_attempts(state: pools.Pool) -> None:
    """Settle the attempts of earlier holders that crashed no worker.

    The pool has to be recovered, so that the runs and ends of earlier holders
    are known, and workers that accepted this epoch carry out none of their
    orders any more.
    """
    settled = 0
    for job in state.jobs.values():
        if not job.progress.attempt_workers:
            continue
        firsts = [
            task
            for step in job.steps.values()
            for task in step.tasks
            if task is task.unit[0]
            and task.progress_key in job.progress.attempts
        ]
        for task in firsts:
            settled += _resolve_attempts_of(state, task)
    if settled:
        LOG.info(
            "attempts settled: their workers still run",
            extra={"pool": state.name, "attempts": settled},
        )


def judge_attempts(state: pools.Pool, task: jobruns.Task) -> None:
    """Give a task up that has had too many attempts without an outcome.

    Some of their workers may have answered only since the pool's recovery.
    """
    _resolve_attempts_of(state, task)
    found = suspects.evidence(task)
    if found.exhausted:
        give_up(state, task, found)


def _resolve_attempts_of(state: pools.Pool, task: jobruns.Task) -> int:
    """Settle the harmless attempts of a task; return their number."""
    harmless = [
        number
        for number in suspects.unresolved_attempts(task)
        if number < state.first_run and _outlived(state, task, number)
    ]
    for number in harmless:
        storedattempts.settle(state, task, number)
    found = suspects.evidence(task)
    if harmless and found.total < suspects.SUSPECT_CRASHES_RESTORED:
        _end_suspicion(state, task)
    return len(harmless)


def _outlived(state: pools.Pool, task: jobruns.Task, number: int) -> bool:
    """Return whether all workers that an attempt names still run."""
    named = task.step.job.progress.attempt_workers.get(number, ())
    return bool(named) and all(
        life.incarnation
        and (worker := state.workers.get(life.worker)) is not None
        and worker.fenced
        and worker.incarnation == life.incarnation
        for life in named
    )


def run_listed(state: pools.Pool, run: runs.Run, now: float) -> None:
    """Apply that a worker lists a run as running."""
    task = run.task
    if task is None:
        return
    progress = task.step.job.progress
    if now - run.running_since >= suspects.REPEATED_ALONE_SECONDS:
        _forget(state, task, progress.crash_records)
    elif run.started_up:
        # Its start does not crash its worker.
        _forget(state, task, (progress.crashes, progress.lost_starts))
    if not run.attempt:
        return
    found = suspects.evidence(task)
    if now - run.running_since < found.alone_seconds:
        return
    if not all(member.runs for member in task.unit):
        return
    run.attempt = False
    storedattempts.settle(state, task, run.number)
    if run.apart:
        run.apart = False
        _end_suspicion(state, task)


def run_ended(
    state: pools.Pool, task: jobruns.Task, number: int, outcome: str
) -> None:
    """Apply that a worker lists the end of a run: it did not crash.

    :param outcome: an ``END_`` constant. The members of a gang end as broken
        when the worker of one of them crashes.
    """
    if outcome in (ports.END_BROKEN, ports.END_ALONE):
        return
    _remove_crash(state, task, number)
    storedattempts.settle(state, task, number)
    found = suspects.evidence(task)
    if task in state.suspects and found.total < suspects.REPEATED_CRASHES:
        _end_suspicion(state, task)


def adopt(state: pools.Pool, run: runs.Run) -> None:
    """Watch a run of an earlier holder that was stored before its start."""
    storedattempts.watch(run)
    task = run.task
    if not run.attempt or task is None or task not in state.suspects:
        return
    if suspects.evidence(task).total < suspects.SUSPECT_CRASHES:
        # It was suspected before this run was known.
        _end_suspicion(state, task)
        return
    run.apart = True


def _remove_crash(state: pools.Pool, task: jobruns.Task, number: int) -> None:
    progress = task.step.job.progress
    for known in progress.crash_records:
        if storedattempts.remove_number(known, task.progress_key, number):
            state.journal.mark(task.step.job)


def _forget(
    state: pools.Pool,
    task: jobruns.Task,
    records: t.Iterable[t.MutableMapping[str, list[int]]],
) -> None:
    """Forget crashes under a task that has done better since."""
    if not all(member.runs for member in task.unit):
        return
    for known in records:
        if known.pop(task.progress_key, None) is not None:
            state.journal.mark(task.step.job)
    if task.progress_key not in task.step.job.progress.late_crashes:
        state.suspects.forget_share(task)
