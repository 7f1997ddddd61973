"""Interprets the state charts of VMs, tasks and waves.

The charts are read and validated with sismic. Their states are not nested, so
that a transition is a single look-up.
"""

import functools
import importlib.resources

from sismic import exceptions as sismic_exceptions
from sismic import io
from sismic import model

from agaterudder import exceptions


class Chart:
    """A state chart without nested states.

    :ivar initial: initial state.
    """

    __slots__ = ("name", "initial", "_transitions", "_states")

    def __init__(self, name: str, statechart: model.Statechart) -> None:
        self.name = name
        root = statechart.state_for(statechart.root)
        self.initial = str(root.initial)
        self._states = frozenset(statechart.states) - {statechart.root}
        self._transitions = {
            (transition.source, transition.event): transition.target
            for transition in statechart.transitions
        }

    @property
    def states(self) -> frozenset[str]:
        """Names of the states."""
        return self._states

    def allows(self, state: str, event: str) -> bool:
        """Return whether an event is allowed in a state."""
        return (state, event) in self._transitions

    def next_state(self, state: str, event: str) -> str:
        """Return the state that follows an event.

        :raises ChartError: when the event is not allowed in the state.
        """
        if (state, event) not in self._transitions:
            raise exceptions.ChartError(
                f"chart {self.name}: no {event} in state {state}"
            )
        return str(self._transitions[(state, event)])

    def to_mermaid(self) -> str:
        """Return the chart as a Mermaid state diagram."""
        lines = ["stateDiagram-v2", f"    [*] --> {_node_id(self.initial)}"]
        lines.extend(
            f"    {_node_id(source)} --> {_node_id(target)}: {event}"
            for (source, event), target in self._transitions.items()
        )
        return "\n".join(lines) + "\n"


def _node_id(state: str) -> str:
    return state.replace(" ", "_")


@functools.cache
def load(name: str) -> Chart:
    """Read a chart by its name.

    :raises ChartError: when the file is not a valid chart.
    """
    files = importlib.resources.files("agaterudder.charts")
    text = files.joinpath(f"{name}.yaml").read_text()
    try:
        statechart = io.import_from_yaml(text)
    except sismic_exceptions.StatechartError as error:
        raise exceptions.ChartError(f"{name}: {error}") from error
    return Chart(name, statechart)
