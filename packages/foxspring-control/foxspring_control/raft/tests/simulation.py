"""A group of members over a faulty network and disks, in simulated time.

Each member is the real runtime on real files, without a thread. A crash loses
what was not synced, leaving a torn end. The promises are checked at each step.
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
    DEFAULT_NETWORK,
    Delivery,
    Network,
    SimulatedNetwork,
)
from foxspring_control.raft.tests.simulated_node import (
    CrashError,
    Disk,
    Node,
    NodeClock,
    Recorder,
    SimMachine,
)

Ask = AddMember | RemoveMember | ReadBarrier | Transfer


class BrokenPromiseError(AssertionError):
    """The simulation saw a promise broken."""


class Simulation:
    """Members ``m1`` to ``mN``; use it as a context manager."""

    def __init__(
        self,
        count: int = 3,
        seed: int = 0,
        network: Network = DEFAULT_NETWORK,
        snapshot_every: int = 40,
        rates: tuple[int, ...] = (),
    ) -> None:
        self.chance = random.Random(seed)
        self.seed = seed
        self.network = SimulatedNetwork(self.chance, network)
        self.snapshot_every = snapshot_every
        self.now_ms = 0
        self.steps = 0
        self.nodes: dict[str, Node] = {}
        self.leader_of_term: dict[int, str] = {}
        self.committed: dict[int, tuple[int, str, bytes]] = {}
        self.acked: dict[bytes, int] = {}
        self.not_run: set[bytes] = set()
        self.tokens = itertools.count(1)
        self.proposed = 0
        self._resources = contextlib.ExitStack()
        folder = tempfile.TemporaryDirectory()
        self._folder = Path(self._resources.enter_context(folder))
        for module in ("_segments", "_storage"):
            name = f"foxspring_control.raft.{module}.sync_folder"
            self._resources.enter_context(mock.patch(name))
        group = members(count)
        for position, member in enumerate(group):
            rate = rates[position] if position < len(rates) else 100
            self.add_node(member, group, rate)

    def __enter__(self) -> "Simulation":
        return self

    def __exit__(self, *_: object) -> None:
        for node in self.nodes.values():
            if node.storage is not None:
                node.storage.close()
        self._resources.close()

    def add_node(
        self, member: Member, group: tuple[Member, ...], rate: int = 100
    ) -> Node:
        folder = self._folder / member.member_id
        node = Node(member, Disk(folder), NodeClock(lambda: self.now_ms, rate))
        node.group = group
        self.nodes[member.member_id] = node
        self.restart(member.member_id)
        return node

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        if node.runtime is not None:
            return
        values = settings(
            name, node.disk.folder, node.group, self.snapshot_every, self.seed
        )
        storage = Storage(
            node.disk.folder, name, 4_096, values.tail_bytes, node.disk.sync
        )
        node.storage = storage
        state = RaftState(values, storage.open(), node.clock.monotonic_ms())
        node.disk.note_sizes()
        node.runtime = Runtime(
            state,
            storage,
            Recorder(self.note_applied, node.machine),
            lambda address, message: self.send(name, address, message),
            node.clock,
            lambda change: self.on_leadership(name, change),
            lambda work: node.run_aside(work, self.now_ms + self.chance.randint(0, 99)),
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
        node.machine.crash()
        node.disk.lose_unsynced(self.chance)

    def wipe(self, name: str) -> None:
        """Crash a member and empty its disk; its id comes back with nothing."""
        self.crash(name)
        node = self.nodes[name]
        for path in node.disk.folder.iterdir():
            path.unlink()
        node.disk.synced.clear()
        node.machine = SimMachine()

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

    def heal(self) -> None:
        self.network.blocked.clear()

    def ask(self, name: str, event: Ask) -> list[ProposeOutcome]:
        """Feed an event with a token; the list fills with its outcome."""
        outcomes: list[ProposeOutcome] = []
        runtime = self.nodes[name].runtime
        if runtime is not None:
            runtime.waiting[event.token] = outcomes.append
            self.feed(name, event)
        return outcomes

    def propose(self, name: str) -> bytes:
        self.proposed += 1
        body = f"change {self.proposed}".encode()
        runtime = self.nodes[name].runtime
        if runtime is None:
            return body
        token = next(self.tokens)
        runtime.waiting[token] = lambda outcome: self._note(body, outcome)
        self.feed(name, Propose(token, "Test", body, 0))
        return body

    def _note(self, body: bytes, outcome: ProposeOutcome) -> None:
        if outcome.status == "applied":
            self.acked[body] = self.now_ms
        if outcome.status == "not_leader":
            self.not_run.add(body)

    def read(self, name: str) -> bool:
        """Read under the lease; a stale answer breaks a promise."""
        outcomes = self.ask(name, ReadBarrier(next(self.tokens)))
        if not outcomes or outcomes[0].status != "applied":
            return False
        lost = set(self.acked) - set(self.nodes[name].machine.bodies)
        self._require(not lost, f"a read at {name} misses {sorted(lost)[:3]}")
        return True

    def add_member(self, name: str, member: Member) -> list[ProposeOutcome]:
        return self.ask(name, AddMember(next(self.tokens), member, 0))

    def remove_member(self, name: str, gone: str) -> list[ProposeOutcome]:
        return self.ask(name, RemoveMember(next(self.tokens), gone, 0))

    def replace(self, gone: str, fresh: str) -> None:
        """Empty a member's disk for good and let a new member take its place."""
        self.recover()
        self.commit()
        self.wipe(gone)
        member = Member(fresh, fresh)
        self.add_node(member, ())
        self._change(
            lambda leader: self.add_member(leader, member),
            lambda: fresh in self.group_names(),
        )
        self.run(self.chance.randint(0, 1_000))
        self.recover()
        self._change(
            lambda leader: self.remove_member(leader, gone),
            lambda: gone not in self.group_names(),
        )
        self.run_until(lambda: fresh in self.serving_voters())
        self.crash(gone)
        del self.nodes[gone]

    def _change(self, change: Any, done: Any) -> None:
        end = self.now_ms + 60_000
        while not done():
            self._require(self.now_ms < end, "a member change came to no end")
            change(self.elect())
            self.run(300)

    def transfer(self, name: str) -> list[ProposeOutcome]:
        return self.ask(name, Transfer(next(self.tokens)))

    def send(self, source: str, target: str, message: Any) -> None:
        if source in self.nodes and target in self.nodes:
            self.network.send(self.now_ms, source, target, message)

    def _schedule_tick(self, node: Node) -> None:
        if node.runtime is None:
            return
        local = next_due_ms(node.runtime.state) - node.clock.monotonic_ms()
        wait = max(1, local * 100 // node.clock.rate_percent + 1)
        node.next_tick_ms = self.now_ms + wait
        self.network.push(node.next_tick_ms, "", node.member.member_id, Tick())

    def run(self, duration_ms: int) -> None:
        """Let simulated time pass."""
        end = self.now_ms + duration_ms
        while delivery := self.network.pop_due(end):
            self.now_ms = max(self.now_ms, delivery.at_ms)
            self._deliver(delivery)
        self.now_ms = end

    def run_until(self, condition: Any, limit_ms: int = 30_000) -> None:
        """Let time pass until ``condition()`` holds; raise after ``limit_ms``."""
        end = self.now_ms + limit_ms
        while not condition():
            assert self.now_ms < end, f"not within {limit_ms} ms of simulated time"
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
        node.end_writing(self.now_ms)
        try:
            node.runtime.run_batch(events, node.clock.monotonic_ms())
        except (CrashError, OSError):
            self.crash(name)
        except DamagedLogError as error:
            raise BrokenPromiseError(f"at {self.now_ms} ms: {error}") from error
        self.check()
        if node.runtime is not None and node.paused_inbox is None:
            self._schedule_tick(node)

    def on_leadership(self, name: str, change: LeadershipChange) -> None:
        if change.is_leader:
            self._note_leader(name, change.term)

    def _note_leader(self, name: str, term: int) -> None:
        known = self.leader_of_term.setdefault(term, name)
        self._require(known == name, f"{known} and {name} lead in term {term}")

    def check(self) -> None:
        """Check leaders and leases."""
        leases = []
        for name, node in self.nodes.items():
            if node.runtime is None:
                continue
            state = node.runtime.state
            if state.role is Role.LEADER:
                self._note_leader(name, state.term)
            if state.announced and state.lease_valid(node.clock.monotonic_ms()):
                leases.append(name)
        self._require(len(leases) <= 1, f"{leases} hold a lease at once")

    def note_applied(self, entry: LogEntry) -> None:
        fact = (entry.term, entry.kind, entry.body)
        known = self.committed.setdefault(entry.log_index, fact)
        self._require(known == fact, f"entry {entry.log_index}: {known} and {fact}")
        self._require(entry.body not in self.not_run, f"{entry.body!r} was not run")

    def _require(self, holds: bool, detail: str) -> None:
        if not holds:
            raise BrokenPromiseError(f"at {self.now_ms} ms: {detail}")

    def leader(self) -> str:
        """Return the announced leader under a valid lease, or an empty name."""
        for name, node in self.nodes.items():
            state = node.runtime.state if node.runtime else None
            if state is None or node.paused_inbox is not None:
                continue
            if state.announced and state.lease_valid(node.clock.monotonic_ms()):
                return name
        return ""

    def await_leader_but(self, old: str) -> str:
        """Let time pass until another member than ``old`` leads; return it."""
        self.run_until(lambda: self.leader() not in ("", old))
        return self.leader()

    def elect(self) -> str:
        """Let time pass until there is a leader; return it."""
        self.run_until(self.leader)
        return self.leader()

    def commit(self, count: int = 1) -> None:
        """Propose at the leader until ``count`` more changes are answered."""
        wanted = len(self.acked) + count
        while len(self.acked) < wanted:
            body = self.propose(self.elect())
            end = self.now_ms + 1_000
            while body not in self.acked and self.now_ms < end:
                self.run(10)

    def recover(self) -> None:
        """End every fault and start every member."""
        self.heal()
        for name, node in self.nodes.items():
            node.disk.refuse = False
            node.disk.crash_at_sync = ""
            self.resume(name)
            self.restart(name)

    def settle(self) -> None:
        """Heal everything; all members must come to hold every answer."""
        self.recover()
        self.commit()
        self.await_all_answers()

    def await_all_answers(self) -> None:
        """Wait until every member that takes part holds every answer."""
        for name in self.serving():
            machine = self.nodes[name].machine
            self.run_until(lambda held=machine: set(self.acked) <= set(held.bodies))

    def serving(self) -> list[str]:
        """Return the members of the group that take part."""
        return [n for n in self.group_names() if not self._refused(n)]

    def group_names(self) -> list[str]:
        """Return the members of the group as the leader knows them."""
        return [m.member_id for m in self._membership().members]

    def _membership(self) -> Membership:
        leader = self.nodes[self.elect()].runtime
        assert leader is not None
        return leader.state.membership

    def serving_voters(self) -> tuple[str, ...]:
        """Return the voters as the leader knows them."""
        return self._membership().voters()

    def _refused(self, name: str) -> bool:
        runtime = self.nodes[name].runtime
        return runtime is None or bool(runtime.state.refused)
