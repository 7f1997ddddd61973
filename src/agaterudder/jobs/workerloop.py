"""Renews the lease of one worker and reads what it runs."""

import logging
import typing as t

import gevent
import gevent.event

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import ownership
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import runs

LOG = logging.getLogger(__name__)

LOOK_WAIT_SECONDS = 1.6
# While a start may still arrive, a stop was answered or a lasting task
# starts up, look sooner.
UNSETTLED_WAIT_SECONDS = 0.2
# The readings of tasks that serve beside tasks that fill get old quickly.
SERVING_WAIT_SECONDS = 0.5
ANSWER_SECONDS = 0.7
RETRY_SECONDS = 0.15
NO_LEASE_SECONDS = 0.05
STORE_WAIT_SECONDS = 0.5
IDLE_SECONDS = 5.0
UNLISTED_SECONDS = 2.0


class PoolHolder(t.Protocol):
    """What the look at a worker needs of the holder of its pool."""

    lease: ownership.Lease
    state: pools.Pool

    def may_order(self) -> bool:
        """Return whether workers may be ordered now."""

    def deposed(self, reason: str) -> None:
        """Stop, as a higher epoch was met."""

    def heard(self) -> None:
        """Plan soon, and store what is not stored."""

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until marks up to one are stored; return whether they are."""

    def forget_worker(self, worker: fleet.WorkerState) -> None:
        """Forget a worker that is gone and runs nothing."""

    def life_over(self, worker: fleet.WorkerState, since: float) -> str:
        """Return why a silent worker's life is over, empty if it is not."""


class WorkerLoop:
    """The task that owns the looks at one worker."""

    __slots__ = (
        "_worker",
        "_holder",
        "_lease",
        "_wake",
        "_greenlet",
        "_acknowledged",
    )

    def __init__(
        self,
        worker: fleet.WorkerState,
        holder: PoolHolder,
        lease_seconds: float,
    ) -> None:
        self._worker = worker
        self._holder = holder
        self._lease = lease_seconds
        self._wake = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._acknowledged = 0

    def start(self) -> None:
        """Start looking."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop looking."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._worker.link.close()

    def wake(self) -> None:
        """Look soon."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            if not self._holder.may_order():
                gevent.sleep(NO_LEASE_SECONDS)
                continue
            if self._gone():
                LOG.info("worker gone", extra={"worker": self._worker.name})
                self._holder.forget_worker(self._worker)
                self._worker.link.close()
                return
            if self._idle():
                self._wake.wait(IDLE_SECONDS)
                self._wake.clear()
                if self._idle():
                    continue
            self._wake.clear()
            self._look()

    def _idle(self) -> bool:
        worker = self._worker
        return (
            worker.fenced
            and not worker.runs
            and self._acknowledged >= worker.last_end
        )

    def _gone(self) -> bool:
        worker = self._worker
        if worker.ended and not worker.runs:
            return True
        if worker.listed or worker.runs:
            return False
        now = clock.now()
        if now - worker.unlisted_at < UNLISTED_SECONDS:
            return False
        if worker.name in self._holder.state.unseen:
            return not self._holder.state.recovering(now)
        return True

    def _wait_seconds(self) -> float:
        worker = self._worker
        if not worker.fenced or worker.last_end > worker.acknowledged:
            return 0.0
        if any(
            run.state is not runs.RunState.RUNNING
            and run.state is not runs.RunState.SENT
            or run.stop_reason
            or run.starting_up
            for run in worker.runs.values()
        ):
            return UNSETTLED_WAIT_SECONDS
        return SERVING_WAIT_SECONDS if worker.mixed else LOOK_WAIT_SECONDS

    def _look(self) -> None:
        worker = self._worker
        sent_at = clock.now()
        wait = self._wait_seconds()
        deadline = None
        # A lease that goes on unheard would keep a silent worker's tasks
        # from ever being known to be over.
        if worker.clock_at and not worker.failed_at:
            deadline = worker.lease_deadline(sent_at, self._lease)
            worker.latest_deadline = max(worker.latest_deadline, deadline)
        acknowledged = worker.acknowledged
        life_start = worker.life_start
        answer = worker.link.renew(
            self._holder.lease.epoch,
            acknowledged,
            deadline,
            wait,
            wait + ANSWER_SECONDS,
        )
        now = clock.now()
        match answer:
            case ports.Listing():
                if worker.life_start == life_start:
                    self._acknowledged = acknowledged
                self._take(answer, sent_at, now)
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                self._holder.deposed("a worker met a higher epoch")
            case ports.Rejected(reason=ports.REJECTED_OTHER_LIFE):
                self._other_life(now)
            case ports.Rejected() | ports.NoAnswer():
                self._unheard(answer, now)

    def _take(
        self, listing: ports.Listing, sent_at: float, now: float
    ) -> None:
        worker = self._worker
        state = self._holder.state
        first = not worker.fenced
        last = state.listed(worker, listing, sent_at, now)
        if (
            listing.life_start
            and listing.life_start == worker.life_start
            or not listing.life_start
        ):
            state.worker_seen(worker, now)
        if first:
            LOG.info(
                "worker fenced",
                extra={
                    "worker": worker.name,
                    "epoch": self._holder.lease.epoch,
                    "runs": len(worker.runs),
                },
            )
        self._holder.heard()
        if last > worker.acknowledged:
            mark = state.journal.marked
            if self._holder.wait_stored(mark, STORE_WAIT_SECONDS):
                worker.acknowledged = max(worker.acknowledged, last)

    def _other_life(self, now: float) -> None:
        """Another worker has the address: this one is over."""
        worker = self._worker
        self._holder.state.worker_over(worker, "another worker answers", now)
        for run in list(worker.runs.values()):
            self._holder.state.run_over(run, now)
        self._holder.state.unseen.discard(worker.name)
        worker.listed = False
        worker.unlisted_at = worker.unlisted_at or now
        self._holder.heard()
        gevent.sleep(RETRY_SECONDS)

    def _unheard(
        self, answer: ports.Rejected | ports.NoAnswer, now: float
    ) -> None:
        worker = self._worker
        if not worker.failed_at:
            worker.failed_at = now
            LOG.warning(
                "worker silent",
                extra={
                    "worker": worker.name,
                    "why": answer.reason,
                    "runs": len(worker.runs),
                },
            )
        state = self._holder.state
        over = self._holder.life_over(worker, worker.failed_at)
        if not over and worker.fenced and worker.lapsed(now):
            over = "its lease has lapsed"
            worker.fenced = False
        elif over:
            worker.ended = True
            state.unseen.discard(worker.name)
        if over and worker.runs:
            state.worker_over(worker, over, now)
        for run in list(worker.runs.values()):
            if worker.forgotten(run, now, self._lease):
                state.run_over(run, now)
        self._holder.heard()
        gevent.sleep(RETRY_SECONDS)
