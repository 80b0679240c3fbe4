"""Random failing jobs, failing targets and leaders; short, seeded runs.

By hand: ``python3 -m foxspring_jobs.tests.test_random_failures FIRST LAST``.
"""

import random
import sys
import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any

from foxspring_model import Resources

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._specs import JobSpec
from foxspring_jobs.tests.builders import spec, step
from foxspring_jobs.tests.failing_site import (
    IDLE_LIMIT_MS,
    RESTART_LIMIT_MS,
    SHORT_MS,
    FailingSite,
    lasting_step,
)
from foxspring_jobs.tests.fake_target import FakeTarget

SEEDS = range(6)
ROUNDS = 40
ROUND_MS = 500
SETTLE_MS = 20_000
WATCH_MS = 60_000
MAX_STARTS_A_MINUTE = 20
MAX_FAULTY_SHARE = 0.25
SMALL = Resources(cores_milli=200, memory_mb=10)


class RandomFailures:
    """A site with random failures; ``faults`` names promises that were broken."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.site = FailingSite(self.rng.choice((4, 6, 12)))
        self.lasting: list[str] = []
        self.failing_tasks: set[TaskKey] = set()
        self.faulty: list[FakeTarget] = []
        self.faults: set[str] = set()

    def run(self) -> None:
        """Cause failures for a while, mend the targets, and watch what goes on."""
        for _ in range(ROUNDS):
            self.rng.choice(self.troubles())()
            self.site.submit_short(self.rng.randrange(4))
            self.site.cluster.run(ROUND_MS)
        self.mend_targets()
        self.site.cluster.run(SETTLE_MS)
        self.check_short_jobs()
        self.watch()
        self.check_short_jobs()
        self.faults.update(self.site.cluster.violations)

    def troubles(self) -> list[Callable[[], None]]:
        return [
            self.submit_lasting,
            self.submit_lasting,
            self.submit_failing,
            self.submit_failing,
            self.submit_with_failing_task,
            self.fault,
            self.mend_targets,
            self.mend_job,
            self.site.cluster.change_leader,
        ]

    def submit_lasting(self) -> None:
        if len(self.lasting) < 6:
            self.lasting.append(self.site.submit_lasting(self.rng.randint(1, 4), SMALL))

    def submit_failing(self) -> None:
        lasting = self.rng.random() < 0.4
        if lasting and self.lasting_failing() >= 4:
            return
        job_id = self.site.submit_failing(self.failing_spec(lasting))
        if lasting:
            job = self.site.cluster.leader.context.draft.jobs[job_id]
            tasks = job.spec.steps[0].task_count
            self.failing_tasks |= {TaskKey(job_id, 0, 0, n) for n in range(tasks)}

    def lasting_failing(self) -> int:
        return len({key.job_id for key in self.failing_tasks})

    def failing_spec(self, lasting: bool) -> JobSpec:
        count = self.rng.randint(1, 6)
        if lasting:
            return spec(lasting_step(count, SMALL))
        kinds: tuple[dict[str, Any], ...] = (
            {},
            {"speculative": True},
            {"best_effort": True, "image": "fill"},
        )
        return spec(step(count, **self.rng.choice(kinds)))

    def submit_with_failing_task(self) -> None:
        if self.lasting_failing() < 4:
            job_id = self.site.submit_with_a_failing_task(3)
            self.failing_tasks.add(TaskKey(job_id, 0, 0, 2))

    def mend_job(self) -> None:
        """Let the next runs of a lasting job that fails last."""
        jobs = sorted({key.job_id for key in self.failing_tasks})
        if not jobs:
            return
        job_id = self.rng.choice(jobs)
        self.failing_tasks = {k for k in self.failing_tasks if k.job_id != job_id}
        self.site.mend(job_id)
        self.lasting.append(job_id)

    def fault(self) -> None:
        """Let one more target fail every run."""
        targets = self.site.targets()
        if len(self.faulty) < max(1, int(len(targets) * MAX_FAULTY_SHARE)):
            target = self.rng.choice([t for t in targets if t not in self.faulty])
            target.fails = True
            self.faulty.append(target)

    def mend_targets(self) -> None:
        for target in self.faulty:
            target.fails = False
        self.faulty = []

    def check_short_jobs(self) -> None:
        jobs = self.site.submit_short(8)
        self.site.cluster.run(IDLE_LIMIT_MS + SHORT_MS + 200)
        late = self.site.not_done(jobs)
        if late:
            self.faults.add(f"{len(late)} short jobs are not done")

    def watch(self) -> None:
        """Check what runs and starts while nothing else changes."""
        for job_id in self.lasting:
            tasks = self.site.cluster.committed.jobs[job_id].spec.steps[0].task_count
            if self.site.running(job_id) != tasks:
                self.faults.add(f"{self.site.running(job_id)} of {tasks} of {job_id}")
        started: Counter[TaskKey] = Counter()
        for _ in range(0, WATCH_MS, RESTART_LIMIT_MS):
            before = self.starts()
            self.site.cluster.run(RESTART_LIMIT_MS)
            new = self.starts() - before
            started += new
            for key in self.failing_tasks - set(new):
                self.faults.add(f"{key} has not started")
        for key, count in started.items():
            if count > MAX_STARTS_A_MINUTE * 1.1:
                self.faults.add(f"{key} started {count} times")
        sessions = self.site.cluster.leader.context.sessions.values()
        if any(session.health.quarantine_count for session in sessions):
            self.faults.add("a sound target is in quarantine")

    def starts(self) -> Counter[TaskKey]:
        runs = (run.task for target in self.site.targets() for run in target.started)
        return Counter(key for key in runs if key in self.failing_tasks)


class RandomFailuresTest(unittest.TestCase):
    # Guards against targets kept from sound jobs, and against lasting tasks without a
    # run, in mixes of failing work, failing targets and new leaders.
    def test_sound_work_goes_on_whatever_fails(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                failures = RandomFailures(seed)
                failures.run()
                self.assertEqual(failures.faults, set())


def main() -> None:
    """Play the seeds from the first to the last argument and print the faults."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        failures = RandomFailures(seed)
        failures.run()
        print(seed, sorted(failures.faults) or "good", flush=True)


if __name__ == "__main__":
    main()
