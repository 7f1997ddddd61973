"""Steps on the state and the scheduling of a pool."""

import typing as t
from unittest import mock

import behave

from agaterudder.jobs import fleet
from agaterudder.jobs import holder
from agaterudder.jobs import leases
from agaterudder.jobs import listings
from agaterudder.jobs import model
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import orders
from agaterudder.jobs import planning
from agaterudder.jobs import ports
from agaterudder.jobs import ratelimit
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import workerends
from agaterudder.jobs import workerloop
from agaterudder import resources
from tests import job_builders

Context = t.Any
LEASE_SECONDS = 3.0


def _accept(context: Context, job: model.Job, recovered: bool = False) -> None:
    context.state.accept(job, model.Progress(), 0, context.now, recovered)
    context.state.create_due(0.0, context.now)


def _runs(context: Context) -> list[runs.Run]:
    return [
        run
        for worker in context.state.workers.values()
        for run in worker.runs.values()
    ]


def _starts(context: Context) -> list[orders.Start]:
    return [item for item in context.orders if isinstance(item, orders.Start)]


def _clock(context: Context) -> float:
    """Return the present reading of the workers' clocks."""
    return job_builders.START_CLOCK + context.now - job_builders.START


def _list(context: Context, progress: int = 0, incarnation: int = 1) -> None:
    """Apply a listing of each worker with all its runs as running."""
    for worker in context.state.workers.values():
        running = [
            ports.Running(run.task_name, run.number, "", progress)
            for run in worker.runs.values()
        ]
        listing = job_builders.listing(
            running, clock=_clock(context), incarnation=incarnation
        )
        listings.apply(
            context.state, worker, listing, context.now, context.now
        )


def _end(context: Context, run: runs.Run, outcome: str) -> None:
    worker = run.worker
    others = [
        ports.Running(other.task_name, other.number, "", 0)
        for other in worker.runs.values()
        if other is not run
    ]
    ended = ports.Ended(
        worker.last_end_number + 1, run.task_name, run.number, outcome, ""
    )
    listings.apply(
        context.state,
        worker,
        job_builders.listing(others, [ended]),
        context.now,
        context.now,
    )


def _list_nothing(
    context: Context,
    clock: float,
    incarnation: int = 1,
    more_ends: bool = False,
) -> None:
    listings.apply(
        context.state,
        context.run.worker,
        job_builders.listing(
            clock=clock, incarnation=incarnation, more_ends=more_ends
        ),
        context.now,
        context.now,
    )


@behave.given("a pool with {count:d} workers")
def step_pool(context: Context, count: int) -> None:
    context.now = job_builders.START
    context.orders = []
    context.workers = [
        job_builders.worker(f"w{number + 1}") for number in range(count)
    ]
    context.state = job_builders.state(context.workers)


@behave.given("a pool with capacity for 1 task")
def step_small_pool(context: Context) -> None:
    context.now = job_builders.START
    context.orders = []
    size = resources.Vector(1.0, 1_000.0)
    context.state = job_builders.state(
        [job_builders.worker("w1", size=size)],
        job_builders.configuration(
            teams=(
                operatorconfig.Team("tally", weight=2.0),
                operatorconfig.Team("grants", weight=2.0),
            )
        ),
    )


@behave.given('a job "{name}" that was accepted {age:g} seconds ago')
def step_aged(context: Context, name: str, age: float) -> None:
    _accept_aged(context, name, context.now - age)


@behave.given('a job "{name}" that was accepted just now')
def step_new(context: Context, name: str) -> None:
    _accept_aged(context, name, context.now)


@behave.given('a job "{name}" that is the third of its team within a second')
def step_third(context: Context, name: str) -> None:
    for _ in range(2):
        context.state._submission_buckets.setdefault(
            "grants", ratelimit.TokenBucket()
        ).take_token(2.0, context.now - 0.1)
    _accept_aged(context, name, context.now - 0.1, "grants")


def _accept_aged(
    context: Context, name: str, accepted_at: float, team: str = "tally"
) -> None:
    job = job_builders.job(
        job_builders.step(count=1), job=name * 16, team=team
    )
    context.state.accept(job, model.Progress(), 0, accepted_at, False)
    context.state.create_due(0.0, accepted_at)


@behave.then("{count:d} workers have a run")
def step_workers_used(context: Context, count: int) -> None:
    used = {run.worker.name for run in _runs(context)}
    assert len(used) == count, used


@behave.then('only job "{name}" has a run')
def step_only_run(context: Context, name: str) -> None:
    found = {run.task_name.partition(".")[0] for run in _runs(context)}
    assert found == {name * 16}, found


@behave.given("a job of {count:d} tasks of 1 core")
def step_job(context: Context, count: int) -> None:
    _accept(context, job_builders.job(job_builders.step(count=count)))


@behave.given("a job of {count:d} tasks of 1 core, copies being {copies}")
def step_copies(context: Context, count: int, copies: str) -> None:
    step = job_builders.step(count=count, speculative=copies == "allowed")
    _accept(context, job_builders.job(step))


@behave.when("the worker of the run is unresponsive for {seconds:g} seconds")
def step_run_unresponsive(context: Context, seconds: float) -> None:
    (run,) = _runs(context)
    context.run = run
    run.worker.unanswered_since = context.now
    context.now += seconds


@behave.when("the copy is listed as done")
def step_copy_done(context: Context) -> None:
    (copy,) = (run for run in _runs(context) if run is not context.run)
    _end(context, copy, ports.END_DONE)


@behave.then("the job is complete")
def step_complete(context: Context) -> None:
    (job,) = context.state.jobs.values()
    assert job.ending is not None
    assert job.ending.state == model.STATE_COMPLETED


@behave.given("a job of {count:d} tasks of 1 core from before the take-over")
def step_recovered_job(context: Context, count: int) -> None:
    step = job_builders.step(count=count)
    _accept(context, job_builders.job(step), recovered=True)


@behave.given("a job of {first:d} tasks and then {second:d} tasks")
def step_two_steps(context: Context, first: int, second: int) -> None:
    steps = (
        job_builders.step(count=first),
        job_builders.step(count=second, after=(0,)),
    )
    _accept(context, job_builders.job(*steps))


@behave.given(
    "a job of {count:d} long-running tasks,"
    " of which {unavailable:d} may be unavailable"
)
def step_long_running(context: Context, count: int, unavailable: int) -> None:
    step = job_builders.step(
        count=count,
        long_running=True,
        max_unavailable=unavailable,
        max_per_worker=2,
    )
    _accept(context, job_builders.job(step))


@behave.given(
    "a job of {count:d} long-running tasks, one per worker,"
    " of which {unavailable:d} may be unavailable"
)
def step_long_running_spread(
    context: Context, count: int, unavailable: int
) -> None:
    step = job_builders.step(
        count=count,
        long_running=True,
        max_unavailable=unavailable,
        max_per_worker=1,
    )
    _accept(context, job_builders.job(step))


@behave.when("2 of them are listed as running at {progress:d} per cent")
def step_two_start_up(context: Context, progress: int) -> None:
    context.starting = _runs(context)[:2]
    for run in context.starting:
        run.progress = progress


@behave.when("the worker of one that starts up is cordoned for maintenance")
def step_starting_cordoned(context: Context) -> None:
    context.starting[0].worker.cordon("maintenance", context.now)


@behave.when("the workers accepted the epoch just now")
def step_epoch_accepted_now(context: Context) -> None:
    for worker in context.state.workers.values():
        worker.fenced = False
        context.state.recovery.worker_fenced(worker, context.now)


@behave.given("a gang of {count:d} tasks of 1 core")
def step_gang(context: Context, count: int) -> None:
    step = job_builders.step(count=count, gang=True)
    _accept(context, job_builders.job(step))


@behave.given("a job of {count:d} tasks with at most {most:d} per worker")
def step_spread(context: Context, count: int, most: int) -> None:
    step = job_builders.step(count=count, max_per_worker=most)
    _accept(context, job_builders.job(step))


@behave.given(
    "a job of 1 tasks that runs {times:d} times from second {start:d}"
    " every {interval:d}"
)
def step_timed(
    context: Context, times: int, start: int, interval: int
) -> None:
    job = job_builders.job(
        job_builders.step(count=1),
        times=times,
        start_at=float(start),
        interval=float(interval),
    )
    _accept(context, job)


@behave.given(
    "a job of a task with a target of {target:g} seconds"
    " and {count:d} best-effort tasks"
)
def step_mixed(context: Context, target: float, count: int) -> None:
    steps = (
        job_builders.step(count=1, long_running=True, target_seconds=target),
        job_builders.step(count=count, long_running=True, best_effort=True),
    )
    _accept(context, job_builders.job(*steps))


@behave.then(
    'best-effort tasks are throttled to "{percents}" per cent'
    " as it responds in"
)
def step_throttled(context: Context, percents: str) -> None:
    found = []
    for row in context.table:
        context.now = job_builders.START + float(row["seconds"])
        _list(context, 100)
        for run in _runs(context):
            if run.task.step.step.target_seconds:
                run.measurement = float(row["tail"])
        for order in planning.Plan(context.state, context.now).orders():
            if isinstance(order, orders.Throttle):
                order.run.speed_percent = order.percent
        found += {
            run.speed_percent
            for run in _runs(context)
            if run.task.step.step.best_effort
        }
    assert found == [int(part) for part in percents.split(",")], found


@behave.when("the wall clock shows second {second:d}")
def step_wall_clock(context: Context, second: int) -> None:
    context.state.create_due(float(second), context.now)


@behave.given('worker "{name}" has not answered yet')
def step_unanswered_epoch(context: Context, name: str) -> None:
    context.state.workers[name].fenced = False
    context.state.recovery.unconfirmed_workers.add(name)


def _leave_polls_unanswered(context: Context, name: str) -> None:
    worker = context.state.workers[name]
    worker.unanswered_since = context.now
    worker.unanswered_polls = fleet.MIN_UNANSWERED_POLLS


@behave.given('polls of worker "{name}" are not answered')
def step_unanswered_polls(context: Context, name: str) -> None:
    _leave_polls_unanswered(context, name)


def _answer(context: Context, name: str, ends: int, more_ends: bool) -> None:
    """Pass a listing with ends of unknown runs through the worker's loop."""
    worker = context.state.workers[name]
    first = worker.last_end_number + 1
    listing = job_builders.listing(
        ended=[
            ports.Ended(number, "f" * 16 + ".0.0.0", number, "done", "")
            for number in range(first, first + ends)
        ],
        clock=_clock(context),
        more_ends=more_ends,
    )
    owner = mock.create_autospec(workerloop.PoolHolder, instance=True)
    owner.state = context.state
    owner.lease = leases.Lease(job_builders.POOL, 1, context.now)
    owner.wait_stored.return_value = True
    loop = workerloop.WorkerLoop(worker, owner, LEASE_SECONDS)
    loop._apply_listing(listing, context.now, context.now)


@behave.when('worker "{name}" answers with {ends:d} end, and more ends follow')
def step_answers_page(context: Context, name: str, ends: int) -> None:
    _answer(context, name, ends, more_ends=True)


@behave.when('worker "{name}" answers with {ends:d} ends')
def step_answers_rest(context: Context, name: str, ends: int) -> None:
    _answer(context, name, ends, more_ends=False)


@behave.given("polls of these workers are not answered")
def step_all_unanswered_polls(context: Context) -> None:
    for name in context.state.recovery.unconfirmed_workers:
        _leave_polls_unanswered(context, name)


@behave.when('worker "{name}" answers')
def step_answered_epoch(context: Context, name: str) -> None:
    context.state.recovery.worker_fenced(
        context.state.workers[name], context.now
    )


@behave.when("the pool is planned")
def step_plan(context: Context) -> None:
    context.orders += planning.Plan(context.state, context.now).orders()


@behave.when("the workers accept all starts")
def step_accepted(context: Context) -> None:
    for run in _runs(context):
        runstarts.accepted(context.state, run, context.now)


@behave.when("one run is being stopped")
def step_stopping(context: Context) -> None:
    run = _runs(context)[0]
    run.state = runs.RunState.RUNNING
    run.stop_reason = "test"


@behave.when("all runs are listed as running")
def step_running(context: Context) -> None:
    _list(context)


@behave.when("all runs are listed as running at {progress:d} per cent")
def step_running_at(context: Context, progress: int) -> None:
    _list(context, progress)


@behave.when("1 of them is listed as done")
def step_one_done(context: Context) -> None:
    _end(context, _runs(context)[0], ports.END_DONE)


@behave.when("the rest are listed as done")
def step_rest_done(context: Context) -> None:
    for run in _runs(context):
        _end(context, run, ports.END_DONE)


@behave.when("the start gets no answer")
def step_unanswered(context: Context) -> None:
    (context.run,) = _runs(context)
    runstarts.unanswered(context.state, context.run, "time-out", context.now)


@behave.when("nothing is received for {seconds:g} seconds")
@behave.when("{seconds:g} seconds pass")
def step_time_passes(context: Context, seconds: float) -> None:
    context.now += seconds


@behave.when("the worker lists no runs")
def step_lists_nothing(context: Context) -> None:
    context.now += 1.0
    _list_nothing(context, _clock(context))


@behave.when("the worker answers a stop and lists no runs")
def step_stopped(context: Context) -> None:
    context.run.stop_answered_at = 0.9
    context.now += 1.0
    _list_nothing(context, _clock(context))


@behave.when("the worker lists no runs after the start's deadline")
def step_deadline(context: Context) -> None:
    context.now += 7.0
    _list_nothing(context, _clock(context))


@behave.when(
    "the worker answers a stop and lists no runs, and more ends follow"
)
def step_stopped_more_ends(context: Context) -> None:
    context.run.stop_answered_at = 0.9
    context.now += 1.0
    _list_nothing(context, _clock(context), more_ends=True)


@behave.when(
    "the worker lists no runs after the start's deadline, and more ends follow"
)
def step_deadline_more_ends(context: Context) -> None:
    context.now += 7.0
    _list_nothing(context, _clock(context), more_ends=True)


@behave.when("the next listing has the end of the run as done")
def step_next_page(context: Context) -> None:
    _end(context, context.run, ports.END_DONE)


@behave.when("the worker lists the run")
def step_lists_run(context: Context) -> None:
    context.now += 1.0
    _list(context)


@behave.when("a new incarnation of the worker lists no runs")
def step_new_incarnation(context: Context) -> None:
    context.now += 1.0
    _list_nothing(context, 1.0, incarnation=2)


@behave.when("the worker's lease has expired after {seconds:g} seconds")
def step_expired(context: Context, seconds: float) -> None:
    context.now += seconds
    worker = context.run.worker
    assert worker.lease_expired(context.now)
    workerends.lost(
        context.state, worker, "its lease has expired", context.now
    )


@behave.when("its run is listed as failed")
def step_fails(context: Context) -> None:
    (context.run,) = _runs(context)
    _list(context)
    _end(context, context.run, ports.END_FAILED)


@behave.when("another holder takes the pool and the end is listed again")
def step_taken_over(context: Context) -> None:
    (before,) = context.state.jobs.values()
    stored = model.decode(model.encode(before.progress), model.Progress)
    context.state = job_builders.state([job_builders.worker("w1")])
    context.state.accept(before.job, stored, 1, context.now, True)
    context.state.create_due(0.0, context.now)
    ended = ports.Ended(
        1, context.run.task_name, context.run.number, ports.END_FAILED, ""
    )
    listings.apply(
        context.state,
        context.state.workers["w1"],
        job_builders.listing((), [ended]),
        context.now,
        context.now,
    )


@behave.when("the task fails {times:d} times")
def step_fails_times(context: Context, times: int) -> None:
    for _ in range(times):
        context.execute_steps("When the pool is planned")
        (run,) = _runs(context)
        _list(context)
        _end(context, run, ports.END_FAILED)


@behave.when("{count:d} of the others are unavailable")
def step_unavailable(context: Context, count: int) -> None:
    for run in _runs(context)[1 : 1 + count]:
        run.progress = 0


@behave.when("the worker of another has been silent for {seconds:g} seconds")
def step_another_silent(context: Context, seconds: float) -> None:
    silent = _runs(context)[1].worker
    since = context.now
    context.now += seconds
    for worker in context.state.workers.values():
        if worker is silent:
            worker.unanswered_since = since
        else:
            worker.polled_at = context.now


PLACES = {"first": 0, "last": -1}


@behave.when("the worker of the {place} run is cordoned for maintenance")
def step_place_cordoned(context: Context, place: str) -> None:
    worker = _runs(context)[PLACES[place]].worker
    worker.cordon("maintenance", context.now)


@behave.when("the worker of the {place} run begins to drain")
def step_place_drains(context: Context, place: str) -> None:
    worker = _runs(context)[PLACES[place]].worker
    worker.draining = True
    worker.cordon("draining", context.now)


@behave.when("{seconds:g} seconds pass while the workers answer")
def step_answering(context: Context, seconds: float) -> None:
    context.now += seconds
    for worker in context.state.workers.values():
        worker.polled_at = context.now


@behave.then("only the {place} run is stopped")
def step_only_stopped(context: Context, place: str) -> None:
    stopped = [bool(run.stop_reason) for run in _runs(context)]
    expected = [False] * len(stopped)
    expected[PLACES[place]] = True
    assert stopped == expected, stopped


@behave.then("the first and last runs are stopped")
def step_both_stopped(context: Context) -> None:
    stopped = [bool(run.stop_reason) for run in _runs(context)]
    assert stopped == [True, False, True], stopped


@behave.when("the worker of the first is cordoned for maintenance")
def step_cordoned(context: Context) -> None:
    _runs(context)[0].worker.cordon("maintenance", context.now)


@behave.when('worker "{name}" lists a run of an unknown job')
def step_unknown_run(context: Context, name: str) -> None:
    running = ports.Running("00000000000000ff.0.0.0", 3, "", 0)
    listings.apply(
        context.state,
        context.state.workers[name],
        job_builders.listing([running], clock=_clock(context)),
        context.now,
        context.now,
    )


@behave.when('worker "{name}" lists the end of that run')
def step_unknown_end(context: Context, name: str) -> None:
    (run,) = _runs(context)
    _end(context, run, ports.END_STOPPED)


@behave.when("a worker that was not polled before lists a run of the job")
def step_first_poll(context: Context) -> None:
    link = t.cast(ports.Worker, job_builders.SilentLink())
    context.worker = fleet.WorkerState(job_builders.registration(), link)
    context.state.adopt_worker(context.worker)
    running = ports.Running("00000000000000aa.0.0.0", 3, "", 0)
    listing = job_builders.listing([running], clock=_clock(context))
    listings.apply(
        context.state, context.worker, listing, context.now, context.now
    )


@behave.then(
    "its lease has not expired after {seconds:g} seconds without a poll"
)
def step_not_expired(context: Context, seconds: float) -> None:
    assert not context.worker.lease_expired(context.now + seconds)


@behave.then("its lease has expired after {seconds:g} seconds without a poll")
def step_has_expired(context: Context, seconds: float) -> None:
    assert context.worker.lease_expired(context.now + seconds)


@behave.when("the other worker has no free capacity")
def step_no_capacity(context: Context) -> None:
    (context.other,) = [
        worker
        for worker in context.state.workers.values()
        if worker is not context.run.worker
    ]
    context.other.used = context.other.registration.size


@behave.when("the other worker has free capacity again")
def step_capacity_again(context: Context) -> None:
    context.other.used = resources.ZERO


@behave.when("all runs but one of the first worker are done")
def step_all_but_one(context: Context) -> None:
    context.run, *others = _runs(context)
    for run in others:
        _end(context, run, ports.END_DONE)


@behave.when("the task was restarted before")
def step_restarted(context: Context) -> None:
    context.run.task.straggler_restarts = 1


@behave.when("it is listed at {progress:d} per cent after {after:g} seconds")
def step_straggles(context: Context, progress: int, after: float) -> None:
    context.now = job_builders.START + after
    _list(context, progress)


@behave.when("a worker joins")
def step_joins(context: Context) -> None:
    context.state.adopt_worker(job_builders.worker("w9"))


@behave.when("a job of 1 tasks of priority 0 arrives")
def step_urgent(context: Context) -> None:
    low = job_builders.queue(priority=1)
    high = job_builders.queue(name="urgent", priority=0)
    context.state.queues = {low.name: low, high.name: high}
    _accept(
        context,
        job_builders.job(
            job_builders.step(count=1), job="00000000000000bb", queue="urgent"
        ),
    )


@behave.when('data centre "{name}" is taken out')
def step_taken_out(context: Context, name: str) -> None:
    context.state.taken_out = frozenset({name})


@behave.when('worker "{name}" is draining')
def step_drains(context: Context, name: str) -> None:
    context.state.workers[name].cordon("draining", context.now)


@behave.when("the job is cancelled")
def step_cancelled(context: Context) -> None:
    (job,) = context.state.jobs
    context.state.cancel(job, 0.0)


@behave.then("{count:d} starts are ordered")
def step_starts(context: Context, count: int) -> None:
    assert len(_starts(context)) == count, len(_starts(context))


@behave.then("{count:d} stops are ordered")
def step_stops(context: Context, count: int) -> None:
    stops = [item for item in context.orders if isinstance(item, orders.Stop)]
    assert len(stops) == count, len(stops)


@behave.then("no worker has more than {cores:d} cores in use")
def step_room(context: Context, cores: int) -> None:
    for worker in context.state.workers.values():
        used = resources.total(run.size for run in worker.runs.values())
        assert used.cores <= cores


@behave.then("the task may run {times:d} times at most")
def step_times(context: Context, times: int) -> None:
    (job,) = context.state.jobs.values()
    (task,) = job.steps["0.0"].tasks
    assert len(task.runs) <= times
    held = [run for run in _runs(context) if run.task_name == task.name]
    assert len(held) <= times


@behave.then("the task has {count:d} failed run")
def step_failed_runs(context: Context, count: int) -> None:
    (job,) = context.state.jobs.values()
    assert [len(x) for x in job.progress.failures.values()] == [count]


@behave.then("the job has not ended")
def step_not_ended(context: Context) -> None:
    (job,) = context.state.jobs.values()
    assert job.ending is None


@behave.then("the job has failed")
def step_failed(context: Context) -> None:
    (job,) = context.state.jobs.values()
    assert job.ending is not None
    assert job.ending.state == model.STATE_FAILED


@behave.then("{count:d} of its tasks are unavailable")
def step_count_unavailable(context: Context, count: int) -> None:
    (job,) = context.state.jobs.values()
    assert job.steps["0.0"].unavailable_tasks(context.now) == count


@behave.then("all runs have the same number")
def step_same_number(context: Context) -> None:
    assert len({run.number for run in _runs(context)}) == 1


@behave.given("{jobs:d} jobs of {count:d} tasks of {cores:d} cores")
def step_jobs(context: Context, jobs: int, count: int, cores: int) -> None:
    step = job_builders.step(
        count=count, size=resources.Vector(float(cores), 100.0)
    )
    for number in range(jobs):
        _accept(context, job_builders.job(step, job=f"{number:016x}"))


@behave.when("the pool is planned while reads of free capacity are counted")
def step_plan_counted(context: Context) -> None:
    read = fleet.WorkerState.free.fget
    counter = mock.Mock(side_effect=read)
    with mock.patch.object(fleet.WorkerState, "free", property(counter)):
        planning.Plan(context.state, context.now).orders()
    context.reads = counter.call_count


@behave.then("each worker's free capacity was read {times:d} times at most")
def step_reads(context: Context, times: int) -> None:
    workers = len(context.state.workers)
    assert workers <= context.reads <= workers * times, context.reads


@behave.then("planning pauses for {pause:g} s after a round of {took:g} s")
def step_pause(context: Context, pause: float, took: float) -> None:
    assert abs(holder.planning_pause(took) - pause) < 1e-9


@behave.given(
    "a job of {count:d} long-running tasks with at most {most:d} per worker"
)
def step_lasting_spread(context: Context, count: int, most: int) -> None:
    step = job_builders.step(
        count=count, long_running=True, max_per_worker=most
    )
    _accept(context, job_builders.job(step))


@behave.when("the run that is alone on its worker fails")
def step_alone_fails(context: Context) -> None:
    (run,) = (run for run in _runs(context) if len(run.worker.runs) == 1)
    _end(context, run, ports.END_FAILED)


@behave.when("one run fails")
def step_one_fails(context: Context) -> None:
    _end(context, _runs(context)[0], ports.END_FAILED)
