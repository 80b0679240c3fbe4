"""Raft consensus: leader election, log replication, membership and snapshots.

Implements Raft as described by Ongaro and Ousterhout (2014) and in Ongaro's
thesis.
"""

from foxspring_control.raft._frames import DamagedLogError
from foxspring_control.raft._messages import RAFT_MESSAGES, Membership
from foxspring_control.raft._replicated_log import ReplicatedLog, exit_process
from foxspring_control.raft._settings import Member, RaftSettings
from foxspring_control.raft._status import (
    LeadershipChange,
    MemberStatus,
    RaftStatus,
)
from foxspring_control.raft._storage import WrongMemberError
from foxspring_control.raft._vote_notes import VoteNote

__all__ = [
    "DamagedLogError",
    "LeadershipChange",
    "Member",
    "MemberStatus",
    "Membership",
    "RAFT_MESSAGES",
    "RaftSettings",
    "RaftStatus",
    "ReplicatedLog",
    "VoteNote",
    "WrongMemberError",
    "exit_process",
]
