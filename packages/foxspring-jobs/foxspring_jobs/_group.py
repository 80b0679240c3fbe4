"""Decides on changes to the control group: joins and lost members.

Failure pattern: a member's disk is emptied and it returns at its old address; a member
is replaced by one at another address; a removed member resumes; a replaced member
stops as planned.
"""

from typing import NamedTuple

from foxspring_jobs._operations import JoinGroup

# Two changes of leader fit into the time in which a successor catches up.
LOST_AFTER_MS = 1_000


class MemberView(NamedTuple):
    """A member as the leader sees it; ``unreachable_ms`` is 0 while reachable."""

    member_id: str
    link_address: str
    voter: bool
    unreachable_ms: int


class Add(NamedTuple):
    """Add the process that requests to join as a member."""

    join: JoinGroup


class Remove(NamedTuple):
    """Remove a member permanently."""

    member_id: str
    reason: str


def join_change(
    members: tuple[MemberView, ...], join: JoinGroup
) -> Add | Remove | None:
    """Return the next change that lets a process join, or None if it is a member.

    A member with another id at the same address has lost its disk; the joining process
    replaces it.
    """
    for member in members:
        if member.member_id == join.member_id:
            return None
    for member in members:
        if member.link_address == join.link_address:
            return Remove(member.member_id, "address_taken_over")
    return Add(join)


def leave_change(
    members: tuple[MemberView, ...], member_id: str, group_size: int
) -> Remove | None:
    """Return the removal of a member that stops, or None if it has to stay.

    A member that only restarts can't be told from one that has been replaced, so a
    voter leaves only while there are more than ``group_size``.
    """
    voters = [member.member_id for member in members if member.voter]
    if member_id not in voters or len(voters) <= group_size:
        return None
    return Remove(member_id, "leaves")


def surplus_member(members: tuple[MemberView, ...], group_size: int) -> Remove | None:
    """Return a lost voter to remove once other voters have replaced it, or None."""
    voters = [member for member in members if member.voter]
    if len(voters) <= group_size:
        return None
    lost = max(voters, key=lambda member: member.unreachable_ms)
    if lost.unreachable_ms < LOST_AFTER_MS:
        return None
    return Remove(lost.member_id, "lost")
