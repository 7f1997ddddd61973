"""Starts a deployment on loopback, in separate processes.

A deployment has the product's entry processes, and stand-ins for the
platform, the backend servers and the workers. An entry VM is a VM that runs
an entry process, the product's server process. Used by the demo, the tests
and the benchmarks; the product itself starts no processes.
"""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing as t

import geventhttpclient
from geventhttpclient.response import HTTPParseError

from agaterudder import keys
from standins import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
LOG_TAIL_CHARACTERS = 600
OPERATOR = "ane"
OPERATOR_SECRET = "operator-secret-of-the-stand-in"
OPERATOR_SALT = "00112233445566778899aabbccddeeff"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size and settings of a deployment.

    :ivar entries: number of entry VMs in each data centre.
    :ivar services: number of backend servers of each service in each
        data centre.
    :ivar pools: number of workers of each pool in each data centre.
    :ivar worker_size: cores, memory in MB, accelerators and number of tasks
        that each worker has capacity for.
    :ivar work_seconds: time that a backend server takes for a request.
    :ivar reboot_seconds: time that the platform takes to reboot a VM.
    :ivar timing: further settings of the section ``timing``, by name.
    :ivar open_services: services whose requests need no team key.
    :ivar service_timeout: longest wait for a backend server's answer, in
        seconds.
    :ivar poll_seconds: time between two reads of the platform's VM list.
    """

    data_centres: tuple[str, ...] = ("north", "middle", "south")
    entries: int = 2
    services: tuple[tuple[str, int], ...] = (("tally", 2), ("ledger", 1))
    pools: tuple[tuple[str, int], ...] = (("count", 2), ("report", 1))
    worker_size: tuple[float, ...] = (16.0, 32_000.0, 0.0, 1_000.0)
    work_seconds: float = 0.01
    reboot_seconds: float = 0.5
    timing: tuple[tuple[str, float], ...] = ()
    open_services: tuple[str, ...] = ()
    service_timeout: float = 2.0
    poll_seconds: float = 0.5


@dataclasses.dataclass(slots=True)
class Answer:
    """Response to an HTTP request.

    :ivar code: result code of the product, -1 when the header is missing.
    :ivar body: decoded JSON, or the bytes when they are not JSON.
    """

    status: int
    code: int
    body: t.Any


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host, int(port), network_timeout=timeout, connection_timeout=timeout
    )
    try:
        response = client.request(method, path, body, headers or {})
        content = bytes(response.read())
        code = int(str(response.get("agaterudder-code", "-1")))
    finally:
        client.close()
    try:
        decoded = json.loads(content)
    except ValueError:
        decoded = content
    return Answer(response.status_code, code, decoded)


class Deployment:
    """A running deployment; shut it down with :meth:`stop`.

    :ivar entries: HTTP address of each entry VM.
    :ivar backends: HTTP address of each backend server.
    :ivar workers: HTTP address of each worker.
    :ivar platform: HTTP address of the stand-in for the platform.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.entries: dict[str, str] = {}
        self.backends: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.platform = ""
        self._vms: list[dict[str, t.Any]] = []
        self._reservations: list[ports.Reservation] = []
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._directory.name)

    def start(self) -> None:
        """Start every process and wait until the entry VMs are ready."""
        self._describe_vms()
        self.platform = self._reserve_address()
        (self._path / "vms.json").write_text(json.dumps(self._vms))
        self._start_process(
            "platform",
            "standins.platform",
            "--listen",
            self.platform,
            "--vms",
            str(self._path / "vms.json"),
            "--reboot-seconds",
            str(self.plan.reboot_seconds),
        )
        for name, address in self.backends.items():
            self.start_backend(name, address)
        for name, address in self.workers.items():
            self.start_worker(name, address)
        self._wait_until_ok(self.platform, "/vms")
        for vm in self.entries:
            self.start_entry(vm)
        for vm in self.entries:
            self.wait_ready(vm)

    def _describe_vms(self) -> None:
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.entries):
                name = f"entry-{data_centre}-{number}"
                self.entries[name] = self._reserve_address()
                self._add_vm(
                    name, "entry", data_centre, number, self.entries[name]
                )
            for service, count in self.plan.services:
                for number in range(count):
                    name = f"{service}-{data_centre}-{number}"
                    self.backends[name] = self._reserve_address()
                    self._add_vm(
                        name,
                        "backend",
                        data_centre,
                        number,
                        self.backends[name],
                        service=service,
                    )
            for pool, count in self.plan.pools:
                for number in range(count):
                    name = f"worker-{pool}-{data_centre}-{number}"
                    self.workers[name] = self._reserve_address()
                    self._add_vm(
                        name,
                        "worker",
                        data_centre,
                        number,
                        self.workers[name],
                        pool=pool,
                        size=list(self.plan.worker_size),
                    )

    def _add_vm(
        self,
        name: str,
        role: str,
        data_centre: str,
        number: int,
        address: str,
        **fields: t.Any,
    ) -> None:
        self._vms.append(
            {
                "vm": name,
                "role": role,
                "data_centre": data_centre,
                "rack": f"{data_centre}-{number}",
                "address": address,
                "state": "live",
                **fields,
            }
        )

    def _reserve_address(self) -> str:
        reservation = ports.reserve()
        self._reservations.append(reservation)
        return reservation.address

    def start_backend(self, name: str, address: str) -> None:
        """Start a stand-in backend server."""
        seconds = str(self.plan.work_seconds)
        self._start_process(
            name,
            "standins.backend",
            "--listen",
            address,
            "--work-seconds",
            seconds,
        )

    def start_worker(self, name: str, address: str) -> None:
        """Start a stand-in worker."""
        size = ",".join(str(part) for part in self.plan.worker_size)
        self._start_process(
            name, "standins.worker", "--listen", address, "--size", size
        )

    def start_entry(self, vm: str) -> None:
        """Start an entry process on a VM."""
        path = self._path / f"{vm}.toml"
        if not path.exists():
            path.write_text(self._settings(vm))
        self._start_process(
            vm, "agaterudder", "serve", "--settings", str(path)
        )

    def _settings(self, vm: str) -> str:
        data_centre = vm.split("-")[1]
        services = "".join(
            f'[[services]]\nname = "{name}"\n'
            f"timeout_seconds = {self.plan.service_timeout}\n"
            f"open = {str(name in self.plan.open_services).lower()}\n"
            for name, _ in self.plan.services
        )
        timing = "".join(
            f"{name} = {value}\n" for name, value in self.plan.timing
        )
        hashed = keys.digest(OPERATOR_SECRET, OPERATOR_SALT)
        return (
            f'[entry]\nvm = "{vm}"\ndata_centre = "{data_centre}"\n'
            f'http = "{self.entries[vm]}"\n'
            f'stream = "{self._reserve_address()}"\n'
            f'[platform]\naddress = "{self.platform}"\n'
            f"poll_seconds = {self.plan.poll_seconds}\n"
            f'[[operators]]\nname = "{OPERATOR}"\n'
            f'salt = "{OPERATOR_SALT}"\nhash = "{hashed}"\n'
            f"[timing]\nreadiness_lag_seconds = 0.5\n{timing}{services}"
        )

    def _start_process(self, name: str, module: str, *arguments: str) -> None:
        log = open(self._path / f"{name}.log", "ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()

    def wait_ready(self, vm: str) -> None:
        """Wait until the readiness check of an entry VM passes."""
        try:
            self._wait_until_ok(self.entries[vm], "/readyz")
        except TimeoutError as error:
            last = self.log(vm)[-LOG_TAIL_CHARACTERS:]
            raise TimeoutError(
                f"{vm} is not ready; last log output: {last}"
            ) from error

    def _wait_until_ok(self, address: str, path: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                if call(address, "GET", path, timeout=1.0).status == 200:
                    return
            except (OSError, ValueError, HTTPParseError):
                pass
            time.sleep(0.05)
        raise TimeoutError(
            f"no status 200 from {address}{path} before the start time-out"
        )

    def settings_text(self, vm: str) -> str:
        """Return the settings file of an entry VM."""
        return (self._path / f"{vm}.toml").read_text()

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._path / f"{name}.log").read_text()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the deployment."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str, timeout: float = 30.0) -> int:
        """Shut a process down with SIGTERM; return its exit status."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout)

    def pid(self, name: str) -> int:
        """Return the process ID of a process."""
        return self._processes[name].pid

    def pids(self) -> list[int]:
        """Return the process IDs of the running processes."""
        return [process.pid for process in self._processes.values()]

    def stop(self) -> None:
        """Kill every process of the deployment, also a paused one."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        for reservation in self._reservations:
            reservation.release()
        self._reservations.clear()
        self._directory.cleanup()

    def call_operator_api(
        self,
        method: str,
        path: str,
        content: t.Any = None,
        vm: str | None = None,
    ) -> Answer:
        """Call the operator API of an entry VM, by default the first."""
        address = self.entries[vm or next(iter(self.entries))]
        body = b"" if content is None else json.dumps(content).encode()
        key = f"{OPERATOR}.{OPERATOR_SECRET}"
        headers = {"Agaterudder-Operator-Key": key}
        return call(address, method, f"/v1/operator/{path}", body, headers)

    def set_faults(self, address: str, **fields: t.Any) -> t.Any:
        """Set faults of a stand-in; return the body of its answer."""
        return call(
            address, "POST", "/faults", json.dumps(fields).encode()
        ).body

    def update_vm(self, vm: str, **fields: t.Any) -> None:
        """Update fields of a VM in the platform's VM list."""
        body = json.dumps(fields).encode()
        call(self.platform, "POST", f"/vms/{vm}/state", body)


def still_running(pids: t.Iterable[int]) -> list[int]:
    """Return those process IDs whose process still exists."""
    existing = []
    for pid in pids:
        try:
            os.kill(pid, 0)
        except ProcessLookupError:
            continue
        existing.append(pid)
    return existing
