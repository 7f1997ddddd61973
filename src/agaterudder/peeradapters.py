"""Adapters between the entry process and its links to peers."""

import dataclasses
import logging
import time

import gevent

from agaterudder import attempts
from agaterudder import codes
from agaterudder import entrystate
from agaterudder import messages
from agaterudder import peers
from agaterudder import requests

LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHandler:
    """Handles the events of the links; see :class:`peers.Handler`."""

    entry: entrystate.EntryState

    def digest(self) -> messages.Digest:
        """See :class:`peers.Handler`."""
        return self.entry.digest()

    def configuration_to_offer(
        self, peer: messages.Digest | None
    ) -> messages.ConfigurationOffer | None:
        """See :class:`peers.Handler`."""
        own_configuration = self.entry.in_force.configuration
        if peer is None or peer.version >= own_configuration.version:
            return None
        return messages.ConfigurationOffer(own_configuration)

    def heartbeat_received(
        self,
        link: peers.Link,
        digest: messages.Digest,
        asked_at: float | None,
    ) -> None:
        """See :class:`peers.Handler`."""
        entry = self.entry
        for vm, known in digest.versions.items():
            entry.roster.record_version(vm, known)
        entry.control.receive_digest(digest)
        current = digest.version <= entry.in_force.version
        configured = digest.version > 0 or entry.in_force.version > 0
        if asked_at is not None and current and configured:
            entry.freshness.record_peer_contact(digest.vm, asked_at)

    def configuration_offered(
        self, offer: messages.ConfigurationOffer
    ) -> None:
        """See :class:`peers.Handler`."""
        self.entry.control.install(offer.configuration)

    def call_received(self, link: peers.Link, call: messages.Message) -> None:
        """See :class:`peers.Handler`."""
        match call:
            case messages.ForwardRequest():
                gevent.spawn(self._serve, link, call)
            case messages.BorrowSlots():
                link.send(self.entry.dispatcher.lend(call))
            case messages.TaskCall():
                link.send(self._answer_task_call(call))
            case messages.ExplainCall(call=identifier, kind=kind, name=name):
                lines = self.entry.decisions.explain(kind, name)
                link.send(messages.ExplainAnswer(identifier, lines))
            case (
                messages.ForwardAnswer()
                | messages.LendSlots()
                | messages.TaskAnswer()
                | messages.ExplainAnswer()
            ):
                self.entry.links.deliver_answer(call)

    def _serve(self, link: peers.Link, call: messages.ForwardRequest) -> None:
        link.send(self._answer(call))

    def _answer(self, call: messages.ForwardRequest) -> messages.ForwardAnswer:
        entry = self.entry
        now = time.monotonic()
        outcome: attempts.Outcome | None = None
        if entry.leaving:
            outcome = codes.Refused(codes.Result.LEAVING, "it is leaving")
        elif entry.data_centre in entry.in_force.data_centres_out:
            outcome = codes.Refused(
                codes.Result.DATA_CENTRE_OUT, "the data centre is taken out"
            )
        if outcome is None:
            outcome = entry.dispatcher.serve_here(_request(call, now))
        LOG.debug(
            "request forwarded by a peer finished",
            extra={"request": call.request, "outcome": type(outcome).__name__},
        )
        match outcome:
            case codes.Refused(code=code, reason=reason):
                return messages.ForwardAnswer(
                    call.call, call.request, code.value, reason, 0, (), b"", 0
                )
            case requests.Answer(status=status, headers=headers, body=body):
                return messages.ForwardAnswer(
                    call.call,
                    call.request,
                    0,
                    "",
                    status,
                    headers,
                    body,
                    len(body),
                )

    def _answer_task_call(
        self, call: messages.TaskCall
    ) -> messages.TaskAnswer:
        task = self.entry.execution.owned_batches.find(call.task)
        if task is None or task.team != call.team:
            return messages.TaskAnswer(call.call, call.task, "", "")
        if call.cancel:
            self.entry.execution.cancel(task, time.monotonic())
        return messages.TaskAnswer(
            call.call, call.task, task.state.value, task.reason
        )


def _request(call: messages.ForwardRequest, now: float) -> requests.Request:
    return requests.Request(
        call.request,
        call.service,
        call.team,
        requests.Priority(call.priority),
        call.repeatable,
        call.method,
        call.path,
        call.headers,
        call.body,
        now + call.timeout_seconds,
        now,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCalls:
    """Calls of the dispatcher to the other entry processes."""

    entry: entrystate.EntryState

    def failover_peers(self, now: float) -> list[str]:
        """See :class:`peercalls.PeerCaller`."""
        out = self.entry.in_force.data_centres_out
        return [
            vm
            for vm, link in self.entry.links.live_links(now).items()
            if link.last_digest is not None
            and not link.last_digest.leaving
            and link.last_digest.data_centre != self.entry.data_centre
            and link.last_digest.data_centre not in out
        ]

    def local_peers(self, now: float) -> list[str]:
        """See :class:`peercalls.PeerCaller`."""
        return sorted(
            vm
            for vm, link in self.entry.links.live_links(now).items()
            if link.last_digest is not None
            and link.last_digest.data_centre == self.entry.data_centre
        )

    def forward(
        self, vm: str, call: messages.ForwardRequest, timeout: float
    ) -> messages.ForwardAnswer | None:
        """See :class:`peercalls.PeerCaller`."""
        answer = self.entry.links.call(vm, call, timeout)
        return answer if isinstance(answer, messages.ForwardAnswer) else None

    def borrow(
        self, vm: str, call: messages.BorrowSlots, timeout: float
    ) -> messages.LendSlots | None:
        """See :class:`peercalls.PeerCaller`."""
        answer = self.entry.links.call(vm, call, timeout)
        return answer if isinstance(answer, messages.LendSlots) else None

    def can_call(self, vm: str, now: float) -> bool:
        """See :class:`peercalls.PeerCaller`."""
        return self.entry.links.can_call(vm, now)
