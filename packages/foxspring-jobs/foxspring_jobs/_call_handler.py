"""Answers calls at the leader: reads after a barrier, writes once committed."""

from collections.abc import Callable
from typing import Any

from foxspring_control import ProposeOutcome
from foxspring_control.raft import ReplicatedLog

from foxspring_jobs._commands import ReplaceTable
from foxspring_jobs._leader import Leader
from foxspring_jobs._operations import (
    Answer,
    CancelCall,
    CheckCall,
    Outcome,
    PingLeader,
    ReadCall,
    ReadTableCall,
    ReplaceTableCall,
    SubmitCall,
    TargetLeaving,
    TargetReport,
)
from foxspring_jobs._specs import Queue, is_job_id, job_problem, table_problem
from foxspring_jobs._state import JobPhase, State
from foxspring_jobs._state_machine import JobStateMachine

Respond = Callable[[Answer], None]
Action = Callable[[], object]

NO_TABLE = Answer(Outcome.UNAVAILABLE, "no configuration yet")
NO_QUEUE = Answer(Outcome.NO_QUEUE, "no such queue")
NO_JOB = Answer(Outcome.GONE, "no such job")
BAD_ID = Answer(Outcome.INVALID, "the id is not 16 hexadecimal digits")


class CallHandler:
    """Handles one call on the leader's thread.

    ``leader`` is None if this member leads and has not taken the state over, for the
    reason ``leading_error`` if that lasts. It answers what needs the committed state
    only.
    """

    def __init__(
        self,
        leader: Leader | None,
        machine: JobStateMachine,
        log: ReplicatedLog,
        post: Callable[[Action], None],
        leading_error: str = "",
    ) -> None:
        self.leader = leader
        self.machine = machine
        self.log = log
        self.post = post
        self.leading_error = leading_error

    def handle(self, operation: Any, respond: Respond, decline: Action) -> None:
        """Answer an operation, or decline it if this member may not be the leader."""
        match operation:
            case PingLeader():
                self._if_lease_valid(lambda: respond(Answer(Outcome.OK)), decline)
            case ReadCall():
                self._after_barrier(lambda: respond(self._read(operation)), decline)
            case CheckCall():
                self._after_barrier(lambda: respond(self._check(operation)), decline)
            case ReadTableCall():
                self._after_barrier(lambda: respond(self._read_table()), decline)
            case _ if self.leader is not None:
                self._handle_as(self.leader, operation, respond, decline)
            case _ if self.leading_error:
                refusal = Answer(Outcome.UNAVAILABLE, self.leading_error)
                self._if_lease_valid(lambda: respond(refusal), decline)
            case _:
                decline()

    def _handle_as(
        self, leader: Leader, operation: Any, respond: Respond, decline: Action
    ) -> None:
        match operation:
            case TargetReport():
                self._if_lease_valid(lambda: leader.report(operation, respond), decline)
            case TargetLeaving():
                leader.target_leaving(
                    operation.target_id, operation.incarnation_ms, respond
                )
            case _:
                action = self._change(leader, operation, respond)
                self._after_barrier(action, decline)

    def _if_lease_valid(self, action: Action, decline: Action) -> None:
        if self.log.lease_valid():
            action()
        else:
            decline()

    def _after_barrier(self, action: Action, decline: Action) -> None:
        def done(outcome: ProposeOutcome) -> None:
            ready = outcome.status == "applied"
            self.post(action if ready else decline)

        self.log.read_barrier(done)

    def _change(self, leader: Leader, operation: Any, respond: Respond) -> Action:
        match operation:
            case SubmitCall():
                return lambda: self._submit(leader, operation, respond)
            case CancelCall():
                return lambda: self._cancel(leader, operation, respond)
            case ReplaceTableCall():
                return lambda: self._replace(leader, operation, respond)
            case _:
                return lambda: respond(Answer(Outcome.INVALID, "unknown call"))

    def _route(self, host: str, path: str) -> tuple[Queue, str] | Answer:
        table = self.state().table
        if table.version == 0:
            return NO_TABLE
        queue = table.route(host, path)
        if queue is None:
            return NO_QUEUE
        return queue, path[len(queue.path_prefix) :]

    def state(self) -> State:
        """Return the committed state."""
        return self.machine.state

    def _submit(self, leader: Leader, call: SubmitCall, respond: Respond) -> None:
        with self.machine.lock:
            routed = self._route(call.host, call.path)
        if isinstance(routed, Answer):
            respond(routed)
            return
        queue, job_id = routed
        problem = job_problem(call.spec)
        if not is_job_id(job_id):
            respond(BAD_ID)
        elif problem:
            respond(Answer(Outcome.INVALID, problem))
        else:
            leader.submit(job_id, queue, call.spec, respond)

    def _cancel(self, leader: Leader, call: CancelCall, respond: Respond) -> None:
        with self.machine.lock:
            routed = self._route(call.host, call.path)
        if isinstance(routed, Answer):
            respond(routed)
            return
        job_id = routed[1]
        if is_job_id(job_id):
            leader.cancel(job_id, respond)
        else:
            respond(BAD_ID)

    def _read(self, call: ReadCall) -> Answer:
        with self.machine.lock:
            routed = self._route(call.host, call.path)
            if isinstance(routed, Answer):
                return routed
            queue, job_id = routed
            if not job_id:
                return Answer(Outcome.OK, waiting=self._count_waiting_jobs(queue))
            if not is_job_id(job_id):
                return BAD_ID
            job = self.state().jobs.get(job_id)
            if job is None:
                return NO_JOB
            return Answer(Outcome.OK, phase=job.phase.value)

    def _count_waiting_jobs(self, queue: Queue) -> int:
        return sum(
            job.queue.name == queue.name and job.phase is JobPhase.PENDING
            for job in self.state().active.values()
        )

    def _check(self, call: CheckCall) -> Answer:
        with self.machine.lock:
            routed = self._route(call.host, call.path)
        if isinstance(routed, Answer):
            return routed
        return Answer(Outcome.INVALID, "the body can't be read")

    def _replace(
        self, leader: Leader, call: ReplaceTableCall, respond: Respond
    ) -> None:
        problem = table_problem(call.table)
        if problem:
            respond(Answer(Outcome.INVALID, problem))
        else:
            leader.replace_table(ReplaceTable(call.table), respond)

    def _read_table(self) -> Answer:
        with self.machine.lock:
            table = self.state().table
        if table.version == 0:
            return NO_TABLE
        return Answer(Outcome.OK, document=table.document)
