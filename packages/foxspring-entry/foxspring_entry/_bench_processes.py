"""Child processes of the benchmark: entries and targets."""

import multiprocessing
import resource
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from types import SimpleNamespace
from typing import Any, cast

from foxspring_link import SystemClock
from foxspring_model import Configuration, Service

from foxspring_entry._entry import Entry
from foxspring_entry._http import HttpRequest, HttpResponse
from foxspring_entry.tests import builders
from foxspring_entry.tests.fake_target import FakeTarget

_KB_PER_MB = 1_024
_SPAWN = multiprocessing.get_context("spawn")
_JOIN_S = 10


class ChildProcess:
    """A child process that replies to commands over a pipe."""

    def __init__(self, main: Callable[..., None], *arguments: Any) -> None:
        self.pipe, child_pipe = _SPAWN.Pipe()
        self._process = _SPAWN.Process(target=main, args=(child_pipe, *arguments))
        self._process.start()
        self.address: str = self.pipe.recv()

    def query(self, command: str) -> Any:
        """Send a command and return the reply."""
        self.pipe.send(command)
        return self.pipe.recv()

    def stop(self) -> None:
        """Stop the process."""
        self.pipe.send("stop")
        self._process.join(_JOIN_S)
        if self._process.is_alive():
            self._process.kill()


def entry_main(pipe: Connection, entry_id: str, control_address: str) -> None:
    """Run one entry; replies to ``memory`` with its resident megabytes."""
    settings = builders.settings(entry_id, control_address, worker_threads=96)
    entry = Entry(
        settings, SystemClock(), builders.codec(), lambda text: configuration()
    )
    entry.start()
    pipe.send(entry.http_address)
    while (command := pipe.recv()) != "stop":
        pipe.send(_resident_mb() if command == "memory" else entry.status())
    entry.close()


def targets_main(
    pipe: Connection, names: tuple[str, ...], entry_address: str, work_ms: int
) -> None:
    """Run targets whose requests take ``work_ms``."""
    entry = cast(
        Entry, SimpleNamespace(http_address=entry_address, is_live=lambda: True)
    )

    def work(_request: HttpRequest) -> HttpResponse:
        time.sleep(work_ms / 1_000)
        return HttpResponse(200, b"x" * 200)

    targets = [FakeTarget(name, [entry]) for name in names]
    for target in targets:
        target.work = work
    pipe.send(",".join(target.address for target in targets))
    while pipe.recv() != "stop":
        pipe.send(max(target.most_running for target in targets))
    for target in targets:
        target.close()


def configuration() -> Configuration:
    """Return the configuration of the benchmark."""
    service = Service("register", "pipes", timeout_ms=5_000, queue_limit=64)
    return Configuration(services=(service,), revision=1)


def _resident_mb() -> float:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / _KB_PER_MB / _KB_PER_MB
