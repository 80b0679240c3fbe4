"""What the scores of a plan keep follows the starts of the plan."""

import unittest
from typing import Any
from unittest import mock

from foxspring_jobs._candidates import Candidate, Effects
from foxspring_jobs._commands import TaskKey
from foxspring_jobs._interference import Interference
from foxspring_jobs._scores import TargetScores
from foxspring_jobs.tests.builders import registered, spec, state_with, step, submit
from foxspring_jobs.tests.planning import plan

TARGETS = 40
IMAGES = 38
SERVICE = "pool"
LASTING = step(long_running=True, image="web", latency_target_ms=50)


class TargetScoresTest(unittest.TestCase):
    def test_compact_scores_follow_each_long_running_start(self) -> None:
        state = state_with(*(registered(f"t{n}") for n in range(TARGETS)))
        candidates = [Candidate(target) for target in state.targets.values()]
        effects = Effects(Interference())
        kept = TargetScores(candidates, effects)
        spared = set()
        for number, candidate in enumerate(candidates):
            new = TargetScores(candidates, effects)
            # The reserve of a plan is that of its beginning and is left out here.
            kept_score = kept.compact_score(LASTING, SERVICE)(candidates[-1])[1:]
            new_score = new.compact_score(LASTING, SERVICE)(candidates[-1])[1:]
            self.assertEqual(kept_score, new_score)
            spared.add(new_score[2])
            for start in (LASTING, step()):
                candidate.reserve(TaskKey("job", 0, 0, number), start)
                kept.note_start(start)
        self.assertEqual(spared, {False, True})

    def test_plan_starts_the_same_as_with_scores_that_keep_nothing(self) -> None:
        state = state_with(*(registered(f"t{n}") for n in range(TARGETS)))
        for number in range(IMAGES):
            lasting = LASTING._replace(task_count=3, image=f"web-{number}")
            submit(state, spec(lasting), f"{number:016x}")
        starts = plan(state)
        self.assertEqual(len(starts), 3 * IMAGES)
        compact_score = TargetScores.compact_score

        def new_score(scores: TargetScores, *what: Any) -> Any:
            scores.note_start(LASTING)
            return compact_score(scores, *what)

        with mock.patch.object(TargetScores, "compact_score", new_score):
            self.assertEqual(plan(state), starts)


if __name__ == "__main__":
    unittest.main()
