"""Checks every specification and prints a table in Markdown."""

import sys

from models import acceptance
from models import budget
from models import claim
from models import ends
from models import escrow
from models import pool
from models import specification

ALL = {
    item.SPECIFICATION.name: item.SPECIFICATION
    for item in (escrow, claim, acceptance, pool, budget, ends)
}


def rows(item: specification.Specification) -> list[str]:
    """Return the rows of one specification."""
    whole = specification.check(item)
    verdict = "holds" if whole.holds and whole.exhaustive else "BROKEN"
    found = [
        f"| {item.name} | all guards | | {verdict} | {whole.states:,} | |"
    ]
    if not whole.holds:
        found.append(f"trace: {whole.counterexample}")
    for guard, code in item.guards.items():
        broken = specification.check(item, guard)
        steps = len(broken.counterexample)
        word = "counterexample" if not broken.holds else "NONE FOUND"
        found.append(
            f"| {item.name} | without: {guard} | `{code}` | {word} "
            f"| {broken.states:,} | {steps} |"
        )
    return found


def main() -> int:
    """Print the table."""
    print("| model | guards | code | verdict | states | steps |")
    print("| --- | --- | --- | --- | --- | --- |")
    for item in ALL.values():
        for row in rows(item):
            print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
