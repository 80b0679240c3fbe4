"""Random troubles on a cluster whose targets leave behind cuts and come back."""

import unittest
from collections.abc import Callable

from foxspring_model import INVARIANT_CHECKS

from foxspring_jobs._commands import TargetIncarnation
from foxspring_jobs._operations import TargetReport
from foxspring_jobs.tests.fake_target import FakeTarget
from foxspring_jobs.tests.test_random_cluster import RandomCluster

SEEDS = range(4)
DRAINING_MS = 2_500
# After the departure is announced: at once if it is acknowledged, else some seconds.
ENDS_AFTER_MS = (20, 600, 3_000, 5_000)
CLOCK_AHEAD_MS = 1_000_000


class DepartingCluster(RandomCluster):
    """Targets leave while connections to them are refused or silent.

    Late heartbeats of targets that are gone arrive, with births that are ahead.
    """

    def troubles(self) -> list[Callable[[], None]]:
        """Return the troubles of one round to choose from."""
        own = [self.depart, self.depart, self.refuse, self.late_heartbeat]
        return [*super().troubles(), *own * 2]

    def refuse(self) -> None:
        """Cut a target off with refused connections for a while."""
        target = self.any_target()
        target.refuses = True
        duration_ms = self.rng.choice((400, 2_000, 6_000))
        self.cluster.call_later(duration_ms, lambda: setattr(target, "refuses", False))

    def depart(self) -> None:
        """Let a target drain, be cut off, announce its departure, and end later."""
        target = self.any_target()
        target.registered = target.registered._replace(draining=True)
        self.cluster.call_later(DRAINING_MS, lambda: self.announce(target))

    def announce(self, target: FakeTarget) -> None:
        """Announce a departure behind a cut."""
        if self.cluster.targets[target.registered.address] is not target:
            return
        target.refuses = self.rng.random() < 0.7
        target.receives = not target.refuses and self.rng.random() < 0.5
        incarnation = target.registered.incarnation
        self.cluster.leader.target_leaving(*incarnation, self.cluster.answers.append)
        ends_after_ms = self.rng.choice(ENDS_AFTER_MS)
        self.cluster.call_later(ends_after_ms, lambda: self.end(target))

    def end(self, target: FakeTarget) -> None:
        """End a target's process; another one starts at its address."""
        if target.alive:
            target.registered = target.registered._replace(draining=False)
            self.cluster.crash(target)

    def late_heartbeat(self) -> None:
        """Deliver a heartbeat of a target that had an address before."""
        registered = self.any_target().registered
        name = f"{registered.incarnation.target_id}-before"
        born_ms = registered.incarnation.incarnation_ms + CLOCK_AHEAD_MS
        late = registered._replace(incarnation=TargetIncarnation(name, born_ms))
        report = TargetReport(late, 1, 1)
        self.cluster.leader.report(report, self.cluster.answers.append)


class RandomDeparturesTest(unittest.TestCase):
    def test_no_task_runs_twice_while_targets_leave_behind_cuts(self) -> None:
        """Guards: a sign of an end that is taken for the end itself (TWICE)."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                violated = sum(INVARIANT_CHECKS.violated.values())
                site = DepartingCluster(seed, crashes_of_targets=False)
                site.run()
                self.assertEqual(sorted(site.faults), [])
                self.assertEqual(sum(INVARIANT_CHECKS.violated.values()), violated)


if __name__ == "__main__":
    unittest.main()
