"""Registered entry VMs and the configuration versions they acknowledged."""

import dataclasses
import typing as t

import msgspec

from agaterudder import messages
from agaterudder import platform

PREFIX = "entries/"


class Member(msgspec.Struct, frozen=True):
    """Row of a registered entry VM.

    :ivar incarnation: increases with each start of a process on the VM.
    :ivar stream: address for the other entry processes.
    """

    vm: str
    incarnation: int
    data_centre: str
    stream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Members that have not yet acknowledged a version."""

    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceEverywhere:
    """Every registered member acknowledged, is gone, or fences itself."""

    version: int


class Roster:
    """The registered members and the versions that they acknowledged.

    Acknowledged versions are monotonic within an incarnation, so that any
    member may relay them in any order.
    """

    __slots__ = ("_members", "_versions", "_gone", "_data_centres", "_names")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._versions: dict[str, messages.MemberVersion] = {}
        self._gone: frozenset[str] = frozenset()
        self._data_centres: frozenset[str] = frozenset()
        self._names: frozenset[str] = frozenset()

    @property
    def members(self) -> dict[str, Member]:
        """Registered members by VM, without those that are gone."""
        return {
            vm: member
            for vm, member in self._members.items()
            if vm not in self._gone
        }

    @property
    def versions(self) -> dict[str, messages.MemberVersion]:
        """Highest known version of each member."""
        return dict(self._versions)

    @property
    def gone(self) -> frozenset[str]:
        """Entry VMs that the platform's list names as gone."""
        return self._gone

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres with registered members."""
        return self._data_centres

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Return the members of a data centre, sorted."""
        return sorted(
            vm
            for vm, member in self.members.items()
            if member.data_centre == data_centre
        )

    def set_registered(self, members: t.Iterable[Member]) -> None:
        """Replace the registered members by those read from the registry."""
        self._members = {member.vm: member for member in members}
        self._versions = {
            vm: known
            for vm, known in self._versions.items()
            if vm in self._members
        }
        self._update_names()

    @property
    def names(self) -> frozenset[str]:
        """Registered VMs that are not gone."""
        return self._names

    def _update_names(self) -> None:
        self._names = frozenset(self.members)
        self._data_centres = frozenset(
            member.data_centre for member in self.members.values()
        )

    def update_gone(self, vms: t.Iterable[platform.Vm]) -> None:
        """Update the VMs that are gone from the platform's list.

        Only the state gone counts: a VM that is missing from the list or
        leaving may still be active.
        """
        gone = {vm.vm for vm in vms if vm.state is platform.VmState.GONE}
        self._gone |= gone
        self._update_names()

    def record_version(self, vm: str, known: messages.MemberVersion) -> None:
        """Record a version that a member has, relayed by any member."""
        current = self._versions.get(vm)
        if current is None or _sort_key(known) > _sort_key(current):
            self._versions[vm] = known

    def decide(
        self, version: int, self_fenced: bool
    ) -> InForceEverywhere | Waiting:
        """Decide whether a version is in force everywhere.

        :param self_fenced: whether enough time has passed since the version
            was written that a member without it refuses keyed work.
        """
        missing = tuple(
            sorted(
                vm
                for vm, member in self.members.items()
                if not self._has_version(member, version)
            )
        )
        if missing and not self_fenced:
            return Waiting(missing)
        return InForceEverywhere(version)

    def _has_version(self, member: Member, version: int) -> bool:
        known = self._versions.get(member.vm)
        return (
            known is not None
            and known.incarnation >= member.incarnation
            and known.version >= version
        )


def _sort_key(known: messages.MemberVersion) -> tuple[int, int]:
    return (known.incarnation, known.version)
