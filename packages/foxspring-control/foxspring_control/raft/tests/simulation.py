"""A group of members in simulated time, with network and disk faults.

Each member runs the real runtime on real files, without a thread. A crash loses
data that was not synced and leaves a torn end. The safety invariants are checked
after each step.
"""

import contextlib
import itertools
import random
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from foxspring_control._replication import LogEntry, ProposeOutcome
from foxspring_control.raft import DamagedLogError, LeadershipChange, Member, Membership
from foxspring_control.raft._events import (
    AddMember,
    Event,
    Propose,
    ReadBarrier,
    Received,
    RemoveMember,
    Tick,
    Transfer,
)
from foxspring_control.raft._runtime import Runtime
from foxspring_control.raft._state import RaftState, Role
from foxspring_control.raft._step import next_due_ms
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.builders import members, settings
from foxspring_control.raft.tests.simulated_network import (
    DEFAULT_FAULTS,
    Delivery,
    NetworkFaults,
    SimulatedNetwork,
)
from foxspring_control.raft.tests.simulated_node import (
    CheckedStateMachine,
    InjectedCrashError,
    SimulatedClock,
    SimulatedDisk,
    SimulatedNode,
    SimulatedStateMachine,
)

TokenEvent = AddMember | RemoveMember | ReadBarrier | Transfer


class InvariantViolationError(AssertionError):
    """A safety invariant of the replicated log was violated."""


class Simulation:
    """A group of members ``m1`` to ``mN``; use it as a context manager."""

    def __init__(
        self,
        count: int = 3,
        seed: int = 0,
        network: NetworkFaults = DEFAULT_FAULTS,
        snapshot_every: int = 40,
        rates: tuple[int, ...] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.network = SimulatedNetwork(self.rng, network)
        self.snapshot_every = snapshot_every
        self.now_ms = 0
        self.steps = 0
        self.nodes: dict[str, SimulatedNode] = {}
        self.leader_of_term: dict[int, str] = {}
        self.committed: dict[int, tuple[int, str, bytes]] = {}
        self.acked: dict[bytes, int] = {}
        self.never_appended: set[bytes] = set()
        self.tokens = itertools.count(1)
        self.proposed = 0
        self._resources = contextlib.ExitStack()
        folder = tempfile.TemporaryDirectory()
        self._folder = Path(self._resources.enter_context(folder))
        for module in ("_segments", "_storage"):
            name = f"foxspring_control.raft.{module}.sync_folder"
            self._resources.enter_context(mock.patch(name))
        initial_members = members(count)
        for position, member in enumerate(initial_members):
            rate = rates[position] if position < len(rates) else 100
            self.add_node(member, initial_members, rate)

    def __enter__(self) -> "Simulation":
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if node.storage is not None:
                node.storage.close()
        self._resources.close()

    def add_node(
        self, member: Member, initial_members: tuple[Member, ...], rate: int = 100
    ) -> SimulatedNode:
        folder = self._folder / member.member_id
        node = SimulatedNode(
            member, SimulatedDisk(folder), SimulatedClock(lambda: self.now_ms, rate)
        )
        node.initial_members = initial_members
        self.nodes[member.member_id] = node
        self.restart(member.member_id)
        return node

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        if node.runtime is not None:
            return
        values = settings(
            name, node.disk.folder, node.initial_members, self.snapshot_every, self.seed
        )
        storage = Storage(
            node.disk.folder, name, 4_096, values.log_cache_bytes, node.disk.sync
        )
        node.storage = storage
        try:
            stored = storage.open()
        except InjectedCrashError:
            self.crash(name)
            return
        state = RaftState(values, stored, node.clock.monotonic_ms())
        node.disk.record_sizes()
        node.runtime = Runtime(
            state,
            storage,
            CheckedStateMachine(self.check_applied, node.state_machine),
            lambda address, message: self.send(name, address, message),
            node.clock,
            lambda change: self.on_leadership(name, change),
            lambda work: node.run_in_background(
                work, self.now_ms + self.rng.randint(0, 99)
            ),
        )
        self._schedule_tick(node)

    def crash(self, name: str) -> None:
        node = self.nodes[name]
        if node.storage is not None:
            node.storage.close()
        node.storage = None
        node.runtime = None
        node.paused_inbox = None
        node.writing = None
        node.state_machine.crash()
        node.disk.lose_unsynced(self.rng)

    def wipe(self, name: str) -> None:
        """Crash a member and empty its disk; it keeps its id."""
        self.crash(name)
        node = self.nodes[name]
        for path in node.disk.folder.iterdir():
            path.unlink()
        node.disk.synced.clear()
        node.state_machine = SimulatedStateMachine()

    def pause(self, name: str) -> None:
        node = self.nodes[name]
        if node.paused_inbox is None:
            node.paused_inbox = []

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        inbox, node.paused_inbox = node.paused_inbox, None
        if inbox is not None:
            self.feed(name, *inbox, Tick())

    def isolate(self, name: str, inbound: bool = True, outbound: bool = True) -> None:
        self.network.isolate(name, list(self.nodes), inbound, outbound)

    def clear_faults(self) -> None:
        self.network.blocked.clear()

    def submit(self, name: str, event: TokenEvent) -> list[ProposeOutcome]:
        """Process an event with a token; its outcome is added to the returned list."""
        outcomes: list[ProposeOutcome] = []
        runtime = self.nodes[name].runtime
        if runtime is not None:
            runtime.pending_callbacks[event.token] = outcomes.append
            self.feed(name, event)
        return outcomes

    def propose(self, name: str) -> bytes:
        self.proposed += 1
        body = f"change {self.proposed}".encode()
        runtime = self.nodes[name].runtime
        if runtime is None:
            return body
        token = next(self.tokens)
        runtime.pending_callbacks[token] = lambda outcome: self._record_outcome(
            body, outcome
        )
        self.feed(name, Propose(token, "Test", body, 0))
        return body

    def _record_outcome(self, body: bytes, outcome: ProposeOutcome) -> None:
        if outcome.status == "applied":
            self.acked[body] = self.now_ms
        if outcome.status == "not_leader":
            self.never_appended.add(body)

    def read(self, name: str) -> bool:
        """Read under the lease and check that the read is not stale."""
        outcomes = self.submit(name, ReadBarrier(next(self.tokens)))
        if not outcomes or outcomes[0].status != "applied":
            return False
        missing = set(self.acked) - set(self.nodes[name].state_machine.bodies)
        self._require(not missing, f"a read at {name} misses {sorted(missing)[:3]}")
        return True

    def add_member(self, name: str, member: Member) -> list[ProposeOutcome]:
        return self.submit(name, AddMember(next(self.tokens), member, 0))

    def remove_member(self, name: str, removed_id: str) -> list[ProposeOutcome]:
        return self.submit(name, RemoveMember(next(self.tokens), removed_id, 0))

    def replace(self, removed_id: str, added_id: str) -> None:
        """Empty a member's disk and replace it by a new member."""
        self.recover()
        self.commit()
        self.wipe(removed_id)
        member = Member(added_id, added_id)
        self.add_node(member, ())
        self._change(
            lambda leader: self.add_member(leader, member),
            lambda: added_id in self.member_ids(),
        )
        self.run(self.rng.randint(0, 1_000))
        self.recover()
        self._change(
            lambda leader: self.remove_member(leader, removed_id),
            lambda: removed_id not in self.member_ids(),
        )
        self.run_until(lambda: added_id in self.voter_ids())
        self.crash(removed_id)
        del self.nodes[removed_id]

    def _change(self, change: Any, done: Any) -> None:
        end_ms = self.now_ms + 60_000
        while not done():
            self._require(self.now_ms < end_ms, "a member change was not completed")
            change(self.elect())
            self.run(300)

    def transfer(self, name: str) -> list[ProposeOutcome]:
        return self.submit(name, Transfer(next(self.tokens)))

    def send(self, source: str, target: str, message: Any) -> None:
        if source in self.nodes and target in self.nodes:
            self.network.send(self.now_ms, source, target, message)

    def _schedule_tick(self, node: SimulatedNode) -> None:
        if node.runtime is None:
            return
        local_wait_ms = next_due_ms(node.runtime.state) - node.clock.monotonic_ms()
        wait_ms = max(1, local_wait_ms * 100 // node.clock.rate_percent + 1)
        node.next_tick_ms = self.now_ms + wait_ms
        self.network.push(node.next_tick_ms, "", node.member.member_id, Tick())

    def run(self, duration_ms: int) -> None:
        """Advance simulated time by ``duration_ms``."""
        end_ms = self.now_ms + duration_ms
        while delivery := self.network.pop_due(end_ms):
            self.now_ms = max(self.now_ms, delivery.at_ms)
            self._deliver(delivery)
        self.now_ms = end_ms

    def run_until(self, condition: Any, limit_ms: int = 30_000) -> None:
        """Advance time until ``condition()`` holds; fail after ``limit_ms``."""
        end_ms = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end_ms, f"not within {limit_ms} ms of simulated time"
            self.run(10)

    def _deliver(self, delivery: Delivery) -> None:
        node = self.nodes.get(delivery.target)
        if node is None:
            return
        if isinstance(delivery.message, Tick):
            if delivery.at_ms == node.next_tick_ms:
                self.feed(delivery.target, Tick())
        elif (delivery.source, delivery.target) not in self.network.blocked:
            event = Received(delivery.source, delivery.message)
            self.feed(delivery.target, event)

    def feed(self, name: str, *events: Event) -> None:
        node = self.nodes[name]
        if node.paused_inbox is not None:
            node.paused_inbox.extend(events)
            return
        if node.runtime is None:
            return
        self.steps += 1
        node.finish_writing_if_due(self.now_ms)
        try:
            node.runtime.run_batch(events, node.clock.monotonic_ms())
        except (InjectedCrashError, OSError):
            self.crash(name)
        except DamagedLogError as error:
            raise InvariantViolationError(f"at {self.now_ms} ms: {error}") from error
        self.check()
        if node.runtime is not None and node.paused_inbox is None:
            self._schedule_tick(node)

    def on_leadership(self, name: str, change: LeadershipChange) -> None:
        if change.is_leader:
            self._record_leader(name, change.term)

    def _record_leader(self, name: str, term: int) -> None:
        recorded = self.leader_of_term.setdefault(term, name)
        self._require(recorded == name, f"{recorded} and {name} lead in term {term}")

    def check(self) -> None:
        """Check for one leader per term and one lease at a time."""
        leases = []
        for name, node in self.nodes.items():
            if node.runtime is None:
                continue
            state = node.runtime.state
            if state.role is Role.LEADER:
                self._record_leader(name, state.term)
            if state.leadership_announced and state.lease_valid(
                node.clock.monotonic_ms()
            ):
                leases.append(name)
        self._require(len(leases) <= 1, f"{leases} hold a lease at once")

    def check_applied(self, entry: LogEntry) -> None:
        content = (entry.term, entry.kind, entry.body)
        recorded = self.committed.setdefault(entry.log_index, content)
        self._require(
            recorded == content, f"entry {entry.log_index}: {recorded} and {content}"
        )
        self._require(
            entry.body not in self.never_appended,
            f"{entry.body!r} was answered not_leader but applied",
        )

    def _require(self, holds: bool, detail: str) -> None:
        if not holds:
            raise InvariantViolationError(f"at {self.now_ms} ms: {detail}")

    def leader(self) -> str:
        """Return the announced leader with a valid lease, or an empty string."""
        for name, node in self.nodes.items():
            state = node.runtime.state if node.runtime else None
            if state is None or node.paused_inbox is not None:
                continue
            if state.leadership_announced and state.lease_valid(
                node.clock.monotonic_ms()
            ):
                return name
        return ""

    def await_leader_other_than(self, old: str) -> str:
        """Advance time until a member other than ``old`` leads; return it."""
        self.run_until(lambda: self.leader() not in ("", old))
        return self.leader()

    def elect(self) -> str:
        """Advance time until there is a leader; return it."""
        self.run_until(self.leader)
        return self.leader()

    def commit(self, count: int = 1) -> None:
        """Propose at the leader until ``count`` more changes are acknowledged."""
        target_count = len(self.acked) + count
        while len(self.acked) < target_count:
            body = self.propose(self.elect())
            end_ms = self.now_ms + 1_000
            while body not in self.acked and self.now_ms < end_ms:
                self.run(10)

    def recover(self) -> None:
        """End all faults and restart all members."""
        self.clear_faults()
        for name, node in self.nodes.items():
            node.disk.fail_syncs = False
            node.disk.crash_at_sync = ""
            self.resume(name)
            self.restart(name)

    def converge(self) -> None:
        """Recover all members and wait until they hold every acknowledged change."""
        self.recover()
        self.commit()
        self.await_acked_changes()

    def await_acked_changes(self) -> None:
        """Wait until every serving member holds every acknowledged change."""
        for name in self.serving():
            state_machine = self.nodes[name].state_machine
            self.run_until(
                lambda machine=state_machine: set(self.acked) <= set(machine.bodies)
            )

    def serving(self) -> list[str]:
        """Return the members of the group that were not refused."""
        return [n for n in self.member_ids() if not self._refused(n)]

    def member_ids(self) -> list[str]:
        """Return the ids of the members in the leader's membership."""
        return [m.member_id for m in self._membership().members]

    def _membership(self) -> Membership:
        leader = self.nodes[self.elect()].runtime
        assert leader is not None
        return leader.state.membership

    def voter_ids(self) -> tuple[str, ...]:
        """Return the voters in the leader's membership."""
        return self._membership().voters()

    def _refused(self, name: str) -> bool:
        runtime = self.nodes[name].runtime
        return runtime is None or bool(runtime.state.refusal_reason)
