"""The configuration that operators apply, as immutable values."""

from typing import NamedTuple

from foxspring_model._resources import NO_RESOURCES, Resources


class Service(NamedTuple):
    """A latency-critical service.

    ``replica`` is the size of one replica and ``per_request`` the resources that
    one request holds on its target. Times are milliseconds.
    """

    name: str
    team: str
    replicas: int = 1
    replica: Resources = NO_RESOURCES
    per_request: Resources = Resources(slots=1, connections=1)
    timeout_ms: int = 10_000
    objective_ms: int = 100
    queue_limit: int = 256


class Team(NamedTuple):
    """A team and the limits on the total of its running tasks.

    ``weight`` is its share when requests or tasks of several teams compete.
    """

    name: str
    max_tasks: int = 1_000
    max_resources: Resources = NO_RESOURCES
    weight: int = 1


class Weights(NamedTuple):
    """How much tail latency, throughput and evictions count, in percent."""

    tail_latency: int = 50
    throughput: int = 25
    evictions: int = 25


class Configuration(NamedTuple):
    """The complete operator-defined configuration at one revision."""

    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    weights: Weights = Weights()
    revision: int = 0
