"""Retries writes while the disk is full.

A write that failed for lack of space left nothing behind that is read later, so
the member retries it and behaves as if the disk were slow; other members can
lead in the meantime.
"""

import errno
import logging
import threading
from collections.abc import Callable
from typing import TypeVar

_LOG = logging.getLogger(__name__)

DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
RETRY_INTERVAL_S = 0.1

Result = TypeVar("Result")


def is_disk_full(error: OSError) -> bool:
    """Return whether a write failed because the disk or quota is full."""
    return error.errno in DISK_FULL_ERRNOS


class FullDiskRetrier:
    """Retries writes until there is space or :meth:`stop_retrying` is called.

    ``waiting_operation`` names the write that waits for space, or is empty.
    """

    def __init__(self, retry_interval_s: float = RETRY_INTERVAL_S) -> None:
        self.retry_interval_s = retry_interval_s
        self.waiting_operation = ""
        self._retries_stopped = threading.Event()

    def stop_retrying(self) -> None:
        """Let writes fail when the disk is full from now on."""
        self._retries_stopped.set()

    def run(self, write: Callable[[], Result], operation: str) -> Result:
        """Call ``write`` until the disk has space and return its result.

        ``write`` must be safe to repeat. ``operation`` names it in log lines.

        Raises:
            OSError: the write failed for another reason, or the disk was full
                after :meth:`stop_retrying`.
        """
        attempts = 0
        while True:
            try:
                result = write()
            except OSError as error:
                if not is_disk_full(error) or self._retries_stopped.is_set():
                    raise
                if not attempts:
                    _LOG.error(
                        "event=disk_full what=%s reason=%r", operation, str(error)
                    )
                attempts += 1
                self.waiting_operation = operation
                self._retries_stopped.wait(self.retry_interval_s)
                continue
            if attempts:
                self.waiting_operation = ""
                _LOG.warning(
                    "event=disk_space_regained what=%s attempts=%d", operation, attempts
                )
            return result
