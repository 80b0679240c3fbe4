"""Operator workload: racing configuration changes, jobs and cancellations."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from foxspring_config import print_configuration, service, team
from foxspring_model import Configuration, JobSpec, Resources, Weights

from foxspring_testing._change_checks import ObservedRevision, SubmittedChange
from foxspring_testing._clients import OperatorClient, SiteAnswer
from foxspring_testing._site import Site
from foxspring_testing._site_settings import OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN

SERVICE = "pipe-register"
TEAMS = ("workshops", "surveyors")
_CHANGE_INTERVAL_S = 1.0
_JOB_INTERVAL_S = 0.7
_RESENDS = 3
_CANCEL_SHARE = 0.15
_OVERSIZED_SHARE = 0.05
_FAIL_SHARE = 0.1
_MAX_TASKS = 3
_MAX_WORK_MS = 4_000
_FULL_PERCENT = 100
_TASK_MEMORY_MB = 2_000
_OVERSIZED_MEMORY_MB = 90_000_000


class SubmittedJob(NamedTuple):
    """A submitted job; ``job_id`` is empty if the job was not accepted.

    ``result`` is the result the job was given to return; ``cancelled`` tells
    whether a cancellation was requested.
    """

    change_id: str
    job_id: str
    result: str
    cancelled: bool


def soak_configuration(tail_latency: int = 50, replicas: int = 4) -> str:
    """Return a configuration; different weights make racing changes differ."""
    rest = _FULL_PERCENT - tail_latency
    return print_configuration(
        Configuration(
            services=(
                service(
                    SERVICE, TEAMS[0], replicas, cores_milli=2_000, memory_mb=1_000
                ),
            ),
            teams=tuple(team(name, max_tasks=30) for name in TEAMS),
            weights=Weights(tail_latency, rest // 2, rest - rest // 2),
        )
    )


class OperatorTraffic:
    """Two operators with racing changes, and a submitter that cancels some jobs."""

    def __init__(self, site: Site, seed: int) -> None:
        self.changes: list[SubmittedChange] = []
        self.observed_revisions: list[ObservedRevision] = []
        self.jobs: list[SubmittedJob] = []
        self._site = site
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self._send_racing_changes, self._submit_jobs)
        ]

    def start(self) -> None:
        """Start both threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_racing_changes(self) -> None:
        rng = random.Random(f"{self._seed}/changes")
        clients = [
            self._site.operator(token)
            for token in (OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN)
        ]
        number = 0
        with ThreadPoolExecutor(len(clients)) as pool:
            while not self._stopping.wait(_CHANGE_INTERVAL_S):
                number += 1
                base = self._read_base_revision(clients[0])
                if base < 0:
                    continue
                weight = rng.randrange(_FULL_PERCENT)
                changes = [
                    pool.submit(
                        self._apply,
                        client,
                        f"change-{self._seed}-{number}-{index}",
                        base,
                        soak_configuration((weight + index) % _FULL_PERCENT),
                    )
                    for index, client in enumerate(clients)
                ]
                self.changes += [change.result() for change in changes]

    def _read_base_revision(self, client: OperatorClient) -> int:
        answer = client.send("GET", "/v1/configuration", rounds=1)
        if answer.status != 200:
            return -1
        revision = int(answer.body["revision"])
        now_ms = self._site.clock.monotonic_ms()
        self.observed_revisions.append(ObservedRevision("control", now_ms, revision))
        return revision

    def _apply(
        self, client: OperatorClient, change_id: str, base: int, text: str
    ) -> SubmittedChange:
        body: Any = {}
        for _ in range(_RESENDS):
            body = client.apply(text, base, change_id).body
            if isinstance(body, dict) and body.get("status"):
                return SubmittedChange(
                    change_id, base, body["status"], body.get("revision", 0)
                )
        return SubmittedChange(change_id, base, "", 0)

    def _submit_jobs(self) -> None:
        rng = random.Random(f"{self._seed}/jobs")
        client = self._site.operator()
        number = 0
        while not self._stopping.wait(_JOB_INTERVAL_S):
            number += 1
            change_id = f"job-{self._seed}-{number}"
            spec = _random_job(rng, change_id)
            job_id = _job_id(client.submit(spec, change_id))
            if not job_id:
                job_id = _job_id(client.submit(spec, change_id))
            cancelled = rng.random() < _CANCEL_SHARE
            self.jobs.append(
                SubmittedJob(change_id, job_id, f"r-{change_id}", cancelled)
            )
            if job_id and cancelled:
                client.cancel([job_id], f"cancel-{change_id}")


def _job_id(answer: SiteAnswer) -> str:
    return str(answer.body.get("job_id", "")) if isinstance(answer.body, dict) else ""


def _random_job(rng: random.Random, change_id: str) -> JobSpec:
    fails = str(rng.random() < _FAIL_SHARE).lower()
    oversized = rng.random() < _OVERSIZED_SHARE
    payload = (
        f'{{"work_ms": {rng.randrange(100, _MAX_WORK_MS)}, '
        f'"checkpoint_every_ms": 100, "fail": {fails}, "result": "r-{change_id}"}}'
    )
    memory_mb = _OVERSIZED_MEMORY_MB if oversized else _TASK_MEMORY_MB
    return JobSpec(
        change_id,
        rng.choice(TEAMS),
        rng.randrange(1, _MAX_TASKS + 1),
        Resources(slots=1, cores_milli=2_000, memory_mb=memory_mb),
        work_class="fill-and-pack",
        payload=payload,
    )
