"""Steps on what a pool logs and counts."""

import logging
import typing as t

import behave

from agaterudder.jobs import machines
from tests import job_builders

Context = t.Any
EVIDENCE_AGE_SECONDS = 0.25
MACHINES = 5


class Recorder(logging.Handler):
    """Keeps the records that are logged."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record)


def _lines(context: Context, event: str) -> list[dict[str, t.Any]]:
    return [
        record.__dict__
        for record in context.recorder.records
        if record.msg == event
    ]


@behave.given("the log is recorded")
def step_recorded(context: Context) -> None:
    logger = logging.getLogger("agaterudder")
    level = logger.level
    context.recorder = Recorder()
    logger.addHandler(context.recorder)
    logger.setLevel(logging.INFO)
    context.cleanups.append(lambda: logger.removeHandler(context.recorder))
    context.cleanups.append(lambda: logger.setLevel(level))


@behave.given("{count:d} of the workers have not answered yet")
def step_unanswered(context: Context, count: int) -> None:
    for worker in context.workers[:count]:
        worker.fenced = False
        context.state.unconfirmed_workers.add(worker.name)


@behave.when("the recovery is complete")
def step_recovery_complete(context: Context) -> None:
    assert not context.state.recovering(context.now)
    context.state.finish_recovery(context.now)


@behave.when('worker "{name}" is not waited for, as "{reason}"')
def step_not_waited_for(context: Context, name: str, reason: str) -> None:
    cache = machines.MachineCache(t.cast(t.Any, None))
    cache.machines = dict.fromkeys(
        map(str, range(MACHINES)), t.cast(t.Any, None)
    )
    cache.asked_at = context.now - EVIDENCE_AGE_SECONDS
    evidence = cache.evidence(context.now)
    context.state.discard_unconfirmed(name, reason, evidence, context.now)


@behave.when('worker "{name}" is lost, as "{reason}"')
def step_lost(context: Context, name: str, reason: str) -> None:
    worker = context.state.workers[name]
    context.state.worker_lost(worker, reason, context.now)


@behave.when('worker "{name}" lists no runs as incarnation {incarnation:d}')
def step_other_incarnation(
    context: Context, name: str, incarnation: int
) -> None:
    context.state.apply_listing(
        context.state.workers[name],
        job_builders.listing(incarnation=incarnation),
        context.now,
        context.now,
    )


@behave.then('a line "{event}" says')
def step_says(context: Context, event: str) -> None:
    lines = _lines(context, event)
    wanted = {row["field"]: row["value"] for row in context.table}
    found = [{key: str(line.get(key)) for key in wanted} for line in lines]
    assert wanted in found, found
    context.line = lines[found.index(wanted)]


@behave.then('its field "{field}" names {count:d} tasks and {others:d} others')
def step_names(context: Context, field: str, count: int, others: int) -> None:
    *names, rest = context.line[field].split()
    assert len(names) == count, names
    assert rest == f"+{others}", rest


@behave.then('no line "{event}" is written')
def step_no_line(context: Context, event: str) -> None:
    assert not _lines(context, event), _lines(context, event)


@behave.then('{count:d} lines "{event}" are written')
def step_lines_written(context: Context, count: int, event: str) -> None:
    assert len(_lines(context, event)) == count, len(_lines(context, event))


@behave.then("no worker is unconfirmed")
def step_none_unconfirmed(context: Context) -> None:
    assert not context.state.unconfirmed_workers
