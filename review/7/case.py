"""TWICE: the task of a worker that leaves is started again while it still runs."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from site_2 import CannotRunError, Site, configuration, job, route, run_case

WORKERS = 16
# One of 16 workers leaves and is cut off: the pages name 6.5 and 17 of 100.
LEAVING = 0
SETTLE_S = 4.0
# After the acknowledgement of ``draining``: ``drainTimeoutMs`` and a little longer.
SERVE_DRAINING_S = 3.0
END_ANYWAY_S = 3.0
CUT_BEFORE_LEAVING_S = 0.6
TASK_MS = 20_000
# The cut ends with the case, within the 6 s that the site file names.
OBSERVE_S = 5.0
JOB = "00000000000f0001"


def play(site: Site, trouble: bool) -> str:
    """Let a worker leave, and cut it off one way just before it says so."""
    site.start(configuration(route("checks")))
    name, proxy = site.start_proxied_worker(
        LEAVING, serve_draining_s=SERVE_DRAINING_S, end_anyway_s=END_ANYWAY_S
    )
    time.sleep(SETTLE_S)
    if not site.submit("checks", JOB, job({"ms": TASK_MS}, estimatedMs=TASK_MS)):
        raise CannotRunError("the job was not accepted")
    site.wait_for(lambda: bool(rows(site, "start")), "the start of the task")
    for number in range(LEAVING + 1, WORKERS):
        site.start_worker(number)
    time.sleep(SETTLE_S)
    site.signal(name, signal.SIGUSR1)
    site.wait_for(lambda: bool(rows(site, "draining_acknowledged")), "the draining")
    time.sleep(SERVE_DRAINING_S - CUT_BEFORE_LEAVING_S)
    if trouble:
        site.signal(proxy, signal.SIGUSR1)
    time.sleep(OBSERVE_S)
    return overlap(site, name)


def rows(site: Site, event: str) -> list[dict]:
    """Return the events of a kind."""
    return [row for row in site.events() if row["event"] == event]


def overlap(site: Site, leaving: str) -> str:
    """Return for how long two runs of the task were at work, if they were."""
    ends = [r["at"] for r in rows(site, "end") if r["worker"] == leaving]
    ends += [r["at"] for r in rows(site, "left")]
    if not ends:
        raise CannotRunError("the worker has not left")
    later = [r for r in rows(site, "start") if r["worker"] != leaving]
    early = [r for r in later if r["at"] < min(ends)]
    if not early:
        return ""
    return (
        f"run {early[0]['run']} began on {early[0]['worker']} "
        f"{min(ends) - early[0]['at']} ms before run 1 ended on {leaving}, which was up"
    )


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
