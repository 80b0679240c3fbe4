"""Two jobs that can never be done keep every worker from all other jobs."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_3 import (  # noqa: E402
    BROKEN,
    FINISH_MS,
    HELD,
    Site,
    now_ms,
    run_case,
    trouble,
)

WORKERS = 4
# Two of 40 jobs can never be done: a share of 0.05.
BEFORE = 30
AFTER = 8
HOPELESS = 2
TASKS = 6
WATCH_S = 45
IDLE_MS = 3_000


def play(site: Site) -> int:
    """Hand in short jobs, two lasting ones, and short ones again."""
    for number in range(BEFORE):
        submit_short(site, number)
    time.sleep(3.0)
    lasting = {"startup_ms": 1_000, "cpu": 100}
    if trouble():
        lasting["fail_ms"] = 200
    step = {"count": TASKS, "cpu": 100, "memMb": 64, "estimatedMs": 400}
    step |= {"longRunning": True}
    for number in range(HOPELESS):
        site.submit(f"{0xA000 + number:016x}", lasting, [step])
    time.sleep(5.0)
    jobs = [submit_short(site, BEFORE + number) for number in range(AFTER)]
    traffic_ended_ms = now_ms()
    while now_ms() < traffic_ended_ms + WATCH_S * 1_000:
        states = [site.state(job) for job in jobs]
        if all(state == "completed" for state in states):
            break
        time.sleep(1.0)
    return judge(site, jobs, traffic_ended_ms)


def submit_short(site: Site, number: int) -> str:
    """Hand in a job of one short task; return its id."""
    job = f"{0xB000 + number:016x}"
    step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 500}
    site.submit(job, {"work_ms": 500, "cpu": 1_000}, [step])
    return job


def judge(site: Site, jobs: list[str], traffic_ended_ms: int) -> int:
    """Look for short jobs that had nothing running for 3 s after ``finish_s``."""
    ended_ms = now_ms()
    rows = site.worker_events()
    begun = {row["task"][:16]: row["at"] for row in rows if row["event"] == "start"}
    longest_ms = 0
    for job in jobs:
        start_ms = begun.get(job, ended_ms)
        site.write("job", id=job, first_start_after_ms=start_ms - traffic_ended_ms)
        longest_ms = max(longest_ms, start_ms - traffic_ended_ms - FINISH_MS)
    hopeless = sum(row["event"] == "end" and row["how"] == "failed" for row in rows)
    site.write("judged", longest_wait_after_finish_ms=longest_ms, failed=hopeless)
    return BROKEN if longest_ms >= IDLE_MS else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER, workers=WORKERS))
