"""Finds tasks whose turn has come and that do not run, and says why.

The functions change nothing. The reasons follow the order in which
:mod:`planning` examines a task.
"""

import collections
import dataclasses
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import runs
from agaterudder import resources

STALL_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """A task that does not run although its turn has come.

    :ivar since: since when nothing of its job has been running; for a
        long-running task, since when it has not been running itself.
    """

    task: jobruns.Task
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """Why a task has not started.

    :ivar details: what the reason rests on.
    """

    why: str
    details: str = ""


def find(state: pools.Pool, now: float) -> list[Stall]:
    """Return the stalled tasks, the oldest first.

    That is every long-running task, and of any other step the first task of
    a job of which nothing runs.
    """
    by_job: dict[str, list[jobruns.StepRun]] = collections.defaultdict(list)
    for step in state.ready.values():
        if step.ready_at and step.job.ending is None:
            by_job[step.job.job.job].append(step)
    found = [
        stall
        for steps in by_job.values()
        if any(now - step.ready_at > STALL_SECONDS for step in steps)
        for stall in _of_job(steps, now)
        if now - stall.since > STALL_SECONDS
    ]
    return sorted(found, key=lambda stall: stall.since)


def forgotten(state: pools.Pool) -> list[jobruns.JobRun]:
    """Return jobs that have not ended and have nothing left to start.

    There are none unless a step was dropped before its tasks were done.
    """
    present = {
        step.job.job.job for step in state.ready.values() if step.ready_at
    }
    return [
        job
        for name, job in state.jobs.items()
        if job.ending is None
        and name not in present
        and name not in state.awaiting_occurrences
    ]


def _of_job(steps: list[jobruns.StepRun], now: float) -> t.Iterator[Stall]:
    """Return the tasks of a job that do not run.

    :param steps: its steps that are ready and unfinished.
    """
    job = steps[0].job
    finite: list[jobruns.Task] = []
    job_runs = False
    for step in steps:
        for task in step.tasks:
            if task.done or _runs(task, now):
                job_runs = job_runs or not task.done
            elif step.step.long_running:
                yield Stall(task, _stopped_at(task, step.ready_at))
            else:
                finite.append(task)
    if finite and not job_runs:
        first = min(finite, key=lambda task: task.step.ready_at)
        stopped_at = max(_stopped_at(task, 0.0) for task in finite)
        since = max(first.step.ready_at, job.stopped_at, stopped_at)
        yield Stall(first, since)


def _runs(task: jobruns.Task, now: float) -> bool:
    """Return whether a run of a task is known to run at present."""
    return bool(task.runs) and any(
        _running(run) and not run.unreachable(now) for run in task.runs
    )


def _running(run: runs.Run) -> bool:
    return run.state is runs.RunState.RUNNING


def _stopped_at(task: jobruns.Task, ready_at: float) -> float:
    """Return since when a task does not run, as far as is known."""
    if not task.runs:
        return max(ready_at, task.stopped_at)
    heard = [run.worker.polled_at for run in task.runs if _running(run)]
    return max([ready_at, task.stopped_at, *heard])


def reason(
    state: pools.Pool, task: jobruns.Task, lease_held: bool, now: float
) -> Reason:
    """Return why a task has not started.

    :param lease_held: whether this process holds the pool's lease.
    """
    step = task.step
    if not lease_held:
        return Reason("pool lease not held")
    if task.runs:
        return _reason_of_run(task.runs[-1], now)
    if step.job.recovered and state.recovery.pending(now):
        missing = sorted(state.recovery.unconfirmed_workers)
        return Reason("recovery not complete", poolreports.names(missing))
    if task.not_before > now:
        return Reason("its last start was rejected as invalid")
    if step.step.gang and any(not other.waiting for other in step.tasks):
        return Reason("a task of its gang does not wait")
    if task in state.suspects:
        kept = poolreports.names(sorted(state.kept_workers))
        return Reason("suspected: waits for a worker to itself", kept)
    return _reason_of_workers(state, task, now)


def _reason_of_run(run: runs.Run, now: float) -> Reason:
    details = f"{run.number}@{run.worker.name}"
    match run.state:
        case runs.RunState.SENT:
            return Reason("start is under way", details)
        case runs.RunState.UNCERTAIN:
            return Reason("start not answered, outcome unknown", details)
    heard = run.worker.heard(now)
    return Reason("its worker does not answer", f"{details} heard={heard}")


def _reason_of_workers(
    state: pools.Pool, task: jobruns.Task, now: float
) -> Reason:
    step = task.step
    label = step.step.required_label
    obstacles = {
        worker.name: obstacle(worker, state.taken_out, label, now)
        for worker in state.workers.values()
    }
    usable = [
        worker
        for worker in state.workers.values()
        if not obstacles[worker.name]
    ]
    counts = _counts(obstacles.values())
    if not usable:
        return Reason("no usable worker", counts)
    allowed = _allowed_by_policy(state, step, usable, now)
    if isinstance(allowed, Reason):
        return allowed
    need = state.reserved_size(step)
    with_room = [worker for worker in allowed if need.fits_in(worker.free)]
    if not with_room:
        return Reason("no worker with room", f"{_size(need)} {counts}")
    within = [worker for worker in with_room if _within_limit(step, worker)]
    if not within:
        return Reason("worker limit of the step", counts)
    return _reason_of_grant(state, step)


def _reason_of_grant(state: pools.Pool, step: jobruns.StepRun) -> Reason:
    team = step.job.job.team
    limits = state.limits
    if limits.limited(team) and not limits.covers(team, step.step.size):
        return Reason("no grant of the team's limit", team)
    if step.step.gang or step.step.rack_local:
        return Reason("its step does not fit as a whole")
    if step.step.data_rack:
        return Reason("waits for the rack of its data", step.step.data_rack)
    return Reason("not reached: other steps come first in a round")


def _allowed_by_policy(
    state: pools.Pool,
    step: jobruns.StepRun,
    usable: list[fleet.WorkerState],
    now: float,
) -> list[fleet.WorkerState] | Reason:
    """Return the workers that the placement policy allows."""
    if state.queue_of(step).policy is None:
        return usable
    tickets = step.tickets
    if tickets is None or tickets.until <= now:
        asked = "asked" if step.policy_request_pending else "not asked"
        return Reason("no ticket of the policy", asked)
    allowed = [worker for worker in usable if worker.name in tickets.by_worker]
    if not allowed:
        return Reason(
            "no ticket of the policy",
            f"for none of {len(usable)} usable workers",
        )
    return allowed


def obstacle(
    worker: fleet.WorkerState,
    taken_out: t.Container[str],
    label: str,
    now: float,
) -> str:
    """Return why a worker gets no start of a task, empty if it may.

    :param taken_out: data centres that are out of service.
    :param label: label that the task requires, empty without one.
    """
    if (
        worker.accepts_tasks(now)
        and worker.registration.data_centre not in taken_out
        and (not label or label in worker.registration.labels)
    ):
        return ""
    obstacles = {
        "terminated": worker.terminated,
        "end_asked": worker.end_asked,
        "unregistered": not worker.registered,
        "taken_out": worker.registration.data_centre in taken_out,
        "unresponsive": worker.unresponsive(now),
        "not_fenced": not worker.fenced,
        "not_persisted": not worker.persisted,
        "cordoned": bool(worker.cordon_reason),
        "quarantined": worker.quarantined_until > now,
        "full": worker.full_until > now,
        "unknown_sizes": not all(
            run.size_known for run in worker.runs.values()
        ),
        "without_label": bool(label)
        and label not in worker.registration.labels,
    }
    return next((name for name, holds in obstacles.items() if holds), "")


def _within_limit(step: jobruns.StepRun, worker: fleet.WorkerState) -> bool:
    limit = step.step.max_per_worker
    return not limit or step.count_on_worker(worker.name) < limit


def _counts(obstacles: t.Iterable[str]) -> str:
    """Return how many workers are usable, and why the others are not."""
    counts = collections.Counter(obstacles)
    usable = counts.pop("", 0)
    return " ".join(
        [f"usable={usable}"]
        + [f"{name}={count}" for name, count in sorted(counts.items())]
    )


def _size(need: resources.Vector) -> str:
    return f"cores={need.cores:g} memory={need.memory:g}"
