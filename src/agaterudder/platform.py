"""The platform's list of VMs and its maintenance operations."""

import enum

import msgspec

from agaterudder import exceptions
from agaterudder import resources
from agaterudder import store


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"
    GONE = "gone"


class Vm(msgspec.Struct, frozen=True):
    """One entry of the platform's list.

    :ivar role: entry, backend or worker.
    :ivar pool: pool of a worker, empty for the others.
    :ivar service: service of a backend server, empty for the others.
    :ivar reboots: number of reboots that the platform completed.
    """

    vm: str
    role: str
    data_centre: str
    rack: str
    address: str
    state: VmState
    pool: str = ""
    service: str = ""
    size: resources.Vector = resources.ZERO
    reboots: int = 0


class VmList(msgspec.Struct, frozen=True):
    """A snapshot of the list, which may lag behind the platform.

    :ivar age_seconds: age of the snapshot as reported by the platform.
    """

    vms: list[Vm]
    age_seconds: float = 0.0


class _Operation(msgspec.Struct):
    operation: str
    pool: str = ""


class Platform:
    """Client of the VM list and of drain, reboot and pool changes."""

    __slots__ = ("_transport",)

    def __init__(self, transport: store.Transport) -> None:
        self._transport = transport

    def list_vms(self) -> VmList:
        """Read the list.

        :raises StoreUnavailable: when no answer arrived.
        """
        _, content = self._transport.call("GET", "/vms")
        return msgspec.json.decode(content, type=VmList)

    def drain(self, vm: str, operation: str) -> None:
        """Ask a VM to finish its work and take no more; idempotent."""
        self._operate(vm, "drain", _Operation(operation))

    def reboot(self, vm: str, operation: str) -> None:
        """Reboot a drained VM for maintenance; idempotent."""
        self._operate(vm, "reboot", _Operation(operation))

    def undrain(self, vm: str, operation: str) -> None:
        """Let a VM take work again; idempotent."""
        self._operate(vm, "undrain", _Operation(operation))

    def assign_pool(self, vm: str, pool: str, operation: str) -> None:
        """Let a drained VM join a pool; idempotent."""
        self._operate(vm, "pool", _Operation(operation, pool))

    def _operate(self, vm: str, verb: str, body: _Operation) -> None:
        status, _ = self._transport.call(
            "POST", f"/vms/{vm}/{verb}", msgspec.json.encode(body)
        )
        if status != 200:
            raise exceptions.StoreUnavailable(f"{verb} of {vm}: {status}")
