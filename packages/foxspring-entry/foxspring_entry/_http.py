"""Requests and responses of an entry's HTTP surface, and its routes."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class Role(StrEnum):
    """Whose token a route asks for; ``ANYONE`` needs none."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"
    TARGET = "target"


class HttpRequest(NamedTuple):
    """One request after its limits were checked and its token accepted.

    ``path`` is without the query, which ``raw_query`` holds as it was sent;
    header names are lower case. ``principal`` is the name that the settings give
    to the token.
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
    """A whole response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], HttpResponse]


class Route(NamedTuple):
    """Requests whose path starts with ``prefix`` go to ``handler``.

    The longest prefix wins. A method that no route of the path has is
    answered with 405.
    """

    method: str
    prefix: str
    role: Role
    handler: Handler
