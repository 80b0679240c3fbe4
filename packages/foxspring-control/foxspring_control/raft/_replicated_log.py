"""The public interface of the replicated log, with the thread that runs it."""

import itertools
import logging
import os
import queue
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from foxspring_model import Clock

from foxspring_control._replication import (
    ProposeCallback,
    ProposeOutcome,
    StateMachine,
)
from foxspring_control.raft._events import (
    AddMember,
    Event,
    Propose,
    ReadBarrier,
    Received,
    RemoveMember,
    RenewIdentity,
    Tick,
    Transfer,
)
from foxspring_control.raft._frames import DamagedLogError
from foxspring_control.raft._full_disk import body_bytes
from foxspring_control.raft._messages import Membership
from foxspring_control.raft._runtime import Runtime, SendMessage
from foxspring_control.raft._segments import Sync
from foxspring_control.raft._settings import Member, RaftSettings
from foxspring_control.raft._state import RaftState
from foxspring_control.raft._status import LeadershipChange, RaftStatus
from foxspring_control.raft._step import next_due_ms
from foxspring_control.raft._storage import Storage

_LOG = logging.getLogger(__name__)

MAX_BATCH_EVENTS = 512
# With one large entry more it must fit in the reserve of a full disk.
MAX_BATCH_BYTES = 1024 * 1024
MAX_WAIT_MS = 1_000
MAX_BODY_BYTES = 16 * 1024 * 1024
EXIT_STORAGE_FAILED = 74


def exit_process(reason: str) -> None:
    """Log ``reason`` and exit at once, because the stored data is unreliable."""
    _LOG.critical("event=storage_failed action=exit reason=%r", reason)
    logging.shutdown()
    os._exit(EXIT_STORAGE_FAILED)


class ReplicatedLog:
    """One member of the replicated log.

    ``send(address, message)`` must not block. ``on_leadership`` and the
    ``on_done`` callbacks run on the log's own thread and must not block; they
    may call :meth:`propose`. A request made while ``max_pending`` callers wait,
    or after :meth:`close`, is answered ``not_leader`` on the calling thread.
    ``on_fatal(reason)`` is called when the disk fails or the log's thread ends
    with an error; the default ends the process.
    """

    def __init__(
        self,
        settings: RaftSettings,
        state_machine: StateMachine,
        send: SendMessage,
        clock: Clock,
        on_leadership: Callable[[LeadershipChange], None],
        on_fatal: Callable[[str], None] = exit_process,
        sync: Sync = os.fdatasync,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.on_fatal = on_fatal
        self._state_machine = state_machine
        self._send = send
        self._on_leadership = on_leadership
        self._storage = Storage(
            settings.data_folder,
            settings.member_id,
            settings.segment_bytes,
            settings.log_cache_bytes,
            sync,
            reserve_bytes=settings.reserve_bytes,
        )
        self._inbox: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self._held_proposals: deque[Propose] = deque()
        self._tokens = itertools.count(1)
        self._pending_callbacks: dict[int, ProposeCallback] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._runtime: Runtime | None = None
        self._batch_began_ms: int | None = None
        self._snapshot_executor = ThreadPoolExecutor(
            1, f"raft-snapshot-{settings.member_id}"
        )
        self._thread = threading.Thread(
            target=self._run, name=f"raft-{settings.member_id}", daemon=True
        )

    @property
    def member_id(self) -> str:
        """Return the id of this member."""
        if self._runtime is None:
            return self.settings.member_id
        return self._runtime.state.member_id

    def is_started(self) -> bool:
        """Return whether :meth:`start` has read the data folder."""
        return self._runtime is not None

    def start(self) -> None:
        """Read the data folder and join the group.

        Raises:
            WrongMemberError: the folder belongs to another member or is in use.
            DamagedLogError: synced data is missing or damaged.
            OSError: the folder can't be read or written.
        """
        stored = self._storage.open()
        state = RaftState(self.settings, stored, self.clock.monotonic_ms())
        runtime = Runtime(
            state,
            self._storage,
            self._state_machine,
            self._send,
            self.clock,
            self._on_leadership,
            self._run_in_background,
        )
        runtime.pending_callbacks = self._pending_callbacks
        self._runtime = runtime
        # Starts the thread now: a busy system can take long to start one.
        self._snapshot_executor.submit(int)
        self._thread.start()

    def close(self) -> None:
        """Stop taking part, answer all waiting callers and close the files.

        Call :meth:`transfer_leadership` first for a planned stop.
        """
        with self._lock:
            if self._closed:
                return
            self._closed = True
        self._storage.retrier.stop_retrying()
        self._inbox.put(None)
        if self._thread.is_alive() and threading.current_thread() != self._thread:
            self._thread.join()
        self._snapshot_executor.shutdown()
        self._storage.close()

    def receive(self, sender_address: str, message: Any) -> None:
        """Queue a message from another member; never blocks."""
        self._inbox.put(Received(sender_address, message))

    def propose(self, kind: str, body: bytes, on_done: ProposeCallback) -> None:
        """Append an entry and call ``on_done`` once its outcome is known.

        ``applied`` means that it was applied on this member. If ``max_pending``
        callers wait already, the outcome is ``not_leader``; retry later.

        Raises:
            ValueError: ``body`` is larger than ``MAX_BODY_BYTES``.
        """
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(
                f"the {kind} of {len(body)} bytes exceeds {MAX_BODY_BYTES}; "
                "split it into several commands"
            )
        at_ms = self.clock.wall_ms()
        self._submit(on_done, lambda token: Propose(token, kind, body, at_ms))

    def read_barrier(self, on_done: Callable[[ProposeOutcome], None]) -> None:
        """Call back with ``applied`` once a local read sees every earlier write.

        The outcome is ``not_leader`` at once unless this member leads under a
        valid lease.
        """
        self._submit(on_done, ReadBarrier)

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Add a member as a learner that is promoted once it has caught up.

        ``on_done`` is called once the change is committed; :meth:`status` shows
        when the member becomes a voter. ``rejected`` carries the reason as text
        in ``result``.
        """
        at_ms = self.clock.wall_ms()
        self._submit(on_done, lambda token: AddMember(token, member, at_ms))

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Remove a member permanently; ``rejected`` as for :meth:`add_member`."""
        at_ms = self.clock.wall_ms()
        self._submit(on_done, lambda token: RemoveMember(token, member_id, at_ms))

    def transfer_leadership(self, on_done: ProposeCallback) -> None:
        """Transfer leadership to another voter, before a planned stop.

        With ``applied``, ``leader_id`` is the new leader.
        """
        self._submit(on_done, Transfer)

    def renew_identity(self, member_id: str) -> None:
        """Take part under a new id, if this member refuses because it lost its data.

        :meth:`status` shows the refusal; the member has to be added under the new id.
        """
        self._inbox.put(RenewIdentity(member_id))

    def status(self) -> RaftStatus:
        """Return the status of this member.

        Raises:
            RuntimeError: the log was not started.
        """
        if self._runtime is None:
            raise RuntimeError("call start() before status()")
        return self._runtime.status()

    def stalled_ms(self) -> int:
        """Return how long the log's thread has been in its batch, 0 between them."""
        began_ms = self._batch_began_ms
        return 0 if began_ms is None else self.clock.monotonic_ms() - began_ms

    def waiting_for(self) -> str:
        """Return what the log's thread is doing, or an empty string between batches.

        One of ``snapshot``, ``step``, ``write``, ``send`` and ``apply``; while a
        write waits for space, ``disk_space:`` and the name of the write.
        """
        operation = self._storage.retrier.waiting_operation
        if operation:
            return f"disk_space:{operation}"
        return self._runtime.stage if self._runtime is not None else ""

    def lease_valid(self) -> bool:
        """Return whether this member leads under a valid leader lease."""
        if self._runtime is None:
            return False
        state = self._runtime.state
        return state.leadership_announced and state.lease_valid(
            self.clock.lease_check_ms()
        )

    def membership(self) -> Membership:
        """Return the latest membership in this member's log, empty before start."""
        if self._runtime is None:
            return Membership()
        return self._runtime.state.membership

    def _submit(self, on_done: ProposeCallback, event: Callable[[int], Event]) -> None:
        token = next(self._tokens)
        with self._lock:
            queue_full = len(self._pending_callbacks) >= self.settings.max_pending
            refused = self._closed or queue_full
            if not refused:
                self._pending_callbacks[token] = on_done
                self._inbox.put(event(token))
        if refused:
            on_done(ProposeOutcome("not_leader"))

    def _run_in_background(self, work: Callable[[], Any]) -> "Future[Any]":
        future = self._snapshot_executor.submit(work)
        future.add_done_callback(lambda done: self._inbox.put(Tick()))
        return future

    def _run(self) -> None:
        runtime = self._runtime
        if runtime is None:
            return
        try:
            self._serve(runtime)
        except (OSError, DamagedLogError) as error:
            self.on_fatal(f"{type(error).__name__}: {error}")
        except Exception as error:
            _LOG.exception("event=raft_failed member=%s", self.settings.member_id)
            self.on_fatal(f"{type(error).__name__}: {error}")
        self._fail_pending_callbacks()

    def _serve(self, runtime: Runtime) -> None:
        while True:
            events = self._next_batch(runtime)
            if events is None:
                return
            now_ms = self.clock.lease_check_ms()
            self._batch_began_ms = now_ms
            runtime.run_batch(events, now_ms)
            self._batch_began_ms = None

    def _next_batch(self, runtime: Runtime) -> list[Event] | None:
        """Wait for events and return them, ``None`` once the log is closed.

        Proposals over ``MAX_BATCH_BYTES`` are held for the next batch, but no
        message is: a leader has to read what its followers have answered.
        """
        events, batch_bytes = self._take_held()
        wait_ms = next_due_ms(runtime.state) - self.clock.monotonic_ms()
        wait_s = min(max(wait_ms, 1), MAX_WAIT_MS) / 1_000
        try:
            event = self._inbox.get(timeout=0 if events else wait_s)
            while event is not None:
                if isinstance(event, Propose) and (
                    self._held_proposals or batch_bytes >= MAX_BATCH_BYTES
                ):
                    self._held_proposals.append(event)
                else:
                    events.append(event)
                    batch_bytes += body_bytes(event)
                if len(events) >= MAX_BATCH_EVENTS or self._inbox.empty():
                    break
                event = self._inbox.get()
            if event is None:
                return None
        except queue.Empty:
            pass
        return [*events, Tick()]

    def _take_held(self) -> tuple[list[Event], int]:
        """Return the proposals held by earlier batches, up to the limits of one."""
        events: list[Event] = []
        taken_bytes = 0
        while (
            self._held_proposals
            and taken_bytes < MAX_BATCH_BYTES
            and len(events) < MAX_BATCH_EVENTS
        ):
            event = self._held_proposals.popleft()
            events.append(event)
            taken_bytes += len(event.body)
        return events, taken_bytes

    def _fail_pending_callbacks(self) -> None:
        with self._lock:
            self._closed = True
            pending_callbacks = list(self._pending_callbacks.values())
            self._pending_callbacks.clear()
        for on_done in pending_callbacks:
            on_done(ProposeOutcome("unknown"))
