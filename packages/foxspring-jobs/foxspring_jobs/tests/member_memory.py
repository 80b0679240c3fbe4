"""Fills a member with jobs of one shape up to its budget and prints what it takes.

Usage: ``python -m foxspring_jobs.tests.member_memory SHAPE``. The process holds the
applied state, a leader's draft made from it, and takes a snapshot, as a leader does.
It prints its peak memory in MB and the number of accepted jobs.
"""

import resource
import sys
from collections.abc import Callable

from foxspring_jobs._commands import (
    Advance,
    RunKey,
    RunStart,
    SubmitJob,
    TaskKey,
    decode_command,
    encode_command,
)
from foxspring_jobs._garbage import limit_garbage_collection
from foxspring_jobs._memory_budget import MemoryBudget
from foxspring_jobs._snapshot import decode_state, encode_state
from foxspring_jobs._specs import MAX_TASKS_PER_OCCURRENCE, JobSpec
from foxspring_jobs._state import State
from foxspring_jobs.tests.builders import QUEUE, registered, spec, state_with, step

# ``memoryMb`` of the users' smallest control members.
MEMBER_MB = 296
KB_PER_MB = 1_000
PAYLOAD = "p" * 4_000
MAX_JOBS = 20_000
STARTS_A_COMMAND = 500
SHAPES: dict[str, Callable[[], JobSpec]] = {
    "wide": lambda: spec(step(MAX_TASKS_PER_OCCURRENCE)),
    "half as wide": lambda: spec(step(MAX_TASKS_PER_OCCURRENCE // 2)),
    "usual": lambda: spec(step(8), step(8, after=(0,))),
    "large payload": lambda: JobSpec(PAYLOAD, (step(1),)),
    "many steps": lambda: spec(*(step(1, image=f"i{n}") for n in range(400))),
    "many references": lambda: spec(
        *(step(1, after=tuple(range(n))) for n in range(100))
    ),
    "started": lambda: spec(step(MAX_TASKS_PER_OCCURRENCE)),
}


def fill(state: State, draft: State, budget: MemoryBudget, shape: str) -> int:
    """Submit jobs to both states until one is refused; return how many are not."""
    for number in range(MAX_JOBS):
        job = SHAPES[shape]()
        if budget.refusal(job) is not None:
            return number
        budget.note_accepted(job)
        kind, body = encode_command(SubmitJob(f"{number:016x}", QUEUE, job))
        for replica in (state, draft):
            replica.apply(decode_command(kind, body), 0)
    return MAX_JOBS


def start_all(state: State, draft: State, budget: MemoryBudget) -> None:
    """Start as many tasks as the budget allows."""
    incarnation = next(iter(state.targets.values())).incarnation
    tasks = (
        TaskKey(job_id, 0, 0, n)
        for job_id in list(state.active)
        for n in range(MAX_TASKS_PER_OCCURRENCE)
    )
    while True:
        budget.measure(draft)
        count = min(budget.start_limits(0).starts, STARTS_A_COMMAND)
        if not count:
            return
        runs = [RunKey(next(tasks), 1) for _ in range(count)]
        starts = tuple(RunStart(run, incarnation) for run in runs)
        kind, body = encode_command(Advance(starts=starts))
        for replica in (state, draft):
            replica.apply(decode_command(kind, body), 0)


def main(shape: str) -> None:
    """Fill a member and print its peak memory and its jobs."""
    limit_garbage_collection()
    huge = registered(cores=10**9)._replace(
        capacity=registered().capacity._replace(cores_milli=10**9, memory_mb=10**9)
    )
    state, draft = state_with(huge), state_with(huge)
    budget = MemoryBudget(MEMBER_MB)
    jobs = fill(state, draft, budget, shape)
    if shape == "started":
        start_all(state, draft, budget)
    del draft
    draft, _ = decode_state(encode_state(state, 0))
    snapshot = encode_state(state, 0)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KB_PER_MB
    print(peak_mb, jobs, len(snapshot))


if __name__ == "__main__":
    main(sys.argv[1])
