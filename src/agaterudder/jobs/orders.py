"""Orders that the planning of a pool decides on."""

import dataclasses

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
    """Let a run work at a share of its speed."""

    run: runs.Run
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskPolicy:
    """Ask the placement policy about a step."""

    step: runs.StepRun
    workers: tuple[str, ...]


Order = Start | Stop | Throttle | AskPolicy
