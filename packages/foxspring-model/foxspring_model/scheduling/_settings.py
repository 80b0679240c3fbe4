"""Limits and constants of the scheduler."""

from typing import NamedTuple


class SchedulerSettings(NamedTuple):
    """Named limits; times are milliseconds, shares are percent.

    ``seed`` makes every random choice of a scheduler repeatable.

    Search: ``placements_per_call``, ``searches_per_call`` and
    ``nodes_per_search`` bound one call of ``decide``, ``tries_per_lane`` the jobs
    it looks at and ``misses_per_lane`` its searches that find no target.
    ``candidates`` targets are compared for a task; at most
    ``starting_per_target`` tasks start at once
    on a target. A decision that is not committed is taken again after
    ``command_timeout_ms``, and one that its target's owner refused after
    ``refusal_delay_ms``. A call ends at most ``ends_per_call`` tasks.

    Failures: a task is ended after ``tries_per_task`` failed runs that are not
    its targets' fault, or after ``runs_per_task`` failed runs of any kind. The
    delay before the next run doubles from ``retry_delay_ms`` to
    ``retry_delay_most_ms``. A target that failed ``failures_to_quarantine``
    times in a row is quarantined for ``quarantine_ms``, doubling to
    ``quarantine_most_ms``; never more than ``quarantine_share`` of the site. Then
    one task at a time probes it, until one succeeds or runs for ``probe_ms``.
    A job that failed and never succeeded runs ``unproven_at_once`` tasks.

    Sizes: a learnt size stays within ``size_least`` and ``size_most`` of the
    declared one. Memory in use over ``memory_limit`` of a target is relieved.

    Interference: pressure is a service's p99 in percent of its objective. It is
    high over ``pressure_high`` and low under ``pressure_low``;
    ``samples_to_act`` high samples in a row lead to the next step and
    ``samples_to_relax`` low ones take a step back. ``throttle_steps`` are the
    processor shares tried before an eviction. ``evictions_per_minute`` are
    allowed for 100 targets, with at least one for a site.

    Room for others: beside each replica, room for ``requests_per_replica`` is
    kept. A batch task that found no target with room for ``patient_after_ms``
    has one run empty for it, for ``patient_ms`` at the most and on no more than
    ``patient_share`` of the site.

    Services and urgent work: a claim on room that is being freed lasts
    ``claim_ms``, and ``claims_per_call`` bounds the new ones. Room once used by
    urgent work stays reserved for it and is given back over about
    ``reserve_decay_ms``, longer where evictions weigh more.
    """

    seed: int = 1
    placements_per_call: int = 64
    searches_per_call: int = 256
    tries_per_lane: int = 256
    misses_per_lane: int = 16
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
    retry_delay_most_ms: int = 60_000
    unproven_at_once: int = 2
    failures_to_quarantine: int = 3
    quarantine_ms: int = 30_000
    quarantine_most_ms: int = 1_800_000
    quarantine_share: int = 40
    size_least: int = 100
    size_most: int = 400
    memory_limit: int = 95
    pressure_high: int = 85
    pressure_low: int = 75
    least_requests: int = 20
    samples_to_act: int = 3
    samples_to_relax: int = 4
    throttle_steps: tuple[int, ...] = (50, 25)
    evictions_per_minute: int = 20
    evictions_per_call: int = 64
    claim_ms: int = 10_000
    claims_per_call: int = 32
    claim_candidates: int = 8
    patient_after_ms: int = 60_000
    patient_ms: int = 600_000
    patient_share: int = 2
    requests_per_replica: int = 2
    reserve_decay_ms: int = 120_000
    seen_samples: int = 32
    remembered_shapes: int = 1_024
