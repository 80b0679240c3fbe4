"""Queries of the replicated state and of the leader's in-memory view."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import msgspec
from foxspring_model import UNDECODABLE, JobView, TaskState

from foxspring_control.state import (
    JobRecord,
    Tables,
    TargetRecord,
    job_state,
    task_view,
)

if TYPE_CHECKING:
    from foxspring_control.service._leader import Leader

MAX_PAGE = 1_000
_NO_UPPER_BOUND = 2**62
_TASKS_EXPLAINED = 8

Arguments = TypeVar("Arguments")


class QueryError(ValueError):
    """Invalid arguments of a query; the message says what is wrong."""


class NotFoundError(QueryError):
    """A query for an object that doesn't exist; the message names it."""


class ConfigurationArguments(NamedTuple):
    """The revision to read; 0 is the one in force."""

    revision: int = 0


class JobsArguments(NamedTuple):
    """A page of up to ``limit`` jobs numbered below ``before``, newest first."""

    team: str = ""
    before: int = _NO_UPPER_BOUND
    limit: int = 200


class JobArguments(NamedTuple):
    """The job to read."""

    job_id: str


class AuditArguments(NamedTuple):
    """Filters of the audit trail; an empty filter matches every record."""

    who: str = ""
    change_id: str = ""
    action: str = ""
    since_ms: int = 0
    limit: int = 200


class InForceArguments(NamedTuple):
    """The revision to check; 0 is the newest."""

    revision: int = 0


def _configuration(leader: "Leader", arguments: bytes) -> bytes:
    revision = _decode(arguments, ConfigurationArguments).revision
    with leader.state.reading() as tables:
        current = tables.configurations.current()
        record = tables.configurations.get(revision) if revision else current
    if record is None:
        raise NotFoundError(
            f"revision {revision} is not kept; the one in force is {current.revision}"
        )
    return _encode(
        {
            "revision": record.revision,
            "text": record.text,
            "operator": record.operator,
            "change_id": record.change_id,
            "at_ms": record.at_ms,
        }
    )


def _in_force(leader: "Leader", arguments: bytes) -> bytes:
    revision = _decode(arguments, InForceArguments).revision or leader.view.revision
    now_ms = leader.clock.monotonic_ms()
    waiting_for = leader.entries.waiting_for(revision, now_ms)
    applied = leader.view.revision >= revision
    return _encode(
        {
            "revision": revision,
            "in_force": applied and not waiting_for,
            "waiting_for": waiting_for,
        }
    )


def _jobs(leader: "Leader", arguments: bytes) -> bytes:
    params = _decode(arguments, JobsArguments)
    limit = min(params.limit, MAX_PAGE)
    with leader.state.reading() as tables:
        page = tables.jobs.page(params.team, params.before, limit)
        rows = [_job_row(tables, job) for _, job in page]
    more = page[-1][0] if len(page) == limit else 0
    return _encode({"jobs": rows, "next_before": more})


def _job(leader: "Leader", arguments: bytes) -> bytes:
    job_id = _decode(arguments, JobArguments).job_id
    with leader.state.reading() as tables:
        job = tables.jobs.get(job_id)
        if job is None:
            raise NotFoundError(f"job {job_id!r} is not known; list the jobs")
        records = tables.tasks.of_job(job_id)
        row = _job_row(tables, job)
    row["tasks"] = [task_view(record.task) for record in records]
    queued = [r.task.task_id for r in records if r.task.state is TaskState.QUEUED]
    row["waits_for"] = _waits_for(leader, queued)
    return _encode(row)


def _targets(leader: "Leader", _: bytes) -> bytes:
    quarantined = leader.tasks.scheduler.quarantined(leader.clock.monotonic_ms())
    with leader.state.reading() as tables:
        rows = [_target_row(tables, r, quarantined) for r in tables.targets.every()]
    return _encode({"targets": rows})


def _entries(leader: "Leader", _: bytes) -> bytes:
    now_ms = leader.clock.monotonic_ms()
    owners = list(leader.view.owners().values())
    rows = []
    for entry_id, entry in sorted(leader.view.entries.items()):
        lease = leader.entries.leases.by_entry.get(entry_id)
        row = entry._asdict()
        row["lease_valid"] = leader.entries.leases.is_live(entry_id, now_ms)
        row["confirmed_revision"] = lease.confirmed_revision if lease else 0
        row["ownership_version"] = lease.ownership_version if lease else 0
        row["targets"] = owners.count(entry_id)
        rows.append(row)
    return _encode({"entries": rows})


def _members(leader: "Leader", _: bytes) -> bytes:
    status = leader.log.status()
    rows = []
    for member in status.members:
        row = member.member._asdict()
        row["joining"] = member.joining
        row["match_index"] = member.match_index
        row["reachable"] = member.reachable
        row["leader"] = member.member.member_id == status.leader_id
        rows.append(row)
    return _encode({"members": rows})


def _audit(leader: "Leader", arguments: bytes) -> bytes:
    params = _decode(arguments, AuditArguments)
    with leader.state.reading() as tables:
        records = tables.audit.select(
            params.who,
            params.change_id,
            params.action,
            params.since_ms,
            min(params.limit, MAX_PAGE),
        )
    rows = [{"log_index": record["index"], **record} for record in records]
    return _encode({"audit": rows})


def _services(leader: "Leader", _: bytes) -> bytes:
    with leader.state.reading() as tables:
        replicas = [record.task for record in tables.tasks.replicas()]
        services = leader.state.configuration(tables).services
    rows = []
    for service in services:
        own = [task for task in replicas if task.work_class == service.name]
        running = [t.target_id for t in own if t.state is TaskState.RUNNING]
        queued = [t.task_id for t in own if t.state is TaskState.QUEUED]
        row = service._asdict()
        row["running"] = len(running)
        row["targets"] = sorted(running)
        row["waits_for"] = _waits_for(leader, queued)
        rows.append(row)
    return _encode({"services": rows})


def _teams(leader: "Leader", _: bytes) -> bytes:
    rows = []
    with leader.state.reading() as tables:
        for team in leader.state.configuration(tables).teams:
            row = team._asdict()
            row["open_jobs"] = tables.jobs.count_open_of_team(team.name)
            rows.append(row)
    return _encode({"teams": rows})


def _status(leader: "Leader", _: bytes) -> bytes:
    now_ms = leader.clock.monotonic_ms()
    log = leader.log.status()
    leases = leader.entries.leases
    live = [e for e in leader.view.entries if leases.is_live(e, now_ms)]
    unowned = [t for t, owner in leader.view.owners().items() if not owner]
    with leader.state.reading() as tables:
        tasks = tables.tasks.count_by_state()
    return _encode(
        {
            "leader": leader.leadership.leader_id,
            "term": leader.leadership.term,
            "applied_index": log.applied_index,
            "commit_index": log.commit_index,
            "members": len(log.members),
            "members_reachable": sum(member.reachable for member in log.members),
            "revision": leader.view.revision,
            "in_force": not leader.entries.waiting_for(leader.view.revision, now_ms),
            "entries": len(leader.view.entries),
            "entries_with_lease": len(live),
            "targets": len(leader.view.targets),
            "targets_without_owner": len(unowned),
            "targets_silent": len(leader.targets.silent_targets(now_ms)),
            "targets_quarantined": len(leader.tasks.scheduler.quarantined(now_ms)),
            "tasks": tasks,
            "duties_open": len(leader.tasks.pending_messages.by_task),
        }
    )


QUERIES: dict[str, Callable[["Leader", bytes], bytes]] = {
    "audit": _audit,
    "configuration": _configuration,
    "entries": _entries,
    "in_force": _in_force,
    "job": _job,
    "jobs": _jobs,
    "members": _members,
    "services": _services,
    "status": _status,
    "targets": _targets,
    "teams": _teams,
}
"""Handlers by kind of query; arguments and results are JSON."""


def _decode(arguments: bytes, kind: type[Arguments]) -> Arguments:
    fields = msgspec.json.decode(arguments or b"{}", type=dict[str, Any])
    known = {
        name: value
        for name, value in fields.items()
        if name in getattr(kind, "_fields", ())
    }
    try:
        return msgspec.convert(list(kind(**known)), kind, strict=False)  # type: ignore[call-overload]
    except (TypeError, *UNDECODABLE) as error:
        raise QueryError(f"arguments of {kind.__name__}: {error}") from error


def _encode(value: Any) -> bytes:
    return msgspec.json.encode(value)


def _job_row(tables: Tables, job: JobRecord) -> JobView:
    counts = tables.tasks.count_by_state(job.job_id)
    placed = sum(counts.get(s, 0) for s in ("starting", "running", "stopping"))
    return JobView(
        job_id=job.job_id,
        name=job.spec.name,
        team=job.spec.team,
        state=job_state(job, placed),
        submitted_ms=job.submitted_ms,
        tasks=[],
        waits_for=[],
    )


def _waits_for(leader: "Leader", queued: list[str]) -> list[str]:
    now_ms = leader.clock.monotonic_ms()
    reasons: dict[str, None] = {}
    for task_id in queued[:_TASKS_EXPLAINED]:
        reasons.update(dict.fromkeys(leader.tasks.scheduler.explain(task_id, now_ms)))
    return list(reasons)


def _target_row(
    tables: Tables, record: TargetRecord, quarantined: tuple[str, ...]
) -> dict[str, Any]:
    target_id = record.info.target_id
    held = tables.tasks.on_target(target_id)
    row = record.info._asdict()
    row["capacity"] = record.info.capacity._asdict()
    row["owner"] = record.owner
    row["owner_epoch"] = record.owner_epoch
    row["draining"] = record.draining
    row["quarantined"] = target_id in quarantined
    row["tasks"] = len(held)
    jobs = tables.tasks.job_ids_on(target_id, "service", "running")
    row["services"] = [job.removeprefix("service/") for job in jobs]
    return row
