"""How a control member joins the group, and the changes that it makes as leader.

It has no thread and no link: the caller passes in messages, changes of leadership and
a call of :meth:`GroupMembership.check` every ``CHECK_INTERVAL_MS``.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from foxspring_control import ProposeCallback, ProposeOutcome
from foxspring_control.raft import LeadershipChange, Member, Membership, RaftStatus
from foxspring_model import Clock

from foxspring_jobs._group import (
    Add,
    MemberView,
    Remove,
    join_change,
    leave_change,
    surplus_member,
)
from foxspring_jobs._operations import JoinAnswer, JoinGroup, LeaveAnswer, LeaveGroup

_LOG = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 300
LEADERLESS_TIMEOUT_MS = 2_000
LEAVE_INTERVAL_MS = 50
# Long enough for one election.
LEAVE_TIMEOUT_MS = 2_000


def new_member_id(link_address: str, wall_ms: int) -> str:
    """Return an id that no member at this address had before."""
    return f"{link_address}#{wall_ms}"


class GroupLog(Protocol):
    """What the membership needs of the replicated log, see ``ReplicatedLog``."""

    @property
    def member_id(self) -> str:
        """The id of this member."""

    def membership(self) -> Membership:
        """Return the latest membership in this member's log."""

    def status(self) -> RaftStatus:
        """Return the status of this member."""

    def lease_valid(self) -> bool:
        """Return whether this member leads under a valid lease."""

    def add_member(self, member: Member, on_done: ProposeCallback) -> None:
        """Add a member."""

    def remove_member(self, member_id: str, on_done: ProposeCallback) -> None:
        """Remove a member."""

    def renew_identity(self, member_id: str) -> None:
        """Take part under a new id, if this member refuses because it lost its data."""


class MembershipSettings(NamedTuple):
    """The member itself and the group that it belongs to.

    A member is removed, or leaves, only while there are more voters than
    ``group_size``.
    """

    link_address: str
    failure_domain: str
    seeds: tuple[str, ...]
    group_size: int


class GroupMembership:
    """The part of one control member in the membership of its group."""

    def __init__(
        self,
        settings: MembershipSettings,
        log: GroupLog,
        send: Callable[[str, Any], object],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.log = log
        self.send = send
        self.clock = clock
        self.leadership = LeadershipChange(False, 0, "", "")
        self.leader_hint = ""
        self.member_hint = ""
        self.leaderless_since_ms = clock.monotonic_ms()
        self._unreachable_since: dict[str, int] = {}
        self.is_stopping = False
        self._leave_answered = False
        self._leave_until_ms = 0

    @property
    def member_id(self) -> str:
        """The id of this member."""
        return self.log.member_id

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds through which the group is found."""
        self.settings = self.settings._replace(seeds=tuple(seeds))

    def note_member(self, address: str) -> None:
        """Remember a member that this process can ask to join, also without seeds.

        Members send to the address of one whose disk was emptied until it is removed.
        """
        if self.log.membership().find(self.member_id) is None:
            self.member_hint = address

    def on_leadership(self, change: LeadershipChange) -> None:
        """Note a change of the leader."""
        self.leadership = change
        if not change.leader_id:
            self.leaderless_since_ms = self.clock.monotonic_ms()

    def on_join(self, sender: str, join: JoinGroup) -> None:
        """Make the next change that a process needs to join, if this member leads."""
        leader = self.leadership.leader_address
        if not self.leadership.is_leader or not self.log.lease_valid():
            self.send(sender, JoinAnswer(join.member_id, False, leader))
            return
        change = join_change(self._views(), join)
        if change is not None:
            self._change(change)
        known = change is None
        self.send(sender, JoinAnswer(join.member_id, known, leader))

    def on_join_answer(self, answer: JoinAnswer) -> None:
        """Note the leader that another member named."""
        self.leader_hint = answer.leader_address

    def begin_stop(self) -> None:
        """Ask for nothing any more but to leave the group, see :meth:`try_leave`."""
        self.is_stopping = True
        self._leave_until_ms = self.clock.monotonic_ms() + LEAVE_TIMEOUT_MS

    def try_leave(self) -> bool:
        """Ask the leader to leave the group; return whether to go on with the stop.

        Call it every ``LEAVE_INTERVAL_MS`` until it returns true: at once if the group
        has no voter too many, else with the leader's answer or ``LEAVE_TIMEOUT_MS``
        after :meth:`begin_stop`.
        """
        timed_out = self.clock.monotonic_ms() >= self._leave_until_ms
        if self._leave_answered or timed_out or not self._is_surplus():
            return True
        if self.leadership.is_leader:
            # It was elected again because the transfer had failed.
            self._remove_self()
        elif self.leadership.leader_address:
            leave = LeaveGroup(self.member_id)
            self.send(self.leadership.leader_address, leave)
        return False

    def _remove_self(self) -> None:
        change = Remove(self.member_id, "leaves")

        def on_applied() -> None:
            self._leave_answered = True

        self._remove(change, on_applied)

    def _is_surplus(self) -> bool:
        voters = self.log.membership().voters()
        return self.member_id in voters and len(voters) > self.settings.group_size

    def on_leave(self, sender: str, leave: LeaveGroup) -> None:
        """Remove a member that stops, if this member leads and others replace it."""
        if not self.leadership.is_leader or not self.log.lease_valid():
            return
        if self.log.membership().find(leave.member_id) is None:
            # Its removal may still be uncommitted; it is answered at the commit.
            return
        change = leave_change(self._views(), leave.member_id, self.settings.group_size)
        if change is None:
            self.send(sender, LeaveAnswer(leave.member_id, False))
            return
        answer = LeaveAnswer(leave.member_id, True)
        self._remove(change, lambda: self.send(sender, answer))

    def _remove(self, change: Remove, on_applied: Callable[[], object]) -> None:
        log_outcome = _log_change("remove", change.member_id, change.reason)

        def on_done(outcome: ProposeOutcome) -> None:
            log_outcome(outcome)
            if outcome.status == "applied":
                on_applied()

        self.log.remove_member(change.member_id, on_done)

    def on_leave_answer(self, answer: LeaveAnswer) -> None:
        """Note that the leader has decided on the request to leave."""
        if answer.member_id == self.member_id:
            self._leave_answered = True

    def check(self) -> None:
        """Remove a surplus member as leader, or request to join the group if needed."""
        if self.leadership.is_leader:
            change = surplus_member(self._views(), self.settings.group_size)
            if change is not None:
                self._change(change)
            return
        self._unreachable_since.clear()
        if self.is_stopping:
            return
        if self.log.status().refusal_reason:
            self._renew_identity()
            return
        if self._should_request_join():
            self._request_join()

    def _renew_identity(self) -> None:
        address = self.settings.link_address
        self.log.renew_identity(new_member_id(address, self.clock.wall_ms()))

    def _should_request_join(self) -> bool:
        if self.log.membership().find(self.member_id) is None:
            return True
        if self.leadership.leader_id:
            return False
        leaderless_ms = self.clock.monotonic_ms() - self.leaderless_since_ms
        return leaderless_ms >= LEADERLESS_TIMEOUT_MS

    def _request_join(self) -> None:
        settings = self.settings
        address = settings.link_address
        join = JoinGroup(self.member_id, address, settings.failure_domain)
        known = {m.link_address for m in self.log.membership().members}
        hints = {self.leader_hint, self.member_hint}
        receivers = known | set(settings.seeds) | hints
        for receiver in sorted(receivers - {"", address}):
            self.send(receiver, join)

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
