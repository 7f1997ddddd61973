"""Rows that say where a job lies, and where it must not be stored."""

import dataclasses
import logging
import typing as t

from agaterudder import exceptions
from agaterudder.jobs import model
from agaterudder.jobs import ports

LOG = logging.getLogger(__name__)


def absent(pool: str, job: str) -> list[ports.Precondition]:
    """Return the conditions that a pool has no row of a job."""
    return [
        ports.Precondition(model.jobs_table(pool), job, 0),
        ports.Precondition(model.ENDED_TABLE, job, 0),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class KeepingOut:
    """A row by which a job is kept out of a pool, with its decoded state."""

    row: ports.Row
    state: str


def keeping_out(rows: t.Iterable[ports.Row]) -> KeepingOut | None:
    """Return the row by which a job is kept out of a pool, if any."""
    ended = (
        (row, _decoded_end(row))
        for row in rows
        if row.table == model.ENDED_TABLE and row.version
    )
    return next(
        (
            KeepingOut(row, found.state)
            for row, found in ended
            if found is not None and found.keeps_out
        ),
        None,
    )


def _decoded_end(row: ports.Row) -> model.Ended | None:
    """Return the end of a job, None when it can't be decoded."""
    try:
        return model.decode(row.value, model.Ended)
    except exceptions.Undecodable as error:
        LOG.warning(
            "end of a job can't be decoded",
            extra={"job": row.key, "why": error},
        )
        return None
