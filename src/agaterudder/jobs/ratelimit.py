"""Rate limit of the job submissions of a team."""

# Burst: a team may submit at once what it may submit in this time.
BURST_SECONDS = 1.0


class TokenBucket:
    """Token bucket of one team, refilled at its weight in jobs a second."""

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_at = 0.0

    def take_token(self, per_second: float, at: float) -> bool:
        """Take a token for a job; return whether one was available.

        :param at: when the job was accepted, in seconds.
        """
        capacity = max(per_second * BURST_SECONDS, 1.0)
        if self._tokens is None:
            self._tokens = capacity
        else:
            passed = max(at - self._refilled_at, 0.0)
            self._tokens = min(self._tokens + passed * per_second, capacity)
        self._refilled_at = max(at, self._refilled_at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
