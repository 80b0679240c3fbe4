"""Metrics of an entry and of control members in the Prometheus text format.

Control members do not load an HTTP stack: any entry queries a member for its
metrics and renders them at ``/metrics/MEMBER_ID``.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from aioprometheus import histogram
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from foxspring_entry import (
    EntryStatus,
    HttpRequest,
    HttpResponse,
    QueryAnswered,
    Role,
    Route,
)
from foxspring_link import LinkCounters
from foxspring_model import INVARIANT_CHECKS, Verdict

from foxspring_daemon._operator_routes import ControlPort, error_response

PREFIX = "foxspring"
QUERY_TIMEOUT_MS = 2_000
_MS_PER_S = 1_000
_UNBOUNDED = 0


class EntryPort(Protocol):
    """The part of an entry that the metrics routes use."""

    @property
    def control(self) -> ControlPort:
        """Return the port to the control group."""

    def status(self) -> EntryStatus:
        """Return a snapshot of the entry's state and counters."""

    def link_counters(self) -> LinkCounters:
        """Return the traffic counters of the entry's links."""


def metrics_routes(entry: EntryPort) -> tuple[Route, ...]:
    """Return the metrics routes; a scraper needs an operator token."""

    def entry_metrics(_request: HttpRequest) -> HttpResponse:
        return _exposition_response(
            entry_registry(entry.status(), entry.link_counters())
        )

    def member_metrics(request: HttpRequest) -> HttpResponse:
        member_id = request.path.removeprefix("/metrics/")
        outcome = entry.control.query(
            "member_metrics", {"member_id": member_id}, QUERY_TIMEOUT_MS
        )
        if not isinstance(outcome, QueryAnswered):
            return error_response(
                503, Verdict.NOT_RUN, "no_control", "no control member answered"
            )
        if outcome.result.get("status") == "unknown":
            detail = str(outcome.result.get("reason"))
            return error_response(404, Verdict.NOT_RUN, "unknown", detail)
        return _exposition_response(member_registry(outcome.result))

    return (
        Route("GET", "/metrics", Role.OPERATOR, entry_metrics),
        Route("GET", "/metrics/", Role.OPERATOR, member_metrics),
    )


def entry_registry(status: EntryStatus, link: LinkCounters) -> Registry:
    """Return a registry with the metrics of one entry."""
    registry = Registry()
    for field, amount in link._asdict().items():
        _add_metric(registry, f"link_{field}_total", f"Links: {field}.", amount)
    for name, doc, value in _entry_metrics(status):
        _add_metric(registry, name, doc, value)
    outcomes = Counter(
        f"{PREFIX}_requests_total", "Final answers to callers.", registry=registry
    )
    for verdict, reason, count in status.outcomes:
        outcomes.set({"verdict": verdict, "reason": reason}, count)
    _add_latency(registry, status)
    _add_targets(registry, status)
    _add_invariant_checks(registry, INVARIANT_CHECKS.checked, INVARIANT_CHECKS.violated)
    return registry


def member_registry(metrics: Mapping[str, Any]) -> Registry:
    """Return the metrics of one control member from a name-to-value mapping."""
    registry = Registry()
    for name, value in sorted(metrics.items()):
        if isinstance(value, int | float):
            label = name.replace("_", " ")
            _add_metric(registry, f"control_{name}", f"Control: {label}.", value)
    return registry


def _entry_metrics(status: EntryStatus) -> Iterable[tuple[str, str, float]]:
    return (
        ("ready", "1 if the balancer may send requests.", status.ready),
        ("draining", "1 while the entry is being stopped.", status.draining),
        ("lease_valid", "1 while the entry's lease runs.", status.lease_valid),
        ("configuration_revision", "Revision in force here.", status.revision),
        ("ownership_version", "Ownership table held.", status.ownership_version),
        ("owned_targets", "Targets owned.", len(status.targets)),
        ("requests_in_flight", "Requests at owned targets.", status.in_flight),
        ("requests_queued", "Requests waiting for room.", status.queued),
        ("requests_pending", "Callers waiting here.", status.pending),
        ("task_events_waiting", "Events not acknowledged.", status.events_pending),
        ("retries_total", "Further attempts of requests.", status.retries),
        ("late_answers_total", "Answers dropped as late.", status.late_answers),
    )


def _add_metric(registry: Registry, name: str, doc: str, value: float) -> None:
    kind = Counter if name.endswith("_total") else Gauge
    kind(f"{PREFIX}_{name}", doc, registry=registry).set({}, float(value))


def _add_latency(registry: Registry, status: EntryStatus) -> None:
    bounds = [bound / _MS_PER_S for bound, _ in status.latency_buckets if bound]
    histogram_data = histogram.Histogram(*bounds)
    cumulative_count = 0
    for bound, count in status.latency_buckets:
        cumulative_count += count
        upper = math.inf if bound == _UNBOUNDED else bound / _MS_PER_S
        histogram_data.buckets[upper] = cumulative_count
    histogram_data.observations = cumulative_count
    histogram_data.sum = status.latency_sum_ms / _MS_PER_S
    name = f"{PREFIX}_request_seconds"
    latency = Histogram(
        name, "Time to the final answer.", registry=registry, buckets=bounds
    )
    latency.set_value({}, histogram_data)


def _add_targets(registry: Registry, status: EntryStatus) -> None:
    held = Gauge(f"{PREFIX}_target_held", "Held on a target.", registry=registry)
    capacity = Gauge(
        f"{PREFIX}_target_capacity", "Room of a target.", registry=registry
    )
    for target in status.targets:
        for resource, amount in target.reserved._asdict().items():
            labels = {"target": target.target_id, "resource": resource}
            held.set(labels, amount)
            capacity.set(labels, getattr(target.capacity, resource))


def _add_invariant_checks(
    registry: Registry, checked: Mapping[Any, int], violated: Mapping[Any, int]
) -> None:
    checks = Counter(
        f"{PREFIX}_invariant_checks_total", "Checks of a promise.", registry=registry
    )
    violations = Counter(
        f"{PREFIX}_violations_total", "Promises found broken.", registry=registry
    )
    for invariant, count in sorted(checked.items()):
        checks.set({"invariant": invariant.value}, count)
        violations.set({"invariant": invariant.value}, violated.get(invariant, 0))


def _exposition_response(registry: Registry) -> HttpResponse:
    body, headers = render(registry, [])
    return HttpResponse(200, body, tuple(headers.items()))
