"""Messages that only entries send to each other."""

from typing import NamedTuple


class ReportAcks(NamedTuple):
    """Ended tasks that a target may forget, for its next answered report.

    The owner sends it to the entry that forwarded a report. ``acked`` holds
    task ids with their epochs.
    """

    target_id: str
    acked: tuple[tuple[str, int], ...]


ENTRY_MESSAGES: tuple[type, ...] = (ReportAcks,)
