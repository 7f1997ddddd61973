"""Parts of one limit that two pools need in turn.

Each pool may use the part of a team's limit that one row grants to it. At
first each pool runs a smaller task and holds half of the limit for it; all
further tasks of both need more than half. A pool asks for what its waiting
tasks lack, and returns what it holds and can't use. A write of the row may
fail or get no answer. The end of a job may be stored before its run ends; it
is charged until then.

Left out are what the escrow model has (restarts, reclaiming, writes that take
effect late) and a limit that operators lower.
"""

import typing as t

from models import specification

LIMIT = 4
# Size of a task, more than half of the limit, and of the first task.
SIZE = 3
SMALL_SIZE = LIMIT // 2
# Number of tasks of each pool.
TASKS = 2
POOLS = (0, 1)


class Pool(t.NamedTuple):
    """A pool as its holder knows it, and its runs.

    :ivar held: part of the limit that it may use.
    :ivar charged: part of what it holds that is charged.
    :ivar waiting: number of tasks that wait for a start.
    :ivar first_runs: whether the first, smaller task still runs.
    :ivar running: number of runs of jobs whose end is not stored.
    :ivar outliving: number of runs of jobs whose end is stored.
    :ivar blocked: whether a request was refused, and none was granted and no
        run charged since.
    :ivar unknown: whether a write got no answer, so that the row may grant
        more than is held.
    """

    held: int = SMALL_SIZE
    charged: int = SMALL_SIZE
    waiting: int = TASKS
    first_runs: bool = True
    running: int = 0
    outliving: int = 0
    blocked: bool = False
    unknown: bool = False

    @property
    def free(self) -> int:
        """Part that further tasks may use."""
        return self.held - self.charged


class Grants(t.NamedTuple):
    """State of the model; pairs have an item for each pool.

    :ivar granted: grants in the row.
    """

    granted: tuple[int, int] = (SMALL_SIZE, SMALL_SIZE)
    pools: tuple[Pool, Pool] = (Pool(), Pool())


RETURNED = "a part too small to be used is returned"
RELEASED = "the charge of a run that outlives its job is released"
CHARGED = "a run that outlives its job is charged until it ends"
WITHIN_LIMIT = "the sum of the grants stays within the limit"
SETTLED_FIRST = "a write without an answer is settled before more is asked"
GUARDS = {
    RETURNED: "teamlimits.TeamLimits._blocked",
    RELEASED: "pool.Pool.remove_run",
    CHARGED: "pool.Pool.remove_ended_job",
    WITHIN_LIMIT: "escrow.enlarged",
    SETTLED_FIRST: "teamlimits.TeamLimits.rebalance",
}
# What happens by itself, if writes are answered.
STEPS = frozenset(
    {
        "ask",
        "ask in vain",
        "return",
        "start",
        "first run ends",
        "run ends",
        "run of an ended job ends",
    }
)


def _with_item(pair: tuple[t.Any, ...], index: int, value: t.Any) -> t.Any:
    return tuple(value if i == index else old for i, old in enumerate(pair))


def _with_pool(
    s: Grants, index: int, pool: Pool, granted: int | None = None
) -> Grants:
    """Return the state with a changed pool, and perhaps its grant."""
    s = s._replace(pools=_with_item(s.pools, index, pool))
    if granted is None:
        return s
    return s._replace(granted=_with_item(s.granted, index, granted))


def _ask_transitions(
    s: Grants, index: int, guards: frozenset[str]
) -> specification.Transitions:
    pool = s.pools[index]
    if not pool.waiting or pool.free >= SIZE:
        return []
    if pool.unknown and SETTLED_FIRST in guards:
        return []
    minimum = SIZE - pool.free
    added = min(pool.waiting * SIZE - pool.free, LIMIT - sum(s.granted))
    if added < minimum:
        if WITHIN_LIMIT in guards:
            blocked = pool._replace(blocked=True)
            return [("ask in vain", _with_pool(s, index, blocked))]
        added = minimum
    granted = s.granted[index] + added
    held = pool._replace(held=granted, blocked=False, unknown=False)
    unknown = pool._replace(blocked=False, unknown=True)
    return [
        ("ask", _with_pool(s, index, held, granted)),
        ("answer to ask is lost", _with_pool(s, index, unknown, granted)),
        ("ask is lost", _with_pool(s, index, unknown)),
    ]


def _returns(pool: Pool, guards: frozenset[str]) -> bool:
    if not pool.waiting:
        return pool.unknown or pool.free > 0
    if pool.unknown and SETTLED_FIRST in guards:
        return True
    return pool.blocked and pool.free > 0 and RETURNED in guards


def _return_transitions(
    s: Grants, index: int, guards: frozenset[str]
) -> specification.Transitions:
    pool = s.pools[index]
    if not _returns(pool, guards):
        return []
    known = pool._replace(held=pool.charged, unknown=False)
    unknown = known._replace(unknown=True)
    return [
        ("return", _with_pool(s, index, known, known.held)),
        (
            "answer to return is lost",
            _with_pool(s, index, unknown, known.held),
        ),
        ("return is lost", _with_pool(s, index, unknown)),
    ]


def _run_transitions(
    s: Grants, index: int, guards: frozenset[str]
) -> specification.Transitions:
    pool = s.pools[index]
    released = pool.charged - SIZE
    enabled: specification.Transitions = []
    if pool.waiting and pool.free >= SIZE:
        started = pool._replace(
            waiting=pool.waiting - 1,
            charged=pool.charged + SIZE,
            running=pool.running + 1,
            blocked=False,
        )
        enabled.append(("start", _with_pool(s, index, started)))
    if pool.first_runs:
        ended = pool._replace(
            first_runs=False, charged=pool.charged - SMALL_SIZE
        )
        enabled.append(("first run ends", _with_pool(s, index, ended)))
    if pool.running:
        ended = pool._replace(running=pool.running - 1, charged=released)
        enabled.append(("run ends", _with_pool(s, index, ended)))
        outlived = pool._replace(
            running=pool.running - 1,
            outliving=pool.outliving + 1,
            charged=pool.charged if CHARGED in guards else released,
        )
        enabled.append(
            ("end of job is stored", _with_pool(s, index, outlived))
        )
    if pool.outliving:
        kept = RELEASED not in guards or CHARGED not in guards
        ended = pool._replace(
            outliving=pool.outliving - 1,
            charged=pool.charged if kept else released,
        )
        enabled.append(
            ("run of an ended job ends", _with_pool(s, index, ended))
        )
    return enabled


def transitions(
    s: Grants, guards: frozenset[str]
) -> specification.Transitions:
    """Return the transitions from a state."""
    enabled: specification.Transitions = []
    for index in POOLS:
        enabled.extend(_ask_transitions(s, index, guards))
        enabled.extend(_return_transitions(s, index, guards))
        enabled.extend(_run_transitions(s, index, guards))
    return enabled


def _in_use(s: Grants) -> int:
    return sum(
        (pool.running + pool.outliving) * SIZE + pool.first_runs * SMALL_SIZE
        for pool in s.pools
    )


def invariant(s: Grants) -> bool:
    """All runs together use no more than the limit."""
    return _in_use(s) <= LIMIT


def stuck(s: Grants, guards: frozenset[str]) -> bool:
    """Return whether nothing is in use and a pool's tasks wait for ever."""
    return not _in_use(s) and any(
        pool.waiting and not _may_start(s, index, guards)
        for index, pool in enumerate(s.pools)
    )


def _may_start(s: Grants, index: int, guards: frozenset[str]) -> bool:
    waiting = s.pools[index].waiting
    return specification.leads_to(
        s,
        lambda state: transitions(state, guards),
        STEPS,
        lambda state: bool(state.pools[index].waiting < waiting),
    )


SPECIFICATION = specification.Specification(
    "grants", Grants(), transitions, invariant, GUARDS, stuck
)
