"""Decides what follows an attempt to serve a request."""

import dataclasses

from agaterudder import codes
from agaterudder import requests
from agaterudder import retries

Outcome = requests.Answer | codes.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of one attempt; ``server`` is empty if none was asked."""

    outcome: Outcome
    server: str


def merge_outcomes(earlier: Outcome | None, outcome: Outcome) -> Outcome:
    """Combine the outcomes of the earlier attempts and of a further one.

    A refusal as not run covers the last attempt only: an earlier one may
    have been executed, which makes the outcome of the request unknown.
    """
    may_have_run = earlier is not None and not (
        isinstance(earlier, codes.Refused) and earlier.not_run
    )
    if may_have_run and isinstance(outcome, codes.Refused) and outcome.not_run:
        return codes.Refused(
            codes.Result.OUTCOME_UNKNOWN,
            f"an earlier attempt may have run; then: {outcome.reason}",
        )
    return outcome


def may_retry(
    request: requests.Request,
    attempt: AttemptResult,
    now: float,
    budget: retries.RetryBudget,
) -> bool:
    """Return whether to try a request again in this data centre.

    A retry of a request that may have been executed takes a token of the
    budget.
    """
    outcome = attempt.outcome
    if not attempt.server or now >= request.deadline:
        return False
    if isinstance(outcome, requests.Answer):
        failed = outcome.status in (500, 502, 504)
        return failed and request.repeatable and budget.spend()
    if outcome.not_run:
        return outcome.code is not codes.Result.TOO_LATE
    return request.repeatable and budget.spend()


def should_fail_over(
    request: requests.Request, outcome: Outcome, budget: retries.RetryBudget
) -> bool:
    """Return whether to try a request in another data centre."""
    if not isinstance(outcome, codes.Refused):
        return False
    if outcome.code is codes.Result.OUTCOME_UNKNOWN:
        return request.repeatable and budget.spend()
    return outcome.code in (
        codes.Result.NO_SERVER,
        codes.Result.DATA_CENTRE_OUT,
    )
