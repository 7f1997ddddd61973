"""Links to the other entry processes: heartbeats, offers and calls.

Each link is a greenlet that owns one stream. A call to a peer carries an
identifier, by which its answer is matched to it.
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

RECONNECT_INTERVAL_SECONDS = 0.5
MAX_TRACKED_HEARTBEATS = 64


class Handler(t.Protocol):
    """Receives the events of the links; its methods must not block."""

    def digest(self) -> messages.Digest:
        """Return the digest to send with a heartbeat."""

    def configuration_to_offer(
        self, peer: messages.Digest | None
    ) -> messages.ConfigurationOffer | None:
        """Return the configuration if the peer has a lower version."""

    def heartbeat_received(
        self, link: "Link", digest: messages.Digest, asked_at: float | None
    ) -> None:
        """Handle the digest of a peer's heartbeat.

        :param asked_at: when the own heartbeat that it echoes was sent,
            None when it echoes none.
        """

    def configuration_offered(
        self, offer: messages.ConfigurationOffer
    ) -> None:
        """Handle a configuration version that a peer offers."""

    def call_received(self, link: "Link", call: messages.Message) -> None:
        """Handle a call; the answer may be sent on the link later."""


class Link:
    """One stream to a peer."""

    __slots__ = (
        "_stream",
        "_handler",
        "_heartbeat_seconds",
        "_sequence",
        "_echo",
        "_sent_at",
        "_last_digest",
        "last_received_at",
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
        self._last_digest: messages.Digest | None = None
        self.last_received_at = time.monotonic()

    @property
    def vm(self) -> str:
        """Name of the peer's VM, empty before its first heartbeat."""
        return self._last_digest.vm if self._last_digest else ""

    @property
    def last_digest(self) -> messages.Digest | None:
        """The peer's last digest."""
        return self._last_digest

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self._stream.closed

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False when it can't be sent."""
        return self._stream.send(message)

    def close(self) -> None:
        """Close the link."""
        self._stream.close()

    def send_heartbeat(self, now: float) -> None:
        """Send a heartbeat, and the configuration if the peer lacks it."""
        offer = self._handler.configuration_to_offer(self._last_digest)
        if offer is not None:
            self.send(offer)
        self._sequence += 1
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - MAX_TRACKED_HEARTBEATS, None)
        self.send(
            messages.Heartbeat(
                self._sequence, self._echo, self._handler.digest()
            )
        )

    def run(self) -> None:
        """Read the stream until it ends."""
        heartbeats = gevent.spawn(self._heartbeat_loop)
        try:
            for message in self._stream.receive():
                self._handle_message(message, time.monotonic())
        except exceptions.StreamClosed as error:
            LOG.info(
                "peer stream failed; link closed",
                extra={"peer": self.vm, "why": error},
            )
        finally:
            heartbeats.kill(block=False)
            self._stream.close()

    def _heartbeat_loop(self) -> None:
        while not self._stream.closed:
            self.send_heartbeat(time.monotonic())
            gevent.sleep(self._heartbeat_seconds)

    def _handle_message(self, message: messages.Message, now: float) -> None:
        self.last_received_at = now
        match message:
            case messages.Heartbeat(
                sequence=sequence, echo=echo, digest=digest
            ):
                self._echo = sequence
                self._last_digest = digest
                self._handler.heartbeat_received(
                    self, digest, self._sent_at.get(echo)
                )
            case messages.ConfigurationOffer():
                self._handler.configuration_offered(message)
            case messages.Hello():
                pass
            case _:
                self._handler.call_received(self, message)


class Links:
    """All links of a process: accepts, connects and matches answers.

    If two processes open a stream to each other at the same time, both
    streams carry heartbeats and calls use the one that received last.
    """

    __slots__ = (
        "_handler",
        "_heartbeat_seconds",
        "_silence_seconds",
        "_buffer_bytes",
        "_server",
        "_links",
        "_addresses",
        "_connectors",
        "_pending_calls",
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
        self._addresses: dict[str, str] = {}
        self._connectors: dict[str, gevent.Greenlet] = {}
        self._pending_calls: dict[str, gevent.event.AsyncResult] = {}
        self._server = gevent.server.StreamServer(
            utils.split_address(listen), self._accept
        )

    def start(self) -> None:
        """Start accepting streams."""
        self._server.start()

    def stop(self) -> None:
        """Close every stream."""
        self._server.stop(timeout=0)
        gevent.killall(list(self._connectors.values()), block=False)
        for link in list(self._links):
            link.close()

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Set the peers to which a stream is kept open.

        :param addresses: stream address by VM.
        """
        for vm, address in addresses.items():
            if self._addresses.get(vm) == address:
                continue
            self._disconnect(vm)
            self._addresses[vm] = address
            self._connectors[vm] = gevent.spawn(
                self._connect_loop, vm, address
            )
        for vm in [vm for vm in self._addresses if vm not in addresses]:
            self._disconnect(vm)

    def live_links(self, now: float) -> dict[str, Link]:
        """Return the link that received last of each live peer, by VM."""
        ordered = sorted(self._links, key=lambda link: link.last_received_at)
        return {
            link.vm: link
            for link in ordered
            if link.vm
            and not link.closed
            and now - link.last_received_at <= self._silence_seconds
        }

    def broadcast(self, now: float) -> None:
        """Send a heartbeat with the current digest to each peer now."""
        for link in list(self._links):
            link.send_heartbeat(now)

    def call(
        self, vm: str, message: messages.Message, timeout: float
    ) -> messages.Answer | None:
        """Send a call to a peer and wait for its answer.

        Returns None when no answer came. :meth:`can_call` tells whether
        the call can be sent at all.
        """
        link = self.live_links(time.monotonic()).get(vm)
        identifier: str = message.call  # type: ignore[union-attr]
        if link is None or not link.send(message):
            return None
        result: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self._pending_calls[identifier] = result
        try:
            return t.cast(
                "messages.Answer | None", result.get(timeout=timeout)
            )
        except gevent.Timeout:
            return None
        finally:
            del self._pending_calls[identifier]

    def can_call(self, vm: str, now: float) -> bool:
        """Return whether a peer is live and its stream is open."""
        return vm in self.live_links(now)

    def deliver_answer(self, answer: messages.Answer) -> bool:
        """Pass an answer to its call; return whether the call still waits."""
        result = self._pending_calls.get(answer.call)
        if result is None:
            return False
        result.set(answer)
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
        """Close a silent stream, as when the network lost the connection."""
        while not link.closed:
            gevent.sleep(self._silence_seconds)
            if (
                time.monotonic() - link.last_received_at
                > 2 * self._silence_seconds
            ):
                LOG.warning(
                    "peer sent nothing for two silence periods; stream closed",
                    extra={"peer": link.vm},
                )
                link.close()

    def _connect_loop(self, vm: str, address: str) -> None:
        """Connect whenever no stream of the peer is live.

        Of two processes the first by name connects at once. The other
        waits for one silence period first, so that they seldom open two
        streams to each other.
        """
        if vm < self._handler.digest().vm:
            gevent.sleep(self._silence_seconds)
        while True:
            if vm in self.live_links(time.monotonic()):
                gevent.sleep(RECONNECT_INTERVAL_SECONDS)
                continue
            try:
                stream = streams.connect(address, self._buffer_bytes)
            except exceptions.StreamClosed as error:
                LOG.debug(
                    "could not connect to peer; will retry",
                    extra={"peer": vm, "why": error},
                )
            else:
                self._serve(stream)
            gevent.sleep(RECONNECT_INTERVAL_SECONDS)

    def _disconnect(self, vm: str) -> None:
        self._addresses.pop(vm, None)
        connector = self._connectors.pop(vm, None)
        if connector is not None:
            connector.kill(block=False)
