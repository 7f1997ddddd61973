"""Holds one pool: reads what is stored, orders its workers, stores ends."""

import dataclasses
import logging
import typing as t

import gevent
import gevent.event
import gevent.pool
import msgspec

from agaterudder import codes
from agaterudder import exceptions
from agaterudder.jobs import beliefs
from agaterudder.jobs import clock
from agaterudder.jobs import deployment
from agaterudder.jobs import fleet
from agaterudder.jobs import following
from agaterudder.jobs import machines
from agaterudder.jobs import maintenance
from agaterudder.jobs import model
from agaterudder.jobs import orders
from agaterudder.jobs import ownership
from agaterudder.jobs import planning
from agaterudder.jobs import pool as pools
from agaterudder.jobs import ports
from agaterudder.jobs import resizing
from agaterudder.jobs import runs
from agaterudder.jobs import sizing
from agaterudder.jobs import teamlimits
from agaterudder.jobs import wallclock
from agaterudder.jobs import workerloop
from agaterudder import metrics

LOG = logging.getLogger(__name__)

INBOX_WAIT_SECONDS = 2.0
GATHER_SECONDS = 0.004
BATCH_SECONDS = 0.025
TURN_SECONDS = 0.1
ORDER_TIMEOUT_SECONDS = 0.8
PENDING_SECONDS = 1.0
LIMITS_SECONDS = 0.5
LIMITS_PAUSE_SECONDS = 0.05
STORE_RETRY_SECONDS = 0.1
ORDERS_AT_ONCE = 256
MAINTENANCE_SECONDS = 0.4
RESIZE_SECONDS = 0.1
WORKERS_KEY = "workers"


class KnownWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that tasks of a pool were started on."""

    worker: str
    address: str
    data_centre: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetTools:
    """What upkeep and moves of machines go through."""

    operators: ports.Operators
    view: machines.View
    orders: machines.MachineOrders


class _Inbox:
    """The stored jobs and cancellations of a pool, to be followed."""

    __slots__ = ("_store", "_table", "_pool")

    def __init__(self, store: ports.Store, pool: str) -> None:
        self._store = store
        self._pool = pool
        self._table = model.jobs_table(pool)

    def whole(self) -> tuple[tuple[ports.Row, ...], int]:
        """Return all rows, and their version."""
        scan = self._store.scan(self._table, self._pool)
        return scan.rows, scan.version

    def changes(
        self, after: int, wait_seconds: float
    ) -> tuple[tuple[ports.Row, ...], int] | ports.HistoryLost:
        """Wait for changed rows."""
        found = self._store.changes(self._table, after, wait_seconds)
        if isinstance(found, ports.HistoryLost):
            return found
        return found.rows, found.version


class Holder:
    """Runs one pool while this process has its lease.

    :param owner: is told when a higher epoch is met.
    :param connect: returns the link to a worker.
    """

    def __init__(
        self,
        lease: ownership.Lease,
        owner: ownership.Owner,
        store: ports.Store,
        known: beliefs.Beliefs,
        bounds: deployment.Bounds,
        connect: t.Callable[[ports.WorkerEntry], ports.Worker],
        policy: ports.Policy | None,
        fleet_tools: FleetTools,
        measured: metrics.Metrics,
    ) -> None:
        self.lease = lease
        self.pool = lease.pool
        self._owner = owner
        self._store = store
        self._beliefs = known
        self._bounds = bounds
        self._connect = connect
        self._policy = policy
        self._metrics = measured
        self._limits = teamlimits.TeamLimits(self.pool)
        self.state = pools.Pool(
            self.pool, lease.epoch, bounds, self._limits, clock.now()
        )
        self._epoch = ports.Check(
            model.HOLDERS_TABLE, model.HOLDER_KEY, lease.epoch
        )
        self._plan = gevent.event.Event()
        self._write = gevent.event.Event()
        self._stored = gevent.event.Event()
        self._record = gevent.event.Event()
        self._limits_needed = gevent.event.Event()
        self._orders = gevent.pool.Pool(ORDERS_AT_ONCE)
        self._loops: list[gevent.Greenlet] = []
        self._worker_loops: dict[str, workerloop.WorkerLoop] = {}
        self._recorded: dict[str, KnownWorker] = {}
        self._recorded_version = 0
        self._ended_lives: dict[str, int] = {}
        self._inbox = following.Follower(
            f"jobs of {self.pool}",
            _Inbox(store, self.pool),
            self._inbox_whole,
            self._inbox_changed,
            INBOX_WAIT_SECONDS,
        )
        self._maintenance = maintenance.Maintenance(
            self,
            store,
            fleet_tools.operators,
            fleet_tools.view,
            fleet_tools.orders,
        )
        self._view = fleet_tools.view
        self._resizing = resizing.Resizing(
            self, fleet_tools.view, fleet_tools.orders
        )
        self._stopped = False

    # Life

    def start(self) -> None:
        """Recover the pool, then run it."""
        self._spawn(self._run)

    def stop(self) -> None:
        """Stop at once; nothing more is ordered."""
        self._stopped = True
        if self._beliefs_heard in self._beliefs.listeners:
            self._beliefs.unlisten(self._beliefs_heard)
        loops = [*self._loops, *self._orders.greenlets]
        gevent.killall(loops, block=False)
        for loop in self._worker_loops.values():
            loop.stop()

    def _spawn(self, loop: t.Callable[[], None]) -> None:
        self._loops.append(gevent.spawn(loop))

    def may_order(self) -> bool:
        """Return whether workers may be ordered now."""
        return not self._stopped and self.lease.valid(clock.now())

    def deposed(self, reason: str) -> None:
        """Stop, as a higher epoch was met."""
        self._owner.deposed(self.lease, reason)

    def _run(self) -> None:
        while not self._stopped:
            try:
                if self._recover():
                    break
            except exceptions.CallFailed as error:
                LOG.warning(
                    "recovery waits",
                    extra={"pool": self.pool, "why": error},
                )
            gevent.sleep(STORE_RETRY_SECONDS)
        for loop in (
            self._inbox.run,
            self._write_for_ever,
            self._plan_for_ever,
            self._publish_for_ever,
            self._settle_limits_for_ever,
            self._record_for_ever,
            self._maintain_for_ever,
            self._resize_for_ever,
        ):
            self._spawn(loop)
        self._beliefs.listen(self._beliefs_heard)
        self._beliefs_heard()

    def _recover(self) -> bool:
        """Read what earlier holders stored; return whether all was read."""
        now = clock.now()
        if not self._limits.load(self._store):
            return False
        row = self._store.read(model.HOLDERS_TABLE, self.pool, WORKERS_KEY)
        if row is not None:
            self._recorded_version = row.version
            found = model.decode(row.value, list[KnownWorker])
            self._recorded = {item.worker: item for item in found}
        inbox = self._store.scan(model.jobs_table(self.pool), self.pool)
        progress = {
            row.key: row
            for row in self._store.scan(model.PROGRESS_TABLE, self.pool).rows
        }
        self._take_rows(inbox.rows, inbox.clock, progress, True)
        self._inbox.start_from(inbox.version, now)
        self.state.create_due(wallclock.now(), now)
        self._recover_workers()
        LOG.info(
            "pool recovered",
            extra={
                "pool": self.pool,
                "epoch": self.lease.epoch,
                "jobs": len(self.state.jobs),
                "workers": len(self.state.workers),
            },
        )
        return True

    def _recover_workers(self) -> None:
        listed = self._beliefs.workers
        for item in self._recorded.values():
            entry = listed.get(item.worker) or ports.WorkerEntry(
                item.worker,
                self.pool,
                item.address,
                item.data_centre,
                ports.WORKER_DRAINING,
                fleet.NO_ROOM,
                (),
                "",
                item.born,
            )
            worker = self._add_worker(entry)
            worker.recorded = True
            self.state.unseen.add(worker.name)

    # What the stored rows say

    def _inbox_whole(self, rows: tuple[ports.Row, ...]) -> None:
        """Take all rows after the history was lost."""
        present = {row.key for row in rows}
        for name in [name for name in self.state.jobs if name not in present]:
            LOG.debug("job row is gone", extra={"job": name})
        self._take_rows(rows, self._owner.store_clock(), {}, False)
        self._plan.set()

    def _inbox_changed(self, rows: tuple[ports.Row, ...]) -> None:
        present = tuple(row for row in rows if row.version)
        self._take_rows(present, self._owner.store_clock(), {}, False)
        self._plan.set()

    def _take_rows(
        self,
        rows: tuple[ports.Row, ...],
        store_clock: float,
        progress: dict[str, ports.Row],
        recovered: bool,
    ) -> None:
        now = clock.now()
        for row in rows:
            if row.key.endswith(model.CANCEL_SUFFIX):
                continue
            self._take_job(row, store_clock, progress, recovered, now)
        for row in rows:
            if row.key.endswith(model.CANCEL_SUFFIX):
                self._take_cancel(row, store_clock, now)

    def _take_job(
        self,
        row: ports.Row,
        store_clock: float,
        progress: dict[str, ports.Row],
        recovered: bool,
        now: float,
    ) -> None:
        try:
            job = model.decode(row.value, model.Job)
            stored = progress.get(row.key)
            known = (
                model.decode(stored.value, model.Progress)
                if stored is not None
                else model.Progress()
            )
        except msgspec.MsgspecError as error:
            LOG.warning(
                "row left out",
                extra={"table": row.table, "row": row.key, "why": error},
            )
            return
        age = min(max(store_clock - job.accepted_at, 0.0), now)
        version = stored.version if stored is not None else 0
        self.state.accept(job, known, version, now - age, recovered)

    def _take_cancel(
        self, row: ports.Row, store_clock: float, now: float
    ) -> None:
        name = row.key.removesuffix(model.CANCEL_SUFFIX)
        if name in self.state.jobs:
            self.state.cancel(name, store_clock, now)
        else:
            table = model.jobs_table(self.pool)
            self.state.journal.remove(ports.Delete(table, row.key))
        self._write.set()

    # Beliefs

    def _beliefs_heard(self) -> None:
        configuration = self._beliefs.configuration
        if configuration is not None:
            self.state.queues = configuration.queues
            self._limits.configure(configuration)
        self.state.taken_out = self._beliefs.taken_out
        self._match_workers()
        self._plan.set()

    def _match_workers(self) -> None:
        listed = {
            name: entry
            for name, entry in self._beliefs.workers.items()
            if entry.pool == self.pool
            and self._ended_lives.get(name) != entry.born
        }
        self._ended_lives = {
            name: born
            for name, born in self._ended_lives.items()
            if name in self._beliefs.workers
        }
        for name, entry in listed.items():
            worker = self.state.workers.get(name)
            if worker is None:
                worker = self._add_worker(entry)
            elif worker.entry != entry:
                self._update_worker(worker, entry)
            worker.listed = True
        now = clock.now()
        for worker in list(self.state.workers.values()):
            if worker.name not in listed and worker.listed:
                LOG.info("worker not listed", extra={"worker": worker.name})
                worker.listed = False
                worker.unlisted_at = now
                self._worker_loops[worker.name].wake()
        if any(not w.recorded for w in self.state.workers.values()):
            self._record.set()

    def _add_worker(self, entry: ports.WorkerEntry) -> fleet.WorkerState:
        worker = fleet.WorkerState(entry, self._connect(entry))
        _note_draining(worker, entry)
        worker.idle_since = clock.now()
        self.state.adopt_worker(worker)
        loop = workerloop.WorkerLoop(worker, self, self._bounds.worker_lease)
        self._worker_loops[worker.name] = loop
        loop.start()
        return worker

    def _update_worker(
        self, worker: fleet.WorkerState, entry: ports.WorkerEntry
    ) -> None:
        if entry.address != worker.entry.address:
            worker.link.close()
            worker.link = self._connect(entry)
        if entry.born > worker.born:
            self.state.worker_born(worker, entry.born, clock.now())
        worker.entry = entry
        _note_draining(worker, entry)
        self._worker_loops[worker.name].wake()

    def forget_worker(self, worker: fleet.WorkerState) -> None:
        """Forget a worker that is gone and runs nothing."""
        if worker.ended:
            self._ended_lives[worker.name] = worker.born
        self.state.workers.pop(worker.name, None)
        self.state.unseen.discard(worker.name)
        self._worker_loops.pop(worker.name, None)
        self._record.set()
        self._plan.set()

    # What upkeep and sizing need; see maintenance.PoolHolder

    @property
    def standby(self) -> bool:
        """Whether the machines of the pool are off."""
        configuration = self._beliefs.configuration
        if configuration is None:
            return False
        found = configuration.pools.get(self.pool)
        return found is not None and found.standby

    def store_clock(self) -> float:
        """Return the most that the store's clock may show."""
        return self._owner.store_clock()

    def worker_state(self, worker: str) -> fleet.WorkerState | None:
        """Return a worker, None when it is not known."""
        return self.state.workers.get(worker)

    def leave(self, worker: fleet.WorkerState, reason: str) -> None:
        """Give a worker no more work."""
        worker.leave(reason, clock.now())
        self._plan.set()

    def stay(self, worker: fleet.WorkerState) -> None:
        """Give a worker work again, unless it drains."""
        worker.leaving = "draining" if worker.draining else ""
        self._plan.set()

    def life_over(self, worker: fleet.WorkerState, since: float) -> str:
        """Return why a silent worker's life is over, empty if it is not."""
        return self._view.life_over(worker.name, since)

    def worker_ended(self, worker: fleet.WorkerState, reason: str) -> None:
        """Note that all that ran on a worker was ended."""
        now = clock.now()
        self.state.worker_over(worker, reason, now)
        for run in list(worker.runs.values()):
            # The machine's next worker has another name.
            self.state.run_over(run, now)
        worker.fenced = False
        worker.ended = True
        self._worker_loops[worker.name].wake()
        self._plan.set()

    def waiting_part(self) -> float:
        """Return the waiting work as a part of the room, in cores."""
        room = sum(w.entry.size.cores for w in self.state.workers.values())
        waiting = sum(
            step.step.size.cores
            for step in self.state.ready.values()
            if step.ready_at
            for task in step.tasks
            if task.waiting
        )
        return waiting / room if room else 0.0

    def standby_pools(self) -> list[str]:
        """Return the pools on standby."""
        configuration = self._beliefs.configuration
        if configuration is None:
            return []
        return sorted(
            name for name, pool in configuration.pools.items() if pool.standby
        )

    def wave_machines(self) -> frozenset[str]:
        """Return machines that are due for upkeep or down for it."""
        return self._maintenance.open_machines

    def _resize_for_ever(self) -> None:
        while True:
            gevent.sleep(RESIZE_SECONDS)
            if not self.standby and self.standby_pools():
                self._resizing.turn()

    def _maintain_for_ever(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_SECONDS)
            self._maintenance.turn(list(self._beliefs.waves.values()))

    # Planning

    def heard(self) -> None:
        """Plan soon, and store what is not stored."""
        self._plan.set()
        if len(self.state.journal):
            self._write.set()

    def _plan_for_ever(self) -> None:
        recovering = True
        while True:
            self._plan.wait(TURN_SECONDS)
            gevent.sleep(GATHER_SECONDS)
            self._plan.clear()
            now = clock.now()
            if not self.may_order():
                continue
            if recovering and not self.state.recovering(now):
                recovering = False
                self._recovered()
            self.state.create_due(wallclock.now(), now)
            for order in planning.Plan(self.state, now).make():
                self._orders.spawn(self._carry_out, order)
            if self._limits.asking:
                self._limits_needed.set()
            if len(self.state.journal):
                self._write.set()

    def _recovered(self) -> None:
        """Nothing of earlier holders runs unseen any more."""
        self._limits.recovered()
        self.state.unseen.clear()
        LOG.info(
            "all workers seen or lapsed",
            extra={"pool": self.pool, "epoch": self.lease.epoch},
        )

    def _carry_out(self, order: orders.Order) -> None:
        match order:
            case orders.Start():
                self._start_run(order)
            case orders.Stop(run=run):
                self._stop_run(run)
            case orders.Throttle(run=run, percent=percent):
                self._throttle(run, percent)
            case orders.AskPolicy():
                self._ask_policy(order)
        self._plan.set()

    def _start_run(self, order: orders.Start) -> None:
        run = order.run
        if not self.may_order() or run.task is None:
            self.state.rejected(run, "not sent: no lease", clock.now())
            return
        job = run.task.step.job
        sent_at = clock.now()
        answer = run.worker.link.start(
            ports.StartOrder(
                run.task_name,
                run.number,
                job.job.request.text,
                run.deadline,
                self.lease.epoch,
                order.checkpoint,
                order.ticket,
            ),
            ORDER_TIMEOUT_SECONDS,
        )
        now = clock.now()
        self._metrics.observe("worker_start", now - sent_at, pool=self.pool)
        match answer:
            case ports.Started():
                self.state.started(run, now)
                self._worker_loops[run.worker.name].wake()
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                self.state.rejected(run, ports.REJECTED_FENCED, now)
                self.deposed("a worker met a higher epoch")
            case ports.Rejected(reason=reason):
                self.state.rejected(run, reason, now)
            case ports.NoAnswer(reason=reason, sent=False):
                run.worker.failed_at = run.worker.failed_at or now
                self.state.rejected(run, f"not sent: {reason}", now)
            case ports.NoAnswer(reason=reason):
                self.state.unanswered(run, reason, now)
                self._worker_loops[run.worker.name].wake()

    def _stop_run(self, run: runs.Run) -> None:
        if not self.may_order():
            return
        LOG.info(
            "stop",
            extra={
                "task": run.task_name,
                "run": run.number,
                "worker": run.worker.name,
                "why": run.stop_reason,
            },
        )
        answer = run.worker.link.stop(
            run.task_name, run.number, self.lease.epoch, ORDER_TIMEOUT_SECONDS
        )
        match answer:
            case ports.Done():
                run.stop_answered_at = clock.now()
                self._worker_loops[run.worker.name].wake()
            case ports.Rejected(reason=ports.REJECTED_FENCED):
                self.deposed("a worker met a higher epoch")
            case ports.Rejected(reason=ports.REJECTED_OTHER_LIFE):
                self.state.run_over(run, clock.now())
            case other:
                LOG.info(
                    "stop not answered",
                    extra={"task": run.task_name, "why": other},
                )

    def _throttle(self, run: runs.Run, percent: int) -> None:
        if not self.may_order():
            return
        answer = run.worker.link.throttle(
            run.task_name,
            run.number,
            percent,
            self.lease.epoch,
            ORDER_TIMEOUT_SECONDS,
        )
        if isinstance(answer, ports.Done):
            run.throttled_to = percent
        LOG.info(
            "throttle",
            extra={
                "task": run.task_name,
                "percent": percent,
                "answer": type(answer).__name__,
            },
        )

    def _ask_policy(self, order: orders.AskPolicy) -> None:
        step = order.step
        queue = self.state.queues.get(step.job.job.queue)
        try:
            if self._policy is None or queue is None or queue.policy is None:
                LOG.warning("no placement policy", extra={"step": step.name})
                return
            expected = queue.policy.decide + queue.policy.each * len(
                order.workers
            )
            asked_at = clock.now()
            answer = self._policy.ask(
                step.name,
                order.workers,
                expected * 4 + ORDER_TIMEOUT_SECONDS,
            )
        finally:
            step.asking = False
        if isinstance(answer, ports.NoAnswer):
            LOG.info(
                "policy not answered",
                extra={"step": step.name, "why": answer.reason},
            )
            gevent.sleep(STORE_RETRY_SECONDS)
            return
        valid = answer.valid_seconds or queue.policy.valid
        step.tickets = runs.Tickets(
            set(order.workers), answer.by_worker, asked_at + valid
        )

    # Storing

    def wait_stored(self, mark: int, timeout: float) -> bool:
        """Wait until marks up to one are stored; return whether they are."""
        self._write.set()
        until = clock.now() + timeout
        while self.state.journal.stored < mark:
            left = until - clock.now()
            if left <= 0:
                return False
            self._stored.clear()
            self._stored.wait(left)
        return True

    def _write_for_ever(self) -> None:
        while True:
            self._write.wait(TURN_SECONDS)
            self._write.clear()
            gevent.sleep(BATCH_SECONDS)
            while len(self.state.journal) and not self._stopped:
                if not self._write_batch():
                    gevent.sleep(STORE_RETRY_SECONDS)

    def _write_batch(self) -> bool:
        """Store one batch; return whether it is stored."""
        journal = self.state.journal
        batch = journal.batch(
            self.pool, self._epoch, self._owner.store_clock()
        )
        outcome = self._store.transact(
            self.pool, batch.checks, batch.puts, batch.deletes
        )
        match outcome:
            case ports.Committed(version=version):
                for job in journal.committed(batch, version):
                    self.state.ended_stored(job)
                self._stored.set()
                return True
            case ports.Conflicted(rows=rows):
                if self._fenced_off(rows):
                    self.deposed("the row of the holder has changed")
                LOG.info(
                    "progress conflicts",
                    extra={
                        "pool": self.pool,
                        "jobs": [job.job.job for job in batch.jobs],
                        "rows": [(row.key, row.version) for row in rows],
                    },
                )
                journal.conflicted(batch, rows)
                return False
            case codes.Refused() as refused:
                LOG.info(
                    "progress not stored",
                    extra={
                        "pool": self.pool,
                        "jobs": len(batch.jobs),
                        "why": refused.reason,
                    },
                )
                journal.take_back(batch)
                return False

    def _fenced_off(self, rows: tuple[ports.Row, ...]) -> bool:
        return any(
            row.table == model.HOLDERS_TABLE
            and row.key == model.HOLDER_KEY
            and row.version != self.lease.epoch
            for row in rows
        )

    def _publish_for_ever(self) -> None:
        while True:
            self._tell_status()
            content = model.encode(
                model.Pending(self._owner.store_clock(), self.state.pending())
            )
            if self.may_order():
                self._store.transact(
                    model.pending_part(self.pool),
                    [],
                    [
                        ports.Put(
                            model.PENDING_TABLE, model.PENDING_KEY, content
                        )
                    ],
                )
            gevent.sleep(PENDING_SECONDS)

    def _tell_status(self) -> None:
        state = self.state
        now = clock.now()
        workers = state.workers.values()
        usable = [worker for worker in workers if worker.takes_work(now)]
        waiting = round(sizing.waiting_cores(state), 1)
        self._metrics.gauge("pool_jobs", len(state.jobs), pool=self.pool)
        self._metrics.gauge("pool_usable", len(usable), pool=self.pool)
        self._metrics.gauge("pool_waiting_cores", waiting, pool=self.pool)
        self._metrics.gauge(
            "pool_unstored", len(state.journal), pool=self.pool
        )
        LOG.info(
            "pool status",
            extra={
                "pool": self.pool,
                "jobs": len(state.jobs),
                "workers": len(state.workers),
                "usable": len(usable),
                "free": round(sum(w.free.cores for w in usable), 1),
                "waiting": waiting,
                "runs": sum(len(worker.runs) for worker in workers),
                "unstored": len(state.journal),
                "lease": round(self.lease.valid_until - now, 2),
            },
        )

    def _settle_limits_for_ever(self) -> None:
        while True:
            self._limits_needed.wait(LIMITS_SECONDS)
            self._limits_needed.clear()
            self._settle_limits()
            gevent.sleep(LIMITS_PAUSE_SECONDS)

    def _settle_limits(self) -> None:
        if not self.may_order():
            return
        try:
            if self._limits.settle(self._store, clock.now()):
                self._plan.set()
        except exceptions.CallFailed as error:
            LOG.info(
                "grants not read", extra={"pool": self.pool, "why": error}
            )

    def _record_for_ever(self) -> None:
        """Store which workers this pool uses, before it starts there."""
        while True:
            self._record.wait()
            self._record.clear()
            while not self._record_workers():
                gevent.sleep(STORE_RETRY_SECONDS)
            self._plan.set()

    def _record_workers(self) -> bool:
        present = list(self.state.workers.values())
        wanted = {
            worker.name: KnownWorker(
                worker.name,
                worker.entry.address,
                worker.entry.data_centre,
                worker.born,
            )
            for worker in present
        }
        outcome = self._store.transact(
            self.pool,
            [
                self._epoch,
                ports.Check(
                    model.HOLDERS_TABLE, WORKERS_KEY, self._recorded_version
                ),
            ],
            [
                ports.Put(
                    model.HOLDERS_TABLE,
                    WORKERS_KEY,
                    model.encode(list(wanted.values())),
                )
            ],
        )
        match outcome:
            case ports.Committed(version=version):
                self._recorded = wanted
                self._recorded_version = version
                for worker in present:
                    worker.recorded = True
                return True
            case ports.Conflicted(rows=rows):
                if self._fenced_off(rows):
                    self.deposed("the row of the holder has changed")
                self._recorded_version = next(
                    (row.version for row in rows if row.key == WORKERS_KEY), 0
                )
                return False
            case _:
                return False


def _note_draining(
    worker: fleet.WorkerState, entry: ports.WorkerEntry
) -> None:
    draining = entry.state == ports.WORKER_DRAINING
    if draining and not worker.draining:
        LOG.info("worker drains", extra={"worker": worker.name})
        worker.leave("draining", clock.now())
    if not draining and worker.draining:
        worker.leaving = ""
    worker.draining = draining
