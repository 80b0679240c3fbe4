"""Platform API calls that start, stop and throttle tasks."""

import msgspec
from foxspring_model import (
    Resources,
    ResourcesBody,
    RunTask,
    StartTaskBody,
    StopTaskBody,
    ThrottleBody,
    ThrottleTask,
)

from foxspring_entry._task_state import TaskCall, TaskCallKind


def start_call(run: RunTask, lease_until_ms: int) -> TaskCall:
    """Return the call that starts a task; the lease ends in the target's time."""
    body = StartTaskBody(
        task_id=run.task_id,
        epoch=run.epoch,
        lease_until_ms=lease_until_ms,
        service=run.service,
        resources=_resources_body(run.resources),
        payload=run.payload,
        checkpoint=run.checkpoint,
    )
    encoded = msgspec.json.encode(body)
    return TaskCall(TaskCallKind.START, run.task_id, run.epoch, encoded)


def stop_call(task_id: str, epoch: int, save_checkpoint: bool) -> TaskCall:
    """Return the call that stops a task."""
    body = StopTaskBody(task_id=task_id, epoch=epoch, checkpoint=save_checkpoint)
    return TaskCall(TaskCallKind.STOP, task_id, epoch, msgspec.json.encode(body))


def throttle_call(throttle: ThrottleTask) -> TaskCall:
    """Return the call that sets a task's CPU share."""
    body = ThrottleBody(
        task_id=throttle.task_id, epoch=throttle.epoch, percent=throttle.percent
    )
    encoded = msgspec.json.encode(body)
    return TaskCall(TaskCallKind.THROTTLE, throttle.task_id, throttle.epoch, encoded)


def _resources_body(amount: Resources) -> ResourcesBody:
    return ResourcesBody(
        slots=amount.slots,
        connections=amount.connections,
        cores_milli=amount.cores_milli,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )
