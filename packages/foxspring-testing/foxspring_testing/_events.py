"""Events that a stand-in target records of everything it runs, as JSON lines.

Each event is written unbuffered, so the file is complete even if the process is
killed. Times are milliseconds of the machine's monotonic clock, which all
processes share.
"""

import threading
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from foxspring_model import Clock


class RunEvent(NamedTuple):
    """One event on a target.

    ``kind`` is ``process_started``, ``process_ended``, ``leaving``,
    ``staying``, ``request_started``, ``request_ended``, ``task_started``,
    ``task_ended`` or ``task_acked`` (the system has committed the task's end).
    ``run`` numbers the runs of one process. ``detail`` is a request's nonce, a
    started task's service or an ended task's final state. ``work_ms`` is a
    task's progress and ``checkpoint_ms`` the part of it that is saved; ``slots``
    to ``accelerators`` are the resources that the run holds.
    """

    at_ms: int
    kind: str
    target_id: str
    incarnation: int
    run: int = 0
    task_id: str = ""
    epoch: int = 0
    request_id: str = ""
    key: str = ""
    detail: str = ""
    work_ms: int = 0
    checkpoint_ms: int = 0
    slots: int = 0
    memory_mb: int = 0
    cores_milli: int = 0
    accelerators: int = 0
    open_connections: int = 0


class EventWriter:
    """Appends events to a file; thread-safe."""

    def __init__(
        self, path: Path, target_id: str, incarnation: int, clock: Clock
    ) -> None:
        self.target_id = target_id
        self.incarnation = incarnation
        self._clock = clock
        self._lock = threading.Lock()
        self._runs = 0
        self._file = path.open("ab", buffering=0)

    def next_run(self) -> int:
        """Return a run number that is unique within this process."""
        with self._lock:
            self._runs += 1
            return self._runs

    def write(self, kind: str, at_ms: int = 0, **fields: Any) -> None:
        """Append one event, with the current time or the earlier time ``at_ms``.

        ``fields`` are the fields of :class:`RunEvent` after ``incarnation``.
        """
        with self._lock:
            event = RunEvent(
                at_ms or self._clock.monotonic_ms(),
                kind,
                self.target_id,
                self.incarnation,
                **fields,
            )
            self._file.write(msgspec.json.encode(event._asdict()) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_events(path: Path) -> list[RunEvent]:
    """Return the events of a file, ignoring an incomplete last line.

    Raises:
        ValueError: a line before the last one is not a valid event.
    """
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    return [RunEvent(**msgspec.json.decode(line)) for line in lines[:-1]]
