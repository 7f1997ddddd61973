"""How many jobs a second a team sends."""

# A team may send what it is owed for so long at once.
BURST_SECONDS = 1.0


class Rate:
    """Tokens of one team, refilled at its weight in jobs a second."""

    __slots__ = ("_tokens", "_at")

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._at = 0.0

    def take(self, per_second: float, at: float) -> bool:
        """Take a token for a job; return whether there was one.

        :param at: when the job was accepted, in seconds.
        """
        most = max(per_second * BURST_SECONDS, 1.0)
        if self._tokens is None:
            self._tokens = most
        else:
            passed = max(at - self._at, 0.0)
            self._tokens = min(self._tokens + passed * per_second, most)
        self._at = max(at, self._at)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
