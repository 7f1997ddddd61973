"""The operators' HTTP API."""

import logging
import time
import typing as t
import urllib.parse

import msgspec

from agaterudder import assurances
from agaterudder import codes
from agaterudder import configuration
from agaterudder import control
from agaterudder import decoding
from agaterudder import entry as entries
from agaterudder import escrow
from agaterudder import exceptions
from agaterudder import grants
from agaterudder import http
from agaterudder import keys
from agaterudder import logs
from agaterudder import messages
from agaterudder import resources
from agaterudder import utils
from agaterudder import vmsteps
from agaterudder import waves

LOG = logging.getLogger(__name__)

DEFAULT_WAIT_SECONDS = 9.0
PEER_CALL_TIMEOUT_SECONDS = 2.0


class Apply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``apply`` and ``plan``; ``base`` None: current version."""

    assurances: str
    base: int | None = None
    wait_seconds: float = DEFAULT_WAIT_SECONDS


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request with a name as its only argument."""

    name: str
    wait_seconds: float = DEFAULT_WAIT_SECONDS


class Move(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``move`` and ``drain``."""

    vm: str
    pool: str = ""


class ChangeState(msgspec.Struct, frozen=True):
    """Progress of a change.

    :ivar missing: entry VMs that have not acknowledged it.
    :ivar recorded: whether the table service has stored it.
    :ivar key: the new key, when the change grants one.
    """

    state: str
    version: int
    missing: list[str] = []
    recorded: bool = True
    seconds: float = 0.0
    key: str = ""


class Plan(msgspec.Struct, frozen=True):
    """Changes that an assurance file would make, and its faults."""

    version: int
    differences: list[str]
    faults: list[str]


class MemberState(msgspec.Struct, frozen=True):
    """State of an entry VM, as known to this one."""

    vm: str
    data_centre: str
    version: int
    heard: bool


class TeamState(msgspec.Struct, frozen=True):
    """Usage and limit of a team."""

    team: str
    used: resources.Vector
    limit: resources.Vector


class Status(msgspec.Struct, frozen=True):
    """Answer to ``status``."""

    vm: str
    data_centre: str
    version: int
    fresh: str
    data_centres_out: list[str]
    tightenings: list[str]
    members: list[MemberState]
    waiting: int
    running: int
    teams: list[TeamState]
    ejected_workers: list[str]


class OperatorApi:
    """Answers operators' requests on one entry process."""

    __slots__ = ("_entry",)

    def __init__(self, entry: entries.Entry) -> None:
        self._entry = entry

    def answer(
        self, environ: http.Environ, path: list[str], body: bytes
    ) -> http.Reply:
        """Authenticate and answer one request."""
        author = self._author(environ)
        if isinstance(author, codes.Refused):
            return http.refusal(author)
        method = environ["REQUEST_METHOD"]
        try:
            return self._route(method, path, author, body)
        except exceptions.Undecodable as error:
            return http.refusal(
                codes.Refused(codes.Result.MALFORMED, str(error))
            )
        except exceptions.StoreUnavailable as error:
            return http.refusal(
                codes.Refused(codes.Result.CHANGE_UNKNOWN, str(error))
            )

    def _author(self, environ: http.Environ) -> str | codes.Refused:
        presented: str = environ.get("HTTP_AGATERUDDER_OPERATOR_KEY", "")
        name, _, secret = presented.partition(".")
        for known in self._entry.settings.operators:
            genuine = keys.matches(secret, known.salt, known.hash)
            if known.name == name and genuine:
                return name
        return codes.Refused(
            codes.Result.OPERATOR_KEY_REFUSED,
            "header Agaterudder-Operator-Key",
        )

    def _route(
        self, method: str, path: list[str], author: str, body: bytes
    ) -> http.Reply:
        match (method, *path):
            case ("GET", "status"):
                return http.reply(self._status())
            case ("GET", "history"):
                history = self._entry.in_force.configuration.history
                return http.reply(history)
            case ("GET", "assurances"):
                current = self._entry.in_force.configuration
                return http.reply(Apply(current.assurances, current.version))
            case ("GET", "explain", kind, name):
                return http.reply(
                    self._explain(kind, urllib.parse.unquote(name))
                )
            case ("GET", "waves", name):
                return _reply_or_refusal(
                    self._entry.maintenance.read_wave(name)
                )
            case ("GET", "vms", name):
                return self._vm(name)
            case ("GET", "limits", team):
                return self._limit(team)
            case ("POST", "log-level"):
                return self._log_level(_target(body))
            case ("POST", "plan"):
                return http.reply(self._plan(_decode(body, Apply)))
            case ("POST", "roll-out"):
                return self._roll_out(_target(body), author)
            case ("POST", "move"):
                return self._move(_decode(body, Move), vmsteps.MOVE)
            case ("POST", "drain"):
                return self._move(_decode(body, Move), vmsteps.MAINTAIN)
            case ("POST", verb):
                return self._change(verb, author, body)
        return http.refusal(
            codes.Refused(codes.Result.NOT_FOUND, "no such operation")
        )

    # Changes

    def _change(self, verb: str, author: str, body: bytes) -> http.Reply:
        key = ""
        match verb:
            case "apply":
                request = _decode(body, Apply)
                return self._apply(request, author)
            case "grant":
                target = _target(body)
                new_key = keys.create(target.name)
                key = new_key.presented
                edit: configuration.Edit = configuration.GrantKey(
                    new_key.record
                )
            case "withdraw":
                target = _target(body)
                key_id = target.name.partition(".")[0]
                edit = configuration.WithdrawKey(
                    key_id, utils.new_identifier()
                )
            case "take-out":
                target = _target(body)
                edit = configuration.TakeOut(
                    target.name, utils.new_identifier()
                )
            case "put-back":
                target = _target(body)
                edit = self._put_back(target.name)
            case _:
                return http.refusal(
                    codes.Refused(codes.Result.NOT_FOUND, "no such operation")
                )
        return self._carry_out(edit, author, target.wait_seconds, key)

    def _put_back(self, name: str) -> configuration.PutBack:
        known = tuple(
            item.identifier
            for item in self._entry.in_force.tightenings
            if item.restricts is configuration.Tightens.DATA_CENTRE
            and item.target == name
        )
        return configuration.PutBack(name, known)

    def _apply(self, request: Apply, author: str) -> http.Reply:
        plan = self._plan(request)
        if plan.faults:
            return http.refusal(
                codes.Refused(
                    codes.Result.ASSURANCE_FAULT, "; ".join(plan.faults)
                )
            )
        current = self._entry.in_force.version
        base = current if request.base is None else request.base
        edit = configuration.ReplaceAssurances(request.assurances, base)
        return self._carry_out(edit, author, request.wait_seconds, "")

    def _carry_out(
        self,
        edit: configuration.Edit,
        author: str,
        wait_seconds: float,
        key: str,
    ) -> http.Reply:
        outcome = self._entry.control.change(
            edit, author, time.time(), wait_seconds
        )
        LOG.info(
            "operator change processed",
            extra={"author": author, "outcome": type(outcome).__name__},
        )
        match outcome:
            case control.Accepted(version=version, seconds=seconds):
                state = ChangeState(
                    "accepted", version, seconds=seconds, key=key
                )
                return http.reply(state, codes.Result.ACCEPTED)
            case control.Pending():
                state = ChangeState(
                    "pending",
                    outcome.version,
                    list(outcome.missing),
                    outcome.recorded,
                    key=key,
                )
                return http.reply(state, codes.Result.PENDING)
            case codes.Refused():
                return http.refusal(outcome)

    def _plan(self, request: Apply) -> Plan:
        current = self._entry.in_force.configuration
        parsed = assurances.parse(request.assurances)
        sizes: dict[str, int] = {}
        for vm in self._entry.vms:
            if vm.pool:
                sizes[vm.pool] = sizes.get(vm.pool, 0) + 1
        faults = list(parsed.faults)
        if sizes and not faults:
            capacity = self._entry.capacity()
            faults.extend(assurances.check_capacity(parsed, sizes, capacity))
        return Plan(
            current.version,
            assurances.differences(current.assurances, request.assurances),
            [str(fault) for fault in faults],
        )

    def _roll_out(self, target: Target, author: str) -> http.Reply:
        snapshot = self._entry.maintenance_snapshot()
        return _reply_or_refusal(
            self._entry.maintenance.roll_out(target.name, author, snapshot)
        )

    def _move(self, move: Move, intent: str) -> http.Reply:
        refused = self._entry.maintenance.steps.begin(
            move.vm, intent, move.pool, "", self._entry.maintenance_snapshot()
        )
        if refused is not None:
            return http.refusal(refused)
        return http.reply(Target(move.vm))

    def _log_level(self, target: Target) -> http.Reply:
        try:
            logs.set_level(target.name)
        except ValueError:
            return http.refusal(
                codes.Refused(
                    codes.Result.MALFORMED, f"name: no level {target.name}"
                )
            )
        return http.reply(target)

    # Reads

    def _status(self) -> Status:
        entry = self._entry
        now = time.monotonic()
        refused = entry.check_admission("", now)
        live = entry.links.live_links(now)
        usage = entry.usage()
        versions = entry.roster.versions
        members = [
            MemberState(
                vm,
                member.data_centre,
                versions[vm].version if vm in versions else 0,
                vm in live or vm == entry.vm,
            )
            for vm, member in sorted(entry.roster.members.items())
        ]
        teams = [
            TeamState(name, usage.get(name, resources.ZERO), team.limit)
            for name, team in entry.in_force.assurances.teams.items()
        ]
        return Status(
            entry.vm,
            entry.data_centre,
            entry.in_force.version,
            refused.reason if refused else "yes",
            sorted(entry.in_force.data_centres_out),
            [item.target for item in entry.in_force.tightenings],
            members,
            len(entry.execution.waiting),
            len(entry.execution.placements),
            teams,
            entry.fleet.health.ejected(),
        )

    def _explain(self, kind: str, name: str) -> list[str]:
        """Collect the decisions of all entry processes about a subject."""
        entry = self._entry
        lines = entry.decisions.explain(kind, name)
        for vm in entry.links.live_links(time.monotonic()):
            call = messages.ExplainCall(utils.new_identifier(), kind, name)
            answer = entry.links.call(vm, call, PEER_CALL_TIMEOUT_SECONDS)
            if isinstance(answer, messages.ExplainAnswer):
                lines.extend(answer.lines)
        return sorted(lines)

    def _vm(self, name: str) -> http.Reply:
        listed = next((vm for vm in self._entry.vms if vm.vm == name), None)
        record = (
            self._entry.maintenance.steps.read_record(listed.data_centre, name)
            if listed
            else None
        )
        return _reply_or_refusal(
            record or codes.Refused(codes.Result.NOT_FOUND, f"no VM {name}")
        )

    def _limit(self, team: str) -> http.Reply:
        row = self._entry.store.read(grants.PREFIX + team, escrow.LimitRow)
        return _reply_or_refusal(
            row.value
            or codes.Refused(codes.Result.NOT_FOUND, f"no limit of {team}")
        )


_Body = t.TypeVar("_Body")


def _decode(body: bytes, kind: type[_Body]) -> _Body:
    return decoding.from_json(body, kind)


def _target(body: bytes) -> Target:
    return _decode(body, Target)


def _reply_or_refusal(
    value: waves.Wave | vmsteps.VmRecord | escrow.LimitRow | codes.Refused,
) -> http.Reply:
    if isinstance(value, codes.Refused):
        return http.refusal(value)
    return http.reply(value)
