"""A whole site of real processes on loopback, for tests and the demo."""

import atexit
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec
import urllib3
from foxspring_link import SystemClock

from foxspring_testing._clients import CallerClient, OperatorClient
from foxspring_testing._events import EventWriter, RunEvent, read_events
from foxspring_testing._fault_network import FaultNetwork
from foxspring_testing._operator_views import owned_targets
from foxspring_testing._ports import PortChooser
from foxspring_testing._process import ManagedProcess
from foxspring_testing._site_settings import (
    OPERATOR_TOKEN,
    TARGET_TOKEN,
    DaemonAddresses,
    SiteSize,
    write_daemon_settings,
)
from foxspring_testing._socket_owner import is_listening, owner_finder
from foxspring_testing._standin_settings import (
    StandInSettings,
    write_standin_settings,
)
from foxspring_testing._wait import NotReachedError, wait_until

_MAX_STARTS = 4
_READY_TIMEOUT_S = 40.0


class Site:
    """Starts, disrupts and ends the processes of a site; a context manager.

    Processes are named ``control-1``, ``entry-1``, ``target-1`` and so on. All
    of them are killed on leaving the ``with`` block and at interpreter exit.
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
        self._add_processes()

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
        """Kill every process."""
        self.close()

    def start_all(self) -> None:
        """Start every process and wait until the entries are ready."""
        for name in self.processes:
            self.start(name)
        self.wait_ready()

    def close(self) -> None:
        """Kill every process, stop the fault network and release the ports."""
        for process in self.processes.values():
            process.kill()
        if self.network is not None:
            self.network.stop()
            self.network = None
        self._ports.close()
        atexit.unregister(self.close)

    def start(self, name: str) -> None:
        """Start one process; a target starts as its next incarnation."""
        process = self.processes[name]
        if name in self.targets and not process.alive():
            settings = self.targets[name]
            settings = settings._replace(incarnation=settings.incarnation + 1)
            self.targets[name] = settings
            write_standin_settings(self.folder / f"{name}.ini", settings)
        process.start()

    def kill(self, name: str) -> None:
        """Kill one process immediately."""
        self.processes[name].kill()
        if name in self.targets:
            self._record_process_end(self.targets[name])

    def restart(self, name: str) -> None:
        """Kill one process and start it again."""
        self.kill(name)
        self.start(name)

    def stop(self, name: str) -> bool:
        """Perform a planned stop; return whether the process ended by itself."""
        return self.processes[name].stop()

    def pause(self, name: str) -> None:
        """Pause one process."""
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.processes[name].resume()

    def names(self, role: str) -> list[str]:
        """Return the names of the processes of a role: control, entry or target."""
        return [name for name in self.processes if name.startswith(f"{role}-")]

    def entry_addresses(self) -> list[str]:
        """Return the HTTP addresses of the entries for callers and operators."""
        return [self.daemons[name].http for name in self.names("entry")]

    def operator(self, token: str = OPERATOR_TOKEN) -> OperatorClient:
        """Return a client of the operators' API."""
        return OperatorClient(self.entry_addresses(), token)

    def caller(self) -> CallerClient:
        """Return a client of the callers' API."""
        return CallerClient(self.clock.monotonic_ms)

    def set_behaviour(self, target: str, **fields: Any) -> None:
        """Set a stand-in target's behaviour.

        ``fields`` are fields of :class:`Behaviour`; all others return to their
        defaults. A target that has ended is started again.

        Raises:
            NotReachedError: the stand-in did not answer in time.
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
        """Return the recorded events of all targets."""
        paths = sorted({settings.events for settings in self.targets.values()})
        return [event for path in paths for event in read_events(Path(path))]

    def entry_ready(self, name: str) -> bool:
        """Return whether an entry reports that it is ready."""
        url = f"http://{self.daemons[name].http}/readyz"
        try:
            return self._pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Wait until every running process listens and every entry is ready.

        A process that has ended, for example because another process took its
        port, is restarted a limited number of times.

        Raises:
            NotReachedError: the site was not ready within ``timeout_s`` seconds, or
                a process ended after each of its starts; the message has the last
                line of its log.
        """
        starts = dict.fromkeys(self.processes, 1)

        def ready() -> bool:
            for name in self._ended():
                if starts[name] == _MAX_STARTS:
                    raise NotReachedError(self._describe_end(name))
                starts[name] += 1
                self.start(name)
            running = [n for n, process in self.processes.items() if process.alive()]
            entries = [name for name in self.names("entry") if name in running]
            return (
                bool(entries)
                and all(self.entry_ready(name) for name in entries)
                and all(self._listens(name) for name in running)
            )

        wait_until(ready, f"a ready site; logs are in {self.folder}", timeout_s)

    def wait_targets_owned(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Wait until every running target has an owning entry.

        Raises:
            NotReachedError: this took longer than ``timeout_s`` seconds.
        """
        running = {name for name in self.targets if self.processes[name].alive()}
        wait_until(
            lambda: running <= owned_targets(self.operator()).keys(),
            f"owners of {sorted(running)}; logs are in {self.folder}",
            timeout_s,
        )

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return self.processes[name].log.read_text(errors="replace")

    def _ended(self) -> list[str]:
        processes = self.processes.items()
        return [name for name, each in processes if each.exit_code() is not None]

    def _describe_end(self, name: str) -> str:
        lines = self.log(name).splitlines() or ["its log is empty"]
        return (
            f"{name} ended after each of {_MAX_STARTS} starts, last with exit code "
            f"{self.processes[name].exit_code()}: {lines[-1]}"
        )

    def _listens(self, name: str) -> bool:
        pid = self.processes[name].pid
        return all(is_listening(pid, each) for each in self._listen_addresses(name))

    def _listen_addresses(self, name: str) -> list[str]:
        if name in self.targets:
            target = self.targets[name]
            return [target.address, target.control_address]
        daemon = self.daemons[name]
        return [daemon.link, daemon.http] if daemon.http else [daemon.link]

    def _add_processes(self) -> None:
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
            self._advertised_address(name, link),
            http,
            self._advertised_address(name, http) if http else "",
        )

    def _add_target(self, number: int) -> None:
        name = f"target-{number}"
        address = self._ports.free_address()
        entries = [self.daemons[entry].http_advertised for entry in self.names("entry")]
        self.targets[name] = StandInSettings(
            target_id=name,
            address=address,
            control_address=self._ports.free_address(),
            entries=" ".join(entries),
            token=TARGET_TOKEN,
            events=str(self.folder / f"{name}.events"),
            incarnation=0,
            advertised_address=self._advertised_address(name, address),
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

    def _advertised_address(self, name: str, address: str) -> str:
        if self.network is None:
            return address
        return self.network.add_proxy(name, address)

    def _failure_domain(self, number: int) -> str:
        return f"fd-{(number - 1) % self.size.failure_domains + 1}"

    def _pids(self) -> list[tuple[str, int]]:
        return [(name, process.pid) for name, process in self.processes.items()]

    def _record_process_end(self, settings: StandInSettings) -> None:
        writer = EventWriter(
            Path(settings.events), settings.target_id, settings.incarnation, self.clock
        )
        writer.write("process_ended", detail="killed")
        writer.close()
