"""Commands that maintain or move VMs, and follow maintenance waves."""

import dataclasses
import time
import typing as t

import cappa

from agaterudder.commands import remote

WATCH_INTERVAL_SECONDS = 2.0
WAVE_FINAL_STATES = ("done", "stopped")


@cappa.command(name="roll-out", help="Maintain every VM of a pool.")
@dataclasses.dataclass
class RollOut(remote.RemoteCommand):
    """Begin a maintenance wave over a pool.

    Example: agaterudder roll-out tally --key-file ane.key
    """

    pool: t.Annotated[str, cappa.Arg(help="pool")]

    def __call__(self) -> None:
        self.post("roll-out", {"name": self.pool})


@cappa.command(name="wave", help="Show a maintenance wave.")
@dataclasses.dataclass
class WaveCommand(remote.RemoteCommand):
    """Show how far a wave is.

    Example: agaterudder wave 6c1d2e7a90b1c2d3 --key-file ane.key
    """

    wave: t.Annotated[str, cappa.Arg(help="identifier of the wave")]
    watch: t.Annotated[
        bool, cappa.Arg(long=True, help="show progress until it has ended")
    ] = False

    def __call__(self) -> None:
        while self.watch:
            response = self.call(lambda: self.connect().get(self._path))
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
class Drain(remote.RemoteCommand):
    """Drain, reboot and bring back one worker VM.

    Example: agaterudder drain worker-7 --key-file ane.key
    """

    vm: t.Annotated[str, cappa.Arg(help="worker VM")]

    def __call__(self) -> None:
        self.post("drain", {"vm": self.vm})


@cappa.command(name="move", help="Move a VM to another pool.")
@dataclasses.dataclass
class Move(remote.RemoteCommand):
    """Drain a worker VM and let it join another pool.

    Example: agaterudder move worker-7 ledger --key-file ane.key
    """

    vm: t.Annotated[str, cappa.Arg(help="worker VM")]
    pool: t.Annotated[str, cappa.Arg(help="pool to join")]

    def __call__(self) -> None:
        self.post("move", {"vm": self.vm, "pool": self.pool})
