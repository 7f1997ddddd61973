"""Measures the decoding of workers' entries: ``python -m bench.decoding``.

Side by side: the decoder in use, which checks ranges and the address, and that
of version 0.3.3, which checked types only. No network is used.
"""

import dataclasses
import json
import pathlib
import sys
import time
import typing as t

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from agaterudder.jobs import ports  # noqa: E402
from agaterudder import resources  # noqa: E402
from agaterudder_platform import wire  # noqa: E402
from agaterudder_platform import workermessages  # noqa: E402

WORKERS = 540
ROUNDS = 40


class _Amounts(msgspec.Struct, frozen=True):
    """Amounts of resources without ranges."""

    cpu: float = 0
    mem_mb: float = 0
    gpu: float = 0

    def vector(self) -> resources.Vector:
        """Return the amounts in cores, MB and accelerators."""
        return resources.Vector(
            self.cpu / wire.MILLICORES_PER_CORE, self.mem_mb, self.gpu
        )


class _Entry(msgspec.Struct, frozen=True):
    """Entry of a worker without ranges."""

    service: str
    address: str
    zone: str
    state: t.Literal["ready", "draining"]
    capacity: _Amounts
    labels: list[str] = []
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Registration:
    """Registration of a worker, see :class:`ports.WorkerRegistration`."""

    worker: str
    pool: str
    address: str
    data_centre: str
    state: str
    size: resources.Vector
    labels: tuple[str, ...]
    rack: str
    incarnation: int


def _unchecked(row: ports.Row) -> _Registration:
    entry = msgspec.json.decode(row.value, type=_Entry)
    if entry.address.count(":") != 1:
        raise ValueError(entry.address)
    draining = entry.state == "draining"
    return _Registration(
        row.key,
        entry.service,
        entry.address,
        entry.zone,
        ports.WORKER_DRAINING if draining else ports.WORKER_READY,
        entry.capacity.vector(),
        tuple(entry.labels),
        entry.labels[1] if len(entry.labels) > 1 else "",
        entry.born,
    )


def _row(number: int) -> ports.Row:
    entry = {
        "service": "count",
        "address": f"10.128.{number // 250}.{number % 250 + 1}:8080",
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "labels": ["a", f"r1-{number // 20}"],
        "clock_ms": 482_113,
        "sequence": 4,
        "born": 1_769_830_485_195,
    }
    return ports.Row("servers", f"i-{number}", json.dumps(entry).encode(), 1)


def best_seconds(
    decode: t.Callable[[ports.Row], object], rows: t.Sequence[ports.Row]
) -> float:
    """Return the shortest time in which all rows were decoded."""
    times = []
    for _ in range(ROUNDS):
        began_at = time.perf_counter()
        for row in rows:
            decode(row)
        times.append(time.perf_counter() - began_at)
    return min(times)


def main() -> None:
    """Print both times."""
    rows = [_row(number) for number in range(WORKERS)]
    unchecked = best_seconds(_unchecked, rows)
    checked = best_seconds(workermessages.worker_registration, rows)
    print(
        f"{WORKERS} entries: {checked * 1_000:.2f} ms, version 0.3.3"
        f" {unchecked * 1_000:.2f} ms, {checked / unchecked:.2f} times"
    )


if __name__ == "__main__":
    main()
