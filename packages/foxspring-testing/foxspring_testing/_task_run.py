"""A task on a stand-in target, under a lease in terms of the target's clock."""

from typing import TypedDict

import msgspec
from foxspring_model import ResourcesBody, StartTaskBody, TaskStatusBody

_FAIL_AFTER_MS = 20
_DEFAULT_WORK_MS = 100
_DEFAULT_CHECKPOINT_EVERY_MS = 200


class Payload(TypedDict, total=False):
    """The JSON payload of a task: how long it works, its checkpoints and its end."""

    work_ms: int
    checkpoint_every_ms: int
    fail: bool
    result: str


def parse_payload(text: str) -> Payload:
    """Parse a task's payload; empty text gives the default payload.

    Raises:
        ValueError: the text is not a JSON object with the fields of Payload.
    """
    try:
        return msgspec.json.decode(text or "{}", type=Payload)
    except msgspec.MsgspecError as error:
        raise ValueError(f"payload is not the JSON of a Payload: {error}") from error


class TaskRun:
    """A task's progress on one target; times are those of the target's clock.

    Call :meth:`advance` before reading a value that depends on the time.
    """

    def __init__(self, body: StartTaskBody, run: int, now_ms: int) -> None:
        self.task_id = body["task_id"]
        self.epoch = body["epoch"]
        self.service = body["service"]
        self.resources: ResourcesBody = body["resources"]
        self.lease_until_ms = body["lease_until_ms"]
        self.run = run
        self.state = "running"
        self.percent = 100
        self.detail = ""
        self.result = ""
        self.ended_ms = 0
        self.fails = False
        self.hung = False
        payload = parse_payload("" if self.service else body["payload"])
        self._work_ms = payload.get("work_ms", _DEFAULT_WORK_MS)
        self._checkpoint_interval_ms = max(
            1,
            payload.get("checkpoint_every_ms", _DEFAULT_CHECKPOINT_EVERY_MS),
        )
        self._payload = payload
        self.resumed_from_ms = int(body["checkpoint"] or 0)
        self.progress_ms = float(self.resumed_from_ms)
        self._advanced_ms = now_ms
        self._started_ms = now_ms

    @property
    def running(self) -> bool:
        """Return whether the task is still running."""
        return self.state == "running"

    @property
    def checkpoint(self) -> str:
        """The last checkpoint: the progress in milliseconds, or empty."""
        saved = (
            int(self.progress_ms)
            // self._checkpoint_interval_ms
            * self._checkpoint_interval_ms
        )
        saved = max(saved, self.resumed_from_ms)
        return str(saved) if saved and not self.service else ""

    def advance(self, now_ms: int) -> None:
        """Advance to ``now_ms``, or to the end of the lease if that is earlier."""
        if not self.running:
            return
        until_ms = min(now_ms, self.lease_until_ms)
        elapsed_ms = max(0, until_ms - self._advanced_ms)
        self._advanced_ms = max(self._advanced_ms, until_ms)
        if not self.service and not self.hung:
            self.progress_ms += elapsed_ms * self.percent / 100
        self._end_if_due(now_ms, until_ms)

    def renew(self, lease_until_ms: int) -> None:
        """Extend the lease; an outdated renewal has no effect."""
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)

    def throttle(self, percent: int, now_ms: int) -> None:
        """Run at ``percent`` of full speed from ``now_ms`` on."""
        self.advance(now_ms)
        self.percent = percent

    def stop(self, save: bool, now_ms: int) -> None:
        """Stop at ``now_ms``; with ``save``, checkpoint all progress first."""
        self.advance(now_ms)
        if not self.running:
            return
        if save:
            self.resumed_from_ms = int(self.progress_ms)
        self._end("stopped", now_ms)

    def status(self, memory_factor: float) -> TaskStatusBody:
        """Return the task's status and usage.

        The reported memory is the declared memory times ``memory_factor``.
        """
        share = self.percent / 100 if self.running else 0.0
        memory = self.resources["memory_mb"] * memory_factor if self.running else 0.0
        return TaskStatusBody(
            task_id=self.task_id,
            epoch=self.epoch,
            state=self.state,
            checkpoint=self.checkpoint,
            result=self.result,
            detail=self.detail,
            cores_milli=int(self.resources["cores_milli"] * share),
            memory_mb=int(memory),
            resources=self.resources,
        )

    def _end_if_due(self, now_ms: int, until_ms: int) -> None:
        if self.fails and until_ms - self._started_ms >= _FAIL_AFTER_MS:
            self.detail = "target is set to fail every task"
            self._end("failed", until_ms)
        elif not self.service and self.progress_ms >= self._work_ms:
            self._finish(until_ms)
        elif now_ms >= self.lease_until_ms:
            self._end("expired", self.lease_until_ms)

    def _finish(self, at_ms: int) -> None:
        self.progress_ms = float(self._work_ms)
        if self._payload.get("fail", False):
            self.detail = "payload is set to fail"
            self._end("failed", at_ms)
            return
        self.result = self._payload.get("result", "done")
        self._end("finished", at_ms)

    def _end(self, state: str, at_ms: int) -> None:
        self.state = state
        self.ended_ms = at_ms
