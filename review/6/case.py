"""LOST: wide jobs make each leader larger than its machine, so that none can lead."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from site_2 import CannotRunError, Site, configuration, job, now_ms, route, run_case

WORKERS = 8
MEMBERS = [f"control-{number}" for number in range(3)]
# ``memoryMb`` of a core machine; the platform kills a process that uses more.
MEMORY_MB = 296
RESTART_DELAY_S = 0.5
CHECK_S = 0.05
# The site's burst: 2.6 times 3.4 jobs a second for 6 s are 53 jobs.
JOBS = 53
BURST_S = 6.0
WIDTH = 20_000
USUAL_WIDTH = 8
FINISH_S = 14.0
ASK_FOR_S = 15.0
SETTLE_S = 4.0


def play(site: Site, trouble: bool) -> str:
    """Hand in a burst of jobs, and ask for all of them after ``finish_s``."""
    site.start(configuration(route("plans"), route("watches", maxAttempts=3)))
    for number in range(WORKERS):
        site.start_worker(number)
    time.sleep(SETTLE_S)
    ended = threading.Event()
    kills: list[str] = []
    platform = threading.Thread(target=limit_memory, args=(site, ended, kills))
    platform.daemon = True
    platform.start()
    accepted = [("watches", f"{1:016x}")]
    if not site.submit(*accepted[0], job({"lasts": True}, longRunning=True)):
        raise CannotRunError("the first job was not accepted")
    width = WIDTH if trouble else USUAL_WIDTH
    body = job({"ms": 2_200}, count=width, cpu=7_000, estimatedMs=2_200)
    for number in range(JOBS):
        job_id = f"{100 + number:016x}"
        if site.submit("plans", job_id, body):
            accepted.append(("plans", job_id))
        time.sleep(BURST_S / JOBS)
    time.sleep(FINISH_S)
    unanswered = ask(site, accepted)
    ended.set()
    platform.join()
    if not unanswered:
        return ""
    return (
        f"{len(unanswered)} of {len(accepted)} accepted jobs got no answer for "
        f"{ASK_FOR_S:.0f} s; control processes were over {MEMORY_MB} MB "
        f"{len(kills)} times"
    )


def limit_memory(site: Site, ended: threading.Event, kills: list[str]) -> None:
    """Kill each control process that uses too much, and start it again."""
    while not ended.wait(CHECK_S):
        for name in MEMBERS:
            used_mb = site.memory_mb(name)
            if used_mb <= MEMORY_MB:
                continue
            site.note("over_memory", process=name, used_mb=used_mb)
            kills.append(name)
            site.kill(name)
            time.sleep(RESTART_DELAY_S)
            site.restart(name)


def ask(site: Site, accepted: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the jobs that no request for them was answered for."""
    unanswered = list(accepted)
    until = now_ms() + ASK_FOR_S * 1_000
    while unanswered and now_ms() < until:
        asked = unanswered[:8]
        failed = [row for row in asked if not site.state(*row).isalpha()]
        unanswered = unanswered[8:] + failed
        if failed:
            time.sleep(0.5)
    return unanswered


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
