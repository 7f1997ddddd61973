"""Stand-in for the platform: table service, object store and VM list.

``POST /faults`` sets the faults of :class:`Faults`.
"""

import argparse
import json
import typing as t
import urllib.parse

import gevent
from gevent import pywsgi

Environ = dict[str, t.Any]


class Faults:
    """Faults to inject; the names are those of the ``POST /faults`` body.

    :ivar down: answer every call but ``/faults`` with an error.
    :ivar slow_seconds: delay before each answer.
    :ivar lose_answers: number of further ``POST`` calls that take effect
        but are answered with an error.
    :ivar list_frozen: answer ``/vms`` with the list as it was when the fault
        was set.
    """

    def __init__(self) -> None:
        self.down = False
        self.slow_seconds = 0.0
        self.lose_answers = 0
        self.list_frozen = False


class Platform:
    """State of the stand-in and its WSGI application.

    :ivar rows: version and value of each row of the table service, by key.
    :ivar writes: number of transactions that were handled.
    :ivar reads: number of other calls that were handled.
    """

    def __init__(
        self, vms: list[dict[str, t.Any]], reboot_seconds: float
    ) -> None:
        self.rows: dict[str, tuple[int, t.Any]] = {}
        self.objects: dict[str, bytes] = {}
        self.vms = {vm["vm"]: vm for vm in vms}
        self.faults = Faults()
        self.writes = 0
        self.reads = 0
        self._reboot_seconds = reboot_seconds
        self._frozen_list: list[dict[str, t.Any]] = []

    def application(
        self, environ: Environ, start_response: t.Callable[..., t.Any]
    ) -> list[bytes]:
        """Answer one request."""
        path = urllib.parse.unquote(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        if path.startswith("/faults"):
            return self._set_faults(body, start_response)
        if self.faults.slow_seconds:
            gevent.sleep(self.faults.slow_seconds)
        status, content = self.handle(
            environ["REQUEST_METHOD"], path, environ["QUERY_STRING"], body
        )
        return _answer(start_response, status, content)

    def handle(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, t.Any]:
        """Handle one call, subject to the faults that are set."""
        if self.faults.down:
            return 503, {"error": "down"}
        status, content = self._route(method, path, query, body)
        if status == 200 and method == "POST" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return 502, {"error": "answer lost"}
        return status, content

    def _set_faults(
        self, body: bytes, start_response: t.Callable[..., t.Any]
    ) -> list[bytes]:
        for name, value in json.loads(body or b"{}").items():
            setattr(self.faults, name, value)
        if self.faults.list_frozen and not self._frozen_list:
            self._frozen_list = [dict(vm) for vm in self.vms.values()]
        if not self.faults.list_frozen:
            self._frozen_list = []
        counts = {"writes": self.writes, "reads": self.reads}
        return _answer(start_response, 200, counts)

    def _route(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, t.Any]:
        if path == "/table/transact":
            self.writes += 1
            return 200, self._transact(json.loads(body))
        self.reads += 1
        if path.startswith("/table/row/"):
            return 200, self._row(path.removeprefix("/table/row/"))
        if path == "/table/rows":
            prefix = urllib.parse.parse_qs(query)["prefix"][0]
            keys = sorted(key for key in self.rows if key.startswith(prefix))
            return 200, {"rows": [self._row(key) for key in keys]}
        if path.startswith("/objects/"):
            return self._object(method, path, body)
        if path == "/vms":
            vms = self._frozen_list or list(self.vms.values())
            return 200, {"vms": vms, "age_seconds": 0.0}
        if path.startswith("/vms/"):
            return self._change_vm(path, json.loads(body))
        return 404, {"error": "unknown path"}

    def _row(self, key: str) -> dict[str, t.Any]:
        version, value = self.rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def _transact(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        for check in body["checks"]:
            if self.rows.get(check["key"], (0, None))[0] != check["version"]:
                return {"conflict": check["key"]}
        versions = {}
        for put in body["puts"]:
            version = self.rows.get(put["key"], (0, None))[0] + 1
            self.rows[put["key"]] = (version, put["value"])
            versions[put["key"]] = version
        for key in body["deletes"]:
            self.rows.pop(key, None)
        return {"versions": versions}

    def _object(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, t.Any]:
        name = path.removeprefix("/objects/")
        if method == "PUT":
            self.objects.setdefault(name, body)
            return 201, {}
        if name not in self.objects:
            return 404, {}
        return 200, self.objects[name]

    def _change_vm(
        self, path: str, body: dict[str, t.Any]
    ) -> tuple[int, t.Any]:
        _, _, name, verb = path.split("/")
        vm = self.vms.get(name)
        if verb == "state" and vm is None:
            self.vms[name] = body
            return 200, {}
        if vm is None:
            return 404, {}
        if vm.get("operation") == (body.get("operation"), verb):
            return 200, {}
        vm["operation"] = (body.get("operation"), verb)
        match verb:
            case "drain":
                vm["state"] = "leaving"
            case "undrain":
                vm["state"] = "live"
            case "pool":
                vm["pool"] = body["pool"]
            case "state":
                vm.update(body)
            case "reboot":
                vm["state"] = "down"
                gevent.spawn_later(
                    self._reboot_seconds, self._complete_reboot, name
                )
        return 200, {}

    def _complete_reboot(self, name: str) -> None:
        vm = self.vms[name]
        vm["reboots"] = vm.get("reboots", 0) + 1
        vm["state"] = "leaving"


def _answer(
    start_response: t.Callable[..., t.Any], status: int, content: t.Any
) -> list[bytes]:
    raw = isinstance(content, bytes)
    body = content if raw else json.dumps(content).encode()
    start_response(f"{status} -", [("Content-Length", str(len(body)))])
    return [body]


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--vms", required=True)
    parser.add_argument("--reboot-seconds", type=float, default=1.0)
    arguments = parser.parse_args()
    with open(arguments.vms) as stream:
        vms = json.load(stream)
    platform = Platform(vms, arguments.reboot_seconds)
    pywsgi.WSGIServer(
        arguments.listen, platform.application, log=None
    ).serve_forever()


if __name__ == "__main__":
    main()
