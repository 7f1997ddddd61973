"""Application of a worker's listing to the state of its pool."""

from agaterudder.jobs import crashes
from agaterudder.jobs import fleet
from agaterudder.jobs import listedtasks
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import ports
from agaterudder.jobs import runends
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import storedattempts
from agaterudder.jobs import workerends
from agaterudder import resources


def apply(
    state: pools.Pool,
    worker: fleet.WorkerState,
    listing: ports.Listing,
    sent_at: float,
    now: float,
) -> None:
    """Apply a worker's listing of its running and ended runs.

    :param sent_at: when the poll that it answers was sent.
    """
    if listing.incarnation and listing.incarnation != worker.incarnation:
        if sent_at < worker.incarnation_known_at:
            # It may come from before the restart.
            return
        workerends.restarted(state, worker, listing.incarnation, now)
    if not worker.latest_deadline:
        # An earlier holder may have granted a lease of the full length.
        worker.latest_deadline = listing.clock + state.bounds.worker_lease
    worker.record_poll(listing, sent_at, now)
    for ended in listing.ended:
        if ended.number > worker.last_end_number:
            poolreports.skipped_ends(worker, ended.number)
            worker.last_end_number = ended.number
            runends.apply(state, worker, ended, now)
    present = {(item.task, item.run): item for item in listing.running}
    for item in listing.running:
        _apply_running(state, worker, item, now)
    for run in list(worker.runs.values()):
        if (run.task_name, run.number) not in present:
            _check_unlisted(state, run, listing, sent_at, now)


def _apply_running(
    state: pools.Pool,
    worker: fleet.WorkerState,
    item: ports.Running,
    now: float,
) -> None:
    run = worker.runs.get((item.task, item.run))
    if run is None:
        run = _adopt_run(state, worker, item, now)
    if run.stop_reason == runs.START_UNANSWERED and not run.stop_sent_at:
        run.stop_reason = ""
    if run.state is not runs.RunState.RUNNING:
        runstarts.record_running(state, run, now)
    if item.checkpoint:
        run.checkpoint = item.checkpoint
    run.progress = item.progress
    run.listed_at = now
    run.measurement = item.measurement
    crashes.run_listed(state, run, now)


def _adopt_run(
    state: pools.Pool,
    worker: fleet.WorkerState,
    item: ports.Running,
    now: float,
) -> runs.Run:
    """Adopt a run that an earlier holder started."""
    task = listedtasks.find(state, item.task, now)
    size = state.reserved_size(task.step) if task else resources.ZERO
    run = runs.Run(item.task, task, item.run, worker, now, size)
    worker.add(run)
    if task is None:
        run.stop_reason = "unknown job"
        run.size_known = False
        state.orphaned_runs.append(run)
        return run
    job = task.step.job
    listedtasks.report_duplicates(state, task, worker, item.run, "running")
    task.last_run = max(task.last_run, item.run)
    task.runs.append(run)
    crashes.adopt(state, run)
    state.limits.adopt(job.job.team, run.limit_key, task.step.step.size)
    if job.ending is not None or task.done:
        run.stop_reason = "job or task has ended"
    elif len(task.runs) > 1 and not task.step.step.speculative:
        run.stop_reason = "another run of the task exists"
    return run


def _check_unlisted(
    state: pools.Pool,
    run: runs.Run,
    listing: ports.Listing,
    sent_at: float,
    now: float,
) -> None:
    """Remove a run that is not listed, once it can't start any more.

    That is when its start has expired by the worker's clock, or the
    worker had confirmed a stop before the poll was sent.
    """
    if run.state is runs.RunState.RUNNING or listing.more_ends:
        # It has ended, or may have; a later listing contains the end.
        return
    start_expired = listing.clock > run.deadline and run.deadline > 0
    stopped = run.stop_answered_at and sent_at >= run.stop_answered_at
    if start_expired or stopped:
        reason = "start expired" if start_expired else "stop answered"
        storedattempts.withdraw(state, run)
        workerends.remove_run(state, run, f"not listed: {reason}", now)
