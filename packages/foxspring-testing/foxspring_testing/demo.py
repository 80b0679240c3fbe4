"""Demonstrates a whole site in operation and under failures: ``make demo``."""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from foxspring_config import print_configuration, service, team
from foxspring_model import Configuration, JobSpec, Resources

from foxspring_testing._balancer import Balancer
from foxspring_testing._clients import CallerRecord, OperatorClient
from foxspring_testing._operator_views import (
    TaskCounts,
    audit_lines,
    count_tasks,
    get_job,
    owned_targets,
    service_targets,
    wait_job_ended,
)
from foxspring_testing._process import exit_on_sigterm
from foxspring_testing._site import Site
from foxspring_testing._site_checks import (
    SiteRecords,
    check_site,
    logged_violations,
)
from foxspring_testing._site_settings import SiteSize
from foxspring_testing._traffic import Traffic, TrafficSettings
from foxspring_testing._wait import wait_until

_SIZE = SiteSize(controls=3, entries=2, targets=4)
_SERVICE = "pipe-register"
_TEAM = "workshops"
_FAULT_FREE_TRAFFIC_S = 2.0
_RECOVERY_S = 30.0


def demo_configuration() -> str:
    """Return the demo's configuration as printed by ``foxspring_config``."""
    return print_configuration(
        Configuration(
            services=(
                service(_SERVICE, _TEAM, replicas=3, cores_milli=2_000, memory_mb=512),
            ),
            teams=(team(_TEAM, max_tasks=20, max_cores_milli=64_000),),
        )
    )


def demo_job() -> JobSpec:
    """Return a batch job that runs long enough for its target to be killed."""
    payload = '{"work_ms": 8000, "checkpoint_every_ms": 200, "result": "stock 4711"}'
    size = Resources(slots=1, cores_milli=4_000, memory_mb=1_024)
    return JobSpec(
        "reconcile", _TEAM, 1, size, work_class="reconciliation", payload=payload
    )


def main() -> int:
    """Run the demo; return 0 if it succeeded without violations, else 1."""
    exit_on_sigterm()
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="foxspring-demo-") as folder:
        site = Site(Path(folder), _SIZE)
        with site:
            _print_progress(f"started {len(site.processes)} processes on loopback")
            passed = _run(site)
        _print_progress(f"all stopped after {time.monotonic() - started:.1f} s")
    return 0 if passed else 1


def _run(site: Site) -> bool:
    operator = site.operator()
    site.wait_targets_owned()
    _apply(operator)
    _print_progress(f"{_SERVICE} runs on {_wait_replicas(operator)}")
    balancer = Balancer(site)
    balancer.start()
    traffic = Traffic(TrafficSettings(_SERVICE), site.caller(), balancer.ready_entries)
    traffic.start()
    job_id = operator.submit(demo_job()).body["job_id"]
    lost_target = _wait_checkpoint(operator, job_id)
    time.sleep(_FAULT_FREE_TRAFFIC_S)
    _kill_target(site, operator, job_id, lost_target)
    _kill_entry(site, operator)
    ended = wait_job_ended(operator, job_id)
    _print_progress(f"job {job_id} {ended['state']}: {_result_summary(ended)}")
    _wait_request_answered(traffic)
    caller_records = traffic.stop()
    balancer.stop()
    return _report(site, operator, caller_records, count_tasks([ended]))


def _apply(operator: OperatorClient) -> None:
    text = demo_configuration()
    _print_progress("configuration printed by the operators' library:")
    print(text, flush=True)
    answer = operator.apply(text, base=0, change_id="demo-configuration")
    _print_progress(f"applied: {answer.body}")
    revision = answer.body["revision"]
    wait_until(
        lambda: operator.get(f"/v1/in-force?revision={revision}")["in_force"],
        f"revision {revision} in force at every entry",
    )
    _print_progress(f"revision {revision} is in force everywhere")


def _wait_replicas(operator: OperatorClient) -> list[str]:
    wait_until(
        lambda: len(service_targets(operator, _SERVICE)) >= 3,
        f"3 replicas of {_SERVICE}",
        _RECOVERY_S,
    )
    return service_targets(operator, _SERVICE)


def _wait_checkpoint(operator: OperatorClient, job_id: str) -> str:
    wait_until(
        lambda: bool(get_job(operator, job_id)["tasks"][0]["checkpoint"]),
        f"a checkpoint of {job_id}",
    )
    task = get_job(operator, job_id)["tasks"][0]
    _print_progress(
        f"job {job_id} runs on {task['target_id']}, checkpoint {task['checkpoint']}"
    )
    return str(task["target_id"])


def _kill_target(
    site: Site, operator: OperatorClient, job_id: str, target: str
) -> None:
    site.kill(target)
    _print_progress(f"killed {target}")

    def runs_elsewhere() -> bool:
        task = get_job(operator, job_id)["tasks"][0]
        moved = task["target_id"] not in ("", target)
        return moved and task["state"] in ("running", "finished")

    wait_until(runs_elsewhere, f"{job_id} running elsewhere", _RECOVERY_S)
    task = get_job(operator, job_id)["tasks"][0]
    _print_progress(
        f"job {job_id} runs on {task['target_id']} at epoch {task['epoch']}, "
        f"resumed {task['resumed']}"
    )


def _kill_entry(site: Site, operator: OperatorClient) -> None:
    site.kill("entry-1")
    _print_progress("killed entry-1")
    wait_until(
        lambda: "entry-1" not in owned_targets(operator).values(),
        "every target owned by another entry",
        _RECOVERY_S,
    )
    _print_progress("entry-2 owns every target")


def _wait_request_answered(traffic: Traffic) -> None:
    before = len(traffic.records())
    wait_until(
        lambda: any(each.verdict == "ran" for each in traffic.records()[before:]),
        "an answered request after the failures",
    )
    _print_progress("requests are still answered")


def _report(
    site: Site,
    operator: OperatorClient,
    caller_records: list[CallerRecord],
    tasks: TaskCounts,
) -> bool:
    _print_progress("audit trail:")
    for line in audit_lines(operator):
        print(line)
    for name, process in site.processes.items():
        if process.alive() and name in site.daemons:
            print(f"process={name} resident_kb={process.resident_kb()}")
    results = check_site(site, SiteRecords(caller_records)) + logged_violations(site)
    for result in results:
        print(result.line())
    violations = sum(len(result.violations) for result in results)
    verdicts = Counter(record.verdict for record in caller_records)
    print(
        f"asked={len(caller_records)} answered={verdicts['ran']} "
        f"refused_as_not_run={verdicts['not_run']} "
        f"may_have_run={verdicts['may_have_run'] + verdicts['lost']} "
        f"tasks_finished={tasks.finished} tasks_resumed={tasks.resumed} "
        f"violations={violations}",
        flush=True,
    )
    return violations == 0 and tasks.finished == 1 and tasks.resumed == 1


def _result_summary(ended: dict[str, Any]) -> str:
    task = ended["tasks"][0]
    return f"result {task['result']!r}, resumed {task['resumed']}"


def _print_progress(text: str) -> None:
    print(f"== {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
