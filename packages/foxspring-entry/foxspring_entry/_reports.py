"""Decoding and validation of announcements and reports from targets."""

from typing import Any, TypeVar

import msgspec
from foxspring_model import (
    UNDECODABLE,
    AnnounceBody,
    ReportBody,
    Resources,
    ResourcesBody,
    TargetInfo,
    UsageSample,
    is_port,
)

MAX_NAME_CHARS = 128
_T = TypeVar("_T")


class MalformedBodyError(ValueError):
    """A body violates docs/PLATFORM.md; the message says where."""


def decode_announcement(body: bytes) -> AnnounceBody:
    """Decode and validate an announcement.

    Raises:
        MalformedBodyError: it is not JSON, lacks a field or has an invalid value.
    """
    announcement: AnnounceBody = _decode(body, AnnounceBody)
    _check_name("target_id", announcement["target_id"])
    _check_name("failure_domain", announcement["failure_domain"])
    _check_name("rack", announcement["rack"])
    host, _, port = announcement["address"].rpartition(":")
    if not host or not is_port(port):
        raise MalformedBodyError(
            "address must be host:port, with a port from 1 to 65535"
        )
    _check_amounts(announcement["capacity"])
    _check_count("incarnation", announcement["incarnation"])
    return announcement


def decode_report(body: bytes) -> ReportBody:
    """Decode and validate a report.

    Raises:
        MalformedBodyError: it is not JSON, lacks a field or has an invalid value.
    """
    report: ReportBody = _decode(body, ReportBody)
    _check_name("target_id", report["target_id"])
    for name in ("incarnation", "sequence", "measured_ms", "target_ms"):
        _check_count(name, report[name])
    for status in report["tasks"]:
        if status["state"] not in (
            "running",
            "finished",
            "failed",
            "stopped",
            "expired",
        ):
            raise MalformedBodyError(f"unknown task state {status['state']!r}")
    return report


def target_info(body: AnnounceBody) -> TargetInfo:
    """Convert an announcement to the model's ``TargetInfo``."""
    return TargetInfo(
        target_id=body["target_id"],
        incarnation=body["incarnation"],
        address=body["address"],
        failure_domain=body["failure_domain"],
        rack=body["rack"],
        capacity=Resources(**body["capacity"]),
        leaving=body["leaving"],
    )


def usage_sample(report: ReportBody) -> UsageSample:
    """Convert a report's measurements to the model's ``UsageSample``."""
    return UsageSample(
        target_id=report["target_id"],
        incarnation=report["incarnation"],
        measured_ms=report["measured_ms"],
        cores_milli=report["cores_milli"],
        memory_mb=report["memory_mb"],
        latencies=tuple(
            (entry["service"], entry["p50_us"], entry["p99_us"], entry["count"])
            for entry in report["latencies"]
        ),
        running=tuple(
            (status["task_id"], status["epoch"])
            for status in report["tasks"]
            if status["state"] == "running"
        ),
        task_usage=tuple(
            (status["task_id"], status["cores_milli"], status["memory_mb"])
            for status in report["tasks"]
            if status["state"] == "running"
        ),
    )


def _decode(body: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except UNDECODABLE as error:
        raise MalformedBodyError(str(error)) from error


def _check_name(field: str, name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise MalformedBodyError(
            f"{field} must be 1 to {MAX_NAME_CHARS} printable characters"
        )


def _check_count(field: str, value: int) -> None:
    if value < 0:
        raise MalformedBodyError(f"{field} must not be negative")


def _check_amounts(amounts: ResourcesBody) -> None:
    for name, value in amounts.items():
        _check_count(f"capacity.{name}", int(str(value)))
