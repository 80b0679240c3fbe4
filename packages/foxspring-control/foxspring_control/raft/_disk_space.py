"""Writes to a disk that may be full for a while.

A write that found no space changed nothing that counts, so the member waits and
tries it again, as it would wait for a slow disk; others lead meanwhile.
"""

import errno
import logging
import threading
from collections.abc import Callable
from typing import TypeVar

_LOG = logging.getLogger(__name__)

FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})
RETRY_FULL_S = 0.1

Result = TypeVar("Result")


def is_full(error: OSError) -> bool:
    """Tell whether a write failed for want of space."""
    return error.errno in FULL_ERRORS


class DiskSpace:
    """Tries writes again until there is space or :meth:`give_up` is called."""

    def __init__(self, retry_s: float = RETRY_FULL_S) -> None:
        self.retry_s = retry_s
        self._given_up = threading.Event()

    def give_up(self) -> None:
        """Let writes that find no space fail from now on."""
        self._given_up.set()

    def wait_for(self, write: Callable[[], Result], what: str) -> Result:
        """Return what ``write`` returns once it finds space.

        ``write`` must be safe to repeat. ``what`` names it in the log.

        Raises:
            OSError: it failed for another reason, or after :meth:`give_up`.
        """
        attempts = 0
        while True:
            try:
                result = write()
            except OSError as error:
                if not is_full(error) or self._given_up.is_set():
                    raise
                if not attempts:
                    _LOG.error("event=disk_full what=%s reason=%r", what, str(error))
                attempts += 1
                self._given_up.wait(self.retry_s)
                continue
            if attempts:
                _LOG.warning(
                    "event=disk_space_regained what=%s attempts=%d", what, attempts
                )
            return result
