"""Logs: one line of key=value pairs for each event."""

import logging
import sys
import time

from foxspring_daemon._log_output import BoundedHandler

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@%+,[]()"
)


class KeyValueFormatter(logging.Formatter):
    """Puts time, level, process id and module before an event's own pairs.

    Whatever a value holds, an event stays on one line: line breaks and other
    control characters are escaped, and an exception becomes one more pair.
    """

    def __init__(self, daemon_id: str) -> None:
        super().__init__()
        self.daemon_id = daemon_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the one line of ``record``."""
        message = record.getMessage()
        if not message.startswith("event="):
            message = f"event=message text={quote(message)}"
        parts = [
            f"time={self._time(record)}",
            f"level={record.levelname.lower()}",
            f"daemon={quote(self.daemon_id)}",
            f"module={record.name}",
            escape(message),
        ]
        if record.exc_info:
            parts.append(f"exception={quote(self.formatException(record.exc_info))}")
        return " ".join(parts)

    def _time(self, record: logging.LogRecord) -> str:
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        return f"{seconds}.{int(record.msecs):03d}Z"


def quote(value: str) -> str:
    """Return ``value`` as one token: as it is if plain, else quoted."""
    if value and all(character in _PLAIN for character in value):
        return value
    quoted = value.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escape(quoted)}"'


def escape(text: str) -> str:
    """Return ``text`` with control characters written as escapes."""
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else _escaped(character)
        for character in text
    )


def set_up_logging(daemon_id: str, level: str) -> None:
    """Log to standard output from ``level`` (``debug`` to ``error``) on.

    Writing never blocks: lines that a slow reader leaves behind are counted.
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(KeyValueFormatter(daemon_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(level)


def set_level(level: str) -> None:
    """Change the level of a running process."""
    logging.getLogger().setLevel(level.upper())
    logging.getLogger("pykka").setLevel(logging.WARNING)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def _escaped(character: str) -> str:
    return character.encode("unicode_escape").decode("ascii")
