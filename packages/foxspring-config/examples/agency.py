"""Example configuration of an agency: flow certification on 24 workers.

Prints the INI text: ``python agency.py > agency.ini``.
"""

from foxspring_config import print_configuration, service, team, weights
from foxspring_model import Configuration

CERTIFICATION_WORKERS = 24


def agency() -> Configuration:
    """Return one service and its batch teams; throughput and evictions weigh most."""
    return Configuration(
        services=(
            service(
                "flow-certification",
                team="certification",
                replicas=CERTIFICATION_WORKERS,
                cores_milli=8_000,
                memory_mb=24_000,
                timeout_ms=10_000,
                objective_ms=100,
            ),
        ),
        teams=(
            team("certification", max_tasks=CERTIFICATION_WORKERS, weight=3),
            team("gate-checks", max_tasks=200, weight=4),
            team("fill-studies", max_tasks=120, max_cores_milli=480_000, weight=2),
            team("cooling-watches", max_tasks=60, max_cores_milli=60_000),
        ),
        weights=weights(tail_latency=20, throughput=40, evictions=40),
    )


if __name__ == "__main__":
    print(print_configuration(agency()), end="")
