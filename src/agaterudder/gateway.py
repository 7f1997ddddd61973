"""HTTP API for callers: service requests, tasks, health, metrics."""

import logging
import re
import time
import urllib.parse

import msgspec

from agaterudder import batches
from agaterudder import codes
from agaterudder import decoding
from agaterudder import entry as entries
from agaterudder import exceptions
from agaterudder import fleet
from agaterudder import http
from agaterudder import messages
from agaterudder import operators
from agaterudder import requests
from agaterudder import tasks
from agaterudder import utils

LOG = logging.getLogger(__name__)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
METHODS = IDEMPOTENT_METHODS | {"POST", "PATCH"}
DEFAULT_TIMEOUT_SECONDS = 10.0
MAX_TIMEOUT_SECONDS = 300.0
LOOKUP_TIMEOUT_SECONDS = 2.0
_IDENTIFIER = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_PATH = re.compile(r"^/[\x21-\x7e]*$")


class TaskState(msgspec.Struct, frozen=True):
    """JSON body with the state of a task."""

    task: str
    state: str
    reason: str = ""


class SubmittedTask(msgspec.Struct, frozen=True):
    """JSON body with the identifier of a submitted task."""

    task: str


class Gateway:
    """Answers the HTTP requests of callers to one entry process."""

    __slots__ = ("_entry", "_operators")

    def __init__(self, entry: entries.Entry) -> None:
        self._entry = entry
        self._operators = operators.OperatorApi(entry)

    def answer(self, environ: http.Environ, body: bytes) -> http.Reply:
        """Answer one request."""
        path = environ["PATH_INFO"]
        match path.split("/")[1:]:
            case ["healthz"]:
                return http.reply({"healthy": True})
            case ["readyz"]:
                return self._ready()
            case ["metrics"]:
                return self._metrics()
            case ["v1", "operator", *rest]:
                return self._operators.answer(environ, rest, body)
            case ["v1", "services", name, *_]:
                return self._service(environ, name, body)
            case ["v1", "tasks"]:
                return self._submit(environ, body)
            case ["v1", "tasks", task]:
                return self._task(environ, task)
        return http.refusal(
            codes.Refused(codes.Result.NOT_FOUND, f"no path {path[:80]}")
        )

    def _metrics(self) -> http.Reply:
        entry = self._entry
        gauges = {
            "configuration_version": entry.in_force.version,
            "tasks_waiting": len(entry.execution.waiting),
            "tasks_started": len(entry.execution.placements),
            "peers_heard": len(entry.links.live_links(time.monotonic())),
        }
        for name, value in gauges.items():
            entry.metrics.gauge(name, value)
        text = entry.metrics.render().encode()
        return http.Reply(200, text, "text/plain; version=0.0.4")

    def _ready(self) -> http.Reply:
        entry = self._entry
        refused = entry.check_admission("", time.monotonic())
        if entry.leaving:
            refused = codes.Refused(codes.Result.LEAVING, "it is leaving")
        if refused is not None and refused.code is not codes.Result.ISOLATED:
            return http.refusal(refused)
        return http.reply({"ready": True})

    def _authorized_team(
        self, environ: http.Environ, is_open: bool
    ) -> str | codes.Refused:
        """Return the team for which the request is authorized."""
        entry = self._entry
        now = time.monotonic()
        presented: str = environ.get("HTTP_AGATERUDDER_KEY", "")
        if is_open and not presented:
            refused = entry.check_admission(entries.OPEN_TEAM, now)
            return refused or entries.OPEN_TEAM
        team: str = environ.get("HTTP_AGATERUDDER_TEAM", "")
        if not _IDENTIFIER.match(team):
            return codes.Refused(
                codes.Result.MALFORMED, "header Agaterudder-Team is missing"
            )
        refused = entry.check_admission(team, now)
        if refused is not None:
            return refused
        record = entry.in_force.check_key(team, presented)
        if isinstance(record, codes.Refused):
            return record
        if team not in entry.in_force.assurances.teams:
            return codes.Refused(
                codes.Result.UNKNOWN_TEAM, f"no assurance names {team}"
            )
        return team

    # Services

    def _service(
        self, environ: http.Environ, name: str, body: bytes
    ) -> http.Reply:
        service = self._entry.settings.service(name)
        if service is None:
            return http.refusal(
                codes.Refused(
                    codes.Result.UNKNOWN_SERVICE, f"no service {name[:80]}"
                )
            )
        if self._entry.closed:
            return http.refusal(
                codes.Refused(codes.Result.LEAVING, "it is leaving")
            )
        team = self._authorized_team(environ, service.open)
        if isinstance(team, codes.Refused):
            return http.refusal(team)
        request = _service_request(environ, name, team, body)
        if isinstance(request, codes.Refused):
            return http.refusal(request)
        outcome = self._entry.dispatcher.serve(request)
        return _service_reply(request, outcome)

    # Tasks

    def _submit(self, environ: http.Environ, body: bytes) -> http.Reply:
        if environ["REQUEST_METHOD"] != "POST":
            return _method_refused()
        if self._entry.leaving:
            return http.refusal(
                codes.Refused(codes.Result.LEAVING, "it is leaving")
            )
        try:
            submission = decoding.from_json(body, tasks.Submission)
        except exceptions.Undecodable as error:
            return http.refusal(_decode_refusal(error))
        outcome = self._submit_one(environ, submission)
        if isinstance(outcome, codes.Refused):
            return http.refusal(outcome)
        return http.reply(SubmittedTask(outcome.task))

    def _submit_one(
        self, environ: http.Environ, submission: tasks.Submission
    ) -> batches.Submitted | codes.Refused:
        entry = self._entry
        queue = entry.queue(submission.queue)
        if queue is None:
            return codes.Refused(
                codes.Result.UNKNOWN_QUEUE, f"queue: no {submission.queue}"
            )
        team = self._authorized_team(environ, queue.open)
        if isinstance(team, codes.Refused):
            return team
        if not entry.incarnation:
            return codes.Refused(
                codes.Result.STORE_AWAY, "the entry VM is not registered"
            )
        request = environ.get("HTTP_AGATERUDDER_REQUEST_ID", "")
        if request and not _IDENTIFIER.match(request):
            return codes.Refused(
                codes.Result.MALFORMED, "header Agaterudder-Request-Id"
            )
        sizes = [vm.size for vm in entry.vms if vm.pool == queue.pool]
        limit = entry.execution.limit(team).limit
        if sizes and not fleet.fits_some(submission.size, sizes):
            return codes.Refused(
                codes.Result.NEVER_FITS,
                f"size: no worker of pool {queue.pool} is so large",
            )
        if not submission.size.fits_in(limit):
            return codes.Refused(
                codes.Result.NEVER_FITS,
                f"size: above the upper limit of {team}",
            )
        task = _new_task(submission, team, queue.pool, request)
        return entry.execution.owned_batches.submit(task)

    def _task(self, environ: http.Environ, task: str) -> http.Reply:
        method = environ["REQUEST_METHOD"]
        if method not in ("GET", "DELETE"):
            return _method_refused()
        team = self._authorized_team(environ, True)
        if isinstance(team, codes.Refused):
            return http.refusal(team)
        found = self._find_task(task, team, method == "DELETE")
        if isinstance(found, codes.Refused):
            return http.refusal(found)
        return http.reply(found)

    def _find_task(
        self, task: str, team: str, cancel: bool
    ) -> TaskState | codes.Refused:
        """Find a task among the own batches, at its owner or in its row."""
        entry = self._entry
        not_found = codes.Refused(codes.Result.NOT_FOUND, "task: not found")
        owned = entry.execution.owned_batches.find(task)
        if owned is not None:
            if owned.team != team:
                return not_found
            if cancel:
                entry.execution.cancel(owned, time.monotonic())
            return TaskState(task, owned.state.value, owned.reason)
        unanswered = False
        for vm in entry.links.live_links(time.monotonic()):
            call = messages.TaskCall(
                utils.new_identifier(), task, team, cancel
            )
            answer = entry.links.call(vm, call, LOOKUP_TIMEOUT_SECONDS)
            if isinstance(answer, messages.TaskAnswer) and answer.state:
                return TaskState(task, answer.state, answer.reason)
            unanswered |= answer is None
        recorded = batches.recorded_task(entry.store, task)
        if isinstance(recorded, codes.Refused):
            return recorded
        if recorded.team != team:
            return not_found
        if cancel and recorded.state not in tasks.SETTLED:
            if unanswered:
                return codes.Refused(
                    codes.Result.CHANGE_UNKNOWN, "its owner may have heard it"
                )
            return codes.Refused(
                codes.Result.CONFLICT, "its owner is not in reach"
            )
        return TaskState(task, recorded.state.value, recorded.reason)


def _new_task(
    submission: tasks.Submission, team: str, pool: str, request: str
) -> tasks.Task:
    return tasks.Task(
        "",
        team,
        submission.queue,
        pool,
        submission.priority,
        submission.size,
        submission.run_seconds,
        submission.repeatable,
        submission.kind,
        time.time(),
        request,
    )


def _service_request(
    environ: http.Environ, name: str, team: str, body: bytes
) -> requests.Request | codes.Refused:
    method = environ["REQUEST_METHOD"]
    if method not in METHODS:
        return codes.Refused(codes.Result.MALFORMED, "unknown method")
    identifier = environ.get("HTTP_AGATERUDDER_REQUEST_ID", "")
    if identifier and not _IDENTIFIER.match(identifier):
        return codes.Refused(
            codes.Result.MALFORMED, "header Agaterudder-Request-Id"
        )
    try:
        priority = requests.Priority(
            environ.get("HTTP_AGATERUDDER_PRIORITY", "normal")
        )
        timeout = float(
            environ.get("HTTP_AGATERUDDER_TIMEOUT", DEFAULT_TIMEOUT_SECONDS)
        )
    except ValueError:
        return codes.Refused(
            codes.Result.MALFORMED,
            "header Agaterudder-Priority or Agaterudder-Timeout",
        )
    if not 0 < timeout <= MAX_TIMEOUT_SECONDS:
        return codes.Refused(
            codes.Result.MALFORMED,
            f"header Agaterudder-Timeout: 0 to {MAX_TIMEOUT_SECONDS:g} s",
        )
    path = _forwarded_path(environ, name)
    if isinstance(path, codes.Refused):
        return path
    repeatable = environ.get(
        "HTTP_AGATERUDDER_REPEATABLE",
        "yes" if method in IDEMPOTENT_METHODS else "no",
    )
    now = time.monotonic()
    return requests.Request(
        identifier or utils.new_identifier(),
        name,
        team,
        priority,
        repeatable == "yes",
        method,
        path,
        _forwarded_headers(environ),
        body,
        now + timeout,
        now,
    )


def _forwarded_headers(environ: http.Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), str(value))
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return requests.end_to_end(headers)


def _forwarded_path(environ: http.Environ, name: str) -> str | codes.Refused:
    decoded = environ["PATH_INFO"].removeprefix(f"/v1/services/{name}")
    path = urllib.parse.quote(decoded or "/", safe="/:@!$&'()*+,;=~-._")
    query = environ.get("QUERY_STRING", "")
    target = f"{path}?{query}" if query else path
    if not _PATH.match(target) or target.startswith("//"):
        return codes.Refused(codes.Result.MALFORMED, "the path")
    return target


def _service_reply(
    request: requests.Request, outcome: requests.Answer | codes.Refused
) -> http.Reply:
    request_id_header = ("Agaterudder-Request-Id", request.identifier)
    match outcome:
        case requests.Answer(status=status, headers=headers, body=body):
            other_headers = [
                item for item in headers if item[0].lower() != "content-type"
            ]
            content_types = [
                v for k, v in headers if k.lower() == "content-type"
            ]
            return http.Reply(
                status,
                body,
                (
                    content_types[0]
                    if content_types
                    else "application/octet-stream"
                ),
                (*other_headers, ("Agaterudder-Code", "0"), request_id_header),
            )
        case codes.Refused():
            refused = http.refusal(outcome)
            return http.Reply(
                refused.status,
                refused.content,
                refused.content_type,
                (*refused.headers, request_id_header),
            )


def _method_refused() -> http.Reply:
    return http.refusal(
        codes.Refused(codes.Result.MALFORMED, "the method is not allowed here")
    )


def _decode_refusal(error: exceptions.Undecodable) -> codes.Refused:
    text = str(error)
    if "unknown field" in text:
        return codes.Refused(codes.Result.UNKNOWN_FIELD, text)
    if isinstance(error.__cause__, msgspec.ValidationError):
        return codes.Refused(codes.Result.WRONG_TYPE, text)
    return codes.Refused(codes.Result.MALFORMED, f"the JSON body: {text}")
