"""A job that can never be done holds up a sound job of the same size.

Checks LOST: ``finish_s`` after the end of the traffic, the sound job has nothing
running for 3 s, though its task's turn has come, there is capacity for it twice over,
and under half of the service's capacity is in use.
"""

import asyncio
import sys

from standin_site import BOUNDS, CaseError, Site, job, new_id, route, run_case, step

PREFIX = "/plan/"
WORKERS = 6
WORKER_CPU = 16_000
CPU = 2_000
TASKS = 2
WORK_MS = 20_000
OTHER_JOBS = 20
OTHER_PAUSE_S = 0.5
SECOND_TRY_S = 0.5
FINISH_S = 14.0
IDLE_LIMIT_S = 3.0
LOOK_S = 0.1
STATES = ("pending", "active", "completed")


def plan(fails: bool) -> dict[str, object]:
    """Return a job of the usual size; its tasks fail if it can never be done."""
    work = {"workMs": WORK_MS, "fails": fails}
    return job(work, step(TASKS, CPU, WORK_MS))


async def other_traffic(site: Site) -> None:
    """Hand in sound jobs of other sizes."""
    for number in range(OTHER_JOBS):
        size = 500 + 10 * number
        await site.submit(PREFIX + new_id(), job({"workMs": 640}, step(2, size, 640)))
        await asyncio.sleep(OTHER_PAUSE_S)


async def play(site: Site, disrupted: bool) -> bool:
    """Play the case and return whether the rule held."""
    await site.start([route("r-plan", PREFIX, maxAttempts=2)])
    for number in range(WORKERS):
        await site.add_worker(number, cpu=WORKER_CPU)
    await asyncio.sleep(2.5)
    first_id, second_id = new_id(), new_id()
    await site.submit(PREFIX + first_id, plan(fails=disrupted))
    site.record("first_job", job=first_id, can_be_done=not disrupted)
    begun_s = site.now_s()
    await other_traffic(site)
    await asyncio.sleep(begun_s + WORK_MS / 1_000 + SECOND_TRY_S - site.now_s())
    answer = await site.submit(PREFIX + second_id, plan(fails=False))
    if answer.status != 200:
        raise CaseError("the second job was not accepted")
    site.record("traffic_ends", second_job=second_id)
    await asyncio.sleep(FINISH_S)
    return await begins(site, second_id)


async def begins(site: Site, job_id: str) -> bool:
    """Return whether a job has ended, or has something running within 3 s."""
    capacity = WORKERS * WORKER_CPU
    since_s = site.now_s()
    while site.now_s() < since_s + IDLE_LIMIT_S:
        state = await site.state(PREFIX + job_id)
        used = site.used_cpu(lambda _task: CPU)
        runs = site.runs_of(job_id)
        site.record("look", state=state, runs=runs, used_cpu=used, cpu=capacity)
        idle = state in ("pending", "active") and not runs
        if not idle or used * 2 >= capacity:
            return True
        await asyncio.sleep(LOOK_S)
    return False


assert f"finish_s = {FINISH_S:.0f}" in BOUNDS
sys.exit(run_case(sys.path[0], play))
