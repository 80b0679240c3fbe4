"""Runs one stand-in target: ``python -m foxspring_testing.standin``."""

import logging
import os
import signal
import threading
from pathlib import Path

import click

from foxspring_testing._standin import StandIn
from foxspring_testing._standin_settings import read_standin_settings

_LOG = logging.getLogger(__name__)
_EXIT_FAILED = 1


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="INI file with a [target] section.",
)
def main(settings_path: Path) -> None:
    """Run a stand-in target until SIGTERM or SIGINT."""
    logging.basicConfig(
        level=logging.INFO, format="at=%(asctime)s level=%(levelname)s %(message)s"
    )
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    standin = StandIn(read_standin_settings(settings_path))
    try:
        standin.start()
    except Exception:
        _LOG.exception("event=start_failed")
        # The worker threads of its servers would keep the process running.
        os._exit(_EXIT_FAILED)
    stopping.wait()
    standin.stop()


if __name__ == "__main__":
    main()
