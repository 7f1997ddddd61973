"""Messages of the platform with odd values, for the tests of decoders."""

import json
import random
import typing as t

DEPTH = 2_000
# Values that another writer may leave in any field, as JSON texts.
ODD_VALUES: dict[str, str] = {
    "nested lists": "[" * DEPTH + "]" * DEPTH,
    "nested objects": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "beyond 64 bits": "1" + "0" * 30,
    "1e308": "1e308",
    "beyond a double": "1e309",
    "5000 digits": "9" * 5_000,
    "not a number": "NaN",
    "negative": "-1",
    "zero": "0",
    "fraction": "0.5",
    "word": '"http"',
    "empty": '""',
    "NUL": '"a\\u0000b"',
    "lone surrogate": '"\\ud800"',
    "long": '"' + "x" * 100_000 + '"',
    "true": "true",
    "null": "null",
    "list": "[]",
    "object": "{}",
    "port 0": '"10.128.0.9:0"',
    "port 99999": '"10.128.0.9:99999"',
    "negative port": '"10.128.0.9:-1"',
    "no port": '"10.128.0.9"',
    "host name": '"worker.example:8080"',
    "octet 999": '"10.128.0.999:8080"',
    "NUL in the host": '"10.128.0.9\\u0000:8080"',
}
_PLACE = "@odd@"

REGISTRATION: dict[str, t.Any] = {
    "service": "count",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "sequence": 4,
    "born": 5,
}
LISTING: dict[str, t.Any] = {
    "clock_ms": 482_113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00bb", 41, 80]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
    "born": 7,
}
JOB: dict[str, t.Any] = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
        {"count": 2, "cpu": 500, "after": [0], "max_per_server": 2},
    ],
    "times": 2,
    "start_at_ms": 5,
    "interval_ms": 500,
}
CONFIGURATION: dict[str, t.Any] = {
    "version": 3,
    "routes": [
        {
            "name": "checks",
            "host": "north.example",
            "path_prefix": "/checks/",
            "service": "count",
            "max_attempts": 3,
            "advice": {"decide_ms": 1, "each_ms": 1, "valid_ms": 900},
        }
    ],
    "services": [{"name": "count", "standby": False}],
    "tenants": [
        {
            "name": "tally",
            "api_keys": ["key-1"],
            "weight": 2.5,
            "cap": {"cpu": 1, "mem_mb": 2, "gpu": 0},
        }
    ],
    "limits": {"max_body_bytes": 10_000},
}
WAVE: dict[str, t.Any] = {
    "wave": 4,
    "machines": ["m1", "m2"],
    "duration_s": 20,
    "cap": 1,
}
MACHINE: dict[str, t.Any] = {
    "machine": "m1",
    "pool": "count",
    "state": "up",
    "zone": "north",
    "id": "w1",
}
MACHINES: dict[str, t.Any] = {"machines": [MACHINE], "next_token": ""}
TICKETS: dict[str, t.Any] = {"granted": [["w1", "t1"]], "valid_ms": 900}
ROWS: dict[str, t.Any] = {
    "rows": [
        {"table": "op", "part": "", "key": "config", "value": "AA==", "ver": 5}
    ],
    "ver": 7,
    "now_ms": 1_000,
    "has_more": False,
}


def with_value(message: dict[str, t.Any], field: str, odd_value: str) -> bytes:
    """Return a message whose field holds an odd value.

    :param field: may be a field that the message does not have.
    :param odd_value: name in :data:`ODD_VALUES`.
    """
    text = json.dumps({**message, field: _PLACE})
    return _replace(text, ODD_VALUES[odd_value])


def mutated(message: dict[str, t.Any], generator: random.Random) -> bytes:
    """Return a message with an odd value somewhere, or damaged bytes."""
    tree = json.loads(json.dumps(message))
    parents = list(_containers(tree))
    parent = generator.choice(parents)
    keys: list[t.Any] = (
        [*parent, "unknown"]
        if isinstance(parent, dict)
        else list(range(len(parent)))
    )
    if keys:
        parent[generator.choice(keys)] = _PLACE
    text = json.dumps(tree)
    odd_value = generator.choice(list(ODD_VALUES.values()))
    if generator.random() < 0.1:
        # The field once more, with an odd value.
        text = text.replace("{", '{"service":' + odd_value + ",", 1)
    content = bytearray(_replace(text, odd_value))
    if generator.random() < 0.2:
        for _ in range(generator.randrange(1, 6)):
            place = generator.randrange(len(content))
            content[place] = generator.randrange(256)
    return bytes(content)


def _replace(text: str, odd_value: str) -> bytes:
    return text.replace(f'"{_PLACE}"', odd_value).encode()


def _containers(tree: t.Any) -> t.Iterator[t.Any]:
    """Yield a list or object and all that are inside of it."""
    if not isinstance(tree, (dict, list)):
        return
    yield tree
    for item in tree.values() if isinstance(tree, dict) else tree:
        yield from _containers(item)
