"""Monotonic clock that also counts time in suspension."""

import time


def now() -> float:
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
