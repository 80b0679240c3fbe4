"""The settings file of a daemon."""

import pathlib
from enum import StrEnum
from typing import Annotated, NamedTuple

from msgspec import Meta

from foxspring_config._section import (
    ADDRESS_PATTERN,
    ConfigurationError,
    Name,
    parse_ini,
    parse_section,
)

_PORT_LIMIT = 65_535
_MAX_MEMBERS = 9
_MIN_TOKEN_CHARACTERS = 16
_MIB = 1_024 * 1_024
_RELOADABLE = {"reloadable": True}


class DaemonRole(StrEnum):
    """Role of a daemon; a VM with a disk runs one process of each role."""

    ENTRY = "entry"
    CONTROL = "control"


class LogLevel(StrEnum):
    """Minimum level of the messages that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


Address = Annotated[
    str,
    Meta(
        pattern=ADDRESS_PATTERN,
        description="an IPv4 address and port, such as 10.0.0.1:7000",
    ),
]
OptionalAddress = Annotated[
    str,
    Meta(
        pattern=f"^$|{ADDRESS_PATTERN}",
        description="an IPv4 address and port, such as 10.0.0.1:7000, or empty",
    ),
]
Secret = Annotated[
    str,
    Meta(
        pattern=rf"^\S{{{_MIN_TOKEN_CHARACTERS},256}}$",
        description=f"{_MIN_TOKEN_CHARACTERS} to 256 characters without spaces",
    ),
]


def _ms_range(low: int, high: int) -> Meta:
    return Meta(ge=low, le=high, extra={"unit": "ms"})


def _byte_range(low: int, high: int) -> Meta:
    return Meta(ge=low, le=high, extra={"unit": "bytes"})


class DaemonSection(NamedTuple):
    """Identity and role of this process, which no other source provides."""

    role: DaemonRole
    id: Name
    failure_domain: Name
    data_folder: str = ""
    log_level: Annotated[LogLevel, Meta(extra=_RELOADABLE)] = LogLevel.INFO


class LinkSection(NamedTuple):
    """Network links between foxspring processes."""

    listen: Address
    secret: Secret
    advertise: OptionalAddress = ""
    ping_interval_ms: Annotated[int, _ms_range(50, 60_000)] = 500
    silence_limit_ms: Annotated[int, _ms_range(100, 120_000)] = 2_000


class ControlSection(NamedTuple):
    """Members of the control group, and timings of a control member.

    ``members`` is a comma-separated list of ``id=address`` or
    ``id=address/failure_domain``. Set ``join`` on a control member that is started
    to join a group that is already running.
    """

    members: str
    join: bool = False
    election_timeout_ms: Annotated[int, _ms_range(100, 30_000)] = 600
    heartbeat_ms: Annotated[int, _ms_range(10, 5_000)] = 200
    snapshot_every_entries: Annotated[
        int, Meta(ge=100, le=1_000_000, extra={"unit": "entries"})
    ] = 5_000
    entry_lease_ms: Annotated[int, _ms_range(500, 30_000)] = 2_000
    task_lease_ms: Annotated[int, _ms_range(1_000, 300_000)] = 5_000


class EntrySection(NamedTuple):
    """HTTP interface and limits of an entry."""

    http_listen: Address
    worker_threads: Annotated[int, Meta(ge=10, le=512, extra={"unit": "threads"})] = 128
    max_body_bytes: Annotated[int, _byte_range(1_024, 64 * _MIB)] = 1 * _MIB
    max_header_bytes: Annotated[int, _byte_range(1_024, 1 * _MIB)] = 16 * 1_024
    max_answer_bytes: Annotated[int, _byte_range(1_024, 24 * _MIB)] = 8 * _MIB
    default_deadline_ms: Annotated[int, _ms_range(1, 3_600_000)] = 10_000
    max_deadline_ms: Annotated[int, _ms_range(1, 3_600_000)] = 120_000
    connect_timeout_ms: Annotated[int, _ms_range(10, 60_000)] = 500
    idle_connection_ms: Annotated[int, _ms_range(10, 600_000)] = 1_000
    max_attempts: Annotated[int, Meta(ge=1, le=10, extra={"unit": "attempts"})] = 3
    retry_budget_percent: Annotated[
        int, Meta(ge=0, le=100, extra={"unit": "percent of recent requests"})
    ] = 20
    drain_grace_ms: Annotated[int, _ms_range(0, 600_000)] = 3_000
    drain_limit_ms: Annotated[int, _ms_range(1_000, 3_600_000)] = 120_000


class TokenEntry(NamedTuple):
    """A named token of a caller, an operator or a target."""

    name: str
    token: str


class MemberEntry(NamedTuple):
    """A member of the control group as listed in the settings."""

    member_id: str
    address: str
    failure_domain: str


class Settings(NamedTuple):
    """The contents of a settings file."""

    daemon: DaemonSection
    link: LinkSection
    control: ControlSection
    entry: EntrySection | None
    members: tuple[MemberEntry, ...]
    callers: tuple[TokenEntry, ...] = ()
    operators: tuple[TokenEntry, ...] = ()
    targets: tuple[TokenEntry, ...] = ()


SETTINGS_SCHEMAS: tuple[tuple[str, type], ...] = (
    ("daemon", DaemonSection),
    ("link", LinkSection),
    ("control", ControlSection),
    ("entry", EntrySection),
)
TOKEN_SECTIONS = ("callers", "operators", "targets")


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        ConfigurationError: the file can't be read or is invalid.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: {error}; check the file") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate the text of a settings file.

    Raises:
        ConfigurationError: the text is invalid; the message names the source,
            section, key, value and allowed range.
    """
    parser = parse_ini(text, source)
    known = [name for name, _ in SETTINGS_SCHEMAS] + list(TOKEN_SECTIONS)
    for section in parser.sections():
        if section not in known:
            raise ConfigurationError(
                f"{source}: [{section}]: unknown section; use "
                + ", ".join(f"[{name}]" for name in known)
            )
    sections = {name: dict(parser[name]) for name in parser.sections()}
    daemon = parse_section(DaemonSection, sections.get("daemon", {}), "daemon", source)
    link = parse_section(LinkSection, sections.get("link", {}), "link", source)
    control = parse_section(
        ControlSection, sections.get("control", {}), "control", source
    )
    entry = None
    if daemon.role is DaemonRole.ENTRY:
        entry = parse_section(EntrySection, sections.get("entry", {}), "entry", source)
    settings = Settings(
        daemon,
        link,
        control,
        entry,
        _parse_members(control.members, source),
        *(
            _parse_tokens(sections.get(name, {}), name, source)
            for name in TOKEN_SECTIONS
        ),
    )
    _check_consistency(settings, source)
    return settings


def _parse_members(text: str, source: str) -> tuple[MemberEntry, ...]:
    members = []
    for part in text.replace("\n", ",").split(","):
        if not part.strip():
            continue
        name, _, rest = part.strip().partition("=")
        address, _, failure_domain = rest.partition("/")
        values = {"id": name.strip(), "listen": address.strip()}
        _check_member(values, source)
        members.append(MemberEntry(name.strip(), address.strip(), failure_domain))
    if not members or len(members) > _MAX_MEMBERS:
        raise ConfigurationError(
            f"{source}: [control] members = {text!r}: list 1 to {_MAX_MEMBERS} "
            "members as id=address, separated by commas"
        )
    if len({member.member_id for member in members}) < len(members):
        raise ConfigurationError(
            f"{source}: [control] members = {text!r}: an id appears twice; "
            "give each member its own"
        )
    return tuple(members)


class _MemberSchema(NamedTuple):
    id: Name
    listen: Address


def _check_member(values: dict[str, str], source: str) -> None:
    parse_section(_MemberSchema, values, "control", f"{source}: members")
    _check_address(values["listen"], "control", "members", source)


class _TokenSchema(NamedTuple):
    name: Name
    token: Secret


def _parse_tokens(
    values: dict[str, str], section: str, source: str
) -> tuple[TokenEntry, ...]:
    tokens = []
    for name, token in values.items():
        try:
            parse_section(_TokenSchema, {"name": name, "token": token}, section, source)
        except ConfigurationError as error:
            # The original message would reveal the token.
            raise ConfigurationError(
                f"{source}: [{section}] {name}: the name needs lower-case letters, "
                "digits, dots, dashes and underscores; the token needs "
                f"{_MIN_TOKEN_CHARACTERS} to 256 characters without spaces"
            ) from error
        tokens.append(TokenEntry(name, token))
    if len({entry.token for entry in tokens}) < len(tokens):
        raise ConfigurationError(
            f"{source}: [{section}]: two names have the same token; give each its own"
        )
    return tuple(tokens)


def _check_consistency(settings: Settings, source: str) -> None:
    _check_address(settings.link.listen, "link", "listen", source)
    if settings.entry is not None:
        _check_address(settings.entry.http_listen, "entry", "http_listen", source)
    if settings.daemon.role is DaemonRole.CONTROL:
        _check_control(settings, source)
    if settings.link.silence_limit_ms <= settings.link.ping_interval_ms:
        raise ConfigurationError(
            f"{source}: [link] silence_limit_ms = {settings.link.silence_limit_ms}: "
            f"give more than ping_interval_ms ({settings.link.ping_interval_ms})"
        )


def _check_control(settings: Settings, source: str) -> None:
    if not settings.daemon.data_folder:
        raise ConfigurationError(
            f"{source}: [daemon] data_folder: missing; a control member needs "
            "a folder on its disk"
        )
    ids = {member.member_id for member in settings.members}
    if settings.daemon.id not in ids and not settings.control.join:
        raise ConfigurationError(
            f"{source}: [control] members: {settings.daemon.id} is not among them; "
            "add it, or set join = true to join a group that is already running"
        )
    if settings.control.election_timeout_ms < 2 * settings.control.heartbeat_ms:
        raise ConfigurationError(
            f"{source}: [control] election_timeout_ms = "
            f"{settings.control.election_timeout_ms}: give at least twice "
            f"heartbeat_ms ({settings.control.heartbeat_ms})"
        )


def _check_address(address: str, section: str, key: str, source: str) -> None:
    host, _, port = address.rpartition(":")
    octets = [int(part) for part in host.split(".")]
    if max(octets) > 255 or int(port) > _PORT_LIMIT:
        raise ConfigurationError(
            f"{source}: [{section}] {key} = {address!r}: give an IPv4 address with "
            f"parts from 0 to 255 and a port from 0 to {_PORT_LIMIT}"
        )
