"""Serves a request through a peer in another data centre."""

import time

from agaterudder import attempts
from agaterudder import codes
from agaterudder import messages
from agaterudder import peercalls
from agaterudder import requests
from agaterudder import retries
from agaterudder import utils


def fail_over(
    request: requests.Request,
    outcome: attempts.Outcome,
    peer_caller: peercalls.PeerCaller,
    budget: retries.RetryBudget,
) -> attempts.Outcome:
    """Try a request at one peer after the other.

    :param outcome: outcome of the earlier attempts.
    """
    for vm in peer_caller.failover_peers(time.monotonic()):
        now = time.monotonic()
        remaining = request.deadline - now
        if remaining <= 0 or not peer_caller.can_call(vm, now):
            continue
        call = _forward_request(request, remaining)
        answer = _from_peer(peer_caller.forward(vm, call, remaining), vm)
        outcome = attempts.merge_outcomes(outcome, answer)
        if isinstance(answer, requests.Answer):
            return answer
        repeat = request.repeatable and budget.spend()
        if not (answer.not_run or repeat):
            return outcome
    return outcome


def _forward_request(
    request: requests.Request, remaining: float
) -> messages.ForwardRequest:
    return messages.ForwardRequest(
        utils.new_identifier(),
        request.identifier,
        request.service,
        request.team,
        request.priority.value,
        request.repeatable,
        request.method,
        request.path,
        request.headers,
        request.body,
        remaining,
    )


def _from_peer(
    answer: messages.ForwardAnswer | None, vm: str
) -> attempts.Outcome:
    if answer is None:
        return codes.Refused(
            codes.Result.OUTCOME_UNKNOWN, f"entry VM {vm} did not answer"
        )
    if answer.code != codes.Result.OK:
        return codes.Refused(codes.Result(answer.code), answer.reason)
    if answer.length != len(answer.body):
        return codes.Refused(
            codes.Result.SHORT_ANSWER, f"the answer through {vm} was cut"
        )
    return requests.Answer(answer.status, answer.headers, answer.body)
