"""Settings of one entry process, read from TOML into checked classes."""

import pathlib
import typing as t

import msgspec

from agaterudder import exceptions

Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Count = t.Annotated[int, msgspec.Meta(ge=1)]
Address = t.Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
]
Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of each table of the settings file."""


class Entry(_Section, frozen=True):
    """Identity and addresses of this entry VM.

    :ivar vm: name of the VM, as in the platform's list.
    :ivar data_centre: data centre of the VM.
    :ivar http: address for callers and operators.
    :ivar stream: address for the other entry processes.
    :ivar seeds: stream addresses to try when the table service is unavailable.
    """

    vm: Name
    data_centre: Name
    http: Address
    stream: Address
    seeds: list[Address] = []


class Platform(_Section, frozen=True):
    """The platform's services.

    :ivar address: table service, object store and VM list.
    :ivar timeout_seconds: longest wait for one answer.
    :ivar poll_seconds: time between two reads of the VM list.
    """

    address: Address
    timeout_seconds: Seconds = 2.0
    poll_seconds: Seconds = 2.0


class Service(_Section, frozen=True):
    """A service on backend servers.

    :ivar slots: requests one backend server executes at once.
    :ivar connections: connections one backend server accepts.
    :ivar timeout_seconds: longest wait for a backend server's answer.
    :ivar queue_length: requests waiting for a slot on this entry VM.
    :ivar open: whether requests need no team key.
    """

    name: Name
    slots: Count = 8
    connections: Count = 64
    timeout_seconds: Seconds = 10.0
    queue_length: Count = 256
    open: bool = False


class OperatorKey(_Section, frozen=True):
    """Salted hash of an operator's key, as ``agaterudder hash-key`` prints.

    :ivar name: who uses the key; written into the history.
    """

    name: str
    salt: str
    hash: str


class Limits(_Section, frozen=True):
    """Upper limits of what one process holds.

    :ivar body_bytes: largest body of a request or an answer.
    :ivar tasks: tasks that one entry process holds, settled ones included.
    :ivar http_connections: connections from callers.
    :ivar peer_requests: requests in progress for peers.
    """

    body_bytes: Count = 1_048_576
    tasks: Count = 50_000
    http_connections: Count = 2_000
    peer_requests: Count = 500


class Timing(_Section, frozen=True):
    """Intervals of the control loops, in seconds.

    :ivar heartbeat_seconds: time between two heartbeats to a peer.
    :ivar silence_seconds: time without a message after which a peer counts as
        silent.
    :ivar pause_seconds: time between two runs of the pause check from which
        the process counts as paused.
    :ivar keyed_grace_seconds: how long work with a team key is admitted
        without contact with the table service or with every other entry VM.
    :ivar task_lease_seconds: length of a task's lease on its worker.
    :ivar clock_rate_margin: largest relative difference of clock rates.
    :ivar lease_margin_seconds: added to each wait for a lease to expire.
    :ivar batch_seconds: how long submissions and settlements are collected
        before they are written together.
    :ivar readiness_lag_seconds: time that the load balancer needs to notice
        that the process shuts down.
    :ivar shutdown_seconds: longest graceful shutdown.
    :ivar retention_seconds: how long a settled task can be looked up.
    """

    heartbeat_seconds: Seconds = 0.5
    silence_seconds: Seconds = 2.0
    pause_seconds: Seconds = 3.0
    keyed_grace_seconds: Seconds = 300.0
    task_lease_seconds: Seconds = 30.0
    clock_rate_margin: Seconds = 0.01
    lease_margin_seconds: Seconds = 1.0
    batch_seconds: Seconds = 0.05
    readiness_lag_seconds: Seconds = 2.0
    shutdown_seconds: Seconds = 30.0
    retention_seconds: Seconds = 86_400.0


class Settings(_Section, frozen=True):
    """Contents of the settings file."""

    entry: Entry
    platform: Platform
    services: list[Service] = []
    operators: list[OperatorKey] = []
    limits: Limits = Limits()
    timing: Timing = Timing()
    log_level: t.Literal["debug", "info", "warning", "error"] = "info"

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return next(
            (item for item in self.services if item.name == name), None
        )


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: when the file can't be read or is invalid; the
        message names the file, the field and what was expected.
    """
    try:
        settings = msgspec.toml.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise exceptions.SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error
    _check_relations(path, settings)
    return settings


def _check_relations(path: pathlib.Path, settings: Settings) -> None:
    timing = settings.timing
    if timing.silence_seconds < 2 * timing.heartbeat_seconds:
        raise exceptions.SettingsError(
            f"{path}: timing.silence_seconds must be at least twice "
            "timing.heartbeat_seconds"
        )
    if timing.pause_seconds >= timing.task_lease_seconds:
        raise exceptions.SettingsError(
            f"{path}: timing.pause_seconds must be shorter than "
            "timing.task_lease_seconds"
        )
    names = [service.name for service in settings.services]
    if len(set(names)) != len(names):
        raise exceptions.SettingsError(f"{path}: services.name occurs twice")
