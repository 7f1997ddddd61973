"""Renews the leases of started tasks, and stops tasks on workers."""

import itertools
import logging
import time
import typing as t

import gevent

from agaterudder import exceptions
from agaterudder import fleet
from agaterudder import outcomes
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

RENEW_INTERVAL_SECONDS = 0.5
# Every n-th renewal round includes idle workers, for their free capacity.
FULL_RENEWAL_ROUNDS = 4


class TaskLeases:
    """Leases of the tasks that this VM started.

    :param lease_seconds: length of a lease.
    :param worker: returns the client of a worker by its VM.
    """

    __slots__ = ("_lease_seconds", "_fleet", "_outcomes", "_worker")

    def __init__(
        self,
        lease_seconds: float,
        local_fleet: fleet.Fleet,
        task_outcomes: outcomes.Outcomes,
        worker: t.Callable[[str], workers.Worker | None],
    ) -> None:
        self._lease_seconds = lease_seconds
        self._fleet = local_fleet
        self._outcomes = task_outcomes
        self._worker = worker

    def run(self) -> None:
        """Renew the leases until the greenlet is killed."""
        for round_number in itertools.count():
            calls = [
                gevent.spawn(self.renew, worker)
                for worker in self.workers_to_renew(round_number)
            ]
            gevent.joinall(calls, timeout=workers.TIMEOUT_SECONDS * 2)
            self._outcomes.resolve_expired(time.monotonic())
            gevent.sleep(RENEW_INTERVAL_SECONDS)

    def workers_to_renew(self, round_number: int = 0) -> set[str]:
        """Return the workers to call in a round.

        They are those with tasks of this VM or records to drop; every
        ``FULL_RENEWAL_ROUNDS`` rounds, they are all workers.
        """
        running = {
            placement.worker
            for placement in self._outcomes.placements.values()
        }
        targets = running.union(self._outcomes.droppable)
        if round_number % FULL_RENEWAL_ROUNDS == 0:
            targets.update(self._fleet.views)
        return targets

    def renew(self, worker: str) -> None:
        """Renew the leases on one worker and process its reports."""
        client = self._worker(worker)
        if client is None:
            return
        own_tasks = [
            task
            for task, placement in self._outcomes.placements.items()
            if placement.worker == worker
            and time.monotonic() - placement.last_contact_at
            < outcomes.MAX_SILENCE_SECONDS
        ]
        droppable = self._outcomes.droppable.pop(worker, [])
        lease = self._lease_seconds
        asked_at = time.monotonic()
        try:
            reports = client.renew(own_tasks, droppable, lease)
        except exceptions.StoreUnavailable:
            self._outcomes.droppable.setdefault(worker, []).extend(droppable)
            return
        for task in own_tasks:
            placement = self._outcomes.placements.get(task)
            if placement is not None and placement.confirmed:
                placement.last_contact_at = asked_at
        self._outcomes.handle_reports(worker, reports)

    def spawn_revocation(self, placement: outcomes.Placement) -> None:
        """Revoke a start without an answer, from a greenlet of its own."""
        gevent.spawn(self._revoke_unanswered_start, placement)

    def _revoke_unanswered_start(self, placement: outcomes.Placement) -> None:
        """Revoke a start that the worker did not answer, so it never runs."""
        client = self._worker(placement.worker)
        if client is None or placement.task.state is not tasks.State.STARTING:
            return
        if (
            time.monotonic() - placement.last_contact_at
            < workers.TIMEOUT_SECONDS
        ):
            return
        reports = self._stop_run(client, placement)
        if reports is not None:
            self._outcomes.handle_reports(placement.worker, reports)

    def _stop_run(
        self, client: workers.Worker, placement: outcomes.Placement
    ) -> workers.Reports | None:
        owned = self._outcomes.owned_batch(placement.task)
        if owned is None:
            return None
        try:
            return client.stop(
                placement.task.task, owned.batch.epoch, placement.task.starts
            )
        except exceptions.StoreUnavailable as error:
            LOG.info("worker did not answer a stop call", extra={"why": error})
            return None

    def stop_cancelled(self, placement: outcomes.Placement) -> None:
        """Stop a task that its caller cancelled."""
        client = self._worker(placement.worker)
        reports = self._stop_run(client, placement) if client else None
        if reports is None:
            return
        for report in reports.tasks:
            if report.state == "refused":
                self._outcomes.end_task(
                    placement,
                    tasks.State.CANCELLED,
                    "cancelled before it started",
                    time.monotonic(),
                    None,
                )
        self._outcomes.handle_reports(placement.worker, reports)
