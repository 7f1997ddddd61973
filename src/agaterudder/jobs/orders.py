"""Orders that the scheduler of a pool issues."""

import dataclasses

from agaterudder.jobs import jobruns
from agaterudder.jobs import runs


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a run."""

    run: runs.Run
    checkpoint: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run."""

    run: runs.Run


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Limit the speed of a run, in per cent of its full speed."""

    run: runs.Run
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTickets:
    """Request tickets for a step from the placement policy."""

    step: jobruns.StepRun
    workers: tuple[str, ...]


Order = Start | Stop | Throttle | RequestTickets
