"""Urgent jobs wait for one full worker that their queue's policy allows.

Checks LOST: ``finish_s`` after the end of the traffic, a job of another queue, which
other workers may run, has nothing running for 3 s, though its task's turn has come,
there is capacity for it twice over, and under half of the service's capacity is in use.
"""

import asyncio
import sys

from standins.advice import Advice, AdviceTimes
from standins.site import BOUNDS, CaseError, Site, job, new_id, route, run_case, step

URGENT, PLAN, LONG = "/recount/", "/plan/", "/voicing/"
LABEL = "b"
WORKERS = 12
WORKER_CPU = 16_000
FULL = 0
URGENT_JOBS = 12
URGENT_PAUSE_S = 0.25
CPU = 1_000
WORK_MS = 640
LONG_MS = 90_000
FINISH_S = 14.0
IDLE_LIMIT_S = 3.0
LOOK_S = 0.1
# The validity is that of the example of the call.
TIMES = AdviceTimes(decision_delay_ms=30, per_worker_ms=2, validity_ms=3_000)


class Policies:
    """What the policies of the queues allow: urgent jobs only on the full worker."""

    def __init__(self) -> None:
        self.urgent: set[str] = set()
        self.advised: set[str] = set()
        self.full_worker = ""

    def allows(self, task_step: str, worker_id: str) -> bool:
        """Return whether a step may run on a worker."""
        is_urgent = task_step.partition(".")[0] in self.urgent
        return (worker_id == self.full_worker) == is_urgent


async def play(site: Site, disrupted: bool) -> bool:
    """Play the case and return whether the rule held."""
    policies = Policies()
    advice = Advice(site.advice_address(), TIMES, policies.allows, site.record)
    await advice.start()

    def check_ticket(ticket: str, task_step: str, worker_id: str) -> bool:
        needed = task_step.partition(".")[0] in policies.advised
        return not needed or advice.is_valid(ticket, task_step, worker_id)

    site.check_ticket = check_ticket
    advised = {"placementAdvice": TIMES.fields()}
    await site.start(
        [
            route("r-recount", URGENT, priority=0, **advised),
            route("r-plan", PLAN, priority=2, **advised),
            route("r-voicing", LONG, priority=2),
        ]
    )
    for number in range(WORKERS):
        label = LABEL if number == FULL else "a"
        await site.add_worker(number, (label, f"r1-{number}"), cpu=WORKER_CPU)
    policies.full_worker = site.workers[FULL].worker_id
    await asyncio.sleep(2.5)
    await fill_worker(site)
    if disrupted:
        for _ in range(URGENT_JOBS):
            job_id = new_id()
            policies.urgent.add(job_id)
            policies.advised.add(job_id)
            await hand_in(site, URGENT + job_id)
            await asyncio.sleep(URGENT_PAUSE_S)
    job_id = new_id()
    policies.advised.add(job_id)
    await hand_in(site, PLAN + job_id)
    site.record("traffic_ends", job=job_id)
    await asyncio.sleep(FINISH_S)
    held = await begins(site, job_id)
    site.record("advice_calls", job=job_id, calls=advice.asked)
    advice.server.close()
    return held


async def fill_worker(site: Site) -> None:
    """Fill one worker with a task that is longer than the case."""
    job_id = new_id()
    long_step = step(1, WORKER_CPU, LONG_MS, requirements=LABEL)
    await site.submit(LONG + job_id, job({"workMs": LONG_MS}, long_step))
    await asyncio.sleep(2.0)
    if not site.runs_of(job_id):
        raise CaseError("the worker is not full")


async def hand_in(site: Site, path: str) -> None:
    """Hand in a job of one step."""
    answer = await site.submit(path, job({"workMs": WORK_MS}, step(2, CPU, WORK_MS)))
    if answer.status != 200:
        raise CaseError("a job was not accepted")


async def begins(site: Site, job_id: str) -> bool:
    """Return whether a job has ended, or has something running within 3 s."""
    capacity = WORKERS * WORKER_CPU
    since_s = site.now_s()
    while site.now_s() < since_s + IDLE_LIMIT_S:
        state = await site.state(PLAN + job_id)
        runs = site.runs_of(job_id)
        used = site.used_cpu(lambda _task: WORKER_CPU)
        site.record("look", state=state, runs=runs, used_cpu=used, cpu=capacity)
        idle = state in ("pending", "active") and not runs
        if not idle or used * 2 >= capacity:
            return True
        await asyncio.sleep(LOOK_S)
    return False


assert f"finish_s = {FINISH_S:.0f}" in BOUNDS
sys.exit(run_case(sys.path[0], play))
