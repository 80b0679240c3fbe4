"""Builders of test data for foxspring-testing."""

from pathlib import Path

from foxspring_model import ResourcesBody, StartTaskBody

from foxspring_testing import StandInSettings


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
