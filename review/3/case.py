"""A job that is due once a minute for five years, beside plain jobs.

Checks LOST: ``finish_s`` after the end of the traffic, the accepted jobs are asked for;
each must be known and answered in time.
"""

import asyncio
import sys
import time

from standin_site import BOUNDS, Site, job, new_id, route, run_case, step

PREFIX = "/recount/"
WORKERS = 4
MINUTE_MS = 60_000
EACH_MINUTE_FOR_FIVE_YEARS = 5 * 365 * 24 * 60
FEW = 12
BEFORE_S, AFTER_S, PAUSE_S = 5.0, 15.0, 0.5
FINISH_S = 14.0
ASKED_TIMES = 5
ASK_PAUSE_S = 2.0
WORK = {"workMs": 640}


async def traffic(site: Site, length_s: float, accepted: list[str]) -> None:
    """Hand in a plain job each half second without waiting for the answers."""
    pending = []

    async def hand_in() -> None:
        path = PREFIX + new_id()
        answer = await site.submit(path, job(WORK, step(2, 1_000, 640)))
        if answer.status == 200:
            accepted.append(path)

    end = time.monotonic() + length_s
    while time.monotonic() < end:
        pending.append(asyncio.create_task(hand_in()))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*pending)


async def play(site: Site, disrupted: bool) -> bool:
    """Play the case and return whether the rule held."""
    await site.start([route("r-recount", PREFIX)])
    for number in range(WORKERS):
        await site.add_worker(number)
    await asyncio.sleep(2.5)
    accepted: list[str] = []
    await traffic(site, BEFORE_S, accepted)
    scheduled = PREFIX + new_id()
    repetitions = EACH_MINUTE_FOR_FIVE_YEARS if disrupted else FEW
    first_ms = time.time_ns() // 1_000_000 + MINUTE_MS
    answer = await site.submit(
        scheduled,
        job(
            WORK,
            step(1, 500, 640),
            repetitions=repetitions,
            firstRunMs=first_ms,
            intervalMs=MINUTE_MS,
        ),
    )
    site.record("scheduled", repetitions=repetitions, status=answer.status)
    await traffic(site, AFTER_S, accepted)
    site.record("traffic_ends", accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    return await all_answered(site, accepted[-10:])


async def all_answered(site: Site, paths: list[str]) -> bool:
    """Ask for each job some times and return whether each was answered once."""
    unanswered = set(paths)
    for _ in range(ASKED_TIMES):
        asked = sorted(unanswered)
        states = await asyncio.gather(*(site.state(path) for path in asked))
        for path, state in zip(asked, states, strict=True):
            if state in ("pending", "active", "completed"):
                unanswered.discard(path)
        if not unanswered:
            break
        await asyncio.sleep(ASK_PAUSE_S)
    site.record("asked", jobs=len(paths), unanswered=sorted(unanswered))
    return not unanswered


assert f"finish_s = {FINISH_S:.0f}" in BOUNDS
sys.exit(run_case(sys.path[0], play))
