"""Checks every specification and prints the results as Markdown."""

import sys

from models import acceptance
from models import budget
from models import claim
from models import crashes
from models import ends
from models import escrow
from models import grants
from models import latestarts
from models import pool
from models import specification
from models import takeover

SPECIFICATIONS = {
    model.SPECIFICATION.name: model.SPECIFICATION
    for model in (
        escrow,
        claim,
        acceptance,
        pool,
        budget,
        ends,
        takeover,
        latestarts,
        grants,
        crashes,
    )
}


def table_rows(model: specification.Specification) -> list[str]:
    """Return the table rows of a specification."""
    baseline = specification.check(model)
    verdict = "holds" if baseline.holds and baseline.exhaustive else "BROKEN"
    lines = [
        f"| {model.name} | all guards | | {verdict} | {baseline.states:,} | |"
    ]
    if not baseline.holds:
        lines.append(f"trace: {baseline.counterexample}")
    for guard, code in model.guards.items():
        unguarded = specification.check(model, guard)
        length = len(unguarded.counterexample)
        outcome = "counterexample" if not unguarded.holds else "NONE FOUND"
        lines.append(
            f"| {model.name} | without: {guard} | `{code}` | {outcome} "
            f"| {unguarded.states:,} | {length} |"
        )
    return lines


def main() -> int:
    """Print the table."""
    print("| model | guards | code | verdict | states | steps |")
    print("| --- | --- | --- | --- | --- | --- |")
    for model in SPECIFICATIONS.values():
        for row in table_rows(model):
            print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())
