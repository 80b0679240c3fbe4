"""Builders of settings texts for tests."""

ENTRY_SECTIONS = {
    "daemon": {"role": "entry", "id": "entry-1", "failure_domain": "attiki"},
    "link": {"listen": "127.0.0.1:7000", "secret": "0123456789abcdef"},
    "control": {"members": "control-1=127.0.0.1:7100"},
    "entry": {"http_listen": "127.0.0.1:8000"},
    "callers": {"parish": "caller-token-0123"},
}


def settings_text(changes: dict[tuple[str, str], str | None] | None = None) -> str:
    """Return an entry's settings with ``changes`` applied; ``None`` removes a key."""
    sections = {name: dict(values) for name, values in ENTRY_SECTIONS.items()}
    for (section, key), value in (changes or {}).items():
        values = sections.setdefault(section, {})
        values.pop(key, None)
        if value is not None:
            values[key] = value
    return "".join(
        f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
        for name, values in sections.items()
    )
