"""Limits and constants of the scheduler."""

from typing import NamedTuple


class SchedulerSettings(NamedTuple):
    """Named limits; times are milliseconds, shares are percent.

    ``seed`` makes every random choice of a scheduler repeatable.
    """

    seed: int = 1
    placements_per_call: int = 64
    searches_per_call: int = 256
    nodes_per_search: int = 512
    candidates: int = 8
    starting_per_target: int = 4
    command_timeout_ms: int = 3_000
    refusal_delay_ms: int = 200
