"""Keeps the state within a member's memory, whatever callers submit.

Load pattern: a burst of very wide jobs, or of very many small ones, waits for capacity.
Each accepted job takes memory in every member until some time after its end. A leader
has the state twice, and a third time while it begins or a snapshot is taken. What does
not fit is refused before it is accepted, since a job that no member can hold would be
lost with all others.

Jobs may take one part of the memory and tasks that have begun another, so that waiting
jobs never keep accepted ones from running.
"""

import sys
from typing import NamedTuple

from foxspring_jobs._candidates import PERCENT
from foxspring_jobs._due_occurrences import OpenLimits
from foxspring_jobs._job_size import STARTED_TASK_BYTES, job_bytes
from foxspring_jobs._specs import JobSpec
from foxspring_jobs._state import State

BYTES_PER_MB = 1_000_000
# An interpreter with its libraries, configurations, connections and calls in progress.
PROCESS_MB = 100
# The applied state, the leader's draft, and a third one while that is made.
COPIES = 3
JOBS_PERCENT = 60
# The least to plan with, whatever a process may use.
MIN_STATE_MB = 2
# A job may take this part of what is free. Large jobs are refused while there is still
# room for many small ones, so that a caller's large jobs do not shut out the others.
FREE_PARTS = 32
# Open occurrences of timed jobs may take this part, so that it is left for other jobs.
OCCURRENCES_PERCENT = 50
# An order on its way takes more memory than a run that goes on.
MAX_UNCONFIRMED_STARTS = 1_000
# So many run even if tasks that have begun and wait again take all memory.
MIN_RUNNING = 500


class Refusal(NamedTuple):
    """Why a job is not accepted; a ``lasting`` reason will hold later, too."""

    reason: str
    lasting: bool


class StartLimits(NamedTuple):
    """How many runs one plan may start; ``gang`` bounds a gang, which is not cut."""

    starts: int
    gang: int


NO_START_LIMITS = StartLimits(sys.maxsize, sys.maxsize)


class MemoryBudget:
    """What jobs and started tasks may take in a process of ``memory_mb``, and do take.

    ``repeated_bytes`` is the part of ``used_bytes`` that open occurrences take, but for
    the first one of each job. Between two measurements what comes is added, and what
    ends is not taken out.
    """

    def __init__(self, memory_mb: int) -> None:
        state_mb = max(MIN_STATE_MB, (memory_mb - PROCESS_MB) / COPIES)
        state_bytes = int(state_mb * BYTES_PER_MB)
        self.limit_bytes = state_bytes * JOBS_PERCENT // PERCENT
        self.max_started = (state_bytes - self.limit_bytes) // STARTED_TASK_BYTES
        self.used_bytes = 0
        self.repeated_bytes = 0
        self.started = 0
        self.running = 0

    def measure(self, state: State) -> None:
        """Measure what the state takes now."""
        self.used_bytes = self.repeated_bytes = self.started = self.running = 0
        for job in state.jobs.values():
            self.used_bytes += job.waiting_bytes()
            repeated = max(0, len(job.occurrences) - 1)
            self.repeated_bytes += repeated * job.occurrence_bytes
            for steps in job.occurrences.values():
                for step in steps:
                    self.started += step.own_count
                    self.running += step.running

    def refusal(self, spec: JobSpec) -> Refusal | None:
        """Return why a job cannot be accepted, or None if there is memory for it."""
        widest_gang = max((s.task_count for s in spec.steps if s.gang), default=0)
        if widest_gang > self.max_started:
            reason = f"a gang of {widest_gang} tasks, at most {self.max_started} fit"
            return Refusal(reason, lasting=True)
        needed = job_bytes(spec)
        most = self.limit_bytes // FREE_PARTS
        if needed > most:
            reason = f"steps and tasks take {needed} bytes of memory, at most {most}"
            return Refusal(reason, lasting=True)
        if needed * FREE_PARTS > self.limit_bytes - self.used_bytes:
            reason = "the accepted jobs leave too little memory for this one"
            return Refusal(reason, lasting=False)
        return None

    def open_limits(self) -> OpenLimits:
        """Return what occurrences of timed jobs may be opened now."""
        most = self.limit_bytes * OCCURRENCES_PERCENT // PERCENT
        free_bytes = min(most - self.repeated_bytes, self.limit_bytes - self.used_bytes)
        return OpenLimits(self.limit_bytes // FREE_PARTS, free_bytes)

    def note_opened(self, occurrence_bytes: int) -> None:
        """Count an occurrence that is about to be committed."""
        self.used_bytes += occurrence_bytes
        self.repeated_bytes += occurrence_bytes

    def note_accepted(self, spec: JobSpec) -> None:
        """Count a job that is about to be committed."""
        self.used_bytes += job_bytes(spec)

    def note_started(self, runs: int) -> None:
        """Count runs that are about to be committed."""
        self.started += runs
        self.running += runs

    def start_limits(self, unconfirmed: int) -> StartLimits:
        """Return how many runs may start now.

        ``unconfirmed`` is the number of runs whose targets have not shown them yet.
        """
        room = max(0, self.max_started - self.started)
        starts = max(room, MIN_RUNNING - self.running)
        starts = max(0, min(starts, MAX_UNCONFIRMED_STARTS - unconfirmed))
        return StartLimits(starts, room)
