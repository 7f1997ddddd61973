"""Jobs of a pool whose end was stored lately."""

import itertools

# For this long, a job that has ended may still be read from the store, in an
# answer that is older than its end.
ENDED_JOB_SECONDS = 30.0


class EndedJobs:
    """Remembers for some time which jobs are stored as ended."""

    __slots__ = ("_ended_at",)

    def __init__(self) -> None:
        self._ended_at: dict[str, float] = {}

    def __contains__(self, job: str) -> bool:
        return job in self._ended_at

    def add(self, job: str, now: float) -> None:
        """Add a job; forget those that were added long ago."""
        self._ended_at[job] = now
        forgotten = [
            name
            for name, _ in itertools.takewhile(
                lambda item: now - item[1] > ENDED_JOB_SECONDS,
                self._ended_at.items(),
            )
        ]
        for name in forgotten:
            del self._ended_at[name]
