"""Whole entries over HTTP and links, with a fake control and a fake target."""

import unittest
from typing import Any

from foxspring_link import SystemClock
from foxspring_model import (
    HEADER_REQUEST_ID,
    HEADER_VERDICT,
    Priority,
    Resources,
    RunTask,
    StopTask,
)

from foxspring_entry import Entry
from foxspring_entry.tests import builders
from foxspring_entry.tests.builders import FakeControl, FakeTarget, call, wait_until


class Cluster:
    """Entries with one control and their targets."""

    def __init__(self, case: unittest.TestCase, entries: int) -> None:
        self.case = case
        self.control = FakeControl()
        case.addCleanup(self.control.close)
        self.entries = [self.start_entry(f"e-{n + 1}") for n in range(entries)]

    def start_entry(self, entry_id: str, **changes: Any) -> Entry:
        """Start an entry and stop it at the end of the test."""
        settings = builders.settings(entry_id, self.control.link.address, **changes)
        entry = Entry(
            settings, SystemClock(), builders.codec(), builders.configuration, seed=1
        )
        entry.start()
        self.case.addCleanup(entry.close)
        return entry

    def start_target(self, target_id: str) -> FakeTarget:
        """Start a target and wait until its owner sends to it."""
        target = FakeTarget(target_id, self.entries)
        self.case.addCleanup(target.close)
        wait_until(lambda: self.is_open(target_id), f"{target_id} is open")
        return target

    def is_open(self, target_id: str) -> bool:
        """Tell whether an entry owns the target and sends to it."""
        return any(
            target.target_id == target_id and not target.waits
            for entry in self.entries
            if entry.is_live()
            for target in entry.status().targets
        )


class RequestTest(unittest.TestCase):
    def test_request_is_relayed_to_the_owner_and_answered(self) -> None:
        cluster = Cluster(self, 2)
        cluster.control.owner_of = lambda target_id: "e-2"
        target = cluster.start_target("t-1")
        first = cluster.entries[0]
        wait_until(lambda: first.status().ownership_version > 2, "table at e-1")
        answer = call(first, "GET", "/services/register/pipes?x=1")
        request_id = answer.headers[HEADER_REQUEST_ID]
        self.assertEqual((answer.status, answer.headers[HEADER_VERDICT]), (200, "ran"))
        self.assertEqual(answer.data, f"answer to {request_id}".encode())
        self.assertEqual(target.started, [request_id])


class TaskTest(unittest.TestCase):
    def test_task_starts_under_a_lease_and_stops(self) -> None:
        cluster = Cluster(self, 1)
        target = cluster.start_target("t-1")
        size = Resources(cores_milli=1_000, memory_mb=1_000)
        run = RunTask(
            "j/0", "j", 1, "t-1", 1, "", size, Priority.NORMAL, "default", "", ""
        )
        cluster.control.send("e-1", run)
        events = cluster.control.events
        wait_until(lambda: [e.kind for e in events] == ["started"], "task started")
        wait_until(lambda: ["j/0", 1] in target.renewed[-1]["tasks"], "lease renewed")
        cluster.control.send("e-1", StopTask("j/0", 1, "t-1", True))
        wait_until(lambda: len(events) == 2, "task stopped")
        self.assertEqual((events[1].kind, events[1].checkpoint), ("stopped", "cp-9"))
        wait_until(lambda: not target.tasks, "the ending is acked")


if __name__ == "__main__":
    unittest.main()
