"""One soak test: a site under load and scheduled faults, then the checks."""

import logging
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from foxspring_testing._balancer import Balancer
from foxspring_testing._caller_checks import check_requests_answered
from foxspring_testing._change_checks import (
    AuditedChange,
    ObservedRevision,
    SubmittedChange,
    check_revisions,
)
from foxspring_testing._check_result import CheckResult
from foxspring_testing._clients import CallerRecord, OperatorClient
from foxspring_testing._job_checks import (
    check_jobs,
    describe_unfinished,
    unfinished_job_ids,
)
from foxspring_testing._operator_traffic import (
    SERVICE,
    OperatorTraffic,
    SubmittedJob,
    soak_configuration,
)
from foxspring_testing._operator_views import get_job, service_targets
from foxspring_testing._revision_watch import RevisionWatch
from foxspring_testing._schedule import Step
from foxspring_testing._schedule_runner import ScheduleRunner
from foxspring_testing._site import Site
from foxspring_testing._site_checks import (
    SiteRecords,
    check_site,
    logged_violations,
)
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._traffic import Traffic, TrafficSettings
from foxspring_testing._wait import NotReachedError, wait_until

_LOG = logging.getLogger(__name__)
_MAX_RECORDS = 100_000
_JOBS_END_TIMEOUT_S = 90.0
_MAX_DESCRIBED_JOBS = 10
SOAK_SIZE = SiteSize(controls=5, entries=4, targets=8, proxied=True)
SHORT_SIZE = SiteSize(controls=3, entries=2, targets=3, proxied=True)


class SoakResult(NamedTuple):
    """The result of a soak test.

    ``faults`` are failures other than violated invariants: jobs that did not
    end, or planned stops that timed out so that the process was killed.
    """

    checks: tuple[CheckResult, ...]
    faults: tuple[str, ...]
    verdicts: dict[str, int]
    jobs: dict[str, int]
    changes: dict[str, int]

    def passed(self) -> bool:
        """Return whether there were no faults and no violations."""
        return not self.faults and not any(c.violations for c in self.checks)


class _Observed(NamedTuple):
    caller_records: list[CallerRecord]
    changes: list[SubmittedChange]
    observed_revisions: list[ObservedRevision]
    jobs: list[SubmittedJob]


def run_soak(
    folder: Path, size: SiteSize, steps: Sequence[Step], seed: int
) -> SoakResult:
    """Run a site under ``steps``, wait until all jobs end, then check it."""
    with Site(folder, size) as site:
        operator = site.operator()
        site.wait_targets_owned()
        _configure(operator)
        runner = ScheduleRunner(site, steps)
        observed = _run_under_load(site, runner, seed)
        faults = [f"{name} had to be killed" for name in runner.failed_stops]
        faults += _wait_jobs_ended(operator)
        checks = _check(site, operator, observed, runner)
        return _result(operator, observed, checks, faults)


def _configure(operator: OperatorClient) -> None:
    operator.apply(soak_configuration(), base=0, change_id="soak-first")
    wait_until(
        lambda: bool(service_targets(operator, SERVICE)), f"a replica of {SERVICE}"
    )


def _run_under_load(site: Site, runner: ScheduleRunner, seed: int) -> _Observed:
    balancer = Balancer(site)
    traffic = Traffic(
        TrafficSettings(SERVICE, seed=seed), site.caller(), balancer.ready_entries
    )
    operators = OperatorTraffic(site, seed)
    watch = RevisionWatch(site)
    for each in (balancer, traffic, operators, watch):
        each.start()
    try:
        runner.run()
        runner.clear_faults()
    finally:
        operators.stop()
        caller_records = traffic.stop()
        watch.stop()
        balancer.stop()
    return _Observed(
        caller_records,
        operators.changes,
        operators.observed_revisions + watch.observed_revisions,
        operators.jobs,
    )


def _wait_jobs_ended(operator: OperatorClient) -> list[str]:
    try:
        wait_until(
            lambda: not unfinished_job_ids(_jobs(operator)),
            "the end of all jobs",
            _JOBS_END_TIMEOUT_S,
        )
    except NotReachedError:
        unfinished = unfinished_job_ids(_jobs(operator))
        described = [
            describe_unfinished(get_job(operator, job_id))
            for job_id in unfinished[:_MAX_DESCRIBED_JOBS]
        ]
        return [f"{len(unfinished)} jobs did not end: {', '.join(described)}"]
    return []


def _check(
    site: Site, operator: OperatorClient, observed: _Observed, runner: ScheduleRunner
) -> tuple[CheckResult, ...]:
    results = check_site(
        site, SiteRecords(observed.caller_records, runner.stops, runner.outages)
    )
    results.append(check_requests_answered(observed.caller_records, runner.outages))
    results.append(check_jobs(observed.jobs, _jobs(operator), site.events()))
    results.append(
        check_revisions(
            observed.changes,
            observed.observed_revisions,
            _audited_changes(operator),
            int(operator.get("/v1/configuration")["revision"]),
        )
    )
    return (*results, *logged_violations(site))


def _jobs(operator: OperatorClient) -> list[Any]:
    listed: list[Any] = operator.get(f"/v1/jobs?limit={_MAX_RECORDS}")["jobs"]
    return listed


def _audited_changes(operator: OperatorClient) -> list[AuditedChange]:
    records = operator.get(f"/v1/audit?limit={_MAX_RECORDS}&action=ApplyConfiguration")
    return [
        AuditedChange(each["change_id"], each["outcome"], each["log_index"])
        for each in records["audit"]
    ]


def _result(
    operator: OperatorClient,
    observed: _Observed,
    checks: tuple[CheckResult, ...],
    faults: list[str],
) -> SoakResult:
    return SoakResult(
        checks,
        tuple(faults),
        dict(Counter(record.verdict for record in observed.caller_records)),
        dict(Counter(job["state"] for job in _jobs(operator))),
        dict(Counter(change.status or "unknown" for change in observed.changes)),
    )
