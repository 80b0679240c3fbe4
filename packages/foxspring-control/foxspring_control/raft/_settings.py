"""Settings of one member of the Raft group."""

from pathlib import Path
from typing import NamedTuple

KIB = 1_024
MIB = 1_024 * KIB


class Member(NamedTuple):
    """One member of the control group; only voters count towards a quorum."""

    member_id: str
    link_address: str
    voter: bool = True
    failure_domain: str = ""


class RaftSettings(NamedTuple):
    """Settings of one member; times in milliseconds, sizes in bytes.

    ``initial_members`` is the group at its first start and must be equal on all
    of its members; all of them must be running for the first election. It is
    empty for a member that is added later. Election timeouts are random between
    ``election_timeout_ms`` and twice that. A leader lease lasts
    ``lease_percent`` of ``election_timeout_ms``; the rest is the margin for
    clock drift.

    A snapshot is due after ``snapshot_every_entries``, or once the log has grown
    by ``snapshot_min_bytes`` and by the size of the last snapshot. At most
    ``retained_entries`` of ``retained_bytes`` are kept before it. With
    ``reserve_bytes`` terms and votes are stored when the disk is full; without,
    they wait for space.
    """

    member_id: str
    link_address: str
    data_folder: Path
    initial_members: tuple[Member, ...]
    election_timeout_ms: int = 600
    heartbeat_ms: int = 200
    lease_percent: int = 75
    snapshot_every_entries: int = 5_000
    retained_entries: int = 1_000
    max_batch: int = 256
    max_append_bytes: int = 256 * KIB
    max_pending: int = 4_096
    snapshot_chunk_bytes: int = 256 * KIB
    segment_bytes: int = 1 * MIB
    log_cache_bytes: int = 1 * MIB
    seed: int = 0
    # Small beside the disk of a control member, large beside most states.
    snapshot_min_bytes: int = 8 * MIB
    # A follower that is further behind gets the snapshot, which is faster.
    retained_bytes: int = 4 * MIB
    # Room for one batch of entries and many thousands of votes on a full disk.
    reserve_bytes: int = 4 * MIB

    def lease_ms(self) -> int:
        """Return how long a leader lease lasts after the heartbeats were sent."""
        return self.election_timeout_ms * self.lease_percent // 100
