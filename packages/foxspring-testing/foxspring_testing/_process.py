"""A real process that a test starts, pauses and ends by its process id."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

_STOP_TIMEOUT_S = 30.0
_EXIT_TERMINATED = 143
_PACKAGES = Path(__file__).resolve().parents[2]


def package_path() -> str:
    """Return the PYTHONPATH that lets a child import this workspace's packages."""
    folders = sorted(_PACKAGES.glob("foxspring-*"))
    return os.pathsep.join(str(folder) for folder in folders)


def exit_on_sigterm() -> None:
    """Exit through an exception on SIGTERM, so that cleanup ends every child."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_EXIT_TERMINATED))


class ManagedProcess:
    """A Python module that runs as a process, with its output appended to ``log``.

    ``variables`` are added to the environment. Every started process has to be
    ended with :meth:`kill` or :meth:`stop`.
    """

    def __init__(
        self,
        name: str,
        arguments: tuple[str, ...],
        log: Path,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.variables = dict(variables or {})
        self.paused = False
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id, or 0 if the process is not running."""
        return self._child.pid if self._child is not None and self.alive() else 0

    def alive(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def exit_code(self) -> int | None:
        """Return the exit code, or None if the process has not ended."""
        return self._child.poll() if self._child is not None else None

    def start(self) -> None:
        """Start the process unless it is already running."""
        if self.alive():
            return
        environment = os.environ | {"PYTHONPATH": package_path()} | self.variables
        with self.log.open("ab") as output:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )

    def pause(self) -> None:
        """Suspend the process, like a frozen VM."""
        self.paused = True
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.paused = False
        self._send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process immediately, like the loss of its VM."""
        self._send_signal(signal.SIGKILL)
        self._wait()

    def begin_stop(self) -> None:
        """Request a planned stop without waiting for it."""
        if self.paused:
            self.resume()
        self._send_signal(signal.SIGTERM)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> bool:
        """Perform a planned stop; kill and return False after ``timeout_s``."""
        self.begin_stop()
        try:
            self._wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    def resident_kb(self) -> int:
        """Return the resident memory in KiB, or 0 if the process is not running."""
        status = Path(f"/proc/{self.pid}/status")
        if not self.alive() or not status.exists():
            return 0
        lines = status.read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._child is not None and self.alive():
            self._child.send_signal(signal_number)

    def _wait(self, timeout_s: float | None = None) -> None:
        if self._child is not None:
            self._child.wait(timeout_s)
