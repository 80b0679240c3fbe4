"""Leader election: pre-votes, votes and role changes."""

from foxspring_control.raft._events import Answer, Diagnosed, LeaderChanged, Send
from foxspring_control.raft._messages import RequestVote, TimeoutNow, VoteReply
from foxspring_control.raft._proposals import append_first_entry
from foxspring_control.raft._state import Progress, RaftState, Role
from foxspring_control.raft._vote_notes import VoteNote

DENIAL_UNKNOWN = "unknown"


def become_follower(state: RaftState, term: int, leader_id: str, now_ms: int) -> None:
    """Become a follower in ``term``; ``leader_id`` is empty if unknown."""
    was_leading = state.role is Role.LEADER
    if was_leading:
        _diagnose_loss(state, term, now_ms)
    if term > state.term:
        state.term = term
        state.voted_for = ""
    state.role = Role.FOLLOWER
    state.votes.clear()
    state.transfer_election = False
    if was_leading:
        state.progress.clear()
        state.reset_election_timer(now_ms)
        _fail_pending_requests(state)
    state.set_leader(leader_id)


def _diagnose_loss(state: RaftState, new_term: int, now_ms: int) -> None:
    reachable = 1 + sum(
        now_ms < progress.acked_sent_ms + state.settings.election_timeout_ms
        for member_id, progress in state.progress.items()
        if member_id in state.voters()
    )
    snapshot_index = state.snapshot.snapshot_index if state.snapshot else 0
    state.emit(
        Diagnosed(
            "leadership_lost",
            f"term={state.term} new_term={new_term} "
            f"led_ms={now_ms - state.leader_since_ms} "
            f"voters={len(state.voters())} reachable={reachable} "
            f"entries_since_snapshot={state.log.last_index - snapshot_index}",
        )
    )


def _fail_pending_requests(state: RaftState) -> None:
    if state.pending_member_change is not None:
        state.emit(Answer(state.pending_member_change.token, "unknown"))
        state.pending_member_change = None
    if state.transfer_token is not None and not state.transfer_target:
        state.emit(Answer(state.transfer_token, "unknown"))
        state.transfer_token = None


def campaign_if_due(state: RaftState, now_ms: int) -> None:
    """Start a pre-vote if the election timer has expired."""
    if now_ms < state.election_due_ms:
        return
    state.reset_election_timer(now_ms)
    if not _may_campaign(state):
        return
    state.role = Role.PRE_CANDIDATE
    state.set_leader("")
    state.votes = {state.member_id}
    _request_votes(state, state.term + 1, pre_vote=True)
    _count_votes(state, now_ms)


def _may_campaign(state: RaftState) -> bool:
    if state.refusal_reason or not state.is_voter():
        return False
    return state.has_log() or _is_initial_member(state)


def _is_initial_member(state: RaftState) -> bool:
    return any(m.member_id == state.member_id for m in state.settings.initial_members)


def _start_election(state: RaftState, now_ms: int, transfer: bool) -> None:
    state.role = Role.CANDIDATE
    state.term += 1
    state.voted_for = state.member_id
    state.elections += 1
    state.votes = {state.member_id}
    state.transfer_election = transfer
    state.set_leader("")
    state.reset_election_timer(now_ms)
    _request_votes(state, state.term, pre_vote=False)
    _count_votes(state, now_ms)


def _request_votes(state: RaftState, term: int, pre_vote: bool) -> None:
    request = RequestVote(
        term,
        state.member_id,
        state.log.last_index,
        state.log.last_term,
        pre_vote,
        state.transfer_election and not pre_vote,
    )
    for member in state.membership.members:
        if member.voter and member.member_id != state.member_id:
            state.emit(Send(member.link_address, request))


def on_request_vote(
    state: RaftState, sender: str, request: RequestVote, now_ms: int
) -> None:
    """Answer a request for a vote or a pre-vote."""
    if not state.has_log() and not _is_bootstrap_request(state, request):
        # Storing the group's term would make a member that lost its disk look
        # like one that voted in the first election of the group.
        _reply_vote(state, sender, request, "holds no log", now_ms)
        return
    if _has_recent_leader_contact(state, now_ms) and not request.transfer:
        # The higher term is ignored too, so that a member returning from a
        # partition can't depose a leader that the others still follow.
        _reply_vote(state, sender, request, "heard a leader lately", now_ms)
        return
    if not request.pre_vote and request.term > state.term:
        become_follower(state, request.term, "", now_ms)
    denial = _denial(state, request)
    if not denial and not request.pre_vote:
        state.voted_for = request.candidate_id
        state.reset_election_timer(now_ms)
    _reply_vote(state, sender, request, denial, now_ms)


def _has_recent_leader_contact(state: RaftState, now_ms: int) -> bool:
    if state.role is Role.LEADER:
        return True
    return now_ms < state.last_leader_contact_ms + state.settings.election_timeout_ms


def _denial(state: RaftState, request: RequestVote) -> str:
    """Return why a vote is denied, or an empty string if it is granted."""
    if state.refusal_reason:
        return "refuses to take part"
    own_log = (state.log.last_term, state.log.last_index)
    if (request.last_term, request.last_index) < own_log:
        return f"holds a newer log up to {own_log[1]} of term {own_log[0]}"
    if request.pre_vote:
        return "" if request.term > state.term else f"is in term {state.term}"
    if request.term != state.term:
        return f"is in term {state.term}"
    if state.voted_for not in ("", request.candidate_id):
        return f"voted for {state.voted_for}"
    return ""


def _is_bootstrap_request(state: RaftState, request: RequestVote) -> bool:
    return request.last_index == 0 and _is_initial_member(state)


def _reply_vote(
    state: RaftState, sender: str, request: RequestVote, denial: str, now_ms: int
) -> None:
    granted = not denial
    term = request.term if granted else state.term
    reply = VoteReply(term, state.member_id, request.pre_vote, granted)
    state.emit(Send(sender, reply))
    state.vote_notes.note_given(VoteNote(request.candidate_id, now_ms, denial))


def on_vote_reply(state: RaftState, reply: VoteReply, now_ms: int) -> None:
    """Count a vote; a quorum of pre-votes starts the election, of votes wins it."""
    denial = "" if reply.granted else DENIAL_UNKNOWN
    state.vote_notes.note_received(VoteNote(reply.member_id, now_ms, denial))
    if not reply.granted:
        if reply.term > state.term and state.has_log():
            become_follower(state, reply.term, "", now_ms)
        return
    expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
    term = state.term + 1 if reply.pre_vote else state.term
    if state.role is not expected_role or reply.term != term:
        return
    state.votes.add(reply.member_id)
    _count_votes(state, now_ms)


def votes_needed(state: RaftState) -> int:
    """Return how many voters elect a leader: all of them for the first one."""
    return state.majority() if state.has_log() else len(state.voters())


def _count_votes(state: RaftState, now_ms: int) -> None:
    voters = set(state.voters())
    if len(state.votes & voters) < votes_needed(state):
        return
    if state.role is Role.PRE_CANDIDATE:
        _start_election(state, now_ms, transfer=False)
    elif state.role is Role.CANDIDATE:
        _become_leader(state, now_ms)


def _become_leader(state: RaftState, now_ms: int) -> None:
    state.role = Role.LEADER
    state.leader_id = state.member_id
    state.leader_address = state.settings.link_address
    state.leader_since_ms = now_ms
    state.leadership_announced = False
    state.synced_index = 0
    state.pending_member_change = None
    if state.transfer_token is not None:
        state.emit(Answer(state.transfer_token, "unknown"))
    state.transfer_token = None
    state.transfer_target = ""
    next_index = state.log.last_index + 1
    state.progress = {
        member.member_id: Progress(next_index)
        for member in state.membership.members
        if member.member_id != state.member_id
    }
    append_first_entry(state)
    state.emit(Diagnosed("elected", f"term={state.term}"))


def announce_if_ready(state: RaftState) -> None:
    """Announce leadership once the first entry of the term is committed."""
    if state.leadership_announced or state.commit_index < state.first_term_index:
        return
    state.leadership_announced = True
    address = state.settings.link_address
    state.emit(LeaderChanged(True, state.term, state.member_id, address))


def on_timeout_now(state: RaftState, message: TimeoutNow, now_ms: int) -> None:
    """Start an election at once, because the leader transferred its leadership."""
    if message.term != state.term or state.role is Role.LEADER:
        return
    if _may_campaign(state):
        _start_election(state, now_ms, transfer=True)
