"""Commands that change what is in force."""

import dataclasses
import pathlib
import typing as t

import cappa

from agaterudder.commands import files
from agaterudder.commands import remote


@cappa.command(name="plan", help="Show what a file would change.")
@dataclasses.dataclass
class Plan(remote.RemoteCommand):
    """Show what an assurance file would change.

    Example: agaterudder plan assurances.toml --key-file ane.key
    """

    file: t.Annotated[pathlib.Path, cappa.Arg(help="assurance file")]

    def __call__(self) -> None:
        self.post("plan", {"assurances": files.read(self.file)})


@cappa.command(name="apply", help="Bring an assurance file into force.")
@dataclasses.dataclass
class Apply(remote.RemoteCommand):
    """Bring an assurance file into force and wait until it is.

    Example: agaterudder apply assurances.toml --base 7 --key-file ane.key
    """

    file: t.Annotated[pathlib.Path, cappa.Arg(help="assurance file")]
    base: t.Annotated[
        int | None,
        cappa.Arg(long=True, help="version that the file was based on"),
    ] = None
    wait: remote.Wait = 9.0

    def __call__(self) -> None:
        body = {"assurances": files.read(self.file), "wait_seconds": self.wait}
        if self.base is not None:
            body["base"] = self.base
        self.post("apply", body)


@dataclasses.dataclass
class NamedChange(remote.RemoteCommand):
    """Options of a change to a named object."""

    name: t.Annotated[str, cappa.Arg(help="what is changed")]
    wait: remote.Wait = 9.0

    def change(self, verb: str) -> None:
        """Make the change and wait until it is in force."""
        self.post(verb, {"name": self.name, "wait_seconds": self.wait})


@cappa.command(name="grant", help="Make a key for a team.")
@dataclasses.dataclass
class Grant(NamedChange):
    """Make a key for a team; it is shown once.

    Example: agaterudder grant registry --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("grant")


@cappa.command(name="withdraw", help="Withdraw a key.")
@dataclasses.dataclass
class Withdraw(NamedChange):
    """Withdraw a key, named by the part before the dot.

    Example: agaterudder withdraw 6c1d2e7a90b1c2d3 --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("withdraw")


@cappa.command(name="take-out", help="Take a data centre out.")
@dataclasses.dataclass
class TakeOut(NamedChange):
    """Take a data centre out: no task starts there any more.

    Example: agaterudder take-out north --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("take-out")


@cappa.command(name="put-back", help="Put a data centre back.")
@dataclasses.dataclass
class PutBack(NamedChange):
    """Put a data centre back.

    Example: agaterudder put-back north --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("put-back")


@cappa.command(name="log-level", help="Change the level of the log.")
@dataclasses.dataclass
class LogLevel(remote.RemoteCommand):
    """Change the log level of the entry process that is called.

    Example: agaterudder log-level debug --entry 127.0.0.1:8080
    """

    level: t.Annotated[str, cappa.Arg(help="debug, info, warning, error")]

    def __call__(self) -> None:
        self.post("log-level", {"name": self.level})
