"""Retry budget: retries may be only a share of recent successes."""

RETRY_SHARE = 0.2
MOST_TOKENS = 20.0
FIRST_TOKENS = 5.0


class RetryBudget:
    """Tokens earned by successes and spent by retries."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = FIRST_TOKENS

    def succeeded(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(MOST_TOKENS, self._tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
