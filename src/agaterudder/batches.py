"""Manages the task batches that this VM owns, and their stored rows.

Submissions and settlements are written in groups (group commit), so that the
number of writes per task falls as the load rises.
"""

import dataclasses
import logging
import time
import typing as t

import gevent
import gevent.event
import gevent.queue

from agaterudder import codes
from agaterudder import exceptions
from agaterudder import store
from agaterudder import tasks
from agaterudder import utils

LOG = logging.getLogger(__name__)

MAX_PENDING_SUBMISSIONS = 2_000
SUBMIT_TIMEOUT_SECONDS = 10.0


class OwnedBatch:
    """A batch that this VM owns.

    :ivar version: version of the row; -1 when the outcome of the last write
        is unknown and the row has to be reread.
    :ivar dirty: whether the tasks changed since the last write.
    """

    __slots__ = ("batch", "version", "operations", "dirty", "settled_at")

    def __init__(
        self,
        batch: tasks.Batch,
        version: int,
        operations: tuple[str, ...] = (),
    ) -> None:
        self.batch = batch
        self.version = version
        self.operations = operations
        self.dirty = False
        self.settled_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """The task is recorded, now or by an earlier submission."""

    task: str


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """This VM now owns the batch.

    :ivar former: row before the adoption, with the former owner.
    """

    owned: OwnedBatch
    former: tasks.Batch


class _Pending(t.NamedTuple):
    task: tasks.Task
    result: gevent.event.AsyncResult


class Batches:
    """Owned batches, group commit and settlement writes."""

    __slots__ = (
        "_vm",
        "_data_centre",
        "_store",
        "_group_seconds",
        "_pending",
        "_owned",
        "_on_committed",
        "_max_tasks",
        "_task_count",
        "incarnation",
        "writes",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        table: store.Store,
        group_seconds: float,
        max_tasks: int,
        on_committed: t.Callable[[tasks.Batch], None],
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._store = table
        self._group_seconds = group_seconds
        self._pending: gevent.queue.Queue = gevent.queue.Queue(
            MAX_PENDING_SUBMISSIONS
        )
        self._owned: dict[str, OwnedBatch] = {}
        self._on_committed = on_committed
        self._max_tasks = max_tasks
        self._task_count = 0
        self.incarnation = 0
        self.writes = 0

    @property
    def owned(self) -> dict[str, OwnedBatch]:
        """Owned batches by identifier."""
        return self._owned

    def find(self, task: str) -> tasks.Task | None:
        """Return an owned task, or None."""
        location = tasks.parse_identifier(task)
        owned = self._owned.get(location[1]) if location else None
        if owned is None:
            return None
        return next(
            (item for item in owned.batch.tasks if item.task == task), None
        )

    def mark_dirty(self, task: str) -> None:
        """Mark the batch of an owned task as needing a write."""
        location = tasks.parse_identifier(task)
        if location and location[1] in self._owned:
            self._owned[location[1]].dirty = True

    def submit(self, task: tasks.Task) -> Submitted | codes.Refused:
        """Submit a task; wait until it is stored in the table service."""
        if self._task_count >= self._max_tasks:
            return codes.Refused(
                codes.Result.QUEUE_FULL, "this entry VM holds too many tasks"
            )
        pending = _Pending(task, gevent.event.AsyncResult())
        try:
            self._pending.put_nowait(pending)
        except gevent.queue.Full:
            return codes.Refused(
                codes.Result.QUEUE_FULL, "too many submissions wait"
            )
        try:
            return t.cast(
                "Submitted | codes.Refused",
                pending.result.get(timeout=SUBMIT_TIMEOUT_SECONDS),
            )
        except gevent.Timeout:
            return codes.Refused(
                codes.Result.CHANGE_UNKNOWN,
                "the table service did not answer",
            )

    def run(self) -> None:
        """Commit submissions in groups, until the greenlet is killed."""
        while True:
            group = [self._pending.get()]
            gevent.sleep(self._group_seconds)
            while (
                not self._pending.empty()
                and len(group) < tasks.MAX_TASKS_PER_BATCH
            ):
                group.append(self._pending.get_nowait())
            gevent.spawn(self._commit, group)

    def _commit(self, group: list[_Pending]) -> None:
        unique, repeated = _split_repeated(group)
        self._commit_unique(unique)
        for pending, first in repeated:
            pending.result.set(first.result.get())

    def _commit_unique(self, group: list[_Pending]) -> None:
        while group:
            name = utils.new_identifier()
            batch = self._new_batch(name, [item.task for item in group])
            records = {
                tasks.idempotency_key(item.task.team, item.task.request): item
                for item in group
                if item.task.request
            }
            writes = [store.Write(batch.key, 0, batch)]
            writes.extend(
                store.Write(key, 0, tasks.IdempotencyRecord(item.task.task))
                for key, item in records.items()
            )
            self.writes += 1
            match self._store.transact(writes):
                case store.Committed(versions=versions):
                    self._add(batch, versions[batch.key])
                    for item in group:
                        item.result.set(Submitted(item.task.task))
                    return
                case store.Conflicted(key=key) if key in records:
                    repeated = records[key]
                    repeated.result.set(self._earlier_submission(key))
                    group = [item for item in group if item is not repeated]
                case store.Conflicted(key=key):
                    LOG.warning(
                        "new batch identifier is already in use; retrying",
                        extra={"key": key},
                    )
                case codes.Refused() as refused:
                    for item in group:
                        item.result.set(refused)
                    return

    def _earlier_submission(self, key: str) -> Submitted | codes.Refused:
        try:
            row = self._store.read(key, tasks.IdempotencyRecord)
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.CHANGE_UNKNOWN, str(error))
        if row.value is None:
            return codes.Refused(codes.Result.CONFLICT, "send it again")
        return Submitted(row.value.task)

    def _new_batch(self, name: str, members: list[tasks.Task]) -> tasks.Batch:
        for number, task in enumerate(members):
            task.task = tasks.identifier(self._data_centre, name, number)
        return tasks.Batch(
            name,
            self._data_centre,
            self._vm,
            self._data_centre,
            1,
            members,
            self.incarnation,
        )

    def _add(self, batch: tasks.Batch, version: int) -> None:
        self._owned[batch.batch] = OwnedBatch(batch, version)
        self._task_count += len(batch.tasks)
        self._on_committed(batch)

    def drop(self, owned: OwnedBatch) -> None:
        """Stop tracking a batch that has another owner or is settled."""
        if self._owned.pop(owned.batch.batch, None) is not None:
            self._task_count -= len(owned.batch.tasks)

    def write(self, owned: OwnedBatch, now: float) -> codes.Refused | None:
        """Write a changed batch; move it when every task has ended.

        :returns: a refusal, with ``CONFLICT`` when another VM owns the
            batch, or None.
        """
        if owned.version < 0:
            refused = self._reread(owned)
            if refused is not None:
                return refused
        owned.dirty = False
        batch = owned.batch
        settled = batch.settled
        before = store.Write(
            batch.key,
            owned.version,
            None if settled else batch,
            owned.operations,
        )
        writes = [before]
        if settled:
            batch.settled_at = time.time()
            writes.append(store.Write(batch.settled_key, 0, batch))
        self.writes += 1
        match self._store.transact(writes):
            case store.Committed(versions=versions):
                owned.version = versions.get(batch.key, owned.version + 1)
                owned.settled_at = now if settled else None
                return None
            case store.Conflicted():
                owned.version = -1
                owned.dirty = True
                return self._reread(owned)
            case codes.Refused() as refused:
                owned.dirty = True
                if not refused.not_run:
                    owned.version = -1
                return refused

    def _reread(self, owned: OwnedBatch) -> codes.Refused | None:
        """Reread the row after an unknown outcome or a conflict.

        :returns: a refusal with ``CONFLICT`` when another VM owns the
            batch.
        """
        batch = owned.batch
        try:
            row = self._store.read(batch.key, tasks.Batch)
            if row.value is None:
                moved = self._store.read(batch.settled_key, tasks.Batch)
                row = moved if moved.value is not None else row
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))
        if (
            row.value is None
            or row.value.owner != self._vm
            or row.value.epoch != batch.epoch
        ):
            return codes.Refused(
                codes.Result.CONFLICT, "another entry VM owns the batch"
            )
        owned.version = row.version
        owned.operations = row.operations
        if row.key == batch.settled_key:
            owned.dirty = False
            owned.settled_at = 0.0
        return None

    def adopt(self, row: store.Row[tasks.Batch]) -> Adopted | codes.Refused:
        """Become the owner of a batch with a compare-and-swap on its row."""
        former = row.value
        if former is None:
            return codes.Refused(codes.Result.NOT_FOUND, "the row is gone")
        batch = tasks.Batch(
            former.batch,
            former.data_centre,
            self._vm,
            self._data_centre,
            former.epoch + 1,
            former.tasks,
            self.incarnation,
        )
        self.writes += 1
        match self._store.transact([store.replace(row, batch)]):
            case store.Committed(versions=versions):
                owned = OwnedBatch(batch, versions[batch.key], row.operations)
                self._owned[batch.batch] = owned
                self._task_count += len(batch.tasks)
                return Adopted(owned, former)
            case store.Conflicted():
                return codes.Refused(
                    codes.Result.CONFLICT, "another entry VM was first"
                )
            case codes.Refused() as refused:
                return refused

    def release(
        self, owned: OwnedBatch, placements: dict[str, str]
    ) -> codes.Refused | None:
        """Give up a batch, so that another entry VM can adopt it.

        :param placements: worker of each started task.
        """
        batch = owned.batch
        batch.owner = ""
        batch.placements = placements
        batch.released_by = self._vm
        outcome = self._store.transact(
            [store.Write(batch.key, owned.version, batch, owned.operations)]
        )
        match outcome:
            case store.Committed():
                self.drop(owned)
                return None
            case store.Conflicted():
                self.drop(owned)
                return None
            case codes.Refused():
                batch.owner = self._vm
                batch.placements = None
                batch.released_by = ""
                return outcome


def delete_expired(
    table: store.Store, data_centre: str, retention: float, wall: float
) -> int:
    """Delete batches whose retention has ended; return their number.

    The rows of the callers' request ids are deleted with them: a submission
    that is repeated after the retention creates a new task.

    :param retention: seconds for which a settled task can be looked up.
    :param wall: wall-clock time in seconds since the epoch.
    :raises StoreUnavailable: when the table service is unavailable.
    """
    count = 0
    prefix = f"{tasks.SETTLED_PREFIX}{data_centre}/"
    for row in table.scan(prefix, tasks.Batch):
        batch = row.value
        if batch is None or wall - batch.settled_at < retention:
            continue
        records = [
            table.read(
                tasks.idempotency_key(task.team, task.request),
                tasks.IdempotencyRecord,
            )
            for task in batch.tasks
            if task.request
        ]
        deletes = [store.replace(record, None) for record in records]
        table.transact([store.replace(row, None), *deletes])
        count += 1
    return count


def _split_repeated(
    group: list[_Pending],
) -> tuple[list[_Pending], list[tuple[_Pending, _Pending]]]:
    """Separate the submissions that repeat a request id of their group.

    :returns: the first submission of each request id, and each repetition
        with the submission that it repeats.
    """
    first: dict[tuple[str, str], _Pending] = {}
    unique: list[_Pending] = []
    repeated: list[tuple[_Pending, _Pending]] = []
    for item in group:
        key = (item.task.team, item.task.request)
        if item.task.request and key in first:
            repeated.append((item, first[key]))
            continue
        first[key] = item
        unique.append(item)
    return unique, repeated


def recorded_task(table: store.Store, task: str) -> tasks.Task | codes.Refused:
    """Read a task that this process does not own from its row."""
    location = tasks.parse_identifier(task)
    if location is None:
        return codes.Refused(codes.Result.NOT_FOUND, f"no task {task}")
    data_centre, batch = location
    for prefix in (tasks.LIVE_PREFIX, tasks.SETTLED_PREFIX):
        key = f"{prefix}{data_centre}/{batch}"
        try:
            row = table.read(key, tasks.Batch)
        except exceptions.StoreUnavailable as error:
            return codes.Refused(codes.Result.STORE_AWAY, str(error))
        for found in row.value.tasks if row.value else ():
            if found.task == task:
                return found
    return codes.Refused(codes.Result.NOT_FOUND, f"no task {task}")
