"""Stand-in for a worker (a minion), as the protocol page has it.

What a task does stands in its job's spec, as JSON: ``ms`` is how long a task
works, 0 for one that lasts. With ``save``, it saves its progress every
CHECKPOINT_SECONDS, in a checkpoint of that many characters.
"""

import asyncio
import json
import time

from httplite import Server

HEARTBEAT_SECONDS = 1.5
# An entry is removed after three intervals of silence.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
CHECKPOINT_SECONDS = 2.0


class _Run:
    __slots__ = (
        "task", "run", "began", "seconds", "stopping", "_save", "_restored"
    )

    def __init__(self, task, run, began, spec, checkpoint):
        self.task = task
        self.run = run
        self.began = began
        self._save = spec.get("save", 0)
        self._restored = int(checkpoint[:16], 16) if checkpoint else 0
        self.seconds = max(spec["ms"] - self._restored, 0) / 1000
        self.stopping = False

    def saved(self, now):
        """Return the checkpoint: the work done, and the rest of it."""
        count = int((now - self.began) / CHECKPOINT_SECONDS)
        if not self._save or not (count or self._restored):
            return ""
        done = self._restored + int(count * CHECKPOINT_SECONDS * 1000)
        return f"{done:016x}".ljust(self._save, "x")


class Worker:
    """One minion on a port of its own.

    :param log: called with an event name and fields.
    :param stop_seconds: how long a stop takes.
    """

    def __init__(
        self, store, log, name, service, labels, cpu=16000, zone="zone-a",
        stop_seconds=0.05, hold_max_seconds=6.0,
    ):
        self.machine = f"m-{name}"
        self.name = name
        self._lives = 1
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.zone = zone
        self.state = "ready"
        self.up = False
        self.public_address = ""
        self.running = {}
        self.stop_seconds = stop_seconds
        self._hold_max = hold_max_seconds
        self._store = store
        self._log = log
        self._server = Server(self._handle)
        self._tasks = []
        self._sequence = 0
        self._reset()

    @property
    def unread_ends(self):
        """Number of ends that are listed and not taken note of."""
        return len(self._ends)

    @property
    def address(self):
        """Address that the worker itself listens on."""
        return self._server.address

    def _reset(self):
        self.born = int(time.time() * 1000)
        self._clock_began = time.monotonic()
        self._fence = 0
        self._ends = []
        self._end_count = 0
        self._lease_until = 0.0
        self._stopped = {}
        self.running = {}
        self._changed = asyncio.Event()

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_began) * 1000) + 1000

    async def start(self, same_id=False):
        """Start, also again after :meth:`crash`.

        :param same_id: whether it starts again under the id that it had.
        """
        self._reset()
        if self._lives > 1 and not same_id:
            self.name = f"{self.machine[2:]}-life{self._lives}"
        self._lives += 1
        await self._server.start()
        self.up = True
        self._log("worker started", worker=self.name, born=self.born)
        self._register()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]

    async def crash(self):
        """End at once: everything that runs is lost."""
        self.up = False
        lost = sorted(f"{task}/{run}" for task, run in self.running)
        self._log("worker crashed", worker=self.name, runs=lost)
        for task in self._tasks:
            task.cancel()
        await self._server.stop()
        self.running = {}
        asyncio.get_running_loop().call_later(
            EXPIRY_SECONDS, self._expire, self.name, self.born
        )

    def _expire(self, name, born):
        """Remove the entry of a life that has ended, unless it is in use."""
        if not (self.up and self.name == name):
            self._store.remove("servers", name)

    async def leave(self, drain_seconds):
        """Drain, then leave for good."""
        self.state = "draining"
        self._register()
        self._log("worker draining", worker=self.name)
        await asyncio.sleep(drain_seconds)
        await self.crash()
        self._store.remove("servers", self.name)

    def _register(self):
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.public_address or self._server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
            "clock_ms": self._clock_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }
        self._store.write("servers", self.name, json.dumps(entry).encode())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._register()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.running and self._clock_ms() > self._lease_until:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if run.seconds and now - run.began >= run.seconds:
                    self._end(run, "done")

    def _end(self, run, how):
        if self.running.pop((run.task, run.run), None) is None:
            return
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._log(
            "run ended", worker=self.name, task=run.task, run=run.run, how=how
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        if request.path == "/health":
            return (503 if self.state == "draining" else 200), {}
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self._clock_ms()}
        body = request.json()
        if body.get("fencing_token", 0) < self._fence:
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self._fence = max(self._fence, body.get("fencing_token", 0))
        answer = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
            "/pace": self._pace,
        }.get(request.path)
        if answer is None:
            return 404, {"clock_ms": self._clock_ms()}
        return await answer(body)

    def _extend(self, deadline_ms):
        longest = self._clock_ms() + self._hold_max * 1000
        self._lease_until = max(
            self._lease_until, min(deadline_ms, longest)
        )

    async def _start(self, body):
        key = (body["task"], body["run"])
        if body["deadline_ms"] <= self._clock_ms():
            return 409, {"clock_ms": self._clock_ms(), "reason": "late"}
        self._extend(body["deadline_ms"])
        if key in self.running:
            return 200, {"clock_ms": self._clock_ms()}
        if body["run"] <= self._stopped.get(body["task"], 0):
            return 409, {"clock_ms": self._clock_ms(), "reason": "old"}
        self.running[key] = _Run(
            *key, time.monotonic(), json.loads(body["spec"]),
            body.get("checkpoint", ""),
        )
        self._stopped[body["task"]] = body["run"] - 1
        self._log(
            "run started", worker=self.name, task=key[0], run=key[1],
            token=body["fencing_token"],
        )
        return 200, {"clock_ms": self._clock_ms()}

    async def _stop(self, body):
        known = self._stopped.get(body["task"], 0)
        self._stopped[body["task"]] = max(known, body["run"])
        run = self.running.get((body["task"], body["run"]))
        if run is not None and not run.stopping:
            run.stopping = True
            self._log(
                "stop accepted", worker=self.name, task=run.task, run=run.run
            )
            asyncio.get_running_loop().call_later(
                self.stop_seconds, self._end, run, "stopped"
            )
        return 200, {"clock_ms": self._clock_ms()}

    async def _pace(self, body):
        return 200, {"clock_ms": self._clock_ms()}

    async def _hold(self, body):
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        self._ends = [end for end in self._ends if end[0] > cursor]
        wait = body.get("wait_ms", 0) / 1000
        if wait and not self._ends:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            age = now - run.began
            percent = 100 if not run.seconds and age > 0.3 else 0
            if run.seconds:
                percent = min(int(100 * age / run.seconds), 99)
            rows.append([run.task, run.run, run.saved(now), percent, 100])
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self.born,
            "running": rows,
            "finished": self._ends[:500],
        }
