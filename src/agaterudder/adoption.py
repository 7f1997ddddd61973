"""Takes over the batches of entry VMs that are gone or released them.

No task of a batch is restarted before each worker that may run a task of the
batch has been fenced, is gone, or has no unexpired lease.
"""

import dataclasses
import logging
import time
import typing as t

import gevent

from agaterudder import batches
from agaterudder import codes
from agaterudder import exceptions
from agaterudder import execution
from agaterudder import platform
from agaterudder import resources
from agaterudder import store
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

RETRY_INTERVAL_SECONDS = 0.5
RETRY_WINDOW_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The batch may be taken over, with the reason."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimable:
    """The batch stays with its owner."""


def claimable(
    batch: tasks.Batch,
    vm: str,
    incarnation: int,
    owned: t.Container[str],
    gone: t.Container[str],
    unowned_seconds: float,
) -> Claim | NotClaimable:
    """Decide whether a batch may be taken over.

    :param owned: batches that this process owns.
    :param unowned_seconds: how long this process has seen the row without
        owning the batch. A recent row of this process itself may belong to
        a submission that is still in progress.
    """
    if batch.batch in owned:
        return NotClaimable()
    if batch.owner == "":
        return Claim("its owner released it")
    if batch.owner in gone:
        return Claim(f"{batch.owner} is gone")
    if batch.owner != vm:
        return NotClaimable()
    if batch.incarnation < incarnation:
        return Claim("an earlier process on this VM owned it")
    if unowned_seconds > 2 * batches.SUBMIT_TIMEOUT_SECONDS:
        return Claim("its submission had no known outcome")
    return NotClaimable()


class AdoptionContext(t.Protocol):
    """Queries that adoption makes to the rest of the process."""

    def gone(self) -> frozenset[str]:
        """Return the entry VMs that are gone."""

    def workers_of(self, data_centre: str) -> list[platform.Vm]:
        """Return the workers listed in a data centre."""

    def worker(self, vm: str) -> workers.Worker | None:
        """Return the client of a worker."""

    def adoptable_data_centres(self) -> list[str]:
        """Return the data centres whose batches may be taken over."""


class Adopter:
    """Scans for batches without an owner and takes them over."""

    __slots__ = (
        "_vm",
        "_store",
        "_execution",
        "_context",
        "_lease_expiry_seconds",
        "_unowned_since",
    )

    def __init__(
        self,
        vm: str,
        table: store.Store,
        executing: execution.Execution,
        context: AdoptionContext,
        lease_expiry_seconds: float,
    ) -> None:
        self._vm = vm
        self._store = table
        self._execution = executing
        self._context = context
        self._lease_expiry_seconds = lease_expiry_seconds
        self._unowned_since: dict[str, float] = {}

    def scan(self) -> int:
        """Adopt every claimable batch; return their number.

        :raises StoreUnavailable: when the table service is unavailable.
        """
        adopted: list[batches.Adopted] = []
        for data_centre in self._context.adoptable_data_centres():
            prefix = f"{tasks.LIVE_PREFIX}{data_centre}/"
            for row in self._store.scan(prefix, tasks.Batch):
                claimed = self._adopt_row(row, time.monotonic())
                if claimed is not None:
                    adopted.append(claimed)
        if adopted:
            gevent.spawn(self._resume, adopted)
        return len(adopted)

    def _adopt_row(
        self, row: store.Row[tasks.Batch], now: float
    ) -> batches.Adopted | None:
        batch = row.value
        if batch is None:
            return None
        claim = claimable(
            batch,
            self._vm,
            self._execution.owned_batches.incarnation,
            self._execution.owned_batches.owned,
            self._context.gone(),
            now - self._unowned_since.setdefault(batch.batch, now),
        )
        if isinstance(claim, NotClaimable):
            if batch.batch in self._execution.owned_batches.owned:
                self._unowned_since.pop(batch.batch, None)
            return None
        self._unowned_since.pop(batch.batch, None)
        adopted = self._execution.owned_batches.adopt(row)
        if isinstance(adopted, codes.Refused):
            return None
        LOG.info(
            "batch adopted from its former owner",
            extra={"batch": batch.batch, "why": claim.reason},
        )
        return adopted

    def _resume(self, adopted: list[batches.Adopted]) -> None:
        started_at = time.monotonic()
        workers_by_batch = {
            item.owned.batch.batch: self._workers_to_fence(item)
            for item in adopted
        }
        reports: dict[str, workers.Report] = {}
        worker_by_task: dict[str, str] = {}
        unresponsive = set(
            name for names in workers_by_batch.values() for name in names
        )
        epochs = {
            item.owned.batch.batch: item.owned.batch.epoch for item in adopted
        }
        waited = 0.0
        while unresponsive and waited < self._lease_expiry_seconds:
            unresponsive = self._fence_all(
                unresponsive, epochs, reports, worker_by_task
            )
            if unresponsive:
                gevent.sleep(RETRY_INTERVAL_SECONDS)
            waited = time.monotonic() - started_at
        for item in adopted:
            any_unresponsive = bool(
                unresponsive.intersection(
                    workers_by_batch[item.owned.batch.batch]
                )
            )
            self._resume_one(item, reports, worker_by_task, any_unresponsive)

    def _workers_to_fence(self, item: batches.Adopted) -> list[str]:
        former = item.former
        if former.owner == "" and former.placements is not None:
            return sorted(set(former.placements.values()))
        return [
            vm.vm for vm in self._context.workers_of(former.owner_data_centre)
        ]

    def _fence_all(
        self,
        unresponsive: set[str],
        epochs: dict[str, int],
        reports: dict[str, workers.Report],
        worker_by_task: dict[str, str],
    ) -> set[str]:
        """Fence the workers; return those that did not answer."""
        calls = {
            name: gevent.spawn(self._fence_one, name, epochs)
            for name in unresponsive
        }
        gevent.joinall(list(calls.values()))
        for name, call in calls.items():
            for report in call.value or ():
                reports[report.task] = report
                worker_by_task[report.task] = name
        return {name for name, call in calls.items() if call.value is None}

    def _fence_one(
        self, name: str, epochs: dict[str, int]
    ) -> list[workers.Report] | None:
        client = self._context.worker(name)
        if client is None:
            return []
        try:
            return client.fence(epochs).tasks
        except exceptions.StoreUnavailable:
            return None

    def _resume_one(
        self,
        item: batches.Adopted,
        reports: dict[str, workers.Report],
        worker_by_task: dict[str, str],
        any_unresponsive: bool,
    ) -> None:
        running = [
            task
            for task in item.owned.batch.tasks
            if task.task in reports and task.state not in tasks.SETTLED
        ]
        if any_unresponsive:
            self._end_unknown(item.owned, reports)
        self._transfer_grants(item, running)
        self._execution.resume(item, reports, worker_by_task)

    def _end_unknown(
        self, owned: batches.OwnedBatch, reports: t.Container[str]
    ) -> None:
        """End tasks that an unresponsive worker may have run.

        Its leases have expired, so that none of them still runs there.
        """
        for task in owned.batch.tasks:
            if (
                task.task in reports
                or task.state in tasks.SETTLED
                or task.repeatable
            ):
                continue
            task.state = tasks.State.WAITING
            tasks.apply_event(task, "lose_track")
            task.reason = "a worker that may have run it is silent"
            owned.dirty = True

    def _transfer_grants(
        self, item: batches.Adopted, running: list[tasks.Task]
    ) -> None:
        """Transfer the grants that cover the running tasks to this VM."""
        former = item.former.owner or item.former.released_by
        if former == self._vm:
            return
        by_team: dict[str, list[tasks.Task]] = {}
        for task in running:
            by_team.setdefault(task.team, []).append(task)
        for team, adopted in by_team.items():
            amount = resources.total(task.size for task in adopted)
            limit = self._execution.limit(team)
            refused = self._execution.held_grants.adopt(
                team, former, amount, limit
            )
            if refused is not None:
                gevent.spawn(self._retry_grants, team, former, adopted)

    def _retry_grants(
        self, team: str, former: str, adopted: list[tasks.Task]
    ) -> None:
        """Retry the transfer until the former grant may be reclaimed.

        Tasks that no grant covers by then are checkpointed, because
        otherwise the limit could be exceeded.
        """
        amount = resources.total(task.size for task in adopted)
        attempts = int(
            self._lease_expiry_seconds
            * RETRY_WINDOW_FRACTION
            / RETRY_INTERVAL_SECONDS
        )
        for _ in range(attempts):
            gevent.sleep(RETRY_INTERVAL_SECONDS)
            refused = self._execution.held_grants.adopt(
                team, former, amount, self._execution.limit(team), True
            )
            if refused is None:
                return
        LOG.warning(
            "no grant for the tasks taken over; they are checkpointed",
            extra={"team": team},
        )
        self._execution.checkpoints.checkpoint_all(
            adopted, "no grant covers it"
        )
