"""The state machine's snapshots."""

import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from foxspring_control import LogEntry

from foxspring_jobs._commands import SubmitJob, encode_command
from foxspring_jobs._state_machine import JobStateMachine
from foxspring_jobs.tests.builders import JOB, QUEUE, spec, step


class SnapshotTest(unittest.TestCase):
    # Issue 55: no entry is applied, and no caller answered, while this runs.
    def test_a_snapshot_is_written_without_a_sync_and_read_back(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        machine = JobStateMachine()
        kind, body = encode_command(SubmitJob(JOB, QUEUE, spec(step(2))))
        machine.apply([LogEntry(7, 1, kind, body, 0)])
        path = folder / "state"
        with mock.patch("os.fsync") as fsync, mock.patch("os.fdatasync") as fdatasync:
            self.assertEqual(7, machine.write_snapshot(path))
        fsync.assert_not_called()
        fdatasync.assert_not_called()
        restored = JobStateMachine()
        restored.install_snapshot(path)
        self.assertEqual(7, restored.applied_index())
        self.assertEqual(machine.digest(), restored.digest())


if __name__ == "__main__":
    unittest.main()
