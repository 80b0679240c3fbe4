"""Selection of the caller's headers that are forwarded to the target."""

_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie2",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_PREFIX = "foxspring-"


def forwarded_headers(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    """Return a caller's end-to-end headers without its token."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _NOT_FORWARDED and not name.startswith(_OWN_PREFIX)
    )
