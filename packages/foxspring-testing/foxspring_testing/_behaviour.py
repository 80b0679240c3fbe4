"""Faults of a stand-in target that tests switch on while it runs."""

from typing import NamedTuple


class Behaviour(NamedTuple):
    """A stand-in target's current behaviour; the default is a healthy target.

    Attributes:
        slow_ms: milliseconds added to the running time of every request.
        fail_tasks: every batch task fails shortly after its start.
        hang: requests and task starts are accepted but not answered.
        lie_memory: factor applied to declared memory to get reported memory.
        cut_answer_after: number of bytes of an answer's body sent before the
            connection is closed; negative sends the whole body.
        answer_twice: every answer is written twice on its connection.
        report_lag_ms: age of the usage figures in a report, in milliseconds.
        leaving: announcements state that the target is leaving.
        silent: neither announcements nor reports are sent.
    """

    slow_ms: int = 0
    fail_tasks: bool = False
    hang: bool = False
    lie_memory: float = 1.0
    cut_answer_after: int = -1
    answer_twice: bool = False
    report_lag_ms: int = 0
    leaving: bool = False
    silent: bool = False
