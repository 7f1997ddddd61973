"""Commands that call no entry VM: they run a process, check or print."""

import dataclasses
import pathlib
import secrets
import typing as t

import cappa

from agaterudder import assurances
from agaterudder import codes
from agaterudder.commands import exitcodes
from agaterudder.commands import files
from agaterudder import exceptions
from agaterudder import keys
from agaterudder import serve
from agaterudder import settings


@cappa.command(name="serve", help="Run an entry process.")
@dataclasses.dataclass
class Serve:
    """Run an entry process.

    Example: agaterudder serve --settings entry.toml
    """

    path: t.Annotated[
        pathlib.Path,
        cappa.Arg(long="--settings", help="settings file, TOML"),
    ]
    check: t.Annotated[
        bool, cappa.Arg(long=True, help="only check the settings")
    ] = False

    def __call__(self) -> None:
        try:
            checked = settings.load(self.path)
        except exceptions.SettingsError as error:
            raise cappa.Exit(str(error), code=exitcodes.USAGE) from error
        if self.check:
            print(f"{self.path}: correct")
            return
        serve.serve(checked)


@cappa.command(name="check", help="Check an assurance file.")
@dataclasses.dataclass
class Check:
    """Check an assurance file; name line and column of each fault.

    Example: agaterudder check assurances.toml
    """

    file: t.Annotated[pathlib.Path, cappa.Arg(help="assurance file")]

    def __call__(self) -> None:
        parsed = assurances.parse(files.read(self.file))
        for fault in parsed.faults:
            print(f"{self.file}:{fault.line}:{fault.column}: {fault.message}")
        if parsed.faults:
            raise cappa.Exit(code=exitcodes.REFUSED)
        print(f"{self.file}: {len(parsed.sources)} assurances, no fault")


@cappa.command(name="hash-key", help="Make an operator key.")
@dataclasses.dataclass
class HashKey:
    """Make an operator key and the lines for the settings.

    Example: agaterudder hash-key ane
    """

    name: t.Annotated[str, cappa.Arg(help="name of the operator")]

    def __call__(self) -> None:
        secret = secrets.token_urlsafe(keys.SECRET_BYTES)
        salt = secrets.token_hex(keys.SALT_BYTES)
        print(f"# key, shown once: {self.name}.{secret}")
        print("[[operators]]")
        print(f'name = "{self.name}"')
        print(f'salt = "{salt}"')
        print(f'hash = "{keys.digest(secret, salt)}"')


@cappa.command(name="codes", help="Print the table of result codes.")
@dataclasses.dataclass
class Codes:
    """Print the table of result codes in Markdown.

    Example: agaterudder codes
    """

    def __call__(self) -> None:
        print(codes.table(), end="")
