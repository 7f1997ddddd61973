"""Runs one entry process from start to graceful shutdown."""

import logging
import signal
import time

import gevent
import gevent.event

from agaterudder import entry as entries
from agaterudder import gateway
from agaterudder import http
from agaterudder import logs
from agaterudder import settings

LOG = logging.getLogger(__name__)

DRAIN_POLL_SECONDS = 0.05


class Process:
    """An entry process with its HTTP server.

    :param checked: the settings.
    """

    __slots__ = ("_settings", "entry", "server", "_stop")

    def __init__(self, checked: settings.Settings) -> None:
        self._settings = checked
        self.entry = entries.Entry(checked)
        self.server = http.Server(
            checked.entry.http,
            gateway.Gateway(self.entry).answer,
            checked.limits.body_bytes,
            checked.limits.http_connections,
        )
        self._stop: gevent.event.Event = gevent.event.Event()

    def start(self) -> None:
        """Start the entry process, then its HTTP server."""
        self.entry.start()
        self.server.start()
        LOG.info(
            "entry process started", extra={"http": self._settings.entry.http}
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        self.start()
        self._stop.wait()
        self.shut_down()

    def shut_down(self) -> None:
        """Fail readiness, finish requests, release batches and grants."""
        timing = self._settings.timing
        started_at = time.monotonic()
        LOG.info("shutdown of the entry process started")
        self.entry.leaving = True
        self.server.closing = True
        gevent.sleep(timing.readiness_lag_seconds)
        self.entry.closed = True
        deadline = started_at + timing.shutdown_seconds
        while self.server.active_requests and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_SECONDS)
        self.entry.stop()
        self.server.stop()
        LOG.info(
            "shutdown of the entry process finished",
            extra={
                "seconds": round(time.monotonic() - started_at, 2),
                "cut": self.server.active_requests,
            },
        )
        logs.flush()


def serve(checked: settings.Settings) -> None:
    """Run one entry process until it is asked to shut down."""
    logs.configure(checked.log_level, checked.entry.vm)
    Process(checked).run()
