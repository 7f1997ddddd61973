"""Decides the speed limit of the best-effort tasks on a worker.

Best-effort tasks slow down the latency-sensitive tasks on the same worker
by an unknown amount. The controller therefore follows the tail of the
response times of the latency-sensitive tasks.
"""

from agaterudder.jobs import fleet
from agaterudder.jobs import orders
from agaterudder.jobs import pool as pools
from agaterudder.jobs import runs

FULL_PERCENT = 100
# Below this speed, best-effort tasks are paused.
MIN_PERCENT = 20
RAISE_STEP_PERCENT = 20
# The tail covers the last half second, so a change shows only after it.
SETTLE_SECONDS = 0.55
# The limit is raised when all latency-sensitive tasks have stayed this long
# below this fraction of their targets.
RAISE_AFTER_SECONDS = 2.0
RAISE_BELOW_FRACTION = 0.7
# The limit is lowered above this fraction, before the target is reached.
LOWER_ABOVE_FRACTION = 0.9
# An order is sent again after this time while it has not taken effect.
THROTTLE_RETRY_SECONDS = 0.3


def due_orders(state: pools.Pool, now: float) -> list[orders.Throttle]:
    """Return the orders to send now, and record them as sent.

    They throttle best-effort tasks that slow latency-sensitive ones.
    """
    found = []
    for worker in state.workers.values():
        if not worker.has_mixed_load:
            continue
        percent = adjust_speed(worker, now)
        for run in worker.runs.values():
            if _order_due(run, percent, now):
                run.throttle_sent_at = now
                found.append(orders.Throttle(run, percent))
    return found


def _order_due(run: runs.Run, percent: int, now: float) -> bool:
    return (
        run.task is not None
        and run.task.step.step.best_effort
        and run.state is runs.RunState.RUNNING
        and run.speed_percent != percent
        and now - run.throttle_sent_at > THROTTLE_RETRY_SECONDS
    )


def adjust_speed(worker: fleet.WorkerState, now: float) -> int:
    """Adjust and return the speed limit of best-effort tasks, in per cent.

    Halves the limit near a target, raises it after a time well below all
    targets. Records in the worker when the limit was changed and since when
    all latency-sensitive tasks are well below their targets.
    """
    target_ratios = [
        run.measurement / run.task.step.step.target_seconds
        for run in worker.runs.values()
        if run.task is not None
        and run.measurement is not None
        and run.task.step.step.target_seconds > 0
    ]
    highest = max(target_ratios, default=0.0)
    if highest > RAISE_BELOW_FRACTION:
        worker.below_target_since = now
    tail_updated = now - worker.throttled_at >= SETTLE_SECONDS
    if highest > LOWER_ABOVE_FRACTION and tail_updated:
        lower = worker.best_effort_percent // 2
        _set_percent(worker, lower if lower >= MIN_PERCENT else 0, now)
    elif (
        now - worker.below_target_since >= RAISE_AFTER_SECONDS and tail_updated
    ):
        raised = min(
            worker.best_effort_percent + RAISE_STEP_PERCENT, FULL_PERCENT
        )
        _set_percent(worker, raised, now)
    return worker.best_effort_percent


def _set_percent(worker: fleet.WorkerState, percent: int, now: float) -> None:
    if percent != worker.best_effort_percent:
        worker.best_effort_percent = percent
        worker.throttled_at = now
