"""Builders of what a member knows about its leader."""

from typing import Any

from foxspring_control.raft import (
    LeadershipChange,
    Member,
    MemberStatus,
    RaftStatus,
    VoteNote,
)

from foxspring_jobs._leader_losses import LossCounts
from foxspring_jobs._leaderless import LeaderView

NO_LEADER = LeadershipChange(False, 4, "", "")
PLENTY_BYTES = 10**10


def member_status(name: str, reachable: bool = False) -> MemberStatus:
    """Return a voter's status."""
    return MemberStatus(Member(name, f"{name}:1"), False, -1, reachable)


def raft_status(role: str = "pre_candidate", **more: Any) -> RaftStatus:
    """Return the status of member ``a`` of five; ``heard`` is how many it hears."""
    heard = more.pop("heard", 5)
    status = RaftStatus(
        member_id="a",
        role=role,
        term=4,
        leader_id="",
        leader_address="",
        commit_index=10,
        applied_index=10,
        last_index=12,
        snapshot_index=0,
        first_index=1,
        members=tuple(member_status(name) for name in "abcde"),
        lease_valid=False,
        elections=3,
        sync_count=0,
        disk_bytes=0,
        refusal_reason="",
        votes=tuple(VoteNote(name, 0, "") for name in "bcde"[: heard - 1]),
        votes_needed=3,
        voters_heard=heard,
    )
    return status._replace(**more)


def leader_view(status: RaftStatus | None = None, **more: Any) -> LeaderView:
    """Return the view of a member that knows no leader."""
    view = LeaderView(
        status=status or raft_status(),
        leadership=NO_LEADER,
        began=False,
        lease_valid=False,
        leading_error="",
        log_waits_ms=0,
        waiting_for="",
        free_bytes=PLENTY_BYTES,
        losses=LossCounts(0, 0),
    )
    return view._replace(**more)
