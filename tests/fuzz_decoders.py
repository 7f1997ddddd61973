"""Feeds the decoders random messages: ``python -m tests.fuzz_decoders``.

Arguments are the inputs per decoder and the seed. Each input is decoded, or
refused as undecodable; any other exception ends the run and is shown with its
input.
"""

import pathlib
import random
import sys
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from agaterudder import decoding  # noqa: E402
from agaterudder import exceptions  # noqa: E402
from agaterudder.jobs import model  # noqa: E402
from agaterudder.jobs import ports  # noqa: E402
from agaterudder_platform import jobmessages  # noqa: E402
from agaterudder_platform import machinemessages  # noqa: E402
from agaterudder_platform import operatormessages  # noqa: E402
from agaterudder_platform import policymessages  # noqa: E402
from agaterudder_platform import storemessages  # noqa: E402
from agaterudder_platform import workermessages  # noqa: E402
from tests import odd_inputs  # noqa: E402

SHOWN_BYTES = 300


def _registration(content: bytes) -> object:
    found = workermessages.worker_registration(
        ports.Row("servers", "w1", content, 1)
    )
    # What is kept of it is stored and sent on.
    return model.encode(
        [found.worker, found.address, found.incarnation, found.size]
    )


def _listing(content: bytes) -> object:
    return model.encode(workermessages.decode_listing(content))


def _job(content: bytes) -> object:
    return model.encode(jobmessages.job_request(content))


def _machines(content: bytes) -> object:
    page = decoding.from_json(content, machinemessages.MachinesReply)
    return [
        decoding.from_json(row, machinemessages.MachineRow)
        for row in page.machines
    ]


def _tickets(content: bytes) -> object:
    found = decoding.from_json(content, policymessages.AdviceReply)
    return dict(found.granted)


def _rows(content: bytes) -> object:
    found = decoding.from_json(content, storemessages.RowsReply)
    return [row.row() for row in found.rows]


DECODERS: dict[str, tuple[t.Callable[[bytes], object], dict[str, t.Any]]] = {
    "registration": (_registration, odd_inputs.REGISTRATION),
    "listing": (_listing, odd_inputs.LISTING),
    "job": (_job, odd_inputs.JOB),
    "configuration": (
        operatormessages.configuration,
        odd_inputs.CONFIGURATION,
    ),
    "wave": (operatormessages.decode_wave, odd_inputs.WAVE),
    "machines": (_machines, odd_inputs.MACHINES),
    "tickets": (_tickets, odd_inputs.TICKETS),
    "rows": (_rows, odd_inputs.ROWS),
}


def refused_share(name: str, inputs: int, seed: int) -> float:
    """Feed a decoder; return the share of the inputs that it refused.

    :raises AssertionError: when it raised any other exception.
    """
    decode, message = DECODERS[name]
    generator = random.Random(f"{name} {seed}")
    refused = 0
    for _ in range(inputs):
        content = odd_inputs.mutated(message, generator)
        try:
            decode(content)
        except exceptions.Undecodable:
            refused += 1
        except Exception as error:
            shown = content[:SHOWN_BYTES]
            raise AssertionError(f"{name}: {error!r} by {shown!r}") from error
    return refused / inputs


def main() -> None:
    """Feed all decoders."""
    inputs, seed = (int(argument) for argument in sys.argv[1:3])
    for name in DECODERS:
        share = refused_share(name, inputs, seed)
        print(f"{name}: {inputs} inputs, {share:.1%} refused")


if __name__ == "__main__":
    main()
