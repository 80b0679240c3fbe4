"""Why a control member neither leads nor follows a leader, as a bounded text."""

from typing import NamedTuple

from foxspring_control.raft import LeadershipChange, RaftStatus, VoteNote

from foxspring_jobs._leader_losses import LossCounts
from foxspring_jobs._log_text import log_text

LOG_WAIT_LIMIT_MS = 1_000
# Failovers and planned restarts within a minute lose fewer.
MANY_LOSSES = 5
MAX_REASON_CHARS = 240
# A few segments of the log.
LOW_DISK_BYTES = 4 * 1024 * 1024
MAX_ERROR_CHARS = 100
MAX_NOTE_CHARS = 60
MAX_NOTES = 8
FOLLOWER = "follower"


class LeaderView(NamedTuple):
    """What a member knows about its leader.

    ``began`` is whether the member's service leads, ``leading_error`` why it could not
    begin, if so. ``log_waits_ms`` is for how long the log's thread has been
    in its batch and ``waiting_for`` in what, see ``ReplicatedLog``; ``free_bytes`` is
    what is free on its disk, -1 if unknown.
    """

    status: RaftStatus
    leadership: LeadershipChange
    began: bool
    lease_valid: bool
    leading_error: str
    log_waits_ms: int
    waiting_for: str
    free_bytes: int
    losses: LossCounts


def trouble(view: LeaderView) -> str:
    """Return why no leader serves, as seen here; empty if one does."""
    status = view.status
    if view.log_waits_ms >= LOG_WAIT_LIMIT_MS:
        return _log_waits(view)
    if status.refusal_reason:
        return f"refuses to take part: {status.refusal_reason}"
    if view.leadership.is_leader:
        return _leader_trouble(view)
    if view.leading_error and not view.leadership.leader_id:
        return _takeover_trouble(view)
    if status.role == "leader":
        return (
            f"elected but not yet serving: entries committed to {status.commit_index} "
            f"of {status.last_index}, {_answering(status)}"
        )
    if view.leadership.leader_id:
        return _losses_trouble(view.losses)
    return _without_leader(view)


def _log_waits(view: LeaderView) -> str:
    return (
        f"log stands still for {view.log_waits_ms} ms in {view.waiting_for or '-'}, "
        f"{_space(view)}"
    )


def _space(view: LeaderView) -> str:
    return f"{view.free_bytes} bytes free on its disk"


def _leader_trouble(view: LeaderView) -> str:
    if not view.began:
        return _takeover_trouble(view)
    if not view.lease_valid:
        return f"leads without a valid lease: {_answering(view.status)}"
    return _losses_trouble(view.losses)


def _takeover_trouble(view: LeaderView) -> str:
    error = log_text(view.leading_error, MAX_ERROR_CHARS)
    return f"could not take over the state: {error or 'not begun yet'}"


def _losses_trouble(losses: LossCounts) -> str:
    return _losses_text(losses) if losses.lost >= MANY_LOSSES else ""


def _losses_text(losses: LossCounts) -> str:
    return f"{losses.lost} leaders lost in 60 s, {losses.at_snapshot} at a snapshot"


def _without_leader(view: LeaderView) -> str:
    status = view.status
    if status.leader_id:
        return (
            f"its log hears {status.leader_id}, not announced yet: entries applied to "
            f"{status.applied_index} of {status.commit_index}"
        )
    if not _is_voter(status):
        return "no voter and no leader heard"
    if status.voters_heard < status.votes_needed:
        has_asked = bool(status.votes) or status.role != FOLLOWER
        lack = "no quorum" if has_asked else "no leader heard, no vote asked for"
        return f"{lack}: {_answering(status)}"
    losses = _losses_trouble(view.losses)
    if losses:
        return losses
    return f"elections without a leader: {_answering(status)}"


def _is_voter(status: RaftStatus) -> bool:
    return any(
        m.member.voter and m.member.member_id == status.member_id
        for m in status.members
    )


def _answering(status: RaftStatus) -> str:
    voters = sum(m.member.voter for m in status.members)
    return (
        f"{status.voters_heard} of {voters} voters answer, {status.votes_needed} needed"
    )


def votes_text(status: RaftStatus) -> str:
    """Return who granted, denied or did not answer the latest requests for votes."""
    answers = {note.member_id: note for note in status.votes}
    voters = [m.member.member_id for m in status.members if m.member.voter]
    others = [name for name in answers if name not in voters]
    texts = [
        f"{name} {_vote(answers.get(name))}"
        for name in voters
        if name != status.member_id
    ]
    texts += [f"{name} {_vote(answers[name])} (no voter)" for name in others]
    return "; ".join(texts[:MAX_NOTES])


def _vote(note: VoteNote | None) -> str:
    if note is None:
        return "silent"
    return "denied" if note.denial else "granted"


def denials_text(status: RaftStatus) -> str:
    """Return whose requests for votes this member has denied lately, and why."""
    texts = [f"{note.member_id} {note.denial}" for note in status.denials]
    return "; ".join(log_text(text, MAX_NOTE_CHARS) for text in texts[:MAX_NOTES])


def decline_reason(view: LeaderView) -> str:
    """Return why this member declines calls, in ``MAX_REASON_CHARS`` at most."""
    status = view.status
    why = trouble(view) or f"follows {view.leadership.leader_id or 'nobody'}"
    parts = [
        why,
        f"{status.role} of term {status.term}, log to {status.last_index}, "
        f"{status.elections} elections",
    ]
    if view.leading_error and why != _takeover_trouble(view):
        parts.append(_takeover_trouble(view))
    if 0 <= view.free_bytes < LOW_DISK_BYTES and view.log_waits_ms < LOG_WAIT_LIMIT_MS:
        parts.append(_space(view))
    if view.losses.lost and view.losses.lost < MANY_LOSSES:
        parts.append(_losses_text(view.losses))
    if status.denials:
        parts.append(f"denied {denials_text(status)}")
    return log_text("; ".join(parts), MAX_REASON_CHARS)
