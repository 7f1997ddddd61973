"""Stand-in for the platform's metadata store, as the protocol page has it."""

import asyncio
import base64
import collections
import time

import httplite

HISTORY_SECONDS = 20.0
READ_SECONDS = 0.004
PAGE_ROWS = 500
MAX_ENTRIES = 100
# A connection on which an answer is lost delivers nothing for this long.
SILENT_SECONDS = 10.0
MAX_BYTES = 1_000_000


class Store:
    """Rows with versions from one counter, transactions and a change feed.

    :param tx_seconds: duration of a transaction; a part runs one at a time.
    """

    def __init__(self, tx_seconds=0.006):
        self._tx_seconds = tx_seconds
        self._rows = {}
        self._version = 100
        self._history = collections.deque()
        self._dropped = 0
        self._changed = asyncio.Event()
        self._turns = collections.defaultdict(asyncio.Lock)
        self._began = time.monotonic()
        self._late = set()
        self.oversized = 0
        # Returns after how many seconds a transaction is performed whose
        # answer is lost, given its body; 0 for one that is answered.
        self.lose = lambda body: 0.0

    def now_ms(self):
        """Return the steady clock of the store."""
        return round((time.monotonic() - self._began) * 1000, 3) + 50_000

    # Access for the stand-ins themselves

    def value(self, table, part, key):
        """Return the value of a row, None without one."""
        found = self._rows.get((table, part, key))
        return None if found is None else found[0]

    def version(self, table, part, key):
        """Return the version of a row, 0 without one."""
        return self._rows.get((table, part, key), (b"", 0))[1]

    def write(self, table, key, content, part=""):
        """Write a row as the operator or a worker does."""
        self._apply([(table, part, key, content)], [])

    def remove(self, table, key, part=""):
        """Remove a row as the operator or a worker does."""
        if (table, part, key) in self._rows:
            self._apply([], [(table, part, key)])

    def _apply(self, writes, removals):
        self._version += 1
        now = time.monotonic()
        for table, part, key, content in writes:
            self._rows[(table, part, key)] = (content, self._version)
            row = self._row(table, part, key)
            self._history.append((now, self._version, table, row))
        for table, part, key in removals:
            if self._rows.pop((table, part, key), None) is not None:
                row = {
                    "table": table,
                    "part": part,
                    "key": key,
                    "ver": self._version,
                    "removed": True,
                }
                self._history.append((now, self._version, table, row))
        while self._history and now - self._history[0][0] > HISTORY_SECONDS:
            self._dropped = self._history.popleft()[1]
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def _row(self, table, part, key):
        content, version = self._rows[(table, part, key)]
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(content).decode(),
            "ver": version,
        }

    # The calls

    async def handle(self, request):
        """Answer one call."""
        if request.method == "POST" and request.path == "/rows-tx":
            if len(request.body) > MAX_BYTES:
                self.oversized += 1
                return 400, {}
            seconds = self.lose(request.json())
            if not seconds:
                return await self._transact(request.json())
            task = asyncio.create_task(self._later(request.json(), seconds))
            self._late.add(task)
            await asyncio.sleep(max(seconds, SILENT_SECONDS))
            raise httplite.NoAnswer
        if request.method == "GET" and request.path == "/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return 200, self._get(request.query)
        if request.method == "GET" and request.path == "/rows-feed":
            return await self._feed(request.query)
        return 404, {}

    async def _later(self, body, seconds):
        """Perform a transaction late, if its condition still holds."""
        await asyncio.sleep(seconds)
        await self._transact(body)

    async def _transact(self, body):
        parts = {
            entry.get("part", "")
            for name in ("precondition", "writes", "remove")
            for entry in body.get(name, ())
        }
        entries = sum(
            len(body.get(name, ()))
            for name in ("precondition", "writes", "remove")
        )
        if len(parts) > 1 or entries > MAX_ENTRIES:
            return 400, {}
        tables = {e["table"] for e in (*body["writes"], *body["remove"])}
        if tables & {"op", "servers"}:
            return 403, {}
        async with self._turns["".join(parts)]:
            await asyncio.sleep(self._tx_seconds)
            conditions = body["precondition"]
            failed = [
                c
                for c in conditions
                if self._rows.get(
                    (c["table"], c.get("part", ""), c["key"]), (b"", 0)
                )[1]
                != c["ver"]
            ]
            if failed:
                rows = [
                    self._row(c["table"], c.get("part", ""), c["key"])
                    for c in conditions
                    if (c["table"], c.get("part", ""), c["key"]) in self._rows
                ]
                return 412, self._answer(rows)
            version = self._apply(
                [
                    (
                        w["table"],
                        w.get("part", ""),
                        w["key"],
                        base64.b64decode(w["value"]),
                    )
                    for w in body["writes"]
                ],
                [
                    (r["table"], r.get("part", ""), r["key"])
                    for r in body["remove"]
                ],
            )
            return 200, {"ver": version, "now_ms": self.now_ms()}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit") or PAGE_ROWS), PAGE_ROWS)
        keys = sorted(
            key
            for row_table, row_part, key in self._rows
            if row_table == table
            and row_part == part
            and key >= first
            and (end is None or key < end)
        )
        answer = self._answer(
            [self._row(table, part, key) for key in keys[:limit]]
        )
        answer["has_more"] = len(keys) > limit
        return answer

    def _answer(self, rows):
        return {"rows": rows, "ver": self._version, "now_ms": self.now_ms()}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        await asyncio.sleep(READ_SECONDS)
        while True:
            if after < self._dropped:
                return 410, {}
            rows = {}
            for _, version, row_table, row in self._history:
                if version > after and row_table == table:
                    rows.pop((row["part"], row["key"]), None)
                    rows[(row["part"], row["key"])] = row
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(list(rows.values()))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
