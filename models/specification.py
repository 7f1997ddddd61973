"""Common parts of the specifications: guards, states and checking."""

import dataclasses
import typing as t

import minicheck

# The search ends at this number of states and is then not exhaustive.
MAX_STATES = 400_000

State = t.Any
Transitions = list[tuple[str, State]]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A specification with guards that can be disabled one by one.

    :ivar initial: initial state, a named tuple.
    :ivar transitions: returns the labelled successors of a state under the
        enabled guards.
    :ivar invariant: returns whether the invariant holds in a state.
    :ivar guards: name of the code that implements each guard.
    """

    name: str
    initial: State
    transitions: t.Callable[[State, frozenset[str]], Transitions]
    invariant: t.Callable[[State], bool]
    guards: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of checking a specification.

    :ivar exhaustive: whether every reachable state was searched.
    :ivar states: number of reachable states found.
    :ivar counterexample: labels of the shortest path to a state that
        violates the invariant, empty when it holds.
    """

    holds: bool
    exhaustive: bool
    states: int
    counterexample: tuple[str, ...]


def check(
    specification: Specification, disabled_guard: str | None = None
) -> Verdict:
    """Search every reachable state, with at most one guard disabled."""
    guards = frozenset(specification.guards) - {disabled_guard}
    state_type = type(specification.initial)
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=state_type._fields,
        initial=tuple(specification.initial),
        transitions=lambda state: [
            (label, tuple(successor))
            for label, successor in specification.transitions(
                state_type(*state), guards
            )
        ],
        invariants={
            "invariant": lambda fields: specification.invariant(
                state_type(**fields)
            )
        },
    )
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    property_result = result["properties"]["invariant"]
    trace = property_result.get("counterexample") or []
    return Verdict(
        bool(property_result["holds"]),
        bool(result["exhaustive"]),
        int(result["reachable_states"]),
        tuple(step["label"] for step in trace if step["label"]),
    )
