"""Times and limits of the leader's duties."""

from typing import NamedTuple


class ServiceSettings(NamedTuple):
    """Settings of one control member's service; times are milliseconds.

    ``entry_lease_ms`` is an entry's lease and ``task_lease_ms`` a task's; both
    are stretched by ``drift_percent`` and ``margin_ms`` before they count as
    surely ended. A target is silent after ``target_silent_after_ms`` without an
    announcement or a usage sample; nothing is placed on it from
    ``target_suspect_after_ms`` on. An entry must have held its lease for
    ``stable_after_ms`` before targets are moved to it; that time doubles with each
    loss of its lease within ``flap_window_ms``, up to ``max_stable_after_ms``.
    ``drift_percent`` covers two clocks that are each 10% off, in opposite ways.
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
        """Return after how long a granted entry lease has surely ended."""
        return self._with_margin(self.entry_lease_ms)

    def target_leases_expiry_ms(self) -> int:
        """Return after how long without an owner no task lease can be left.

        The last owner may have renewed them until its own lease ended.
        """
        return self.entry_lease_expiry_ms() + self.task_lease_expiry_ms()

    def task_lease_expiry_ms(self) -> int:
        """Return after how long without renewal a task's lease has ended."""
        return self._with_margin(self.task_lease_ms)

    def _with_margin(self, lease_ms: int) -> int:
        return lease_ms * (100 + self.drift_percent) // 100 + self.margin_ms
