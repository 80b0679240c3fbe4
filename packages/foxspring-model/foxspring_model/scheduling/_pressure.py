"""Steps to take under pressure on a target, with hysteresis."""

from enum import Enum
from typing import NamedTuple

from foxspring_model._configuration import Weights
from foxspring_model.scheduling._settings import SchedulerSettings

_PERCENT = 100.0
_DEFAULT_TAIL_WEIGHT = 50
_DEFAULT_EVICTION_WEIGHT = 25


class Step(Enum):
    """The action to take for one target's pressure."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"
    RELAX = "relax"


class PressureState(NamedTuple):
    """Consecutive samples above and below the limits, and throttle steps taken."""

    high: int = 0
    low: int = 0
    steps: int = 0


class PressureLimits(NamedTuple):
    """Pressures and numbers of consecutive samples at which steps are taken."""

    high: float
    low: float
    to_act: int
    to_relax: int
    throttle_steps: int


def limits_for(settings: SchedulerSettings, weights: Weights) -> PressureLimits:
    """Return the limits; a lower weight of tail latency raises them."""
    slack = (_DEFAULT_TAIL_WEIGHT - weights.tail_latency) / _PERCENT
    factor = 1.0 + max(-0.25, min(0.5, slack))
    return PressureLimits(
        settings.pressure_high_percent / _PERCENT * factor,
        settings.pressure_low_percent / _PERCENT * factor,
        settings.samples_to_act,
        settings.samples_to_relax,
        len(settings.throttle_steps),
    )


def eviction_budget_per_minute(
    settings: SchedulerSettings, weights: Weights, targets: int
) -> float:
    """Return the eviction budget per minute, lower if evictions weigh more."""
    factor = _DEFAULT_EVICTION_WEIGHT / max(1, weights.evictions)
    allowed = settings.evictions_per_minute * factor * targets / _PERCENT
    return max(1.0, allowed)


def advance(
    state: PressureState, pressure: float, limits: PressureLimits
) -> tuple[PressureState, Step]:
    """Return the next state and the step to take after one more sample."""
    if pressure > limits.high:
        return _after_high(state, limits)
    if pressure < limits.low and state.steps:
        return _after_low(state, limits)
    return state._replace(high=0, low=0), Step.NONE


def _after_high(
    state: PressureState, limits: PressureLimits
) -> tuple[PressureState, Step]:
    high = state.high + 1
    if high < limits.to_act:
        return state._replace(high=high, low=0), Step.NONE
    if state.steps < limits.throttle_steps:
        return PressureState(steps=state.steps + 1), Step.THROTTLE
    return PressureState(steps=state.steps), Step.EVICT


def _after_low(
    state: PressureState, limits: PressureLimits
) -> tuple[PressureState, Step]:
    low = state.low + 1
    if low < limits.to_relax:
        return state._replace(high=0, low=low), Step.NONE
    return PressureState(steps=state.steps - 1), Step.RELAX
