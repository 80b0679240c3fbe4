"""Scores targets for the tasks of a step; the lowest score is the best."""

from collections.abc import Callable, Iterable

from foxspring_jobs._candidates import Candidate, Effects
from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._compaction import (
    compaction_score,
    free_targets_are_scarce,
    whole_reserve,
)
from foxspring_jobs._ranking import Score
from foxspring_jobs._specs import StepSpec


class TargetScores:
    """The scores of one plan over its candidates."""

    def __init__(self, candidates: Iterable[Candidate], effects: Effects) -> None:
        self.candidates = list(candidates)
        self.effects = effects
        self._reserves: dict[str, frozenset[TargetIncarnation]] = {}
        self._free_are_scarce: dict[str, bool] = {}

    def note_start(self, step: StepSpec) -> None:
        """Note that a start of a step was counted on a candidate, or undone."""
        if step.long_running:
            self._free_are_scarce = {}

    def score(self, candidate: Candidate, step: StepSpec) -> Score:
        """Return the score of a target for a task of a step."""
        rack = candidate.target.registered.rack
        off_rack = bool(step.data_rack) and rack != step.data_rack
        on_probation = candidate.on_probation
        cores = step.resources.cores_milli
        unused = candidate.unused_cores()
        if step.latency_target_ms:
            return (
                on_probation,
                self._exceeds_limit(candidate, step),
                *self._packing_score(candidate, step),
            )
        if step.best_effort:
            risk = candidate.risk(self.effects, step.image, cores)
            # Harmless images prefer sensitive targets and leave the tolerant
            # ones to others.
            sensitivity = self.effects.sensitivity(candidate.serving_images())
            return (
                on_probation,
                risk > 1,
                candidate.is_crowded(step),
                off_rack,
                risk > 0,
                -sensitivity,
                -unused,
            )
        return (on_probation, off_rack, -unused)

    def reserve(self, service: str) -> frozenset[TargetIncarnation]:
        """Return the targets that new long-running tasks of a service leave alone."""
        if service not in self._reserves:
            self._reserves[service] = whole_reserve(self.candidates, service)
        return self._reserves[service]

    def is_compacted(self, step: StepSpec, service: str) -> bool:
        """Return whether a step's tasks leave whole targets free for short tasks."""
        if not step.long_running or step.best_effort:
            return False
        return bool(self.reserve(service))

    def compact_score(
        self, step: StepSpec, service: str
    ) -> Callable[[Candidate], Score]:
        """Return the score of a target for long-running tasks that are compacted.

        Its first part tells whether the target belongs to the reserve.
        """
        spare_free_targets = self._free_are_scarce.get(service)
        if spare_free_targets is None:
            spare_free_targets = free_targets_are_scarce(self.candidates, service)
            self._free_are_scarce[service] = spare_free_targets
        reserve = self.reserve(service)

        def score(candidate: Candidate) -> Score:
            return (
                candidate.target.incarnation in reserve,
                candidate.on_probation,
                bool(step.latency_target_ms) and self._exceeds_limit(candidate, step),
                *compaction_score(candidate, step, self.effects, spare_free_targets),
            )

        return score

    def _exceeds_limit(self, candidate: Candidate, step: StepSpec) -> bool:
        effects = self.effects
        expected = effects.baseline(step.image)
        for best_effort, cores in candidate.best_effort_cores.items():
            expected += effects.per_millicore(step.image, best_effort) * cores
        return expected > effects.limit(step.image, step.latency_target_ms)

    def _packing_score(self, candidate: Candidate, step: StepSpec) -> Score:
        images, added_sensitivity = candidate.effect_of_adding(self.effects, step.image)
        return images, added_sensitivity, -candidate.used_percent()
