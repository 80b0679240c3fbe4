"""A control member: its link, log, state and service, and how it joins the group."""

import logging
import threading
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from foxspring_control import ProposeOutcome
from foxspring_control.raft import (
    RAFT_MESSAGES,
    LeadershipChange,
    Member,
    RaftSettings,
    ReplicatedLog,
)
from foxspring_link import Codec, Link, LinkSettings, repeat
from foxspring_model import Clock, LinkPing, LinkPong

from foxspring_jobs._caller import ControlCaller
from foxspring_jobs._group_membership import (
    CHECK_INTERVAL_MS,
    LEAVE_INTERVAL_MS,
    GroupMembership,
    MembershipSettings,
    new_member_id,
)
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._leader_watch import LeaderWatch
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import (
    JOB_MESSAGES,
    Call,
    DeclineReason,
    JoinAnswer,
    JoinGroup,
    LeaveAnswer,
    LeaveGroup,
    NotLeading,
    Reply,
)
from foxspring_jobs._orders import TargetApi
from foxspring_jobs._service import JobService
from foxspring_jobs._state_machine import JobStateMachine

_LOG = logging.getLogger(__name__)

LEADERLESS_LOG_INTERVAL_MS = 5_000
HAND_OVER_TIMEOUT_MS = 1_500
LINK_SETTINGS = LinkSettings(ping_interval_ms=250, silence_limit_ms=900)
_RAFT_TYPES = frozenset(RAFT_MESSAGES)
_IDENTITY = "member.json"


class MemberSettings(NamedTuple):
    """Settings of a control member; addresses are link addresses.

    ``founding`` is true only at the first start of the whole system, when ``seeds`` are
    the initial group. ``listen_address`` is set where it differs from the announced
    ``link_address``. A lost member is removed only while there are more voters than
    ``group_size`` and than seeds.
    """

    link_address: str
    data_folder: Path
    failure_domain: str
    seeds: tuple[str, ...]
    founding: bool
    leader: LeaderSettings
    election_timeout_ms: int = 600
    heartbeat_ms: int = 150
    listen_address: str = ""
    group_size: int = 0


def job_codec(secret: bytes) -> Codec:
    """Return the codec of all messages between job daemons."""
    return Codec(secret, (*JOB_MESSAGES, *RAFT_MESSAGES, LinkPing, LinkPong))


def choose_member_id(settings: MemberSettings, wall_ms: int) -> str:
    """Return the id stored in the data folder, or a new one if there is none.

    A member with an emptied folder never reuses its former id, since the group may rely
    on votes and entries that were lost with the folder.
    """
    path = settings.data_folder / _IDENTITY
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=str)
    if settings.founding and settings.link_address in settings.seeds:
        return settings.link_address
    return new_member_id(settings.link_address, wall_ms)


def raft_settings(settings: MemberSettings, member_id: str) -> RaftSettings:
    """Return the log's settings; only founding members have initial members."""
    founders: tuple[Member, ...] = ()
    if member_id == settings.link_address:
        founders = tuple(Member(seed, seed) for seed in settings.seeds)
    return RaftSettings(
        member_id=member_id,
        link_address=settings.link_address,
        data_folder=settings.data_folder,
        initial_members=founders,
        election_timeout_ms=settings.election_timeout_ms,
        heartbeat_ms=settings.heartbeat_ms,
    )


def membership_settings(settings: MemberSettings) -> MembershipSettings:
    """Return the settings of the member's part in the membership of the group."""
    group_size = max(len(settings.seeds), settings.group_size)
    return MembershipSettings(
        settings.link_address, settings.failure_domain, settings.seeds, group_size
    )


class ControlMember:
    """One member of the control group."""

    def __init__(
        self, settings: MemberSettings, secret: bytes, api: TargetApi, clock: Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        member_id = choose_member_id(settings, clock.wall_ms())
        self.machine = JobStateMachine()
        self.metrics = Metrics()
        self.link = Link(
            settings.listen_address or settings.link_address,
            job_codec(secret),
            self._receive,
            clock,
            LINK_SETTINGS,
            settings.link_address,
        )
        self.log = ReplicatedLog(
            raft_settings(settings, member_id),
            self.machine,
            self.send,
            clock,
            self._on_leadership,
        )
        self.service = JobService(
            settings.leader,
            self.log,
            self.machine,
            self.send,
            api,
            clock,
            self.metrics,
        )
        self.machine.on_reset = self.service.on_reset
        self.watch = LeaderWatch(
            self.log,
            self.service,
            clock,
            self.metrics,
            settings.data_folder,
            LEADERLESS_LOG_INTERVAL_MS,
        )
        self.service.decline_reasons.reason = self.watch.reason
        self.caller = ControlCaller(
            settings.link_address,
            _members_to_ask(settings),
            self.send,
            clock,
            self.metrics,
        )
        self.leadership = LeadershipChange(False, 0, "", "")
        self.membership = GroupMembership(
            membership_settings(settings), self.log, self.send, clock
        )
        self._closing = threading.Event()
        self._membership_thread = threading.Thread(
            target=self._run_membership, name="group", daemon=True
        )

    @property
    def member_id(self) -> str:
        """The id of this member, which is new after its data was lost."""
        return self.log.member_id

    def start(self) -> None:
        """Participate in the group, or request to join it."""
        self.link.start()
        self.log.start()
        self.service.start()
        self.caller.start()
        self._membership_thread.start()
        _LOG.info(
            "event=member_started member=%s founding=%s seeds=%s",
            self.member_id,
            self.settings.founding,
            ",".join(self.settings.seeds),
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds through which the group and its leader are found."""
        self.settings = self.settings._replace(seeds=seeds)
        self.membership.set_seeds(seeds)
        self.caller.seeds = _members_to_ask(self.settings)

    def hand_over(self) -> None:
        """Leave the group for a planned stop, as far as the group allows it.

        The leadership is transferred first. A member stays in the group unless there
        are more voters than the group needs: it may only be restarting.
        """
        self.membership.begin_stop()
        self._transfer_leadership()
        while not self.membership.try_leave():
            self._closing.wait(LEAVE_INTERVAL_MS / 1_000)

    def _transfer_leadership(self) -> None:
        if self.log.status().role != "leader":
            return
        done = threading.Event()

        def on_done(outcome: ProposeOutcome) -> None:
            _LOG.info("event=leadership_handed_over status=%s", outcome.status)
            done.set()

        self.log.transfer_leadership(on_done)
        done.wait(HAND_OVER_TIMEOUT_MS / 1_000)

    def stop(self) -> None:
        """Close everything; call :meth:`hand_over` first for a planned stop."""
        self._closing.set()
        self.caller.close()
        self.service.close()
        self.log.close()
        self.link.close()

    def send(self, address: str, message: Any) -> None:
        """Send a message; one to the member's own address is delivered directly."""
        if address == self.settings.link_address:
            self._receive(address, message)
        else:
            self.link.send(address, message)

    def _receive(self, sender: str, message: Any) -> None:
        if type(message) in _RAFT_TYPES:
            self.membership.note_member(sender)
            self.log.receive(sender, message)
        elif isinstance(message, Call):
            self.service.receive(message)
        elif isinstance(message, Reply | NotLeading | DeclineReason):
            self.caller.receive(message)
        elif isinstance(message, JoinGroup):
            self.membership.on_join(sender, message)
        elif isinstance(message, JoinAnswer):
            self.membership.on_join_answer(message)
        elif isinstance(message, LeaveGroup):
            self.membership.on_leave(sender, message)
        elif isinstance(message, LeaveAnswer):
            self.membership.on_leave_answer(message)

    def _on_leadership(self, change: LeadershipChange) -> None:
        self.leadership = change
        self.watch.note_leadership(change)
        self.membership.on_leadership(change)
        self.service.on_leadership(change)

    # Membership.

    def _run_membership(self) -> None:
        repeat(self._check_membership, CHECK_INTERVAL_MS / 1_000, self._closing)

    def _check_membership(self) -> None:
        self.membership.check()
        self.watch.check()


def _members_to_ask(settings: MemberSettings) -> tuple[str, ...]:
    """Return the members to ask for the leader.

    The member itself is among them, since its log names the leader without any seed.
    """
    return (*settings.seeds, settings.link_address)
