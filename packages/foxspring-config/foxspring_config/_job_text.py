"""The JSON body of a job submission and its validation."""

from typing import Annotated, TypedDict

import msgspec
from foxspring_model import UNDECODABLE, JobSpec, Priority, Resources
from msgspec import Meta

from foxspring_config._configuration_text import (
    Count,
    Mebibytes,
    Millicores,
)
from foxspring_config._section import ConfigurationError, Name

MAX_PAYLOAD_CHARACTERS = 64 * 1024


class _RequiredJobBody(TypedDict):
    name: Name
    team: Name


class JobBody(_RequiredJobBody, total=False):
    """The body of a job submission; resource amounts are per task."""

    tasks: Annotated[int, Meta(ge=1, le=10_000)]
    slots: Annotated[int, Meta(ge=0, le=1_000)]
    cores_milli: Millicores
    memory_mb: Mebibytes
    accelerators: Count
    priority: Priority
    work_class: Name
    run_ms: Annotated[int, Meta(ge=0, le=365 * 24 * 3_600_000)]
    payload: Annotated[str, Meta(max_length=MAX_PAYLOAD_CHARACTERS)]


def parse_job(body: bytes) -> JobSpec:
    """Parse the JSON body of a job submission.

    Raises:
        ConfigurationError: the body is not JSON, or a key or value is invalid.
    """
    try:
        raw = msgspec.json.decode(body, type=dict[str, object])
        unknown = sorted(set(raw) - set(JobBody.__annotations__))
        if unknown:
            known = ", ".join(JobBody.__annotations__)
            raise ConfigurationError(
                f"job: unknown key {unknown[0]!r}; a job has: {known}"
            )
        checked = msgspec.convert(raw, JobBody)
    except UNDECODABLE as error:
        raise ConfigurationError(f"job: {error}; correct the body") from error
    return _build_job(checked)


def print_job(spec: JobSpec) -> bytes:
    """Return the JSON body of ``spec``, validated as by the daemon.

    Raises:
        ConfigurationError: the daemon would reject a value.
    """
    body: JobBody = {
        "name": spec.name,
        "team": spec.team,
        "tasks": spec.tasks,
        "slots": spec.resources.slots,
        "cores_milli": spec.resources.cores_milli,
        "memory_mb": spec.resources.memory_mb,
        "accelerators": spec.resources.accelerators,
        "priority": spec.priority,
        "work_class": spec.work_class,
        "run_ms": spec.run_ms,
        "payload": spec.payload,
    }
    text = msgspec.json.encode(body)
    parse_job(text)
    return text


def _build_job(body: JobBody) -> JobSpec:
    resources = Resources(
        slots=body.get("slots", 1),
        cores_milli=body.get("cores_milli", 0),
        memory_mb=body.get("memory_mb", 0),
        accelerators=body.get("accelerators", 0),
    )
    return JobSpec(
        body["name"],
        body["team"],
        body.get("tasks", 1),
        resources,
        body.get("priority", Priority.NORMAL),
        body.get("work_class", "default"),
        body.get("run_ms", 0),
        body.get("payload", ""),
    )
