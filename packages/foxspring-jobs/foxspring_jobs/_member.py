"""A control member: its link, log, state and service, and how it joins the group."""

import logging
import threading
from collections.abc import Callable
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
from foxspring_jobs._group import Add, MemberView, Remove, join_change, surplus_member
from foxspring_jobs._leader_context import LeaderSettings
from foxspring_jobs._leader_watch import LeaderWatch
from foxspring_jobs._metrics import Metrics
from foxspring_jobs._operations import (
    JOB_MESSAGES,
    Call,
    DeclineReason,
    JoinAnswer,
    JoinGroup,
    NotLeading,
    Reply,
)
from foxspring_jobs._orders import TargetApi
from foxspring_jobs._service import JobService
from foxspring_jobs._state_machine import JobStateMachine

_LOG = logging.getLogger(__name__)

JOIN_INTERVAL_MS = 300
LEADERLESS_TIMEOUT_MS = 2_000
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
    return f"{settings.link_address}#{wall_ms}"


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


class ControlMember:
    """One member of the control group."""

    def __init__(
        self, settings: MemberSettings, secret: bytes, api: TargetApi, clock: Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        member_id = choose_member_id(settings, clock.wall_ms())
        self.member_id = member_id
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
        self.leader_hint = ""
        self.member_hint = ""
        self._leaderless_since_ms = clock.monotonic_ms()
        self._unreachable_since: dict[str, int] = {}
        self._group_size = max(len(settings.seeds), settings.group_size)
        self._closing = threading.Event()
        self._membership_thread = threading.Thread(
            target=self._run_membership, name="group", daemon=True
        )

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
        self.caller.seeds = _members_to_ask(self.settings)

    def hand_over(self) -> None:
        """Transfer the leadership to another member, if this member has it."""
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
            self._note_member(sender)
            self.log.receive(sender, message)
        elif isinstance(message, Call):
            self.service.receive(message)
        elif isinstance(message, Reply | NotLeading | DeclineReason):
            self.caller.receive(message)
        elif isinstance(message, JoinGroup):
            self._on_join(sender, message)
        elif isinstance(message, JoinAnswer):
            self.leader_hint = message.leader_address

    def _note_member(self, address: str) -> None:
        """Remember a member that this process can ask to join, also without seeds.

        Members send to the address of one whose disk was emptied until it is removed.
        """
        if self.log.membership().find(self.member_id) is None:
            self.member_hint = address

    def _on_leadership(self, change: LeadershipChange) -> None:
        self.leadership = change
        self.watch.note_leadership(change)
        if not change.leader_id:
            self._leaderless_since_ms = self.clock.monotonic_ms()
        self.service.on_leadership(change)

    # Membership.

    def _run_membership(self) -> None:
        repeat(self._check_membership, JOIN_INTERVAL_MS / 1_000, self._closing)

    def _check_membership(self) -> None:
        self.watch.check()
        if self.leadership.is_leader:
            change = surplus_member(self._views(), self._group_size)
            if change is not None:
                self._change(change)
            return
        self._unreachable_since.clear()
        if self._should_request_join():
            self._request_join()

    def _should_request_join(self) -> bool:
        if self.log.membership().find(self.member_id) is None:
            return True
        if self.leadership.leader_id:
            return False
        leaderless_ms = self.clock.monotonic_ms() - self._leaderless_since_ms
        return leaderless_ms >= LEADERLESS_TIMEOUT_MS

    def _request_join(self) -> None:
        join = JoinGroup(
            self.member_id, self.settings.link_address, self.settings.failure_domain
        )
        known = {m.link_address for m in self.log.membership().members}
        hints = {self.leader_hint, self.member_hint}
        receivers = known | set(self.settings.seeds) | hints
        for address in receivers - {"", self.settings.link_address}:
            self.send(address, join)

    def _on_join(self, sender: str, join: JoinGroup) -> None:
        leader = self.leadership.leader_address
        if not self.leadership.is_leader or not self.log.lease_valid():
            self.send(sender, JoinAnswer(join.member_id, False, leader))
            return
        change = join_change(self._views(), join)
        if change is not None:
            self._change(change)
        known = change is None
        self.send(sender, JoinAnswer(join.member_id, known, leader))

    def _change(self, change: Add | Remove) -> None:
        if isinstance(change, Add):
            join = change.join
            member = Member(
                join.member_id, join.link_address, True, join.failure_domain
            )
            self.log.add_member(member, _log_change("add", join.member_id, "asked"))
        else:
            done = _log_change("remove", change.member_id, change.reason)
            self.log.remove_member(change.member_id, done)

    def _views(self) -> tuple[MemberView, ...]:
        now_ms = self.clock.monotonic_ms()
        views = []
        for status in self.log.status().members:
            member = status.member
            since_ms = now_ms
            if status.reachable or member.member_id == self.member_id:
                self._unreachable_since.pop(member.member_id, None)
            else:
                since_ms = self._unreachable_since.setdefault(member.member_id, now_ms)
            views.append(
                MemberView(
                    member.member_id,
                    member.link_address,
                    member.voter,
                    now_ms - since_ms,
                )
            )
        return tuple(views)


def _members_to_ask(settings: MemberSettings) -> tuple[str, ...]:
    """Return the members to ask for the leader.

    The member itself is among them, since its log names the leader without any seed.
    """
    return (*settings.seeds, settings.link_address)


def _log_change(
    action: str, member_id: str, reason: str
) -> Callable[[ProposeOutcome], None]:
    def on_done(outcome: ProposeOutcome) -> None:
        _LOG.info(
            "event=member_change action=%s member=%s why=%s status=%s reason=%r",
            action,
            member_id,
            reason,
            outcome.status,
            outcome.result.decode(),
        )

    return on_done
