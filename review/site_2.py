"""A small deployment on loopback for the cases 6 to 10.

Three control members and two entries run as the deploy file starts them, with workers
of ``standin_2.py``. All processes end with :meth:`Site.stop`.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDIN = pathlib.Path(__file__).resolve().parent / "standin_2.py"
PYTHON = "python3"
HOST = "jobs.example"
SERVICE = "pool"
HOLD_MAX_MS = 10_000
BEAT_MS = 1_500
READY_LIMIT_S = 30.0
CALL_TIMEOUT_S = 3.0
PORTS = 16
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{machine}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPortRange = [{port}, {last}]
seedNodes = {seeds}
bootstrap = true
faultCounted = {counted}
{data}
discovery = "registration"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","sharing"]
config_mode = "highest"
orders = "invocation"
placementAdvice = "{advice}"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[listenAddresses]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
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
remoteFactor = 1.5
checkpointIntervalS = 1
restoreTimeoutMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseDurationMs = 3000
freezeSlackMs = 300
paceDelayMs = 100
interferenceMs = 4000
"""


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def route(name: str, **overrides: Any) -> dict[str, Any]:
    """Return a route whose queue is named like its prefix."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeoutMs": 3_000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 2,
        "stretchFactor": 1.5,
        **overrides,
    }


class Site:
    """The processes of a case, and the record of what was sent, answered and run."""

    def __init__(self, case: str) -> None:
        self.case_folder = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.rows: list[dict[str, Any]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.commands: dict[str, tuple[list[str], dict[str, str]]] = {}
        self.worker_options: dict[str, dict[str, Any]] = {}
        self.network, self.port = _free_network()
        self.advice = ""
        self.members = [self.address(10 + n, 1) for n in range(3)]
        self.entries = [self.address(20 + n, 2) for n in range(2)]

    def address(self, host: int, port: int) -> str:
        """Return an address of this site's own loopback network."""
        return f"{self.network}.{host}:{self.port + port}"

    def note(self, event: str, **fields: Any) -> None:
        """Add an event to the record."""
        self.rows.append({"at": now_ms(), "event": event, **fields})

    # Processes.

    def start(self, configuration: dict[str, Any]) -> None:
        """Start the system and apply a configuration."""
        for number, address in enumerate(self.members):
            self.spawn_control(number, address)
        for number, address in enumerate(self.entries):
            self.spawn_entry(number, address)
        body = json.dumps(configuration).encode()
        self.wait_for(
            lambda: (
                self.operator("POST", "/api/Config.Replace", body)[0] == 200
                and all(self.get(entry, "/none/")[0] == 404 for entry in self.entries)
            ),
            "the system",
        )
        self.note("configured")

    def spawn_control(self, number: int, address: str) -> None:
        """Start a control member."""
        folder = self.folder / f"data-{number}"
        folder.mkdir()
        listen = f'controlPlane = "{address}"'
        self.spawn("control", number, address, listen, f'dataDirectory = "{folder}"')

    def spawn_entry(self, number: int, address: str) -> None:
        """Start an entry."""
        ready = f"{address.rpartition(':')[0]}:{self.port + 3}"
        listen = f'frontend = "{address}"\nready = "{ready}"'
        self.spawn("entry", number, address, listen, "")

    def spawn(
        self, role: str, number: int, address: str, listen: str, data: str
    ) -> None:
        """Start a process with the command of the deploy file."""
        control = role == "control"
        name = f"{role}-{number}"
        path = self.folder / f"{name}.toml"
        first = self.port + 8
        text = SETTINGS.format(
            name=name,
            role=role,
            machine="core" if control else "frontend",
            serves="control_plane" if control else "frontend",
            ip=address.rpartition(":")[0],
            zone=f"z{number + 1}",
            port=first,
            last=first + PORTS - 9,
            seeds=json.dumps(self.members),
            counted=str(control).lower(),
            data=data,
            advice=self.advice,
            listen=listen,
        )
        path.write_text(text)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FOXSPRING_CONFIG": str(path),
        }
        command = [PYTHON, "-m", "foxspring_platform", role]
        self.commands[name] = (command, environment)
        self.popen(name, command, environment)

    def popen(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> None:
        """Start a process whose output goes to a file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_worker(self, number: int, cpu: int = 8_000, **options: Any) -> str:
        """Start a worker and return its id."""
        name = f"w{number:02d}"
        self.worker_options[name] = {
            "id": name,
            "address": self.address(100 + number, 4),
            "control": self.members,
            "service": SERVICE,
            "zone": f"z{number % 3 + 1}",
            "rack": f"r{number % 6}",
            "cpu": cpu,
            "mem_mb": 32_000,
            "beat_ms": BEAT_MS,
            "hold_max_ms": HOLD_MAX_MS,
            "log": str(self.folder / "events.jsonl"),
            **options,
        }
        self.restart_worker(name)
        return name

    def start_proxied_worker(self, number: int, **options: Any) -> tuple[str, str]:
        """Start a worker behind a proxy; return their names.

        The worker listens at an address of its own and announces that of the proxy.
        """
        announced = self.address(100 + number, 4)
        listen = self.address(100 + number, 6)
        outward = {
            self.address(140 + place, 7): member
            for place, member in enumerate(self.members)
        }
        proxy = json.dumps({"inward": [announced, listen], "outward": outward})
        self.popen("proxy", [sys.executable, str(STANDIN), "proxy", proxy])
        name = self.start_worker(
            number,
            listen=listen,
            control=list(outward),
            reached_by={member: own for own, member in outward.items()},
            **options,
        )
        return name, "proxy"

    def restart_worker(self, name: str) -> None:
        """Start a new life of a worker under its id and at its address."""
        options = json.dumps(self.worker_options[name])
        self.popen(name, [sys.executable, str(STANDIN), "worker", options])

    def start_advice(self, **options: Any) -> None:
        """Start the service for placement advice; call it before :meth:`start`."""
        self.advice = self.address(90, 5)
        options |= {"address": self.advice, "log": str(self.folder / "events.jsonl")}
        command = [sys.executable, str(STANDIN), "advice", json.dumps(options)]
        self.popen("advice", command)

    def restart(self, name: str) -> None:
        """Start a process of the system again, with settings of a later start."""
        path = self.folder / f"{name}.toml"
        text = path.read_text().replace("bootstrap = true", "bootstrap = false")
        path.write_text(text)
        command, environment = self.commands[name]
        self.popen(name, command, environment)
        self.note("restarted", process=name)

    def memory_mb(self, name: str) -> int:
        """Return the resident memory of a process, or 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self.processes[name].pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) // 1024
        return 0

    def kill(self, name: str) -> None:
        """Kill a process that this site started."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.note("killed", process=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this site started."""
        self.processes[name].send_signal(number)
        self.note("signalled", process=name, signal=number.name)

    def stop(self) -> None:
        """End all processes and remove the files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, Any]:
        """Return the status and the body of a response, or status 0 without one."""
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        headers = {"Host": HOST, "Deadline-Ms": str(int(CALL_TIMEOUT_S * 1_000))}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            return 0, None
        finally:
            connection.close()
        try:
            return response.status, json.loads(data)
        except ValueError:
            return response.status, None

    def operator(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Call the control members in turn until one gives a clear response."""
        for address in self.members:
            status, answer = self.call(address, method, path, body)
            if status and status not in (408, 429) and status < 500:
                return status, answer
        return 0, None

    def get(self, entry: str, path: str) -> tuple[int, Any]:
        """Send a GET to an entry."""
        return self.call(entry, "GET", path)

    def submit(self, queue: str, job_id: str, job: dict[str, Any]) -> bool:
        """Submit a job with up to four retries; return whether it is accepted."""
        body = json.dumps(job).encode()
        for attempt in range(5):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = self.call(entry, "POST", f"/{queue}/{job_id}", body)
            self.note("submit", queue=queue, job=job_id, status=status)
            if 200 <= status < 300:
                return True
            if status == 404:
                return False
        return False

    def state(self, queue: str, job_id: str) -> str:
        """Return a job's state, or the status of a response without one."""
        for entry in self.entries:
            status, body = self.get(entry, f"/{queue}/{job_id}")
            if status in (200, 410):
                break
        state = body["state"] if status == 200 else str(status)
        self.note("state", queue=queue, job=job_id, state=state)
        return state

    def waiting_count(self, queue: str) -> int | None:
        """Return a queue's ``waitingCount``, or None if there is no response."""
        for entry in self.entries:
            status, body = self.get(entry, f"/{queue}/")
            if status == 200:
                self.note("waiting", queue=queue, count=body["waitingCount"])
                return int(body["waitingCount"])
        return None

    def events(self) -> list[dict[str, Any]]:
        """Return what the stand-ins have logged so far, in the order of time."""
        path = self.folder / "events.jsonl"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return sorted((json.loads(line) for line in lines), key=lambda row: row["at"])

    def wait_for(
        self, check: Callable[[], bool], what: str, limit_s: float = READY_LIMIT_S
    ) -> None:
        """Wait until a check holds.

        Raises:
            CannotRunError: it does not within the limit.
        """
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if check():
                return
            time.sleep(0.1)
        raise CannotRunError(f"not within {limit_s} s: {what}")

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run to ``record.txt``."""
        rows = sorted([*self.rows, *self.events()], key=lambda row: row["at"])
        first = rows[0]["at"] if rows else 0
        lines = [f"{verdict}\n"]
        for row in rows:
            at_s = (row["at"] - first) / 1_000
            fields = {k: v for k, v in row.items() if k not in ("at", "event")}
            lines.append(f"{at_s:8.3f} {row['event']} {json.dumps(fields)}\n")
        (self.case_folder / "record.txt").write_text("".join(lines))


def configuration(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration of one service with these routes."""
    return {
        "version": 7,
        "routes": list(routes),
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
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def job(spec: dict[str, Any], **step: Any) -> dict[str, Any]:
    """Return a job of one step."""
    fields = {"count": 1, "cpu": 1_000, "memMb": 100, "estimatedMs": 500, **step}
    return {"spec": json.dumps(spec), "steps": [fields]}


def run_case(case: str, play: Callable[[Site, bool], str]) -> int:
    """Play a case and return its exit code.

    ``play`` gets whether to make trouble and returns how the rule was broken, or an
    empty string if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    site = Site(case)
    code, verdict = CANNOT_RUN, "could not run"
    try:
        broken = play(site, trouble)
        code, verdict = (BROKEN, f"broken: {broken}") if broken else (HELD, "held")
    except (CannotRunError, OSError, subprocess.SubprocessError) as error:
        verdict = f"could not run: {error}"
    finally:
        site.note("verdict", trouble=trouble, verdict=verdict)
        site.write_record(verdict)
        site.stop()
    print(verdict)
    return code


def _free_network() -> tuple[str, int]:
    """Return a loopback network and a first port that nothing listens on."""
    for _ in range(50):
        network = f"127.{random.randrange(40, 200)}.{random.randrange(1, 250)}"
        port = random.randrange(12_000, 30_000)
        if all(_is_free(f"{network}.{host}", port) for host in (10, 11, 12, 20, 21)):
            return network, port
    raise CannotRunError("no free loopback network")


def _is_free(ip: str, port: int) -> bool:
    for number in (9_464, *range(port, port + PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind((ip, number))
            except OSError:
                return False
    return True
