"""Settings of one member of the replicated log."""

from pathlib import Path
from typing import NamedTuple

KIB = 1_024
MIB = 1_024 * KIB


class Member(NamedTuple):
    """One member of the control group; only a voter counts for a quorum."""

    member_id: str
    link_address: str
    voter: bool = True
    failure_domain: str = ""


class RaftSettings(NamedTuple):
    """Settings of one member; times in milliseconds, sizes in bytes.

    ``initial_members`` is the group at its very first start, the same on each
    of its members; all of them must be up for that first start. A member that
    is added later leaves it empty. An election timeout is drawn between
    ``election_timeout_ms`` and twice that. A leader's lease lasts
    ``lease_percent`` of it; the rest is the margin for clock drift.
    """

    member_id: str
    link_address: str
    data_folder: Path
    initial_members: tuple[Member, ...]
    election_timeout_ms: int = 600
    heartbeat_ms: int = 200
    lease_percent: int = 75
    snapshot_every_entries: int = 5_000
    keep_entries: int = 1_000
    max_batch: int = 256
    max_append_bytes: int = 256 * KIB
    max_pending: int = 4_096
    snapshot_chunk_bytes: int = 256 * KIB
    segment_bytes: int = 1 * MIB
    tail_bytes: int = 1 * MIB
    seed: int = 0

    def lease_ms(self) -> int:
        """Return how long a leader may rely on one round of heartbeats."""
        return self.election_timeout_ms * self.lease_percent // 100
