"""What each specification has in common: guards, states and checking."""

import dataclasses
import typing as t

import minicheck

MAX_STATES = 400_000

State = t.Any
Steps = list[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A specification with guards that can be taken off one by one.

    :ivar initial: named tuple of the first state.
    :ivar steps: returns the steps from a state, with the guards in force.
    :ivar promise: returns whether a state keeps the promise.
    :ivar guards: each guard, with the code that implements it.
    """

    name: str
    initial: State
    steps: t.Callable[[State, frozenset[str]], Steps]
    promise: t.Callable[[State], bool]
    guards: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found.

    :ivar counterexample: labels of the shortest path that breaks the
        promise, empty when it holds.
    """

    holds: bool
    exhaustive: bool
    states: int
    counterexample: tuple[str, ...]


def check(specification: Specification, without: str | None = None) -> Verdict:
    """Search every state, with one guard taken off if named."""
    guards = frozenset(specification.guards) - {without}
    kind = type(specification.initial)
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=kind._fields,
        initial=tuple(specification.initial),
        transitions=lambda state: [
            (label, tuple(after))
            for label, after in specification.steps(kind(*state), guards)
        ],
        invariants={
            "promise": lambda fields: specification.promise(kind(**fields))
        },
    )
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    found = result["properties"]["promise"]
    trace = found.get("counterexample") or []
    return Verdict(
        bool(found["holds"]),
        bool(result["exhaustive"]),
        int(result["reachable_states"]),
        tuple(step["label"] for step in trace if step["label"]),
    )
