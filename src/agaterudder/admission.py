"""Waiting requests of one service: order, early refusal and shedding.

Classes go by rank, and a waiting request gains a rank with each aging
interval, so that long work is reached in the end. Within a class the team
with the least service for its share goes first.
"""

import collections
import dataclasses
import typing as t

from agaterudder import codes
from agaterudder import requests

AGING_SECONDS = 5.0
SMOOTHING = 0.1
FIRST_SERVICE_SECONDS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; ``shed`` made room for it, if any."""

    shed: requests.Request | None = None


class RequestQueue:
    """Bounded queue of one service on one entry VM."""

    __slots__ = ("_capacity", "_lanes", "_length", "_served", "_service")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._lanes: dict[
            tuple[requests.Priority, str],
            collections.deque[requests.Request],
        ] = {}
        self._length = 0
        self._served: dict[str, float] = {}
        self._service = FIRST_SERVICE_SECONDS

    def __len__(self) -> int:
        return self._length

    def observe(self, seconds: float) -> None:
        """Take the service time of one request."""
        self._service += SMOOTHING * (seconds - self._service)

    def offer(
        self,
        request: requests.Request,
        slots: int,
        shares: t.Mapping[str, float],
        now: float,
    ) -> Queued | codes.Refused:
        """Decide whether a request may wait.

        :param slots: slots that serve the queue.
        :param shares: share of each team; others count as 1.
        """
        late = self._too_late(request, slots, shares, now)
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
        """Remove and return the request that goes next."""
        if not self._length:
            return None
        lane = min(
            self._lanes,
            key=lambda key: self._urgency(key, shares, now),
        )
        request = self._lanes[lane][0]
        self._remove(request)
        self._charge(request.team, shares)
        return request

    def expire(self, now: float) -> list[requests.Request]:
        """Remove and return the requests that can't be answered in time."""
        late = [
            request
            for lane in self._lanes.values()
            for request in lane
            if request.deadline - now < self._service
        ]
        for request in late:
            self._remove(request)
        return late

    def discard(self, request: requests.Request) -> bool:
        """Remove a request whose caller left; return whether it waited."""
        lane = self._lanes.get((request.priority, request.team), ())
        if request not in lane:
            return False
        self._remove(request)
        return True

    def _too_late(
        self,
        request: requests.Request,
        slots: int,
        shares: t.Mapping[str, float],
        now: float,
    ) -> codes.Refused | None:
        ahead = self._ahead(request, shares)
        rounds = ahead / max(slots, 1)
        expected = now + (rounds + 1) * self._service
        if expected <= request.deadline:
            return None
        return codes.Refused(
            codes.Result.TOO_LATE,
            f"{ahead:.0f} requests go first; it could not be answered in time",
        )

    def _ahead(
        self, request: requests.Request, shares: t.Mapping[str, float]
    ) -> float:
        """Estimate how many waiting requests go before a new one."""
        rank = requests.RANKS[request.priority]
        higher = sum(
            len(lane)
            for (priority, _), lane in self._lanes.items()
            if requests.RANKS[priority] < rank
        )
        same = {
            team: len(lane)
            for (priority, team), lane in self._lanes.items()
            if priority is request.priority
        }
        own = same.pop(request.team, 0)
        weight = shares.get(request.team, 1.0)
        others = sum(
            min(count, (own + 1) * shares.get(team, 1.0) / weight)
            for team, count in same.items()
        )
        return higher + own + others

    def _urgency(
        self,
        key: tuple[requests.Priority, str],
        shares: t.Mapping[str, float],
        now: float,
    ) -> tuple[int, float, float]:
        priority, team = key
        first = self._lanes[key][0]
        ranks_gained = int((now - first.arrived_at) / AGING_SECONDS)
        rank = max(0, requests.RANKS[priority] - ranks_gained)
        return (rank, self._served.get(team, 0.0), first.arrived_at)

    def _victim(
        self,
        request: requests.Request,
        shares: t.Mapping[str, float],
        now: float,
    ) -> requests.Request | None:
        """Return the waiting request that should give way, if any.

        It is the newest of the least pressing class of the team that has
        the most waiting for its share.
        """
        waiting: collections.Counter[str] = collections.Counter()
        for (_, team), lane in self._lanes.items():
            waiting[team] += len(lane)
        load = {
            team: count / shares.get(team, 1.0)
            for team, count in waiting.items()
        }
        heaviest = max(load, key=lambda team: load[team])
        own = (waiting[request.team] + 1) / shares.get(request.team, 1.0)
        if load[heaviest] <= own and heaviest != request.team:
            heaviest = request.team
        lanes = [key for key in self._lanes if key[1] == heaviest]
        if not lanes:
            return None
        lowest = max(lanes, key=lambda key: requests.RANKS[key[0]])
        rank = requests.RANKS[request.priority]
        same_team = heaviest == request.team
        if same_team and requests.RANKS[lowest[0]] <= rank:
            return None
        return self._lanes[lowest][-1]

    def _append(
        self, request: requests.Request, shares: t.Mapping[str, float]
    ) -> None:
        key = (request.priority, request.team)
        if all(team != request.team for _, team in self._lanes):
            floor = min(
                (self._served.get(team, 0.0) for _, team in self._lanes),
                default=0.0,
            )
            present = self._served.get(request.team, 0.0)
            self._served[request.team] = max(present, floor)
        self._lanes.setdefault(key, collections.deque()).append(request)
        self._length += 1

    def _remove(self, request: requests.Request) -> None:
        key = (request.priority, request.team)
        lane = self._lanes[key]
        if lane[0] is request:
            lane.popleft()
        else:
            lane.remove(request)
        self._length -= 1
        if not lane:
            del self._lanes[key]
        if not self._length:
            self._served.clear()

    def _charge(self, team: str, shares: t.Mapping[str, float]) -> None:
        present = self._served.get(team, 0.0)
        self._served[team] = present + 1.0 / shares.get(team, 1.0)
