"""Takes over the batches of entry VMs that are gone or gave them back.

Nothing of a batch is started again before every worker that may run a
part of it was fenced, is gone, or has let the lease lapse.
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

FENCE_SECONDS = 0.5
TRIED_FRACTION = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The batch may be taken over, and why."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The batch stays with its owner."""


def claimable(
    batch: tasks.Batch,
    vm: str,
    incarnation: int,
    held: t.Container[str],
    gone: t.Container[str],
    missed_seconds: float,
) -> Claim | Leave:
    """Decide whether a batch may be taken over.

    :param held: batches that this process holds.
    :param missed_seconds: how long the row was seen without being held; a
        row of this very process may be a submission under way.
    """
    if batch.batch in held:
        return Leave()
    if batch.owner == "":
        return Claim("its owner released it")
    if batch.owner in gone:
        return Claim(f"{batch.owner} is gone")
    if batch.owner != vm:
        return Leave()
    if batch.incarnation < incarnation:
        return Claim("an earlier process on this VM owned it")
    if missed_seconds > 2 * batches.SUBMIT_SECONDS:
        return Claim("its submission had no known outcome")
    return Leave()


class Surroundings(t.Protocol):
    """What adoption asks of the rest of the process."""

    def gone(self) -> frozenset[str]:
        """Return the entry VMs that are gone."""

    def workers_of(self, data_centre: str) -> list[platform.Vm]:
        """Return the workers listed in a data centre."""

    def worker(self, vm: str) -> workers.Worker | None:
        """Return the client of a worker."""

    def prefixes(self) -> list[str]:
        """Return the data centres whose batches may be taken over."""


class Adopter:
    """Scans for batches without an owner and takes them over."""

    __slots__ = (
        "_vm",
        "_store",
        "_execution",
        "_around",
        "_lapse_seconds",
        "_suspects",
    )

    def __init__(
        self,
        vm: str,
        table: store.Store,
        executing: execution.Execution,
        around: Surroundings,
        lapse: float,
    ) -> None:
        self._vm = vm
        self._store = table
        self._execution = executing
        self._around = around
        self._lapse_seconds = lapse
        self._suspects: dict[str, float] = {}

    def scan(self) -> int:
        """Adopt what may be adopted; return the number of batches.

        :raises StoreUnavailable: when the table service is away.
        """
        adopted: list[batches.Adopted] = []
        for data_centre in self._around.prefixes():
            prefix = f"{tasks.LIVE_PREFIX}{data_centre}/"
            for row in self._store.scan(prefix, tasks.Batch):
                taken = self._take(row, time.monotonic())
                if taken is not None:
                    adopted.append(taken)
        if adopted:
            gevent.spawn(self._resume, adopted)
        return len(adopted)

    def _take(
        self, row: store.Row[tasks.Batch], now: float
    ) -> batches.Adopted | None:
        batch = row.value
        if batch is None:
            return None
        claim = claimable(
            batch,
            self._vm,
            self._execution.owned.incarnation,
            self._execution.owned.held,
            self._around.gone(),
            now - self._suspects.setdefault(batch.batch, now),
        )
        if isinstance(claim, Leave):
            if batch.batch in self._execution.owned.held:
                self._suspects.pop(batch.batch, None)
            return None
        self._suspects.pop(batch.batch, None)
        adopted = self._execution.owned.adopt(row)
        if isinstance(adopted, codes.Refused):
            return None
        LOG.info(
            "batch adopted",
            extra={"batch": batch.batch, "why": claim.reason},
        )
        return adopted

    def _resume(self, adopted: list[batches.Adopted]) -> None:
        started_at = time.monotonic()
        asked = {item.held.batch.batch: self._to_ask(item) for item in adopted}
        known: dict[str, workers.Report] = {}
        where: dict[str, str] = {}
        silent = set(name for names in asked.values() for name in names)
        epochs = {
            item.held.batch.batch: item.held.batch.epoch for item in adopted
        }
        waited = 0.0
        while silent and waited < self._lapse_seconds:
            silent = self._fence(silent, epochs, known, where)
            if silent:
                gevent.sleep(FENCE_SECONDS)
            waited = time.monotonic() - started_at
        for item in adopted:
            unsure = bool(silent.intersection(asked[item.held.batch.batch]))
            self._resume_one(item, known, where, unsure)

    def _to_ask(self, item: batches.Adopted) -> list[str]:
        former = item.former
        if former.owner == "" and former.placements is not None:
            return sorted(set(former.placements.values()))
        return [
            vm.vm for vm in self._around.workers_of(former.owner_data_centre)
        ]

    def _fence(
        self,
        silent: set[str],
        epochs: dict[str, int],
        known: dict[str, workers.Report],
        where: dict[str, str],
    ) -> set[str]:
        """Fence the workers; return those that gave no answer."""
        calls = {
            name: gevent.spawn(self._fence_one, name, epochs)
            for name in silent
        }
        gevent.joinall(list(calls.values()))
        for name, call in calls.items():
            for report in call.value or ():
                known[report.task] = report
                where[report.task] = name
        return {name for name, call in calls.items() if call.value is None}

    def _fence_one(
        self, name: str, epochs: dict[str, int]
    ) -> list[workers.Report] | None:
        client = self._around.worker(name)
        if client is None:
            return []
        try:
            return client.fence(epochs).tasks
        except exceptions.StoreUnavailable:
            return None

    def _resume_one(
        self,
        item: batches.Adopted,
        known: dict[str, workers.Report],
        where: dict[str, str],
        unsure: bool,
    ) -> None:
        running = [
            task
            for task in item.held.batch.tasks
            if task.task in known and task.state not in tasks.SETTLED
        ]
        if unsure:
            self._set_unknown(item.held, known)
        self._take_grants(item, running)
        self._execution.resume(item, known, where)

    def _set_unknown(
        self, held: batches.Held, known: t.Container[str]
    ) -> None:
        """End tasks that a silent worker may have run.

        Its leases have lapsed, so that nothing runs there any more.
        """
        for task in held.batch.tasks:
            if (
                task.task in known
                or task.state in tasks.SETTLED
                or task.repeatable
            ):
                continue
            task.state = tasks.State.WAITING
            tasks.move(task, "lose_track")
            task.reason = "a worker that may have run it is silent"
            held.dirty = True

    def _take_grants(
        self, item: batches.Adopted, running: list[tasks.Task]
    ) -> None:
        """Let the grants that cover running tasks come along with them."""
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
                gevent.spawn(self._keep_trying, team, former, adopted)

    def _keep_trying(
        self, team: str, former: str, adopted: list[tasks.Task]
    ) -> None:
        """Take a grant before the former owner's may be reclaimed.

        Tasks that no grant covers by then are checkpointed, because the
        limit could be exceeded otherwise.
        """
        amount = resources.total(task.size for task in adopted)
        tries = int(self._lapse_seconds * TRIED_FRACTION / FENCE_SECONDS)
        for _ in range(tries):
            gevent.sleep(FENCE_SECONDS)
            refused = self._execution.held_grants.adopt(
                team, former, amount, self._execution.limit(team), True
            )
            if refused is None:
                return
        LOG.warning("no grant for adopted tasks", extra={"team": team})
        self._execution.checkpoint_all(adopted, "no grant covers it")
