"""The operators' configuration: building, validation and its INI text."""

import configparser
import io
from typing import Annotated, Any, NamedTuple

from foxspring_model import (
    Configuration,
    Resources,
    Service,
    Team,
    Weights,
)
from msgspec import Meta

from foxspring_config._section import (
    ConfigurationError,
    Name,
    check_fields,
    parse_ini,
    parse_section,
)

MAX_SERVICES = 1_000
MAX_TEAMS = 1_000

Share = Annotated[int, Meta(ge=0, le=100, extra={"unit": "percent"})]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveInt = Annotated[int, Meta(ge=1, le=1_000_000)]
Millicores = Annotated[
    int, Meta(ge=0, le=10_000_000, extra={"unit": "thousandths of a core"})
]
Mebibytes = Annotated[int, Meta(ge=0, le=100_000_000, extra={"unit": "MiB"})]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000, extra={"unit": "ms"})]
PerRequest = Annotated[int, Meta(ge=1, le=64)]


class _WeightsSection(NamedTuple):
    tail_latency: Share = 50
    throughput: Share = 25
    evictions: Share = 25


class _TeamSection(NamedTuple):
    max_tasks: Count = 1_000
    max_cores_milli: Millicores = 0
    max_memory_mb: Mebibytes = 0
    max_accelerators: Count = 0
    weight: PositiveInt = 1


class _ServiceSection(NamedTuple):
    team: Name
    replicas: Annotated[int, Meta(ge=0, le=10_000)] = 1
    cores_milli: Millicores = 0
    memory_mb: Mebibytes = 0
    accelerators: Count = 0
    request_slots: PerRequest = 1
    request_connections: PerRequest = 1
    request_cores_milli: Millicores = 0
    request_memory_mb: Mebibytes = 0
    timeout_ms: Milliseconds = 10_000
    objective_ms: Milliseconds = 100
    queue_limit: Annotated[int, Meta(ge=0, le=100_000)] = 256


class _NameSection(NamedTuple):
    name: Name


CONFIGURATION_SCHEMAS: tuple[tuple[str, type], ...] = (
    ("weights", _WeightsSection),
    ("team NAME", _TeamSection),
    ("service NAME", _ServiceSection),
)


def parse_configuration(
    text: str, source: str = "configuration", revision: int = 0
) -> Configuration:
    """Parse INI text into a configuration at ``revision``.

    ``source`` names the text in error messages.

    Raises:
        ConfigurationError: the text is invalid; the message says where and why.
    """
    parser = parse_ini(text, source)
    services: list[Service] = []
    teams: list[Team] = []
    weights = Weights()
    for section in parser.sections():
        values = dict(parser[section])
        kind, _, name = section.partition(" ")
        if section == "weights":
            weights = Weights(*parse_section(_WeightsSection, values, section, source))
        elif kind == "team":
            teams.append(_parse_team(name, values, section, source))
        elif kind == "service":
            services.append(_parse_service(name, values, section, source))
        else:
            raise ConfigurationError(
                f"{source}: [{section}]: unknown section; use [weights], "
                "[team NAME] or [service NAME]"
            )
    configuration = Configuration(tuple(services), tuple(teams), weights, revision)
    _check_consistency(configuration, source)
    return configuration


def print_configuration(configuration: Configuration) -> str:
    """Return the INI text of ``configuration``, validated as by the daemon.

    Raises:
        ConfigurationError: the daemon would reject a value.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    parser["weights"] = _string_values(configuration.weights)
    for team in configuration.teams:
        parser[f"team {team.name}"] = _string_values(_section_from_team(team))
    for service in configuration.services:
        parser[f"service {service.name}"] = _string_values(
            _section_from_service(service)
        )
    buffer = io.StringIO()
    parser.write(buffer)
    text = buffer.getvalue()
    parse_configuration(text)
    return text


def team(
    name: str,
    max_tasks: int = 1_000,
    max_cores_milli: int = 0,
    max_memory_mb: int = 0,
    max_accelerators: int = 0,
    weight: int = 1,
) -> Team:
    """Return a team; a maximum of 0 means no limit, except for ``max_tasks``.

    Raises:
        ConfigurationError: a value is out of range.
    """
    section = _TeamSection(
        max_tasks, max_cores_milli, max_memory_mb, max_accelerators, weight
    )
    _check_section("team", name, _TeamSection, section)
    return _build_team(name, section)


def service(
    name: str,
    team: str,
    replicas: int = 1,
    cores_milli: int = 0,
    memory_mb: int = 0,
    accelerators: int = 0,
    request_slots: int = 1,
    request_connections: int = 1,
    request_cores_milli: int = 0,
    request_memory_mb: int = 0,
    timeout_ms: int = 10_000,
    objective_ms: int = 100,
    queue_limit: int = 256,
) -> Service:
    """Return a latency-critical service with replicas of the given size.

    Raises:
        ConfigurationError: a value is out of range.
    """
    section = _ServiceSection(
        team,
        replicas,
        cores_milli,
        memory_mb,
        accelerators,
        request_slots,
        request_connections,
        request_cores_milli,
        request_memory_mb,
        timeout_ms,
        objective_ms,
        queue_limit,
    )
    _check_section("service", name, _ServiceSection, section)
    return _build_service(name, section)


def weights(tail_latency: int, throughput: int, evictions: int) -> Weights:
    """Return the weight of each objective in percent; the sum must be 100.

    Raises:
        ConfigurationError: a value is out of range or the sum is not 100.
    """
    value = Weights(tail_latency, throughput, evictions)
    _check_weights(value, "value")
    return value


def _check_section(kind: str, name: str, schema: type, section: Any) -> None:
    label = f"{kind} {name}"
    check_fields(_NameSection, {"name": name}, label)
    check_fields(schema, section._asdict(), label)


def _parse_team(name: str, values: dict[str, str], section: str, source: str) -> Team:
    parse_section(_NameSection, {"name": name}, section, source)
    return _build_team(name, parse_section(_TeamSection, values, section, source))


def _parse_service(
    name: str, values: dict[str, str], section: str, source: str
) -> Service:
    parse_section(_NameSection, {"name": name}, section, source)
    return _build_service(name, parse_section(_ServiceSection, values, section, source))


def _build_team(name: str, section: _TeamSection) -> Team:
    limits = Resources(
        cores_milli=section.max_cores_milli,
        memory_mb=section.max_memory_mb,
        accelerators=section.max_accelerators,
    )
    return Team(name, section.max_tasks, limits, section.weight)


def _section_from_team(value: Team) -> _TeamSection:
    limits = value.max_resources
    return _TeamSection(
        value.max_tasks,
        limits.cores_milli,
        limits.memory_mb,
        limits.accelerators,
        value.weight,
    )


def _build_service(name: str, section: _ServiceSection) -> Service:
    replica = Resources(
        cores_milli=section.cores_milli,
        memory_mb=section.memory_mb,
        accelerators=section.accelerators,
    )
    per_request = Resources(
        slots=section.request_slots,
        connections=section.request_connections,
        cores_milli=section.request_cores_milli,
        memory_mb=section.request_memory_mb,
    )
    return Service(
        name,
        section.team,
        section.replicas,
        replica,
        per_request,
        section.timeout_ms,
        section.objective_ms,
        section.queue_limit,
    )


def _section_from_service(value: Service) -> _ServiceSection:
    return _ServiceSection(
        value.team,
        value.replicas,
        value.replica.cores_milli,
        value.replica.memory_mb,
        value.replica.accelerators,
        value.per_request.slots,
        value.per_request.connections,
        value.per_request.cores_milli,
        value.per_request.memory_mb,
        value.timeout_ms,
        value.objective_ms,
        value.queue_limit,
    )


def _string_values(section: Any) -> dict[str, str]:
    return {key: str(value) for key, value in section._asdict().items()}


def _check_consistency(configuration: Configuration, source: str) -> None:
    _check_weights(configuration.weights, source)
    known = {entry.name for entry in configuration.teams}
    for entry in configuration.services:
        if entry.team not in known:
            raise ConfigurationError(
                f"{source}: [service {entry.name}] team = {entry.team!r}: "
                f"no such team; add [team {entry.team}]"
            )
    if len(configuration.services) > MAX_SERVICES or len(known) > MAX_TEAMS:
        raise ConfigurationError(
            f"{source}: at most {MAX_SERVICES} services and {MAX_TEAMS} teams; "
            "remove some"
        )


def _check_weights(value: Weights, source: str) -> None:
    check_fields(_WeightsSection, value._asdict(), "weights")
    if sum(value) != 100:
        raise ConfigurationError(
            f"{source}: [weights] tail_latency, throughput and evictions add up "
            f"to {sum(value)}; make it 100"
        )
