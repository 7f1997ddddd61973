"""What the parts of an entry process need of it."""

import typing as t

from agaterudder import adoption
from agaterudder import configuration
from agaterudder import control
from agaterudder import decisions
from agaterudder import dispatch
from agaterudder import execution
from agaterudder import fleet
from agaterudder import freshness
from agaterudder import maintenance
from agaterudder import membership
from agaterudder import messages
from agaterudder import peers
from agaterudder import platform
from agaterudder import settings
from agaterudder import store
from agaterudder import vmsteps


class EntryState(t.Protocol):
    """State and components of an entry process.

    :ivar vms: the platform's list of VMs, as last read.
    :ivar gone_at: when each VM that is gone was first seen as gone, in
        seconds of the monotonic clock.
    :ivar in_force: the configuration that is in force.
    :ivar incarnation: number of this process's registration, 0 before.
    :ivar leaving: whether the process shuts down.
    """

    settings: settings.Settings
    vm: str
    data_centre: str
    vms: list[platform.Vm]
    gone_at: dict[str, float]
    in_force: configuration.ActiveConfiguration
    roster: membership.Roster
    fleet: fleet.Fleet
    incarnation: int
    leaving: bool
    freshness: freshness.Freshness
    decisions: decisions.Decisions
    store: store.Store
    platform: platform.Platform
    control: control.ConfigurationControl
    links: peers.Links
    dispatcher: dispatch.Dispatcher
    execution: execution.Execution
    adopter: adoption.Adopter
    maintenance: maintenance.Maintenance

    def may_decide(self, now: float) -> bool:
        """Return whether the local state is fresh enough for decisions."""

    def digest(self) -> messages.Digest:
        """Return the state that this process sends to its peers."""

    def load(self) -> dict[str, float]:
        """Return the busy fraction of each worker of this data centre."""

    def demands(self, now: float) -> dict[str, float]:
        """Return running and waiting work of each local pool, in VMs."""

    def maintenance_snapshot(self) -> vmsteps.Snapshot:
        """Return the inputs of maintenance decisions."""
