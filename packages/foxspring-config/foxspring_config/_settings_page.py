"""The documentation page of all settings, made from the code."""

from foxspring_config._configuration_text import SECTION_SHAPES
from foxspring_config._section import KeyInfo, section_keys
from foxspring_config._settings import SETTINGS_SHAPES, TOKEN_SECTIONS

_HEAD = """# Settings

Made from the code by `make settings-page`; do not edit.

A daemon reads one INI file at its start (`foxspringd --settings FILE`);
`foxspring check FILE` checks it without starting. SIGHUP reads the file again:
keys marked *reload* and the token sections change at once, the others need a
restart (and a change of one of them is refused with a log line).

## The daemon's settings file
"""
_TOKENS = """
### [{name}]

One line a token: `NAME = TOKEN`, the token 16 to 256 characters without spaces.
*reload*.
"""
_MIDDLE = """
## The configuration that operators apply

`foxspring apply FILE`; the operators' library prints such files.
"""
_COLUMNS = "| key | default | allowed | reload |\n|---|---|---|---|"


def settings_page() -> str:
    """Return the page as Markdown: each key, its default, unit and range."""
    parts = [_HEAD]
    parts += [_section(name, shape) for name, shape in SETTINGS_SHAPES]
    parts += [_TOKENS.format(name=name) for name in TOKEN_SECTIONS]
    parts.append(_MIDDLE)
    parts += [_section(name, shape) for name, shape in SECTION_SHAPES]
    return "".join(parts)


def _section(name: str, shape: type) -> str:
    doc = (shape.__doc__ or "").strip()
    described = "" if shape.__name__.startswith("_") else doc + "\n\n"
    rows = "\n".join(_row(key) for key in section_keys(shape))
    return f"\n### [{name}]\n\n{described}{_COLUMNS}\n{rows}\n"


def _row(key: KeyInfo) -> str:
    default = "needed" if key.required else f"`{key.default}`"
    extra = (key.meta.extra if key.meta else None) or {}
    mark = "yes" if extra.get("reloadable") else ""
    return f"| `{key.name}` | {default} | {key.allowed()} | {mark} |"
