"""Builders of test data for foxspring-testing."""

from pathlib import Path
from typing import Any

from foxspring_model import ResourcesBody, StartTaskBody

from foxspring_testing import RunEvent, StandInSettings
from foxspring_testing._clients import CallerRecord


def standin_settings(folder: Path, entries: str = "") -> StandInSettings:
    return StandInSettings(
        target_id="t1",
        address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        entries=entries,
        token="target-token",
        events=str(folder / "t1.events"),
        announce_ms=20,
        report_ms=20,
    )


def start_body(
    task_id: str = "job/0",
    epoch: int = 1,
    lease_until_ms: int = 10_000_000_000_000,
    payload: str = "",
    checkpoint: str = "",
    memory_mb: int = 100,
) -> StartTaskBody:
    return StartTaskBody(
        task_id=task_id,
        epoch=epoch,
        lease_until_ms=lease_until_ms,
        service="",
        resources=ResourcesBody(
            slots=1,
            connections=0,
            cores_milli=1_000,
            memory_mb=memory_mb,
            accelerators=0,
        ),
        payload=payload,
        checkpoint=checkpoint,
    )


def task_event(
    kind: str,
    at_ms: int,
    target: str = "t1",
    run: int = 1,
    epoch: int = 1,
    **fields: Any,
) -> RunEvent:
    started = {"slots": 1, "memory_mb": 100} if kind == "task_started" else {}
    return RunEvent(at_ms, kind, target, 1, run, "job/0", epoch, **(started | fields))


def request_event(
    kind: str, at_ms: int, nonce: str = "n1", run: int = 1, **fields: Any
) -> RunEvent:
    started = {"slots": 1} if kind == "request_started" else {}
    return RunEvent(
        at_ms, kind, "t1", 1, run, request_id=nonce, detail=nonce, **(started | fields)
    )


def caller_record(
    nonce: str = "n1", verdict: str = "ran", **fields: Any
) -> CallerRecord:
    record = CallerRecord(
        nonce, "POST", "", False, "e1", 100, 200, verdict, 200, nonce, 0, 0, "t1", 1
    )
    return record._replace(**fields)


def job_view(resumed: int = 1) -> dict[str, Any]:
    task = {"task_id": "job/0", "state": "finished", "epoch": 2, "resumed": resumed}
    return {"job_id": "job", "state": "finished", "tasks": [task]}
