"""Stand-in target, fault network, test harness, demo, soak test and benchmarks."""

from foxspring_testing._behaviour import Behaviour
from foxspring_testing._events import EventWriter, RunEvent, read_events
from foxspring_testing._http_server import HttpReply, HttpRequest, HttpServer
from foxspring_testing._requests_run import EchoBody, request_path
from foxspring_testing._standin import StandIn
from foxspring_testing._standin_settings import (
    StandInSettings,
    read_standin_settings,
    write_standin_settings,
)

__all__ = [
    "Behaviour",
    "EchoBody",
    "EventWriter",
    "HttpServer",
    "HttpRequest",
    "HttpReply",
    "RunEvent",
    "StandIn",
    "StandInSettings",
    "read_events",
    "read_standin_settings",
    "request_path",
    "write_standin_settings",
]
