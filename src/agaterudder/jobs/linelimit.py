"""Limit of the log lines of single events within a second."""


class LineLimit:
    """Counts lines, so that the events above a limit share lines.

    :param lines_per_second: limit of the lines of single events.
    """

    __slots__ = ("_lines_per_second", "_second", "_lines")

    def __init__(self, lines_per_second: int) -> None:
        self._lines_per_second = lines_per_second
        self._second = 0
        self._lines = 0

    def take(self, now: float) -> bool:
        """Return whether an event may have a line of its own."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        return self._lines <= self._lines_per_second
