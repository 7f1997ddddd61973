"""The command line.

Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 pending: the
change is recorded but not yet in force everywhere, 4 no entry VM answered.
"""

import dataclasses
import json
import pathlib
import secrets
import sys
import time
import typing as t

import cappa
import rich.console
import rich.table

from agaterudder import assurances
from agaterudder import client
from agaterudder import codes
from agaterudder import exceptions
from agaterudder import keys
from agaterudder import serve
from agaterudder import settings

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_PENDING = 3
EXIT_UNREACHABLE = 4
WATCH_INTERVAL_SECONDS = 2.0
WAVE_FINAL_STATES = ("done", "stopped")

EntryAddress = t.Annotated[
    str,
    cappa.Arg(
        long="--entry",
        default=cappa.Env("AGATERUDDER_ENTRY", default="127.0.0.1:8080"),
        help="HTTP address of any entry VM",
    ),
]
KeyFile = t.Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long="--key-file",
        default=cappa.Env("AGATERUDDER_KEY_FILE", default=None),
        help="file with the operator key",
    ),
]
Output = t.Annotated[
    t.Literal["table", "json"],
    cappa.Arg(long="--output", help="table for people, json for scripts"),
]
Wait = t.Annotated[
    float,
    cappa.Arg(long="--wait", help="seconds to wait until it is in force"),
]


@dataclasses.dataclass(kw_only=True)
class _Remote:
    """Options of every command that calls an entry VM."""

    entry: EntryAddress
    key_file: KeyFile
    output: Output = "table"

    def connect(self) -> client.Client:
        """Return a client with the operator's key."""
        if self.key_file is None:
            raise cappa.Exit("--key-file is missing", code=EXIT_USAGE)
        try:
            key = self.key_file.read_text().strip()
        except OSError as error:
            raise cappa.Exit(
                f"{self.key_file}: {error.strerror}", code=EXIT_USAGE
            ) from error
        return client.Client(self.entry, key)

    def get(self, path: str) -> None:
        """Send a GET request and show the response."""
        self._finish(self._call(lambda: self.connect().get(path)))

    def post(self, path: str, content: dict[str, t.Any]) -> None:
        """Send a POST request and show the response."""
        self._finish(self._call(lambda: self.connect().post(path, content)))

    def _call(self, call: t.Callable[[], client.Response]) -> client.Response:
        try:
            return call()
        except (exceptions.AgaterudderError, OSError) as error:
            raise cappa.Exit(
                f"{self.entry}: {error}", code=EXIT_UNREACHABLE
            ) from error

    def _finish(self, response: client.Response) -> None:
        _show(response.body, self.output)
        if response.status == 202:
            raise cappa.Exit(code=EXIT_PENDING)
        if response.status >= 400:
            raise cappa.Exit(code=EXIT_REFUSED)


def _show(body: t.Any, output: str) -> None:
    if output == "json":
        print(json.dumps(body, indent=2))
        return
    console = rich.console.Console()
    match body:
        case list() if body and isinstance(body[0], dict):
            console.print(_table(body))
        case list():
            for line in body:
                console.print(line, markup=False, highlight=False)
        case dict():
            _show_fields(console, body)
        case _:
            console.print(body)


def _show_fields(
    console: rich.console.Console, body: dict[str, t.Any]
) -> None:
    for name, value in body.items():
        items = isinstance(value, list) and value
        if items and isinstance(value[0], dict):
            console.print(f"{name}:")
            console.print(_table(value))
        else:
            console.print(f"{name}: {value}", markup=False, highlight=False)


def _table(rows: list[dict[str, t.Any]]) -> rich.table.Table:
    table = rich.table.Table(*rows[0].keys())
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    return table


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
            raise cappa.Exit(str(error), code=EXIT_USAGE) from error
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
        parsed = assurances.parse(_read(self.file))
        for fault in parsed.faults:
            print(f"{self.file}:{fault.line}:{fault.column}: {fault.message}")
        if parsed.faults:
            raise cappa.Exit(code=EXIT_REFUSED)
        print(f"{self.file}: {len(parsed.sources)} assurances, no fault")


@cappa.command(name="plan", help="Show what a file would change.")
@dataclasses.dataclass
class Plan(_Remote):
    """Show what an assurance file would change.

    Example: agaterudder plan assurances.toml --key-file ane.key
    """

    file: t.Annotated[pathlib.Path, cappa.Arg(help="assurance file")]

    def __call__(self) -> None:
        self.post("plan", {"assurances": _read(self.file)})


@cappa.command(name="apply", help="Bring an assurance file into force.")
@dataclasses.dataclass
class Apply(_Remote):
    """Bring an assurance file into force and wait until it is.

    Example: agaterudder apply assurances.toml --base 7 --key-file ane.key
    """

    file: t.Annotated[pathlib.Path, cappa.Arg(help="assurance file")]
    base: t.Annotated[
        int | None,
        cappa.Arg(long=True, help="version that the file was based on"),
    ] = None
    wait: Wait = 9.0

    def __call__(self) -> None:
        body = {"assurances": _read(self.file), "wait_seconds": self.wait}
        if self.base is not None:
            body["base"] = self.base
        self.post("apply", body)


@dataclasses.dataclass
class _NamedChange(_Remote):
    """Options of a change to a named object."""

    name: t.Annotated[str, cappa.Arg(help="what is changed")]
    wait: Wait = 9.0

    def change(self, verb: str) -> None:
        """Make the change and wait until it is in force."""
        self.post(verb, {"name": self.name, "wait_seconds": self.wait})


@cappa.command(name="grant", help="Make a key for a team.")
@dataclasses.dataclass
class Grant(_NamedChange):
    """Make a key for a team; it is shown once.

    Example: agaterudder grant registry --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("grant")


@cappa.command(name="withdraw", help="Withdraw a key.")
@dataclasses.dataclass
class Withdraw(_NamedChange):
    """Withdraw a key, named by the part before the dot.

    Example: agaterudder withdraw 6c1d2e7a90b1c2d3 --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("withdraw")


@cappa.command(name="take-out", help="Take a data centre out.")
@dataclasses.dataclass
class TakeOut(_NamedChange):
    """Take a data centre out: no task starts there any more.

    Example: agaterudder take-out north --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("take-out")


@cappa.command(name="put-back", help="Put a data centre back.")
@dataclasses.dataclass
class PutBack(_NamedChange):
    """Put a data centre back.

    Example: agaterudder put-back north --key-file ane.key
    """

    def __call__(self) -> None:
        self.change("put-back")


@cappa.command(name="roll-out", help="Maintain every VM of a pool.")
@dataclasses.dataclass
class RollOut(_Remote):
    """Begin a maintenance wave over a pool.

    Example: agaterudder roll-out tally --key-file ane.key
    """

    pool: t.Annotated[str, cappa.Arg(help="pool")]

    def __call__(self) -> None:
        self.post("roll-out", {"name": self.pool})


@cappa.command(name="wave", help="Show a maintenance wave.")
@dataclasses.dataclass
class WaveCommand(_Remote):
    """Show how far a wave is.

    Example: agaterudder wave 6c1d2e7a90b1c2d3 --key-file ane.key
    """

    wave: t.Annotated[str, cappa.Arg(help="identifier of the wave")]
    watch: t.Annotated[
        bool, cappa.Arg(long=True, help="show progress until it has ended")
    ] = False

    def __call__(self) -> None:
        while self.watch:
            response = self._call(lambda: self.connect().get(self._path))
            if (
                response.status >= 400
                or response.body["state"] in WAVE_FINAL_STATES
            ):
                break
            counts = {
                name: len(response.body[name])
                for name in ("waiting", "under_way", "done", "failed")
            }
            print(response.body["state"], counts, flush=True)
            time.sleep(WATCH_INTERVAL_SECONDS)
        self.get(self._path)

    @property
    def _path(self) -> str:
        return f"waves/{self.wave}"


@cappa.command(name="drain", help="Maintain one VM.")
@dataclasses.dataclass
class Drain(_Remote):
    """Drain, reboot and bring back one worker VM.

    Example: agaterudder drain worker-7 --key-file ane.key
    """

    vm: t.Annotated[str, cappa.Arg(help="worker VM")]

    def __call__(self) -> None:
        self.post("drain", {"vm": self.vm})


@cappa.command(name="move", help="Move a VM to another pool.")
@dataclasses.dataclass
class Move(_Remote):
    """Drain a worker VM and let it join another pool.

    Example: agaterudder move worker-7 ledger --key-file ane.key
    """

    vm: t.Annotated[str, cappa.Arg(help="worker VM")]
    pool: t.Annotated[str, cappa.Arg(help="pool to join")]

    def __call__(self) -> None:
        self.post("move", {"vm": self.vm, "pool": self.pool})


@cappa.command(name="status", help="Show what is in force and running.")
@dataclasses.dataclass
class Status(_Remote):
    """Show what is in force and running.

    Example: agaterudder status --key-file ane.key
    """

    def __call__(self) -> None:
        self.get("status")


@cappa.command(name="history", help="Show who changed what.")
@dataclasses.dataclass
class History(_Remote):
    """Show who changed what.

    Example: agaterudder history --output json --key-file ane.key
    """

    def __call__(self) -> None:
        self.get("history")


@cappa.command(name="explain", help="Show why something was decided.")
@dataclasses.dataclass
class Explain(_Remote):
    """Show the decisions about a VM, team, task or wave.

    Example: agaterudder explain vm worker-7 --key-file ane.key
    """

    kind: t.Annotated[
        t.Literal["vm", "team", "task", "wave"], cappa.Arg(help="kind")
    ]
    name: t.Annotated[str, cappa.Arg(help="name or identifier")]

    def __call__(self) -> None:
        self.get(f"explain/{self.kind}/{self.name}")


@cappa.command(name="log-level", help="Change the level of the log.")
@dataclasses.dataclass
class LogLevel(_Remote):
    """Change the log level of the entry process that is called.

    Example: agaterudder log-level debug --entry 127.0.0.1:8080
    """

    level: t.Annotated[str, cappa.Arg(help="debug, info, warning, error")]

    def __call__(self) -> None:
        self.post("log-level", {"name": self.level})


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


Command = (
    Serve
    | Check
    | Plan
    | Apply
    | Grant
    | Withdraw
    | TakeOut
    | PutBack
    | RollOut
    | WaveCommand
    | Drain
    | Move
    | Status
    | History
    | Explain
    | LogLevel
    | HashKey
    | Codes
)


@cappa.command(
    name="agaterudder", help="Fleet capacity and maintenance manager."
)
@dataclasses.dataclass
class Agaterudder:
    """Fleet capacity and maintenance manager."""

    command: cappa.Subcommands[Command]


def _read(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except OSError as error:
        raise cappa.Exit(
            f"{path}: {error.strerror}", code=EXIT_USAGE
        ) from error


def main() -> None:
    """Run the command line."""
    cappa.invoke(Agaterudder, argv=sys.argv[1:])
