"""Renews the lease of one worker and reads the list of its runs."""

import logging
import typing as t

import gevent
import gevent.event

from agaterudder.jobs import clock
from agaterudder.jobs import fleet
from agaterudder.jobs import greenlets
from agaterudder.jobs import leases
from agaterudder.jobs import listings
from agaterudder.jobs import machines
from agaterudder.jobs import pool as pools
from agaterudder.jobs import poolreports
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import workerends

LOG = logging.getLogger(__name__)

POLL_WAIT_SECONDS = 1.6
# Shorter wait while a start may still arrive, a stop was answered or a
# long-running task is starting up.
UNSETTLED_WAIT_SECONDS = 0.2
# Response times of latency-sensitive tasks that share a worker with
# best-effort tasks go stale quickly.
SERVING_WAIT_SECONDS = 0.5
ANSWER_MARGIN_SECONDS = 0.7
RETRY_SECONDS = 0.15
NO_LEASE_PAUSE_SECONDS = 0.05
STORE_TIMEOUT_SECONDS = 0.5
IDLE_INTERVAL_SECONDS = 5.0
UNREGISTERED_GRACE_SECONDS = 2.0
# Longest pause of polls that another worker answers.
MAX_REPLACEMENT_PAUSE_SECONDS = 5.0
MAX_DOUBLINGS = 10
# Why a run counts as ended whose worker has not answered for long enough.
SILENT = "silent beyond order and lease"


class PoolHolder(t.Protocol):
    """What a worker loop needs of the holder of its pool."""

    lease: leases.Lease
    state: pools.Pool

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that orders may be sent."""

    def step_down(self, reason: str) -> None:
        """Give the pool up because a higher epoch was seen."""

    def request_planning(self) -> None:
        """Request planning, and the write of progress not yet stored."""

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until a journal mark is stored; return whether it is."""

    def remove_worker(self, worker: fleet.WorkerState) -> None:
        """Remove a worker that has ended and runs nothing."""

    def termination_reason(
        self, worker: fleet.WorkerState, since: float
    ) -> str:
        """Return why an unresponsive worker ended, empty if it may run."""

    def machine_evidence(self, now: float) -> str:
        """Return the size and the age of the machine list."""


class WorkerLoop:
    """Renews the lease of one worker from a greenlet of its own."""

    __slots__ = (
        "_worker",
        "_holder",
        "_lease_seconds",
        "_wake",
        "_greenlet",
        "_store_slow",
        "_replacements",
    )

    def __init__(
        self,
        worker: fleet.WorkerState,
        holder: PoolHolder,
        lease_seconds: float,
    ) -> None:
        self._worker = worker
        self._holder = holder
        self._lease_seconds = lease_seconds
        self._wake = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._store_slow = False
        self._replacements = 0

    def start(self) -> None:
        """Start the loop."""
        self._greenlet = greenlets.spawn(
            self._run,
            what="worker loop",
            on_failure=self._give_pool_up,
            pool=self._holder.state.name,
            worker=self._worker.name,
        )

    def _give_pool_up(self) -> None:
        """Give the pool up: the loop may have applied half of a listing.

        The next holder reads the worker's list and the store anew.
        """
        self._holder.step_down("the loop of one of its workers failed")

    def stop(self) -> None:
        """Stop the loop and close the link to the worker."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._worker.link.close()

    def wake(self) -> None:
        """Poll the worker soon, even if it is idle."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            if not self._holder.holds_lease():
                gevent.sleep(NO_LEASE_PAUSE_SECONDS)
                continue
            if self._removable():
                LOG.info(
                    "worker removed from pool",
                    extra={"worker": self._worker.name},
                )
                self._holder.remove_worker(self._worker)
                self._worker.link.close()
                return
            if self._idle(clock.now()):
                self._wake.wait(IDLE_INTERVAL_SECONDS)
                if not self._holder.holds_lease():
                    continue
            self._wake.clear()
            self._poll()

    def _idle(self, now: float) -> bool:
        """Return whether the worker need not be polled without a pause.

        While an earlier start may still arrive, a poll that waits shows at
        once when the worker restarts, which makes the start effective again.
        """
        worker = self._worker
        state = self._holder.state
        return (
            worker.fenced
            and not worker.runs
            and worker.discarded_end >= worker.last_end_number
            and not state.late_starts.expected(worker.name, now)
            and not state.recovery.earlier_orders_expected(now)
        )

    def _removable(self) -> bool:
        worker = self._worker
        if worker.terminated and not worker.runs:
            return True
        if worker.registered or not worker.drained:
            return False
        now = clock.now()
        if now - worker.unregistered_at < UNREGISTERED_GRACE_SECONDS:
            return False
        if worker.name in self._holder.state.recovery.unconfirmed_workers:
            return not self._holder.state.recovery.pending(now)
        return True

    def _wait_seconds(self) -> float:
        worker = self._worker
        if (
            not worker.fenced
            or worker.unanswered_since
            or worker.last_end_number > worker.acknowledged_end
        ):
            return 0.0
        if any(
            run.state is not runs.RunState.RUNNING
            and run.state is not runs.RunState.SENT
            or run.stop_reason
            or run.starting_up
            or run.attempt
            for run in worker.runs.values()
        ):
            return UNSETTLED_WAIT_SECONDS
        return (
            SERVING_WAIT_SECONDS
            if worker.has_mixed_load
            else POLL_WAIT_SECONDS
        )

    def _poll(self) -> None:
        worker = self._worker
        sent_at = clock.now()
        wait = self._wait_seconds()
        deadline = None
        # Renewing a lease without an answer would extend it indefinitely,
        # and the leases of an unresponsive worker would never be known to
        # have expired.
        if worker.clock_at and not worker.unanswered_since:
            deadline = worker.lease_deadline(sent_at, self._lease_seconds)
            worker.latest_deadline = max(worker.latest_deadline, deadline)
        acknowledged_end = worker.end_to_acknowledge
        incarnation = worker.incarnation
        link = worker.link
        answer = link.renew(
            self._holder.lease.epoch,
            acknowledged_end,
            deadline,
            wait,
            wait + ANSWER_MARGIN_SECONDS,
        )
        now = clock.now()
        match answer:
            case ports.Listing():
                self._replacements = 0
                self._record_discarded(answer, incarnation, acknowledged_end)
                self._apply_listing(answer, sent_at, now)
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                self._holder.step_down("a worker has seen a higher epoch")
            case _ if worker.link is not link:
                # The worker has moved to another address meanwhile.
                return
            case ports.Rejected(reason=ports.REJECTED_OTHER_INCARNATION) if (
                worker.learnt_at > sent_at
            ):
                self._log_outdated("another worker answered", sent_at, now)
                gevent.sleep(RETRY_SECONDS)
            case ports.Rejected(reason=ports.REJECTED_OTHER_INCARNATION):
                self._handle_replacement(now)
            case ports.Rejected() | ports.NoAnswer():
                self._handle_no_answer(answer, now)

    def _record_discarded(
        self, listing: ports.Listing, incarnation: int, acknowledged_end: int
    ) -> None:
        """Record that a worker has discarded the acknowledged ends.

        :param incarnation: the incarnation that they belong to.
        """
        worker = self._worker
        same_incarnation = listing.incarnation in (0, incarnation)
        if same_incarnation and worker.incarnation == incarnation:
            worker.discarded_end = max(worker.discarded_end, acknowledged_end)
        if not same_incarnation and acknowledged_end:
            LOG.warning(
                "ends of another incarnation acknowledged",
                extra={
                    "worker": worker.name,
                    "ends_of": incarnation,
                    "sent_to": listing.incarnation,
                    "upto": acknowledged_end,
                },
            )

    def _apply_listing(
        self, listing: ports.Listing, sent_at: float, now: float
    ) -> None:
        worker = self._worker
        state = self._holder.state
        first = not worker.fenced
        awaited = worker.name in state.recovery.unconfirmed_workers
        listings.apply(state, worker, listing, sent_at, now)
        if (
            listing.incarnation
            and listing.incarnation == worker.incarnation
            or not listing.incarnation
        ):
            state.recovery.worker_fenced(worker, now, listing.more_ends)
        if first:
            LOG.info(
                "worker accepted the pool's epoch",
                extra={
                    "worker": worker.name,
                    "epoch": self._holder.lease.epoch,
                    "runs": len(worker.runs),
                    "awaited": awaited,
                },
            )
        self._holder.request_planning()
        worker.note_listed_ends(state.journal.marked, now)
        if worker.unstored_ends:
            self._acknowledge(listing)

    def _acknowledge(self, listing: ports.Listing) -> None:
        """Acknowledge the ends of a listing that are stored.

        Waits for the oldest only: in a busy pool, later ones are always
        being stored.
        """
        worker = self._worker
        state = self._holder.state
        before = worker.acknowledged_end
        oldest = worker.unstored_ends[0]
        self._holder.wait_stored(oldest.mark, STORE_TIMEOUT_SECONDS)
        last = worker.acknowledge_stored(state.journal.stored)
        if last is not None:
            self._store_slow = False
            waited = clock.now() - oldest.at
            state.acknowledged.add(
                worker.name, listing, before, last.number, waited
            )
        elif worker.unstored_ends:
            self._log_not_stored(before, oldest)

    def _log_not_stored(self, before: int, oldest: fleet.ListedEnds) -> None:
        """Log the first time that ends are not stored in time."""
        if self._store_slow:
            return
        self._store_slow = True
        journal = self._holder.state.journal
        LOG.info(
            "ends not acknowledged: not stored in time",
            extra={
                "worker": self._worker.name,
                "life_start": self._worker.incarnation,
                "from": before,
                "to": oldest.number,
                "waited": round(clock.now() - oldest.at, 3),
                "mark": oldest.mark,
                "stored": journal.stored,
                "unstored": len(journal),
            },
        )

    def _handle_replacement(self, now: float) -> None:
        """End the worker, as another one answers at its address."""
        worker = self._worker
        reason = "another worker answers at its address"
        workerends.lost(
            self._holder.state,
            worker,
            reason,
            now,
            "its answer, just now",
            ended=True,
            crashed=not worker.end_expected,
        )
        self._holder.state.recovery.discard_worker(
            worker.name, reason, "its answer, just now", now
        )
        worker.registered = False
        worker.unregistered_at = worker.unregistered_at or now
        self._holder.request_planning()
        self._wake.wait(replacement_pause(self._replacements))
        self._replacements += 1

    def _handle_no_answer(
        self, answer: ports.Rejected | ports.NoAnswer, now: float
    ) -> None:
        worker = self._worker
        worker.unanswered_polls += 1
        if not worker.unanswered_since:
            worker.unanswered_since = now
            LOG.warning(
                "worker did not answer its lease renewal",
                extra={
                    "worker": worker.name,
                    "why": answer.reason,
                    "runs": len(worker.runs),
                },
            )
        state = self._holder.state
        reason = self._termination_reason()
        evidence = f"{worker.unanswered_polls} polls without an answer"
        ended = bool(reason)
        crashed = reason == machines.NO_MACHINE and not worker.end_expected
        if not ended and worker.fenced and worker.lease_expired(now):
            reason = "its lease has lapsed"
            worker.fenced = False
        elif ended:
            worker.terminated = True
            evidence = self._holder.machine_evidence(clock.now())
            state.recovery.discard_worker(worker.name, reason, evidence, now)
        if reason and worker.runs:
            workerends.lost(
                state, worker, reason, now, evidence, ended, crashed
            )
        elif crashed:
            state.suspects.crash_seen(now)
        expired = [
            run
            for run in worker.runs.values()
            if worker.run_expired(run, now, self._lease_seconds)
        ]
        poolreports.runs_lost(
            state.metrics, state.name, worker, expired, SILENT, evidence, now
        )
        for run in expired:
            state.remove_run(run, now, SILENT)
        self._holder.request_planning()
        gevent.sleep(RETRY_SECONDS)

    def _termination_reason(self) -> str:
        """Return why the worker has ended, empty if it may run.

        The list of machines tells what was so when it was asked for. What is
        learnt of the worker until it is answered is newer.
        """
        worker = self._worker
        asked_at = clock.now()
        worker.end_asked = True
        try:
            reason = self._holder.termination_reason(
                worker, max(worker.unanswered_since, worker.learnt_at)
            )
        finally:
            worker.end_asked = False
        if not reason or worker.learnt_at <= asked_at:
            return reason
        self._log_outdated(reason, asked_at, clock.now())
        return ""

    def _log_outdated(self, reason: str, asked_at: float, now: float) -> None:
        """Log an answer that is older than what is known of the worker."""
        worker = self._worker
        LOG.info(
            "worker not taken for ended: it was heard since",
            extra={
                "worker": worker.name,
                "why": reason,
                "asked": round(now - asked_at, 3),
                "heard": round(now - worker.learnt_at, 3),
                "life_start": worker.incarnation,
                "runs": len(worker.runs),
            },
        )


def replacement_pause(replacements: int) -> float:
    """Return the seconds before a worker is asked again.

    :param replacements: how often in a row another worker answered before.
    """
    pause: float = RETRY_SECONDS * 2 ** min(replacements, MAX_DOUBLINGS)
    return min(pause, MAX_REPLACEMENT_PAUSE_SECONDS)
