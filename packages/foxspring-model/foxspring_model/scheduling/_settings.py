"""Limits and constants of the scheduler."""

from typing import NamedTuple


class SchedulerSettings(NamedTuple):
    """Limits and constants of the scheduler.

    Fields ending in ``_ms`` are milliseconds; fields ending in ``_percent`` and
    the entries of ``throttle_steps`` are percentages. ``seed`` makes every random
    choice of a scheduler repeatable.

    Search: ``placements_per_call``, ``searches_per_call`` and
    ``nodes_per_search`` bound the work of one call of ``decide``.
    ``groups_per_lane`` bounds the task groups that it tries in a lane and
    ``failed_searches_per_lane`` the searches there that find no target.
    ``candidates`` targets are compared for a task, and at most
    ``starting_per_target`` tasks start on a target at the same time. A decision
    that is not committed is made again after ``command_timeout_ms``, and one that
    the owner of the target refused after ``refusal_delay_ms``. A call ends at most
    ``ends_per_call`` tasks.

    Failures: a task is ended after ``tries_per_task`` failed runs that are not
    attributed to the targets, or after ``runs_per_task`` failed runs of any kind.
    Tasks that have not failed are ended as well once their job, without any
    success, has failed on ``tries_per_task`` targets that are not quarantined.
    The back-off before the next run doubles from ``retry_delay_ms`` up to
    ``retry_delay_max_ms``. A target with ``failures_to_quarantine`` consecutive
    failures is quarantined for ``quarantine_ms``, doubling up to
    ``quarantine_max_ms``. At most ``quarantine_percent`` of the targets are
    quarantined or probed at the same time. After its quarantine a target is
    probed with one task at a time, until one succeeds or runs for ``probe_ms``.
    A job that has failed and never succeeded runs at most
    ``tasks_per_unproven_job`` tasks.

    Sizes: a measured size is limited to between ``size_min_percent`` and
    ``size_max_percent`` of the declared one. Tasks are evicted from a target that
    uses more than ``memory_limit_percent`` of its memory.

    Interference: pressure is the p99 latency of a service in percent of its
    objective, high above ``pressure_high_percent`` and low below
    ``pressure_low_percent``. Measurements are accumulated until they cover
    ``min_requests`` requests. ``samples_to_act`` high samples in a row lead to the
    next step, and ``samples_to_relax`` low samples in a row revert one step.
    ``throttle_steps`` are the processor shares that are tried before an eviction.
    ``evictions_per_minute`` is the eviction budget of 100 targets; a site has at
    least one eviction a minute.

    Headroom: for each replica on a target, capacity for ``requests_per_replica``
    requests is kept free. A batch task that has been queued for
    ``starved_after_ms`` and that fits on no target gets a claim on one, which then
    accepts no other new tasks. Such a claim lasts at most ``starved_claim_ms``. At
    most ``starved_claim_percent`` of the targets, but at least one, may be claimed
    in this way.

    Services and urgent tasks: a claim on capacity that is being freed lasts
    ``claim_ms``. ``claims_per_lane`` bounds the attempts to claim in a lane and
    ``claim_candidates`` the targets that are compared for one claim. Capacity
    that urgent tasks have used stays reserved for them and is returned over about
    ``reserve_decay_ms``, longer if evictions have a higher weight.

    Memory: ``remembered_samples`` measurements of each target are remembered to
    detect duplicates, and the shapes of ``remembered_shapes`` jobs to interpret
    measurements that arrive after a task has ended.
    """

    seed: int = 1
    placements_per_call: int = 64
    searches_per_call: int = 256
    groups_per_lane: int = 256
    failed_searches_per_lane: int = 16
    nodes_per_search: int = 512
    candidates: int = 8
    starting_per_target: int = 4
    command_timeout_ms: int = 3_000
    refusal_delay_ms: int = 200
    ends_per_call: int = 512
    probe_ms: int = 60_000
    tries_per_task: int = 5
    runs_per_task: int = 15
    retry_delay_ms: int = 500
    retry_delay_max_ms: int = 60_000
    tasks_per_unproven_job: int = 2
    failures_to_quarantine: int = 3
    quarantine_ms: int = 30_000
    quarantine_max_ms: int = 1_800_000
    quarantine_percent: int = 40
    size_min_percent: int = 100
    size_max_percent: int = 400
    memory_limit_percent: int = 95
    pressure_high_percent: int = 85
    pressure_low_percent: int = 75
    min_requests: int = 20
    samples_to_act: int = 3
    samples_to_relax: int = 4
    throttle_steps: tuple[int, ...] = (50, 25)
    evictions_per_minute: int = 20
    evictions_per_call: int = 64
    claim_ms: int = 10_000
    claims_per_lane: int = 32
    claim_candidates: int = 8
    starved_after_ms: int = 60_000
    starved_claim_ms: int = 600_000
    starved_claim_percent: int = 2
    requests_per_replica: int = 2
    reserve_decay_ms: int = 120_000
    remembered_samples: int = 32
    remembered_shapes: int = 1_024
