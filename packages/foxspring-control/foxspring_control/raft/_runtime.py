"""Carries out the effects of ``step`` with one group commit per batch."""

import logging
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from typing import Any

from foxspring_model import INVARIANT_CHECKS, Clock, Invariant

from foxspring_control._replication import LogEntry, ProposeOutcome, StateMachine
from foxspring_control.raft._appending import note_partly_sent
from foxspring_control.raft._compaction import (
    RunInBackground,
    SnapshotWriter,
    run_inline,
)
from foxspring_control.raft._events import (
    Accepted,
    Answer,
    AppendLog,
    Commit,
    Diagnosed,
    Effect,
    Event,
    Flush,
    InstallSnapshot,
    LeaderChanged,
    ReadReady,
    Received,
    Send,
    SendChunk,
    SendEntries,
    StoreChunk,
    StoreIdentity,
    Synced,
)
from foxspring_control.raft._frames import DamagedLogError
from foxspring_control.raft._full_disk import Intake
from foxspring_control.raft._messages import AppendEntries
from foxspring_control.raft._state import LOG_KIND_PREFIX, RaftState, Role
from foxspring_control.raft._status import (
    Counters,
    LeadershipChange,
    RaftStatus,
    build_status,
)
from foxspring_control.raft._step import step
from foxspring_control.raft._storage import Storage

_LOG = logging.getLogger(__name__)

APPLY_BATCH_BYTES = 1024 * 1024
# A leader whose thread has not run for that many heartbeats was stalled.
MISSED_HEARTBEATS = 2

SendMessage = Callable[[str, Any], object]
AnswerCallback = Callable[[ProposeOutcome], None]


class Runtime:
    """Connects the consensus state to storage, network and waiting callers.

    It has no thread of its own: the caller passes batches of events to
    :meth:`run_batch`. Disk errors are raised to that caller, which must not
    call it again afterwards. ``stage`` names the part of the batch in progress
    (``snapshot``, ``step``, ``write``, ``send`` or ``apply``), or is empty.
    """

    def __init__(
        self,
        state: RaftState,
        storage: Storage,
        state_machine: StateMachine,
        send: SendMessage,
        clock: Clock,
        on_leadership: Callable[[LeadershipChange], None],
        run_in_background: RunInBackground = run_inline,
    ) -> None:
        self.state = state
        self.storage = storage
        self.state_machine = state_machine
        self.send = send
        self.clock = clock
        self.on_leadership = on_leadership
        self.pending_callbacks: dict[int, AnswerCallback] = {}
        self.accepted_tokens: dict[int, int] = {}
        self.applied_index = 0
        self.stage = ""
        self.run_in_background = run_in_background
        self.snapshots = SnapshotWriter(
            state_machine, run_in_background, storage.record_snapshot
        )
        self.appended_at_begin = 0
        self.appended_at_snapshot = 0
        self.deletions: deque[Future[None]] = deque()
        self.last_batch_ms = 0
        self.intake = Intake(state, storage.reserve, self._answer)
        self.deferred: list[Effect] = []
        self._recover()

    def _recover(self) -> None:
        state = self.state
        snapshot = state.snapshot
        if snapshot and self.state_machine.applied_index() < snapshot.state_index:
            path = self.storage.snapshot_path(snapshot.snapshot_index)
            self.state_machine.install_snapshot(path)
        applied = self.state_machine.applied_index()
        if applied > state.log.last_index:
            raise DamagedLogError(
                f"the state machine holds entry {applied} but the log ends at "
                f"{state.log.last_index}; replace this member under a new id"
            )
        base = snapshot.snapshot_index if snapshot else 0
        self.applied_index = max(applied, base)
        state.commit_index = max(state.commit_index, self.applied_index)
        self._apply(state.commit_index)

    def run_batch(self, events: Iterable[Event], now_ms: int) -> None:
        """Process a batch of events: write and sync once, then send and answer."""
        begun_ms = self.clock.monotonic_ms()
        syncs = self.storage.log.sync_count
        self._allow_for_own_stall(now_ms)
        self.stage = "snapshot"
        effects = self._collect_snapshot(now_ms)
        self.stage = "step"
        accepted = self.intake.accepted(events, now_ms)
        effects += self.intake.step_down_if_full(now_ms)
        for event in accepted:
            self._check_event(event)
            effects += step(self.state, event, now_ms)[1]
        effects += step(self.state, Flush(), now_ms)[1]
        while effects:
            effects = self._execute_effects(effects, now_ms)
        self.stage = ""
        if self.storage.log.sync_count > syncs:
            self.state.note_sync(self.clock.monotonic_ms() - begun_ms)

    def _allow_for_own_stall(self, now_ms: int) -> None:
        """Let the followers of a leader answer what it sends after its own stall.

        They can't have answered what it did not send. After the longest election
        timeout they have surely begun an election.
        """
        state = self.state
        stalled_ms = now_ms - self.last_batch_ms
        self.last_batch_ms = now_ms
        longest_timeout_ms = 2 * state.settings.election_timeout_ms
        heartbeat_ms = state.settings.heartbeat_ms
        if MISSED_HEARTBEATS * heartbeat_ms < stalled_ms < longest_timeout_ms:
            state.leader_since_ms = now_ms

    def _execute_effects(self, effects: list[Effect], now_ms: int) -> list[Effect]:
        entries = [
            e
            for log_effect in effects
            if isinstance(log_effect, AppendLog)
            for e in log_effect.entries
        ]
        self.storage.log_cache.append(entries)
        # Entries go to followers before the local sync: the leader counts its own
        # copy only after the sync, so all members can write in parallel.
        self.stage = "send"
        for effect in effects:
            if isinstance(effect, SendEntries):
                self._send_entries(effect)
        self.stage = "write"
        self._persist(effects)
        self.stage = "send"
        # Replies go before applying, so that the sender doesn't wait for it.
        for effect in effects:
            if isinstance(effect, Send | SendChunk):
                self._send_message(effect)
        self.stage = "apply"
        for effect in effects:
            self._execute_or_defer(effect)
        self._begin_snapshot_if_due()
        if not entries or self.state.role is not Role.LEADER:
            return []
        synced = Synced(self.state.term, self.state.log.last_index)
        follow_up = step(self.state, synced, now_ms)[1]
        return follow_up + step(self.state, Flush(), now_ms)[1]

    def _persist(self, effects: list[Effect]) -> None:
        pending: list[LogEntry] = []
        for effect in effects:
            match effect:
                case AppendLog():
                    pending += effect.entries
                case StoreIdentity():
                    self.storage.renew_identity(effect.member_id)
                case StoreChunk():
                    self.storage.store_chunk(effect.chunk)
                case InstallSnapshot():
                    self._save(pending)
                    pending = []
                    self._install(effect)
                case _:
                    pass
        self._save(pending)

    def _save(self, entries: list[LogEntry]) -> None:
        state = self.state
        commit = state.commit_index
        if entries:
            self._check_no_applied_entry_replaced(entries[0].log_index)
        self.storage.save(state.term, state.voted_for, commit, entries)

    def _install(self, effect: InstallSnapshot) -> None:
        state = self.state
        self.snapshots.collect(self.clock.monotonic_ms(), wait=True)
        path = self.storage.accept_incoming(effect.snapshot)
        if effect.reset:
            self.storage.reset_log(state.term, state.voted_for, effect.snapshot)
        self._compact(effect.snapshot.snapshot_index)
        self.appended_at_snapshot = self.storage.log.appended_bytes
        if self.state_machine.applied_index() < effect.snapshot.state_index:
            self.state_machine.install_snapshot(path)
        self.applied_index = max(self.applied_index, effect.snapshot.snapshot_index)
        self._execute_deferred()

    def _check_event(self, event: Event) -> None:
        message = event.message if isinstance(event, Received) else None
        if not isinstance(message, AppendEntries):
            return
        state = self.state
        is_leading = state.role is Role.LEADER and message.term == state.term
        detail = f"term={message.term} leaders={state.member_id},{message.leader_id}"
        if not INVARIANT_CHECKS.check(
            Invariant.ONE_LEADER_A_TERM, not is_leading, detail
        ):
            raise DamagedLogError(
                f"two leaders in one term ({detail}); check that no two members "
                "share an id or a copied data folder"
            )

    def _check_no_applied_entry_replaced(self, first_replaced: int) -> None:
        holds = first_replaced > self.applied_index
        detail = f"replaced={first_replaced} applied={self.applied_index}"
        if not INVARIANT_CHECKS.check(Invariant.COMMITTED_STAYS, holds, detail):
            raise DamagedLogError(
                f"an applied entry would be replaced ({detail}); replace this "
                "member under a new id"
            )

    def _execute_or_defer(self, effect: Effect) -> None:
        must_wait = isinstance(effect, Commit | ReadReady | LeaderChanged)
        if must_wait and self.snapshots.is_writing():
            self.deferred.append(effect)
        else:
            self._execute_effect(effect)

    def _execute_deferred(self) -> None:
        deferred, self.deferred = self.deferred, []
        for effect in deferred:
            self._execute_effect(effect)

    def _execute_effect(self, effect: Effect) -> None:
        match effect:
            case Commit():
                self._apply(effect.commit_index)
            case Accepted():
                self.accepted_tokens[effect.log_index] = effect.token
            case Answer():
                self._answer(effect)
            case ReadReady():
                member = self.state.member_id
                self._complete(effect.token, ProposeOutcome("applied", member))
            case LeaderChanged():
                self._change_leader(effect)
            case Diagnosed():
                self._log_diagnostic(effect)
            case _:
                pass

    def _send_entries(self, effect: SendEntries) -> None:
        limit = self.state.settings.max_append_bytes
        entries = self.storage.read(effect.first_index, effect.last_index, limit)
        if entries and entries[-1].log_index < effect.last_index:
            note_partly_sent(self.state, effect, entries[-1].log_index)
        self.send(effect.address, effect.header._replace(entries=tuple(entries)))

    def _send_message(self, effect: Send | SendChunk) -> None:
        if isinstance(effect, SendChunk):
            self._send_chunk(effect)
        else:
            self.send(effect.address, effect.message)

    def _send_chunk(self, effect: SendChunk) -> None:
        header = effect.header
        size = self.state.settings.snapshot_chunk_bytes
        data = self.storage.read_chunk(header.snapshot_index, header.offset, size)
        self.send(effect.address, header._replace(data=data))

    def _apply(self, commit_index: int) -> None:
        while self.applied_index < commit_index:
            first = self.applied_index + 1
            entries = self.storage.read(first, commit_index, APPLY_BATCH_BYTES)
            if not entries or entries[0].log_index != first:
                raise DamagedLogError(
                    f"committed entry {first} can't be read back from the log; "
                    "replace this member under a new id"
                )
            self._apply_entries(entries)

    def _apply_entries(self, entries: list[LogEntry]) -> None:
        commands = [e for e in entries if not e.kind.startswith(LOG_KIND_PREFIX)]
        results = self.state_machine.apply(commands) if commands else []
        self.applied_index = entries[-1].log_index
        leader = self.state.leader_id
        for entry, result in zip(commands, results, strict=True):
            token = self.accepted_tokens.pop(entry.log_index, None)
            if token is not None:
                self._complete(token, ProposeOutcome("applied", leader, result))

    def _answer(self, effect: Answer) -> None:
        result = effect.reason.encode()
        outcome = ProposeOutcome(effect.status, effect.leader_id, result)
        self._complete(effect.token, outcome)

    def _complete(self, token: int, outcome: ProposeOutcome) -> None:
        on_done = self.pending_callbacks.pop(token, None)
        if on_done is None:
            return
        try:
            on_done(outcome)
        except Exception:
            _LOG.exception("event=callback_failed")

    def _change_leader(self, effect: LeaderChanged) -> None:
        if not effect.is_leader:
            self.fail_accepted(effect.leader_id)
        _LOG.info(
            "event=leader_changed member=%s is_leader=%s term=%d leader=%s",
            self.state.member_id,
            effect.is_leader,
            effect.term,
            effect.leader_id,
        )
        self.on_leadership(LeadershipChange(*effect))

    def fail_accepted(self, leader_id: str) -> None:
        """Answer ``unknown`` to every appended proposal that is not yet applied."""
        tokens = list(self.accepted_tokens.values())
        self.accepted_tokens.clear()
        for token in tokens:
            self._complete(token, ProposeOutcome("unknown", leader_id))

    def _log_diagnostic(self, effect: Diagnosed) -> None:
        member = self.state.member_id
        _LOG.warning("event=%s member=%s %s", effect.event, member, effect.detail)

    def _is_snapshot_due(self, index: int) -> bool:
        settings, snapshot = self.state.settings, self.state.snapshot
        last_index = snapshot.snapshot_index if snapshot else 0
        if index - last_index >= settings.snapshot_every_entries:
            return True
        last_bytes = snapshot.total if snapshot else 0
        due_bytes = max(settings.snapshot_min_bytes, last_bytes)
        if self.storage.reserve.is_missing():
            due_bytes = settings.reserve_bytes
        appended = self.storage.log.appended_bytes - self.appended_at_snapshot
        return appended >= due_bytes and index > last_index

    def _begin_snapshot_if_due(self) -> None:
        state = self.state
        index = self.applied_index
        may_begin = self.snapshots.may_begin(self.clock.monotonic_ms())
        if not may_begin or not self._is_snapshot_due(index):
            return
        if not state.leader_is_known():
            # A change of leader waits for a snapshot that is being written.
            return
        self.appended_at_begin = self.storage.log.appended_bytes
        term = state.log.term_at(index) or 0
        path = self.storage.snapshot_path(index)
        self.snapshots.begin(path, index, term, state.membership_at(index))

    def _collect_snapshot(self, now_ms: int) -> list[Effect]:
        """Take over what was finished in the background; return the effects."""
        self._collect_deletions()
        snapshot = self.snapshots.collect(now_ms)
        if self.deferred and not self.snapshots.is_writing():
            self._execute_deferred()
        if snapshot is None:
            return []
        self.appended_at_snapshot = self.appended_at_begin
        self.state.oldest_retainable = self.storage.log.first_index_of_newest(
            self.state.settings.retained_bytes
        )
        effects = step(self.state, snapshot, now_ms)[1]
        self._compact(snapshot.snapshot_index)
        return effects

    def _compact(self, snapshot_index: int) -> None:
        delete = self.storage.compaction(self.state.log.base_index, snapshot_index)
        self.deletions.append(self.run_in_background(delete))

    def _collect_deletions(self) -> None:
        while self.deletions and self.deletions[0].done():
            self.deletions.popleft().result()

    def status(self) -> RaftStatus:
        """Return the current status of the member."""
        log = self.storage.log
        counters = Counters(self.applied_index, log.sync_count, log.disk_bytes())
        return build_status(self.state, counters, self.clock.lease_check_ms())
