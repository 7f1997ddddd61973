"""Selection of a backend server for a request."""

import dataclasses
import typing as t

from agaterudder import codes
from agaterudder import health
from agaterudder import platform
from agaterudder import slots

LEAVING_EXCLUSION_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """Selected server; a slot on it is acquired for the request."""

    server: platform.Vm


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Every usable server's slots are in use."""


class Servers:
    """Backend servers of one service in one data centre."""

    __slots__ = ("_servers", "_health", "_slots", "_leaving_until")

    def __init__(self, service_slots: slots.ServiceSlots) -> None:
        self._servers: dict[str, platform.Vm] = {}
        self._health = health.Health()
        self._slots = service_slots
        self._leaving_until: dict[str, float] = {}

    @property
    def health(self) -> health.Health:
        """Health statistics of the servers."""
        return self._health

    @property
    def slots(self) -> slots.ServiceSlots:
        """Slots on the servers that this VM may use."""
        return self._slots

    def update_servers(self, vms: t.Iterable[platform.Vm]) -> None:
        """Replace the servers by the live ones of the platform's list."""
        self._servers = {
            vm.vm: vm for vm in vms if vm.state is platform.VmState.LIVE
        }
        self._health.retain(self._servers)

    def mark_leaving(self, server: str, now: float) -> None:
        """Exclude a server that reported itself that it is leaving.

        The platform may list it as live for a while longer.
        """
        self._leaving_until[server] = now + LEAVING_EXCLUSION_SECONDS

    def usable(self, now: float) -> list[platform.Vm]:
        """Return the servers that may get new requests."""
        return [
            vm
            for name, vm in self._servers.items()
            if self._leaving_until.get(name, 0.0) <= now
            and self._health.usable(name, now)
        ]

    def choose(
        self, now: float, excluded: t.Container[str] = ()
    ) -> Chosen | Busy | codes.Refused:
        """Choose the least busy server and acquire one of its slots.

        :param excluded: servers that already failed this request.
        """
        usable = self.usable(now)
        candidates = [vm for vm in usable if vm.vm not in excluded]
        if not candidates:
            return codes.Refused(
                codes.Result.NO_SERVER, "no backend server can be used"
            )
        ordered = sorted(
            candidates, key=lambda vm: (self._slots.busy(vm.vm), vm.vm)
        )
        for vm in ordered:
            if self._slots.acquire(vm.vm, now):
                self._health.record_chosen(vm.vm, now)
                return Chosen(vm)
        return Busy()

    def capacity(self, now: float) -> int:
        """Return the slots that this VM may use on all usable servers."""
        return len(self.usable(now)) * self._slots.allowance(now)
