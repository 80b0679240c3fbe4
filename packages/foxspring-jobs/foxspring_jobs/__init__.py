"""Multi-step jobs: replicated state, placement and orders to targets."""

from foxspring_jobs._advice import AdviceCall
from foxspring_jobs._caller import CallerSettings, ControlCaller
from foxspring_jobs._commands import (
    RegisterTarget,
    RunKey,
    TargetIncarnation,
    TaskKey,
)
from foxspring_jobs._entry import JobEntry
from foxspring_jobs._garbage import limit_garbage_collection
from foxspring_jobs._http_server import (
    HttpServer,
    RequestHandler,
    ServerRequest,
    ServerResponse,
)
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._member import ControlMember, MemberSettings, job_codec
from foxspring_jobs._metrics import Metrics, metrics_page
from foxspring_jobs._operations import (
    Answer,
    CancelCall,
    CheckCall,
    NotLeading,
    Outcome,
    ReadCall,
    ReadTableCall,
    ReplaceTableCall,
    Reply,
    SubmitCall,
    TargetLeaving,
    TargetReport,
)
from foxspring_jobs._orders import (
    OnAdvice,
    OnTargetResult,
    Order,
    PaceOrder,
    PollRequest,
    ReportedEnd,
    ReportedRun,
    ResultKind,
    StartOrder,
    StopOrder,
    TargetApi,
    TargetEndpoint,
    TargetResult,
    TargetView,
)
from foxspring_jobs._specs import (
    JobSpec,
    Queue,
    QueueTable,
    ServicePool,
    StepSpec,
)
from foxspring_jobs._state import EndKind

__all__ = [
    "AdviceCall",
    "Answer",
    "CallerSettings",
    "CancelCall",
    "CheckCall",
    "ControlCaller",
    "ControlMember",
    "EndKind",
    "ReportedEnd",
    "RequestHandler",
    "ServerRequest",
    "ServerResponse",
    "PollRequest",
    "HttpServer",
    "JobEntry",
    "JobSpec",
    "LeaderSettings",
    "MemberSettings",
    "Metrics",
    "NotLeading",
    "Order",
    "Outcome",
    "PaceOrder",
    "Queue",
    "QueueTable",
    "ReadCall",
    "ReadTableCall",
    "TargetResult",
    "RegisterTarget",
    "ReplaceTableCall",
    "Reply",
    "ResultKind",
    "RunKey",
    "ReportedRun",
    "ServicePool",
    "StartOrder",
    "StepSpec",
    "StopOrder",
    "SubmitCall",
    "OnAdvice",
    "OnTargetResult",
    "TargetApi",
    "TargetLeaving",
    "TargetIncarnation",
    "TargetEndpoint",
    "TargetReport",
    "TargetView",
    "TaskKey",
    "job_codec",
    "limit_garbage_collection",
    "metrics_page",
]
