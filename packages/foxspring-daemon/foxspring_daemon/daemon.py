"""Entry point of the ``foxspringd`` daemon."""

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
_POLL_INTERVAL_S = 1.0
_EXIT_INVALID_SETTINGS = 2


class Process(Protocol):
    """The interface that the processes of both roles implement."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> None:
        """Shut down gracefully; called once, on a separate thread."""

    def wait(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` for ``stop`` to end; return whether it did."""

    def reload(self, settings: Settings) -> None:
        """Apply the settings that can change without a restart."""


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

    SIGHUP reloads the settings file and applies what can change without a restart.
    """
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        click.echo(str(error), err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    set_up_logging(settings.daemon.id, settings.daemon.log_level)
    run(create_process(settings), settings, path)


def create_process(settings: Settings) -> Process:
    """Return the process for the configured role, importing only that role's code."""
    if settings.daemon.role is DaemonRole.CONTROL:
        from foxspring_daemon._control_process import ControlProcess

        return ControlProcess(settings)
    from foxspring_daemon._entry_process import EntryProcess

    return EntryProcess(settings)


def run(process: Process, settings: Settings, path: pathlib.Path) -> None:
    """Run the process until it has shut down gracefully."""
    stopping = threading.Event()

    def on_stop(signal_number: int, _frame: Any) -> None:
        if stopping.is_set():
            return
        stopping.set()
        _LOG.info("event=stopping signal=%s", signal.Signals(signal_number).name)
        threading.Thread(target=process.stop, name="stop").start()

    def on_reload(_signal_number: int, _frame: Any) -> None:
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
    while not process.wait(_POLL_INTERVAL_S):
        pass
    _LOG.info("event=stopped")


def _reload(process: Process, running: Settings, path: pathlib.Path) -> None:
    try:
        settings = load_settings(path)
    except ConfigurationError as error:
        _LOG.error("event=reload_refused reason=%r", str(error))
        return
    if _without_reloadable(settings) != _without_reloadable(running):
        _LOG.error(
            "event=reload_refused reason=%r",
            "a key that needs a restart has changed; see docs/SETTINGS.md",
        )
        return
    set_level(settings.daemon.log_level)
    process.reload(settings)
    _LOG.info("event=reloaded log_level=%s", settings.daemon.log_level.value)


def _without_reloadable(settings: Settings) -> Settings:
    daemon = settings.daemon._replace(log_level=LogLevel.INFO)
    return settings._replace(daemon=daemon, callers=(), operators=(), targets=())


if __name__ == "__main__":
    main()
