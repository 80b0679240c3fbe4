"""Log format: one line of key=value pairs per event."""

import logging
import sys
import threading
import time

from foxspring_daemon._log_output import BoundedHandler

_LOG = logging.getLogger(__name__)

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@%+,[]()"
)


class KeyValueFormatter(logging.Formatter):
    """Prepends time, level, daemon id and module to an event's own pairs.

    An event always occupies one line: line breaks and other control characters
    in values are escaped, and an exception is appended as another pair.
    """

    def __init__(self, daemon_id: str) -> None:
        super().__init__()
        self.quoted_daemon_id = quote(daemon_id)
        self._second = -1
        self._second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as a single line."""
        message = record.getMessage()
        if not message.startswith("event="):
            message = f"event=message text={quote(message)}"
        parts = [
            f"time={self._time(record)}",
            f"level={record.levelname.lower()}",
            f"daemon={self.quoted_daemon_id}",
            f"module={record.name}",
            escape(message),
        ]
        if record.exc_info:
            parts.append(f"exception={quote(self.formatException(record.exc_info))}")
        return " ".join(parts)

    def _time(self, record: logging.LogRecord) -> str:
        # Many lines share a second, and formatting it costs more than the rest.
        second = int(record.created)
        if second != self._second:
            self._second_text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self._second = second
        return f"{self._second_text}.{int(record.msecs):03d}Z"


def quote(value: str) -> str:
    """Return ``value`` unchanged if it needs no quotes, else quoted and escaped."""
    if value and all(character in _UNQUOTED_CHARACTERS for character in value):
        return value
    quoted = value.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escape(quoted)}"'


def escape(text: str) -> str:
    """Return ``text`` with non-printable characters escaped."""
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else _escape_character(character)
        for character in text
    )


def set_up_logging(daemon_id: str, level: str) -> None:
    """Log to standard output at ``level`` (``debug`` to ``error``) and above.

    Logging never blocks: lines that a slow reader cannot keep up with are dropped
    and counted. An exception that ends a thread is logged as well.
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter(daemon_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    _omit_unused_fields()
    set_level(level)
    threading.excepthook = log_thread_failure


def log_thread_failure(failure: threading.ExceptHookArgs) -> None:
    """Log the exception that has ended a thread."""
    if failure.exc_type is SystemExit or failure.exc_value is None:
        return
    name = failure.thread.name if failure.thread is not None else ""
    exception = (failure.exc_type, failure.exc_value, failure.exc_traceback)
    _LOG.critical("event=thread_failed thread=%s", quote(name), exc_info=exception)


def _omit_unused_fields() -> None:
    """Do not look up what no line shows: source position, thread and process.

    These switches are described under "Optimization" in the logging HOWTO.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


def set_level(level: str) -> None:
    """Set the log level; pykka and urllib3 keep fixed levels of their own."""
    logging.getLogger().setLevel(level.upper())
    logging.getLogger("pykka").setLevel(logging.WARNING)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def _escape_character(character: str) -> str:
    return character.encode("unicode_escape").decode("ascii")
