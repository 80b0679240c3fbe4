"""Invariants that the program checks at run time."""

import logging
import threading
from collections import Counter
from enum import StrEnum

_LOG = logging.getLogger(__name__)


class Invariant(StrEnum):
    """A property that must always hold."""

    CAPACITY = "capacity"
    ONE_PLACE = "one_place"
    RESUME_ONCE = "resume_once"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    ONE_LEADER_A_TERM = "one_leader_a_term"
    COMMITTED_STAYS = "committed_stays"
    LEAVING_GETS_NOTHING = "leaving_gets_nothing"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    REVISION_NEVER_FALLS = "revision_never_falls"


class InvariantChecks:
    """Counts checks and violations by invariant; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.checked: Counter[Invariant] = Counter()
        self.violated: Counter[Invariant] = Counter()

    def check(self, invariant: Invariant, holds: bool, detail: str = "") -> bool:
        """Count one check of ``invariant`` and return ``holds``.

        A violation is logged with ``detail``. If this returns false, the caller
        must not perform the action that would violate the invariant.
        """
        with self._lock:
            self.checked[invariant] += 1
            if not holds:
                self.violated[invariant] += 1
        if not holds:
            _LOG.critical(
                "event=invariant_violated invariant=%s detail=%r", invariant, detail
            )
        return holds


INVARIANT_CHECKS = InvariantChecks()
