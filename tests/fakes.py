"""Fake transports that call the stand-ins without sockets."""

import json
import random
import typing as t

from agaterudder import exceptions
from standins import platform
from standins import worker


class PlatformTransport:
    """Calls the platform's stand-in directly and injects faults.

    :ivar faults: faults of the next writes in order: ``refused`` (never
        sent), ``lost request``, ``lost answer`` or ``ok``; later writes
        have none.
    :ivar partitioned: whether every call fails as if the network were cut.
    """

    def __init__(self, target: platform.Platform) -> None:
        self.target = target
        self.faults: list[str] = []
        self.partitioned = False
        self.writes = 0

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Carry out one call; see :class:`agaterudder.store.Transport`."""
        if self.partitioned:
            raise exceptions.StoreUnavailable("cut off", False)
        fault = "ok"
        if method == "POST" and self.faults:
            fault = self.faults.pop(0)
        if fault == "refused":
            raise exceptions.StoreUnavailable("refused", False)
        if fault == "lost request":
            raise exceptions.StoreUnavailable("time-out")
        resource, _, query = path.partition("?")
        status, content = self.target.handle(
            method, platform.urllib.parse.unquote(resource), query, body
        )
        self.writes += method == "POST"
        if fault == "lost answer" or status >= 500:
            raise exceptions.StoreUnavailable("answer lost")
        if isinstance(content, bytes):
            return status, content
        return status, json.dumps(content).encode()


class WorkerTransport:
    """Calls a worker's stand-in directly and injects faults.

    :ivar clock: returns the worker's current time.
    :ivar faults: faults of the next calls, as in PlatformTransport.
    :ivar partitioned: whether every call fails as if the network were cut.
    """

    def __init__(
        self, target: worker.Worker, clock: t.Callable[[], float]
    ) -> None:
        self.target = target
        self.clock = clock
        self.faults: list[str] = []
        self.partitioned = False

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Carry out one call; see :class:`agaterudder.store.Transport`."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if self.partitioned or fault == "refused":
            raise exceptions.StoreUnavailable("cut off", False)
        if fault == "lost request":
            raise exceptions.StoreUnavailable("time-out")
        now = self.clock()
        self.target.tick(now)
        status, content = self.target.handle(
            path, json.loads(body or b"{}"), now
        )
        if fault == "lost answer":
            raise exceptions.StoreUnavailable("answer lost")
        return status, json.dumps(content).encode()


def random_faults(
    generator: random.Random, count: int, rate: float
) -> list[str]:
    """Return ``count`` entries, each a random fault with probability rate."""
    kinds = ("refused", "lost request", "lost answer")
    return [
        generator.choice(kinds) if generator.random() < rate else "ok"
        for _ in range(count)
    ]
