"""Recovery of a pool after a take-over.

Until it is complete, runs and ends that earlier holders of the pool caused
may be unknown.
"""

import logging
import typing as t

from agaterudder.jobs import fleet
from agaterudder.jobs import jobruns
from agaterudder.jobs import poolreports

LOG = logging.getLogger(__name__)

# Added to the longest lease, for clock rates and for calls in flight.
RECOVERY_MARGIN_SECONDS = 0.3


class Recovery:
    """Recovery of one pool under one epoch.

    :param workers: workers of the pool, by name.
    :param ready: steps of the pool whose tasks may wait for its end, by name.
    :param longest_lease: longest lease of a worker, seconds.
    :param now: when this holder acquired the pool.
    :ivar unconfirmed_workers: names of the workers that earlier holders used
        and that have neither accepted this epoch nor been found lost.
    """

    __slots__ = (
        "_pool",
        "_epoch",
        "_workers",
        "_ready",
        "_acquired_at",
        "_until",
        "unconfirmed_workers",
    )

    def __init__(
        self,
        pool: str,
        epoch: int,
        workers: t.Mapping[str, fleet.WorkerState],
        ready: t.Mapping[str, jobruns.StepRun],
        longest_lease: float,
        now: float,
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._workers = workers
        self._ready = ready
        self._acquired_at = now
        # Until then, leases that earlier holders gave may last on workers
        # that have not accepted this epoch yet.
        self._until = (
            now
            + longest_lease / fleet.MIN_CLOCK_RATE
            + RECOVERY_MARGIN_SECONDS
        )
        self.unconfirmed_workers: set[str] = set()

    def worker_fenced(
        self, worker: fleet.WorkerState, now: float, more_ends: bool = False
    ) -> None:
        """Record that a worker has accepted this epoch.

        From then on it rejects orders of earlier holders.

        :param more_ends: whether it has not listed all ends yet.
        """
        if not worker.fenced:
            worker.fenced_at = now
        worker.fenced = True
        if not more_ends:
            self.unconfirmed_workers.discard(worker.name)

    def earlier_orders_expected(self, now: float) -> bool:
        """Return whether orders of earlier holders may still arrive.

        A worker that restarts has accepted no epoch and carries them out.
        """
        return now - self._acquired_at < fleet.MAX_ORDER_DELAY_SECONDS

    def pending(self, now: float) -> bool:
        """Return whether some runs or ends of earlier holders may be unknown.

        A worker keeps the ends of its runs when its lease is over, so it has
        to be asked in any case.
        """
        return any(
            now < self._until or not self._workers[name].given_up(now)
            for name in self.unconfirmed_workers
        )

    def discard_worker(
        self, name: str, reason: str, evidence: str, now: float
    ) -> None:
        """Wait no longer for an answer of a worker of earlier holders.

        :param evidence: what the reason rests on, and its age.
        """
        if name not in self.unconfirmed_workers:
            return
        self.unconfirmed_workers.discard(name)
        worker = self._workers.get(name)
        extra = {
            "pool": self._pool,
            "worker": name,
            "why": reason,
            "evidence": evidence,
            "recovering": round(now - self._acquired_at, 3),
        }
        if worker is not None:
            extra["heard"] = worker.heard(now)
        LOG.info("worker left recovery without an answer", extra=extra)

    def finish(self, now: float) -> None:
        """End the recovery: no run of an earlier holder is unknown."""
        missing = sorted(self.unconfirmed_workers)
        LOG.info(
            "pool recovery complete",
            extra={
                "pool": self._pool,
                "epoch": self._epoch,
                "why": (
                    "time passed" if missing else "no worker is unconfirmed"
                ),
                "took": round(now - self._acquired_at, 3),
                "workers": len(self._workers),
                "unconfirmed": len(missing),
                "missing": poolreports.names(missing),
                "held_back": self._held_back_tasks(),
            },
        )
        for name in missing:
            self.discard_worker(
                name,
                "time passed",
                "longest lease of an earlier holder",
                now,
            )

    def _held_back_tasks(self) -> int:
        """Return how many tasks wait for the end of the recovery."""
        return sum(
            1
            for step in self._ready.values()
            if step.job.recovered and step.ready_at
            for task in step.tasks
            if task.waiting
        )
