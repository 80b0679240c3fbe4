import unittest

from foxspring_testing._task_run import TaskRun, parse_payload
from foxspring_testing.tests.builders import start_body

START_MS = 50_000
WORK = '{"work_ms": 1000, "checkpoint_every_ms": 200, "result": "r"}'


def run(payload: str = WORK, checkpoint: str = "", lease_ms: int = 5_000) -> TaskRun:
    body = start_body(
        payload=payload, checkpoint=checkpoint, lease_until_ms=START_MS + lease_ms
    )
    return TaskRun(body, 1, START_MS)


class TaskRunTest(unittest.TestCase):
    def test_final_state_and_checkpoint(self) -> None:
        failing = '{"work_ms": 1000, "fail": true}'
        cases = [
            ("half way", WORK, "", 5_000, 500, "running", "400"),
            ("done", WORK, "", 5_000, 1_000, "finished", "1000"),
            ("resumed", WORK, "800", 5_000, 200, "finished", "1000"),
            ("fails", failing, "", 5_000, 1_000, "failed", "1000"),
            ("lease ends", WORK, "", 450, 3_000, "expired", "400"),
        ]
        for name, payload, checkpoint, lease_ms, after_ms, state, saved in cases:
            with self.subTest(name):
                task = run(payload, checkpoint, lease_ms)
                task.advance(START_MS + after_ms)
                self.assertEqual((state, saved), (task.state, task.checkpoint))

    def test_throttle_slows_progress(self) -> None:
        task = run()
        task.throttle(50, START_MS)
        task.advance(START_MS + 1_000)
        self.assertEqual(500, task.progress_ms)

    def test_stop_saves_progress_only_when_asked(self) -> None:
        for save, saved in ((True, "450"), (False, "400")):
            with self.subTest(save=save):
                task = run()
                task.stop(save, START_MS + 450)
                self.assertEqual(("stopped", saved), (task.state, task.checkpoint))

    def test_late_renewal_never_shortens_a_lease(self) -> None:
        task = run(lease_ms=900)
        task.renew(START_MS + 100)
        task.advance(START_MS + 500)
        self.assertTrue(task.running)

    def test_payload_of_wrong_type_is_rejected(self) -> None:
        for text in ("[]", '{"work_ms": "long"}', "{"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_payload(text)
