"""Experiment on the decision functions: ``make experiment``.

A seeded load drives the product's own decision functions at the fleet sizes
of both users (:data:`bench.cluster.USERS`), with and without faults. Each is
compared with a simple baseline in the same run. Prints a Markdown table and
draws a plot. There is no network and no other process, and simulated time is
passed as an argument.
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
TICK_SECONDS = 1.0
RUN_TICKS = 600
LOSS_START_TICK = 200
LOSS_END_TICK = 400
DRAIN_SECONDS_RANGE = (20, 60)
REBOOT_SECONDS = 30
MAX_WAITING_TASKS = 200
MEAN_ARRIVALS_PER_TICK = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measure of one run, for the product and the baseline.

    :ivar faults: whether faults were injected.
    """

    measure: str
    user: str
    faults: bool
    seed: int
    product: float
    baseline: float


def _measure_shares(
    user: cluster.User, seed: int, faults: bool, product: bool
) -> tuple[float, float, float]:
    """Return share ratio, utilization during the loss, and utilization.

    The share ratio is the cores that a team uses over its fair share of all
    used cores, for the team where it is lowest. Utilization during the loss
    of a data centre is relative to the cores of the remaining ones. The
    grants are unlimited, so that only the shares restrict a team.
    """
    generator = random.Random(seed)
    simulation = cluster.Cluster(user, generator)
    queue = taskqueues.WaitingTasks()
    fifo: list[tasks.Task] = []
    learned_sizes = sizes.Sizes()
    local_grants = {name: escrow.LocalGrant() for name, _ in user.teams}
    for local_grant in local_grants.values():
        local_grant.grant = resources.UNLIMITED
    shares = dict(user.teams)
    capacity = resources.Vector(cluster.CORES * user.workers, 0.0, 0.0, 0.0)
    used_sum = dict.fromkeys(local_grants, 0.0)
    samples = 0
    loss_cores = 0.0
    loss_samples = 0
    lost_data_centre = ""
    waiting_counts = simulation.waiting
    for tick in range(RUN_TICKS):
        now = tick * TICK_SECONDS
        for name in simulation.stop_ended(now):
            for local_grant in local_grants.values():
                local_grant.release(name)
        if faults and tick == LOSS_START_TICK:
            lost_data_centre = "dc0"
            for task in simulation.lose_data_centre(lost_data_centre):
                local_grants[task.team].release(task.task)
                simulation.waiting[task.team] += 1
                queue.add(task)
                fifo.insert(0, task)
        if tick == LOSS_END_TICK:
            lost_data_centre = ""
        simulation.fleet.cordon(
            vm.vm
            for vm in simulation.vms.values()
            if vm.data_centre == lost_data_centre
        )
        for index, team in enumerate(local_grants):
            # Each team in turn submits five times its mean for 20 ticks.
            peak = 5.0 if (tick // 20) % len(local_grants) == index else 1.0
            for _ in range(_arrivals(generator, peak)):
                if waiting_counts[team] >= MAX_WAITING_TASKS:
                    break
                waiting_counts[team] += 1
                task = simulation.create_task(team, now)
                queue.add(task)
                fifo.append(task)
        if product:
            _start_product(
                simulation,
                queue,
                learned_sizes,
                local_grants,
                shares,
                capacity,
                now,
            )
        else:
            _start_baseline(simulation, queue, fifo, now)
        # Not sampled: a warm-up of 60 ticks, and the loss.
        if tick >= 60 and not lost_data_centre:
            samples += 1
            for team, used in simulation.usage.items():
                used_sum[team] += used.cores
        if lost_data_centre:
            loss_samples += 1
            loss_cores += sum(v.cores for v in simulation.usage.values())
    total_share = sum(share for _, share in user.teams)
    all_used = sum(used_sum.values())
    share_ratio = min(
        used_sum[name] / (all_used * share / total_share)
        for name, share in user.teams
    )
    remaining_cores = capacity.cores * (1 - 1 / user.data_centres)
    loss_utilization = (
        loss_cores / loss_samples / remaining_cores if loss_samples else 1.0
    )
    return share_ratio, loss_utilization, all_used / samples / capacity.cores


def _arrivals(generator: random.Random, peak: float) -> int:
    """Return the number of tasks that a team submits in one tick.

    :param peak: factor of the mean.
    """
    mean = MEAN_ARRIVALS_PER_TICK * peak
    return int(generator.expovariate(1 / mean))


def _start_product(
    simulation: cluster.Cluster,
    queue: taskqueues.WaitingTasks,
    learned_sizes: sizes.Sizes,
    local_grants: dict[str, escrow.LocalGrant],
    shares: dict[str, float],
    capacity: resources.Vector,
    now: float,
) -> None:
    """Start tasks with the product's scheduler until it starts no more."""
    while True:
        view = scheduling.View(
            "entry",
            shares,
            simulation.usage,
            frozenset(),
            capacity,
            frozenset(),
            {},
        )
        step = scheduling.next_step(
            "count",
            queue,
            simulation.fleet,
            learned_sizes,
            lambda team: local_grants[team],
            view,
            lambda _: (),
            now,
            now,
        )
        if not isinstance(step, scheduling.Launch):
            return
        queue.remove(step.task.task)
        simulation.fleet.views[step.worker].reserve(step.amount)
        simulation.start(step.task, step.worker, step.amount, now)


def _start_baseline(
    simulation: cluster.Cluster,
    queue: taskqueues.WaitingTasks,
    fifo: list[tasks.Task],
    now: float,
) -> None:
    """Start tasks first come, first served; the first blocks the others."""
    while fifo:
        task = fifo[0]
        place = fleet.choose(
            task.size, simulation.fleet.usable("count", now), "entry"
        )
        if not isinstance(place, fleet.Place):
            return
        fifo.pop(0)
        queue.remove(task.task)
        simulation.fleet.views[place.worker].reserve(task.size)
        simulation.start(task, place.worker, task.size, now)


def _measure_roll_out(
    user: cluster.User, seed: int, faults: bool, product: bool
) -> float:
    """Return the duration of a roll-out relative to its minimum.

    A roll-out drains and reboots each VM. The product may have four VMs out
    of service at once, and the baseline one; the minimum is that of four.
    Faults take two VMs down from second 100 to second 300.
    """
    generator = random.Random(seed)
    vms = {vm.vm: vm for vm in cluster.list_vms(user)}
    assurance = assurances.PoolAssurance(out=4 if product else 1)
    wave = waves.Wave("w", "count", "x", 0.0, "running", sorted(vms))
    step_seconds = {
        name: generator.uniform(*DRAIN_SECONDS_RANGE) + REBOOT_SECONDS
        for name in vms
    }
    down = set(generator.sample(sorted(vms), 2)) if faults else set()
    end_times: dict[str, float] = {}
    now = 0.0
    while waves.unfinished(wave):
        now += 1.0
        for name in [name for name, end in end_times.items() if end <= now]:
            del end_times[name]
            wave = waves.with_vm_returned(wave, name, now)
        if faults and now == 100.0:
            for name in down:
                vms[name] = _with_state(vms[name], platform.VmState.DOWN)
        if faults and now == 300.0:
            for name in down:
                vms[name] = _with_state(vms[name], platform.VmState.LIVE)
        wave = _start_steps(wave, vms, assurance, end_times, step_seconds, now)
    min_seconds = _min_seconds(step_seconds, 4)
    return now / min_seconds


def _with_state(vm: platform.Vm, state: platform.VmState) -> platform.Vm:
    return msgspec.structs.replace(vm, state=state)


def _start_steps(
    wave: waves.Wave,
    vms: dict[str, platform.Vm],
    assurance: assurances.PoolAssurance,
    end_times: dict[str, float],
    step_seconds: dict[str, float],
    now: float,
) -> waves.Wave:
    """Start the steps that the budget allows; record when each ends."""
    choice = waves.next_vm(wave, vms, {}, now)
    if isinstance(choice, waves.Wait):
        return wave
    for selected in choice:
        budget = budgets.Budget(dict.fromkeys(end_times, "maintain"))
        view = budgets.view(vms.values(), budget, ())
        allowed = budgets.decide(assurance, view, vms[selected.vm])
        if isinstance(allowed, codes.Refused):
            return wave
        wave = waves.with_vm_taken(wave, selected.vm, now)
        end_times[selected.vm] = now + step_seconds[selected.vm]
    return wave


def _min_seconds(step_seconds: dict[str, float], out: int) -> float:
    """Return the minimum time for the steps.

    :param out: number of VMs that may be out of service at once.
    """
    return max(sum(step_seconds.values()) / out, max(step_seconds.values()))


def _greedy(pools: list[rebalance.PoolDemand]) -> rebalance.Shift | None:
    """Return the move of the baseline, at once for any shortage or surplus.

    :param pools: demand of each pool, the buffer pool last.
    """
    spare = pools[-1]
    for pool in pools[:-1]:
        if spare.size and pool.demand > pool.size + pool.incoming:
            return rebalance.Shift("spare", pool.pool, "")
        if pool.lent and pool.size - pool.demand >= 1.0:
            return rebalance.Shift(pool.pool, "spare", "")
    return None


def _measure_buffer(
    user: cluster.User, seed: int, product: bool, greedy: bool = False
) -> tuple[float, float, float]:
    """Return idle VM-hours, moves, and unserved VM-seconds.

    Three pools reach their peaks one after another, each for 600 seconds.
    The product lends them VMs from a buffer pool of three, and a moved VM
    joins after ten seconds. The static baseline sizes each pool for its own
    peak and has no buffer.

    :param product: whether to lend from the buffer, else the static baseline.
    :param greedy: whether to decide on moves with :func:`_greedy`.
    """
    generator = random.Random(seed)
    pool_size = user.workers // 4
    peak = pool_size + 2
    pools = {name: pool_size for name in ("p0", "p1", "p2")}
    spare = 3 if product else 0
    if not product:
        pools = dict.fromkeys(pools, peak)
    lent = dict.fromkeys(pools, 0)
    policy = rebalance.Rebalance()
    idle = unserved = moves = 0.0
    joining: list[tuple[float, str]] = []
    phase = generator.randrange(0, 300)
    for now in range(0, 7_200):
        peak_index = ((now + phase) // 600) % 3
        demand = {
            name: (peak if index == peak_index else pool_size * 0.6)
            + generator.uniform(-0.2, 0.2)
            for index, name in enumerate(pools)
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
        demands = [
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
        demands.append(rebalance.PoolDemand("spare", spare, 0.0, 0))
        shift = policy.decide(demands, "spare", float(now))
        if greedy:
            shift = _greedy(demands)
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
    """Run every measurement for each user, seed and fault setting."""
    for user, seed, faults in itertools.product(
        cluster.USERS, seeds, (False, True)
    ):
        share_ratio, loss_utilization, utilization = _measure_shares(
            user, seed, faults, True
        )
        base_ratio, base_loss_utilization, base_utilization = _measure_shares(
            user, seed, faults, False
        )
        yield Figure(
            "cores in use, part of the fleet",
            user.name,
            faults,
            seed,
            utilization,
            base_utilization,
        )
        yield Figure(
            "worst team, part of its share",
            user.name,
            faults,
            seed,
            share_ratio,
            base_ratio,
        )
        if faults:
            yield Figure(
                "work in the loss of a data centre, part of the rest",
                user.name,
                faults,
                seed,
                loss_utilization,
                base_loss_utilization,
            )
        yield Figure(
            "roll-out time over its bound",
            user.name,
            faults,
            seed,
            _measure_roll_out(user, seed, faults, True),
            _measure_roll_out(user, seed, faults, False),
        )
        if not faults:
            yield from _buffer_figures(user, seed)


def _buffer_figures(user: cluster.User, seed: int) -> t.Iterator[Figure]:
    product_result = _measure_buffer(user, seed, True)
    static = _measure_buffer(user, seed, False)
    greedy = _measure_buffer(user, seed, True, True)
    rows = (
        ("idle VM-hours in 2 h (static)", product_result[0], static[0]),
        ("unserved VM-seconds (static)", product_result[2], static[2]),
        ("moves in 2 h (greedy)", product_result[1], greedy[1]),
    )
    for name, product, baseline in rows:
        yield Figure(name, user.name, False, seed, product, baseline)


def table(results: t.Sequence[Figure]) -> str:
    """Return median and worst of each measure as a Markdown table."""
    lines = [
        "| measure | user | faults | product median | worst | "
        "baseline median |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    keys = dict.fromkeys((f.measure, f.user, f.faults) for f in results)
    for measure, user, faults in keys:
        rows = [
            f
            for f in results
            if (f.measure, f.user, f.faults) == (measure, user, faults)
        ]
        products = [row.product for row in rows]
        worst = min(products) if "part of" in measure else max(products)
        base = statistics.median(row.baseline for row in rows)
        lines.append(
            f"| {measure} | {user} | {'on' if faults else 'off'} "
            f"| {statistics.median(products):.3f} | {worst:.3f} | {base:.3f} |"
        )
    return "\n".join(lines)


def draw(results: t.Sequence[Figure], path: str) -> None:
    """Draw box plots of product and baseline for each measure."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    measures = list(dict.fromkeys(f.measure for f in results))
    figure, axes = pyplot.subplots(2, 4, figsize=(14, 7))
    for axis, measure in zip(axes.flat, measures):
        rows = [f for f in results if f.measure == measure]
        axis.boxplot(
            [[f.product for f in rows], [f.baseline for f in rows]],
            tick_labels=["product", "baseline"],
        )
        axis.set_title(measure, fontsize=9)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})


def main() -> int:
    """Run the experiment; print its table and draw the plot on request."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=len(SEEDS))
    parser.add_argument("--plot", default="")
    arguments = parser.parse_args()
    results = list(figures(SEEDS[: arguments.seeds]))
    print(table(results))
    if arguments.plot:
        draw(results, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
