"""Messages that only entries send to each other."""

from typing import NamedTuple


class ReportAcks(NamedTuple):
    """Ended tasks that a target may forget, for its next answered report.

    The owner sends it to the entry that forwarded a report. ``acked`` holds
    task ids with their epochs.
    """

    target_id: str
    acked: tuple[tuple[str, int], ...]


class TargetReleased(NamedTuple):
    """The last owner of a target says that it sends nothing more to it.

    ``owner_epoch`` is the epoch at which the receiver owns it.
    """

    target_id: str
    owner_epoch: int


ENTRY_MESSAGES: tuple[type, ...] = (ReportAcks, TargetReleased)
