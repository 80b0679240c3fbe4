"""Keeps a decision well below what the log takes at once, whatever targets report.

Load pattern: many targets list ends with checkpoints at once, after an outage or to a
new leader. The rest follows in the next decisions.
"""

from collections.abc import Sequence

from foxspring_jobs._leader_context import PendingEnd

# Up to 4 bytes a character are far below the 16 MiB that the log takes.
MAX_ENDS_LENGTH = 1_000_000
# Of an end without its checkpoint.
END_LENGTH = 200


def count_of_next_ends(pending: Sequence[PendingEnd]) -> int:
    """Return how many of the pending ends fit into one decision, the first ones.

    The result is at least 1 if there is one.
    """
    length = 0
    for number, row in enumerate(pending):
        length += END_LENGTH + len(row.end.checkpoint)
        if number and length > MAX_ENDS_LENGTH:
            return number
    return len(pending)


def is_too_large(checkpoint: str) -> bool:
    """Return whether a checkpoint can't be kept."""
    return len(checkpoint) > MAX_ENDS_LENGTH
