"""Random commands give the same state on replicas, restarts and snapshots."""

import random
import unittest
from typing import Any

from foxspring_model import (
    INVARIANT_CHECKS,
    ApplyConfiguration,
    AssignOwners,
    CancelJobs,
    ClaimKey,
    CompleteKey,
    DrainTarget,
    EndTasks,
    Eviction,
    EvictTasks,
    OwnerAssignment,
    Placement,
    PlaceTasks,
    RecordTaskEvents,
    RegisterEntry,
    RegisterTarget,
    RemoveEntry,
    RemoveTarget,
    Resources,
    SubmitJob,
    Task,
    TaskEvent,
)
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from foxspring_control._replication import LogEntry
from foxspring_control.state import ControlState, StateSettings
from foxspring_control.state.tests.builders import (
    CONFIGURATION,
    SERVICE,
    SMALL,
    StateDriver,
    entry_info,
    job_spec,
    target_info,
)

STEPS = 1_200
LIMITS = StateSettings(
    prune_interval_entries=8,
    answer_limit=40,
    audit_limit=50,
    job_limit=60,
    removed_target_limit=5,
    configuration_limit=10,
)
TARGET_CAPACITY = Resources(slots=8, connections=8, cores_milli=4_000, memory_mb=4_000)
EVENTS = ("started", "refused", "finished", "failed", "checkpointed", "stopped", "lost")
TEXTS = tuple(CONFIGURATION + SERVICE.format(replicas=n) for n in range(4))


class RandomCommands:
    """Generates random commands that conflict with each other, and resends."""

    def __init__(self, rng: random.Random, driver: StateDriver) -> None:
        self.rng = rng
        self.driver = driver
        self.history: list[Any] = []
        self.generators = (
            (self.apply, 3),
            (self.submit, 10),
            (self.cancel, 3),
            (self.drain, 1),
            (self.target, 5),
            (self.entry, 3),
            (self.owners, 8),
            (self.place, 25),
            (self.evict, 6),
            (self.events, 30),
            (self.key, 6),
            (self.end, 1),
            (self.resend, 5),
        )

    def next(self) -> Any:
        """Return the next command."""
        generators, weights = zip(*self.generators, strict=True)
        command = self.rng.choices(generators, weights)[0]()
        self.history.append(command)
        return command

    def change_id(self) -> str:
        return str(self.rng.randint(1, 400))

    def who(self) -> str:
        return self.rng.choice(("eleni", "radu"))

    def apply(self) -> Any:
        base = self.driver.revision() - self.rng.choice((0, 0, 0, 1))
        text = self.rng.choice((*TEXTS, "[broken"))
        return ApplyConfiguration(self.change_id(), self.who(), base, text)

    def submit(self) -> Any:
        spec = job_spec(self.rng.randint(1, 3), resources=SMALL)
        return SubmitJob(self.change_id(), self.who(), spec)

    def cancel(self) -> Any:
        jobs = tuple(f"job-{self.rng.randint(1, 80)}" for _ in range(4))
        return CancelJobs(self.change_id(), self.who(), jobs)

    def drain(self) -> Any:
        draining = self.rng.random() < 0.3
        return DrainTarget(self.change_id(), self.who(), self.target_id(), draining)

    def target(self) -> Any:
        number, incarnation = self.rng.randint(1, 4), self.rng.randint(1, 3)
        if self.rng.random() < 0.3:
            return RemoveTarget(f"target-{number}", incarnation)
        return RegisterTarget(
            target_info(number, incarnation, capacity=TARGET_CAPACITY)
        )

    def entry(self) -> Any:
        number, incarnation = self.rng.randint(1, 3), self.rng.randint(1, 3)
        if self.rng.random() < 0.3:
            return RemoveEntry(f"entry-{number}", incarnation)
        return RegisterEntry(entry_info(number, incarnation))

    def owners(self) -> Any:
        entry_id = self.rng.choice(("", "entry-1", "entry-2", "entry-3"))
        return AssignOwners((OwnerAssignment(self.target_id(), entry_id),))

    def place(self) -> Any:
        placements = [
            Placement(task.task_id, task.epoch + 1, self.target_id())
            for task in self.sample_tasks("queued", 4)
        ]
        return PlaceTasks(tuple(placements))

    def evict(self) -> Any:
        tasks = self.sample_tasks("running", 2)
        return EvictTasks(tuple(Eviction(t.task_id, t.epoch, "noisy") for t in tasks))

    def events(self) -> Any:
        events = []
        for state in ("starting", "running", "stopping"):
            for task in self.sample_tasks(state, 2):
                epoch = task.epoch - self.rng.choice((0, 0, 0, 0, 1))
                kind = self.rng.choice(EVENTS)
                checkpoint = str(self.rng.randint(1, 9))
                events.append(
                    TaskEvent(task.task_id, epoch, task.target_id, kind, checkpoint)
                )
        reporter = self.rng.choice(("", "entry-1", "entry-2", "entry-3"))
        return RecordTaskEvents(tuple(events), reporter)

    def key(self) -> Any:
        key, entry = str(self.rng.randint(1, 6)), f"entry-{self.rng.randint(1, 3)}"
        claim_id = str(self.rng.randint(1, 3))
        if self.rng.random() < 0.5:
            return ClaimKey(key, "f", entry, self.rng.randint(1, 3), claim_id)
        verdict = self.rng.choice(("ran", "not_run", "may_have_run"))
        return CompleteKey(key, entry, 1, verdict, 200, (), b"x", claim_id)

    def end(self) -> Any:
        tasks = self.sample_tasks("queued", 1)
        return EndTasks(tuple(task.task_id for task in tasks), "fits nowhere")

    def resend(self) -> Any:
        if not self.history:
            return self.submit()
        return self.rng.choice(self.history)

    def target_id(self) -> str:
        return f"target-{self.rng.randint(1, 4)}"

    def sample_tasks(self, state: str, count: int) -> list[Task]:
        with self.driver.state.reading() as tables:
            tasks = [record.task for record in tables.tasks.in_state(state)]
        return self.rng.sample(tasks, min(count, len(tasks)))


class ReplicaTest(unittest.TestCase):
    def test_batches_restarts_and_snapshots_all_give_the_same_digest(self) -> None:
        for number in range(3):
            with self.subTest(seed=number):
                self._run(random.Random(number))

    def _run(self, rng: random.Random) -> None:
        violated = INVARIANT_CHECKS.violated.total()
        driver = StateDriver(LIMITS)
        self.addCleanup(driver.close)
        commands = RandomCommands(rng, driver)
        revision = 0
        snapshot_at = rng.randint(STEPS // 3, STEPS // 2)
        snapshot = driver.path() / "snapshot"
        for step in range(STEPS):
            driver.apply(commands.next())
            self.assertGreaterEqual(driver.revision(), revision)
            revision = driver.revision()
            if step == snapshot_at:
                driver.state.write_snapshot(snapshot)
            if step % 400 == 399:
                driver.reopen()
        self._check_rows(driver.state)
        digest = driver.state.digest()
        follower = driver.open(driver.path("follower"))
        self._apply_log(follower, driver.log, rng)
        self.assertEqual(follower.digest(), digest)
        late = driver.open(driver.path("late"))
        self._apply_log(late, driver.log[: snapshot_at // 2], rng)
        late.install_snapshot(snapshot)
        self.assertEqual(late.applied_index(), snapshot_at + 1)
        self._apply_log(late, driver.log, rng)
        self.assertEqual(late.digest(), digest)
        for state in (follower, late):
            state.close()
        self.assertEqual(INVARIANT_CHECKS.violated.total(), violated)

    def _apply_log(
        self, state: ControlState, log: list[LogEntry], rng: random.Random
    ) -> None:
        """Apply a log in overlapping batches, as after a restart."""
        first = 0
        while first < len(log):
            count = rng.randint(1, 50)
            state.apply(log[max(0, first - 3) : first + count])
            first += count

    def _check_rows(self, state: ControlState) -> None:
        with state.reading() as tables:
            for target in tables.targets.every():
                placed = tables.tasks.on_target(target.info.target_id)
                cores = sum(record.task.resources.cores_milli for record in placed)
                self.assertLessEqual(cores, TARGET_CAPACITY.cores_milli, target)
            rows = tables.connection.execute("SELECT job_id FROM job").fetchall()
            for (job_id,) in rows:
                job = tables.jobs.get(job_id)
                counts = tables.tasks.count_by_state(job_id)
                ended = ("finished", "failed", "cancelled")
                left = sum(n for name, n in counts.items() if name not in ended)
                self.assertEqual(job and job.open_tasks, left, job_id)


class RaceTest(unittest.TestCase):
    @seed(4)
    @settings(max_examples=40, deadline=None, suppress_health_check=list(HealthCheck))
    @given(
        st.lists(
            st.tuples(st.sampled_from(["eleni", "radu"]), st.integers(1, 4)),
            min_size=2,
            max_size=12,
        )
    )
    def test_each_base_has_one_winner_and_each_change_id_one_answer(
        self, sends: list[tuple[str, int]]
    ) -> None:
        driver = StateDriver()
        answers: dict[tuple[str, int], Any] = {}
        winners: dict[int, tuple[str, int]] = {}
        for who, number in sends:
            base = number // 2
            text = CONFIGURATION + f"# {who} {number}\n"
            answer = driver.apply(ApplyConfiguration(str(number), who, base, text))
            self.assertEqual(answers.setdefault((who, number), answer), answer)
            if answer["status"] == "ok":
                self.assertEqual(winners.setdefault(base, (who, number)), (who, number))
            else:
                self.assertIn("won_by", answer)
        self.assertEqual(driver.revision(), len(winners))
        driver.close()
