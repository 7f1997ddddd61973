"""Unanswered starts whose tasks may start elsewhere.

Their worker has ended, or has confirmed a stop, so that it does not carry them
out any more. If an order can be delayed, a later incarnation under the same
name, which knows of no stop, may still do so: it is told to stop them first.
"""

import typing as t

from agaterudder.jobs import fleet

if t.TYPE_CHECKING:
    from agaterudder.jobs import runs


class LateStarts:
    """Remembers such starts for as long as an order can be delayed."""

    __slots__ = ("_by_worker",)

    def __init__(self) -> None:
        self._by_worker: dict[str, list[runs.Run]] = {}

    def add(self, run: "runs.Run", now: float) -> None:
        """Add a start; forget those that can't arrive any more."""
        self._by_worker = {
            worker: present
            for worker, found in self._by_worker.items()
            if (present := [run for run in found if _may_arrive(run, now)])
        }
        self._by_worker.setdefault(run.worker.name, []).append(run)

    def expected(self, worker: str, now: float) -> bool:
        """Return whether a worker's name may receive such a start."""
        return any(
            _may_arrive(run, now) for run in self._by_worker.get(worker, ())
        )

    def take(self, worker: str, now: float) -> list["runs.Run"]:
        """Remove and return the starts that a worker's name may receive."""
        found = self._by_worker.pop(worker, [])
        return [run for run in found if _may_arrive(run, now)]


def _may_arrive(run: "runs.Run", now: float) -> bool:
    return now - run.sent_at < fleet.MAX_ORDER_DELAY_SECONDS
