"""Counters, gauges and latency histograms of the job daemons."""

import threading
from typing import NamedTuple

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from foxspring_model import INVARIANT_CHECKS

PREFIX = "foxspring_"
BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.3, 0.6, 1.2, 3.0, 10.0)
MS_PER_S = 1_000


class Metric(NamedTuple):
    """A metric as listed in the docs; ``unit`` is ``events`` for counters."""

    name: str
    unit: str
    labels: tuple[str, ...]
    meaning: str


CALLS = Metric(
    "job_calls_total",
    "events",
    ("call", "outcome"),
    "Calls passed to the leader, by what became of them.",
)
CALL_SECONDS = Metric(
    "job_call_seconds", "seconds", ("call",), "From a call to its answer."
)
COMMITS = Metric(
    "job_commits_total", "events", ("outcome",), "Decisions proposed to the log."
)
COMMIT_SECONDS = Metric(
    "job_commit_seconds", "seconds", (), "From a proposal to its commit."
)
STARTS = Metric("job_starts_total", "events", (), "Runs committed to a target.")
FIRST_START_SECONDS = Metric(
    "job_first_start_seconds",
    "seconds",
    (),
    "From accepting a job to its first committed start.",
)
PLAN_SECONDS = Metric(
    "job_plan_seconds", "seconds", (), "Deciding which waiting tasks start."
)
STAGE_SECONDS = Metric(
    "job_stage_seconds",
    "seconds",
    ("stage",),
    "Stages of the way of a start: queue (an action waits for the leader), sweep (a "
    "look for what is due or over), plan, ready (a step waits for its first start), "
    "commit, order.",
)
JOBS_ENDED = Metric(
    "jobs_ended_total",
    "events",
    ("size", "outcome"),
    "Jobs that ended, by their work (large: over twice the mean of their queue) "
    "and how they compare with their completion objective.",
)
ENDS = Metric("job_ends_total", "events", ("kind",), "Runs that ended, by how.")
ORDERS = Metric(
    "job_orders_total", "events", ("order", "result"), "Orders, by the answer."
)
POLLS = Metric("job_looks_total", "events", ("result",), "Looks, by the answer.")
LOST = Metric("job_targets_lost_total", "events", ("why",), "Targets given up.")
TARGETS = Metric("job_targets", "targets", (), "Targets that the leader polls.")
QUARANTINED = Metric(
    "job_targets_quarantined",
    "targets",
    (),
    "Targets in quarantine, or probed after it, because of what failed on them.",
)
REPEATED = Metric(
    "job_tasks_restarting",
    "tasks",
    (),
    "Long-running tasks that have ended early more than once in a row.",
)
GIVEN_UP = Metric(
    "jobs_given_up_total",
    "events",
    (),
    "Jobs given up because targets crashed under one of their tasks.",
)
JOBS_REFUSED = Metric(
    "jobs_refused_total",
    "events",
    ("lasting",),
    "Jobs refused for want of memory; lasting ones are too large at any time.",
)
JOB_MEMORY = Metric(
    "job_memory_bytes", "bytes", (), "What accepted jobs take in memory, estimated."
)
JOB_MEMORY_LIMIT = Metric(
    "job_memory_limit_bytes", "bytes", (), "What accepted jobs may take in memory."
)
STARTED_TASKS = Metric(
    "job_started_tasks", "tasks", (), "Tasks that have begun and are not done."
)
STARTED_TASKS_LIMIT = Metric(
    "job_started_tasks_limit", "tasks", (), "How many such tasks the memory allows."
)
MITIGATIONS = Metric(
    "job_fills_relieved_total",
    "events",
    ("action",),
    "Fills paced or moved for tasks with a latency target.",
)
LEADING = Metric("job_leading", "1 or 0", (), "Whether this member leads.")
LEADING_FAILED = Metric(
    "job_leading_failed_total",
    "events",
    (),
    "Attempts to lead that failed, because the state could not be taken over.",
)
NOT_TAKEN_OVER = Metric(
    "job_targets_not_taken_over_total",
    "events",
    (),
    "Targets that a new leader could not take over; each attempt counts.",
)
LEADER_SILENT = Metric(
    "leader_silent_ms",
    "milliseconds",
    (),
    "For how long this daemon has had no answer from a leader.",
)
MEMBER_REFUSES = Metric(
    "member_refuses",
    "1 or 0",
    (),
    "Whether this member refuses to take part in the group.",
)
VOTERS = Metric(
    "member_voters", "members", (), "Voters of the group, as this member knows it."
)
VOTERS_HEARD = Metric(
    "member_voters_heard",
    "members",
    (),
    "Voters that this member hears while it leads or there is no leader, with itself.",
)
MEMBER_ELECTIONS = Metric(
    "member_elections",
    "elections",
    (),
    "Elections that this member has begun since its start.",
)
LEADERS_LOST = Metric(
    "leaders_lost_total",
    "events",
    ("at_snapshot",),
    "Leaders that this member has lost, and whether just after it stored a snapshot.",
)
LEASE_VALID = Metric(
    "member_lease_valid",
    "1 or 0",
    (),
    "Whether this member leads under a valid lease.",
)
TAKEOVER_FAILS = Metric(
    "member_takeover_fails",
    "1 or 0",
    (),
    "Whether this member could not take over the state when it last led.",
)
LOG_WAITS = Metric(
    "member_log_waits_ms",
    "milliseconds",
    (),
    "For how long the thread of this member's log has been in its batch.",
)
DISK_FREE = Metric(
    "member_disk_free_bytes",
    "bytes",
    (),
    "What is free on the disk of this member's log; -1 if unknown.",
)
CHECKED = Metric(
    "invariant_checks_total", "events", ("invariant",), "Checks of a promise."
)
VIOLATED = Metric(
    "violations_total", "events", ("invariant",), "Promises found broken."
)

METRICS: tuple[Metric, ...] = (
    CALLS,
    CALL_SECONDS,
    COMMITS,
    COMMIT_SECONDS,
    STARTS,
    FIRST_START_SECONDS,
    PLAN_SECONDS,
    STAGE_SECONDS,
    JOBS_ENDED,
    ENDS,
    ORDERS,
    POLLS,
    LOST,
    TARGETS,
    QUARANTINED,
    REPEATED,
    GIVEN_UP,
    JOBS_REFUSED,
    JOB_MEMORY,
    JOB_MEMORY_LIMIT,
    STARTED_TASKS,
    STARTED_TASKS_LIMIT,
    MITIGATIONS,
    LEADING,
    LEADING_FAILED,
    NOT_TAKEN_OVER,
    LEADER_SILENT,
    MEMBER_REFUSES,
    VOTERS,
    VOTERS_HEARD,
    MEMBER_ELECTIONS,
    LEADERS_LOST,
    LEASE_VALID,
    TAKEOVER_FAILS,
    LOG_WAITS,
    DISK_FREE,
    CHECKED,
    VIOLATED,
)


class Metrics:
    """The metrics of one process; safe to use from any thread."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._lock = threading.Lock()
        self._values: dict[Metric, Counter | Gauge] = {}
        self._counted: dict[tuple[Metric, tuple[str, ...]], int] = {}
        self._durations: dict[Metric, Histogram] = {}
        for metric in METRICS:
            self._add(metric)

    def _add(self, metric: Metric) -> None:
        name = PREFIX + metric.name
        if metric.unit == "seconds":
            self._durations[metric] = Histogram(
                name, metric.meaning, registry=self.registry, buckets=BUCKETS_S
            )
            return
        kind = Counter if metric.unit == "events" else Gauge
        self._values[metric] = kind(name, metric.meaning, registry=self.registry)

    def count(self, metric: Metric, *labels: str, amount: int = 1) -> None:
        """Increment a counter; the labels are in the order of ``metric.labels``.

        Raises:
            ValueError: the number of labels is wrong.
        """
        if len(labels) != len(metric.labels):
            raise ValueError(f"{metric.name} has the labels {metric.labels}")
        with self._lock:
            key = (metric, labels)
            self._counted[key] = self._counted.get(key, 0) + amount

    def observe_ms(self, metric: Metric, duration_ms: int, *labels: str) -> None:
        """Add a duration to a histogram."""
        named = dict(zip(metric.labels, labels, strict=True))
        with self._lock:
            self._durations[metric].add(named, duration_ms / MS_PER_S)

    def set(self, metric: Metric, value: int) -> None:
        """Set a gauge."""
        with self._lock:
            self._values[metric].set({}, value)

    def exposition(self) -> bytes:
        """Return all metrics in the text exposition format."""
        with self._lock:
            for (metric, labels), total in self._counted.items():
                named = dict(zip(metric.labels, labels, strict=True))
                self._values[metric].set(named, total)
            for invariant, checked in sorted(INVARIANT_CHECKS.checked.items()):
                name = {"invariant": invariant.value}
                violated = INVARIANT_CHECKS.violated.get(invariant, 0)
                self._values[CHECKED].set(name, checked)
                self._values[VIOLATED].set(name, violated)
            body, _ = render(self.registry, [])
        return bytes(body)


def metrics_page() -> str:
    """Return the docs page that lists every metric."""
    lines = [
        "# Metrics of the job daemons",
        "",
        "Made from `foxspring_jobs._metrics`; every name begins with `foxspring_`.",
        "",
        "| metric | unit | labels | meaning |",
        "|---|---|---|---|",
    ]
    for metric in METRICS:
        labels = ", ".join(metric.labels) or "none"
        row = f"| {metric.name} | {metric.unit} | {labels} | {metric.meaning} |"
        lines.append(row)
    return "\n".join(lines) + "\n"
