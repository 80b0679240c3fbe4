"""Actor that runs a control member's service on its own thread."""

import logging
from typing import Any

import pykka
from foxspring_model import Clock

from foxspring_control.raft import LeadershipChange
from foxspring_control.service._core import ServiceCore
from foxspring_control.service._member_metrics import ReadMetrics
from foxspring_control.service._messages import (
    Call,
    LogHandle,
    Received,
    SendMessage,
    StateChanged,
    Tick,
)
from foxspring_control.service._scheduling import MakeScheduler, make_scheduler
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.state import ControlState

_LOG = logging.getLogger(__name__)


class _ServiceActor(pykka.ThreadingActor):
    def __init__(self, core: ServiceCore) -> None:
        super().__init__()
        self._core = core

    def on_receive(self, message: Any) -> None:
        """Pass one message to the core; log an exception and drop the message."""
        try:
            self._handle(message)
        except Exception:
            _LOG.exception("event=service_failed message=%s", type(message).__name__)

    def _handle(self, message: Any) -> None:
        if isinstance(message, Received):
            self._core.receive(message.sender, message.message)
        elif isinstance(message, StateChanged):
            self._core.state_changed(message.changes)
        elif isinstance(message, Call):
            message.function()
        elif isinstance(message, LeadershipChange):
            self._core.on_leadership(message)
        elif isinstance(message, Tick):
            self._core.tick()


class ControlService:
    """The service of one control member; safe to call from any thread.

    Every method only enqueues a message for the actor's thread. Call
    :meth:`receive` with messages from entries, :meth:`on_leadership` with the
    log's leadership changes, and :meth:`tick` every 50 to 200 ms.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        log: LogHandle,
        state: ControlState,
        send: SendMessage,
        clock: Clock,
        make_scheduler: MakeScheduler = make_scheduler,
        extra_metrics: ReadMetrics = dict,
    ) -> None:
        self._core = ServiceCore(
            settings,
            log,
            state,
            send,
            clock,
            self._post,
            make_scheduler,
            extra_metrics,
        )
        self._ref = _ServiceActor.start(self._core)
        state.subscribe(lambda changes: self._enqueue(StateChanged(changes)))

    def receive(self, sender: str, message: Any) -> None:
        """Handle a message from an entry; replies go to ``sender``."""
        self._enqueue(Received(sender, message))

    def on_leadership(self, change: LeadershipChange) -> None:
        """Handle a leadership change."""
        self._enqueue(change)

    def tick(self) -> None:
        """Run periodic work that is due."""
        self._enqueue(Tick())

    def close(self) -> None:
        """Stop the actor once its queued messages are handled."""
        self._ref.stop()

    def _post(self, function: Any) -> None:
        self._enqueue(Call(function))

    def _enqueue(self, message: Any) -> None:
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            return
