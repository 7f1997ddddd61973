"""Calls of clients about jobs, and the answers to them."""

import dataclasses

from agaterudder import codes
from agaterudder.jobs import callreports
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports

# Part of the caller's time that is kept for the response to reach it.
RESPONSE_MARGIN_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A client's call about one queue.

    :ivar job: identifier of the job, empty for a call about the queue.
    :ivar key: key of the team, empty without one.
    :ivar deadline: when the client gives up, by :func:`clock.now`.
    :ivar usage: what the call has used so far, for the log.
    """

    queue: operatorconfig.Queue
    job: str
    key: str
    deadline: float
    usage: callreports.Usage = dataclasses.field(
        default_factory=callreports.Usage, compare=False
    )

    @property
    def answer_by(self) -> float:
        """Until when it may use the store, by :func:`clock.now`."""
        return self.deadline - RESPONSE_MARGIN_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """State of a job.

    :ivar code: number of the result of a failed job, 0 for any other.
    :ivar reason: why it failed, empty for any other.
    """

    state: str
    code: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of a queue.

    :ivar pending: number of accepted jobs of which no task has started.
    """

    pending: int


def accepted(outcome: ports.Outcome) -> Accepted | codes.Refused:
    """Return the answer to a write whose conflict leaves nothing to do."""
    return outcome if isinstance(outcome, codes.Refused) else Accepted()
