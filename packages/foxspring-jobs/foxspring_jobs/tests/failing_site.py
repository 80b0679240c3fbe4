"""A fake cluster with jobs that fail everywhere, and targets that fail every run."""

from foxspring_model import Resources

from foxspring_jobs._commands import TaskKey
from foxspring_jobs._specs import JobSpec, StepSpec
from foxspring_jobs._state import JobPhase
from foxspring_jobs.tests.builders import registered, spec, step
from foxspring_jobs.tests.fake_cluster import FakeCluster
from foxspring_jobs.tests.fake_target import FakeTarget

FAIL_MS = 200
SHORT_MS = 500
LONG_MS = 1_000_000_000
TARGET_CORES = 4_000
SMALL = Resources(cores_milli=100, memory_mb=10)
# The users' rules: a job with a task to start must not be without a run for longer
# while there is room, and a task that lasts not from 6 s after its last run on.
IDLE_LIMIT_MS = 3_000
RESTART_LIMIT_MS = 9_000
FIRST_NUMBERED_JOB = 0xA000
FIRST_SHORT_JOB = 0xB000


def lasting_step(count: int = 6, resources: Resources = SMALL) -> StepSpec:
    """Return a step of small tasks that last."""
    return step(count, long_running=True, resources=resources, estimated_ms=400)


class FailingSite:
    """A cluster of equal targets that has its first registrations behind it.

    ``failing``, ``standing_still`` and ``bounded`` are those of all its targets.
    """

    def __init__(self, targets: int = 4) -> None:
        names = [f"t{number:03}" for number in range(targets)]
        self.cluster = FakeCluster(*(registered(n, cores=TARGET_CORES) for n in names))
        self.failing: dict[str | TaskKey, int] = {}
        self.standing_still: set[str] = set()
        self.bounded: set[str] = set()
        self.numbered_jobs: list[str] = []
        self.short_jobs: list[str] = []
        for target in self.targets():
            target.work_ms = SHORT_MS
            target.fails_after_ms = FAIL_MS
            target.failing = self.failing
            target.standing_still = self.standing_still
            target.bounded = self.bounded
        self.cluster.run(1_500)

    def targets(self) -> list[FakeTarget]:
        """Return all targets."""
        return list(self.cluster.targets.values())

    def fault(self, count: int = 1) -> list[FakeTarget]:
        """Let the first targets fail every run soon after its start."""
        faulty = self.targets()[:count]
        for target in faulty:
            target.fails = True
        return faulty

    def submit_lasting(self, count: int = 6, resources: Resources = SMALL) -> str:
        """Submit a job whose tasks last, and return its id."""
        job_id = self._submit_numbered(spec(lasting_step(count, resources)))
        for target in self.targets():
            target.work_ms_by_job[job_id] = LONG_MS
        return job_id

    def submit_failing(self, job: JobSpec, fail_ms: int = FAIL_MS) -> str:
        """Submit a job of which each run fails, and return its id."""
        job_id = self._submit_numbered(job)
        self.failing[job_id] = fail_ms
        return job_id

    def mend(self, job_id: str) -> None:
        """Let the next runs of a job that fails, or of which a task does, last."""
        for key in list(self.failing):
            if job_id in (key, getattr(key, "job_id", "")):
                del self.failing[key]
        for target in self.targets():
            target.work_ms_by_job[job_id] = LONG_MS

    def submit_with_a_failing_task(self, count: int = 6) -> str:
        """Submit a lasting job of which one task always fails, and return its id."""
        job_id = self.submit_lasting(count)
        self.failing[TaskKey(job_id, 0, 0, count - 1)] = FAIL_MS
        return job_id

    def _submit_numbered(self, job: JobSpec) -> str:
        job_id = f"{FIRST_NUMBERED_JOB + len(self.numbered_jobs):016x}"
        self.numbered_jobs.append(job_id)
        self.cluster.submit(job, job_id)
        return job_id

    def submit_short(self, count: int = 1) -> list[str]:
        """Submit sound jobs of one short task, and return their ids."""
        new = [
            f"{FIRST_SHORT_JOB + len(self.short_jobs) + number:016x}"
            for number in range(count)
        ]
        self.short_jobs += new
        for job_id in new:
            self.cluster.submit(spec(step(1, estimated_ms=SHORT_MS)), job_id)
        return new

    def run_with_short_jobs(self, duration_ms: int, interval_ms: int = 500) -> None:
        """Advance virtual time while short jobs arrive."""
        for _ in range(0, duration_ms, interval_ms):
            self.submit_short()
            self.cluster.run(interval_ms)

    def starts(self, job_id: str) -> list[TaskKey]:
        """Return the task of each start of a job, on all targets."""
        runs = (run for target in self.targets() for run in target.started)
        return [run.task for run in runs if run.task.job_id == job_id]

    def running(self, job_id: str) -> int:
        """Return how many runs of a job there are on live targets."""
        return sum(
            run.task.job_id == job_id
            for target in self.targets()
            for run in target.running
            if target.alive
        )

    def not_done(self, job_ids: list[str]) -> list[str]:
        """Return those jobs that are not completed."""
        phases = {job_id: self.cluster.phase(job_id) for job_id in job_ids}
        return [job for job, phase in phases.items() if phase != JobPhase.COMPLETED]
