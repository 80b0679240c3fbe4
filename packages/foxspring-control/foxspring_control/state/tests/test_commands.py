"""Tests of keys, resent changes, fleet commands, pruning and snapshots."""

import sqlite3
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from foxspring_model import (
    CancelJobs,
    ClaimKey,
    CommandResult,
    CompleteKey,
    DrainTarget,
    EndTasks,
    Eviction,
    EvictTasks,
    RegisterEntry,
    RegisterTarget,
    RemoveEntry,
    RemoveTarget,
    SubmitJob,
    TaskState,
)

from foxspring_control.state import STATE_FILE, StateSettings
from foxspring_control.state.tests.builders import (
    CONFIGURATION,
    SERVICE,
    StateDriver,
    entry_info,
    job_spec,
    target_info,
)


class StateTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = StateDriver()
        self.addCleanup(self.driver.close)

    def restart_from_snapshot(self) -> None:
        """Continue on a new replica that installed a snapshot."""
        driver = self.driver
        path = driver.path() / "snapshot"
        driver.state.write_snapshot(path)
        replica = driver.open(driver.path(f"replica-{len(driver.log)}"))
        replica.install_snapshot(path)
        self.assertEqual(replica.digest(), driver.state.digest())
        driver.state.close()
        driver.state = replica


class KeyTest(StateTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.driver.fleet(targets=0)

    def claim(self, claim_id: str, entry: int = 1, **fields: Any) -> CommandResult:
        claim = ClaimKey("k", "f", f"entry-{entry}", 1, claim_id)
        return self.driver.apply(claim._replace(**fields))

    def complete(
        self, claim_id: str, verdict: str, body: bytes = b"", entry: int = 1
    ) -> CommandResult:
        entry_id = f"entry-{entry}"
        command = CompleteKey(
            "k", entry_id, 1, verdict, 200, (("A", "b"),), body, claim_id
        )
        return self.driver.apply(command)

    def test_one_request_claims_a_key_and_the_others_get_its_outcome(self) -> None:
        self.assertEqual(self.claim("a")["key_state"], "claimed")
        self.assertEqual(self.claim("a")["key_state"], "claimed")
        for claim_id, entry in (("b", 1), ("c", 2), ("", 1)):
            self.assertEqual(self.claim(claim_id, entry)["key_state"], "pending")
        self.assertEqual(self.claim("d", fingerprint="g")["key_state"], "mismatch")
        self.complete("a", "ran", b"\x00\xff")
        self.restart_from_snapshot()
        done = self.claim("b")
        self.assertEqual(done["key_state"], "done")
        self.assertEqual(done["key_verdict"], "ran")
        self.assertEqual(
            (done["key_body"], done["key_headers"]), ("AP8=", [["A", "b"]])
        )

    def test_only_the_claim_itself_frees_its_key(self) -> None:
        self.claim("a")
        for claim_id, entry in (("b", 1), ("", 1), ("a", 2)):
            answer = self.complete(claim_id, "not_run", entry=entry)
            self.assertEqual(answer["status"], "rejected", (claim_id, entry))
            self.assertEqual(self.claim("b")["key_state"], "pending")
        self.complete("a", "not_run")
        self.assertEqual(self.claim("b")["key_state"], "claimed")

    def test_a_claim_of_a_removed_or_restarted_entry_may_have_run(self) -> None:
        gone: tuple[Any, ...] = (
            RemoveEntry("entry-1", 1),
            RegisterEntry(entry_info(1, 2)),
        )
        for command in gone:
            with self.subTest(type(command).__name__):
                self.setUp()
                self.claim("a")
                self.assertEqual(self.claim("b", entry=2)["key_state"], "pending")
                self.driver.apply(command)
                result = self.claim("b", entry=2)
                self.assertEqual(result["key_verdict"], "may_have_run")
                self.assertEqual(self.claim("x", key="y")["status"], "rejected")

    def test_an_outcome_too_long_to_keep_may_have_run(self) -> None:
        self.claim("a")
        limit = self.driver.settings.key_body_limit_bytes
        self.complete("a", "ran", b"x" * (limit + 1))
        self.assertEqual(self.claim("b")["key_verdict"], "may_have_run")

    def test_a_key_over_the_limit_is_rejected_until_one_expires(self) -> None:
        self.driver.close()
        self.driver = StateDriver(StateSettings(key_limit=2, prune_interval_entries=1))
        self.driver.fleet(targets=0)
        for key in "ab":
            self.assertEqual(self.claim(key, key=key)["key_state"], "claimed")
        self.assertEqual(self.claim("c", key="c")["status"], "rejected")
        self.driver.now_ms += self.driver.settings.key_retention_ms + 1
        self.assertEqual(self.claim("d", key="a")["key_state"], "claimed")
        self.assertEqual(self.claim("e", key="c")["key_state"], "claimed")


class ResendTest(StateTestCase):
    def test_every_change_id_gets_its_first_answer_and_one_effect(self) -> None:
        self.driver.configure()
        self.driver.fleet()
        job_id = self.driver.submit(change_id="first")
        commands: tuple[Any, ...] = (
            SubmitJob("s", "eleni", job_spec()),
            SubmitJob("rejected", "eleni", job_spec(team="nobody")),
            CancelJobs("c", "eleni", (job_id, "job-99")),
            DrainTarget("d", "eleni", "target-1", True),
        )
        first = [self.driver.apply(command) for command in commands]
        self.driver.apply(DrainTarget("undo", "eleni", "target-1", False))
        restarts: tuple[Callable[[], None], ...] = (
            self.driver.reopen,
            self.restart_from_snapshot,
        )
        for restart in restarts:
            restart()
            again = [self.driver.apply(command) for command in commands]
            self.assertEqual(again, first)
        with self.driver.state.reading() as tables:
            self.assertEqual(tables.counters.get("job_number"), 2)
            target = tables.targets.get("target-1")
            self.assertIsNotNone(target)
            self.assertFalse(target and target.draining)

    def test_a_change_id_used_for_another_change_is_rejected(self) -> None:
        self.driver.configure()
        self.driver.submit(change_id="s")
        answer = self.driver.apply(SubmitJob("s", "eleni", job_spec(tasks=3)))
        self.assertEqual(answer["status"], "rejected")
        other = self.driver.apply(SubmitJob("s", "radu", job_spec(tasks=3)))
        self.assertEqual(other["job_id"], "job-2")

    def test_a_team_with_open_jobs_can_not_be_removed(self) -> None:
        self.driver.configure()
        self.driver.submit()
        with self.assertRaisesRegex(AssertionError, "1 open jobs"):
            self.driver.configure("[team moulds]\n")

    def test_old_answers_jobs_and_audit_records_are_deleted(self) -> None:
        self.driver.close()
        limits = StateSettings(
            prune_interval_entries=1, job_limit=3, audit_limit=5, answer_limit=5
        )
        self.driver = StateDriver(limits)
        self.driver.configure()
        for number in range(8):
            job_id = self.driver.submit()
            self.driver.apply(CancelJobs(f"c{number}", "eleni", (job_id,)))
        with self.driver.state.reading() as tables:
            kept = [
                tables.connection.execute(f"SELECT count(*) FROM {name}").fetchone()[0]
                for name in ("job", "task", "audit", "answer")
            ]
        self.assertEqual(kept, [3, 3, 5, 5])


class FleetTest(StateTestCase):
    def test_an_owner_epoch_never_repeats_when_a_target_is_registered_again(
        self,
    ) -> None:
        epochs = []
        self.driver.fleet(targets=1)
        for entry in (1, 2, 1):
            self.driver.own("target-1", f"entry-{entry}")
            epochs.append(self.owner_epoch())
            self.driver.apply(RemoveTarget("target-1", 1))
            self.driver.apply(RegisterTarget(target_info(1)))
        self.assertEqual(sorted(set(epochs)), epochs)

    def test_a_target_with_a_placed_task_is_not_removed(self) -> None:
        self.driver.configure()
        self.driver.fleet()
        self.driver.place(f"{self.driver.submit()}/0")
        answer = self.driver.apply(RemoveTarget("target-1", 1))
        self.assertEqual(answer["status"], "rejected")

    def test_stale_incarnations_change_nothing(self) -> None:
        self.driver.apply(RegisterEntry(entry_info(1, 5)))
        self.driver.apply(RegisterTarget(target_info(1, 5)))
        for command in (
            RegisterEntry(entry_info(1, 4)),
            RemoveEntry("entry-1", 4),
            RegisterTarget(target_info(1, 4)),
            RemoveTarget("target-1", 4),
        ):
            with self.subTest(type(command).__name__):
                answer = self.driver.apply(command)
                self.assertEqual(answer["status"], "rejected")
        with self.driver.state.reading() as tables:
            self.assertEqual(tables.entries.every(), [entry_info(1, 5)])
            kept = [record.info for record in tables.targets.every()]
        self.assertEqual(kept, [target_info(1, 5)])

    def test_no_task_is_placed_on_a_full_draining_leaving_or_unknown_target(
        self,
    ) -> None:
        self.driver.configure()
        self.driver.fleet(targets=3)
        job_id = self.driver.submit(job_spec(70))
        self.driver.apply(DrainTarget("d", "eleni", "target-2", True))
        self.driver.apply(RegisterTarget(target_info(3, 2, leaving=True)))
        placed = [self.driver.place(f"{job_id}/{n}") for n in range(70)]
        starting = [t for t in placed if t.state is TaskState.STARTING]
        self.assertEqual(len(starting), 64)
        for target in ("target-2", "target-3", "target-9"):
            task = self.driver.place(f"{job_id}/69", target)
            self.assertIs(task.state, TaskState.QUEUED)

    def test_a_changed_replica_size_reaches_replicas_when_placed_again(self) -> None:
        self.driver.fleet()
        self.driver.configure(CONFIGURATION + SERVICE.format(replicas=1))
        task = self.driver.place("service/register/0")
        bigger = SERVICE.format(replicas=1).replace("100", "200")
        self.driver.configure(CONFIGURATION + bigger)
        self.assertEqual(self.driver.task(task.task_id).resources.memory_mb, 100)
        eviction = Eviction(task.task_id, task.epoch, "resized")
        self.driver.apply(EvictTasks((eviction,)))
        again = self.driver.report(task, "stopped")
        self.assertEqual(again.resources.memory_mb, 200)

    def test_a_job_with_an_unplaceable_task_has_failed(self) -> None:
        self.driver.configure()
        job_id = self.driver.submit()
        self.driver.apply(EndTasks((f"{job_id}/0",), "fits nowhere"))
        with self.driver.state.reading() as tables:
            job = tables.jobs.get(job_id)
        self.assertIsNotNone(job)
        self.assertEqual(job and (job.open_tasks, job.failed_tasks), (0, 1))

    def owner_epoch(self) -> int:
        with self.driver.state.reading() as tables:
            record = tables.targets.get("target-1")
        return record.owner_epoch if record is not None else -1


class SnapshotTest(StateTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.driver.configure()
        self.path = self.driver.path() / "snapshot"
        self.index = self.driver.state.write_snapshot(self.path)

    def test_a_damaged_old_or_foreign_snapshot_is_rejected(self) -> None:
        self.assertEqual(self.index, 1)
        whole = self.path.read_bytes()
        cases = {
            "torn": whole[: len(whole) // 2],
            "text": b"not a database",
            "empty": b"",
        }
        for name, content in cases.items():
            with self.subTest(name):
                self.path.write_bytes(content)
                self.assert_refused(self.path)
        other = self.driver.path() / "other"
        connection = sqlite3.connect(other)
        connection.execute("CREATE TABLE t (x)")
        connection.close()
        self.assert_refused(other)
        self.path.write_bytes(whole)
        self.driver.submit()
        self.assert_refused(self.path)

    def test_a_damaged_database_is_replaced_and_rebuilt_from_the_log(self) -> None:
        driver = self.driver
        for number in range(40):
            driver.submit(job_spec(20), change_id=str(number))
        digest = driver.state.digest()
        driver.state.close()
        file = driver.path() / STATE_FILE
        whole = file.read_bytes()
        damages = (
            b"no database" + whole[11:],
            whole[:9_000] + b"\xff" * 20_000 + whole[29_000:],
            whole[:-20_000],
        )
        for damaged in damages:
            file.write_bytes(damaged)
            driver.state = driver.open(driver.path())
            self.assertEqual(driver.state.applied_index(), 0)
            driver.state.apply(driver.log)
            self.assertEqual(driver.state.digest(), digest)
            driver.state.close()
        driver.state = driver.open(driver.path())
        self.assertEqual(driver.state.digest(), digest)

    def test_a_crash_while_a_snapshot_is_copied_keeps_the_state(self) -> None:
        (self.driver.path() / "state.installing").write_bytes(b"half")
        self.driver.reopen()
        self.assertEqual(self.driver.revision(), 1)
        self.restart_from_snapshot()

    def assert_refused(self, path: Path) -> None:
        with self.assertRaises(ValueError):
            self.driver.state.install_snapshot(path)
        self.assertEqual(self.driver.revision(), 1)
