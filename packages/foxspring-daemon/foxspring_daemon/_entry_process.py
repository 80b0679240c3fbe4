"""Entry daemon: assembles an entry from its settings."""

import threading

from foxspring_config import EntrySection, Settings, parse_configuration
from foxspring_entry import ENTRY_MESSAGES, Entry, EntrySettings, Route
from foxspring_link import Codec, SystemClock
from foxspring_model import MESSAGES

from foxspring_daemon._metrics_routes import metrics_routes
from foxspring_daemon._operator_routes import operator_routes


class EntryProcess:
    """An entry; runs until it is drained."""

    def __init__(self, settings: Settings) -> None:
        clock = SystemClock()
        codec = Codec(settings.link.secret.encode(), (*MESSAGES, *ENTRY_MESSAGES))
        incarnation = clock.wall_ms()
        self.entry = Entry(
            entry_settings(settings, incarnation),
            clock,
            codec,
            parse_configuration,
            _routes,
        )
        self._drained = threading.Event()

    def start(self) -> None:
        """Serve callers, targets and operators."""
        self.entry.start()

    def stop(self) -> None:
        """Finish requests in flight within ``drain_limit_ms``, then stop the entry."""
        self.entry.drain()
        self._drained.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` for ``stop`` to end; return whether it did."""
        return self._drained.wait(timeout_s)

    def reload(self, settings: Settings) -> None:
        """Apply the tokens of the reloaded settings."""
        reloaded = entry_settings(settings, self.entry.settings.incarnation)
        self.entry.set_tokens(reloaded)


def entry_settings(settings: Settings, incarnation: int) -> EntrySettings:
    """Return an entry's settings from a daemon's settings.

    Raises:
        ValueError: the settings have no ``[entry]`` section.
    """
    section = settings.entry
    if section is None:
        raise ValueError("settings have no [entry] section; set [daemon] role = entry")
    callers, operators, targets = _tokens(settings)
    return EntrySettings(
        entry_id=settings.daemon.id,
        failure_domain=settings.daemon.failure_domain,
        link_address=settings.link.listen,
        advertised_link_address=settings.link.advertise,
        http_address=section.http_listen,
        control_addresses=tuple(member.address for member in settings.members),
        caller_tokens=callers,
        operator_tokens=operators,
        target_tokens=targets,
        incarnation=incarnation,
        task_lease_ms=settings.control.task_lease_ms,
        **_limits(section),
    )


def _limits(section: EntrySection) -> dict[str, int]:
    limits = section._asdict()
    del limits["http_listen"]
    return limits


def _tokens(
    settings: Settings,
) -> tuple[
    tuple[tuple[str, str], ...],
    tuple[tuple[str, str], ...],
    tuple[tuple[str, str], ...],
]:
    return (
        tuple((entry.name, entry.token) for entry in settings.callers),
        tuple((entry.name, entry.token) for entry in settings.operators),
        tuple((entry.name, entry.token) for entry in settings.targets),
    )


def _routes(entry: Entry) -> tuple[Route, ...]:
    return (*operator_routes(entry.control), *metrics_routes(entry))
