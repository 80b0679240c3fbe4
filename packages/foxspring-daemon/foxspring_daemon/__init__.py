"""Daemon processes, command line and logging of foxspring."""

from foxspring_daemon._logging import set_level, set_up_logging

__all__ = ["set_level", "set_up_logging"]
