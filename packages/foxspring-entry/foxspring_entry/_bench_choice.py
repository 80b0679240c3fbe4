"""Simulation of load balancing with the entry's own decision functions.

Runs in virtual time, with arrivals and service times drawn from a fixed seed.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from foxspring_model import EntryLoad, OwnedTarget, Resources, TargetInfo

from foxspring_entry._ledger import ReservationKind
from foxspring_entry._loads import Candidate, OwnerLoads, ServiceLoad, choose_owner
from foxspring_entry._target import ManagedTarget, choose_target

SERVICE = "bench"
NEED = Resources(slots=1, connections=1)
SLOTS = 8
TARGETS = 34
OWNERS = 8
MEAN_MS = 20.0
SLOW_FACTOR = 10.0
REQUESTS = 20_000
LOAD = 0.6
LOAD_REPORT_INTERVAL_MS = 150.0
_P99 = 0.99

Choice = Callable[[Sequence[ManagedTarget]], ManagedTarget | None]


class Arrival(NamedTuple):
    """A request and its arrival time."""

    number: int
    at_ms: float


def managed_target(number: int) -> ManagedTarget:
    """Return a target whose takeover is complete."""
    capacity = Resources(SLOTS, 64, 64_000, 250_000, 0)
    info = TargetInfo(f"t-{number}", 1, "", "fd-1", "rack-1", capacity)
    target = ManagedTarget(OwnedTarget(info, "e-1", 1, (SERVICE,)), 5_000, 0, 0)
    target.takeover = None
    return target


def entry_choice(rng: random.Random) -> Choice:
    """Return the entry's own policy for choosing a target."""

    def choose(targets: Sequence[ManagedTarget]) -> ManagedTarget | None:
        admitting = [t for t in targets if t.can_admit(SERVICE, NEED, 0)]
        return choose_target(admitting, SERVICE, NEED, (), rng)

    return choose


def random_choice(rng: random.Random) -> Choice:
    """Return a policy that chooses a random target with a free slot."""

    def choose(targets: Sequence[ManagedTarget]) -> ManagedTarget | None:
        admitting = [t for t in targets if NEED.fits_in(t.ledger.free)]
        return rng.choice(admitting) if admitting else None

    return choose


def round_robin_choice() -> Choice:
    """Return a round-robin policy over the targets with a free slot."""
    last_index = [0]

    def choose(targets: Sequence[ManagedTarget]) -> ManagedTarget | None:
        for step in range(1, len(targets) + 1):
            target = targets[(last_index[0] + step) % len(targets)]
            if NEED.fits_in(target.ledger.free):
                last_index[0] = (last_index[0] + step) % len(targets)
                return target
        return None

    return choose


def p99_with_slow_targets(choice: Choice, seed: int) -> float:
    """Return the p99 latency in ms with 34 targets, two of them ten times slower."""
    rng = random.Random(seed)
    targets = [managed_target(number) for number in range(TARGETS)]
    slow = frozenset(("t-0", "t-1"))
    queue: deque[Arrival] = deque()
    ends: list[tuple[float, int, ManagedTarget, float, Arrival]] = []
    latencies: list[float] = []
    rate = LOAD * TARGETS * SLOTS / MEAN_MS
    now = 0.0

    def dispatch() -> None:
        while queue and (target := choice(targets)) is not None:
            arrival = queue.popleft()
            target.ledger.reserve(str(arrival.number), ReservationKind.REQUEST, NEED)
            target.begin_request(SERVICE)
            mean = MEAN_MS * (SLOW_FACTOR if target.target_id in slow else 1.0)
            duration_ms = rng.expovariate(1 / mean)
            heapq.heappush(
                ends, (now + duration_ms, arrival.number, target, duration_ms, arrival)
            )

    def finish() -> None:
        _, number, target, duration_ms, arrival = heapq.heappop(ends)
        target.ledger.release(str(number))
        before = target.end_request(SERVICE)
        target.record_response(SERVICE, int(duration_ms * 1_000), before)
        latencies.append(now - arrival.at_ms)

    next_arrival = 0.0
    for number in range(REQUESTS):
        next_arrival += rng.expovariate(rate)
        while ends and ends[0][0] <= next_arrival:
            now = ends[0][0]
            finish()
            dispatch()
        now = next_arrival
        queue.append(Arrival(number, now))
        dispatch()
    return percentile(latencies, _P99)


class Share(NamedTuple):
    """The slots that one entry may use, and its queue."""

    slots: int
    queue: deque[Arrival]


def p99_by_shares(
    shares: int, owned: bool, load: float, first_share: float, seed: int
) -> float:
    """Return the p99 latency in ms of requests that arrive at random entries.

    All slots are divided into ``shares``, one per entry; the first entry gets
    ``first_share`` of the requests. With ``owned``, entries choose between the
    shares as origins choose owners, with load reports up to 150 ms old.
    Without it, a request stays where it arrived, as with static shares.
    """
    rng = random.Random(seed)
    slots = TARGETS * SLOTS // shares
    busy = [0] * shares
    queues: list[deque[Arrival]] = [deque() for _ in range(shares)]
    load_tables = [OwnerLoads(10**9) for _ in range(shares)]
    ends: list[tuple[float, int, Arrival]] = []
    origins: dict[int, int] = {}
    latencies: list[float] = []
    rate = load * slots * shares / MEAN_MS
    weight = TARGETS // shares
    now = next_arrival = next_report_ms = 0.0
    sequence = 0

    def begin(share: int) -> None:
        while queues[share] and busy[share] < slots:
            busy[share] += 1
            arrival = queues[share].popleft()
            end = now + rng.expovariate(1 / MEAN_MS)
            heapq.heappush(ends, (end, share, arrival))

    def arrive() -> int:
        if rng.random() < first_share:
            return 0
        return rng.randrange(1, shares) if shares > 1 else 0

    def pick(origin: int) -> int:
        if not owned:
            return origin
        load_table = load_tables[origin]
        local_load = ServiceLoad(slots - busy[origin], len(queues[origin]), 0, 0)
        candidates = [
            Candidate(
                str(n),
                weight,
                local_load
                if n == origin
                else load_table.service_load(str(n), SERVICE, 0),
                False,
                n == origin,
            )
            for n in range(shares)
        ]
        chosen = choose_owner(candidates, rng).entry_id
        load_table.record_send(chosen, SERVICE)
        return int(chosen)

    for number in range(REQUESTS):
        next_arrival += rng.expovariate(rate)
        while ends and ends[0][0] <= next_arrival:
            now, share, arrival = heapq.heappop(ends)
            busy[share] -= 1
            load_tables[origins.pop(arrival.number)].record_answer(str(share), SERVICE)
            latencies.append(now - arrival.at_ms)
            begin(share)
        now = next_arrival
        if owned and now >= next_report_ms:
            sequence += 1
            next_report_ms = now + LOAD_REPORT_INTERVAL_MS
            _publish_loads(load_tables, busy, queues, slots, sequence)
        origins[number] = arrive()
        share = pick(origins[number])
        queues[share].append(Arrival(number, now))
        begin(share)
    return percentile(latencies, _P99)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the ``share`` quantile (0 to 1) of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _publish_loads(
    load_tables: list[OwnerLoads],
    busy: list[int],
    queues: list[deque[Arrival]],
    slots: int,
    sequence: int,
) -> None:
    for share, busy_slots in enumerate(busy):
        service_loads = ((SERVICE, slots - busy_slots, len(queues[share]), 0),)
        load = EntryLoad(str(share), 1, sequence, service_loads)
        for load_table in load_tables:
            load_table.store(load, 0)
