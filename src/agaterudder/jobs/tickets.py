"""Permits of the placement policy, which a start carries."""


class Tickets:
    """Permits of the placement policy for a step.

    :ivar refused: workers that the policy does not allow, which stays so.
    :ivar by_worker: ticket for each worker that the policy allows.
    :ivar until: when the tickets expire.
    """

    __slots__ = ("refused", "by_worker", "until")

    def __init__(
        self, refused: set[str], by_worker: dict[str, str], until: float
    ) -> None:
        self.refused = refused
        self.by_worker = by_worker
        self.until = until


def joined(known: Tickets | None, found: Tickets, now: float) -> Tickets:
    """Return what two answers of the policy about a step say together.

    :param known: the earlier answer, None without one.
    """
    if known is None:
        return found
    refused = known.refused | found.refused
    if known.until <= now:
        return Tickets(refused, found.by_worker, found.until)
    return Tickets(
        refused,
        known.by_worker | found.by_worker,
        min(known.until, found.until),
    )
