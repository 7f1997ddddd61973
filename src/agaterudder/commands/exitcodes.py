"""Exit codes of the commands.

0 done, 1 refused, 2 wrong usage or settings, 3 pending: the change is
recorded but not yet in force everywhere, 4 no entry VM answered.
"""

REFUSED = 1
USAGE = 2
PENDING = 3
UNREACHABLE = 4
