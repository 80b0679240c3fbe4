"""A control group on machines in simulated time.

Each process runs the real consensus runtime on real files and the real membership,
without threads or links. The safety invariants are checked after each step.
"""

import contextlib
import itertools
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from foxspring_control import LogEntry, ProposeCallback, ProposeOutcome
from foxspring_control.raft import (
    RAFT_MESSAGES,
    DamagedLogError,
    LeadershipChange,
    Member,
    Membership,
    RaftStatus,
)
from foxspring_control.raft._events import (
    AddMember,
    Event,
    Propose,
    Received,
    RemoveMember,
    RenewIdentity,
    Tick,
    Transfer,
)
from foxspring_control.raft._messages import AppendEntries
from foxspring_control.raft._runtime import Runtime
from foxspring_control.raft._state import RaftState, Role
from foxspring_control.raft._step import next_due_ms
from foxspring_control.raft._storage import Storage
from foxspring_control.raft.tests.simulated_network import (
    NetworkFaults,
    SimulatedNetwork,
)
from foxspring_control.raft.tests.simulated_node import (
    CheckedStateMachine,
    InjectedCrashError,
    SimulatedClock,
    SimulatedDisk,
    SimulatedFuture,
    SimulatedStateMachine,
)

from foxspring_jobs._group_membership import (
    CHECK_INTERVAL_MS,
    LEAVE_INTERVAL_MS,
    GroupMembership,
)
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import (
    HAND_OVER_TIMEOUT_MS,
    MemberSettings,
    choose_member_id,
    membership_settings,
    raft_settings,
)
from foxspring_jobs._operations import JoinAnswer, JoinGroup, LeaveAnswer, LeaveGroup

GROUP_SIZE = 5
SEGMENT_BYTES = 4_096
SNAPSHOT_EVERY = 40
NO_LOSS = NetworkFaults(drop_percent=0, duplicate_percent=0, late_percent=0)
_RAFT_TYPES = frozenset(RAFT_MESSAGES)


class InvariantViolationError(AssertionError):
    """A safety invariant of the group was violated."""


class Action(NamedTuple):
    """Something to do at a simulated time."""

    run: Callable[[], object]


class Machine:
    """One machine with its disk; ``process`` is None while none runs on it."""

    def __init__(
        self, address: str, domain: str, folder: Path, now_ms: Callable[[], int]
    ) -> None:
        self.address = address
        self.domain = domain
        self.disk = SimulatedDisk(folder)
        self.sync_ms = 0
        self.clock = SimulatedClock(lambda: now_ms() + self.sync_ms, 100)
        self.seeds: tuple[str, ...] = ()
        self.founding = False
        self.is_removed = False
        self.process: Process | None = None

    def settings(self) -> MemberSettings:
        """Return the settings with which a process starts here."""
        return MemberSettings(
            self.address,
            self.disk.folder,
            self.domain,
            self.seeds,
            self.founding,
            LeaderSettings(),
            group_size=GROUP_SIZE,
        )


class Process:
    """One run of a control member; it also is the log that its membership uses."""

    def __init__(self, simulation: "GroupSimulation", machine: Machine) -> None:
        self.simulation = simulation
        self.machine = machine
        self.clock = machine.clock
        self.state_machine = SimulatedStateMachine()
        self.writing: SimulatedFuture | None = None
        self.paused: list[Callable[[], object]] | None = None
        self.next_tick_ms = 0
        self.inbox: list[Event] = []
        self.busy_until_ms = 0
        settings = machine.settings()
        member_id = choose_member_id(settings, self.clock.wall_ms())
        raft = raft_settings(settings, member_id)._replace(
            seed=simulation.seed,
            snapshot_every_entries=SNAPSHOT_EVERY,
            retained_entries=SNAPSHOT_EVERY // 5,
            snapshot_chunk_bytes=200,
        )
        self.storage = Storage(
            settings.data_folder,
            member_id,
            SEGMENT_BYTES,
            raft.log_cache_bytes,
            self.sync,
        )
        stored = self.storage.open()
        machine.sync_ms = 0
        machine.disk.record_sizes()
        state = RaftState(raft, stored, self.clock.monotonic_ms())
        self.membership_duty = GroupMembership(
            membership_settings(settings), self, self.send, self.clock
        )
        self.runtime = Runtime(
            state,
            self.storage,
            CheckedStateMachine(simulation.check_applied, self.state_machine),
            self.send,
            self.clock,
            self.on_leadership,
            self.run_in_background,
        )

    @property
    def state(self) -> RaftState:
        """The consensus state."""
        return self.runtime.state

    @property
    def named_leader(self) -> str:
        """The address of the leader that this process would name to a caller."""
        return self.membership_duty.leadership.leader_address

    def sync(self, descriptor: int) -> None:
        """Sync a file, which takes the time of the simulation's settings."""
        self.machine.disk.sync(descriptor)
        simulation = self.simulation
        if self.busy_until_ms <= simulation.now_ms:
            self.machine.sync_ms = simulation.sync_time_ms()
            self.busy_until_ms = simulation.now_ms + self.machine.sync_ms

    def is_running(self) -> bool:
        """Return whether this run has not ended and is not frozen."""
        return self.machine.process is self and self.paused is None

    def send(self, address: str, message: Any) -> None:
        """Send a message to another process, after a sync that is under way.

        A leader sends entries before it syncs them.
        """
        wait_ms = max(0, self.busy_until_ms - self.simulation.now_ms)
        if type(message) not in _RAFT_TYPES or isinstance(message, AppendEntries):
            wait_ms = 0
        self.simulation.send(self.machine.address, address, message, wait_ms)

    def on_leadership(self, change: LeadershipChange) -> None:
        """Pass on a change of leader."""
        if change.is_leader:
            self.simulation.record_leader(self.state.member_id, change.term)
        self.membership_duty.on_leadership(change)

    def run_in_background(self, work: Callable[[], int]) -> SimulatedFuture:
        """Run ``work`` now but report its completion later."""
        simulation = self.simulation
        wait_ms = simulation.rng.randint(0, simulation.snapshot_ms)
        due_ms = simulation.now_ms + wait_ms
        self.writing = SimulatedFuture(due_ms, work())
        return self.writing

    # The log as the membership uses it.

    @property
    def member_id(self) -> str:
        """The id of this member."""
        return self.state.member_id

    def membership(self) -> Membership:
        """Return the latest membership."""
        return self.state.membership

    def status(self) -> RaftStatus:
        """Return the status."""
        return self.runtime.status()

    def lease_valid(self) -> bool:
        """Return whether this process leads under a valid lease."""
        state = self.state
        now_ms = self.clock.monotonic_ms()
        return state.leadership_announced and state.lease_valid(now_ms)

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Add a member."""
        self._submit(on_done, lambda token: AddMember(token, member, 0))

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Remove a member."""
        self._submit(on_done, lambda token: RemoveMember(token, member_id, 0))

    def renew_identity(self, member_id: str) -> None:
        """Take part under a new id."""
        self.simulation.at(
            0, self, lambda: self.simulation.feed(self, RenewIdentity(member_id))
        )

    def transfer_leadership(self, on_done: ProposeCallback) -> None:
        """Transfer the leadership."""
        self._submit(on_done, Transfer)

    def propose(self, body: bytes, on_done: ProposeCallback) -> None:
        """Propose an entry."""
        self._submit(on_done, lambda token: Propose(token, "Test", body, 0))

    def _submit(self, on_done: ProposeCallback, event: Callable[[int], Event]) -> None:
        token = next(self.simulation.tokens)
        self.runtime.pending_callbacks[token] = on_done
        self.simulation.at(0, self, lambda: self.simulation.feed(self, event(token)))


class GroupSimulation:
    """Machines ``a`` to ``e`` that found a group; use it as a context manager."""

    def __init__(
        self,
        seed: int = 0,
        sync_ms: int = 0,
        snapshot_ms: int = 99,
        network: NetworkFaults = NO_LOSS,
    ) -> None:
        self.seed = seed
        self.sync_ms = sync_ms
        self.snapshot_ms = snapshot_ms
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(self.rng, network)
        self.now_ms = 0
        self.steps = 0
        self.machines: dict[str, Machine] = {}
        self.tokens = itertools.count(1)
        self.numbers = itertools.count(1)
        self.acked: set[bytes] = set()
        self.leader_of_term: dict[int, str] = {}
        self.committed: dict[int, tuple[int, str, bytes]] = {}
        self.trace: list[str] = []
        self._resources = contextlib.ExitStack()
        folder = tempfile.TemporaryDirectory()
        self._folder = Path(self._resources.enter_context(folder))
        for module in ("_segments", "_storage"):
            name = f"foxspring_control.raft.{module}.sync_folder"
            self._resources.enter_context(mock.patch(name))
        addresses = tuple("abcde"[:GROUP_SIZE])
        for address in addresses:
            machine = self.add_machine(address, f"zone-{address}", addresses[:3])
            machine.founding = True

    def __enter__(self) -> "GroupSimulation":
        return self

    def __exit__(self, *_: object) -> None:
        for machine in self.machines.values():
            self.kill(machine)
        self._resources.close()

    def note(self, text: str) -> None:
        """Add a line to the trace of this run."""
        self.trace.append(f"{self.now_ms:7d} {text}")

    def add_machine(self, address: str, domain: str, seeds: tuple[str, ...]) -> Machine:
        """Return a new machine, on which no process runs yet."""
        folder = self._folder / address
        machine = Machine(address, domain, folder, lambda: self.now_ms)
        machine.seeds = seeds
        self.machines[address] = machine
        return machine

    def processes(self) -> list[Process]:
        """Return the processes that run and are not frozen."""
        found = [machine.process for machine in self.machines.values()]
        return [p for p in found if p is not None and p.is_running()]

    # Faults.

    def start(self, machine: Machine) -> None:
        """Start a process on a machine that has none and was not removed."""
        if machine.process is not None or machine.is_removed:
            return
        machine.disk.folder.mkdir(exist_ok=True)
        try:
            process = Process(self, machine)
        except DamagedLogError as error:
            raise InvariantViolationError(f"{machine.address}: {error}") from error
        machine.process = process
        self.note(f"start {process.state.member_id}")
        self._schedule_tick(process)
        self.at(self.rng.randint(0, CHECK_INTERVAL_MS), process, self._check(process))

    def kill(self, machine: Machine) -> None:
        """End the process on a machine at once; what it wrote stays."""
        process, machine.process = machine.process, None
        if process is not None:
            self.note(f"kill {process.state.member_id}")
            process.storage.close()

    def lose_power(self, machine: Machine) -> None:
        """End the process; what it wrote and did not sync is lost in part."""
        self.kill(machine)
        machine.disk.lose_unsynced(self.rng)

    def empty_disk(self, machine: Machine) -> None:
        """End the process and delete all that is on the disk."""
        self.note(f"empty {machine.address}")
        self.kill(machine)
        for path in machine.disk.folder.iterdir():
            path.unlink()
        machine.disk.synced.clear()

    def freeze(self, machine: Machine) -> None:
        """Stop the process for a time; messages to it wait."""
        self.note(f"freeze {machine.address}")
        if machine.process is not None and machine.process.paused is None:
            machine.process.paused = []

    def resume(self, machine: Machine) -> None:
        """Let a frozen process continue."""
        process = machine.process
        if process is None or process.paused is None:
            return
        self.note(f"resume {machine.address}")
        waiting, process.paused = process.paused, None
        for action in waiting:
            if machine.process is process:
                action()

    def cut(self, group: set[str]) -> None:
        """Cut the machines at ``group`` off from all others."""
        self.note(f"cut {sorted(group)}")
        for one, other in itertools.permutations(self.machines, 2):
            if (one in group) != (other in group):
                self.network.blocked.add((one, other))

    def heal(self) -> None:
        """End all cuts."""
        self.note("heal")
        self.network.blocked.clear()

    def stop(self, machine: Machine) -> None:
        """Stop a process as planned, like ``ControlMember.hand_over`` and ``stop``."""
        process = machine.process
        if process is None:
            return
        self.note(f"stop {process.state.member_id}")
        process.membership_duty.begin_stop()
        if process.state.role is not Role.LEADER:
            self.leave(process)
            return
        ended: list[ProposeOutcome] = []

        def end(outcome: ProposeOutcome | None) -> None:
            if not ended and machine.process is process:
                ended.append(outcome or ProposeOutcome("unknown"))
                self.at(0, process, lambda: self.leave(process))

        process.transfer_leadership(end)
        self.at(HAND_OVER_TIMEOUT_MS, process, lambda: end(None))

    def leave(self, process: Process) -> None:
        """Let a process that stops leave the group, as far as it may, and end."""
        if process.membership_duty.try_leave():
            self.kill(process.machine)
            return
        self.at(LEAVE_INTERVAL_MS, process, lambda: self.leave(process))

    # The run.

    def at(self, delay_ms: int, process: Process, run: Callable[[], object]) -> None:
        """Run an action of a process later, unless the process has ended by then."""

        def run_if_alive() -> None:
            if process.machine.process is not process:
                return
            if process.paused is not None:
                process.paused.append(run)
                return
            run()

        self.later(delay_ms, run_if_alive)

    def later(self, delay_ms: int, run: Callable[[], object]) -> None:
        """Run an action that no process carries out."""
        self.network.push(self.now_ms + delay_ms, "", "", Action(run))

    def _check(self, process: Process) -> Callable[[], None]:
        def check() -> None:
            process.membership_duty.check()
            self.at(CHECK_INTERVAL_MS, process, check)

        return check

    def _schedule_tick(self, process: Process) -> None:
        wait_ms = next_due_ms(process.state) - process.clock.monotonic_ms()
        due_ms = self.now_ms + max(1, wait_ms)
        process.next_tick_ms = due_ms

        def tick() -> None:
            if process.next_tick_ms == due_ms:
                self.feed(process, Tick())

        self.at(due_ms - self.now_ms, process, tick)

    def sync_time_ms(self) -> int:
        """Return how long the next sync takes."""
        return self.rng.randint(self.sync_ms // 2, self.sync_ms)

    def send(self, source: str, target: str, message: Any, wait_ms: int) -> None:
        """Send a message from one address to another after ``wait_ms``."""
        if target in self.machines:
            self.network.send(self.now_ms + wait_ms, source, target, message)

    def run(self, duration_ms: int) -> None:
        """Advance simulated time by ``duration_ms``."""
        end_ms = self.now_ms + duration_ms
        while delivery := self.network.pop_due(end_ms):
            self.now_ms = max(self.now_ms, delivery.at_ms)
            if isinstance(delivery.message, Action):
                delivery.message.run()
            elif (delivery.source, delivery.target) not in self.network.blocked:
                self._receive(delivery.source, delivery.target, delivery.message)
        self.now_ms = end_ms

    def _receive(self, source: str, target: str, message: Any) -> None:
        process = self.machines[target].process
        if process is None:
            return
        receive = self._receiver(process, source, message)
        if process.paused is not None:
            process.paused.append(receive)
        else:
            receive()

    def _receiver(
        self, process: Process, source: str, message: Any
    ) -> Callable[[], None]:
        def receive() -> None:
            duty = process.membership_duty
            if type(message) in _RAFT_TYPES:
                duty.note_member(source)
                self.feed(process, Received(source, message))
            elif isinstance(message, JoinGroup):
                duty.on_join(source, message)
            elif isinstance(message, JoinAnswer):
                duty.on_join_answer(message)
            elif isinstance(message, LeaveGroup):
                duty.on_leave(source, message)
            elif isinstance(message, LeaveAnswer):
                duty.on_leave_answer(message)

        return receive

    def feed(self, process: Process, *events: Event) -> None:
        """Process a batch of events and check the invariants."""
        if process.machine.process is not process:
            return
        if self.now_ms < process.busy_until_ms:
            self._feed_later(process, events)
            return
        self.steps += 1
        writing = process.writing
        if writing is not None and self.now_ms >= writing.done_at_ms:
            writing.result()
            process.writing = None
        try:
            process.runtime.run_batch(events, process.clock.monotonic_ms())
        except InjectedCrashError:
            self.lose_power(process.machine)
            return
        except DamagedLogError as error:
            raise InvariantViolationError(f"at {self.now_ms} ms: {error}") from error
        finally:
            process.machine.sync_ms = 0
        self.check()
        self._schedule_tick(process)

    def _feed_later(self, process: Process, events: tuple[Event, ...]) -> None:
        """Keep events for the batch after the sync that is under way."""
        is_first = not process.inbox
        process.inbox += events
        if not is_first:
            return

        def feed() -> None:
            waiting, process.inbox = process.inbox, []
            self.feed(process, *waiting, Tick())

        self.at(process.busy_until_ms - self.now_ms, process, feed)

    def propose(self) -> bytes:
        """Propose an entry at the leader, if there is one."""
        body = b"%d" % next(self.numbers)
        process = self.leader()
        if process is None:
            return body

        def on_done(outcome: ProposeOutcome) -> None:
            if outcome.status == "applied":
                self.acked.add(body)

        process.propose(body, on_done)
        return body

    # Checks.

    def record_leader(self, member_id: str, term: int) -> None:
        """Check that a term has one leader."""
        recorded = self.leader_of_term.setdefault(term, member_id)
        self.require(
            recorded == member_id, f"{recorded} and {member_id} lead in term {term}"
        )

    def check(self) -> None:
        """Check for one leader per term and one lease at a time."""
        leases = []
        for process in self.processes():
            if process.state.role is Role.LEADER:
                self.record_leader(process.state.member_id, process.state.term)
            if process.lease_valid():
                leases.append(process.state.member_id)
        self.require(len(leases) <= 1, f"{leases} hold a lease at once")

    def check_applied(self, entry: LogEntry) -> None:
        """Check that an entry is the same on all members."""
        content = (entry.term, entry.kind, entry.body)
        recorded = self.committed.setdefault(entry.log_index, content)
        self.require(
            recorded == content, f"entry {entry.log_index}: {recorded} and {content}"
        )

    def require(self, holds: bool, detail: str) -> None:
        """Raise an error with the time unless ``holds``."""
        if not holds:
            raise InvariantViolationError(f"at {self.now_ms} ms: {detail}")

    def leader(self) -> Process | None:
        """Return the announced leader with a valid lease, or None."""
        for process in self.processes():
            if process.lease_valid():
                return process
        return None

    def has_service(self) -> bool:
        """Return whether a leader serves and all processes name it."""
        leader = self.leader()
        if leader is None or not leader.membership_duty.leadership.is_leader:
            return False
        address = leader.machine.address
        return all(process.named_leader == address for process in self.processes())

    def run_until(self, condition: Callable[[], object], limit_ms: int) -> int:
        """Advance time until a condition holds and return the ms that it took.

        Raises:
            AssertionError: the condition does not hold within ``limit_ms``.
        """
        begun_ms = self.now_ms
        while not condition():
            waited_ms = self.now_ms - begun_ms
            assert waited_ms < limit_ms, f"not within {limit_ms} ms\n{self.describe()}"
            self.run(10)
        return self.now_ms - begun_ms

    def describe(self) -> str:
        """Return what each process holds, for a failed test."""
        lines = []
        for machine in self.machines.values():
            process = machine.process
            if process is None:
                lines.append(f"{machine.address}: no process")
                continue
            state = process.state
            lines.append(
                f"{state.member_id}: {state.role} term={state.term} "
                f"last={state.log.last_index}/{state.log.last_term} "
                f"commit={state.commit_index} voters={state.voters()} "
                f"joining={state.membership.joining} leader={state.leader_id!r} "
                f"named={process.named_leader!r} refused={bool(state.refusal_reason)} "
                f"frozen={process.paused is not None}"
            )
        return "\n".join(lines)
