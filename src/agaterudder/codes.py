"""Numeric result codes returned to callers and operators.

The table in ``docs/RESULT-CODES.md`` is generated from this module by
``agaterudder codes`` and compared with it in CI.
"""

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether the request, or part of it, may have been executed."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"


class Result(enum.IntEnum):
    """Number of each result; the hundreds digit is its category."""

    OK = 0
    ACCEPTED = 100
    PENDING = 101
    MALFORMED = 200
    TOO_LARGE = 201
    UNKNOWN_TEAM = 202
    UNKNOWN_FIELD = 203
    WRONG_TYPE = 204
    UNKNOWN_SERVICE = 205
    UNKNOWN_QUEUE = 206
    NOT_FOUND = 207
    NEVER_FITS = 208
    ASSURANCE_FAULT = 209
    KEY_MISSING = 300
    KEY_REFUSED = 301
    OPERATOR_KEY_REFUSED = 302
    QUEUE_FULL = 400
    TOO_LATE = 401
    TEAM_LIMIT = 402
    NO_SERVER = 403
    LEAVING = 404
    STALE = 405
    ISOLATED = 406
    STORE_AWAY = 407
    SHED = 408
    DATA_CENTRE_OUT = 409
    CANCELLED = 410
    SERVER_REFUSED = 411
    OUTCOME_UNKNOWN = 500
    SHORT_ANSWER = 501
    TIMED_OUT = 502
    ATTEMPTS_EXHAUSTED = 503
    CRASHES_WORKERS = 504
    CONFLICT = 600
    BUDGET = 601
    CHANGE_UNKNOWN = 602


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Row of the table of result codes.

    :ivar status: HTTP status of the response.
    :ivar execution: what is known about the execution of the request.
    :ivar repeat: whether the caller may send the request again.
    :ivar advice: what the caller or operator does next.
    """

    status: int
    execution: Execution
    repeat: bool
    advice: str


_DONE = Execution.DONE
_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN

DESCRIPTIONS: dict[Result, Description] = {
    Result.OK: Description(200, _DONE, False, "Nothing."),
    Result.ACCEPTED: Description(
        200, _DONE, False, "The change is in force everywhere."
    ),
    Result.PENDING: Description(
        202,
        _DONE,
        False,
        "The change is recorded; wait for the entry VMs that are named.",
    ),
    Result.MALFORMED: Description(
        400, _NOT_RUN, False, "Correct the field that is named."
    ),
    Result.TOO_LARGE: Description(
        413, _NOT_RUN, False, "Send a smaller body, header or job."
    ),
    Result.UNKNOWN_TEAM: Description(
        404, _NOT_RUN, False, "Name a team of the assurance file."
    ),
    Result.UNKNOWN_FIELD: Description(
        400, _NOT_RUN, False, "Remove the field that is named."
    ),
    Result.WRONG_TYPE: Description(
        400, _NOT_RUN, False, "Give the field the type that is named."
    ),
    Result.UNKNOWN_SERVICE: Description(
        404, _NOT_RUN, False, "Name a service of the settings."
    ),
    Result.UNKNOWN_QUEUE: Description(
        404, _NOT_RUN, False, "Name a pool or an open queue."
    ),
    Result.NOT_FOUND: Description(
        404, _NOT_RUN, False, "Check the identifier."
    ),
    Result.NEVER_FITS: Description(
        422, _NOT_RUN, False, "Declare a size that one worker can hold."
    ),
    Result.ASSURANCE_FAULT: Description(
        422, _NOT_RUN, False, "Correct the line that is named."
    ),
    Result.KEY_MISSING: Description(
        401, _NOT_RUN, False, "Send the team's key."
    ),
    Result.KEY_REFUSED: Description(
        403, _NOT_RUN, False, "Ask an operator for a key."
    ),
    Result.OPERATOR_KEY_REFUSED: Description(
        403, _NOT_RUN, False, "Use an operator's key."
    ),
    Result.QUEUE_FULL: Description(
        503, _NOT_RUN, True, "Send again after a delay."
    ),
    Result.TOO_LATE: Description(
        503, _NOT_RUN, True, "Send again, or allow more time."
    ),
    Result.TEAM_LIMIT: Description(
        429, _NOT_RUN, True, "Wait until work of the team has ended."
    ),
    Result.NO_SERVER: Description(
        503, _NOT_RUN, True, "Send again after a delay."
    ),
    Result.LEAVING: Description(
        503, _NOT_RUN, True, "Send again; another entry VM answers."
    ),
    Result.STALE: Description(
        503, _NOT_RUN, True, "Send again; the entry VM was paused."
    ),
    Result.ISOLATED: Description(
        503, _NOT_RUN, True, "Send again; the data centre is cut off."
    ),
    Result.STORE_AWAY: Description(
        503, _NOT_RUN, True, "Send again when the table service is back."
    ),
    Result.SHED: Description(
        503, _NOT_RUN, True, "Send again; the team is above its share."
    ),
    Result.DATA_CENTRE_OUT: Description(
        503, _NOT_RUN, True, "Send again; another data centre answers."
    ),
    Result.CANCELLED: Description(
        410, _NOT_RUN, False, "Nothing; it was cancelled before it started."
    ),
    Result.SERVER_REFUSED: Description(
        503, _NOT_RUN, True, "Send again after a delay."
    ),
    Result.OUTCOME_UNKNOWN: Description(
        504, _UNKNOWN, False, "Look the effect up before repeating."
    ),
    Result.SHORT_ANSWER: Description(
        502, _UNKNOWN, False, "Look the effect up before repeating."
    ),
    Result.TIMED_OUT: Description(
        504, _UNKNOWN, False, "Look the effect up before repeating."
    ),
    Result.ATTEMPTS_EXHAUSTED: Description(
        200,
        _UNKNOWN,
        False,
        "Correct the job: a task of it failed too often.",
    ),
    Result.CRASHES_WORKERS: Description(
        200,
        _UNKNOWN,
        False,
        "Correct the job: its task crashes the workers that start it.",
    ),
    Result.CONFLICT: Description(
        409, _NOT_RUN, True, "Read the present state, then decide again."
    ),
    Result.BUDGET: Description(
        409, _NOT_RUN, True, "Wait until the availability budget allows it."
    ),
    Result.CHANGE_UNKNOWN: Description(
        504, _UNKNOWN, False, "Read the history before repeating."
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Sentinel value: the request was refused or failed, and why.

    :ivar code: number of the result.
    :ivar reason: one sentence for the reader, naming the field at fault.
    """

    code: Result
    reason: str

    @property
    def not_run(self) -> bool:
        """Whether it is certain that nothing was executed."""
        return DESCRIPTIONS[self.code].execution is Execution.NOT_RUN


def table() -> str:
    """Return the table of result codes in Markdown."""
    rows = [
        "| number | name | HTTP status | execution | may repeat | advice |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    rows.extend(
        f"| {code.value} | {code.name} | {row.status} "
        f"| {row.execution.value} | {'yes' if row.repeat else 'no'} "
        f"| {row.advice} |"
        for code, row in DESCRIPTIONS.items()
    )
    return "\n".join(rows) + "\n"
