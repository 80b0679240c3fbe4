import tempfile
import unittest
from pathlib import Path

from foxspring_jobs._group import (
    LOST_AFTER_MS,
    Add,
    MemberView,
    Remove,
    join_change,
    leave_change,
    surplus_member,
)
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import MemberSettings, choose_member_id, raft_settings
from foxspring_jobs._operations import JoinGroup
from foxspring_jobs._target_clock import EXPIRY_MARGIN_MS, TargetClock


def view(name: str, unreachable_ms: int = 0, voter: bool = True) -> MemberView:
    return MemberView(name, f"{name}:1", voter, unreachable_ms)


GROUP = (view("a"), view("b"), view("c"))


class JoinTest(unittest.TestCase):
    def test_known_member_needs_no_change(self) -> None:
        self.assertIsNone(join_change(GROUP, JoinGroup("a", "a:1", "")))

    def test_member_with_an_emptied_folder_takes_over_its_address(self) -> None:
        join = JoinGroup("a#2", "a:1", "")
        self.assertEqual(join_change(GROUP, join), Remove("a", "address_taken_over"))
        self.assertEqual(join_change(GROUP[1:], join), Add(join))

    def test_lost_member_is_removed_only_when_replaced(self) -> None:
        lost = (view("a", LOST_AFTER_MS), view("b"), view("c"))
        self.assertIsNone(surplus_member(lost, 3))
        change = surplus_member((*lost, view("d")), 3)
        self.assertEqual(change, Remove("a", "lost"))

    def test_learner_does_not_replace_a_lost_voter(self) -> None:
        lost = (view("a", LOST_AFTER_MS), view("b"), view("c"))
        self.assertIsNone(surplus_member((*lost, view("d", voter=False)), 3))

    def test_no_member_is_removed_while_all_are_reachable(self) -> None:
        self.assertIsNone(surplus_member((*GROUP, view("d")), 3))


class LeaveTest(unittest.TestCase):
    def test_member_leaves_only_while_there_are_more_voters_than_needed(self) -> None:
        group = (*GROUP, view("d"))
        self.assertEqual(leave_change(group, "a", 3), Remove("a", "leaves"))
        self.assertIsNone(leave_change(group, "a", 4))
        self.assertIsNone(leave_change(GROUP, "a", 3))

    def test_learner_does_not_count_and_does_not_leave(self) -> None:
        group = (*GROUP, view("d", voter=False))
        self.assertIsNone(leave_change(group, "a", 3))
        self.assertIsNone(leave_change((*group, view("e")), "d", 3))


class IdentityTest(unittest.TestCase):
    def settings(self, folder: str, founding: bool, address: str) -> MemberSettings:
        seeds = ("10.0.0.1:1", "10.0.0.2:1")
        return MemberSettings(
            address, Path(folder), "fd", seeds, founding, LeaderSettings()
        )

    def test_founders_know_the_first_group_and_others_know_none(self) -> None:
        cases = (
            (True, "10.0.0.1:1", "10.0.0.1:1", 2),
            (False, "10.0.0.1:1", "10.0.0.1:1#77", 0),
            (True, "10.0.0.9:1", "10.0.0.9:1#77", 0),
        )
        for founding, address, expected, founders in cases:
            with self.subTest(address=address), tempfile.TemporaryDirectory() as folder:
                settings = self.settings(folder, founding, address)
                member_id = choose_member_id(settings, 77)
                raft = raft_settings(settings, member_id)
                self.assertEqual(member_id, expected)
                self.assertEqual(len(raft.initial_members), founders)

    def test_existing_data_folder_keeps_its_id(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "member.json").write_text('"10.0.0.1:1#5"')
            settings = self.settings(folder, True, "10.0.0.1:1")
            self.assertEqual(choose_member_id(settings, 77), "10.0.0.1:1#5")


class TargetClockTest(unittest.TestCase):
    def test_lease_counts_as_expired_only_once_a_two_percent_slow_clock_passed_it(
        self,
    ) -> None:
        clock = TargetClock(0, 4_000)
        clock.add_sample(1_000, 0)
        until = clock.grant_lease(100)
        self.assertIsNotNone(until)
        expiry = next(t for t in range(20_000) if clock.all_leases_expired(t))
        slow_reading = 1_000 + expiry * 98 // 100
        self.assertGreaterEqual(slow_reading, until or 0)

    def test_without_contact_the_lease_of_an_earlier_leader_is_waited_out(
        self,
    ) -> None:
        clock = TargetClock(10_000, 4_000)
        self.assertFalse(clock.all_leases_expired(10_000 + 4_000))
        self.assertTrue(clock.all_leases_expired(10_000 + 4_082 + EXPIRY_MARGIN_MS))
        self.assertIsNone(clock.grant_lease(10_000))

    def test_late_reading_does_not_move_the_clock_back(self) -> None:
        clock = TargetClock(0, 4_000)
        clock.add_sample(5_000, 100)
        clock.add_sample(1_000, 200)
        self.assertGreaterEqual(clock.reading_at(200), 5_000)


if __name__ == "__main__":
    unittest.main()
