"""Stand-in for one minion, which runs the tasks that it is told to start.

The ``spec`` of a job is JSON; ``run_s`` says how long each task works, and
``lasts`` that it works until it is stopped.
"""

import json
import threading
import time

import web

HOLD_MAX_SECONDS = 6.0
STOP_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.5
STEP_SECONDS = 0.02
# A task that lasts is at work after this time.
STARTUP_SECONDS = 0.3


class Run:
    """One run of a task."""

    def __init__(self, task, run, body, now):
        self.task = task
        self.run = run
        self.body = body
        self.started_at = now
        spec = json.loads(body["spec"])
        self.lasts = spec.get("lasts", False)
        self.seconds = spec.get("run_s", 1.0)
        self.stop_at = None

    def percent(self, now):
        """Return how much of its work is done."""
        if self.lasts:
            return 100 if now - self.started_at >= STARTUP_SECONDS else 0
        return min(100, int(100 * (now - self.started_at) / self.seconds))


class Minion:
    """One minion: its entry in the store, its runs and its ends.

    :param observe: called with ``(event, minion, task, run, detail)`` under
        the lock of all minions.
    :ivar first_beat_seconds: when a life writes its first entry, after it has
        begun to listen.
    """

    def __init__(self, store, lock, observe, name, machine, service, zone,
                 capacity, labels):
        self.store = store
        self.lock = lock
        self.observe = observe
        self.name = name
        self.machine = machine
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.changed = threading.Condition(lock)
        self.state = "ready"
        self.up = False
        self.server = None
        self.runs = {}
        self.ends = []
        self.born = 0
        self.before_answer = None
        self.first_beat_seconds = 0.0
        threading.Thread(target=self._work, daemon=True).start()

    def start(self, port=0):
        """Start a life that knows nothing of an earlier one."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.began = time.monotonic()
            self.token = 0
            self.deadline = 0
            self.runs = {}
            self.ends = []
            self.last_end = 0
            self.highest = {}
            self.refused = {}
            self.sequence = 0
            self.state = "ready"
            self.server = web.Server(self._answer, port).start()
            self.up = True
            self._beat_at = time.monotonic() + self.first_beat_seconds
            self.observe("minion up", self, "", 0, f"born={self.born}")
        return self

    def crash(self):
        """End at once, with all that runs; nothing is sent."""
        with self.lock:
            if not self.up:
                return 0
            self.up = False
            port = self.server.server_address[1]
            for run in list(self.runs.values()):
                self.observe("lost", self, run.task, run.run, "crash")
            self.runs = {}
            self.changed.notify_all()
            self.observe("minion crashed", self, "", 0, "")
        self.server.crash()
        return port

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.began) * 1000)

    def _register(self, now):
        self.sequence += 1
        self._beat_at = now + HEARTBEAT_SECONDS
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": self.born,
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
        }

    def _work(self):
        while True:
            time.sleep(STEP_SECONDS)
            entry = None
            with self.lock:
                if not self.up:
                    continue
                now = time.monotonic()
                if now >= self._beat_at:
                    entry = self._register(now)
                clock = self.clock_ms()
                for run in list(self.runs.values()):
                    if clock > self.deadline:
                        self._end(run, "lapsed")
                    elif run.stop_at is not None and now >= run.stop_at:
                        self._end(run, "stopped")
                    elif run.lasts:
                        continue
                    elif now - run.started_at >= run.seconds:
                        self._end(run, "done")
            if entry is not None:
                self.store.put("servers", self.name, entry)

    def _end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.run, how, ""])
        known = self.highest.get(run.task, 0)
        self.highest[run.task] = max(known, run.run)
        self.observe(how, self, run.task, run.run, "")
        self.changed.notify_all()

    def _answer(self, method, path, query, headers, body):
        content = json.loads(body) if body else {}
        if self.before_answer is not None:
            status = self.before_answer(path, content)
            if status is not None:
                return (status, {}) if status else None
        if path == "/health":
            return 200, {}
        if headers.get("Expect-Instance", self.name) != self.name:
            return 421, {}
        with self.lock:
            if not self.up:
                return None
            token = content.get("fencing_token", 0)
            if token < self.token:
                return self._refuse("fence")
            self.token = token
            match path:
                case "/run-start":
                    return self._start(content)
                case "/run-stop":
                    return self._stop(content)
                case "/hold":
                    return self._hold(content)
                case "/pace":
                    return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _refuse(self, reason):
        return 409, {
            "clock_ms": self.clock_ms(),
            "reason": reason,
            "born": self.born,
        }

    def _extend(self, deadline):
        longest = self.clock_ms() + HOLD_MAX_SECONDS * 1000
        self.deadline = max(self.deadline, min(deadline, longest))

    def _start(self, content):
        task, number = content["task"], content["run"]
        deadline = content.get("deadline_ms", 0)
        if deadline < self.clock_ms():
            return self._refuse("late")
        self._extend(deadline)
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, {"clock_ms": self.clock_ms(), "born": self.born}
        if present is not None or number <= self.highest.get(task, 0):
            return self._refuse("old")
        self.runs[task] = Run(task, number, content, time.monotonic())
        self.observe("start", self, task, number, "")
        return 200, {"clock_ms": self.clock_ms(), "born": self.born}

    def _stop(self, content):
        task, number = content["task"], content["run"]
        present = self.runs.get(task)
        if present is not None and present.run == number:
            if present.stop_at is None:
                present.stop_at = time.monotonic() + STOP_SECONDS
        else:
            known = self.highest.get(task, 0)
            self.highest[task] = max(known, number)
        return 200, {"clock_ms": self.clock_ms(), "born": self.born}

    def _hold(self, content):
        cursor = content.get("ack_cursor", 0)
        noted = [end for end in self.ends if end[0] <= cursor]
        self.ends = [end for end in self.ends if end[0] > cursor]
        for _, task, run, how, _ in noted:
            self.observe("noted", self, task, run, how)
        self._extend(content.get("deadline_ms", 0))
        born = self.born
        until = time.monotonic() + min(content.get("wait_ms", 0), 2000) / 1000
        while not self.ends and self.up and self.born == born:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(left)
        if not self.up or self.born != born:
            return None
        now = time.monotonic()
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.run, "", run.percent(now), 0]
                for run in self.runs.values()
            ],
            "finished": self.ends[:500],
        }
