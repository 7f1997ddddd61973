"""Stand-in of a worker that runs tasks under leases.

``POST /faults`` sets a fault; ``GET /counts`` returns what was executed.
"""

import argparse
import collections
import json
import time
import typing as t

import gevent
from gevent import pywsgi

Environ = dict[str, t.Any]
TURN_SECONDS = 0.05
CHECKPOINT_SECONDS = 0.1


class _Running:
    """One task on the worker."""

    def __init__(self, start: dict[str, t.Any], now: float) -> None:
        self.batch = start["batch"]
        self.size: list[float] = start["size"]
        self.declared: list[float] = start["declared"]
        self.run = (start["epoch"], start["run"])
        self.state = "running"
        self.lease_until = now + start["lease_seconds"]
        done = float(start["checkpoint"] or 0.0)
        self.started_at = now
        self.left_seconds = max(0.0, start["run_seconds"] - done)
        self.done_before = done
        self.checkpoint = ""

    def progress(self, now: float) -> float:
        """Return the seconds of work done so far."""
        return self.done_before + now - self.started_at


class Worker:
    """State of the stand-in and its WSGI application."""

    def __init__(self, size: list[float], usage_ratio: float = 1.0) -> None:
        self.size = size
        self.usage_ratio = usage_ratio
        self.tasks: dict[str, _Running] = {}
        self.fences: dict[str, int] = {}
        self.never: dict[str, tuple[int, int]] = {}
        self.executed: collections.Counter[str] = collections.Counter()
        self.fault = ""
        self.started_at: dict[str, float] = {}

    def turn(self, now: float) -> None:
        """Expire leases and finish tasks."""
        for task in self.tasks.values():
            if task.state != "running":
                continue
            if now >= task.lease_until:
                task.state = "lapsed"
            elif now - task.started_at >= task.left_seconds:
                failing = self.fault == "failing"
                task.state = "failed" if failing else "done"

    def application(
        self, environ: Environ, start: t.Callable[..., t.Any]
    ) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        content = json.loads(body) if body else {}
        now = time.monotonic()
        self.turn(now)
        if path == "/faults":
            self.fault = content.get("fault", "")
            return _answer(start, 200, {})
        if path == "/counts":
            return _answer(start, 200, self._counts())
        if self.fault == "away":
            return _answer(start, 503, {})
        status, answer = self.handle(path, content, now)
        if self.fault == "answer lost":
            return _answer(start, 502, {})
        return _answer(start, status, answer)

    def handle(
        self, path: str, content: dict[str, t.Any], now: float
    ) -> tuple[int, t.Any]:
        """Carry out one call."""
        if path == "/tasks":
            return self._start(content, now), {}
        if path == "/leases":
            return 200, self._renew(content, now)
        if path == "/fence":
            return 200, self._fence(content)
        _, _, task, verb = path.split("/")
        return 200, self._change(task, verb, content, now)

    def _start(self, start: dict[str, t.Any], now: float) -> int:
        name = start["task"]
        if start["epoch"] < self.fences.get(start["batch"], 0):
            return 409
        run = (start["epoch"], start["run"])
        known = self.tasks.get(name)
        if known is not None and (
            run <= known.run or known.state in ("running", "done")
        ):
            return 200
        if run <= self.never.get(name, (0, 0)):
            return 410
        free = self._free()
        if any(a > b + 1e-6 for a, b in zip(start["size"][:3], free[:3])):
            return 429
        self.fences[start["batch"]] = start["epoch"]
        self.tasks[name] = _Running(start, now)
        self.executed[name] += 1
        self.started_at[name] = time.time()
        return 200

    def _renew(self, body: dict[str, t.Any], now: float) -> t.Any:
        for name in body["forget"]:
            task = self.tasks.get(name)
            if task is not None and task.state != "running":
                del self.tasks[name]
                self.never[name] = task.run
        for name in body["tasks"]:
            task = self.tasks.get(name)
            if task is not None and task.state == "running":
                task.lease_until = now + body["lease_seconds"]
        return self._reports(body["tasks"])

    def _fence(self, body: dict[str, t.Any]) -> t.Any:
        for batch, epoch in body["batches"].items():
            self.fences[batch] = max(epoch, self.fences.get(batch, 0))
        known = [
            name
            for name, task in self.tasks.items()
            if task.batch in body["batches"]
        ]
        return self._reports(known)

    def _change(
        self, name: str, verb: str, body: dict[str, t.Any], now: float
    ) -> t.Any:
        task = self.tasks.get(name)
        if task is None:
            if verb == "stop":
                self.never[name] = (body["epoch"], body["run"])
                return self._reports([name], "refused")
            return self._reports([name])
        if task.state == "running":
            if verb == "stop":
                task.state = "stopped"
            elif verb == "checkpoint":
                gevent.sleep(CHECKPOINT_SECONDS)
                task.checkpoint = str(task.progress(now))
                task.state = "checkpointed"
            elif verb == "throttle":
                task.left_seconds *= 2
        return self._reports([name])

    def _reports(self, names: list[str], unknown: str = "unknown") -> t.Any:
        return {
            "tasks": [
                (
                    self._report(name)
                    if name in self.tasks
                    else {"task": name, "state": unknown}
                )
                for name in names
            ],
            "free": self._free(),
        }

    def _report(self, name: str) -> dict[str, t.Any]:
        task = self.tasks[name]
        used = [value * self.usage_ratio for value in task.declared[:2]]
        return {
            "task": name,
            "state": task.state,
            "used": [*used, *task.declared[2:]],
            "checkpoint": task.checkpoint,
        }

    def _free(self) -> list[float]:
        running = [
            task.size
            for task in self.tasks.values()
            if task.state == "running"
        ]
        return [
            whole - sum(size[index] for size in running)
            for index, whole in enumerate(self.size)
        ]

    def _counts(self) -> dict[str, t.Any]:
        running = sum(t.state == "running" for t in self.tasks.values())
        return {
            "executed": dict(self.executed),
            "running": running,
            "started_at": self.started_at,
        }


def _answer(
    start: t.Callable[..., t.Any], status: int, content: t.Any
) -> list[bytes]:
    body = json.dumps(content).encode()
    start(f"{status} -", [("Content-Length", str(len(body)))])
    return [body]


def create_server(listen: str, worker: Worker) -> pywsgi.WSGIServer:
    """Return a server for the stand-in, not yet started."""
    return pywsgi.WSGIServer(
        listen, worker.application, log=None, error_log=None
    )


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--size", default="16,32000,0,1000")
    parser.add_argument("--usage-ratio", type=float, default=1.0)
    arguments = parser.parse_args()
    size = [float(part) for part in arguments.size.split(",")]
    worker = Worker(size, arguments.usage_ratio)

    def turn_forever() -> None:
        while True:
            worker.turn(time.monotonic())
            gevent.sleep(TURN_SECONDS)

    gevent.spawn(turn_forever)
    create_server(arguments.listen, worker).serve_forever()


if __name__ == "__main__":
    main()
