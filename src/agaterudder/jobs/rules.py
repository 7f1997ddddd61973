"""What operators configured: queues, pools, teams, waves, take-outs."""

import dataclasses

from agaterudder import resources


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyTimes:
    """Times of the placement policy of a queue, in seconds.

    :ivar decide: fixed part of an answer.
    :ivar each: part for each worker that is named.
    :ivar valid: how long a ticket is valid.
    """

    decide: float
    each: float
    valid: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs and the pool whose workers run them.

    :ivar host: host of its requests.
    :ivar prefix: beginning of the path of its requests.
    :ivar priority: 0 comes first.
    :ivar stretch: part of a job's objective: this times its longest chain
        of work, and ``target_seconds`` more.
    :ivar public: takes work without a key.
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

    :ivar guards_room: its workers refuse what does not fit.
    :ivar standby: its machines are off and cost nothing.
    """

    name: str
    guards_room: bool = False
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
    """Machines that are due for upkeep.

    :ivar most_down: how many may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    seconds: float
    most_down: int


class Configuration:
    """One version of the configuration, with its look-ups.

    :ivar body_bytes: largest body of a request.
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
        """Return the queue with the longest prefix of the path."""
        return next(
            (
                queue
                for queue in self._by_host.get(host, ())
                if path.startswith(queue.prefix)
            ),
            None,
        )

    def team_for(self, key: str) -> Team | None:
        """Return the team that a key was granted to."""
        return self._by_key.get(key)

    def working_pools(self) -> list[str]:
        """Return the pools that run tasks, in order of their names."""
        return sorted(
            name for name, pool in self.pools.items() if not pool.standby
        )
