"""Wall clock, for work that is scheduled at a time of day."""

import time


def now() -> float:
    """Return Unix seconds."""
    return time.time()
