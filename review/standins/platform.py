"""Stand-in for the platform: its store and its API for machines.

It follows PROTOCOL.md ("The platform's metadata store", "Machines"). Paths
that begin with ``/harness`` are for the harness and the minions: there the
operator's and the minions' rows are written, and machines change state.
"""

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import collections  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
from gevent import pywsgi  # noqa: E402

ROW_BYTES = 65_536
CALL_BYTES = 1_048_576
CALL_ENTRIES = 100
PAGE_ROWS = 500
TRANSACTION_SECONDS = 0.006
HISTORY_SECONDS = 20.0
SILENT_BEATS = 3
GANG_SILENCE_SECONDS = 1.0
DECIDE_SECONDS = 0.1
EACH_SECONDS = 0.01
TICKET_SECONDS = 3.0
READ_ONLY_TABLES = ("op", "servers")


class Platform:
    """Rows with versions, their history, and the machines."""

    def __init__(self, heartbeat_seconds):
        self.started_at = time.monotonic()
        self.rows = {}
        self.version = 0
        self.history = collections.defaultdict(collections.deque)
        self.forgotten = collections.defaultdict(int)
        self.changed = gevent.event.Event()
        self.beats = {}
        self.silence = SILENT_BEATS * heartbeat_seconds
        self.machines = {}
        self.refused = collections.Counter()
        self.gangs = {}
        self.allowed = []

    def now_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def commit(self, puts, removals):
        """Apply writes as one transaction; return its version."""
        self.version += 1
        now = time.monotonic()
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value,
                   "ver": self.version}
            self.rows[table, part, key] = row
            self.history[table].append((now, self.version, row))
        for table, part, key in removals:
            if self.rows.pop((table, part, key), None) is not None:
                row = {"table": table, "part": part, "key": key, "value": "",
                       "ver": self.version, "removed": True}
                self.history[table].append((now, self.version, row))
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()
        return self.version

    def answer(self, extra=None):
        return {"ver": self.version, "now_ms": self.now_ms(), **(extra or {})}

    def transact(self, body):
        """Handle ``POST /rows-tx``."""
        if len(body) > CALL_BYTES:
            return self.refuse("a call of more than 1 MB")
        call = json.loads(body)
        conditions = call.get("precondition", [])
        writes = call.get("writes", [])
        removals = call.get("remove", [])
        entries = conditions + writes + removals
        if len(entries) > CALL_ENTRIES:
            return self.refuse("more than 100 entries")
        if len({entry.get("part", "") for entry in entries}) > 1:
            return self.refuse("entries of several parts")
        for write in writes:
            size = len(base64.b64decode(write["value"]))
            if size > ROW_BYTES:
                return self.refuse(
                    f"value of {write['table']}/{write['key']} has {size} "
                    f"bytes, more than row_bytes"
                )
        if any(e["table"] in READ_ONLY_TABLES for e in writes + removals):
            return 403, {"reason": "not the system's table"}
        gevent.sleep(TRANSACTION_SECONDS)
        found = [
            self.rows.get((c["table"], c.get("part", ""), c["key"]))
            for c in conditions
        ]
        held = all(
            (row["ver"] if row else 0) == condition["ver"]
            for row, condition in zip(found, conditions)
        )
        if not held:
            return 412, self.answer({"rows": [row for row in found if row]})
        version = self.commit(
            [(w["table"], w.get("part", ""), w["key"], w["value"])
             for w in writes],
            [(r["table"], r.get("part", ""), r["key"]) for r in removals],
        )
        return 200, self.answer() | {"ver": version}

    def refuse(self, reason):
        self.refused[reason.partition(" has ")[0]] += 1
        return 400, {"reason": reason}

    def get(self, query):
        """Handle ``GET /rows-get``."""
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit") or PAGE_ROWS), PAGE_ROWS)
        keys = sorted(
            key for t, p, key in self.rows
            if t == table and p == part and key >= first
            and (last is None or key < last)
        )
        page, size = [], 0
        for key in keys[:limit]:
            row = self.rows[table, part, key]
            size += len(row["value"])
            if page and size > CALL_BYTES:
                break
            page.append(row)
        return 200, self.answer(
            {"rows": page, "has_more": len(keys) > len(page)}
        )

    def feed(self, query):
        """Handle ``GET /rows-feed``."""
        table, after = query["table"], int(query.get("after") or 0)
        until = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        while True:
            past = self.history[table]
            while past and time.monotonic() - past[0][0] > HISTORY_SECONDS:
                self.forgotten[table] = past.popleft()[1]
            if after < self.forgotten[table]:
                return 410, {"reason": "history"}
            rows = [row for _, version, row in past if version > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.answer({"rows": rows})
            self.changed.wait(left)

    def parts(self, query):
        """Handle ``GET /rows-parts``."""
        after = query.get("after", "")
        names = sorted({p for t, p, _ in self.rows
                        if t == query["table"] and p > after})
        return 200, self.answer(
            {"parts": names[:1000], "has_more": len(names) > 1000}
        )

    def order(self, path, body, headers):
        """Handle an order for a machine; there are no other pools here."""
        call = json.loads(body)
        machine = self.machines.get(call["machine"])
        if machine is None:
            return 400, {"reason": "no such machine"}
        token = int(headers.get("HTTP_FENCING_TOKEN") or 0)
        if token < machine.get("token", 0):
            return 409, {"reason": "fence"}
        machine["token"] = token
        return 409, {"reason": "wave" if "upkeep" in path else "busy"}

    def harness(self, path, body):
        """Handle the calls of the harness and of the minions."""
        call = json.loads(body) if body else {}
        match path:
            case "/harness/beat":
                key = call["id"]
                self.beats[key] = time.monotonic()
                value = base64.b64encode(
                    json.dumps(call["entry"]).encode()).decode()
                self.commit([("servers", "", key, value)], [])
            case "/harness/left":
                self.beats.pop(call["id"], None)
                self.commit([], [("servers", "", call["id"])])
            case "/harness/operator":
                value = base64.b64encode(
                    json.dumps(call["value"]).encode()).decode()
                self.commit([("op", "", call["key"], value)], [])
            case "/harness/machine":
                self.machines.setdefault(call["machine"], {}).update(call)
            case "/harness/advice":
                self.allowed = call["workers"]
            case "/harness/gang":
                return 200, self.gang(call)
            case "/harness/rows":
                return 200, {
                    "rows": [row for row in self.rows.values()
                             if row["table"] == call["table"]],
                    "refused": dict(self.refused),
                }
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def advise(self, body):
        """Handle ``POST /advise``: permit starts on some of the minions."""
        call = json.loads(body)
        workers = call["workers"]
        gevent.sleep(DECIDE_SECONDS + EACH_SECONDS * len(workers))
        expires = int((time.time() + TICKET_SECONDS) * 1000)
        return 200, {
            "granted": [[worker, f"{expires}/{worker}/{call['step']}"]
                        for worker in workers if worker in self.allowed],
            "valid_ms": int(TICKET_SECONDS * 1000)}

    def gang(self, call):
        """Tell a member of a gang's run of the others.

        The members are present until one of them has ended, or is silent.
        """
        now = time.monotonic()
        gang = self.gangs.setdefault(
            (call["gang"], call["run"]),
            {"seen": {}, "began": None, "ended": ""})
        gang["seen"][call["task"]] = now
        if call["ended"] or any(
                now - at > GANG_SILENCE_SECONDS
                for at in gang["seen"].values()):
            gang["ended"] = gang["ended"] or call["ended"] or "silent"
        if gang["began"] is None and len(gang["seen"]) == call["size"]:
            gang["began"] = now
        return {"ended": gang["ended"], "began": gang["began"] is not None}

    def expire(self):
        """Remove the entries of silent minions."""
        while True:
            gevent.sleep(0.1)
            now = time.monotonic()
            for key, at in list(self.beats.items()):
                if now - at > self.silence:
                    del self.beats[key]
                    self.commit([], [("servers", "", key)])

    def application(self, environ, start):
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        query = dict(urllib.parse.parse_qsl(
            environ.get("QUERY_STRING", ""), keep_blank_values=True))
        if path == "/rows-tx":
            status, answer = self.transact(body)
        elif path == "/rows-get":
            status, answer = self.get(query)
        elif path == "/rows-feed":
            status, answer = self.feed(query)
        elif path == "/rows-parts":
            status, answer = self.parts(query)
        elif path == "/advise":
            status, answer = self.advise(body)
        elif path == "/machines":
            rows = [{k: v for k, v in m.items() if k != "token"}
                    for m in self.machines.values()]
            status, answer = 200, {"machines": rows, "next_token": None}
        elif path in ("/machine-move", "/machine-upkeep"):
            status, answer = self.order(path, body, environ)
        elif path.startswith("/harness/"):
            status, answer = self.harness(path, body)
        else:
            status, answer = 404, {}
        content = json.dumps(answer).encode()
        start(f"{status} -", [("Content-Type", "application/json"),
                              ("Content-Length", str(len(content)))])
        return [content]


def main():
    port, heartbeat_ms = int(sys.argv[1]), float(sys.argv[2])
    platform = Platform(heartbeat_ms / 1000)
    gevent.spawn(platform.expire)
    pywsgi.WSGIServer(("127.0.0.1", port), platform.application,
                      log=None, error_log=None).serve_forever()


if __name__ == "__main__":
    main()
