"""Shares the machines on standby among pools whose load rises together.

The limit of a pool follows what is left, as the dynamic thresholds of shared
buffers do: a pool that has much leaves some machines to those that have
little, and pools need not know of each other's load.
"""

import math

# A pool may have this many times the machines that it leaves on standby.
LEFT_FACTOR = 3.0


def allowed(wanted: int, present: int, free: int, even_share: int) -> int:
    """Return how many machines a pool may take from standby now.

    :param wanted: how many it would take.
    :param present: how many it has or has ordered.
    :param free: how many are on standby and may be ordered.
    :param even_share: how many each pool would have if all had as many; up
        to this it may take half of what is left.
    """
    by_threshold = math.floor(
        (LEFT_FACTOR * free - present) / (1.0 + LEFT_FACTOR)
    )
    below_even_share = min(even_share - present, math.ceil(free / 2))
    return min(wanted, max(by_threshold, below_even_share, 0))
