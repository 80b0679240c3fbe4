"""A small deployment of the real programs on loopback addresses.

The programs are started with the commands of ``deploy/system.toml`` from the build of
the deploy file. Clients, operator and workers are stand-ins in the script's process.
"""

import asyncio
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
from collections.abc import Awaitable, Callable
from typing import Any

from standin_http import Response, request
from standin_worker import Worker, WorkerSettings

ROOT = pathlib.Path(__file__).resolve().parents[1]
CONTROL_PORT, ENTRY_PORT, READY_PORT, LINK_PORT = 8166, 8161, 8167, 7720
WORKER_PORT = 8080
LINK_PORTS = 16
CORES = 3
ENTRIES = 2
FIRST_CORE, FIRST_ENTRY, FIRST_WORKER = 11, 21, 101
HOST = "nony24.example"
SERVICE = "register"
CLIENT_DEADLINE_MS = 3_000
RETRY_S = 0.25
START_LIMIT_S = 25.0
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sched",
    "advice",
    "upkeep",
    "sharing",
]
ZONES = ("attiki", "thessalia", "makedonia", "peloponnisos")
# The bounds of the users' first deployment.
BOUNDS = """\
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
HEARTBEAT_MS = 1_100
LONGEST_LEASE_MS = 10_000


class CaseError(Exception):
    """The case could not run."""


def _free_prefix() -> tuple[str, socket.socket]:
    for _ in range(200):
        prefix = f"127.{random.randint(64, 127)}.{random.randint(1, 254)}"
        claim = socket.socket()
        try:
            claim.bind((f"{prefix}.254", CONTROL_PORT))
        except OSError:
            claim.close()
            continue
        return prefix, claim
    raise CaseError("no free loopback network")


class Site:
    """Core and frontend processes, with stand-in workers and clients."""

    def __init__(self, record_file: pathlib.Path) -> None:
        self.prefix, self._claim = _free_prefix()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-site-"))
        self.began = time.monotonic()
        self._record = record_file.open("w", encoding="utf-8")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.cores = [f"{self.prefix}.{FIRST_CORE + n}" for n in range(CORES)]
        self.entries = [f"{self.prefix}.{FIRST_ENTRY + n}" for n in range(ENTRIES)]
        self.workers: dict[int, Worker] = {}
        self.routes: list[dict[str, Any]] = []
        self.turn = 0
        self.ends: dict[tuple[str, str], int] = {}

    def record(self, event: str, **fields: Any) -> None:
        """Write one line of what was sent, answered or run."""
        at_s = round(time.monotonic() - self.began, 3)
        line = {"at_s": at_s, "event": event, **fields}
        if event == "end":
            key = (fields["task"].partition(".")[0], fields["how"])
            self.ends[key] = self.ends.get(key, 0) + 1
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    def now_s(self) -> float:
        """Return the seconds since the site was made."""
        return time.monotonic() - self.began

    def control(self) -> tuple[str, ...]:
        """Return the addresses for workers and the operator."""
        return tuple(f"{ip}:{CONTROL_PORT}" for ip in self.cores)

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start all processes and have the first configuration accepted."""
        for ip in self.cores:
            self._spawn(ip, "control")
        for ip in self.entries:
            self._spawn(ip, "entry")
        self.routes = routes
        await self.configure(1)

    async def configure(self, version: int) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(
            {
                "version": version,
                "routes": self.routes,
                "services": [service()],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            }
        ).encode()
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit:
            for address in self.control():
                answer = await request(
                    "POST", address, "/api/Config.Replace", body, timeout_s=1.0
                )
                if answer.status == 200:
                    self.record("configuration_acknowledged", version=version)
                    return
            await asyncio.sleep(RETRY_S)
        raise CaseError("the configuration was not acknowledged")

    async def add_worker(
        self,
        number: int,
        labels: tuple[str, ...] = ("a", "r1-1"),
        cpu: int = 16_000,
        mem_mb: int = 64_000,
        life: int = 0,
    ) -> Worker:
        """Start a worker; each ``life`` at an address has another id."""
        settings = WorkerSettings(
            f"{self.prefix}.{FIRST_WORKER + number}:{WORKER_PORT}",
            ZONES[number % len(ZONES)],
            SERVICE,
            labels,
            cpu,
            mem_mb,
            HEARTBEAT_MS,
            LONGEST_LEASE_MS,
            self.control(),
        )
        worker = Worker(f"i-{number:04x}{life:04x}", settings, self.record)
        await worker.start()
        self.workers[number] = worker
        return worker

    async def submit(self, path: str, job: dict[str, Any]) -> Response:
        """Hand a job in; the client retries with the same id up to four times."""
        body = json.dumps(job).encode()
        answer = Response(0)
        for _ in range(5):
            answer = await self.call("POST", path, body)
            if 200 <= answer.status < 300 or answer.status in (400, 404):
                break
            await asyncio.sleep(RETRY_S)
        return answer

    async def call(self, method: str, path: str, body: bytes = b"") -> Response:
        """Send one request to the next entry."""
        self.turn += 1
        address = f"{self.entries[self.turn % ENTRIES]}:{ENTRY_PORT}"
        headers = {"Host": HOST, "Deadline-Ms": str(CLIENT_DEADLINE_MS)}
        answer = await request(method, address, path, body, headers)
        text = answer.body.decode(errors="replace")[:200]
        self.record("call", method=method, path=path, status=answer.status, answer=text)
        return answer

    async def state(self, path: str) -> str:
        """Return a job's state, or the status of an answer without one."""
        answer = await self.call("GET", path)
        return str(answer.json().get("state", answer.status))

    def runs_of(self, job_id: str) -> list[str]:
        """Return the tasks of a job that run now."""
        return [
            task
            for worker in self.workers.values()
            for task, _ in worker.running
            if task.startswith(job_id)
        ]

    def used_cpu(self, cpu_of: Callable[[str], int]) -> int:
        """Return the cpu that running tasks use on all workers."""
        return sum(
            cpu_of(task)
            for worker in self.workers.values()
            for task, _ in worker.running
        )

    def stop(self) -> None:
        """End all processes and workers that this site started."""
        for worker in self.workers.values():
            worker.server.close()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._claim.close()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _spawn(self, ip: str, role: str) -> None:
        settings = self.folder / f"{ip}.toml"
        settings.write_text(self._settings(ip, role), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FOXSPRING_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{ip}.log").open("ab")
        self.processes[ip] = subprocess.Popen(
            [sys.executable, "-m", "foxspring_platform", role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def _settings(self, ip: str, role: str) -> str:
        core = role == "control"
        serves = "control_plane" if core else "frontend"
        listen = f'controlPlane = "{ip}:{CONTROL_PORT}"'
        if not core:
            listen = f'frontend = "{ip}:{ENTRY_PORT}"\nready = "{ip}:{READY_PORT}"'
        data = self.folder / f"data-{ip}"
        if core:
            data.mkdir(exist_ok=True)
        zone = ZONES[int(ip.rpartition(".")[2]) % len(ZONES)]
        data_line = f'dataDirectory = "{data}"\n' if core else ""
        zones = "".join(f'{name} = "hellas"\n' for name in ZONES)
        return (
            f'nodeName = "{role}-{ip}"\nrole = "{role}"\n'
            f'machineClass = "{"core" if core else "frontend"}"\n'
            f'serves = ["{serves}"]\nip = "{ip}"\nzone = "{zone}"\nregion = "hellas"\n'
            f"internalPortRange = [{LINK_PORT},{LINK_PORT + LINK_PORTS - 1}]\n"
            f"seedNodes = {json.dumps(self.control())}\n"
            f"bootstrap = true\nfaultCounted = {str(core).lower()}\n{data_line}"
            'discovery = "registration"\nentryPoint = "virtual_ip"\n'
            f"heartbeatIntervalMs = {HEARTBEAT_MS}\n"
            f"contracts = {json.dumps(CONTRACTS)}\n"
            'config_mode = "highest"\norders = "invocation"\n'
            f"[zones]\n{zones}[listenAddresses]\n{listen}\n"
            "[limits]\ncpuShare = 0.717\ncores = 3\nmemoryMb = 296\n"
            "fileDescriptors = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n"
            "[faultTolerance]\nmachines = 1\nzones = 0\nregionFailures = 0\n"
            f"[bounds]\n{BOUNDS}"
        )


def service() -> dict[str, Any]:
    """Return the one service of the configuration."""
    return {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "enforcesCapacity": False,
        "standby": False,
    }


def route(name: str, prefix: str, **overrides: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3_000,
        "targetLatencyMs": 1_000,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 2,
        "stretchFactor": 2.0,
        **overrides,
    }


def step(count: int, cpu: int, estimated_ms: int, **overrides: Any) -> dict[str, Any]:
    """Return a step of a job."""
    fields = {"count": count, "cpu": cpu, "memMb": 1_024, "estimatedMs": estimated_ms}
    return {**fields, **overrides}


def job(
    work: dict[str, Any], *steps: dict[str, Any], **overrides: Any
) -> dict[str, Any]:
    """Return a job whose tasks do ``work``."""
    return {"spec": json.dumps(work), "steps": list(steps), **overrides}


def new_id() -> str:
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder: str, play: Callable[[Site, bool], Awaitable[bool]]) -> int:
    """Play a case and return the exit code: 1 if the rule was broken, 0 if it held.

    ``play`` gets the site and whether the disruption is to happen, and returns whether
    the rule held. The exit code is 2 if the case could not run.
    """
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    site = Site(pathlib.Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(_play(site, play, disrupted))
    except (CaseError, OSError) as error:
        site.record("case_could_not_run", reason=str(error))
        print(f"the case could not run: {error}")
        return 2
    finally:
        site.stop()
    return 0 if held else 1


async def _play(
    site: Site, play: Callable[[Site, bool], Awaitable[bool]], disrupted: bool
) -> bool:
    site.record("began", disrupted=disrupted)
    held = await play(site, disrupted)
    site.record("verdict", held=held)
    print("the rule held" if held else "THE RULE WAS BROKEN, see record.txt")
    return held
