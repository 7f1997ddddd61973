"""Waiting requests of one service: order, early refusal and shedding.

Priority classes are served in order of rank. A waiting request is promoted
by one rank per aging interval, so that long work is not starved. Within a
class, the team that has received the least service relative to its share is
served first.
"""

import collections
import dataclasses
import typing as t

from agaterudder import codes
from agaterudder import requests

AGING_SECONDS = 5.0
SMOOTHING_FACTOR = 0.1
INITIAL_SERVICE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued; ``shed`` was evicted for it, if set."""

    shed: requests.Request | None = None


class RequestQueue:
    """Bounded queue of one service on one entry VM."""

    __slots__ = (
        "_capacity",
        "_queues",
        "_length",
        "_served_by_team",
        "_service_seconds",
    )

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._queues: dict[
            tuple[requests.Priority, str],
            collections.deque[requests.Request],
        ] = {}
        self._length = 0
        self._served_by_team: dict[str, float] = {}
        self._service_seconds = INITIAL_SERVICE_SECONDS

    def __len__(self) -> int:
        return self._length

    def observe(self, seconds: float) -> None:
        """Update the smoothed service time with that of one request."""
        self._service_seconds += SMOOTHING_FACTOR * (
            seconds - self._service_seconds
        )

    def offer(
        self,
        request: requests.Request,
        slots: int,
        shares: t.Mapping[str, float],
        now: float,
    ) -> Queued | codes.Refused:
        """Queue a request, or refuse it.

        :param slots: number of slots that serve the queue.
        :param shares: share of each team; teams not listed have 1.
        """
        late = self._refuse_if_late(request, slots, shares, now)
        if late is not None:
            return late
        shed = None
        if self._length >= self._capacity:
            shed = self._victim(request, shares, now)
            if shed is None:
                return codes.Refused(
                    codes.Result.QUEUE_FULL,
                    f"{self._length} requests wait for {request.service}",
                )
            self._remove(shed)
        self._append(request, shares)
        return Queued(shed)

    def take(
        self, shares: t.Mapping[str, float], now: float
    ) -> requests.Request | None:
        """Remove and return the next request, None when none waits."""
        if not self._length:
            return None
        selected = min(
            self._queues,
            key=lambda key: self._dispatch_key(key, shares, now),
        )
        request = self._queues[selected][0]
        self._remove(request)
        self._charge(request.team, shares)
        return request

    def expire(self, now: float) -> list[requests.Request]:
        """Remove and return the requests that can't be answered in time."""
        late = [
            request
            for queue in self._queues.values()
            for request in queue
            if request.deadline - now < self._service_seconds
        ]
        for request in late:
            self._remove(request)
        return late

    def discard(self, request: requests.Request) -> bool:
        """Remove an abandoned request; return whether it was queued."""
        queue = self._queues.get((request.priority, request.team), ())
        if request not in queue:
            return False
        self._remove(request)
        return True

    def _refuse_if_late(
        self,
        request: requests.Request,
        slots: int,
        shares: t.Mapping[str, float],
        now: float,
    ) -> codes.Refused | None:
        ahead = self._count_ahead(request, shares)
        rounds = ahead / max(slots, 1)
        expected = now + (rounds + 1) * self._service_seconds
        if expected <= request.deadline:
            return None
        return codes.Refused(
            codes.Result.TOO_LATE,
            f"{ahead:.0f} requests go first; it could not be answered in time",
        )

    def _count_ahead(
        self, request: requests.Request, shares: t.Mapping[str, float]
    ) -> float:
        """Estimate how many queued requests are served before a new one."""
        rank = requests.RANKS[request.priority]
        higher = sum(
            len(queue)
            for (priority, _), queue in self._queues.items()
            if requests.RANKS[priority] < rank
        )
        same = {
            team: len(queue)
            for (priority, team), queue in self._queues.items()
            if priority is request.priority
        }
        own = same.pop(request.team, 0)
        weight = shares.get(request.team, 1.0)
        others = sum(
            min(count, (own + 1) * shares.get(team, 1.0) / weight)
            for team, count in same.items()
        )
        return higher + own + others

    def _dispatch_key(
        self,
        key: tuple[requests.Priority, str],
        shares: t.Mapping[str, float],
        now: float,
    ) -> tuple[int, float, float]:
        priority, team = key
        first = self._queues[key][0]
        ranks_gained = int((now - first.arrived_at) / AGING_SECONDS)
        rank = max(0, requests.RANKS[priority] - ranks_gained)
        return (rank, self._served_by_team.get(team, 0.0), first.arrived_at)

    def _victim(
        self,
        request: requests.Request,
        shares: t.Mapping[str, float],
        now: float,
    ) -> requests.Request | None:
        """Return the queued request to shed for a new one, if any.

        It is the newest request in the lowest class of the team with the
        most queued requests relative to its share.
        """
        waiting: collections.Counter[str] = collections.Counter()
        for (_, team), queue in self._queues.items():
            waiting[team] += len(queue)
        load = {
            team: count / shares.get(team, 1.0)
            for team, count in waiting.items()
        }
        heaviest = max(load, key=lambda team: load[team])
        own = (waiting[request.team] + 1) / shares.get(request.team, 1.0)
        if load[heaviest] <= own and heaviest != request.team:
            heaviest = request.team
        keys = [key for key in self._queues if key[1] == heaviest]
        if not keys:
            return None
        lowest = max(keys, key=lambda key: requests.RANKS[key[0]])
        rank = requests.RANKS[request.priority]
        same_team = heaviest == request.team
        if same_team and requests.RANKS[lowest[0]] <= rank:
            return None
        return self._queues[lowest][-1]

    def _append(
        self, request: requests.Request, shares: t.Mapping[str, float]
    ) -> None:
        key = (request.priority, request.team)
        if all(team != request.team for _, team in self._queues):
            floor = min(
                (
                    self._served_by_team.get(team, 0.0)
                    for _, team in self._queues
                ),
                default=0.0,
            )
            served = self._served_by_team.get(request.team, 0.0)
            self._served_by_team[request.team] = max(served, floor)
        self._queues.setdefault(key, collections.deque()).append(request)
        self._length += 1

    def _remove(self, request: requests.Request) -> None:
        key = (request.priority, request.team)
        queue = self._queues[key]
        if queue[0] is request:
            queue.popleft()
        else:
            queue.remove(request)
        self._length -= 1
        if not queue:
            del self._queues[key]
        if not self._length:
            self._served_by_team.clear()

    def _charge(self, team: str, shares: t.Mapping[str, float]) -> None:
        served = self._served_by_team.get(team, 0.0)
        self._served_by_team[team] = served + 1.0 / shares.get(team, 1.0)
