"""Retry budget: limits retries to a fraction of recent successes."""

TOKENS_PER_SUCCESS = 0.2
MAX_TOKENS = 20.0
INITIAL_TOKENS = 5.0


class RetryBudget:
    """Tokens earned by successes and spent by retries."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def succeeded(self) -> None:
        """Add a fraction of a token after a success."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SUCCESS)

    def spend(self) -> bool:
        """Take a token for a retry; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
