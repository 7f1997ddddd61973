"""Configuration by the operators: queues, pools, teams and waves."""

import dataclasses

from agaterudder import resources


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyTimes:
    """Times of the placement policy of a queue, in seconds.

    :ivar base_seconds: fixed part of the response time.
    :ivar per_worker_seconds: additional response time for each named worker.
    :ivar ticket_seconds: validity of a ticket.
    """

    base_seconds: float
    per_worker_seconds: float
    ticket_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs and the pool whose workers run them.

    :ivar host: host name of its requests.
    :ivar prefix: path prefix of its requests.
    :ivar priority: lower values come first, 0 is the highest priority.
    :ivar stretch: a job's objective is this factor times its critical
        path, plus ``target_seconds``.
    :ivar public: accepts jobs without a key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_seconds: float = 0.0
    public: bool = False
    policy: PolicyTimes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers.

    :ivar enforces_capacity: its workers reject tasks that do not fit.
    :ivar standby: its machines are powered off and cost nothing.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team with its share and its upper limit."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    limit: resources.Vector = resources.UNLIMITED


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """Machines that are due for maintenance.

    :ivar max_down: how many may be down for it at the same time.
    """

    number: int
    machines: tuple[str, ...]
    seconds: float
    max_down: int


class Configuration:
    """One version of the configuration, with lookup methods.

    :ivar body_bytes: largest request body.
    """

    __slots__ = (
        "version",
        "queues",
        "pools",
        "teams",
        "body_bytes",
        "_by_host",
        "_by_key",
    )

    def __init__(
        self,
        version: int,
        queues: dict[str, Queue],
        pools: dict[str, Pool],
        teams: dict[str, Team],
        body_bytes: int,
    ) -> None:
        self.version = version
        self.queues = queues
        self.pools = pools
        self.teams = teams
        self.body_bytes = body_bytes
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues.values():
            self._by_host.setdefault(queue.host, []).append(queue)
        for found in self._by_host.values():
            found.sort(key=lambda queue: -len(queue.prefix))
        self._by_key = {
            key: team for team in teams.values() for key in team.keys
        }

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix."""
        return next(
            (
                queue
                for queue in self._by_host.get(host, ())
                if path.startswith(queue.prefix)
            ),
            None,
        )

    def team_for(self, key: str) -> Team | None:
        """Return the team that owns a key, None for an unknown key."""
        return self._by_key.get(key)
