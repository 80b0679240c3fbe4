"""Control daemon: assembles a control member from its settings."""

import logging
import pathlib
import threading
from typing import Any

from foxspring_config import Settings, parse_configuration
from foxspring_control import ProposeOutcome
from foxspring_control.raft import (
    RAFT_MESSAGES,
    LeadershipChange,
    Member,
    RaftSettings,
    ReplicatedLog,
)
from foxspring_control.service import ControlService, ServiceSettings
from foxspring_control.state import ControlState
from foxspring_link import Codec, Link, LinkSettings, SystemClock, repeat
from foxspring_model import MESSAGES

_LOG = logging.getLogger(__name__)
_TICK_INTERVAL_S = 0.1
_TRANSFER_TIMEOUT_S = 3.0
_RAFT_MESSAGE_TYPES = frozenset(RAFT_MESSAGES)


class ControlProcess:
    """A member of the control group; runs until ``stop`` is called."""

    def __init__(self, settings: Settings) -> None:
        clock = SystemClock()
        folder = pathlib.Path(settings.daemon.data_folder)
        folder.mkdir(parents=True, exist_ok=True)
        codec = Codec(settings.link.secret.encode(), (*MESSAGES, *RAFT_MESSAGES))
        self.link = Link(
            settings.link.listen,
            codec,
            self._receive,
            clock,
            _link_settings(settings),
            settings.link.advertise,
        )
        self.state = ControlState(folder, parse_configuration)
        self.log = ReplicatedLog(
            raft_settings(settings, self.link.address, folder),
            self.state,
            self.link.send,
            clock,
            self._on_leadership,
        )
        self.service = ControlService(
            service_settings(settings),
            self.log,
            self.state,
            self.link.send,
            clock,
            extra_metrics=self._link_counters,
        )
        self._stopping = threading.Event()
        self._stopped = threading.Event()
        self._ticker = threading.Thread(target=self._tick, name="tick", daemon=True)

    def start(self) -> None:
        """Join the control group; the member serves entries while it leads."""
        self.link.start()
        self.log.start()
        self._ticker.start()

    def stop(self) -> None:
        """Transfer leadership if this member leads, then close links and files."""
        if self.log.status().role == "leader":
            self._transfer_leadership()
        self._stopping.set()
        self._ticker.join()
        self.service.close()
        self.log.close()
        self.link.close()
        self.state.close()
        self._stopped.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` for ``stop`` to end; return whether it did."""
        return self._stopped.wait(timeout_s)

    def reload(self, settings: Settings) -> None:
        """Do nothing.

        Of the reloadable settings a control member uses only the log level, which
        ``daemon.py`` sets.
        """

    def _link_counters(self) -> dict[str, int]:
        counters = self.link.counters()._asdict()
        return {f"link_{name}_total": value for name, value in counters.items()}

    def _transfer_leadership(self) -> None:
        done = threading.Event()

        def on_done(outcome: ProposeOutcome) -> None:
            _LOG.info("event=leadership_handed_over status=%s", outcome.status)
            done.set()

        self.log.transfer_leadership(on_done)
        done.wait(_TRANSFER_TIMEOUT_S)

    def _receive(self, sender: str, message: Any) -> None:
        if type(message) in _RAFT_MESSAGE_TYPES:
            self.log.receive(sender, message)
        else:
            self.service.receive(sender, message)

    def _on_leadership(self, change: LeadershipChange) -> None:
        self.service.on_leadership(change)

    def _tick(self) -> None:
        repeat(self.service.tick, _TICK_INTERVAL_S, self._stopping)


def raft_settings(
    settings: Settings, link_address: str, folder: pathlib.Path
) -> RaftSettings:
    """Return the settings of the replicated log from a daemon's settings."""
    members = tuple(
        Member(member.member_id, member.address, True, member.failure_domain)
        for member in settings.members
    )
    return RaftSettings(
        member_id=settings.daemon.id,
        link_address=link_address,
        data_folder=folder,
        initial_members=() if settings.control.join else members,
        election_timeout_ms=settings.control.election_timeout_ms,
        heartbeat_ms=settings.control.heartbeat_ms,
        snapshot_every_entries=settings.control.snapshot_every_entries,
    )


def service_settings(settings: Settings) -> ServiceSettings:
    """Return the settings of the leader's service from a daemon's settings."""
    return ServiceSettings(
        entry_lease_ms=settings.control.entry_lease_ms,
        task_lease_ms=settings.control.task_lease_ms,
    )


def _link_settings(settings: Settings) -> LinkSettings:
    return LinkSettings(
        ping_interval_ms=settings.link.ping_interval_ms,
        silence_limit_ms=settings.link.silence_limit_ms,
    )
