"""Random series of faults that a control group has to bear, and a final fault.

At most ``TOLERATED_LOSSES`` machines of the group are lost at once. A machine is lost
while it is down, frozen or cut off, and ``CATCH_UP_MS`` after that. A replaced machine
stops counting when its successor has run for ``CATCH_UP_MS``, which counts from then;
if its planned stop begins then, the slot counts as lost for another ``STOP_MS``.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from foxspring_control.raft.tests.simulated_network import NetworkFaults

from foxspring_jobs.tests.group_simulation import (
    NO_LOSS,
    GroupSimulation,
    Machine,
)

TOLERATED_LOSSES = 2
CATCH_UP_MS = 6_000
RECOVERY_MS = 15_000
RESTART_SPREAD_MS = 8_000
FIRST_ELECTION_MS = 10_000
# A quorum runs all the time, so this is an election with a few split votes.
LEADERLESS_LIMIT_MS = 5_000
STEP_MS = 50
NEVER_MS = 1 << 40
STOP_MS = 500
SEEDS = 3
SEEDS_LAG_MS = 3_000


class Slot:
    """One place in the group: the machine that counts and the time it is lost until."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.lost_until_ms = 0
        self.successor: Machine | None = None
        self.stops_until_ms = 0
        self.plan = 0

    def new_plan(self) -> Callable[[], bool]:
        """Return whether no later plan has replaced this one, as a function."""
        self.plan += 1
        number = self.plan
        return lambda: self.plan == number


class RunSettings(NamedTuple):
    """What varies between runs; ``founding_again`` keeps the flag at each restart.

    A sync takes up to ``sync_ms``, a snapshot up to ``snapshot_ms``.
    """

    faults: int = 12
    finals: int = 2
    founding_again: bool = False
    sync_ms: int = 0
    snapshot_ms: int = 99


class FaultRun:
    """Plays one random series of faults on a simulated group."""

    def __init__(self, simulation: GroupSimulation, settings: RunSettings) -> None:
        self.simulation = simulation
        self.settings = settings
        self.rng = simulation.rng
        self.slots = [Slot(m) for m in simulation.machines.values()]
        self.names = itertools.count(1)
        self.steady_since_ms = NEVER_MS
        self.led_ms = 0

    # The run.

    def play(self) -> None:
        """Found the group, play the faults and each final fault."""
        for machine in self.simulation.machines.values():
            self.simulation.start(machine)
        self.simulation.run_until(self.simulation.has_service, FIRST_ELECTION_MS)
        self._end_founding()
        for _ in range(self.settings.finals):
            for _ in range(self.rng.randint(2, self.settings.faults)):
                self._advance(self.rng.choice((10, 300, 1_000, 3_000, 7_000)))
                self._next_fault()
            self._advance(self.rng.choice((0, 0, 20, 200, 1_000, 6_000)))
            self._final_fault()

    def _end_founding(self) -> None:
        for machine in self.simulation.machines.values():
            is_founder = machine.address in machine.seeds
            machine.founding = is_founder and self.settings.founding_again
        for slot in self.slots:
            self._lose(slot, 0)

    def _advance(self, up_to_ms: int) -> None:
        end_ms = self.simulation.now_ms + self.rng.randint(0, up_to_ms)
        while self.simulation.now_ms < end_ms:
            self.simulation.run(STEP_MS)
            if self.rng.randrange(4) == 0:
                self.simulation.propose()
            self._check_leader()

    def _check_leader(self) -> None:
        now_ms = self.simulation.now_ms
        if self.simulation.leader() is not None:
            self.led_ms = now_ms
        since_ms = max(self.led_ms, self.steady_since_ms)
        self.simulation.require(
            now_ms - since_ms <= LEADERLESS_LIMIT_MS,
            f"no leader for {now_ms - since_ms} ms\n{self.simulation.describe()}",
        )

    # Which faults are allowed.

    def _lost(self) -> list[Slot]:
        now_ms = self.simulation.now_ms
        return [slot for slot in self.slots if now_ms < slot.lost_until_ms]

    def _healthy(self) -> list[Slot]:
        lost = self._lost()
        return [slot for slot in self.slots if slot not in lost]

    def _chosen(self, most: int = TOLERATED_LOSSES) -> list[Slot]:
        """Return healthy slots that may be lost now, maybe none."""
        allowed = min(most, TOLERATED_LOSSES - len(self._lost()))
        if allowed <= 0:
            return []
        return self.rng.sample(self._healthy(), self.rng.randint(1, allowed))

    def _lose(self, slot: Slot, duration_ms: int) -> None:
        until_ms = self.simulation.now_ms + duration_ms + CATCH_UP_MS
        slot.lost_until_ms = max(slot.lost_until_ms, until_ms)

    def _unsteady(self, duration_ms: int) -> None:
        """Check for a leader again only after a fault of the whole group."""
        end_ms = self.simulation.now_ms + duration_ms
        self.steady_since_ms = max(self.steady_since_ms % NEVER_MS, end_ms)

    def _duration_ms(self) -> int:
        return self.rng.choice((100, 400, 1_000, 3_000, 8_000))

    # The faults.

    def _next_fault(self) -> None:
        if self.steady_since_ms == NEVER_MS:
            self.steady_since_ms = self.simulation.now_ms
        faults: tuple[Callable[[], None], ...] = (
            self._kill,
            self._lose_power,
            self._empty_disks,
            self._empty_disks,
            self._freeze,
            self._cut,
            self._stop_and_start,
            self._replace_planned,
            self._replace_planned,
            self._replace_lost,
            self._lose_packets,
            self._kill_all,
        )
        self.rng.choice(faults)()

    def _kill(self) -> None:
        for slot in self._chosen():
            self._down(slot, self.simulation.kill)

    def _lose_power(self) -> None:
        for slot in self._chosen():
            slot.machine.disk.crash_at_sync = self.rng.choice(("", "before", "after"))
            self.simulation.run(self.rng.choice((0, 0, 5, 200)))
            self._down(slot, self.simulation.lose_power)

    def _empty_disks(self) -> None:
        for slot in self._chosen():
            self._down(slot, self.simulation.empty_disk)

    def _down(self, slot: Slot, fault: Callable[[Machine], None]) -> None:
        duration_ms = self._duration_ms()
        machine = slot.machine
        self._lose(slot, duration_ms)
        fault(machine)
        self._start_later(machine, duration_ms)

    def _start_later(self, machine: Machine, delay_ms: int) -> None:
        self.simulation.later(delay_ms, lambda: self._start(machine))

    def _freeze(self) -> None:
        for slot in self._chosen():
            machine = slot.machine
            duration_ms = self._duration_ms()
            self._lose(slot, duration_ms)
            self.simulation.freeze(machine)
            self._resume_later(machine, duration_ms)

    def _resume_later(self, machine: Machine, delay_ms: int) -> None:
        self.simulation.later(delay_ms, lambda: self.simulation.resume(machine))

    def _cut(self) -> None:
        if self.simulation.network.blocked:
            return
        chosen = self._chosen()
        if not chosen:
            return
        duration_ms = self._duration_ms()
        for slot in chosen:
            self._lose(slot, duration_ms)
        self.simulation.cut({slot.machine.address for slot in chosen})
        self.simulation.later(duration_ms, self.simulation.heal)

    def _stop_and_start(self) -> None:
        for slot in self._chosen(1):
            self._down(slot, self.simulation.stop)
            self._lose(slot, 2_000 + slot.lost_until_ms - self.simulation.now_ms)
            machine = slot.machine
            self._start_later(machine, self._remaining_ms(slot) - CATCH_UP_MS)

    def _remaining_ms(self, slot: Slot) -> int:
        return slot.lost_until_ms - self.simulation.now_ms

    def _lose_packets(self) -> None:
        duration_ms = self._duration_ms()
        percent = self.rng.choice((1, 5, 20))
        self.simulation.note(f"lose {percent}% of packets for {duration_ms} ms")
        faults = NetworkFaults(percent, percent, late_percent=percent)
        self.simulation.network.faults = faults
        self._unsteady(duration_ms)
        self.simulation.later(duration_ms, self._end_packet_loss)

    def _end_packet_loss(self) -> None:
        self.simulation.network.faults = NO_LOSS

    # Replaced machines.

    def _successor(self, slot: Slot) -> Machine:
        """Return the machine that replaces a slot's; some processes learn of it."""
        addresses = tuple(
            other.machine.address for other in self.slots if other is not slot
        )
        name = f"{slot.machine.address[0]}{next(self.names)}"
        machine = self.simulation.add_machine(name, slot.machine.domain, addresses[:3])
        slot.successor = machine
        return machine

    def _start(self, machine: Machine) -> None:
        """Start a machine with a lagging list of seeds, which is replaced later.

        A machine that starts as a founder again has the founders as its seeds.
        """
        if machine.founding:
            self.simulation.start(machine)
            return
        known = list(self.simulation.machines)
        machine.seeds = tuple(self.rng.sample(known, self.rng.randint(0, SEEDS)))
        self.simulation.start(machine)
        self.simulation.later(SEEDS_LAG_MS, lambda: self._set_seeds(machine))

    def _set_seeds(self, machine: Machine) -> None:
        current = [slot.machine.address for slot in self.slots]
        machine.seeds = tuple(self.rng.sample(current, SEEDS))
        if machine.process is not None:
            machine.process.membership_duty.set_seeds(machine.seeds)

    def _replace_planned(self) -> None:
        """Start a successor, and stop the old machine after ``CATCH_UP_MS``."""
        healthy = [slot for slot in self._healthy() if slot.successor is None]
        if len(self._lost()) > 1 or not healthy:
            return
        slot = self.rng.choice(healthy)
        successor = self._successor(slot)
        self.simulation.note(f"replace {slot.machine.address} by {successor.address}")
        self._start_successor(slot, successor, 0)

    def _start_successor(self, slot: Slot, successor: Machine, delay_ms: int) -> None:
        """Start a successor, which takes the slot after ``CATCH_UP_MS``."""
        is_current = slot.new_plan()

        def start() -> None:
            if is_current():
                self._start(successor)

        def take_place() -> None:
            if not is_current():
                return
            if len(self._lost()) > TOLERATED_LOSSES:
                self.simulation.later(STEP_MS, take_place)
                return
            old = slot.machine
            self._take_place(slot, successor)
            if not old.is_removed:
                slot.stops_until_ms = self.simulation.now_ms + STOP_MS
                slot.lost_until_ms = slot.stops_until_ms
                self.simulation.stop(old)
                old.is_removed = True

        self.simulation.later(delay_ms, start)
        self.simulation.later(delay_ms + CATCH_UP_MS, take_place)

    def _take_place(self, slot: Slot, successor: Machine) -> None:
        slot.machine = successor
        slot.successor = None
        slot.lost_until_ms = 0

    def _replace_lost(self) -> None:
        """Lose a machine for good and start its successor some time later."""
        chosen = [slot for slot in self._chosen(1) if slot.successor is None]
        for slot in chosen:
            old = slot.machine
            self.simulation.note(f"lose {old.address} for good")
            self.simulation.kill(old)
            old.is_removed = True
            slot.lost_until_ms = NEVER_MS
            successor = self._successor(slot)
            delay_ms = self.rng.choice((100, 1_000, 4_000, 9_000))
            self._start_successor(slot, successor, delay_ms)

    # Faults of the whole group.

    def _kill_all(self) -> None:
        if len(self._lost()) >= TOLERATED_LOSSES:
            return
        fault = self.rng.choice((self.simulation.kill, self.simulation.lose_power))
        self.simulation.note(f"all: {fault.__name__}")
        self._end_all(fault, [])
        self._unsteady(self._start_zone_by_zone() + RECOVERY_MS - LEADERLESS_LIMIT_MS)

    def _final_fault(self) -> None:
        """Empty as many disks as may be lost and end all other processes."""
        fault = self.rng.choice((self.simulation.kill, self.simulation.lose_power))
        emptied = self._to_empty()
        self.simulation.note(
            f"final: {fault.__name__}, empty {[s.machine.address for s in emptied]}"
        )
        self._end_all(fault, emptied)
        self.simulation.run(self._start_zone_by_zone())
        self.simulation.run_until(self.simulation.has_service, RECOVERY_MS)
        self._check_acked()
        self.steady_since_ms = self.simulation.now_ms

    def _to_empty(self) -> list[Slot]:
        lost = self._lost()
        if len(lost) > TOLERATED_LOSSES:
            return []
        now_ms = self.simulation.now_ms
        candidates = [slot for slot in lost if now_ms >= slot.stops_until_ms]
        candidates += self._chosen()
        return self.rng.sample(candidates, self.rng.randint(0, len(candidates)))

    def _end_all(self, fault: Callable[[Machine], None], emptied: list[Slot]) -> None:
        self.simulation.heal()
        for slot in emptied:
            self._empty(slot)
        emptied_machines = [slot.machine for slot in emptied]
        for machine in self.simulation.machines.values():
            if machine not in emptied_machines and machine.process is not None:
                fault(machine)

    def _empty(self, slot: Slot) -> None:
        if not slot.machine.is_removed:
            self.simulation.empty_disk(slot.machine)

    def _start_zone_by_zone(self) -> int:
        """Start all machines and return the ms until the last one has started."""
        delays = [self.rng.randint(0, RESTART_SPREAD_MS) for _ in self.slots]
        for slot, delay_ms in zip(self.slots, delays, strict=True):
            self._start_slot(slot, delay_ms)
        last_ms = max(delays)
        for slot in self.slots:
            self._lose(slot, last_ms)
        return last_ms

    def _start_slot(self, slot: Slot, delay_ms: int) -> None:
        machine = slot.machine
        successor = slot.successor
        if successor is not None:
            self._start_successor(slot, successor, delay_ms)
        self._start_later(machine, delay_ms)

    def _check_acked(self) -> None:
        leader = self.simulation.leader()
        assert leader is not None
        missing = self.simulation.acked - set(leader.state_machine.bodies)
        self.simulation.require(not missing, f"lost {sorted(missing)[:3]}")


def run_random(seed: int, settings: RunSettings) -> GroupSimulation:
    """Play the series of a seed; an error carries the trace of the run."""
    simulation = GroupSimulation(seed, settings.sync_ms, settings.snapshot_ms)
    with simulation:
        try:
            FaultRun(simulation, settings).play()
        except AssertionError as error:
            trace = "\n".join(simulation.trace[-60:])
            raise AssertionError(f"seed {seed}: {error}\n{trace}") from error
    return simulation
