"""A whole site as real processes on loopback, for tests and the demo."""

import atexit
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
import urllib3
from foxspring_link import SystemClock

from foxspring_testing._audit_view import owned_targets
from foxspring_testing._clients import CallerClient, OperatorClient
from foxspring_testing._events import EventWriter, RunEvent, read_events
from foxspring_testing._fault_network import FaultNetwork
from foxspring_testing._ports import PortChooser
from foxspring_testing._process import ManagedProcess
from foxspring_testing._site_settings import (
    OPERATOR_TOKEN,
    TARGET_TOKEN,
    DaemonAddresses,
    SiteSize,
    write_daemon_settings,
)
from foxspring_testing._socket_owner import owner_finder
from foxspring_testing._standin_settings import (
    StandInSettings,
    write_standin_settings,
)
from foxspring_testing._wait import wait_until

_STARTS = 4
_READY_S = 40.0


class Site:
    """Starts, breaks and ends the processes of a site; use it with ``with``.

    Names are ``control-1``, ``entry-1``, ``target-1`` and so on. Every process
    is ended on leaving the ``with`` block and at the interpreter's exit.
    """

    def __init__(self, folder: Path, size: SiteSize) -> None:
        self.folder = folder
        self.size = size
        self.clock = SystemClock()
        self.processes: dict[str, ManagedProcess] = {}
        self.daemons: dict[str, DaemonAddresses] = {}
        self.targets: dict[str, StandInSettings] = {}
        self.network = FaultNetwork(owner_finder(self._pids)) if size.proxied else None
        self._ports = PortChooser()
        self._pool = urllib3.PoolManager(retries=False, timeout=3, maxsize=8)
        folder.mkdir(parents=True, exist_ok=True)
        self._lay_out()

    def __enter__(self) -> "Site":
        """Start every process."""
        atexit.register(self.close)
        try:
            self.start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process."""
        self.close()

    def start_all(self) -> None:
        """Start every process and wait until the site serves."""
        for name in self.processes:
            self.start(name)
        self.wait_ready()

    def close(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes.values():
            process.kill()
        if self.network is not None:
            self.network.stop()
            self.network = None
        atexit.unregister(self.close)

    def start(self, name: str) -> None:
        """Start one process; a target comes back as its next incarnation."""
        process = self.processes[name]
        if name in self.targets and not process.alive():
            settings = self.targets[name]
            settings = settings._replace(incarnation=settings.incarnation + 1)
            self.targets[name] = settings
            write_standin_settings(self.folder / f"{name}.ini", settings)
        process.start()

    def kill(self, name: str) -> None:
        """Kill one process at once."""
        self.processes[name].kill()
        if name in self.targets:
            self._note_end(self.targets[name])

    def restart(self, name: str) -> None:
        """Kill one process and start it again."""
        self.kill(name)
        self.start(name)

    def stop(self, name: str) -> bool:
        """Stop one process as planned; tell whether it ended by itself."""
        return self.processes[name].stop()

    def pause(self, name: str) -> None:
        """Freeze one process."""
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].resume()

    def names(self, role: str) -> list[str]:
        """Return the names of a role's processes: control, entry or target."""
        return [name for name in self.processes if name.startswith(f"{role}-")]

    def entry_addresses(self) -> list[str]:
        """Return the entries' HTTP addresses as callers use them."""
        return [self.daemons[name].http for name in self.names("entry")]

    def operator(self, token: str = OPERATOR_TOKEN) -> OperatorClient:
        """Return a client of the operators' surface."""
        return OperatorClient(self.entry_addresses(), token)

    def caller(self) -> CallerClient:
        """Return a client of the callers' surface."""
        return CallerClient(self.clock.monotonic_ms)

    def behave(self, target: str, **fields: Any) -> None:
        """Change a stand-in's behaviour; names as in Behaviour.

        Raises:
            NotReachedError: the stand-in does not answer.
        """
        url = f"http://{self.targets[target].control_address}/behaviour"
        body = msgspec.json.encode(fields)

        def changed() -> bool:
            if self.processes[target].exit_code() is not None:
                self.start(target)
            try:
                return self._pool.request("POST", url, body=body).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(changed, f"an answer of {target}; see {self.folder}")

    def events(self) -> list[RunEvent]:
        """Return what all targets ran, from their files."""
        paths = sorted({settings.events for settings in self.targets.values()})
        return [event for path in paths for event in read_events(Path(path))]

    def entry_ready(self, name: str) -> bool:
        """Tell whether an entry says that it is ready."""
        url = f"http://{self.daemons[name].http}/readyz"
        try:
            return self._pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self, within_s: float = _READY_S) -> None:
        """Wait until every entry that runs is ready.

        A process that ended at once, as when another took its port, is
        started again a few times.

        Raises:
            NotReachedError: the site was not ready in time.
        """
        starts = dict.fromkeys(self.processes, 1)

        def ready() -> bool:
            for name, process in self.processes.items():
                if process.exit_code() is not None and starts[name] < _STARTS:
                    starts[name] += 1
                    self.start(name)
            names = [n for n in self.names("entry") if self.processes[n].alive()]
            return bool(names) and all(self.entry_ready(name) for name in names)

        wait_until(ready, f"ready entries; logs are in {self.folder}", within_s)

    def wait_targets_owned(self, within_s: float = _READY_S) -> None:
        """Wait until every target that runs has an owning entry.

        Raises:
            NotReachedError: that was not so in time.
        """
        running = {name for name in self.targets if self.processes[name].alive()}
        wait_until(
            lambda: running <= owned_targets(self.operator()).keys(),
            f"owners of {sorted(running)}; logs are in {self.folder}",
            within_s,
        )

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return self.processes[name].log.read_text(errors="replace")

    def _lay_out(self) -> None:
        for number in range(1, self.size.controls + 1):
            self._add_daemon("control", number)
        for number in range(1, self.size.entries + 1):
            self._add_daemon("entry", number)
        controls = [self.daemons[f"control-{n + 1}"] for n in range(self.size.controls)]
        for name, daemon in self.daemons.items():
            path = self.folder / f"{name}.ini"
            data = self.folder / f"{name}.data"
            write_daemon_settings(path, daemon, controls, data, self.size)
            self._add_process(name, "foxspring_daemon.daemon")
        for number in range(1, self.size.targets + 1):
            self._add_target(number)

    def _add_daemon(self, role: str, number: int) -> None:
        name = f"{role}-{number}"
        link = self._ports.free_address()
        http = self._ports.free_address() if role == "entry" else ""
        self.daemons[name] = DaemonAddresses(
            name,
            role,
            self._failure_domain(number),
            link,
            self._seen(name, link),
            http,
            self._seen(name, http) if http else "",
        )

    def _add_target(self, number: int) -> None:
        name = f"target-{number}"
        address = self._ports.free_address()
        entries = [self.daemons[entry].http_seen for entry in self.names("entry")]
        self.targets[name] = StandInSettings(
            target_id=name,
            address=address,
            control_address=self._ports.free_address(),
            entries=" ".join(entries),
            token=TARGET_TOKEN,
            events=str(self.folder / f"{name}.events"),
            incarnation=0,
            advertised_address=self._seen(name, address),
            failure_domain=self._failure_domain(number),
            rack=f"rack-{number}",
            clock_offset_ms=1_000_000 * number,
        )
        self._add_process(name, "foxspring_testing.standin")

    def _add_process(self, name: str, module: str) -> None:
        settings = str(self.folder / f"{name}.ini")
        self.processes[name] = ManagedProcess(
            name, (module, "--settings", settings), self.folder / f"{name}.log"
        )

    def _seen(self, name: str, address: str) -> str:
        if self.network is None:
            return address
        return self.network.add_proxy(name, address)

    def _failure_domain(self, number: int) -> str:
        return f"fd-{(number - 1) % self.size.failure_domains + 1}"

    def _pids(self) -> list[tuple[str, int]]:
        return [(name, process.pid) for name, process in self.processes.items()]

    def _note_end(self, settings: StandInSettings) -> None:
        writer = EventWriter(
            Path(settings.events), settings.target_id, settings.incarnation, self.clock
        )
        writer.write("process_ended", detail="killed")
        writer.close()
