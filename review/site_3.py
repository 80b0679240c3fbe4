"""A small deployment on loopback for the scripts of this review.

Control members and entries are the project's own programs, started with the commands of
the deploy file as processes of their own. Workers are ``worker_3.py``, also processes.
Clients and the operator are the functions of :class:`Site`. What was sent, answered and
run goes to ``record.txt`` in the folder of the case.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "nony24.example"
SERVICE = "huvo11a"
ZONES = ("attiki", "thessalia", "makedonia")
INTERNAL_PORTS = 16
METRICS_PORT = 9464
START_LIMIT_S = 25.0
CLIENT_TIMEOUT_S = 3.0
POLL_S = 0.05
VISIBLE_MS = 3_000
FINISH_MS = 14_000

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "hellas"
internalPortRange = [{port},{last_port}]
seedNodes = {seeds}
bootstrap = {bootstrap}
faultCounted = {counted}
discovery = "registration"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1100
contracts = ["base","drain","config","cost","recover","sched"]
config_mode = "highest"
orders = "invocation"
placementAdvice = ""
{data}
[zones]
attiki = "hellas"
thessalia = "hellas"
makedonia = "hellas"
[listenAddresses]
{listen}
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 296
fileDescriptors = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 0
regionFailures = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactWindowMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 10000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 2
checkpointIntervalS = 1
restoreTimeoutMs = 250
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseDurationMs = 3000
freezeSlackMs = 300
paceDelayMs = 100
interferenceMs = 4000
"""


class NotRunError(Exception):
    """The case could not run; the message says why."""


def now_ms() -> int:
    """Return the machine's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_port(ips: list[str], count: int, first: int) -> int:
    """Return the first of ``count`` ports that are free on all addresses."""
    for port in range(first, first + 20_000, count):
        if all(_is_free(ip, port + n) for ip in ips for n in range(count)):
            return port
    raise NotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Site:
    """Three control members, one entry and workers; a context manager."""

    def __init__(
        self,
        folder: Path,
        workers: int,
        worker_cpu: int = 4_000,
        kinds: tuple[str, ...] = (),
    ) -> None:
        self.folder = folder
        self.kinds = kinds
        self.worker_count = workers
        self.worker_cpu = worker_cpu
        self.files = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.record_file = (folder / "record.txt").open("w", buffering=1)
        self.began_ms = now_ms()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.members = [f"{net}.{11 + n}" for n in range(3)]
        self.entry = f"{net}.21"
        self.worker_ips = [f"{net}.{31 + n}" for n in range(workers)]
        ips = [*self.members, self.entry, *self.worker_ips]
        first = random.randrange(12_000, 20_000)
        self.port = _free_port(ips, INTERNAL_PORTS + 3, first)
        self.control_port = self.port + INTERNAL_PORTS
        self.entry_port = self.port + INTERNAL_PORTS + 1
        self.ready_port = self.port + INTERNAL_PORTS + 2
        if not all(_is_free(ip, METRICS_PORT) for ip in [*self.members, self.entry]):
            raise NotRunError(f"port {METRICS_PORT} is in use")
        self.version = 0

    def __enter__(self) -> "Site":
        """Return the site."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes that were started and remove their files."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for row in self.worker_events():
            self.write("worker", **row)
        self.record_file.close()
        shutil.rmtree(self.files, ignore_errors=True)

    def write(self, kind: str, **fields: Any) -> None:
        """Write one line to the record; times are from the start of the script."""
        at_ms = fields.pop("at", now_ms()) - self.began_ms
        pairs = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record_file.write(f"{at_ms:>8} {kind} {pairs}\n")

    # Processes.

    def start(self) -> None:
        """Start everything, and wait until jobs can be submitted and run."""
        for ip in self.members:
            self.start_member(ip)
        self.start_entry()
        self.start_rest()

    def start_rest(self) -> None:
        """Send the first configuration and start the workers."""
        self.wait(lambda: self.configure() == 200, "the first configuration")
        for number in range(self.worker_count):
            self.start_worker(number)
        self.wait(self.is_ready, "the entry is ready")
        time.sleep(2.0)

    def start_member(self, ip: str, bootstrap: bool = True) -> None:
        """Start the control member at an address."""
        data = self.files / f"data-{ip}"
        data.mkdir(exist_ok=True)
        listen = f'controlPlane = "{ip}:{self.control_port}"'
        self._start_daemon(ip, "control", listen, bootstrap, str(data))

    def start_entry(self, bootstrap: bool = True) -> None:
        """Start the entry."""
        listen = (
            f'frontend = "{self.entry}:{self.entry_port}"\n'
            f'ready = "{self.entry}:{self.ready_port}"'
        )
        self._start_daemon(self.entry, "entry", listen, bootstrap, "")

    def _start_daemon(
        self, ip: str, role: str, listen: str, bootstrap: bool, data: str
    ) -> None:
        is_control = role == "control"
        zone = ZONES[self.members.index(ip)] if is_control else ZONES[0]
        path = self.files / f"{ip}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"{role}-{zone}-1",
                role=role,
                machine_class="core" if is_control else "frontend",
                serves="control_plane" if is_control else "frontend",
                ip=ip,
                zone=zone,
                port=self.port,
                last_port=self.port + INTERNAL_PORTS - 1,
                seeds=json.dumps([f"{m}:{self.control_port}" for m in self.members]),
                bootstrap=str(bootstrap).lower(),
                counted=str(is_control).lower(),
                data=f'dataDirectory = "{data}"' if data else "",
                listen=listen,
            )
        )
        command = ["python3", "-m", "foxspring_platform", role]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "FOXSPRING_CONFIG": str(path),
            "PYTHONPATH": str(DEPENDENCIES),
        }
        self.write("start", process=f"{role}@{ip}")
        with (self.files / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_worker(self, number: int, **options: Any) -> None:
        """Start a worker."""
        ip = self.worker_ips[number]
        controls = ",".join(f"{m}:{self.control_port}" for m in self.members)
        arguments = {
            "id": f"i-{number:04x}",
            "address": f"{ip}:{self.entry_port}",
            "controls": controls,
            "record": str(self.files / "workers.jsonl"),
            "service": SERVICE,
            "zone": ZONES[number % len(ZONES)],
            "rack": f"r{number % len(ZONES)}-1",
            "cpu": str(self.worker_cpu),
            **options,
        }
        if self.kinds:
            arguments["kind"] = self.kinds[number]
        command = [sys.executable, str(ROOT / "review" / "worker_3.py")]
        for name, value in arguments.items():
            command += [f"--{name}", value]
        self.write("start", process=f"worker i-{number:04x}")
        with (self.files / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(command, stdout=log, stderr=log)

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self.write("signal", process=ip, signal=number.name)
        self.processes[ip].send_signal(number)

    def log_of(self, ip: str) -> str:
        """Return what a process has logged."""
        return (self.files / f"{ip}.log").read_text(errors="replace")

    def worker_events(self) -> list[dict[str, Any]]:
        """Return what the workers have recorded so far, in the order of time."""
        path = self.files / "workers.jsonl"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.endswith("}")]
        return sorted(rows, key=lambda row: row["at"])

    def wait(
        self,
        check: Callable[[], bool],
        description: str,
        limit_s: float = START_LIMIT_S,
    ) -> None:
        """Wait until a check holds.

        Raises:
            NotRunError: it does not in time.
        """
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if check():
                return
            time.sleep(POLL_S)
        raise NotRunError(f"not within {limit_s} s: {description}")

    # The operator and the clients.

    def configure(self, **route: Any) -> int:
        """Send a configuration with the next version; return the status."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": [
                {
                    "name": "r-73hh2b9",
                    "host": HOST,
                    "pathPrefix": "/pule252/",
                    "kind": "non_idempotent",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 1000,
                    "priority": 0,
                    "service": SERVICE,
                    "maxAttempts": 3,
                    "stretchFactor": 2.0,
                }
                | route
            ],
            "services": [
                {
                    "name": SERVICE,
                    "healthPath": "/healthz",
                    "maxConnections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforcesCapacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        for ip in self.members:
            address = f"{ip}:{self.control_port}"
            status, _ = self.call(address, "POST", "/api/Config.Replace", body)
            if status in (200, 400):
                return status
        return 0

    def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        address = f"{self.entry}:{self.ready_port}"
        return self.call(address, "GET", "/api/readyz", quiet=True)[0] == 200

    def submit(self, job_id: str, spec: dict[str, Any], steps: list[Any]) -> int:
        """Hand a job in until it is accepted or refused; return the status."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(5):
            status, _ = self.client("POST", job_id, body)
            if status not in (0, 502, 504):
                return status
        return status

    def state(self, job_id: str) -> str:
        """Return a job's state, or the status of the answer."""
        status, body = self.client("GET", job_id)
        return str(json.loads(body)["state"]) if status == 200 else str(status)

    def client(self, method: str, job_id: str, body: Any = None) -> tuple[int, bytes]:
        """Send a client's request to the entry."""
        address = f"{self.entry}:{self.entry_port}"
        return self.call(address, method, f"/pule252/{job_id}", body)

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        quiet: bool = False,
    ) -> tuple[int, bytes]:
        """Make a call; the status is 0 if there was no answer."""
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Deadline-Ms": "3000",
        }
        data = None if body is None else json.dumps(body)
        sent_ms = now_ms()
        connection = http.client.HTTPConnection(address, timeout=CLIENT_TIMEOUT_S)
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            result = response.status, response.read()
        except (OSError, http.client.HTTPException):
            result = 0, b""
        finally:
            connection.close()
        if not quiet:
            answer = result[1].decode(errors="replace")[:80]
            self.write("sent", at=sent_ms, method=method, path=path, body=data or "-")
            self.write("answered", path=path, status=result[0], body=answer or "-")
        return result


def run_case(
    play: Callable[[Site], int], folder: Path, starts: bool = True, **options: Any
) -> int:
    """Play a case, on a started site or one that it starts; return its exit code."""

    def on_stop(_number: int, _frame: FrameType | None) -> None:
        raise NotRunError("stopped")

    signal.signal(signal.SIGTERM, on_stop)
    try:
        with Site(folder, **options) as site:
            if starts:
                site.start()
            code = play(site)
            verdict = {HELD: "held", BROKEN: "broken"}[code]
            site.write("verdict", rule=verdict, trouble=int(trouble()))
    except (NotRunError, OSError) as error:
        print(f"could not run: {error}")
        return NOT_RUN
    print(f"the rule {verdict}, trouble={int(trouble())}")
    return code
