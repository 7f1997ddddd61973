"""The time of day, for work that is due at a time."""

import time


def now() -> float:
    """Return seconds since 1970."""
    return time.time()
