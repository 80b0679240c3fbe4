"""Parsing of INI sections into typed values, validated by msgspec.

The schema of a section is a ``NamedTuple`` whose fields are ``Annotated`` with
``msgspec.Meta``. The validation, the error messages and the settings page all take
range, unit and description from there, so that they cannot disagree.
"""

import configparser
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, TypeVar, get_args, get_type_hints

import msgspec
from foxspring_model import UNDECODABLE

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
MAX_TEXT_BYTES = 1024 * 1024

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN,
        description="lower-case letters, digits, dots, dashes and underscores, "
        "at most 63 characters",
    ),
]

SectionT = TypeVar("SectionT")


class ConfigurationError(ValueError):
    """Invalid settings, configuration or job.

    The message names the source, section, key and value, and the allowed range or
    how to correct the text.
    """


class KeyInfo(NamedTuple):
    """Type, constraints and default of a key; a required key has default None."""

    name: str
    hint: Any
    meta: msgspec.Meta | None
    default: Any
    required: bool

    def allowed(self) -> str:
        """Return a description of the allowed values."""
        return _describe_allowed(self.hint)


def parse_ini(text: str, source: str) -> configparser.ConfigParser:
    """Parse INI text into sections of untyped values; keys are case-sensitive.

    Raises:
        ConfigurationError: the text is not INI, is too long, or has a duplicate
            section or key.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ConfigurationError(
            f"{source}: the text is longer than {MAX_TEXT_BYTES} bytes; split it"
        )
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section="\0"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        detail = str(error).replace("\n", " ")
        raise ConfigurationError(f"{source}: {detail}") from error
    return parser


def section_keys(schema: type) -> list[KeyInfo]:
    """Return the keys of a section's schema in the order of definition."""
    hints = get_type_hints(schema, include_extras=True)
    defaults: dict[str, Any] = getattr(schema, "_field_defaults", {})
    return [
        KeyInfo(name, hint, _find_meta(hint), defaults.get(name), name not in defaults)
        for name, hint in hints.items()
    ]


def parse_section(
    schema: type[SectionT], values: Mapping[str, str], section: str, source: str
) -> SectionT:
    """Convert the values of a section to an instance of ``schema``.

    Raises:
        ConfigurationError: a key is unknown or missing, or a value is invalid.
    """
    keys = {key.name: key for key in section_keys(schema)}
    for name, value in values.items():
        if name not in keys:
            known = ", ".join(keys)
            raise ConfigurationError(
                f"{source}: [{section}] {name} = {value!r}: unknown key; "
                f"this section has: {known}"
            )
    missing = [key.name for key in keys.values() if key.required]
    for name in missing:
        if name not in values:
            raise ConfigurationError(
                f"{source}: [{section}] {name}: missing; give {keys[name].allowed()}"
            )
    parsed = {
        name: parse_value(keys[name], value, section, source)
        for name, value in values.items()
    }
    return schema(**parsed)


def parse_value(key: KeyInfo, value: str, section: str, source: str) -> Any:
    """Convert one value to the type of its key.

    Raises:
        ConfigurationError: the value has the wrong type or is out of range.
    """
    try:
        return msgspec.convert(value, key.hint, strict=False)
    except UNDECODABLE as error:
        raise ConfigurationError(
            f"{source}: [{section}] {key.name} = {value!r}: give {key.allowed()}"
        ) from error


def check_fields(schema: type, values: Mapping[str, Any], section: str) -> None:
    """Validate typed values against a section's schema, as if read from INI text.

    Raises:
        ConfigurationError: a value is out of range.
    """
    for key in section_keys(schema):
        if key.name in values:
            parse_value(key, str(values[key.name]).lower(), section, "value")


def _find_meta(hint: Any) -> msgspec.Meta | None:
    for part in get_args(hint):
        if isinstance(part, msgspec.Meta):
            return part
    return None


def _describe_allowed(hint: Any) -> str:
    arguments = get_args(hint)
    base = arguments[0] if arguments else hint
    meta = _find_meta(hint)
    if meta is not None and meta.ge is not None:
        unit = (meta.extra or {}).get("unit", "")
        noun = f"a whole number of {unit}" if unit else "a whole number"
        return f"{noun} from {meta.ge} to {meta.le}, without a unit"
    if meta is not None and meta.description and meta.pattern:
        return meta.description
    if base is bool:
        return "true or false"
    choices = getattr(base, "__members__", None)
    if choices:
        return "one of " + ", ".join(member.value for member in choices.values())
    return "a string"
