"""Specifications from callers and operators: jobs, steps, queues and services."""

from typing import NamedTuple

from foxspring_model import Resources

JOB_ID_LENGTH = 16
MAX_TASKS_PER_OCCURRENCE = 20_000
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class StepSpec(NamedTuple):
    """One step of a job with ``task_count`` equal tasks; times are in milliseconds.

    ``after`` lists earlier steps that must be done first. The tasks of a ``gang`` start
    together and end together. ``speculative`` allows parallel runs of one task. A
    ``long_running`` task runs until its job is cancelled. A ``best_effort`` task uses
    CPU time that others leave, and its cores are not reserved. ``max_per_target`` and
    ``miss_tolerance`` are 0 for no limit.
    """

    task_count: int
    resources: Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_target: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ""
    latency_target_ms: int = 0
    best_effort: bool = False
    miss_tolerance: int = 0

    def reserved(self) -> Resources:
        """Return the capacity that one task reserves on its target."""
        if self.best_effort:
            return self.resources._replace(cores_milli=0)
        return self.resources


class JobSpec(NamedTuple):
    """A job; with ``repetitions`` its steps run that many times.

    Occurrence K is due at ``first_due_ms`` + K * ``interval_ms`` of Unix time.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def is_timed(self) -> bool:
        """Return whether the job runs at set times."""
        return self.repetitions > 0

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repetitions)

    def tasks_per_occurrence(self) -> int:
        """Return how many tasks the steps have together."""
        return sum(step.task_count for step in self.steps)

    def critical_path_ms(self) -> int:
        """Return the estimated duration of the longest chain of steps."""
        lengths: list[int] = []
        for step in self.steps:
            before = max((lengths[n] for n in step.after), default=0)
            lengths.append(before + step.estimated_ms)
        return max(lengths)

    def total_work(self) -> int:
        """Return the estimated millicore-milliseconds of one occurrence."""
        return sum(
            step.task_count * step.resources.cores_milli * step.estimated_ms
            for step in self.steps
        )

    def is_long_running(self) -> bool:
        """Return whether the job ends only when it is cancelled."""
        return any(step.long_running for step in self.steps)


class Queue(NamedTuple):
    """A queue that jobs are submitted to; times are in milliseconds."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    latency_target_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    advice_delay_ms: int = -1
    advice_per_target_ms: int = 0
    advice_validity_ms: int = 0

    def needs_advice(self) -> bool:
        """Return whether a placement service must allow each target."""
        return self.advice_delay_ms >= 0


class ServicePool(NamedTuple):
    """A pool of targets; with ``enforces_capacity`` they reject what does not fit."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class QueueTable(NamedTuple):
    """The operators' configuration; the highest ``version`` is in force.

    ``document`` is the operator's own text, returned on a read.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[ServicePool, ...] = ()
    document: bytes = b""

    def find(self, name: str) -> Queue | None:
        """Return the queue with that name, or None."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` with the longest prefix of ``path``."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(found.path_prefix):
                found = queue
        return found


def table_problem(table: QueueTable) -> str:
    """Return why a configuration is invalid, or an empty string."""
    pools = {pool.name for pool in table.pools}
    if len(pools) != len(table.pools):
        return "two services share a name"
    route_keys = set()
    for queue in table.queues:
        route_key = (queue.host, queue.path_prefix)
        if route_key in route_keys:
            return f"two queues share {queue.host}{queue.path_prefix}"
        route_keys.add(route_key)
        if queue.service not in pools:
            return f"queue {queue.name} names unknown service {queue.service}"
        if queue.timeout_ms <= 0:
            return f"queue {queue.name} has no timeout"
        if not queue.path_prefix.startswith("/"):
            return f"queue {queue.name} has a prefix that does not begin with /"
        if queue.max_attempts < 1:
            return f"queue {queue.name} allows no attempt"
    return ""


def job_problem(job: JobSpec) -> str:
    """Return why a job is invalid, or an empty string."""
    if not job.steps:
        return "the job has no step"
    if job.repetitions < 0 or job.interval_ms < 0:
        return "repetitions and interval must not be negative"
    for number, step in enumerate(job.steps):
        problem = _step_problem(number, step)
        if problem:
            return f"step {number}: {problem}"
    if job.tasks_per_occurrence() > MAX_TASKS_PER_OCCURRENCE:
        return f"more than {MAX_TASKS_PER_OCCURRENCE} tasks"
    return ""


def _step_problem(number: int, step: StepSpec) -> str:
    if step.task_count < 1:
        return "count must be at least 1"
    if step.resources.is_negative():
        return "a size is negative"
    if step.resources.memory_mb == 0 and step.resources.cores_milli == 0:
        return "no size is given"
    if any(not 0 <= earlier < number for earlier in step.after):
        return "after must name earlier steps"
    if min(step.estimated_ms, step.max_per_target, step.miss_tolerance) < 0:
        return "a bound or estimate is negative"
    return ""


def is_job_id(text: str) -> bool:
    """Return whether ``text`` is an id of 16 hexadecimal digits."""
    return len(text) == JOB_ID_LENGTH and all(c in _HEX_DIGITS for c in text)
