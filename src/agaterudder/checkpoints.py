"""Checkpoints running tasks, so that they go on elsewhere or later."""

import logging
import typing as t

import gevent
import gevent.event

from agaterudder import exceptions
from agaterudder import outcomes
from agaterudder import tasks
from agaterudder import workers

LOG = logging.getLogger(__name__)

DRAIN_GRACE_SECONDS = 10.0


class Checkpoints:
    """Checkpoints the tasks of this VM and returns them to the queue.

    :param worker: returns the client of a worker by its VM.
    """

    __slots__ = ("_outcomes", "_worker", "_wake", "_draining_since")

    def __init__(
        self,
        task_outcomes: outcomes.Outcomes,
        worker: t.Callable[[str], workers.Worker | None],
        wake: gevent.event.Event,
    ) -> None:
        self._outcomes = task_outcomes
        self._worker = worker
        self._wake = wake
        self._draining_since: dict[str, float] = {}

    def spawn(self, chosen: list[tuple[tasks.Task, str]], reason: str) -> None:
        """Checkpoint tasks from a greenlet of its own.

        :param chosen: the tasks, each with its worker.
        """
        gevent.spawn(self._checkpoint, chosen, reason)

    def checkpoint_all(
        self, running: t.Iterable[tasks.Task], reason: str
    ) -> None:
        """Checkpoint running tasks and return them to the queue."""
        placed = [
            (task, self._outcomes.placements[task.task].worker)
            for task in running
            if task.task in self._outcomes.placements
        ]
        self.spawn(placed, reason)

    def _checkpoint(
        self, chosen: list[tuple[tasks.Task, str]], reason: str
    ) -> None:
        try:
            for task, worker in chosen:
                client = self._worker(worker)
                if client is None:
                    continue
                self._outcomes.explain(task, "checkpoint", reason)
                self._outcomes.handle_reports(
                    worker, client.checkpoint(task.task)
                )
        except exceptions.StoreUnavailable as error:
            LOG.info(
                "worker did not answer a checkpoint call", extra={"why": error}
            )
        finally:
            self._wake.set()

    def evacuate(self, draining: t.Collection[str], now: float) -> None:
        """Checkpoint the tasks on workers that drain beyond the grace time.

        This is repeated at most once in each further grace time.

        :param draining: all workers that drain now.
        """
        self._draining_since = {
            worker: self._draining_since.get(worker, now)
            for worker in draining
        }
        for worker, since in self._draining_since.items():
            if now - since >= DRAIN_GRACE_SECONDS:
                self._draining_since[worker] = now
                self._evacuate_worker(worker)

    def _evacuate_worker(self, worker: str) -> None:
        running = [
            placement.task
            for placement in self._outcomes.placements.values()
            if placement.worker == worker and placement.confirmed
        ]
        self.checkpoint_all(running, "its worker drains")
