"""Commands that show state, changes and decisions."""

import dataclasses
import typing as t

import cappa

from agaterudder.commands import remote


@cappa.command(name="status", help="Show what is in force and running.")
@dataclasses.dataclass
class Status(remote.RemoteCommand):
    """Show what is in force and running.

    Example: agaterudder status --key-file ane.key
    """

    def __call__(self) -> None:
        self.get("status")


@cappa.command(name="history", help="Show who changed what.")
@dataclasses.dataclass
class History(remote.RemoteCommand):
    """Show who changed what.

    Example: agaterudder history --output json --key-file ane.key
    """

    def __call__(self) -> None:
        self.get("history")


@cappa.command(name="explain", help="Show why something was decided.")
@dataclasses.dataclass
class Explain(remote.RemoteCommand):
    """Show the decisions about a VM, team, task or wave.

    Example: agaterudder explain vm worker-7 --key-file ane.key
    """

    kind: t.Annotated[
        t.Literal["vm", "team", "task", "wave"], cappa.Arg(help="kind")
    ]
    name: t.Annotated[str, cappa.Arg(help="name or identifier")]

    def __call__(self) -> None:
        self.get(f"explain/{self.kind}/{self.name}")
