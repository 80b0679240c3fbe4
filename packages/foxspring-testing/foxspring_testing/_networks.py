"""Loopback networks of which each belongs to one holder at a time."""

import errno
import itertools
import random
import socket
from collections.abc import Sequence

# 127.0 and 127.1 hold addresses that are not claimed.
_SECOND_BYTES = range(16, 32)
_THIRD_BYTES = range(256)
PREFIXES = tuple(
    f"127.{second}.{third}"
    for second, third in itertools.product(_SECOND_BYTES, _THIRD_BYTES)
)
# A claim is a socket bound to this host of the network: the kernel grants it to one
# process and releases it when that process ends. Nothing listens there.
CLAIM_HOST = 254
_CLAIM_PORT = 9_999


class LoopbackNetwork:
    """The addresses of one loopback network, claimed until :meth:`close`.

    No other holder, in this process or another one, is given the same network
    meanwhile. ``prefixes`` replaces the networks to choose from.

    Raises:
        OSError: every network is claimed.
    """

    def __init__(self, prefixes: Sequence[str] = PREFIXES) -> None:
        for prefix in random.sample(prefixes, len(prefixes)):
            claim = _claim(prefix)
            if claim is not None:
                self.prefix = prefix
                self._claim = claim
                return
        raise OSError(
            errno.EADDRINUSE, f"each of {len(prefixes)} loopback networks is claimed"
        )

    def host(self, number: int) -> str:
        """Return the address of a host, 1 to 253."""
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        """Release the network."""
        self._claim.close()


def _claim(prefix: str) -> socket.socket | None:
    claim = socket.socket()
    try:
        claim.bind((f"{prefix}.{CLAIM_HOST}", _CLAIM_PORT))
    except OSError as error:
        claim.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return None
    return claim
