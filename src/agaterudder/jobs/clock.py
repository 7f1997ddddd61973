"""The steady clock that also counts time in suspension."""

import time


def now() -> float:
    """Return seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
