"""The latest votes from and to other members, kept for operators."""

from typing import NamedTuple

MAX_NOTES = 16


class VoteNote(NamedTuple):
    """The answer to a request for a vote.

    ``member_id`` is the other member, ``at_ms`` the monotonic time of the answer and
    ``denial`` why the vote was denied: empty if it was granted, ``unknown`` if the
    member didn't say.
    """

    member_id: str
    at_ms: int
    denial: str


class VoteNotes:
    """The last answer from each member that was asked, and to each candidate.

    Changed on the log's thread only. Both tuples are replaced as a whole, so that other
    threads may read them.
    """

    def __init__(self) -> None:
        self.received: tuple[VoteNote, ...] = ()
        self.given: tuple[VoteNote, ...] = ()

    def note_received(self, note: VoteNote) -> None:
        """Record the answer of another member."""
        self.received = _replace(self.received, note)

    def note_given(self, note: VoteNote) -> None:
        """Record the answer to a candidate."""
        self.given = _replace(self.given, note)


def _replace(notes: tuple[VoteNote, ...], note: VoteNote) -> tuple[VoteNote, ...]:
    others = [other for other in notes if other.member_id != note.member_id]
    return (*others, note)[-MAX_NOTES:]
