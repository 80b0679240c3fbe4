"""Decides what a member does that leads and can't take the state over.

Another member may be able to, so the leadership is handed over. A reason that all
members share would send it around without end, and each hand-over costs an election.
A member that follows another one's leadership therefore keeps its own for a while, and
longer after each hand-over; meanwhile it tries again.
"""

import math
from typing import NamedTuple

from foxspring_control.raft import LeadershipChange
from foxspring_model import Clock

RETRY_MS = 1_000
MAX_RETRY_MS = 5_000
HAND_OVER_PAUSE_MS = 3_000
MAX_HAND_OVER_PAUSE_MS = 60_000
MAX_DOUBLINGS = 5


class NextAttempt(NamedTuple):
    """Whether to hand the leadership over, and when to try again if that fails."""

    hands_over: bool
    retry_ms: int


class LeadingAttempts:
    """The attempts to begin that failed since one succeeded."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures = 0
        self.hand_overs = 0
        self.kept_since_ms = -math.inf

    def note_change(self, before: LeadershipChange) -> None:
        """Note the end of what was known about the leadership until now."""
        if before.leader_id and not before.is_leader:
            self.kept_since_ms = self.clock.monotonic_ms()

    def note_begun(self) -> None:
        """Note an attempt that succeeded."""
        self.failures = 0
        self.hand_overs = 0

    def note_failed(self) -> NextAttempt:
        """Note an attempt that failed, and return what to do next."""
        retry_ms = min(RETRY_MS << min(self.failures, MAX_DOUBLINGS), MAX_RETRY_MS)
        self.failures += 1
        now_ms = self.clock.monotonic_ms()
        hands_over = now_ms >= self.kept_since_ms + self._pause_ms()
        if hands_over:
            self.hand_overs += 1
            self.kept_since_ms = now_ms
        return NextAttempt(hands_over, retry_ms)

    def _pause_ms(self) -> int:
        pause_ms = HAND_OVER_PAUSE_MS << min(self.hand_overs, MAX_DOUBLINGS)
        return min(pause_ms, MAX_HAND_OVER_PAUSE_MS)
