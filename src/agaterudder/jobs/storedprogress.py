"""Size of a job's progress in the store, which limits the size of a row."""

import logging

import msgspec

from agaterudder.jobs import model

LOG = logging.getLogger(__name__)

# Part of a row that the done tasks of a job may fill, so that there is room
# for failures, crashes and attempts.
MAX_DONE_FRACTION = 0.75
# Runs of one job that are stored before their start at the same time.
MAX_ATTEMPTS = 200
# Bytes of msgpack: headers of the key and of the list of a step.
STEP_HEADER_BYTES = 6


def done_bytes(request: model.Request) -> int:
    """Return how many bytes the done tasks of a job need at most."""
    occurrences = max(request.times, 1)
    digits = len(str(occurrences)) + 1 + len(str(len(request.steps)))
    return occurrences * sum(
        STEP_HEADER_BYTES + digits + step.count * _index_bytes(step.count)
        for step in request.steps
    )


def _index_bytes(count: int) -> int:
    """Return the bytes of the largest index of a task."""
    return len(msgspec.msgpack.encode(count - 1))


def fits(request: model.Request, row_bytes: int) -> bool:
    """Return whether the progress of a job can be stored to its end."""
    return done_bytes(request) <= row_bytes * MAX_DONE_FRACTION


def encode(job: str, progress: model.Progress, row_bytes: int) -> bytes | None:
    """Encode the progress of a job for its row.

    Without the workers of its attempts, each of them may have been a crash.
    Without the checkpoints, tasks that are interrupted begin anew.

    :returns: None when it is too large even without both.
    """
    content = model.encode(progress)
    if len(content) <= row_bytes:
        return content
    progress = msgspec.structs.replace(progress, attempt_workers={})
    content = model.encode(progress)
    if len(content) <= row_bytes:
        return content
    LOG.warning(
        "checkpoints not stored: the progress exceeds a row",
        extra={
            "job": job,
            "bytes": len(content),
            "checkpoints": len(progress.checkpoints),
        },
    )
    content = model.encode(msgspec.structs.replace(progress, checkpoints={}))
    return content if len(content) <= row_bytes else None


def attempts_left(progress: model.Progress, first_run: int) -> int:
    """Return how many more runs may be stored before their start.

    :param first_run: number below which the runs of earlier holders are; these
        are not counted, as only the ends of their tasks remove them.
    """
    pending = sum(
        number >= first_run
        for numbers in progress.attempts.values()
        for number in numbers
    )
    return max(MAX_ATTEMPTS - pending, 0)
