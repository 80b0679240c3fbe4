"""Proposals of the leader's own commands, one in flight per key."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from foxspring_model import Clock

from foxspring_control._replication import ProposeOutcome
from foxspring_control.service._messages import LogHandle, Post

_LOG = logging.getLogger(__name__)
_ENCODER = msgspec.msgpack.Encoder()

OnOutcome = Callable[[ProposeOutcome], None]


class Proposer:
    """Proposes commands, and drops those whose key is already in flight.

    Outcomes are handled on the actor's thread through ``post``. A command
    without an outcome after ``timeout_ms`` may be proposed again.
    """

    def __init__(
        self, log: LogHandle, post: Post, clock: Clock, timeout_ms: int
    ) -> None:
        self.log = log
        self.post = post
        self.clock = clock
        self.timeout_ms = timeout_ms
        self.in_flight: dict[str, int] = {}

    def propose(self, key: str, command: Any, on_done: OnOutcome | None = None) -> bool:
        """Propose ``command`` and return True, unless ``key`` is in flight."""
        now_ms = self.clock.monotonic_ms()
        proposed_ms = self.in_flight.get(key)
        if proposed_ms is not None and now_ms - proposed_ms < self.timeout_ms:
            return False
        self.in_flight[key] = now_ms

        def done(outcome: ProposeOutcome) -> None:
            self.post(lambda: self._done(key, command, outcome, on_done))

        kind = type(command).__name__
        self.log.propose(kind, _ENCODER.encode(command), done)
        return True

    def _done(
        self,
        key: str,
        command: Any,
        outcome: ProposeOutcome,
        on_done: OnOutcome | None,
    ) -> None:
        self.in_flight.pop(key, None)
        if outcome.status != "applied":
            _LOG.info(
                "event=proposal_not_applied kind=%s key=%s status=%s",
                type(command).__name__,
                key,
                outcome.status,
            )
        if on_done is not None:
            on_done(outcome)
