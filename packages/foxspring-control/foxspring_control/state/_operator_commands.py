"""Commands that people ask for; each leaves an audit record."""

from foxspring_model import (
    CHECKS,
    ENDED_STATES,
    ApplyConfiguration,
    AuditRecord,
    CancelJobs,
    CommandResult,
    Configuration,
    DrainTarget,
    Invariant,
    RecordMemberChange,
    SubmitJob,
    TaskState,
)

from foxspring_control.state import _configuration_rules as configuration_rules
from foxspring_control.state import _job_rules as job_rules
from foxspring_control.state import _task_rules as task_rules
from foxspring_control.state._records import (
    ConfigurationRecord,
    JobRecord,
    Moment,
    StopIntent,
    TaskRecord,
)
from foxspring_control.state._work import JOB_NUMBER, Work

_IDS_SHOWN = 20


def apply_configuration(
    work: Work, command: ApplyConfiguration, moment: Moment
) -> CommandResult:
    """Accept the configuration unless another change won or it is wrong."""
    current = work.tables.configurations.current()
    answer = configuration_rules.conflict(command, current)
    after = ""
    if answer is None:
        answer = _accept_configuration(work, command, current, moment)
    if answer["status"] == "ok":
        after = f"revision={answer['revision']}"
    before = f"revision={current.revision}"
    _audit(work, command, command.operator, moment, before, after, answer)
    return answer


def submit_job(work: Work, command: SubmitJob, moment: Moment) -> CommandResult:
    """Add a job with its queued tasks, or say why it can never run."""
    reason = job_rules.reject_reason(
        command.spec,
        work.configuration(),
        work.tables.targets.capacities(),
        work.settings.tasks_a_job_limit,
    )
    if reason:
        answer = CommandResult(status="rejected", reason=reason)
        _audit(work, command, command.submitter, moment, "", "", answer)
        return answer
    job = _add_job(work, command, moment)
    answer = CommandResult(status="ok", job_id=job.job_id)
    after = f"job={job.job_id} name={job.spec.name!r} team={job.spec.team}"
    after += f" tasks={job.spec.tasks}"
    _audit(work, command, command.submitter, moment, "", after, answer)
    return answer


def cancel_jobs(work: Work, command: CancelJobs, moment: Moment) -> CommandResult:
    """Cancel every open task of the jobs; ended jobs are only named."""
    cancelled: list[str] = []
    ended: list[str] = []
    unknown: list[str] = []
    for job_id in dict.fromkeys(command.job_ids):
        job = work.tables.jobs.get(job_id)
        if job is None:
            unknown.append(job_id)
        elif job.ended_ms:
            ended.append(job_id)
        else:
            _cancel_job(work, job, moment)
            cancelled.append(job_id)
    answer = _cancel_answer(cancelled, ended, unknown)
    before = f"open={_shown(cancelled)} ended={_shown(ended)}"
    after = f"cancelled={_shown(cancelled)}"
    _audit(work, command, command.operator, moment, before, after, answer)
    return answer


def drain_target(work: Work, command: DrainTarget, moment: Moment) -> CommandResult:
    """Set whether new work may be placed on the target."""
    target = work.tables.targets.get(command.target_id)
    if target is None:
        reason = f"target {command.target_id!r} is not known; list the targets"
        answer = CommandResult(status="rejected", reason=reason)
        _audit(work, command, command.operator, moment, "", "", answer)
        return answer
    answer = CommandResult(status="ok")
    if target.draining != command.draining:
        work.save_target(target._replace(draining=command.draining))
    before = f"target={command.target_id} draining={target.draining}"
    after = f"target={command.target_id} draining={command.draining}"
    _audit(work, command, command.operator, moment, before, after, answer)
    return answer


def record_member_change(
    work: Work, command: RecordMemberChange, moment: Moment
) -> CommandResult:
    """Note a change of the control group in the audit."""
    record = AuditRecord(
        index=moment.log_index,
        at_ms=moment.at_ms,
        who=command.operator,
        change_id="",
        action=f"{command.action}_member",
        before="",
        after=f"member={command.member_id}",
        outcome=command.outcome,
    )
    work.tables.audit.add(record)
    return CommandResult(status="ok")


def _accept_configuration(
    work: Work,
    command: ApplyConfiguration,
    current: ConfigurationRecord,
    moment: Moment,
) -> CommandResult:
    try:
        configuration = work.parsed.parse(command.text)
    except ValueError as error:
        return CommandResult(status="rejected", reason=str(error))
    reason = _orphaned_team(work, configuration)
    if reason:
        return CommandResult(status="rejected", reason=reason)
    revision = work.tables.counters.increment("revision")
    rises = revision == current.revision + 1
    CHECKS.check(
        Invariant.REVISION_NEVER_FALLS, rises, f"{current.revision} -> {revision}"
    )
    record = ConfigurationRecord(
        revision, command.change_id, command.operator, command.text, moment.at_ms
    )
    work.tables.configurations.add(record, work.settings.configuration_limit)
    work.changed_configuration = True
    _adjust_replicas(work, configuration, moment)
    return CommandResult(status="ok", revision=revision)


def _orphaned_team(work: Work, configuration: Configuration) -> str:
    names = {team.name for team in configuration.teams}
    for team in work.configuration().teams:
        if team.name in names:
            continue
        open_jobs = work.tables.jobs.open_of_team(team.name)
        if open_jobs:
            return (
                f"team {team.name!r} still has {open_jobs} open jobs;"
                " cancel them or keep the team"
            )
    return ""


def _adjust_replicas(work: Work, configuration: Configuration, moment: Moment) -> None:
    wanted = dict(configuration_rules.wanted_replicas(configuration))
    for record in work.tables.tasks.replicas():
        service = wanted.pop(record.task.task_id, None)
        if service is None:
            after = task_rules.cancel(record, moment.at_ms)
        elif record.task.state is TaskState.QUEUED:
            task = record.task._replace(resources=service.replica, team=service.team)
            after = record._replace(task=task)
        else:
            after = task_rules.revive_replica(record, moment.at_ms)
        work.save_task(record, after, moment)
    for task_id, service in wanted.items():
        replica = configuration_rules.new_replica(
            service, task_id, moment.log_index, moment.at_ms
        )
        work.tables.tasks.put(replica)
        work.changed_tasks[task_id] = None


def _add_job(work: Work, command: SubmitJob, moment: Moment) -> JobRecord:
    number = work.tables.counters.increment(JOB_NUMBER)
    job = JobRecord(
        job_id=f"job-{number}",
        submitter=command.submitter,
        spec=command.spec,
        submitted_ms=moment.at_ms,
        open_tasks=command.spec.tasks,
    )
    work.tables.jobs.add(number, job)
    for record in job_rules.tasks_of(job):
        work.tables.tasks.put(record)
        work.changed_tasks[record.task.task_id] = None
    return job


def _cancel_job(work: Work, job: JobRecord, moment: Moment) -> None:
    ended = 0
    for record in work.tables.tasks.of_job(job.job_id):
        after = _cancelled(record, moment)
        if after.task.state is not record.task.state:
            ended += after.task.state in ENDED_STATES
        work.put_batch_task(record, after)
    left = job.open_tasks - ended
    ended_ms = moment.at_ms if left == 0 else 0
    cancelled = job._replace(cancelled=True, open_tasks=left, ended_ms=ended_ms)
    work.tables.jobs.update(cancelled)


def _cancelled(record: TaskRecord, moment: Moment) -> TaskRecord:
    if record.intent is StopIntent.CANCEL:
        return record
    return task_rules.cancel(record, moment.at_ms)


def _cancel_answer(
    cancelled: list[str], ended: list[str], unknown: list[str]
) -> CommandResult:
    reason = f"unknown jobs: {_shown(unknown)}; list the jobs" if unknown else ""
    if unknown and not cancelled and not ended:
        return CommandResult(status="rejected", reason=reason)
    answer = CommandResult(status="ok", cancelled=cancelled, already_ended=ended)
    if reason:
        answer["reason"] = reason
    return answer


def _shown(ids: list[str]) -> str:
    shown = ",".join(ids[:_IDS_SHOWN])
    return (
        f"{shown} and {len(ids) - _IDS_SHOWN} more" if len(ids) > _IDS_SHOWN else shown
    )


def _audit(
    work: Work,
    command: ApplyConfiguration | SubmitJob | CancelJobs | DrainTarget,
    who: str,
    moment: Moment,
    before: str,
    after: str,
    answer: CommandResult,
) -> None:
    outcome = answer["status"]
    if answer.get("reason"):
        outcome += f": {answer['reason']}"
    work.tables.audit.add(
        AuditRecord(
            index=moment.log_index,
            at_ms=moment.at_ms,
            who=who,
            change_id=command.change_id,
            action=type(command).__name__,
            before=before,
            after=after,
            outcome=outcome,
        )
    )
