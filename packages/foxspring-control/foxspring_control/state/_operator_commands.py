"""Commands from operators and submitters; each adds an audit record."""

from foxspring_model import (
    ENDED_STATES,
    INVARIANT_CHECKS,
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
from foxspring_control.state._transaction import JOB_NUMBER, Transaction

_IDS_SHOWN = 20


def apply_configuration(
    transaction: Transaction, command: ApplyConfiguration, moment: Moment
) -> CommandResult:
    """Accept the configuration unless its base is outdated or it is invalid."""
    current = transaction.tables.configurations.current()
    answer = configuration_rules.conflict(command, current)
    after = ""
    if answer is None:
        answer = _accept_configuration(transaction, command, current, moment)
    if answer["status"] == "ok":
        after = f"revision={answer['revision']}"
    before = f"revision={current.revision}"
    _audit(transaction, command, command.operator, moment, before, after, answer)
    return answer


def submit_job(
    transaction: Transaction, command: SubmitJob, moment: Moment
) -> CommandResult:
    """Add a job with its queued tasks; reject a job that can never run."""
    reason = job_rules.reject_reason(
        command.spec,
        transaction.configuration(),
        transaction.tables.targets.capacities(),
        transaction.settings.tasks_per_job_limit,
    )
    if reason:
        answer = CommandResult(status="rejected", reason=reason)
        _audit(transaction, command, command.submitter, moment, "", "", answer)
        return answer
    job = _add_job(transaction, command, moment)
    answer = CommandResult(status="ok", job_id=job.job_id)
    after = f"job={job.job_id} name={job.spec.name!r} team={job.spec.team}"
    after += f" tasks={job.spec.tasks}"
    _audit(transaction, command, command.submitter, moment, "", after, answer)
    return answer


def cancel_jobs(
    transaction: Transaction, command: CancelJobs, moment: Moment
) -> CommandResult:
    """Cancel all open tasks of the jobs; list jobs that have ended already."""
    cancelled: list[str] = []
    ended: list[str] = []
    unknown: list[str] = []
    for job_id in dict.fromkeys(command.job_ids):
        job = transaction.tables.jobs.get(job_id)
        if job is None:
            unknown.append(job_id)
        elif job.ended_ms:
            ended.append(job_id)
        else:
            _cancel_job(transaction, job, moment)
            cancelled.append(job_id)
    answer = _cancel_answer(cancelled, ended, unknown)
    before = f"open={_format_ids(cancelled)} ended={_format_ids(ended)}"
    after = f"cancelled={_format_ids(cancelled)}"
    _audit(transaction, command, command.operator, moment, before, after, answer)
    return answer


def drain_target(
    transaction: Transaction, command: DrainTarget, moment: Moment
) -> CommandResult:
    """Set whether the target is draining, that is, gets no new tasks."""
    target = transaction.tables.targets.get(command.target_id)
    if target is None:
        reason = f"target {command.target_id!r} is not known; list the targets"
        answer = CommandResult(status="rejected", reason=reason)
        _audit(transaction, command, command.operator, moment, "", "", answer)
        return answer
    answer = CommandResult(status="ok")
    if target.draining != command.draining:
        transaction.save_target(target._replace(draining=command.draining))
    before = f"target={command.target_id} draining={target.draining}"
    after = f"target={command.target_id} draining={command.draining}"
    _audit(transaction, command, command.operator, moment, before, after, answer)
    return answer


def record_member_change(
    transaction: Transaction, command: RecordMemberChange, moment: Moment
) -> CommandResult:
    """Add a membership change of the control group to the audit trail."""
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
    transaction.tables.audit.add(record)
    return CommandResult(status="ok")


def _accept_configuration(
    transaction: Transaction,
    command: ApplyConfiguration,
    current: ConfigurationRecord,
    moment: Moment,
) -> CommandResult:
    try:
        configuration = transaction.parsed.parse(command.text)
    except ValueError as error:
        return CommandResult(status="rejected", reason=str(error))
    reason = _removed_team_reason(transaction, configuration)
    if reason:
        return CommandResult(status="rejected", reason=reason)
    revision = transaction.tables.counters.increment("revision")
    rises = revision == current.revision + 1
    INVARIANT_CHECKS.check(
        Invariant.REVISION_NEVER_FALLS, rises, f"{current.revision} -> {revision}"
    )
    record = ConfigurationRecord(
        revision, command.change_id, command.operator, command.text, moment.at_ms
    )
    transaction.tables.configurations.add(
        record, transaction.settings.configuration_limit
    )
    transaction.changed_configuration = True
    _adjust_replicas(transaction, configuration, moment)
    return CommandResult(status="ok", revision=revision)


def _removed_team_reason(transaction: Transaction, configuration: Configuration) -> str:
    names = {team.name for team in configuration.teams}
    for team in transaction.configuration().teams:
        if team.name in names:
            continue
        open_jobs = transaction.tables.jobs.count_open_of_team(team.name)
        if open_jobs:
            return (
                f"team {team.name!r} still has {open_jobs} open jobs;"
                " cancel them or keep the team"
            )
    return ""


def _adjust_replicas(
    transaction: Transaction, configuration: Configuration, moment: Moment
) -> None:
    desired = dict(configuration_rules.desired_replicas(configuration))
    for record in transaction.tables.tasks.replicas():
        service = desired.pop(record.task.task_id, None)
        if service is None:
            after = task_rules.cancel(record, moment.at_ms)
        elif record.task.state is TaskState.QUEUED:
            task = record.task._replace(resources=service.replica, team=service.team)
            after = record._replace(task=task)
        else:
            after = task_rules.undo_replica_removal(record, moment.at_ms)
        transaction.save_task(record, after, moment)
    for task_id, service in desired.items():
        replica = configuration_rules.new_replica(
            service, task_id, moment.log_index, moment.at_ms
        )
        transaction.tables.tasks.put(replica)
        transaction.changed_tasks[task_id] = None


def _add_job(transaction: Transaction, command: SubmitJob, moment: Moment) -> JobRecord:
    number = transaction.tables.counters.increment(JOB_NUMBER)
    job = JobRecord(
        job_id=f"job-{number}",
        submitter=command.submitter,
        spec=command.spec,
        submitted_ms=moment.at_ms,
        open_tasks=command.spec.tasks,
    )
    transaction.tables.jobs.add(number, job)
    for record in job_rules.tasks_of(job):
        transaction.tables.tasks.put(record)
        transaction.changed_tasks[record.task.task_id] = None
    return job


def _cancel_job(transaction: Transaction, job: JobRecord, moment: Moment) -> None:
    ended = 0
    for record in transaction.tables.tasks.of_job(job.job_id):
        after = _cancelled(record, moment)
        if after.task.state is not record.task.state:
            ended += after.task.state in ENDED_STATES
        transaction.put_batch_task(record, after)
    left = job.open_tasks - ended
    ended_ms = moment.at_ms if left == 0 else 0
    cancelled = job._replace(cancelled=True, open_tasks=left, ended_ms=ended_ms)
    transaction.tables.jobs.update(cancelled)


def _cancelled(record: TaskRecord, moment: Moment) -> TaskRecord:
    if record.intent is StopIntent.CANCEL:
        return record
    return task_rules.cancel(record, moment.at_ms)


def _cancel_answer(
    cancelled: list[str], ended: list[str], unknown: list[str]
) -> CommandResult:
    reason = f"unknown jobs: {_format_ids(unknown)}; list the jobs" if unknown else ""
    if unknown and not cancelled and not ended:
        return CommandResult(status="rejected", reason=reason)
    answer = CommandResult(status="ok", cancelled=cancelled, already_ended=ended)
    if reason:
        answer["reason"] = reason
    return answer


def _format_ids(ids: list[str]) -> str:
    shown = ",".join(ids[:_IDS_SHOWN])
    return (
        f"{shown} and {len(ids) - _IDS_SHOWN} more" if len(ids) > _IDS_SHOWN else shown
    )


def _audit(
    transaction: Transaction,
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
    transaction.tables.audit.add(
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
