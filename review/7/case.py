"""LOST: a task of several minutes is stopped every few seconds, for ever."""

import pathlib
import sys
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from site_2 import CannotRunError, Site, configuration, job, now_ms, route, run_case

WORKERS = 8
KIND = "b"
LONG_JOB = "0000000000100001"
SERVING_JOB = "0000000000100002"
FILL_JOB = "0000000000100003"
LONG_MS = 600_000
USUAL_MS = 7_000
SHORT_JOBS = 40
TARGET_MS = 25
TAIL_MS = 5
SETTLE_S = 4.0
FINISH_S = 14.0
OBSERVE_S = 40.0
IDLE_LIMIT_MS = 3_000


def play(site: Site, trouble: bool) -> str:
    """Hand in short and lasting jobs, and one with a long task; then wait."""
    site.start(configuration(route("checks")))
    site.start_worker(0, kind=KIND)
    for number in range(1, WORKERS):
        site.start_worker(number)
    time.sleep(SETTLE_S)
    for number in range(SHORT_JOBS):
        submit(site, f"{number:016x}", job({"ms": 500}))
    serving = {"lasts": True, "figure": TAIL_MS}
    submit(site, SERVING_JOB, lasting(serving, image="web", targetMs=TARGET_MS))
    submit(site, FILL_JOB, lasting({"lasts": True}, image="fill", fillCount=True))
    time.sleep(SETTLE_S)
    long_ms = LONG_MS if trouble else USUAL_MS
    long_job = job({"ms": long_ms}, estimatedMs=long_ms, requirements=KIND)
    submit(site, LONG_JOB, long_job)
    time.sleep(FINISH_S)
    since = now_ms()
    time.sleep(OBSERVE_S)
    until = now_ms()
    if site.state("checks", LONG_JOB) == "completed":
        return ""
    idle_ms = longest_idle_ms(site, since, until)
    runs = sum(row["event"] == "start" for row in of_long_job(site))
    site.note("observed", idle_ms=idle_ms, runs=runs)
    if idle_ms < IDLE_LIMIT_MS:
        return ""
    return (
        f"nothing of the job ran for {idle_ms} ms, {FINISH_S:.0f} s after the end of "
        f"the traffic or later; its task was started {runs} times"
    )


def lasting(spec: dict, **step: Any) -> dict:
    """Return a job with a task that lasts on the worker of that kind."""
    return job(spec, longRunning=True, requirements=KIND, **step)


def submit(site: Site, job_id: str, body: dict) -> None:
    """Hand in a job."""
    if not site.submit("checks", job_id, body):
        raise CannotRunError("a job was not accepted")


def of_long_job(site: Site) -> list[dict]:
    """Return the events of the long task."""
    return [r for r in site.events() if r.get("task", "").startswith(LONG_JOB)]


def longest_idle_ms(site: Site, since: int, until: int) -> int:
    """Return the longest time between two others without a run of the long task."""
    longest, running, idle_from = 0, 0, since
    for row in of_long_job(site):
        at = min(max(row["at"], since), until)
        if row["event"] == "start":
            if not running:
                longest = max(longest, at - idle_from)
            running += 1
        elif row["event"] == "end":
            running -= 1
            idle_from = at
    return longest if running else max(longest, until - idle_from)


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
