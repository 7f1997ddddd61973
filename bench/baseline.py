"""Baseline: a first-come-first-served gateway to backend servers."""

import itertools
import subprocess
import sys
import typing as t

import gevent.lock
from gevent import pywsgi

from standins import launcher

# Requests that one backend server executes at once.
SLOTS = 8


class Gateway:
    """Forwards requests in the order of arrival, to each server in turn."""

    def __init__(self, backends: list[str]) -> None:
        self._slots = gevent.lock.BoundedSemaphore(SLOTS * len(backends))
        self._next = itertools.cycle(backends)

    def application(
        self, environ: dict[str, t.Any], start_response: t.Callable[..., t.Any]
    ) -> list[bytes]:
        """Answer one request."""
        with self._slots:
            answer = launcher.call(next(self._next), "GET", "/", timeout=30)
        body = str(answer.body).encode()
        start_response(
            f"{answer.status} -", [("Content-Length", str(len(body)))]
        )
        return [body]


def start(listen: str, backends: list[str]) -> "subprocess.Popen[bytes]":
    """Start the baseline in a process of its own."""
    command = [sys.executable, "-m", "bench.baseline", listen, *backends]
    return subprocess.Popen(command, cwd=launcher.ROOT)


def main() -> None:
    """Serve until the process is terminated."""
    gateway = Gateway(sys.argv[2:])
    pywsgi.WSGIServer(
        sys.argv[1], gateway.application, log=None, error_log=None
    ).serve_forever()


if __name__ == "__main__":
    main()
