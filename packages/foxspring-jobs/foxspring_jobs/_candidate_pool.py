"""Keeps the candidates of one leadership from plan to plan.

Load pattern: tens of plans a second look at hundreds of targets, of which only those
with starts, ends or new measurements have changed since the plan before.
"""

from foxspring_jobs._candidates import Candidate
from foxspring_jobs._crash_counts import Suspicion
from foxspring_jobs._isolation import max_isolated
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._session import TargetSession
from foxspring_jobs._state import TargetState


class CandidatePool:
    """The targets that may start new runs, as candidates for one plan at a time."""

    def __init__(self, context: LeaderContext) -> None:
        self.context = context
        self._kept: dict[str, Candidate] = {}

    def candidates(self) -> list[Candidate]:
        """Return the targets that may start new runs now.

        The candidates returned before must not be used any more.
        """
        now_ms = self.context.clock.monotonic_ms()
        kept, self._kept = self._kept, {}
        may_be_isolated = max_isolated(len(self.context.sessions))
        for target_id, session in self.context.sessions.items():
            target = self.context.draft.target(session.incarnation)
            if target is None or not session.may_start(now_ms):
                continue
            candidate = _candidate_of(session, target, kept.get(target_id))
            if candidate.suspicion is Suspicion.ISOLATED:
                may_be_isolated -= 1
                if may_be_isolated < 0:
                    candidate.suspicion = Suspicion.SUSPECT
            self._kept[target_id] = candidate
        return list(self._kept.values())


def _candidate_of(
    session: TargetSession, target: TargetState, kept: Candidate | None
) -> Candidate:
    max_starts = 1 if session.health.quarantine_count else 0
    if kept is None or not _is_current(kept, session, target):
        kept = Candidate(
            target,
            session.health.on_probation(),
            max_starts,
            session.own_pressure,
            session.paced_cores(target),
        )
    suspicion = session.suspicion(target) if session.suspects else Suspicion.NONE
    kept.begin_plan(max_starts, session.any_over_target, suspicion)
    return kept


def _is_current(kept: Candidate, session: TargetSession, target: TargetState) -> bool:
    """Return whether a candidate is as a new one would be."""
    same_pressure = kept.own_pressure is session.own_pressure
    same_probation = kept.on_probation == session.health.on_probation()
    paced = session.paces or kept.is_paced
    return kept.is_current(target) and same_pressure and same_probation and not paced
