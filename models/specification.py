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
    :ivar stuck: returns whether no step of the system leads out of a state
        in which something waits, under the enabled guards; None for a
        specification in which nothing waits.
    """

    name: str
    initial: State
    transitions: t.Callable[[State, frozenset[str]], Transitions]
    invariant: t.Callable[[State], bool]
    guards: dict[str, str]
    stuck: t.Callable[[State, frozenset[str]], bool] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of checking a specification.

    :ivar exhaustive: whether every reachable state was searched.
    :ivar states: number of reachable states found.
    :ivar counterexample: labels of the shortest path to a state that
        violates the invariant or is stuck, empty when there is none.
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

    def safe(fields: dict[str, t.Any]) -> bool:
        state = state_type(**fields)
        if not specification.invariant(state):
            return False
        return specification.stuck is None or not specification.stuck(
            state, guards
        )

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
        invariants={"invariant": safe},
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


def leads_to(
    state: State,
    transitions: t.Callable[[State], Transitions],
    labels: frozenset[str],
    goal: t.Callable[[State], bool],
) -> bool:
    """Return whether steps with these labels lead to a goal.

    :param labels: what the system does by itself. Steps that may never
        happen, such as the return of a machine, are not among them.
    """
    found = {state}
    pending = [state]
    while pending:
        present = pending.pop()
        if goal(present):
            return True
        for label, successor in transitions(present):
            if label in labels and successor not in found:
                found.add(successor)
                pending.append(successor)
    return False
