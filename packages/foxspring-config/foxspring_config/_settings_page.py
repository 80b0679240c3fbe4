"""Documentation page of all settings, generated from the code."""

from foxspring_config._configuration_text import CONFIGURATION_SCHEMAS
from foxspring_config._section import KeyInfo, section_keys
from foxspring_config._settings import SETTINGS_SCHEMAS, TOKEN_SECTIONS

_PAGE_HEADER = """# Settings

Generated from the code by `make settings-page`; do not edit by hand.

A daemon reads one INI file at startup (`foxspringd --settings FILE`);
`foxspring check FILE` validates it without starting a daemon. SIGHUP reloads the
file: keys marked *reload* and the token sections take effect at once, the others
need a restart (a reload that changes one of them is rejected and logged).

## The daemon's settings file
"""
_TOKEN_SECTION_TEMPLATE = """
### [{name}]

One line per token: `NAME = TOKEN`; a token has 16 to 256 characters without spaces.
*reload*.
"""
_CONFIGURATION_HEADER = """
## The configuration that operators apply

Applied with `foxspring apply FILE`; the operators' library generates such files.
"""
_TABLE_HEADER = "| key | default | allowed | reload |\n|---|---|---|---|"


def settings_page() -> str:
    """Return the page as Markdown, with the default, unit and range of each key."""
    parts = [_PAGE_HEADER]
    parts += [_format_section(name, schema) for name, schema in SETTINGS_SCHEMAS]
    parts += [_TOKEN_SECTION_TEMPLATE.format(name=name) for name in TOKEN_SECTIONS]
    parts.append(_CONFIGURATION_HEADER)
    parts += [_format_section(name, schema) for name, schema in CONFIGURATION_SCHEMAS]
    return "".join(parts)


def _format_section(name: str, schema: type) -> str:
    doc = (schema.__doc__ or "").strip()
    description = "" if schema.__name__.startswith("_") else doc + "\n\n"
    rows = "\n".join(_format_row(key) for key in section_keys(schema))
    return f"\n### [{name}]\n\n{description}{_TABLE_HEADER}\n{rows}\n"


def _format_row(key: KeyInfo) -> str:
    default = "required" if key.required else f"`{key.default}`"
    extra = (key.meta.extra if key.meta else None) or {}
    reloadable = "yes" if extra.get("reloadable") else ""
    return f"| `{key.name}` | {default} | {key.allowed()} | {reloadable} |"
