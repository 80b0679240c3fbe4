"""Requests, responses and routes of an entry's HTTP API."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """Role whose token a route requires; ``ANYONE`` requires none."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"
    TARGET = "target"


class HttpRequest(NamedTuple):
    """A request that has passed the limits and the token check.

    ``path`` excludes the query string, which ``raw_query`` contains unparsed.
    Header names are lower case. ``principal`` is the name of the token in the
    settings.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    role: Role
    peer: str
    principal: str = ""
    raw_query: str = ""


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], HttpResponse]


class Route(NamedTuple):
    """Sends requests whose path starts with ``prefix`` to ``handler``.

    The longest matching prefix wins. If no route with that prefix has the
    request's method, the response is 405.
    """

    method: str
    prefix: str
    role: Role
    handler: Handler
