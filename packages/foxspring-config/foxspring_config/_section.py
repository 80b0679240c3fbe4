"""Reading of INI sections into typed values, checked by msgspec.

A section's shape is a ``NamedTuple`` whose fields are ``Annotated`` with
``msgspec.Meta``; the range, unit and description come from there, so that the
check, the error message and the settings page cannot disagree.
"""

import configparser
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple, TypeVar, get_args, get_type_hints

import msgspec

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
MAX_TEXT_BYTES = 1024 * 1024

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN,
        description="lower-case letters, digits, dots, dashes and underscores, "
        "at most 63",
    ),
]

SectionT = TypeVar("SectionT")


class ConfigurationError(ValueError):
    """A text that the system does not accept.

    The message names the source, section, key and value, and the allowed
    range or the fix.
    """


class KeyInfo(NamedTuple):
    """What is allowed for one key; ``default`` is None where one is needed."""

    name: str
    hint: Any
    meta: msgspec.Meta | None
    default: Any
    required: bool

    def allowed(self) -> str:
        """Return the allowed values in words."""
        return _allowed(self.hint)


def read_ini(text: str, source: str) -> configparser.ConfigParser:
    """Split ``text`` into sections.

    Raises:
        ConfigurationError: it is no INI, is too long, or repeats a name.
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


def section_keys(shape: type) -> list[KeyInfo]:
    """Return the keys of a section's shape, in order."""
    hints = get_type_hints(shape, include_extras=True)
    defaults: dict[str, Any] = getattr(shape, "_field_defaults", {})
    return [
        KeyInfo(name, hint, _meta(hint), defaults.get(name), name not in defaults)
        for name, hint in hints.items()
    ]


def read_section(
    shape: type[SectionT], values: Mapping[str, str], section: str, source: str
) -> SectionT:
    """Return the section's values as ``shape``.

    Raises:
        ConfigurationError: a key is unknown or missing, or a value is wrong.
    """
    keys = {key.name: key for key in section_keys(shape)}
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
    read = {
        name: read_value(keys[name], value, section, source)
        for name, value in values.items()
    }
    return shape(**read)


def read_value(key: KeyInfo, value: str, section: str, source: str) -> Any:
    """Return one value of the key's type.

    Raises:
        ConfigurationError: the value is not of the key's type or range.
    """
    try:
        return msgspec.convert(value, key.hint, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigurationError(
            f"{source}: [{section}] {key.name} = {value!r}: give {key.allowed()}"
        ) from error


def check_fields(shape: type, values: Mapping[str, Any], section: str) -> None:
    """Check typed values against a section's shape, as for INI text.

    Raises:
        ConfigurationError: a value is out of range.
    """
    for key in section_keys(shape):
        if key.name in values:
            read_value(key, str(values[key.name]).lower(), section, "value")


def _meta(hint: Any) -> msgspec.Meta | None:
    for part in get_args(hint):
        if isinstance(part, msgspec.Meta):
            return part
    return None


def _allowed(hint: Any) -> str:
    arguments = get_args(hint)
    base = arguments[0] if arguments else hint
    meta = _meta(hint)
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
    return "a text"
