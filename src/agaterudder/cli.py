"""The command line."""

import dataclasses
import sys

import cappa

from agaterudder.commands import changes
from agaterudder.commands import local
from agaterudder.commands import maintenance
from agaterudder.commands import reports

Command = (
    local.Serve
    | local.Check
    | changes.Plan
    | changes.Apply
    | changes.Grant
    | changes.Withdraw
    | changes.TakeOut
    | changes.PutBack
    | maintenance.RollOut
    | maintenance.WaveCommand
    | maintenance.Drain
    | maintenance.Move
    | reports.Status
    | reports.History
    | reports.Explain
    | changes.LogLevel
    | local.HashKey
    | local.Codes
)


@cappa.command(
    name="agaterudder", help="Fleet capacity and maintenance manager."
)
@dataclasses.dataclass
class Agaterudder:
    """Fleet capacity and maintenance manager."""

    command: cappa.Subcommands[Command]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Agaterudder, argv=sys.argv[1:])
