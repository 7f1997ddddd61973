"""Stand-in for a worker that runs tasks under leases.

``POST /faults`` sets the active fault; ``GET /counts`` returns counters,
among them the executions of each task.
"""

import argparse
import collections
import json
import time
import typing as t

import gevent
from gevent import pywsgi

Environ = dict[str, t.Any]
TICK_INTERVAL_SECONDS = 0.05
CHECKPOINT_DURATION_SECONDS = 0.1


class _TaskRun:
    """The latest run of a task on this worker.

    :ivar run: epoch and number of the run; a later run has a higher pair.
    :ivar checkpointed_seconds: work done by earlier runs, as restored from
        the checkpoint.
    """

    def __init__(self, body: dict[str, t.Any], now: float) -> None:
        self.batch = body["batch"]
        self.size: list[float] = body["size"]
        self.declared: list[float] = body["declared"]
        self.run = (body["epoch"], body["run"])
        self.state = "running"
        self.lease_expires_at = now + body["lease_seconds"]
        done = float(body["checkpoint"] or 0.0)
        self.started_at = now
        self.remaining_seconds = max(0.0, body["run_seconds"] - done)
        self.checkpointed_seconds = done
        self.checkpoint = ""

    def progress(self, now: float) -> float:
        """Return the seconds of work done so far, over all runs."""
        return self.checkpointed_seconds + now - self.started_at


class Worker:
    """State of the stand-in and its WSGI application.

    :ivar usage_ratio: reported cores and memory relative to the declared ones.
    :ivar fences: lowest epoch that is still accepted, by batch.
    :ivar tombstones: last run that was stopped or removed, by task; this and
        earlier runs are not started any more.
    """

    def __init__(self, size: list[float], usage_ratio: float = 1.0) -> None:
        self.size = size
        self.usage_ratio = usage_ratio
        self.tasks: dict[str, _TaskRun] = {}
        self.fences: dict[str, int] = {}
        self.tombstones: dict[str, tuple[int, int]] = {}
        self.executed: collections.Counter[str] = collections.Counter()
        self.fault = ""
        self.started_at: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Expire leases and finish tasks whose run time is over."""
        for task in self.tasks.values():
            if task.state != "running":
                continue
            if now >= task.lease_expires_at:
                task.state = "lapsed"
            elif now - task.started_at >= task.remaining_seconds:
                failing = self.fault == "failing"
                task.state = "failed" if failing else "done"

    def application(
        self, environ: Environ, start_response: t.Callable[..., t.Any]
    ) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        content = json.loads(body) if body else {}
        now = time.monotonic()
        self.tick(now)
        if path == "/faults":
            self.fault = content.get("fault", "")
            return _answer(start_response, 200, {})
        if path == "/counts":
            return _answer(start_response, 200, self._counts())
        if self.fault == "away":
            return _answer(start_response, 503, {})
        status, answer = self.handle(path, content, now)
        if self.fault == "answer lost":
            return _answer(start_response, 502, {})
        return _answer(start_response, status, answer)

    def handle(
        self, path: str, content: dict[str, t.Any], now: float
    ) -> tuple[int, t.Any]:
        """Handle one call."""
        if path == "/tasks":
            return self._start(content, now), {}
        if path == "/leases":
            return 200, self._renew(content, now)
        if path == "/fence":
            return 200, self._fence(content)
        _, _, task, verb = path.split("/")
        return 200, self._control(task, verb, content, now)

    def _start(self, body: dict[str, t.Any], now: float) -> int:
        name = body["task"]
        if body["epoch"] < self.fences.get(body["batch"], 0):
            return 409
        run = (body["epoch"], body["run"])
        existing = self.tasks.get(name)
        if existing is not None and (
            run <= existing.run or existing.state in ("running", "done")
        ):
            return 200
        if run <= self.tombstones.get(name, (0, 0)):
            return 410
        free = self._free()
        if any(
            needed > available + 1e-6
            for needed, available in zip(body["size"][:3], free[:3])
        ):
            return 429
        self.fences[body["batch"]] = body["epoch"]
        self.tasks[name] = _TaskRun(body, now)
        self.executed[name] += 1
        self.started_at[name] = time.time()
        return 200

    def _renew(self, body: dict[str, t.Any], now: float) -> t.Any:
        for name in body["forget"]:
            task = self.tasks.get(name)
            if task is not None and task.state != "running":
                del self.tasks[name]
                self.tombstones[name] = task.run
        for name in body["tasks"]:
            task = self.tasks.get(name)
            if task is not None and task.state == "running":
                task.lease_expires_at = now + body["lease_seconds"]
        return self._reports(body["tasks"])

    def _fence(self, body: dict[str, t.Any]) -> t.Any:
        for batch, epoch in body["batches"].items():
            self.fences[batch] = max(epoch, self.fences.get(batch, 0))
        names = [
            name
            for name, task in self.tasks.items()
            if task.batch in body["batches"]
        ]
        return self._reports(names)

    def _control(
        self, name: str, verb: str, body: dict[str, t.Any], now: float
    ) -> t.Any:
        task = self.tasks.get(name)
        if task is None:
            if verb == "stop":
                self.tombstones[name] = (body["epoch"], body["run"])
                return self._reports([name], "refused")
            return self._reports([name])
        if task.state == "running":
            if verb == "stop":
                task.state = "stopped"
            elif verb == "checkpoint":
                gevent.sleep(CHECKPOINT_DURATION_SECONDS)
                task.checkpoint = str(task.progress(now))
                task.state = "checkpointed"
            elif verb == "throttle":
                task.remaining_seconds *= 2
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
            total - sum(size[index] for size in running)
            for index, total in enumerate(self.size)
        ]

    def _counts(self) -> dict[str, t.Any]:
        running = sum(task.state == "running" for task in self.tasks.values())
        return {
            "executed": dict(self.executed),
            "running": running,
            "started_at": self.started_at,
        }


def _answer(
    start_response: t.Callable[..., t.Any], status: int, content: t.Any
) -> list[bytes]:
    body = json.dumps(content).encode()
    start_response(f"{status} -", [("Content-Length", str(len(body)))])
    return [body]


def create_server(listen: str, worker: Worker) -> pywsgi.WSGIServer:
    """Return a server for the stand-in, not yet started."""
    return pywsgi.WSGIServer(
        listen, worker.application, log=None, error_log=None
    )


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--size", default="16,32000,0,1000")
    parser.add_argument("--usage-ratio", type=float, default=1.0)
    arguments = parser.parse_args()
    size = [float(part) for part in arguments.size.split(",")]
    worker = Worker(size, arguments.usage_ratio)

    def tick_forever() -> None:
        while True:
            worker.tick(time.monotonic())
            gevent.sleep(TICK_INTERVAL_SECONDS)

    gevent.spawn(tick_forever)
    create_server(arguments.listen, worker).serve_forever()


if __name__ == "__main__":
    main()
