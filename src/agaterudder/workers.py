"""Client of the workers, which run tasks under leases.

Each worker is the authority on its own capacity. A start is idempotent by
the task's identifier, and a start with a lower epoch of the batch is
refused.
"""

import dataclasses
import typing as t

import msgspec

from agaterudder import exceptions
from agaterudder import resources
from agaterudder import store

TIMEOUT_SECONDS = 2.0


class Start(msgspec.Struct, frozen=True):
    """Start of a task on a worker.

    :ivar size: resources to reserve: the declared size, corrected by the
        observed usage of earlier tasks.
    :ivar declared: size that the team declared.
    :ivar run: number of the start under this epoch. A worker that ended an
        earlier run of the task starts it again only for a higher epoch or
        run; a start that repeats an earlier one changes nothing.
    """

    task: str
    batch: str
    epoch: int
    run: int
    lease_seconds: float
    size: resources.Vector
    declared: resources.Vector
    run_seconds: float
    checkpoint: str


class Report(msgspec.Struct, frozen=True):
    """State of a task as its worker reports it.

    :ivar state: running, done, failed, lapsed, stopped, checkpointed,
        refused (it will never start on this worker) or unknown.
    :ivar used: peak usage so far; reported with a lag.
    """

    task: str
    state: str
    used: resources.Vector = resources.ZERO
    checkpoint: str = ""


class Reports(msgspec.Struct, frozen=True):
    """Answer of a worker with the state of its tasks.

    :ivar free: unreserved capacity of the worker.
    """

    tasks: list[Report]
    free: resources.Vector = resources.ZERO


class _Renewal(msgspec.Struct):
    tasks: list[str]
    forget: list[str]
    lease_seconds: float


class _Stop(msgspec.Struct):
    epoch: int
    run: int


class _Fence(msgspec.Struct):
    batches: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The worker runs the task, or ran it already."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The task certainly did not start."""

    reason: str
    fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came; the task may have started."""

    reason: str


class Worker:
    """Client of one worker."""

    __slots__ = ("_transport",)

    def __init__(self, transport: store.Transport) -> None:
        self._transport = transport

    def start(self, start: Start) -> Started | NotStarted | NoAnswer:
        """Start a task; repeating the call changes nothing."""
        body = msgspec.json.encode(start)
        try:
            status, _ = self._transport.call("POST", "/tasks", body)
        except exceptions.StoreUnavailable as error:
            if error.may_take_effect:
                return NoAnswer(str(error))
            return NotStarted("the worker can't be reached")
        match status:
            case 200:
                return Started()
            case 409:
                return NotStarted("a higher epoch owns the batch", True)
            case 400 | 404 | 410 | 429:
                return NotStarted(f"the worker refused ({status})")
            case _:
                return NoAnswer(f"unexpected status {status}")

    def renew(
        self,
        tasks: t.Sequence[str],
        forget: t.Sequence[str],
        lease_seconds: float,
    ) -> Reports:
        """Renew the leases of tasks and read their state.

        :param forget: tasks whose outcome is stored, which the worker may
            drop.
        :raises StoreUnavailable: when no answer came.
        """
        body = _Renewal(list(tasks), list(forget), lease_seconds)
        return self._request_reports("/leases", msgspec.json.encode(body))

    def fence(self, batches: dict[str, int]) -> Reports:
        """Make the worker refuse lower epochs; return its tasks of them.

        :param batches: lowest epoch to accept, by batch.

        :raises StoreUnavailable: when no answer came.
        """
        return self._request_reports(
            "/fence", msgspec.json.encode(_Fence(batches))
        )

    def stop(self, task: str, epoch: int, run: int) -> Reports:
        """Stop a run of a task; one that never started will not start.

        :raises StoreUnavailable: when no answer came.
        """
        body = msgspec.json.encode(_Stop(epoch, run))
        return self._request_reports(f"/tasks/{task}/stop", body)

    def checkpoint(self, task: str) -> Reports:
        """Checkpoint a task and stop it.

        :raises StoreUnavailable: when no answer came.
        """
        return self._request_reports(f"/tasks/{task}/checkpoint", b"{}")

    def throttle(self, task: str) -> Reports:
        """Throttle a task.

        :raises StoreUnavailable: when no answer came.
        """
        return self._request_reports(f"/tasks/{task}/throttle", b"{}")

    def _request_reports(self, path: str, body: bytes) -> Reports:
        status, content = self._transport.call("POST", path, body)
        if status != 200:
            raise exceptions.StoreUnavailable(f"{path}: status {status}")
        return msgspec.json.decode(content, type=Reports)
