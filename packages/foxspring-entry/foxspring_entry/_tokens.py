"""Token authentication with comparisons in constant time."""

import hmac

from foxspring_entry._http import Role
from foxspring_entry._settings import EntrySettings, Token

_SCHEME = "bearer"


class TokenRegistry:
    """Tokens of each role; secrets are never logged or returned."""

    def __init__(self, settings: EntrySettings) -> None:
        self._tokens: dict[Role, tuple[Token, ...]] = {
            Role.CALLER: settings.caller_tokens,
            Role.OPERATOR: settings.operator_tokens,
            Role.TARGET: settings.target_tokens,
        }

    def authenticate(self, role: Role, authorization: str) -> str | None:
        """Return the name of the token in an ``Authorization`` header.

        Returns ``None`` if it is not a token of the role. All tokens are
        compared, so the time taken does not reveal which one was similar.
        """
        scheme, _, secret = authorization.partition(" ")
        if scheme.lower() != _SCHEME or not secret:
            return None
        offered = secret.strip().encode()
        found = None
        for name, known in self._tokens.get(role, ()):
            if known and hmac.compare_digest(offered, known.encode()):
                found = name
        return found
