"""Log lines and metrics of the ends that workers may discard.

A line for each answered poll would cost as much processor time as placing
the task, so that the ends of a pool are written together.
"""

import logging

from agaterudder.jobs import ports
from agaterudder import metrics

LOG = logging.getLogger(__name__)

# Limits of the polls in one line, and of the tasks named for each of them.
MAX_POLLS_PER_LINE = 20
MAX_TASKS_PER_POLL = 5


class Acknowledgements:
    """Stored ends of a pool that are not logged yet.

    :param pool: name of the pool.
    """

    __slots__ = ("_pool", "_metrics", "_polls", "_count", "_longest")

    def __init__(self, pool: str, metrics_registry: metrics.Metrics) -> None:
        self._pool = pool
        self._metrics = metrics_registry
        self._polls: list[str] = []
        self._count = 0
        self._longest = 0.0

    def add(
        self,
        worker: str,
        listing: ports.Listing,
        before: int,
        last: int,
        waited: float,
    ) -> None:
        """Note that the ends of a listing may be discarded.

        :param before: number of the last end acknowledged before.
        :param last: number of the last end acknowledged now.
        :param waited: seconds since these ends were first listed.
        """
        tasks = [
            (
                ended.task
                if ended.outcome == ports.END_DONE
                else f"{ended.task}:{ended.outcome}"
            )
            for ended in listing.ended
            if before < ended.number <= last
        ]
        names = ",".join(tasks[:MAX_TASKS_PER_POLL])
        others = len(tasks) - MAX_TASKS_PER_POLL
        rest = f",+{others}" if others > 0 else ""
        self._polls.append(
            f"{worker}/{listing.incarnation}:{before}-{last}={names}{rest}"
        )
        self._count += last - before
        self._longest = max(self._longest, waited)
        self._metrics.count("ends_acknowledged", len(tasks), pool=self._pool)
        self._metrics.observe("end_stored", waited, pool=self._pool)
        if len(self._polls) >= MAX_POLLS_PER_LINE:
            self.write()

    def write(self) -> None:
        """Write the line of the ends noted since the last one."""
        if not self._polls:
            return
        LOG.info(
            "ends acknowledged",
            extra={
                "pool": self._pool,
                "ends": self._count,
                "waited": round(self._longest, 3),
                "polls": " ".join(self._polls),
            },
        )
        self._polls.clear()
        self._count = 0
        self._longest = 0.0
