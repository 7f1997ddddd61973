"""Local cache of the configuration and of the worker registrations."""

import dataclasses
import logging
import math
import typing as t

from agaterudder import codes
from agaterudder.jobs import operatorconfig
from agaterudder.jobs import ports
from agaterudder.jobs import watcher

LOG = logging.getLogger(__name__)

CONFIGURATION_WAIT_SECONDS = 0.8
WORKERS_WAIT_SECONDS = 2.0
# Registrations change all the time: changes are read in batches.
WORKERS_BATCH_SECONDS = 0.15
# Fraction of the bound on withdrawn keys for which a confirmed configuration
# may be used to check keys.
KEY_AGE_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller.

    :ivar team: empty for a call without a key on a public queue.
    """

    team: str


class ClusterCache:
    """Configuration, taken-out data centres, waves and workers.

    The workers are followed only while some pool needs them: each process
    that follows them reads every change of every worker.

    :param key_bound: a withdrawn key must stop working within this many
        seconds.
    """

    __slots__ = (
        "configuration",
        "taken_out",
        "waves",
        "workers",
        "operators",
        "registrations",
        "_max_key_age",
        "_subscribers",
        "_followers",
        "_following_since",
    )

    def __init__(
        self,
        operators: ports.Operators,
        worker_list: ports.WorkerList,
        key_bound: float,
    ) -> None:
        self.configuration: operatorconfig.Configuration | None = None
        self.taken_out: frozenset[str] = frozenset()
        self.waves: dict[int, operatorconfig.Wave] = {}
        self.workers: dict[str, ports.WorkerRegistration] = {}
        self._max_key_age = key_bound * KEY_AGE_FRACTION
        self._subscribers: list[t.Callable[[], None]] = []
        self._followers = 0
        self._following_since = math.inf
        self.operators: watcher.Watcher[ports.OperatorChange] = (
            watcher.Watcher(
                "configuration",
                operators,
                self._reset_operators,
                self._apply_operator_changes,
                CONFIGURATION_WAIT_SECONDS,
            )
        )
        self.registrations: watcher.Watcher[ports.WorkerChange] = (
            watcher.Watcher(
                "workers",
                worker_list,
                self._reset_workers,
                self._apply_worker_changes,
                WORKERS_WAIT_SECONDS,
                WORKERS_BATCH_SECONDS,
            )
        )
        self.registrations.pause()

    @property
    def subscribers(self) -> tuple[t.Callable[[], None], ...]:
        """Callbacks that run after each change."""
        return tuple(self._subscribers)

    def subscribe(self, subscriber: t.Callable[[], None]) -> None:
        """Add a callback that runs after each change."""
        self._subscribers.append(subscriber)

    def unsubscribe(self, subscriber: t.Callable[[], None]) -> None:
        """Remove a callback."""
        self._subscribers.remove(subscriber)

    def follow_workers(self, now: float) -> None:
        """Follow the workers for one more pool."""
        self._followers += 1
        if self._followers == 1:
            self._following_since = now
            self.registrations.resume()

    def unfollow_workers(self) -> None:
        """Follow the workers for one pool less."""
        self._followers -= 1
        if not self._followers:
            self._following_since = math.inf
            self.registrations.pause()

    @property
    def workers_known(self) -> bool:
        """Whether the workers were read since they are followed."""
        return self.registrations.confirmed_at >= self._following_since

    def fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to check keys."""
        return (
            self.configuration is not None
            and now - self.operators.confirmed_at <= self._max_key_age
        )

    def authenticate(
        self, queue: operatorconfig.Queue, key: str, now: float
    ) -> Caller | codes.Refused:
        """Return the caller that a key stands for on a queue."""
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

    def _reset_operators(
        self, changes: tuple[ports.OperatorChange, ...]
    ) -> None:
        self.taken_out = frozenset()
        self.waves = {}
        self._apply_operator_changes(changes)

    def _apply_operator_changes(
        self, changes: tuple[ports.OperatorChange, ...]
    ) -> None:
        for change in changes:
            match change:
                case ports.ConfigurationSet(configuration=configuration):
                    self._configure(configuration)
                case ports.TakenOut(data_centre=name, out=out):
                    LOG.info(
                        "data centre taken out or put back",
                        extra={"zone": name, "out": out},
                    )
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
                        "maintenance wave requested",
                        extra={"wave": number, "machines": len(wave.machines)},
                    )
                    self.waves[number] = wave
        self._notify_subscribers()

    def _configure(self, configuration: operatorconfig.Configuration) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        LOG.info(
            "configuration applied",
            extra={
                "version": configuration.version,
                "before": known.version if known else 0,
                "queues": len(configuration.queues),
            },
        )
        if known is not None:
            _report_moved_queues(known, configuration)
        self.configuration = configuration

    def _reset_workers(self, changes: tuple[ports.WorkerChange, ...]) -> None:
        self.workers = {}
        self._apply_worker_changes(changes)

    def _apply_worker_changes(
        self, changes: tuple[ports.WorkerChange, ...]
    ) -> None:
        for change in changes:
            if change.registration is None:
                self.workers.pop(change.worker, None)
            else:
                self.workers[change.worker] = change.registration
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        for subscriber in list(self._subscribers):
            subscriber()


def _report_moved_queues(
    before: operatorconfig.Configuration,
    after: operatorconfig.Configuration,
) -> None:
    for name, queue in before.queues.items():
        moved = after.queues.get(name)
        if moved is not None and moved.pool != queue.pool:
            LOG.info(
                "queue moved to another pool",
                extra={
                    "queue": name,
                    "before": queue.pool,
                    "pool": moved.pool,
                },
            )
