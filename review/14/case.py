"""A filling task stays paced to 0 after the serving task beside it was cancelled."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from site_3 import (  # noqa: E402
    BROKEN,
    FINISH_MS,
    HELD,
    NotRunError,
    Site,
    now_ms,
    run_case,
    trouble,
)

SERVING = "5c0e7a21d94b36f8"
FILLING = "6d1f8b32ea5c4709"
SHORT = "7e2a9c43fb6d581a"
TARGET_MS = 50
# The load of the serving task changes within seconds.
SURGE_MS = 12_000
WORK_MS = 4_000
WATCH_S = 45
IDLE_MS = 3_000


def play(site: Site) -> int:
    """Let the filling task be paced to 0, then cancel the serving job beside it."""
    # One of three jobs is cancelled: a share of 0.33.
    step = {"count": 1, "cpu": 500, "memMb": 256, "estimatedMs": 300}
    site.submit(SHORT, {"work_ms": 300, "cpu": 500}, [step])
    serving = {"startup_ms": 400, "serves": 0.2, "surge": 0.79, "surge_ms": SURGE_MS}
    step = {"count": 1, "cpu": 2_000, "memMb": 256, "estimatedMs": 400}
    step |= {"longRunning": True, "image": "watch", "targetMs": TARGET_MS}
    site.submit(SERVING, serving | {"cpu": 900}, [step])
    time.sleep(1.5)
    filling = {"work_ms": WORK_MS, "cpu": 4_000, "presses": 0.1}
    step = {"count": 1, "cpu": 4_000, "memMb": 256, "estimatedMs": WORK_MS}
    step |= {"image": "plan", "fillCount": True}
    site.submit(FILLING, filling, [step])
    site.wait(lambda: paced_to(site) == 0, "the filling task is paced to 0", 10)
    if trouble():
        status, _ = site.client("DELETE", SERVING)
        site.write("cancelled", status=status)
    traffic_ended_ms = now_ms()
    while now_ms() < traffic_ended_ms + WATCH_S * 1_000:
        if site.state(FILLING) == "completed":
            break
        time.sleep(1.0)
    return judge(site, traffic_ended_ms + FINISH_MS)


def paced_to(site: Site) -> int:
    """Return the share at which the filling task may work, as its worker knows it."""
    rows = [row for row in site.worker_events() if row.get("task", "")[:16] == FILLING]
    shares = [row["share"] for row in rows if row["event"] == "pace"]
    return shares[-1] if shares else 100


def judge(site: Site, from_ms: int) -> int:
    """Look whether the job has had no task at work since then, for 3 s or more."""
    state = site.state(FILLING)
    rows = [row for row in site.worker_events() if row.get("task", "")[:16] == FILLING]
    paces = [row for row in rows if row["event"] == "pace"]
    if not paces:
        raise NotRunError("the filling task was not paced")
    ends = [row["how"] for row in rows if row["event"] == "end"]
    is_at_rest = paces[-1]["share"] == 0 and not ends
    at_rest_ms = now_ms() - max(from_ms, paces[-1]["at"]) if is_at_rest else 0
    site.write("judged", state=state, at_rest_ms=at_rest_ms, ends=ends)
    return BROKEN if at_rest_ms >= IDLE_MS and state != "completed" else HELD


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER, workers=1))
