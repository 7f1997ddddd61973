"""What the commands that call an entry VM share."""

import dataclasses
import pathlib
import typing as t

import cappa

from agaterudder import client
from agaterudder.commands import exitcodes
from agaterudder.commands import files
from agaterudder.commands import output
from agaterudder import exceptions

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
class RemoteCommand:
    """Options of every command that calls an entry VM."""

    entry: EntryAddress
    key_file: KeyFile
    output: Output = "table"

    def connect(self) -> client.Client:
        """Return a client with the operator's key."""
        if self.key_file is None:
            raise cappa.Exit("--key-file is missing", code=exitcodes.USAGE)
        return client.Client(self.entry, files.read(self.key_file).strip())

    def get(self, path: str) -> None:
        """Send a GET request and show the response."""
        self._finish(self.call(lambda: self.connect().get(path)))

    def post(self, path: str, content: dict[str, t.Any]) -> None:
        """Send a POST request and show the response."""
        self._finish(self.call(lambda: self.connect().post(path, content)))

    def call(self, call: t.Callable[[], client.Response]) -> client.Response:
        """Make a call and return the response.

        :raises cappa.Exit: when the entry VM does not answer.
        """
        try:
            return call()
        except (exceptions.AgaterudderError, OSError) as error:
            raise cappa.Exit(
                f"{self.entry}: {error}", code=exitcodes.UNREACHABLE
            ) from error

    def _finish(self, response: client.Response) -> None:
        output.show(response.body, self.output)
        if response.status == 202:
            raise cappa.Exit(code=exitcodes.PENDING)
        if response.status >= 400:
            raise cappa.Exit(code=exitcodes.REFUSED)
