"""A small group of control members in one process, and an entry's caller.

Messages are handed over in the process; each receiver has a thread for them. The
last lines of level warning and above are kept for each member and the entry, as a
record of an incident keeps them.
"""

import contextlib
import logging
import queue
import tempfile
import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, cast

from foxspring_link import SystemClock

from foxspring_jobs._caller import CallerSettings, ControlCaller
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import ControlMember, MemberSettings
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import CancelCall, ReadCall

KEPT_LINES = 5
ENTRY = "entry"
ELECTION_MS = 150
HEARTBEAT_MS = 40
CALLER_SETTINGS = CallerSettings(
    attempt_timeout_ms=60,
    retry_pause_ms=10,
    ping_interval_ms=100,
    ready_timeout_ms=500,
    leader_lost_ms=300,
    search_log_interval_ms=1_000,
)
READ = ReadCall("jobs.example", "/checks/00000000000000a1")
CANCEL = CancelCall("jobs.example", "/checks/00000000000000a1")
CALL_TIMEOUT_MS = 100
CALL_PAUSE_S = 0.004
WAIT_S = 20.0

Passes = Callable[[str, str, Any], bool]


def wait_until(condition: Callable[[], object], what: str) -> None:
    """Poll until a condition holds.

    Raises:
        AssertionError: it does not hold within ``WAIT_S``.
    """
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {WAIT_S} s: {what}")
        time.sleep(0.01)


class LineRecorder(logging.Handler):
    """Keeps the last lines of each process, known by the thread that logs."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.owners: dict[int, str] = {}
        self.lines: dict[str, deque[str]] = defaultdict(
            lambda: deque(maxlen=KEPT_LINES)
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line."""
        owner = self.owners.get(record.thread or 0)
        if owner is not None:
            self.lines[owner].append(record.getMessage())

    @contextlib.contextmanager
    def threads_of(self, owner: str) -> Iterator[None]:
        """Count the threads that are started meanwhile as those of ``owner``."""
        before = set(threading.enumerate())
        yield
        for thread in set(threading.enumerate()) - before:
            self.owners[thread.ident or 0] = owner


class SmallGroup:
    """Members ``a``, ``b``, ... and an entry; use it as a context manager.

    ``passes(sender, receiver, message)`` decides which messages arrive.
    """

    def __init__(self, names: str, passes: Passes = lambda *_: True) -> None:
        self.names = tuple(names)
        self.passes = passes
        self.recorder = LineRecorder()
        self.members: dict[str, ControlMember] = {}
        self.inboxes: dict[str, queue.SimpleQueue[Any]] = {}
        self.closing = threading.Event()
        self.fatal_errors: list[str] = []
        self.calls: dict[str, int] = defaultdict(int)
        self._resources = contextlib.ExitStack()
        folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._resources.enter_context(folder))
        logging.getLogger().addHandler(self.recorder)
        self._resources.callback(logging.getLogger().removeHandler, self.recorder)
        self.entry = ControlCaller(
            ENTRY,
            self.names,
            self._sender(ENTRY),
            SystemClock(),
            Metrics(),
            CALLER_SETTINGS,
        )

    def __enter__(self) -> "SmallGroup":
        for name in self.names:
            with self.recorder.threads_of(name):
                self.members[name] = self._make_member(name)
        return self

    def __exit__(self, *_: object) -> None:
        self.closing.set()
        self.entry.close()
        for member in self.members.values():
            member.stop()
        self._resources.close()

    def _make_member(self, name: str) -> ControlMember:
        settings = MemberSettings(
            link_address=name,
            data_folder=self.folder / name,
            failure_domain=f"fd-{name}",
            seeds=self.names,
            founding=True,
            leader=LeaderSettings(),
            election_timeout_ms=ELECTION_MS,
            heartbeat_ms=HEARTBEAT_MS,
            listen_address="127.0.0.1:0",
        )
        member = ControlMember(settings, b"", cast(Any, None), SystemClock())
        # The in-process messages replace those of the link.
        cast(Any, member.link).send = self._sender(name)
        member.caller.settings = CALLER_SETTINGS
        # A write that still waits at the stop fails; the process goes on.
        member.log.on_fatal = self.fatal_errors.append
        return member

    def start(self) -> None:
        """Start the members, the entry and the messages between them."""
        for name, member in self.members.items():
            with self.recorder.threads_of(name):
                self._start_inbox(name, cast(Any, member)._receive)
                member.start()
        with self.recorder.threads_of(ENTRY):
            receive = self.entry.receive
            self._start_inbox(ENTRY, lambda _sender, message: receive(message))
            self.entry.start()

    def stop_member(self, name: str) -> None:
        """Stop a member for good."""
        del self.inboxes[name]
        self.members.pop(name).stop()

    def leader(self) -> str:
        """Return the member whose service leads, or an empty string."""
        leading = [n for n, m in self.members.items() if m.service.leader is not None]
        return leading[0] if leading else ""

    def _sender(self, source: str) -> Callable[[str, Any], object]:
        def send(address: str, message: Any) -> None:
            inbox = self.inboxes.get(address)
            if inbox is not None and self.passes(source, address, message):
                inbox.put((source, message))

        return send

    def _start_inbox(self, name: str, receive: Callable[[str, Any], object]) -> None:
        inbox = self.inboxes[name] = queue.SimpleQueue()

        def deliver() -> None:
            while not self.closing.is_set():
                with contextlib.suppress(queue.Empty):
                    receive(*inbox.get(timeout=0.1))

        threading.Thread(target=deliver, daemon=True).start()

    def start_calls(self, operation: Any = READ) -> None:
        """Send calls to the entry and to each member's caller from now on."""
        callers = {ENTRY: self.entry}
        callers |= {name: member.caller for name, member in self.members.items()}
        for owner, caller in callers.items():
            with self.recorder.threads_of(owner):
                call = self._calling(owner, caller, operation)
                threading.Thread(target=call, daemon=True).start()

    def _calling(
        self, owner: str, caller: ControlCaller, operation: Any
    ) -> Callable[[], None]:
        def call() -> None:
            while not self.closing.is_set():
                caller.call(operation, CALL_TIMEOUT_MS)
                self.calls[owner] += 1
                time.sleep(CALL_PAUSE_S)

        return call

    def last_lines(self, owner: str) -> str:
        """Return the last lines of the entry or a member."""
        return "\n".join(self.recorder.lines[owner])
