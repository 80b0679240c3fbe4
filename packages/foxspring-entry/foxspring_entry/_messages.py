"""Messages exchanged only between entries."""

from typing import NamedTuple


class ReportAcks(NamedTuple):
    """Ended tasks that a target may discard, for the reply to its next report.

    Sent by the target's owner to the entry that forwarded a report. ``acked``
    contains pairs of task id and epoch.
    """

    target_id: str
    acked: tuple[tuple[str, int], ...]


class TargetReleased(NamedTuple):
    """Confirmation of a target's previous owner that it sends nothing more.

    ``owner_epoch`` is the epoch at which the receiver owns the target.
    """

    target_id: str
    owner_epoch: int


ENTRY_MESSAGES: tuple[type, ...] = (ReportAcks, TargetReleased)
