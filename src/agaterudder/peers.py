"""Links to the other entry processes: heartbeats, offers and calls.

Each link is a task that owns one stream. Calls to a peer carry an
identifier, and each answer goes to the call of that identifier only.
"""

import logging
import time
import typing as t

import gevent
import gevent.event
import gevent.server

from agaterudder import exceptions
from agaterudder import messages
from agaterudder import streams
from agaterudder import utils

LOG = logging.getLogger(__name__)

RECONNECT_SECONDS = 0.5
REMEMBERED_SEQUENCES = 64


class Handler(t.Protocol):
    """What the links report to; none of its methods waits."""

    def digest(self) -> messages.Digest:
        """Return what this process tells its peers."""

    def version_to_offer(
        self, peer: messages.Digest | None
    ) -> messages.ConfigurationOffer | None:
        """Return the configuration if the peer's is lower."""

    def heard(
        self, link: "Link", digest: messages.Digest, asked_at: float | None
    ) -> None:
        """Take a peer's digest.

        :param asked_at: when the heartbeat that it answers was sent, None
            when it answers none.
        """

    def offered(self, offer: messages.ConfigurationOffer) -> None:
        """Take a version that a peer offers."""

    def called(self, link: "Link", call: messages.Message) -> None:
        """Take a call; the answer is sent on the link later."""


class Link:
    """One stream to a peer."""

    __slots__ = (
        "_stream",
        "_handler",
        "_heartbeat_seconds",
        "_sequence",
        "_echo",
        "_sent_at",
        "_last",
        "heard_at",
    )

    def __init__(
        self,
        stream: streams.Stream,
        handler: Handler,
        heartbeat_seconds: float,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._heartbeat_seconds = heartbeat_seconds
        self._sequence = 0
        self._echo = 0
        self._sent_at: dict[int, float] = {}
        self._last: messages.Digest | None = None
        self.heard_at = time.monotonic()

    @property
    def vm(self) -> str:
        """Name of the peer's VM, empty before its first heartbeat."""
        return self._last.vm if self._last else ""

    @property
    def last(self) -> messages.Digest | None:
        """The peer's last digest."""
        return self._last

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self._stream.closed

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False when it can't be sent."""
        return self._stream.send(message)

    def close(self) -> None:
        """End the link."""
        self._stream.close()

    def beat(self, now: float) -> None:
        """Send a heartbeat, and the configuration if the peer lacks it."""
        offer = self._handler.version_to_offer(self._last)
        if offer is not None:
            self.send(offer)
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - REMEMBERED_SEQUENCES, None)
        self.send(
            messages.Heartbeat(
                self._sequence, self._echo, self._handler.digest()
            )
        )

    def run(self) -> None:
        """Read the stream until it ends."""
        beats = gevent.spawn(self._beat_forever)
        try:
            for message in self._stream.receive():
                self._take(message, time.monotonic())
        except exceptions.StreamClosed as error:
            LOG.info("stream closed", extra={"peer": self.vm, "why": error})
        finally:
            beats.kill(block=False)
            self._stream.close()

    def _beat_forever(self) -> None:
        while not self._stream.closed:
            self.beat(time.monotonic())
            gevent.sleep(self._heartbeat_seconds)

    def _take(self, message: messages.Message, now: float) -> None:
        self.heard_at = now
        match message:
            case messages.Heartbeat(
                sequence=sequence, echo=echo, digest=digest
            ):
                self._echo = sequence
                self._last = digest
                self._handler.heard(self, digest, self._sent_at.get(echo))
            case messages.ConfigurationOffer():
                self._handler.offered(message)
            case messages.Hello():
                pass
            case _:
                self._handler.called(self, message)


class Links:
    """All links of a process: accepts, connects and pairs the calls.

    Should two processes open a stream to each other at once, the one heard
    last is used; both carry heartbeats.
    """

    __slots__ = (
        "_handler",
        "_heartbeat_seconds",
        "_silence_seconds",
        "_buffer_bytes",
        "_server",
        "_links",
        "_wanted",
        "_connectors",
        "_calls",
    )

    def __init__(
        self,
        listen: str,
        handler: Handler,
        heartbeat_seconds: float,
        silence_seconds: float,
        buffer_bytes: int,
    ) -> None:
        self._handler = handler
        self._heartbeat_seconds = heartbeat_seconds
        self._silence_seconds = silence_seconds
        self._buffer_bytes = buffer_bytes
        self._links: set[Link] = set()
        self._wanted: dict[str, str] = {}
        self._connectors: dict[str, gevent.Greenlet] = {}
        self._calls: dict[str, gevent.event.AsyncResult] = {}
        self._server = gevent.server.StreamServer(
            utils.split_address(listen), self._accept
        )

    def start(self) -> None:
        """Begin to accept streams."""
        self._server.start()

    def stop(self) -> None:
        """End every stream."""
        self._server.stop(timeout=0)
        gevent.killall(list(self._connectors.values()), block=False)
        for link in list(self._links):
            link.close()

    def want(self, addresses: dict[str, str]) -> None:
        """Keep a stream to each of the addresses.

        :param addresses: stream address by VM.
        """
        for vm, address in addresses.items():
            if self._wanted.get(vm) == address:
                continue
            self._drop(vm)
            self._wanted[vm] = address
            self._connectors[vm] = gevent.spawn(self._keep, vm, address)
        for vm in [vm for vm in self._wanted if vm not in addresses]:
            self._drop(vm)

    def alive(self, now: float) -> dict[str, Link]:
        """Return the link heard last of each peer that is not silent."""
        ordered = sorted(self._links, key=lambda link: link.heard_at)
        return {
            link.vm: link
            for link in ordered
            if link.vm
            and not link.closed
            and now - link.heard_at <= self._silence_seconds
        }

    def broadcast(self, now: float) -> None:
        """Send a heartbeat to each peer now, with what is new."""
        for link in list(self._links):
            link.beat(now)

    def call(
        self, vm: str, message: messages.Message, timeout: float
    ) -> messages.Answer | None:
        """Send a call to a peer and wait for its answer.

        Returns None when no answer came; :meth:`can_call` tells before
        whether the call could be sent at all.
        """
        link = self.alive(time.monotonic()).get(vm)
        identifier: str = message.call  # type: ignore[union-attr]
        if link is None or not link.send(message):
            return None
        waiting: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self._calls[identifier] = waiting
        try:
            return t.cast(
                "messages.Answer | None", waiting.get(timeout=timeout)
            )
        except gevent.Timeout:
            return None
        finally:
            del self._calls[identifier]

    def can_call(self, vm: str, now: float) -> bool:
        """Return whether a peer is heard and its stream is open."""
        return vm in self.alive(now)

    def answered(self, answer: messages.Answer) -> bool:
        """Give an answer to its call; return whether it was waited for."""
        waiting = self._calls.get(answer.call)
        if waiting is None:
            return False
        waiting.set(answer)
        return True

    def _accept(self, sock: t.Any, _address: t.Any) -> None:
        self._serve(streams.Stream(sock, self._buffer_bytes))

    def _serve(self, stream: streams.Stream) -> None:
        link = Link(stream, self._handler, self._heartbeat_seconds)
        watcher = gevent.spawn(self._close_when_silent, link)
        self._links.add(link)
        try:
            link.run()
        finally:
            self._links.discard(link)
            watcher.kill(block=False)

    def _close_when_silent(self, link: Link) -> None:
        """Close a stream that something between the ends has forgotten."""
        while not link.closed:
            gevent.sleep(self._silence_seconds)
            if time.monotonic() - link.heard_at > 2 * self._silence_seconds:
                LOG.warning("silent stream closed", extra={"peer": link.vm})
                link.close()

    def _keep(self, vm: str, address: str) -> None:
        """Connect whenever the peer is not heard on any stream.

        Of two processes the first by name connects at once; the other
        gives it time to, so that they seldom keep two streams.
        """
        if vm < self._handler.digest().vm:
            gevent.sleep(self._silence_seconds)
        while True:
            if vm in self.alive(time.monotonic()):
                gevent.sleep(RECONNECT_SECONDS)
                continue
            try:
                stream = streams.connect(address, self._buffer_bytes)
            except exceptions.StreamClosed as error:
                LOG.debug("no stream", extra={"peer": vm, "why": error})
            else:
                self._serve(stream)
            gevent.sleep(RECONNECT_SECONDS)

    def _drop(self, vm: str) -> None:
        self._wanted.pop(vm, None)
        connector = self._connectors.pop(vm, None)
        if connector is not None:
            connector.kill(block=False)
