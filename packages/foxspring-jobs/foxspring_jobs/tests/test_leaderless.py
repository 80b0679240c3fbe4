"""The reason for which a member neither leads nor follows a leader."""

import unittest

from foxspring_control.raft import LeadershipChange, VoteNote

from foxspring_jobs._leader_losses import (
    LOSS_WINDOW_MS,
    SNAPSHOT_WINDOW_MS,
    LeaderLosses,
    LossCounts,
)
from foxspring_jobs._leaderless import (
    LOG_WAIT_LIMIT_MS,
    MANY_LOSSES,
    MAX_REASON_CHARS,
    decline_reason,
    trouble,
    votes_text,
)
from foxspring_jobs.tests.leader_views import leader_view, member_status, raft_status

LEADS = LeadershipChange(True, 4, "a", "a:1")
FOLLOWS = LeadershipChange(False, 4, "b", "b:1")


class TroubleTest(unittest.TestCase):
    # Issue 55: declines told none of these from the others.
    def test_each_cause_has_a_reason_of_its_own(self) -> None:
        late = leader_view(
            log_waits_ms=LOG_WAIT_LIMIT_MS, waiting_for="write", free_bytes=0
        )
        refusing = leader_view(raft_status("follower", refusal_reason="empty folder"))
        failing = leader_view(leadership=LEADS, leading_error="ValueError: odd")
        failed = leader_view(leading_error="ValueError: odd")
        without_lease = leader_view(raft_status("leader"), leadership=LEADS, began=True)
        unannounced = leader_view(raft_status("leader", commit_index=0))
        deferred = leader_view(raft_status("follower", leader_id="b"))
        outside = leader_view(raft_status(members=(member_status("b"),)))
        beginning = leader_view(raft_status("follower", heard=1, votes=()))
        flapping = leader_view(
            leadership=FOLLOWS, losses=LossCounts(MANY_LOSSES, MANY_LOSSES - 1)
        )
        cases = (
            (late, "log stands still for 1000 ms in write, 0 bytes free"),
            (refusing, "refuses to take part: empty folder"),
            (failing, "could not take over the state: ValueError: odd"),
            (failed, "could not take over the state: ValueError: odd"),
            (without_lease, "leads without a valid lease: 5 of 5 voters answer"),
            (unannounced, "elected but not yet serving: entries committed to 0 of 12"),
            (deferred, "its log hears b, not announced yet: entries applied to 10"),
            (outside, "no voter and no leader heard"),
            (beginning, "no leader heard, no vote asked for: 1 of 5 voters answer"),
            (leader_view(raft_status(heard=2)), "no quorum: 2 of 5 voters answer"),
            (leader_view(), "elections without a leader: 5 of 5 voters answer"),
            (flapping, "5 leaders lost in 60 s, 4 at a snapshot"),
        )
        for view, expected in cases:
            with self.subTest(expected=expected):
                self.assertIn(expected, trouble(view))
                self.assertIn(expected, decline_reason(view))

    def test_member_that_serves_or_follows_has_no_trouble(self) -> None:
        leading = leader_view(
            raft_status("leader"), leadership=LEADS, began=True, lease_valid=True
        )
        following = leader_view(raft_status("follower"), leadership=FOLLOWS)
        for view in (leading, following):
            self.assertEqual(trouble(view), "")
        self.assertTrue(decline_reason(following).startswith("follows b; follower"))

    def test_reason_is_bounded_and_has_what_else_is_known(self) -> None:
        denials = tuple(VoteNote(f"m{n}", 0, "voted for x" * 50) for n in range(16))
        view = leader_view(
            raft_status(denials=denials),
            leading_error="'\n" * 1_000,
            losses=LossCounts(2, 1),
        )
        self.assertLessEqual(len(decline_reason(view)), MAX_REASON_CHARS)
        few = leader_view(
            raft_status(denials=(VoteNote("b", 0, "is in term 5"),)),
            losses=LossCounts(2, 1),
        )
        self.assertIn("2 leaders lost in 60 s, 1 at a snapshot", decline_reason(few))
        self.assertIn("denied b is in term 5", decline_reason(few))

    def test_votes_name_silent_voters_and_members_with_emptied_disks(self) -> None:
        votes = (VoteNote("b", 0, ""), VoteNote("c", 0, "unknown"))
        status = raft_status(votes=(*votes, VoteNote("d#7", 0, "unknown")))
        self.assertEqual(
            votes_text(status),
            "b granted; c denied; d silent; e silent; d#7 denied (no voter)",
        )


class LeaderLossesTest(unittest.TestCase):
    def test_losses_after_a_stored_snapshot_are_counted_apart(self) -> None:
        losses = LeaderLosses()
        losses.note_snapshot(100, 0)
        losses.note_leader("b", 10)
        self.assertIs(losses.note_leader("", 20), False)
        losses.note_leader("c", 30)
        losses.note_snapshot(200, 40)
        self.assertIs(losses.note_leader("b", 40 + SNAPSHOT_WINDOW_MS - 1), True)
        self.assertIs(losses.note_leader("", 40 + SNAPSHOT_WINDOW_MS), False)
        self.assertIsNone(losses.note_leader("", 50 + SNAPSHOT_WINDOW_MS))
        now_ms = 60 + SNAPSHOT_WINDOW_MS
        self.assertEqual(losses.counts(now_ms), LossCounts(3, 1))
        self.assertEqual(losses.counts(now_ms + LOSS_WINDOW_MS), LossCounts(0, 0))


if __name__ == "__main__":
    unittest.main()
