"""The daemons' wiring, command line and logs."""

from foxspring_daemon._logging import set_level, set_up_logging

__all__ = ["set_level", "set_up_logging"]
