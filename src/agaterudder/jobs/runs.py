"""Runs of tasks on workers, as known to the holder of a pool."""

import enum
import typing as t

from agaterudder.jobs import ports
from agaterudder import resources

if t.TYPE_CHECKING:
    from agaterudder.jobs import jobruns

START_UNANSWERED = "start unanswered"

# Progress of a long-running task that is available.
AVAILABLE_PERCENT = 100


class RunState(enum.Enum):
    """What the holder knows about a run.

    ``SENT``: the start is in flight. ``UNCERTAIN``: the start got no
    answer and may take effect later. ``RUNNING``: the worker runs it.
    """

    SENT = "sent"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


class Worker(t.Protocol):
    """What is asked of the worker of a run.

    See :class:`fleet.WorkerState`, which implements it.
    """

    name: str
    incarnation: int
    registration: ports.WorkerRegistration
    link: ports.Worker
    runs: "dict[tuple[str, int], Run]"
    polled_at: float
    unanswered_since: float
    draining: bool
    full_until: float
    quarantined_until: float

    @property
    def end_expected(self) -> bool:
        """Whether it ends by an order, or as it shuts down."""

    @property
    def free(self) -> resources.Vector:
        """Capacity that no run reserves."""

    def heard(self, now: float) -> str:
        """Return the age of the last answered poll, for log lines."""

    def unresponsive(self, now: float) -> bool:
        """Return whether polls have gone unanswered for too long."""

    def earlier_stops_visible(self, stop_seconds: float) -> bool:
        """Return whether its listing reflects stops of earlier holders."""

    def record_answer(self, now: float) -> None:
        """Record that an answer of it arrived."""

    def remove(self, run: "Run", now: float) -> None:
        """Remove a run that has ended and release its capacity."""


class Run:
    """One run of a task; it reserves capacity on its worker until it ends.

    :ivar task: the task, None when its job is no longer known.
    :ivar team: the team whose limit it is charged to, empty for a run of a
        job that is not known.
    :ivar size_known: False for a run that an earlier holder started for a
        job that has ended since, as its size is no longer known.
    :ivar sent_at: when its start was planned.
    :ivar ordered_at: when the order to start it was sent, 0 before.
    :ivar deadline: end of the lease given with the start, after which the
        worker rejects the start; seconds of the worker's clock, 0 for a run
        that an earlier holder started.
    :ivar uncertain_since: since when its start is known to be unanswered, 0
        before.
    :ivar running_since: when it was first known to run, 0 before.
    :ivar stop_reason: why it has to stop, empty when it need not.
    :ivar stop_sent_at: when a stop was last sent, 0 before.
    :ivar stop_answered_at: when the worker answered a stop, 0 before.
    :ivar loss_reported: whether it was reported as lost with its worker.
    :ivar attempt: whether it was stored before its start and its outcome is
        not known yet.
    :ivar apart: whether it is the run of a suspect, beside which nothing else
        starts.
    :ivar probed: whether its worker answered right before it was started.
    :ivar progress: per cent of its work that is done; 100 for a
        long-running task that is available.
    :ivar listed_at: when its progress was last listed.
    :ivar speed_percent: speed limit of its last throttle order, per cent.
    :ivar measurement: tail of the response times in seconds for a
        latency-sensitive task, cores in use for any other; None when not
        listed.
    """

    __slots__ = (
        "task",
        "team",
        "number",
        "worker",
        "state",
        "sent_at",
        "ordered_at",
        "deadline",
        "uncertain_since",
        "running_since",
        "checkpoint",
        "progress",
        "listed_at",
        "speed_percent",
        "throttle_sent_at",
        "measurement",
        "stop_reason",
        "stop_sent_at",
        "stop_answered_at",
        "loss_reported",
        "attempt",
        "apart",
        "probed",
        "size",
        "size_known",
        "task_name",
    )

    def __init__(
        self,
        task_name: str,
        task: "jobruns.Task | None",
        number: int,
        worker: Worker,
        sent_at: float,
        size: resources.Vector,
    ) -> None:
        self.task_name = task_name
        self.task = task
        self.team = task.step.job.job.team if task is not None else ""
        self.number = number
        self.worker = worker
        self.state = RunState.SENT
        self.sent_at = sent_at
        self.ordered_at = 0.0
        self.deadline = 0.0
        self.uncertain_since = 0.0
        self.running_since = 0.0
        self.checkpoint = ""
        self.progress = 0
        self.listed_at = 0.0
        self.speed_percent = 100
        self.throttle_sent_at = 0.0
        self.measurement: float | None = None
        self.stop_reason = ""
        self.stop_sent_at = 0.0
        self.stop_answered_at = 0.0
        self.loss_reported = False
        self.attempt = False
        self.apart = False
        self.probed = False
        self.size = size
        self.size_known = True

    def require_stop(self, reason: str) -> None:
        """Have it stopped, unless there is a reason already.

        An unanswered start has it stopped only while nothing else is known
        of it; any other reason takes its place.
        """
        if self.stop_reason in ("", START_UNANSWERED):
            self.stop_reason = reason

    @property
    def in_flight(self) -> bool:
        """Whether its start was sent and is neither answered nor given up."""
        return self.state is RunState.SENT and self.ordered_at > 0

    @property
    def limit_key(self) -> str:
        """Key under which it is counted against its team's limit."""
        return f"{self.task_name}/{self.number}"

    @property
    def starting_up(self) -> bool:
        """Whether a long-running task runs but is not available yet."""
        return (
            self._long_running
            and self.state is RunState.RUNNING
            and not self._at_work
        )

    @property
    def started_up(self) -> bool:
        """Whether a long-running task was listed as available."""
        return self._long_running and self._at_work

    @property
    def _long_running(self) -> bool:
        return self.task is not None and self.task.step.step.long_running

    @property
    def _at_work(self) -> bool:
        return self.progress >= AVAILABLE_PERCENT

    def unreachable(self, now: float) -> bool:
        """Return whether its state can't be learnt at the moment."""
        return self.state is RunState.UNCERTAIN or self.worker.unresponsive(
            now
        )

    def available(self, now: float) -> bool:
        """Return whether this run makes a long-running task available.

        On a worker that does not answer, it may have ended, and on one that
        shuts down it is about to.
        """
        return (
            self.state is RunState.RUNNING
            and self._at_work
            and not self.stop_reason
            and not self.worker.unresponsive(now)
            and not self.worker.draining
        )
