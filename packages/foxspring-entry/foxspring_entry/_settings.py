"""Settings of an entry."""

from typing import NamedTuple

Token = tuple[str, str]


class EntrySettings(NamedTuple):
    """Settings of one entry.

    Addresses are ``host:port``; port 0 lets the kernel choose. Tokens are
    pairs of a name and its secret. The suffixes ``_ms`` and ``_bytes`` give the
    units; ``retry_budget_percent`` refers to the requests of the recent past.
    """

    entry_id: str
    failure_domain: str
    link_address: str
    http_address: str
    control_addresses: tuple[str, ...]
    advertised_link_address: str = ""
    caller_tokens: tuple[Token, ...] = ()
    operator_tokens: tuple[Token, ...] = ()
    target_tokens: tuple[Token, ...] = ()
    incarnation: int = 1
    worker_threads: int = 128
    unauthenticated_head_slots: int = 16
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024
    keep_alive_ms: int = 15_000
    default_deadline_ms: int = 10_000
    max_deadline_ms: int = 120_000
    tick_ms: int = 20
    heartbeat_ms: int = 500
    load_interval_ms: int = 150
    load_max_age_ms: int = 1_500
    renew_interval_ms: int = 1_000
    task_lease_ms: int = 5_000
    task_call_timeout_ms: int = 2_000
    stop_timeout_ms: int = 10_000
    connect_timeout_ms: int = 500
    idle_connection_ms: int = 1_000
    max_attempts: int = 3
    retry_budget_percent: int = 20
    key_wait_ms: int = 2_000
    max_key_answer_bytes: int = 64 * 1024
    target_contact_timeout_ms: int = 5_000
    takeover_wait_ms: int = 2_400
    max_send_delay_ms: int = 250
    announcement_interval_ms: int = 2_000
    drain_grace_ms: int = 3_000
    drain_limit_ms: int = 120_000
    drain_without_control_ms: int = 5_000
