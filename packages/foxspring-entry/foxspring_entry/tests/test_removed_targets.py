"""Nothing is kept of a target that is no longer in the ownership table."""

import random
import unittest

import msgspec
from foxspring_model import OwnedTarget, OwnershipUpdate

from foxspring_entry._core import EntryCore
from foxspring_entry._messages import ReportAcks, TargetReleased
from foxspring_entry.tests import builders

NOW_MS = 10_000
OWN_ID = "e-1"
PEER_ID = "e-2"
PEER_ADDRESS = f"{PEER_ID}:link"


class RemovedTargetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = builders.settings(OWN_ID, "c:1")
        self.core = EntryCore(
            self.settings,
            f"{OWN_ID}:link",
            f"{OWN_ID}:http",
            builders.configuration,
            random.Random(1),
        )
        self.version = 0

    def update_table(self, *targets: OwnedTarget) -> None:
        """Make these the targets of the ownership table."""
        self.version += 1
        entries = (builders.entry_info(OWN_ID), builders.entry_info(PEER_ID))
        update = OwnershipUpdate(True, 0, self.version, entries, targets, ())
        self.core.on_message("c:1", update, NOW_MS)

    def acked_by_report(self) -> list[list[str | int]]:
        body = builders.report()
        return self.core.on_report(body, msgspec.json.encode(body), NOW_MS)[1]

    def wait_of_takeover_ms(self) -> int:
        """Return how long this entry waits before it calls its target."""
        takeover = self.core.targets.targets["t-1"].takeover
        assert takeover is not None
        return takeover.exclusive_from_ms - NOW_MS

    def test_acks_are_kept_until_the_next_report(self) -> None:
        self.update_table(builders.owned(owner=PEER_ID))
        acks = ReportAcks("t-1", (("job-1/0", 3),))
        self.core.on_message(PEER_ADDRESS, acks, NOW_MS)
        self.assertEqual(self.acked_by_report(), [["job-1/0", 3]])
        self.assertEqual(self.acked_by_report(), [])

    def test_acks_of_a_removed_target_are_dropped(self) -> None:
        self.update_table(builders.owned(owner=PEER_ID))
        acks = ReportAcks("t-1", (("job-1/0", 3),))
        self.core.on_message(PEER_ADDRESS, acks, NOW_MS)
        self.update_table()
        self.update_table(builders.owned(owner=PEER_ID, owner_epoch=5))
        self.assertEqual(self.acked_by_report(), [])

    def test_release_before_the_table_names_the_target_shortens_the_wait(self) -> None:
        self.core.on_message(PEER_ADDRESS, TargetReleased("t-1", 2), NOW_MS)
        self.update_table(builders.owned(owner=OWN_ID, owner_epoch=2))
        self.assertLess(self.wait_of_takeover_ms(), self.settings.takeover_wait_ms)

    def test_release_of_a_removed_target_is_dropped(self) -> None:
        self.update_table(builders.owned(owner=PEER_ID))
        self.core.on_message(PEER_ADDRESS, TargetReleased("t-1", 2), NOW_MS)
        self.update_table()
        self.update_table(builders.owned(owner=OWN_ID, owner_epoch=2))
        self.assertEqual(self.wait_of_takeover_ms(), self.settings.takeover_wait_ms)

    def test_release_after_the_removal_is_dropped_at_the_next_one(self) -> None:
        other = builders.owned("t-2", owner=PEER_ID)
        self.update_table(builders.owned(owner=PEER_ID), other)
        self.update_table(other)
        self.core.on_message(PEER_ADDRESS, TargetReleased("t-1", 2), NOW_MS)
        self.update_table()
        self.update_table(builders.owned(owner=OWN_ID, owner_epoch=2))
        self.assertEqual(self.wait_of_takeover_ms(), self.settings.takeover_wait_ms)

    def test_targets_without_an_owner_are_not_listed_once_removed(self) -> None:
        self.update_table(builders.owned(owner=PEER_ID))
        self.update_table(builders.owned(owner=""))
        self.assertEqual(self.core.table._ended_owner_targets, {"t-1"})
        self.update_table()
        self.assertEqual(self.core.table._ended_owner_targets, set())


if __name__ == "__main__":
    unittest.main()
