"""Stand-in for a minion, as PROTOCOL.md describes it ("Running tasks").

The text of a job's ``spec`` says how long its tasks run, in milliseconds; a
task of a job whose spec is ``lasts`` runs until it is stopped. Each order,
start and end is written as a line of JSON to the record file.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import math  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
import geventhttpclient  # noqa: E402
from gevent import pywsgi  # noqa: E402

HOLD_MAX_MS = 6000
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.7
GANG_TIMEOUT_SECONDS = 3.0
RESTORE_SECONDS = 0.6
CHECKPOINT_SECONDS = 2.0
ENDS_PER_LISTING = 500
MAX_WAIT_MS = 2000


class Run:
    """A run; ``seconds`` of work are left when it starts, None: it lasts."""

    def __init__(self, task, number, spec, checkpoint, now):
        self.task, self.number, self.started_at = task, number, now
        self.saved = checkpoint
        words = dict(word.partition("=")[::2] for word in spec.split())
        self.lasts = "lasts" in words
        self.saves = "saves" in words
        self.total = 0.0 if self.lasts else float(words["ms"]) / 1000
        self.before = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.works_from = now + (RESTORE_SECONDS if checkpoint else 0.0)
        self.stopping = False
        # A member of a gang works from when all members are present.
        self.gang_size = int(words.get("gang", 0))
        if self.gang_size:
            self.works_from = math.inf

    def worked(self, now):
        return self.before + max(now - self.works_from, 0.0)

    def percent(self, now):
        if self.lasts:
            return 100 if now - self.started_at >= STARTUP_SECONDS else 50
        return min(int(100 * self.worked(now) / max(self.total, 1e-3)), 99)

    def save(self, now, at_stop=False):
        """Make a new checkpoint where one is due."""
        if not self.saves:
            return
        done = self.worked(now)
        if not at_stop:
            done -= done % CHECKPOINT_SECONDS
        if int(done * 1000) > (int(self.saved[:8], 16) if self.saved else 0):
            job = self.task.partition(".")[0]
            self.saved = f"{int(done * 1000):08x}{job[4:12]}"


class Minion:
    """State of one life of a machine."""

    def __init__(self, options):
        self.options = options
        self.id = options.id
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ended = []
        self.ended_upto = {}
        self.count = 0
        self.new_end = gevent.event.Event()
        self.record = open(options.record, "a", buffering=1)

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def write(self, event, **fields):
        line = {"at": round(time.time(), 4), "minion": self.id,
                "service": self.options.service, "event": event, **fields}
        self.record.write(json.dumps(line) + "\n")

    # Runs

    def end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        self.count += 1
        saved = run.saved if how != "done" else ""
        self.ended.append([self.count, run.task, run.number, how, saved])
        upto = max(run.number, self.ended_upto.get(run.task, 0))
        self.ended_upto[run.task] = upto
        self.write("end", task=run.task, run=run.number, how=how,
                   n=self.count)
        found, self.new_end = self.new_end, gevent.event.Event()
        found.set()
        if run.gang_size:
            self.ask_gang(run, how)

    def ask_gang(self, run, ended=""):
        """Tell the other members of this one; return what is known of them."""
        host, port = self.options.platform.split(":")
        client = geventhttpclient.HTTPClient(host, int(port))
        body = {"gang": run.task.rpartition(".")[0], "run": run.number,
                "task": run.task, "size": run.gang_size, "ended": ended}
        try:
            return json.loads(client.request(
                "POST", "/harness/gang", body=json.dumps(body).encode()
            ).read())
        finally:
            client.close()

    def follow_gang(self, run):
        """Have a member begin with the others, and end when one ends."""
        alone_at = time.monotonic() + GANG_TIMEOUT_SECONDS
        while (run.task, run.number) in self.runs:
            known = self.ask_gang(run)
            if known["ended"]:
                how = known["ended"]
                self.end(run, "done" if how == "done" else "broken")
            elif known["began"] and run.works_from == math.inf:
                pause = RESTORE_SECONDS if run.before else 0.0
                run.works_from = time.monotonic() + pause
            elif not known["began"] and time.monotonic() > alone_at:
                self.end(run, "alone")
            gevent.sleep(0.05)

    def tick(self):
        while True:
            gevent.sleep(0.02)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock_ms() > self.deadline_ms:
                    self.end(run, "lapsed")
                    continue
                run.save(now)
                if not run.lasts and run.worked(now) >= run.total:
                    self.end(run, "done")

    def extend(self, deadline_ms):
        allowed = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
        self.deadline_ms = max(self.deadline_ms, allowed)

    def fenced(self, call):
        token = call.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def reject(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def start(self, call):
        task, number = call["task"], call["run"]
        if self.fenced(call):
            return self.reject("fence")
        if (task, number) in self.runs:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.ended_upto.get(task, 0):
            self.extend(call["deadline_ms"])
            return self.reject("old")
        if call["deadline_ms"] < self.clock_ms():
            return self.reject("late")
        if "ticket" in call["spec"].split() and not self.permitted(call):
            self.write("no ticket", task=task, run=number,
                       ticket=call.get("ticket", ""))
            return self.reject("ticket")
        self.extend(call["deadline_ms"])
        now = time.monotonic()
        run = Run(task, number, call["spec"], call.get("checkpoint", ""), now)
        self.runs[task, number] = run
        self.write("start", task=task, run=number,
                   token=call["fencing_token"],
                   checkpoint=call.get("checkpoint", ""))
        if run.gang_size:
            gevent.spawn(self.follow_gang, run)
        return 200, {"clock_ms": self.clock_ms()}

    def permitted(self, call):
        """Return whether a start carries a ticket that is valid here."""
        expires, worker, step = (call.get("ticket", "") + "//").split("/")[:3]
        return (
            worker == self.id and step == call["task"].rpartition(".")[0]
            and time.time() * 1000 < int(expires or 0)
        )

    def stop(self, call):
        task, number = call["task"], call["run"]
        if self.fenced(call):
            return self.reject("fence")
        self.write("stop ordered", task=task, run=number,
                   token=call["fencing_token"])
        run = self.runs.get((task, number))
        if run is None:
            upto = max(number, self.ended_upto.get(task, 0))
            self.ended_upto[task] = upto
        elif not run.stopping:
            run.stopping = True
            gevent.spawn_later(STOP_SECONDS, self.stopped, run)
        return 200, {"clock_ms": self.clock_ms()}

    def stopped(self, run):
        run.save(time.monotonic(), True)
        self.end(run, "stopped")

    def hold(self, call):
        if self.fenced(call):
            return self.reject("fence")
        acknowledged = call.get("ack_cursor", 0)
        if any(end[0] <= acknowledged for end in self.ended):
            self.write("taken note", upto=acknowledged)
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        if call.get("deadline_ms"):
            self.extend(call["deadline_ms"])
        wait_ms = min(call.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self.ended:
            self.new_end.wait(wait_ms / 1000)
        now = time.monotonic()
        running = [
            [r.task, r.number, r.saved, r.percent(now),
             0 if r.lasts else 10]
            for r in self.runs.values()
        ]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born,
                     "running": running,
                     "finished": self.ended[:ENDS_PER_LISTING]}

    def pace(self, call):
        if self.fenced(call):
            return self.reject("fence")
        return 200, {"clock_ms": self.clock_ms()}

    def application(self, environ, start):
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        expected = environ.get("HTTP_EXPECT_INSTANCE")
        handlers = {"/run-start": self.start, "/run-stop": self.stop,
                    "/hold": self.hold, "/pace": self.pace}
        if expected not in (None, self.id):
            status, answer = 421, {}
        elif path not in handlers:
            status, answer = 404, {}
        else:
            status, answer = handlers[path](json.loads(body))
            answer["born"] = self.born
        content = json.dumps(answer).encode()
        start(f"{status} -", [("Content-Type", "application/json"),
                              ("Content-Length", str(len(content)))])
        return [content]

    # Registration

    def beat(self):
        options = self.options
        host, port = options.platform.split(":")
        client = geventhttpclient.HTTPClient(host, int(port))
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": options.service,
                "address": f"127.0.0.1:{options.port}",
                "zone": options.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": options.cpu, "mem_mb": options.mem_mb,
                             "gpu": 0},
                "labels": ["a", options.rack], "clock_ms": self.clock_ms(),
                "born": self.born, "sequence": sequence,
            }
            try:
                client.request(
                    "POST", "/harness/beat",
                    body=json.dumps({"id": self.id, "entry": entry}).encode(),
                ).read()
            except OSError:
                pass
            gevent.sleep(options.heartbeat_ms / 1000)


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "rack", "platform", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--mem-mb", type=int, default=32768)
    parser.add_argument("--heartbeat-ms", type=float, default=1500)
    minion = Minion(parser.parse_args())
    pathlib.Path(minion.options.record).parent.mkdir(exist_ok=True)
    gevent.spawn(minion.tick)
    server = pywsgi.WSGIServer(("127.0.0.1", minion.options.port),
                               minion.application, log=None, error_log=None)
    server.start()
    minion.write("up")
    gevent.spawn(minion.beat)
    server.serve_forever()


if __name__ == "__main__":
    main()
