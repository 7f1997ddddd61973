"""Carries out the orders that planning produces for a pool."""

import logging

import gevent
import gevent.pool

from agaterudder.jobs import clock
from agaterudder.jobs import context as contexts
from agaterudder.jobs import greenlets
from agaterudder.jobs import orders
from agaterudder.jobs import ports
from agaterudder.jobs import runs
from agaterudder.jobs import runstarts
from agaterudder.jobs import tickets
from agaterudder.jobs import workerends
from agaterudder.jobs import workerregistry

LOG = logging.getLogger(__name__)

ORDER_TIMEOUT_SECONDS = 0.8
PROBE_TIMEOUT_SECONDS = 0.3
MAX_CONCURRENT_ORDERS = 256
POLICY_RETRY_SECONDS = 0.1
# The policy service answers one question at a time, so that a question may
# have to wait for those of other processes.
POLICY_TIMEOUT_FACTOR = 4


class OrderExecutor:
    """Sends orders to workers and records their answers."""

    __slots__ = ("_context", "_registry", "_policy", "_tasks")

    def __init__(
        self,
        context: contexts.Context,
        registry: workerregistry.WorkerRegistry,
        policy: ports.Policy | None,
    ) -> None:
        self._context = context
        self._registry = registry
        self._policy = policy
        self._tasks = gevent.pool.Pool(MAX_CONCURRENT_ORDERS)

    def spawn(self, order: orders.Order) -> None:
        """Carry an order out concurrently with the others."""
        greenlets.watch(
            self._tasks.spawn(self._carry_out, order),
            f"order {type(order).__name__}",
            pool=self._context.pool,
            **_subject(order),
        )

    def stop(self) -> None:
        """Abort the orders under way."""
        gevent.killall(list(self._tasks.greenlets), block=False)

    def _carry_out(self, order: orders.Order) -> None:
        match order:
            case orders.Start():
                self._start_run(order)
            case orders.Stop(run=run):
                self._stop_run(run)
            case orders.Throttle(run=run, percent=percent):
                self._throttle(run, percent)
            case orders.RequestTickets():
                self._request_tickets(order)
        self._context.plan_needed.set()

    def _start_run(self, order: orders.Start) -> None:
        run = order.run
        obstacle = self._probe(run) if run.apart else ""
        if (run.task_name, run.number) not in run.worker.runs:
            # Its worker has ended meanwhile.
            return
        if not self._context.holds_lease() or run.task is None:
            obstacle = "pool lease not held"
        if obstacle or run.task is None:
            runstarts.rejected(
                self._context.state,
                run,
                f"{runstarts.NOT_SENT}{obstacle}",
                clock.now(),
            )
            return
        job = run.task.step.job
        run.ordered_at = clock.now()
        answer = run.worker.link.start(
            ports.StartOrder(
                run.task_name,
                run.number,
                job.job.request.payload,
                run.deadline,
                self._context.lease.epoch,
                order.checkpoint,
                order.ticket,
            ),
            ORDER_TIMEOUT_SECONDS,
        )
        now = clock.now()
        _record_answer(run.worker, answer, now)
        self._context.metrics.observe(
            "worker_start", now - run.ordered_at, pool=self._context.pool
        )
        match answer:
            case ports.Started():
                runstarts.accepted(self._context.state, run, now)
                self._registry.wake(run.worker)
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                runstarts.rejected(
                    self._context.state, run, ports.REJECTED_FENCED, now
                )
                self._context.step_down("a worker has seen a higher epoch")
            case ports.Rejected(reason=reason):
                runstarts.rejected(self._context.state, run, reason, now)
                self._registry.wake(run.worker)
            case ports.NoAnswer(reason=reason, may_take_effect=False):
                run.worker.unanswered_since = (
                    run.worker.unanswered_since or now
                )
                runstarts.rejected(
                    self._context.state,
                    run,
                    f"{runstarts.NOT_SENT}{reason}",
                    now,
                )
                self._registry.wake(run.worker)
            case ports.NoAnswer(reason=reason):
                runstarts.unanswered(self._context.state, run, reason, now)
                self._registry.wake(run.worker)

    def _probe(self, run: runs.Run) -> str:
        """Make sure that the worker of a suspect has not crashed before.

        :returns: why the suspect is not started, empty if the worker answers.
        """
        if not self._context.holds_lease():
            return "pool lease not held"
        answer = run.worker.link.renew(
            self._context.lease.epoch, 0, None, 0.0, PROBE_TIMEOUT_SECONDS
        )
        _record_answer(run.worker, answer, clock.now())
        run.probed = isinstance(answer, ports.Listing)
        if run.probed:
            return ""
        self._registry.wake(run.worker)
        return f"its worker did not answer a probe: {answer}"

    def _stop_run(self, run: runs.Run) -> None:
        if not self._context.holds_lease():
            return
        LOG.info(
            "stopping run",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": run.stop_reason,
            },
        )
        incarnation = run.worker.incarnation
        answer = run.worker.link.stop(
            run.task_name,
            run.number,
            self._context.lease.epoch,
            ORDER_TIMEOUT_SECONDS,
        )
        if run.worker.incarnation != incarnation:
            # The answer may be that of the incarnation before.
            return
        _record_answer(run.worker, answer, clock.now())
        match answer:
            case ports.Done():
                run.stop_answered_at = clock.now()
                self._registry.wake(run.worker)
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                self._context.step_down("a worker has seen a higher epoch")
            case ports.Rejected(reason=ports.REJECTED_OTHER_INCARNATION):
                workerends.superseded(self._context.state, run, clock.now())
            case other:
                LOG.info(
                    "stop of run not confirmed",
                    extra={"task": run.task_name, "why": other},
                )

    def _throttle(self, run: runs.Run, percent: int) -> None:
        if not self._context.holds_lease():
            return
        answer = run.worker.link.throttle(
            run.task_name,
            run.number,
            percent,
            self._context.lease.epoch,
            ORDER_TIMEOUT_SECONDS,
        )
        _record_answer(run.worker, answer, clock.now())
        if isinstance(answer, ports.Done):
            run.speed_percent = percent
        LOG.info(
            "throttle order sent",
            extra={
                "task": run.task_name,
                "percent": percent,
                "answer": type(answer).__name__,
            },
        )

    def _request_tickets(self, order: orders.RequestTickets) -> None:
        step = order.step
        queue = self._context.state.queue_of(step)
        try:
            if self._policy is None or queue.policy is None:
                LOG.warning(
                    "placement policy not configured",
                    extra={"step": step.name},
                )
                return
            expected = (
                queue.policy.base_seconds
                + queue.policy.per_worker_seconds * len(order.workers)
            )
            asked_at = clock.now()
            answer = self._policy.ask(
                step.name,
                order.workers,
                expected * POLICY_TIMEOUT_FACTOR + ORDER_TIMEOUT_SECONDS,
            )
        finally:
            step.policy_request_pending = False
        if isinstance(answer, ports.NoAnswer):
            LOG.info(
                "placement policy did not answer; retrying",
                extra={"step": step.name, "why": answer.reason},
            )
            gevent.sleep(POLICY_RETRY_SECONDS)
            return
        valid = answer.valid_seconds or queue.policy.ticket_seconds
        step.tickets = tickets.joined(
            step.tickets,
            tickets.Tickets(
                set(order.workers) - set(answer.by_worker),
                answer.by_worker,
                asked_at + valid,
            ),
            clock.now(),
        )


def _record_answer(worker: runs.Worker, answer: object, now: float) -> None:
    """Record that a worker lives if the answer to an order is its own."""
    match answer:
        case ports.NoAnswer():
            return
        case ports.Rejected(reason=ports.REJECTED_OTHER_INCARNATION):
            return
    worker.record_answer(now)


def _subject(order: orders.Order) -> dict[str, str]:
    """Return what an order is about, for log lines."""
    if isinstance(order, orders.RequestTickets):
        return {"step": order.step.name}
    return {"task": order.run.task_name, "worker": order.run.worker.name}
