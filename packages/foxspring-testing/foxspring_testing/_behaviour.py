"""How a stand-in target misbehaves, set by tests while it runs."""

from typing import NamedTuple


class Behaviour(NamedTuple):
    """A stand-in's present behaviour; the default is a healthy target.

    Attributes:
        slow_ms: added to the time of every request.
        fail_tasks: every batch task fails shortly after its start.
        hang: requests and task starts are accepted and not answered.
        lie_memory: factor from declared to used memory.
        cut_answer_after: bytes of an answer's body that are sent before the
            connection is closed; negative sends all.
        answer_twice: every answer is written a second time on its connection.
        report_lag_ms: age of the usage figures in a report.
        leaving: announcements say that the target leaves.
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
