"""Example configuration of a co-operative: a pipe register on 34 workers.

Prints the INI text: ``python cooperative.py > cooperative.ini``.
"""

from foxspring_config import print_configuration, service, team, weights
from foxspring_model import Configuration

REGISTER_WORKERS = 34


def cooperative() -> Configuration:
    """Return the register service and its batch team; tail latency weighs most."""
    return Configuration(
        services=(
            service(
                "pipe-register",
                team="register",
                replicas=REGISTER_WORKERS,
                cores_milli=16_000,
                memory_mb=64_000,
                timeout_ms=5_000,
                objective_ms=50,
            ),
        ),
        teams=(
            team("register", max_tasks=REGISTER_WORKERS, weight=3),
            team("voicing", max_tasks=400, max_cores_milli=1_200_000),
        ),
        weights=weights(tail_latency=70, throughput=15, evictions=15),
    )


if __name__ == "__main__":
    print(print_configuration(cooperative()), end="")
