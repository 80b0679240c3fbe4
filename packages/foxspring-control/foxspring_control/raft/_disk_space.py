"""Keeps a member able to vote, and retries its writes, while the disk is full.

A write that failed for lack of space left nothing behind that is read later, so
the member retries it. The first such write gives up the reserve, which has room
for what the member has accepted already and for terms and votes; from then on the
member accepts no entries until the reserve can be made again.
"""

import errno
import logging
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

_LOG = logging.getLogger(__name__)

DISK_FULL_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT})
RETRY_INTERVAL_S = 0.1

Result = TypeVar("Result")


def is_disk_full(error: OSError) -> bool:
    """Return whether a write failed because the disk or quota is full."""
    return error.errno in DISK_FULL_ERRNOS


Allocate = Callable[[int, int], None]


def allocate_space(descriptor: int, size: int) -> None:
    """Reserve ``size`` bytes on the disk for an open file."""
    os.posix_fallocate(descriptor, 0, size)


class DiskReserve:
    """A file whose space is given up when the disk is full.

    Without a size there is no reserve, and the disk never counts as full.
    """

    def __init__(
        self, path: Path, size: int, allocate: Allocate = allocate_space
    ) -> None:
        self.path = path
        self.size = size
        self.allocate = allocate
        self.held = False

    def is_missing(self) -> bool:
        """Return whether the disk was full and has no room for the reserve yet."""
        return self.size > 0 and not self.held

    def make(self) -> None:
        """Make the reserve if the disk has room for it.

        Raises:
            OSError: the file can't be written for another reason.
        """
        if not self.is_missing():
            return
        descriptor = os.open(self.path, os.O_CREAT | os.O_RDWR, 0o600)
        try:
            self.allocate(descriptor, self.size)
        except OSError as error:
            self.path.unlink(missing_ok=True)
            if not is_disk_full(error):
                raise
            return
        finally:
            os.close(descriptor)
        self.held = True

    def give_up(self) -> bool:
        """Free the space of the reserve; return whether there was one."""
        if not self.held:
            return False
        self.held = False
        self.path.unlink(missing_ok=True)
        _LOG.error("event=disk_reserve_given_up bytes=%d", self.size)
        return True


class FullDiskRetrier:
    """Retries writes until there is space or :meth:`stop_retrying` is called.

    ``reserve``, if any, is given up before a write waits. ``waiting_operation``
    names the write that waits for space, or is empty.
    """

    def __init__(
        self,
        retry_interval_s: float = RETRY_INTERVAL_S,
        reserve: DiskReserve | None = None,
    ) -> None:
        self.retry_interval_s = retry_interval_s
        self.reserve = reserve
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
                if not is_disk_full(error):
                    raise
                if self.reserve is not None and self.reserve.give_up():
                    continue
                if self._retries_stopped.is_set():
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
