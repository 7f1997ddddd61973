"""Maintenance waves over the VMs of a pool.

A wave maintains VMs rack by rack, within the budget of the pool. It pauses
when failures accumulate during the wave, because they are then likely to
have a common cause, and resumes after one VM, taken as a probe, returned to
service.
"""

import collections
import dataclasses
import typing as t

import msgspec

from agaterudder import lifecycles
from agaterudder import platform

PREFIX = "waves/"
FAILURES_TO_PAUSE = 2
PAUSE_SECONDS = 30.0
MAX_STEP_SECONDS = 900.0


class Wave(msgspec.Struct, frozen=True):
    """Row of a wave.

    :ivar state: state in the state chart ``charts/wave.yaml``.
    :ivar waiting: VMs that are not yet taken out of service.
    :ivar under_way: VMs out of service for the wave, with the wall-clock
        time at which they were taken out.
    :ivar done: VMs that returned to service.
    :ivar failed: VMs that did not return in time, or went down later.
    :ivar changed_at: wall-clock time of the last change of state.
    """

    wave: str
    pool: str
    author: str
    started_at: float
    state: str
    waiting: list[str]
    under_way: dict[str, float] = {}
    done: list[str] = []
    failed: list[str] = []
    changed_at: float = 0.0
    why: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """Take a VM out of service next, if the budget allows."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Take no VM out of service now, with the reason."""

    reason: str


def transitioned(wave: Wave, event: str, why: str, now: float) -> Wave:
    """Return the wave after an event of its chart.

    :param now: wall-clock time in seconds since the epoch.
    """
    state = lifecycles.load("wave").next_state(wave.state, event)
    return msgspec.structs.replace(wave, state=state, changed_at=now, why=why)


def with_vm_returned(wave: Wave, vm: str, now: float) -> Wave:
    """Return the wave after a VM returned to service."""
    under_way = {k: v for k, v in wave.under_way.items() if k != vm}
    failed = [name for name in wave.failed if name != vm]
    waiting = [name for name in wave.waiting if name != vm]
    done = [*(name for name in wave.done if name != vm), vm]
    after = msgspec.structs.replace(
        wave, waiting=waiting, under_way=under_way, failed=failed, done=done
    )
    if after.state == "probing":
        after = transitioned(after, "probe_returned", f"{vm} came back", now)
    if not after.waiting and not after.under_way:
        if after.state == "running":
            after = transitioned(after, "finish", "every VM came back", now)
    return after


def with_vm_taken(wave: Wave, vm: str, now: float) -> Wave:
    """Return the wave after a VM was taken out of service."""
    remaining = [name for name in wave.waiting if name != vm]
    after = msgspec.structs.replace(
        wave, waiting=remaining, under_way={**wave.under_way, vm: now}
    )
    if after.state == "paused":
        after = transitioned(after, "probe", f"{vm} is the probe", now)
    return after


def with_failures(
    wave: Wave, states: t.Mapping[str, platform.VmState], now: float
) -> Wave:
    """Return the wave with its late and failed VMs recorded.

    :param states: state of each VM in the platform's list.
    """
    late = [
        vm
        for vm, since in wave.under_way.items()
        if now - since > MAX_STEP_SECONDS and vm not in wave.failed
    ]
    down = [
        vm
        for vm in wave.done
        if states.get(vm) is platform.VmState.DOWN and vm not in wave.failed
    ]
    if not late and not down:
        return wave
    failed = [*wave.failed, *late, *down]
    after = msgspec.structs.replace(wave, failed=failed)
    probing = wave.state == "probing"
    must_pause = len(failed) - len(wave.failed) and (
        len(failed) >= FAILURES_TO_PAUSE or probing
    )
    if must_pause and wave.state in ("running", "probing"):
        why = f"failures within the wave: {', '.join(failed)}"
        return transitioned(after, "failures_rose", why, now)
    return after


def next_vm(
    wave: Wave,
    listed: t.Mapping[str, platform.Vm],
    load: t.Mapping[str, float],
    now: float,
) -> list[Take] | Wait:
    """Return the VMs to try next, best first.

    VMs of racks that are already partly out go first, so that a wave affects
    few racks at once; among them, the VM with the least running work.

    :param listed: VMs that this entry VM may take out of service.
    :param load: running work of each VM.
    """
    if wave.state == "paused" and now - wave.changed_at < PAUSE_SECONDS:
        return Wait(f"paused: {wave.why}")
    if wave.state == "probing":
        return Wait("the probe is under way")
    candidates = [listed[vm] for vm in wave.waiting if vm in listed]
    if not candidates:
        return Wait("no VM of this data centre waits")
    out = collections.Counter(
        (vm.data_centre, vm.rack)
        for vm in listed.values()
        if vm.state is not platform.VmState.LIVE
    )
    waiting = collections.Counter(
        (vm.data_centre, vm.rack) for vm in candidates
    )

    def preference(vm: platform.Vm) -> tuple[int, int, float, str]:
        domain = (vm.data_centre, vm.rack)
        return (-out[domain], waiting[domain], load.get(vm.vm, 0.0), vm.vm)

    ordered = sorted(candidates, key=preference)
    return [Take(vm.vm) for vm in ordered]


def unfinished(wave: Wave) -> bool:
    """Return whether the wave has neither finished nor been stopped."""
    return wave.state not in ("done", "stopped")
