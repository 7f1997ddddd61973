"""Stands in for the platform's store: one table that is read and watched.

It takes the place of the HTTP client, so that the real clients run on it.
"""

import base64
import json
import typing as t
import urllib.parse

from agaterudder_platform import httpclient


class TableStub:
    """Answers readings of rows and of changes.

    :ivar calls: paths of the calls, in order.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self._rows: dict[str, bytes] = {}
        self._log: list[tuple[str, bytes | None]] = []

    def put(self, key: str, value: bytes) -> None:
        """Write a row."""
        self._rows[key] = value
        self._log.append((key, value))

    def remove(self, key: str) -> None:
        """Remove a row."""
        del self._rows[key]
        self._log.append((key, None))

    def request(
        self, method: str, path: str, *arguments: t.Any, **named: t.Any
    ) -> httpclient.Reply:
        """Answer a reading."""
        self.calls.append(path)
        resource, _, query = path.partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if resource == "/rows-get":
            rows = [self._row(key, self._rows[key]) for key in self._rows]
        else:
            after = int(values["after"])
            rows = [self._row(*change) for change in self._log[after:]]
        content = {"rows": rows, "ver": len(self._log), "now_ms": 1.0}
        return httpclient.Reply(200, json.dumps(content).encode())

    @staticmethod
    def _row(key: str, value: bytes | None) -> dict[str, t.Any]:
        if value is None:
            return {"table": "servers", "key": key, "removed": True}
        text = base64.b64encode(value).decode()
        return {"table": "servers", "key": key, "value": text, "ver": 1}
