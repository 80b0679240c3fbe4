"""Measures a daemon's memory, processor time and link traffic."""

import os
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import urllib3

from foxspring_testing._site import Site
from foxspring_testing._site_settings import OPERATOR_TOKEN

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PERCENT = 100.0
_KB = 1_024.0
_TIMEOUT_S = 10.0


class Usage(NamedTuple):
    """Resource use of one daemon over one measurement period.

    ``memory_kb`` is the resident memory at the end, ``core_percent`` is in
    percent of one core, and ``link_kb_s`` is the link traffic sent and received
    together.
    """

    memory_kb: float
    core_percent: float
    link_kb_s: float


class _Reading(NamedTuple):
    at_s: float
    cpu_s: float
    link_bytes: float


def measure_usage(site: Site, names: Sequence[str], seconds: float) -> dict[str, Usage]:
    """Measure each named daemon over the next ``seconds``."""
    before = {name: _read(site, name) for name in names}
    time.sleep(seconds)
    after = {name: _read(site, name) for name in names}
    return {
        name: _usage(site.processes[name].pid, before[name], after[name])
        for name in names
    }


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of ``(size, figure)`` points.

    Raises:
        ValueError: there are fewer than two distinct sizes.
    """
    sizes = {size for size, _ in points}
    if len(sizes) < 2:
        raise ValueError("a slope needs at least two distinct sizes")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def leader_of(site: Site) -> str:
    """Return the name of the control member that is the leader."""
    members = site.operator().get("/v1/members")["members"]
    return str(next(row["member_id"] for row in members if row["leader"]))


def _usage(pid: int, before: _Reading, after: _Reading) -> Usage:
    seconds = after.at_s - before.at_s
    return Usage(
        _resident_kb(pid),
        (after.cpu_s - before.cpu_s) / seconds * _PERCENT,
        (after.link_bytes - before.link_bytes) / seconds / _KB,
    )


def _read(site: Site, name: str) -> _Reading:
    pid = site.processes[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return _Reading(time.monotonic(), cpu_s, _link_bytes(site, name))


def _resident_kb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1])
    raise ValueError(f"process {pid} has no resident memory; it has ended")


def _link_bytes(site: Site, name: str) -> float:
    entry = name if name.startswith("entry") else site.names("entry")[0]
    path = "/metrics" if entry == name else f"/metrics/{name}"
    answer = urllib3.request(
        "GET",
        f"http://{site.daemons[entry].http}{path}",
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        timeout=_TIMEOUT_S,
    )
    lines = answer.data.decode().splitlines()
    return sum(
        _read_metric(lines, metric) for metric in ("bytes_sent", "bytes_received")
    )


def _read_metric(lines: Sequence[str], metric: str) -> float:
    for line in lines:
        if not line.startswith("#") and f"link_{metric}_total" in line:
            return float(line.rpartition(" ")[2])
    raise ValueError(f"metric link_{metric}_total is missing")
