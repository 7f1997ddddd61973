"""What one process believes of the configuration and of the workers."""

import dataclasses
import logging
import typing as t

from agaterudder import codes
from agaterudder.jobs import following
from agaterudder.jobs import ports
from agaterudder.jobs import rules

LOG = logging.getLogger(__name__)

CONFIGURATION_WAIT_SECONDS = 0.8
WORKERS_WAIT_SECONDS = 2.0
# Registrations change all the time; only a holder of pools needs them soon.
WORKERS_PAUSE_SECONDS = 0.15
WORKERS_IDLE_PAUSE_SECONDS = 1.5
# Part of the bound on a withdrawn key up to which a reading counts.
KEY_AGE_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Whose call it is; ``team`` is empty on an open queue without key."""

    team: str


class Beliefs:
    """Configuration, data centres taken out, waves and workers.

    :param key_bound: a withdrawn key must stop working within this many
        seconds.
    :param changed: called after each change.
    """

    __slots__ = (
        "configuration",
        "taken_out",
        "waves",
        "workers",
        "operators",
        "registrations",
        "_key_age",
        "_listeners",
    )

    def __init__(
        self,
        operators: ports.Operators,
        worker_list: ports.WorkerList,
        key_bound: float,
    ) -> None:
        self.configuration: rules.Configuration | None = None
        self.taken_out: frozenset[str] = frozenset()
        self.waves: dict[int, rules.Wave] = {}
        self.workers: dict[str, ports.WorkerEntry] = {}
        self._key_age = key_bound * KEY_AGE_PART
        self._listeners: list[t.Callable[[], None]] = []
        self.operators: following.Follower[ports.OperatorChange] = (
            following.Follower(
                "configuration",
                operators,
                self._operators_whole,
                self._operators_changed,
                CONFIGURATION_WAIT_SECONDS,
            )
        )
        self.registrations: following.Follower[ports.WorkerChange] = (
            following.Follower(
                "workers",
                worker_list,
                self._workers_whole,
                self._workers_changed,
                WORKERS_WAIT_SECONDS,
                lambda: (
                    WORKERS_PAUSE_SECONDS
                    if self._listeners
                    else WORKERS_IDLE_PAUSE_SECONDS
                ),
            )
        )

    @property
    def listeners(self) -> tuple[t.Callable[[], None], ...]:
        """Who is called after each change."""
        return tuple(self._listeners)

    def listen(self, listener: t.Callable[[], None]) -> None:
        """Call a listener after each change."""
        self._listeners.append(listener)

    def unlisten(self, listener: t.Callable[[], None]) -> None:
        """Call a listener no more."""
        self._listeners.remove(listener)

    def fresh(self, now: float) -> bool:
        """Return whether keys may be judged by what is known here."""
        return (
            self.configuration is not None
            and now - self.operators.confirmed_at <= self._key_age
        )

    def caller(
        self, queue: rules.Queue, key: str, now: float
    ) -> Caller | codes.Refused:
        """Return whose call it is."""
        if not self.fresh(now):
            return codes.Refused(
                codes.Result.STALE,
                "the configuration was not confirmed lately",
            )
        assert self.configuration is not None
        team = self.configuration.team_for(key) if key else None
        if team is not None:
            return Caller(team.name)
        if queue.public:
            return Caller("")
        return codes.Refused(codes.Result.KEY_REFUSED, "the key is not known")

    # Changes

    def _operators_whole(
        self, changes: tuple[ports.OperatorChange, ...]
    ) -> None:
        self.taken_out = frozenset()
        self.waves = {}
        self._operators_changed(changes)

    def _operators_changed(
        self, changes: tuple[ports.OperatorChange, ...]
    ) -> None:
        for change in changes:
            match change:
                case ports.ConfigurationSet(configuration=configuration):
                    self._configure(configuration)
                case ports.TakenOut(data_centre=name, out=out):
                    LOG.info("take-out", extra={"zone": name, "out": out})
                    self.taken_out = (
                        self.taken_out | {name}
                        if out
                        else self.taken_out - {name}
                    )
                case ports.WaveSet(number=number, wave=None):
                    self.waves.pop(number, None)
                case ports.WaveSet(number=number, wave=wave):
                    assert wave is not None
                    LOG.info(
                        "wave asked for",
                        extra={"wave": number, "machines": len(wave.machines)},
                    )
                    self.waves[number] = wave
        self._tell()

    def _configure(self, configuration: rules.Configuration) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        LOG.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": known.version if known else 0,
                "queues": len(configuration.queues),
            },
        )
        self.configuration = configuration

    def _workers_whole(self, changes: tuple[ports.WorkerChange, ...]) -> None:
        self.workers = {}
        self._workers_changed(changes)

    def _workers_changed(
        self, changes: tuple[ports.WorkerChange, ...]
    ) -> None:
        for change in changes:
            if change.entry is None:
                self.workers.pop(change.worker, None)
            else:
                self.workers[change.worker] = change.entry
        self._tell()

    def _tell(self) -> None:
        for listener in list(self._listeners):
            listener()
