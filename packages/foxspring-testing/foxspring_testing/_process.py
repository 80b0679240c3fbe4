"""One real process that a test starts, pauses and ends by its pid."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

_STOP_LIMIT_S = 30.0
_EXIT_TERMINATED = 143
_PACKAGES = Path(__file__).resolve().parents[2]


def package_path() -> str:
    """Return the PYTHONPATH under which a child finds this same workspace."""
    folders = sorted(_PACKAGES.glob("foxspring-*"))
    return os.pathsep.join(str(folder) for folder in folders)


def exit_on_sigterm() -> None:
    """Leave by an exception on SIGTERM, so that every child is ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_EXIT_TERMINATED))


class ManagedProcess:
    """A Python module run as a process; its output goes to ``log``.

    ``variables`` are added to its environment. End every started process with
    :meth:`kill` or :meth:`stop`.
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
        """The process id, or 0 if it does not run."""
        return self._child.pid if self._child is not None and self.alive() else 0

    def alive(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def exit_code(self) -> int | None:
        """Return the exit code of a process that has ended."""
        return self._child.poll() if self._child is not None else None

    def start(self) -> None:
        """Start the process; one that runs already is left alone."""
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
        """Stop the process's clock ticks as a frozen VM would."""
        self.paused = True
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.paused = False
        self._send(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once, as a lost VM would."""
        self._send(signal.SIGKILL)
        self._wait()

    def begin_stop(self) -> None:
        """Ask for a planned stop and return at once."""
        if self.paused:
            self.resume()
        self._send(signal.SIGTERM)

    def stop(self, within_s: float = _STOP_LIMIT_S) -> bool:
        """Stop as planned; kill and return False if that takes too long."""
        self.begin_stop()
        try:
            self._wait(within_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    def resident_kb(self) -> int:
        """Return the resident memory in KiB, or 0 if it does not run."""
        status = Path(f"/proc/{self.pid}/status")
        if not self.alive() or not status.exists():
            return 0
        lines = status.read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    def _send(self, number: signal.Signals) -> None:
        if self._child is not None and self.alive():
            self._child.send_signal(number)

    def _wait(self, within_s: float | None = None) -> None:
        if self._child is not None:
            self._child.wait(within_s)
