"""Steps for the division and the lending of slots."""

import random
import typing as t

import behave

from agaterudder import slots

Context = t.Any
SLOTS = 8
LONGEST_REQUEST_SECONDS = 10.0
STEPS = 400


@behave.when("{members:d} entry VMs divide {count:d} slots one after another")
def step_divide(context: Context, members: int, count: int) -> None:
    names = [f"e{n}" for n in range(members)]
    division = slots.Division(count)
    for name in [*names, *names]:
        division = slots.with_claim(division, names, name)
    context.held = [division.held.get(name, 0) for name in names]


@behave.then('each holds "{held}"')
def step_held(context: Context, held: str) -> None:
    assert context.held == [int(part) for part in held.split(",")]


@behave.when("entry VMs join, leave and claim at random with seed {seed:d}")
def step_random(context: Context, seed: int) -> None:
    generator = random.Random(seed)
    members = ["e0"]
    division = slots.Division(SLOTS)
    held: dict[str, int] = {}
    context.max_usable = 0
    context.claims = 0
    for number in range(STEPS):
        name = generator.choice(members)
        match generator.randrange(6):
            case 0 if len(members) < 9:
                members.append(f"e{number + 1}")
            case 1 if len(members) > 1:
                members.remove(name)
                held.pop(name, None)
                division = slots.without_vms(division, {name})
            case _:
                after = slots.with_claim(division, members, name)
                target = after.held.get(name, 0)
                # As in the control loops, slots are released locally before
                # the row is written, and the write itself may fail.
                held[name] = min(held.get(name, 0), target)
                if generator.random() < 0.7:
                    division = after
                    held[name] = target
                    context.claims += 1
        context.max_usable = max(context.max_usable, sum(held.values()))


@behave.then("at most {count:d} slots were usable at any time")
def step_most(context: Context, count: int) -> None:
    assert context.claims > 100
    assert 1 <= context.max_usable <= count, context.max_usable


@behave.when("a VM with 4 idle slots lends 3 at time 0 to one that holds 4")
def step_lend(context: Context) -> None:
    context.lender = slots.ServiceSlots(LONGEST_REQUEST_SECONDS)
    context.borrower = slots.ServiceSlots(LONGEST_REQUEST_SECONDS)
    context.lender.held = context.borrower.held = 4
    loan = context.lender.lend(3, 0.01, 0.0)
    assert loan.count == 3, loan
    context.borrower.borrow(loan.count, 0.0, slots.LOAN_SECONDS)


@behave.then(
    "at {seconds:g} seconds the lender may use {lender:d} and the "
    "borrower {borrower:d}"
)
def step_allowed(
    context: Context, seconds: float, lender: int, borrower: int
) -> None:
    assert context.lender.allowance(seconds) == lender
    assert context.borrower.allowance(seconds) == borrower
