"""Stand-in for the platform's metadata store (PROTOCOL.md)."""

import base64
import json
import threading
import time

import web

ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.006
MAX_ROWS = 500


class Store:
    """Rows in tables, with one counter of versions.

    :ivar before_answer: called with path, query and body of each call; it may
        return a status that is answered in place of the call, or None.
    """

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.log = []
        self.changed = threading.Condition()
        self.before_answer = None
        self.server = web.Server(self._answer).start()
        self.address = self.server.address

    def now_ms(self):
        """Return the steady clock of the store."""
        return int(time.monotonic() * 1000)

    def put(self, table, key, content):
        """Write a row as the operator or a minion; return its version."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return self.put_raw(table, key, value)

    def put_raw(self, table, key, value):
        """Write a row with a value in base64."""
        with self.changed:
            self.version += 1
            self._set(table, "", key, value)
            self.changed.notify_all()
            return self.version

    def drop(self, table, key):
        """Remove a row as the operator or the platform."""
        with self.changed:
            if (table, "", key) in self.rows:
                self.version += 1
                self._remove(table, "", key)
                self.changed.notify_all()

    def read(self, table, part, key):
        """Return the bytes of a row, None without it."""
        with self.changed:
            found = self.rows.get((table, part, key))
        return None if found is None else base64.b64decode(found["value"])

    def _set(self, table, part, key, value):
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": self.version,
        }
        self.rows[(table, part, key)] = row
        self.log.append(row)

    def _remove(self, table, part, key):
        del self.rows[(table, part, key)]
        self.log.append(
            {
                "table": table,
                "part": part,
                "key": key,
                "value": "",
                "ver": self.version,
                "removed": True,
            }
        )

    def _answer(self, method, path, query, headers, body):
        if self.before_answer is not None:
            status = self.before_answer(path, query, body)
            if status is not None:
                return (status, {}) if status else None
        match method, path:
            case "POST", "/rows-tx":
                time.sleep(TRANSACTION_SECONDS)
                return self._transact(json.loads(body))
            case "GET", "/rows-get":
                time.sleep(ANSWER_SECONDS)
                return self._get(query)
            case "GET", "/rows-feed":
                return self._feed(query)
        return 404, {}

    def _reply(self, rows, **more):
        return {
            "rows": rows,
            "ver": self.version,
            "now_ms": self.now_ms(),
            **more,
        }

    def _transact(self, call):
        entries = call.get("writes", []) + call.get("remove", [])
        if any(item["table"] in ("op", "servers") for item in entries):
            return 403, {}
        with self.changed:
            held = call.get("precondition", [])
            keys = [(c["table"], c.get("part", ""), c["key"]) for c in held]
            if any(
                self.rows.get(key, {"ver": 0})["ver"] != condition["ver"]
                for key, condition in zip(keys, held)
            ):
                rows = [self.rows[key] for key in keys if key in self.rows]
                return 412, self._reply(rows)
            self.version += 1
            for item in call.get("writes", []):
                self._set(
                    item["table"],
                    item.get("part", ""),
                    item["key"],
                    item["value"],
                )
            for item in call.get("remove", []):
                key = (item["table"], item.get("part", ""), item["key"])
                if key in self.rows:
                    self._remove(*key)
            self.changed.notify_all()
            return 200, self._reply([])

    def _get(self, query):
        first = query.get("from", "")
        last = query.get("target")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        with self.changed:
            found = sorted(
                (
                    row
                    for (table, part, key), row in self.rows.items()
                    if table == query["table"]
                    and part == query.get("part", "")
                    and key >= first
                    and (last is None or key < last)
                ),
                key=lambda row: row["key"].encode(),
            )
            return 200, self._reply(
                found[:limit], has_more=len(found) > limit
            )

    def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while True:
                rows = []
                for row in reversed(self.log):
                    if row["ver"] <= after:
                        break
                    if row["table"] == query["table"]:
                        rows.append(row)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._reply(rows[::-1])
                self.changed.wait(left)
