"""Periodic work of a thread.

Failure pattern: an exception ends one thread of a daemon. Its process lives on, so that
nobody starts it again, and what the thread did is never done again.
"""

import logging
import threading
from collections.abc import Callable

_LOG = logging.getLogger(__name__)


def repeat(
    work: Callable[[], object], interval_s: float, closing: threading.Event
) -> None:
    """Call ``work`` at an interval until ``closing`` is set.

    An exception ends only that call. Of several in a row the first, second, fourth and
    so on are logged.
    """
    failures = 0
    while not closing.wait(interval_s):
        try:
            work()
        except Exception:
            failures += 1
            if failures.bit_count() == 1:
                _LOG.exception(
                    "event=periodic_work_failed work=%s failures=%d",
                    getattr(work, "__qualname__", repr(work)),
                    failures,
                )
        else:
            failures = 0
