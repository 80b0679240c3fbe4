"""Timeouts and limits of the leader's work."""

from typing import NamedTuple


class ServiceSettings(NamedTuple):
    """Settings of one control member's service; times are milliseconds.

    ``entry_lease_ms`` and ``task_lease_ms`` are the durations of an entry's and a
    task's lease. A lease counts as expired only after ``drift_percent`` more and
    ``margin_ms``; ``drift_percent`` covers two clocks that are each 10% off in
    opposite directions. A target is silent after ``target_silent_after_ms``
    without an announcement or a usage sample; after ``target_suspect_after_ms``
    it gets no new tasks. An entry must have held its lease for
    ``stable_after_ms`` before targets are moved to it; that time doubles with
    each loss of its lease within ``flap_window_ms``, up to
    ``max_stable_after_ms``.
    """

    entry_lease_ms: int = 2_000
    task_lease_ms: int = 5_000
    drift_percent: int = 25
    margin_ms: int = 200
    target_suspect_after_ms: int = 4_000
    target_silent_after_ms: int = 8_000
    stable_after_ms: int = 5_000
    max_stable_after_ms: int = 300_000
    flap_window_ms: int = 600_000
    fleet_interval_ms: int = 200
    rebalance_interval_ms: int = 2_000
    moves_per_round: int = 8
    moves_percent: int = 5
    proposal_timeout_ms: int = 3_000
    resend_interval_ms: int = 1_000
    resends_per_tick: int = 256
    start_retention_ms: int = 15_000
    task_page_size: int = 1_500
    missing_run_timeout_ms: int = 15_000
    replica_check_interval_ms: int = 2_000
    drain_interval_ms: int = 1_000
    drain_evictions_per_round: int = 16
    push_interval_ms: int = 300
    placements_per_command: int = 64

    def entry_lease_expiry_ms(self) -> int:
        """Return the time after a grant when an entry lease has expired."""
        return self._with_margin(self.entry_lease_ms)

    def target_leases_expiry_ms(self) -> int:
        """Return the time without an owner after which all task leases have expired.

        The last owner may have renewed them until its own lease expired.
        """
        return self.entry_lease_expiry_ms() + self.task_lease_expiry_ms()

    def task_lease_expiry_ms(self) -> int:
        """Return the time without renewal after which a task lease has expired."""
        return self._with_margin(self.task_lease_ms)

    def _with_margin(self, lease_ms: int) -> int:
        return lease_ms * (100 + self.drift_percent) // 100 + self.margin_ms
