"""Lease under which an entry owns targets and admits requests."""

from typing import NamedTuple

from foxspring_model import EntryLeaseGrant


class EntryLease(NamedTuple):
    """A lease as seen by its holder, in the holder's own time.

    ``until_ms`` is the first instant at which the lease is no longer valid.
    """

    until_ms: int = 0
    leader_id: str = ""
    leader_address: str = ""
    term: int = 0

    def is_valid(self, now_ms: int) -> bool:
        """Return whether the entry may admit work at ``now_ms``."""
        return now_ms < self.until_ms


def renew(
    lease: EntryLease, grant: EntryLeaseGrant, sender: str, now_ms: int
) -> EntryLease:
    """Return the lease after ``grant``, counted from the heartbeat's send time.

    Grants of an older term, or for a heartbeat sent after ``now_ms``, are
    ignored. A grant never shortens the lease.
    """
    if grant.term < lease.term or grant.heartbeat_sent_ms > now_ms:
        return lease
    until_ms = max(lease.until_ms, grant.heartbeat_sent_ms + grant.lease_ms)
    return EntryLease(until_ms, grant.leader_id, sender, grant.term)
