"""The ``foxspringd`` binary."""

import logging
import pathlib
import signal
import sys
import threading
from typing import Any, Protocol

import click
from foxspring_config import (
    ConfigurationError,
    DaemonRole,
    LogLevel,
    Settings,
    load_settings,
)

from foxspring_daemon._logging import set_level, set_up_logging

_LOG = logging.getLogger("foxspring_daemon")
_WAIT_S = 1.0
_EXIT_BAD_SETTINGS = 2


class Process(Protocol):
    """A daemon of either role."""

    def start(self) -> None:
        """Begin to serve."""

    def stop(self) -> None:
        """End in order; called once, from a thread of its own."""

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end; tell whether it has come."""

    def reload(self, settings: Settings) -> None:
        """Take over what can change without a restart."""


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="The INI file with this daemon's settings.",
)
def main(path: pathlib.Path) -> None:
    """Run one foxspring daemon until SIGTERM or SIGINT.

    SIGHUP reads the settings file again and takes over what can change.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        click.echo(str(error), err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    set_up_logging(settings.daemon.id, settings.daemon.log_level)
    run(make_process(settings), settings, path)


def make_process(settings: Settings) -> Process:
    """Return the process of the role; the other role is never imported."""
    if settings.daemon.role is DaemonRole.CONTROL:
        from foxspring_daemon._control_process import ControlProcess

        return ControlProcess(settings)
    from foxspring_daemon._entry_process import EntryProcess

    return EntryProcess(settings)


def run(process: Process, settings: Settings, path: pathlib.Path) -> None:
    """Serve until the process has ended in order."""
    stopping = threading.Event()

    def on_stop(number: int, _frame: Any) -> None:
        if stopping.is_set():
            return
        stopping.set()
        _LOG.info("event=stopping signal=%s", signal.Signals(number).name)
        threading.Thread(target=process.stop, name="stop").start()

    def on_reload(_number: int, _frame: Any) -> None:
        threading.Thread(
            target=_reload, args=(process, settings, path), name="reload"
        ).start()

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    process.start()
    _LOG.info(
        "event=started role=%s failure_domain=%s",
        settings.daemon.role.value,
        settings.daemon.failure_domain,
    )
    while not process.wait(_WAIT_S):
        pass
    _LOG.info("event=stopped")


def _reload(process: Process, running: Settings, path: pathlib.Path) -> None:
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        _LOG.error("event=reload_refused reason=%r", str(error))
        return
    if _fixed_part(settings) != _fixed_part(running):
        _LOG.error(
            "event=reload_refused reason=%r",
            "a key that needs a restart has changed; see docs/SETTINGS.md",
        )
        return
    set_level(settings.daemon.log_level)
    process.reload(settings)
    _LOG.info("event=reloaded log_level=%s", settings.daemon.log_level.value)


def _fixed_part(settings: Settings) -> Settings:
    daemon = settings.daemon._replace(log_level=LogLevel.INFO)
    return settings._replace(daemon=daemon, callers=(), operators=(), targets=())


if __name__ == "__main__":
    main()
