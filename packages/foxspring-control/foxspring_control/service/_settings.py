"""Times and limits of the leader's duties."""

from typing import NamedTuple


class ServiceSettings(NamedTuple):
    """Settings of one control member's service; times are milliseconds.

    ``entry_lease_ms`` is an entry's lease and ``task_lease_ms`` a task's; both
    are stretched by ``drift_percent`` and ``margin_ms`` before they count as
    surely ended. A target is silent after ``target_silence_ms`` without an
    announcement or a usage sample; nothing is placed on it from
    ``target_suspect_ms`` on. An entry must have held its lease for
    ``stable_ms`` before targets are moved to it; that time doubles with each
    loss of its lease within ``flap_memory_ms``, up to ``stable_most_ms``.
    ``drift_percent`` covers two clocks that are each 10% off, in opposite ways.
    """

    entry_lease_ms: int = 2_000
    task_lease_ms: int = 5_000
    drift_percent: int = 25
    margin_ms: int = 200
    target_suspect_ms: int = 4_000
    target_silence_ms: int = 8_000
    stable_ms: int = 5_000
    stable_most_ms: int = 300_000
    flap_memory_ms: int = 600_000
    fleet_interval_ms: int = 200
    rebalance_interval_ms: int = 2_000
    moves_a_round: int = 8
    moves_percent: int = 5
    proposal_timeout_ms: int = 3_000
    resend_interval_ms: int = 1_000
    resends_a_tick: int = 256
    offer_memory_ms: int = 15_000
    load_page_tasks: int = 1_500
    unconfirmed_ms: int = 15_000
    replica_check_ms: int = 2_000
    departure_interval_ms: int = 1_000
    departures_a_round: int = 16
    push_interval_ms: int = 300
    placements_a_command: int = 64

    def entry_lease_surely_ms(self) -> int:
        """Return after how long a granted entry lease has surely ended."""
        return self._surely(self.entry_lease_ms)

    def target_leases_surely_ms(self) -> int:
        """Return after how long without an owner no task lease can be left.

        The last owner may have renewed them until its own lease ended.
        """
        return self.entry_lease_surely_ms() + self.task_lease_surely_ms()

    def task_lease_surely_ms(self) -> int:
        """Return after how long without renewal a task's lease has ended."""
        return self._surely(self.task_lease_ms)

    def _surely(self, lease_ms: int) -> int:
        return lease_ms * (100 + self.drift_percent) // 100 + self.margin_ms
