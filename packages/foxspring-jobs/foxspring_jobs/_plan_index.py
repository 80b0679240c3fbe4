"""What plans look up about their candidates, kept from plan to plan.

Load pattern: tens of plans a second consider hundreds of targets, of which only those
with starts, ends or new measurements have changed since the plan before.
"""

from collections.abc import Sequence

from foxspring_jobs._best_effort import BestEffortIndex
from foxspring_jobs._candidates import Candidate, Effects
from foxspring_jobs._interference import Interference
from foxspring_jobs._room_index import RoomIndex


class PlanIndex:
    """An index of the candidates of one plan at a time.

    A candidate that is the same object as in the plan before counts as unchanged, so
    one that a plan has changed must be replaced before the next plan.
    """

    def __init__(self, interference: Interference) -> None:
        self.interference = interference
        self.effects = Effects(interference)
        self.candidates: Sequence[Candidate] = ()
        self.room = RoomIndex(())
        self._best_effort: BestEffortIndex | None = None

    def begin_plan(self, candidates: Sequence[Candidate]) -> None:
        """Take over the candidates of the next plan and what was learned."""
        previous, self.candidates = self.candidates, candidates
        if not self.effects.are_current():
            self.effects = Effects(self.interference)
        if len(previous) != len(candidates):
            self.room = RoomIndex(candidates)
            self._best_effort = None
            return
        pairs = enumerate(zip(previous, candidates, strict=True))
        changed = [position for position, (old, new) in pairs if old is not new]
        self.room.begin_plan(candidates, changed)
        if self._best_effort is not None:
            self._best_effort.begin_plan(candidates, changed, self.effects)

    def best_effort(self) -> BestEffortIndex:
        """Return the index of the candidates for best-effort tasks."""
        if self._best_effort is None:
            self._best_effort = BestEffortIndex(self.candidates, self.effects)
        return self._best_effort

    def note_change(self, candidate: Candidate) -> None:
        """Update the index after the plan has changed a candidate."""
        if self._best_effort is not None:
            self._best_effort.update(candidate)
