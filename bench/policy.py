"""Experiment on the deciding functions: ``make experiment``.

A seeded load drives the product's own decisions with the sizes of both
users, each against a plain baseline in the same run, with faults on and
off. Prints a table in Markdown and draws a plot; there is no network and
no process, and the time is an argument.
"""

import argparse
import dataclasses
import itertools
import random
import statistics
import sys
import typing as t

import msgspec

from agaterudder import assurances
from agaterudder import budgets
from agaterudder import codes
from agaterudder import escrow
from agaterudder import fleet
from agaterudder import platform
from agaterudder import rebalance
from agaterudder import resources
from agaterudder import scheduling
from agaterudder import sizes
from agaterudder import taskqueues
from agaterudder import tasks
from agaterudder import waves
from bench import cluster

SEEDS = (1, 2, 3, 4, 5)
TURN_SECONDS = 1.0
RUN_SECONDS = 600
LOSS_FROM = 200
LOSS_UNTIL = 400
DRAIN_SECONDS = (20, 60)
REBOOT_SECONDS = 30
MAX_WAITING = 200
MEAN_ARRIVALS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measure of one run, for the product and the baseline."""

    measure: str
    user: str
    faults: bool
    seed: int
    product: float
    baseline: float


def _shares(
    user: cluster.User, seed: int, faults: bool, product: bool
) -> tuple[float, float, float]:
    """Return nearness to the share, work in the loss, and use of the fleet.

    The first is the worst team's part of its share of what runs, the
    second the part of what the remaining data centres can do.
    """
    generator = random.Random(seed)
    running = cluster.Cluster(user, generator)
    queue = taskqueues.WaitingTasks()
    order: list[tasks.Task] = []
    learnt = sizes.Sizes()
    local_grants = {name: escrow.LocalGrant() for name, _ in user.teams}
    for local_grant in local_grants.values():
        local_grant.grant = resources.UNLIMITED
    known = dict(user.teams)
    capacity = resources.Vector(cluster.CORES * user.workers, 0.0, 0.0, 0.0)
    used_sum = dict.fromkeys(local_grants, 0.0)
    samples = 0
    busy_out = 0.0
    samples_out = 0
    out = ""
    waiting_of = running.waiting
    for turn in range(RUN_SECONDS):
        now = turn * TURN_SECONDS
        for name in running.end_until(now):
            for local_grant in local_grants.values():
                local_grant.release(name)
        if faults and turn == LOSS_FROM:
            out = "dc0"
            for task in running.lose(out):
                local_grants[task.team].release(task.task)
                running.waiting[task.team] += 1
                queue.add(task)
                order.insert(0, task)
        if turn == LOSS_UNTIL:
            out = ""
        running.fleet.cordon(
            vm.vm for vm in running.vms.values() if vm.data_centre == out
        )
        for place, team in enumerate(local_grants):
            peak = 5.0 if (turn // 20) % len(local_grants) == place else 1.0
            for _ in range(_arrivals(generator, peak)):
                if waiting_of[team] >= MAX_WAITING:
                    break
                waiting_of[team] += 1
                task = running.task(team, now)
                queue.add(task)
                order.append(task)
        if product:
            _start_product(
                running, queue, learnt, local_grants, known, capacity, now
            )
        else:
            _start_baseline(running, queue, order, now)
        if turn >= 60 and not out:
            samples += 1
            for team, used in running.usage.items():
                used_sum[team] += used.cores
        if out:
            samples_out += 1
            busy_out += sum(v.cores for v in running.usage.values())
    whole = sum(share for _, share in user.teams)
    all_used = sum(used_sum.values())
    near = min(
        used_sum[name] / (all_used * share / whole)
        for name, share in user.teams
    )
    remaining = capacity.cores * (1 - 1 / user.data_centres)
    during = busy_out / samples_out / remaining if samples_out else 1.0
    return near, during, all_used / samples / capacity.cores


def _arrivals(generator: random.Random, peak: float) -> int:
    """Return the tasks that a team submits in one turn."""
    mean = MEAN_ARRIVALS * peak
    return int(generator.expovariate(1 / mean))


def _start_product(
    running: cluster.Cluster,
    queue: taskqueues.WaitingTasks,
    learnt: sizes.Sizes,
    local_grants: dict[str, escrow.LocalGrant],
    known: dict[str, float],
    capacity: resources.Vector,
    now: float,
) -> None:
    while True:
        view = scheduling.View(
            "entry",
            known,
            running.usage,
            frozenset(),
            capacity,
            frozenset(),
            {},
        )
        step = scheduling.next_step(
            "count",
            queue,
            running.fleet,
            learnt,
            lambda team: local_grants[team],
            view,
            lambda _: (),
            now,
            now,
        )
        if not isinstance(step, scheduling.Launch):
            return
        queue.remove(step.task.task)
        running.fleet.views[step.worker].reserve(step.amount)
        running.start(step.task, step.worker, step.amount, now)


def _start_baseline(
    running: cluster.Cluster,
    queue: taskqueues.WaitingTasks,
    order: list[tasks.Task],
    now: float,
) -> None:
    """First come, first served: the first task waits for room."""
    while order:
        task = order[0]
        place = fleet.choose(
            task.size, running.fleet.usable("count", now), "entry"
        )
        if not isinstance(place, fleet.Place):
            return
        order.pop(0)
        queue.remove(task.task)
        running.fleet.views[place.worker].reserve(task.size)
        running.start(task, place.worker, task.size, now)


def _roll_out(
    user: cluster.User, seed: int, faults: bool, product: bool
) -> float:
    """Return the time of a roll-out over the bound for its budget."""
    generator = random.Random(seed)
    vms = {vm.vm: vm for vm in cluster.list_vms(user)}
    assurance = assurances.PoolAssurance(out=4 if product else 1)
    wave = waves.Wave("w", "count", "x", 0.0, "running", sorted(vms))
    steps = {
        name: generator.uniform(*DRAIN_SECONDS) + REBOOT_SECONDS
        for name in vms
    }
    broken = set(generator.sample(sorted(vms), 2)) if faults else set()
    ends: dict[str, float] = {}
    now = 0.0
    while waves.unfinished(wave):
        now += 1.0
        for name in [name for name, end in ends.items() if end <= now]:
            del ends[name]
            wave = waves.with_vm_returned(wave, name, now)
        if faults and now == 100.0:
            for name in broken:
                vms[name] = _with_state(vms[name], platform.VmState.DOWN)
        if faults and now == 300.0:
            for name in broken:
                vms[name] = _with_state(vms[name], platform.VmState.LIVE)
        wave = _take(wave, vms, assurance, ends, steps, now)
    bound = _bound(steps, 4)
    return now / bound


def _with_state(vm: platform.Vm, state: platform.VmState) -> platform.Vm:
    return msgspec.structs.replace(vm, state=state)


def _take(
    wave: waves.Wave,
    vms: dict[str, platform.Vm],
    assurance: assurances.PoolAssurance,
    ends: dict[str, float],
    steps: dict[str, float],
    now: float,
) -> waves.Wave:
    choice = waves.next_vm(wave, vms, {}, now)
    if isinstance(choice, waves.Wait):
        return wave
    for take in choice:
        budget = budgets.Budget(dict.fromkeys(ends, "maintain"))
        view = budgets.view(vms.values(), budget, ())
        allowed = budgets.decide(assurance, view, vms[take.vm])
        if isinstance(allowed, codes.Refused):
            return wave
        wave = waves.with_vm_taken(wave, take.vm, now)
        ends[take.vm] = now + steps[take.vm]
    return wave


def _bound(steps: dict[str, float], out: int) -> float:
    """Return the shortest time that a budget allows for the steps."""
    return max(sum(steps.values()) / out, max(steps.values()))


def _greedy(pools: list[rebalance.PoolDemand]) -> rebalance.Shift | None:
    """Baseline for moves: move at once for any need or surplus."""
    spare = pools[-1]
    for pool in pools[:-1]:
        if spare.size and pool.demand > pool.size + pool.incoming:
            return rebalance.Shift("spare", pool.pool, "")
        if pool.lent and pool.size - pool.demand >= 1.0:
            return rebalance.Shift(pool.pool, "spare", "")
    return None


def _buffer(
    user: cluster.User, seed: int, product: bool, greedy: bool = False
) -> tuple[float, float, float]:
    """Return idle buffer in VM-hours, moves, and unserved VM-seconds.

    Three pools peak by turns; the baseline gives each pool its own spare
    VMs for its peak.
    """
    generator = random.Random(seed)
    each = user.workers // 4
    peak = each + 2
    pools = {name: each for name in ("p0", "p1", "p2")}
    spare = 3 if product else 0
    if not product:
        pools = dict.fromkeys(pools, peak)
    lent = dict.fromkeys(pools, 0)
    policy = rebalance.Rebalance()
    idle = unserved = moves = 0.0
    joining: list[tuple[float, str]] = []
    phase = generator.randrange(0, 300)
    for now in range(0, 7_200):
        turn = ((now + phase) // 600) % 3
        demand = {
            name: (peak if place == turn else each * 0.6)
            + generator.uniform(-0.2, 0.2)
            for place, name in enumerate(pools)
        }
        for at, target in [item for item in joining if item[0] <= now]:
            joining.remove((at, target))
            if target == "spare":
                spare += 1
            else:
                pools[target] += 1
        idle += spare + sum(max(0.0, pools[n] - demand[n]) for n in pools)
        unserved += sum(max(0.0, demand[n] - pools[n]) for n in pools)
        if not product:
            continue
        described = [
            rebalance.PoolDemand(
                n,
                pools[n],
                demand[n],
                1,
                lent[n],
                sum(target == n for _, target in joining),
            )
            for n in pools
        ]
        described.append(rebalance.PoolDemand("spare", spare, 0.0, 0))
        shift = policy.decide(described, "spare", float(now))
        if greedy:
            shift = _greedy(described)
        if shift is None:
            continue
        moves += 1
        if shift.source == "spare":
            spare -= 1
            lent[shift.target] += 1
        else:
            pools[shift.source] -= 1
            lent[shift.source] -= 1
            lent[shift.target] = lent.get(shift.target, 0) + 1
        joining.append((now + 10.0, shift.target))
    return idle / 3_600, moves, unserved


def figures(seeds: t.Sequence[int]) -> t.Iterator[Figure]:
    """Run everything for each user, seed and fault setting."""
    for user, seed, faults in itertools.product(
        cluster.USERS, seeds, (False, True)
    ):
        near, during, use = _shares(user, seed, faults, True)
        base_near, base_during, base_use = _shares(user, seed, faults, False)
        yield Figure(
            "cores in use, part of the fleet",
            user.name,
            faults,
            seed,
            use,
            base_use,
        )
        yield Figure(
            "worst team, part of its share",
            user.name,
            faults,
            seed,
            near,
            base_near,
        )
        if faults:
            yield Figure(
                "work in the loss of a data centre, part of the rest",
                user.name,
                faults,
                seed,
                during,
                base_during,
            )
        yield Figure(
            "roll-out time over its bound",
            user.name,
            faults,
            seed,
            _roll_out(user, seed, faults, True),
            _roll_out(user, seed, faults, False),
        )
        if not faults:
            yield from _buffer_figures(user, seed)


def _buffer_figures(user: cluster.User, seed: int) -> t.Iterator[Figure]:
    own = _buffer(user, seed, True)
    static = _buffer(user, seed, False)
    greedy = _buffer(user, seed, True, True)
    rows = (
        ("idle VM-hours in 2 h (static)", own[0], static[0]),
        ("unserved VM-seconds (static)", own[2], static[2]),
        ("moves in 2 h (greedy)", own[1], greedy[1]),
    )
    for name, product, baseline in rows:
        yield Figure(name, user.name, False, seed, product, baseline)


def table(found: t.Sequence[Figure]) -> str:
    """Return median and worst of each measure in Markdown."""
    lines = [
        "| measure | user | faults | product median | worst | "
        "baseline median |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    keys = dict.fromkeys((f.measure, f.user, f.faults) for f in found)
    for measure, user, faults in keys:
        rows = [
            f
            for f in found
            if (f.measure, f.user, f.faults) == (measure, user, faults)
        ]
        own = [row.product for row in rows]
        worst = min(own) if "part of" in measure else max(own)
        base = statistics.median(row.baseline for row in rows)
        lines.append(
            f"| {measure} | {user} | {'on' if faults else 'off'} "
            f"| {statistics.median(own):.3f} | {worst:.3f} | {base:.3f} |"
        )
    return "\n".join(lines)


def draw(found: t.Sequence[Figure], path: str) -> None:
    """Draw product against baseline for each measure."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    measures = list(dict.fromkeys(f.measure for f in found))
    figure, axes = pyplot.subplots(2, 4, figsize=(14, 7))
    for axis, measure in zip(axes.flat, measures):
        rows = [f for f in found if f.measure == measure]
        axis.boxplot(
            [[f.product for f in rows], [f.baseline for f in rows]],
            tick_labels=["product", "baseline"],
        )
        axis.set_title(measure, fontsize=9)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})


def main() -> int:
    """Run the experiment and show its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=len(SEEDS))
    parser.add_argument("--plot", default="")
    arguments = parser.parse_args()
    found = list(figures(SEEDS[: arguments.seeds]))
    print(table(found))
    if arguments.plot:
        draw(found, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
