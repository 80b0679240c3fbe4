"""Estimates the memory that an accepted job takes in each member."""

from foxspring_jobs._specs import JobSpec, StepSpec

# Without steps. A queue and its names are kept for each job.
JOB_BYTES = 3_000
# Of a step's specification, and of its state in each occurrence.
STEP_BYTES = 450
# A step's reference to an earlier one.
REFERENCE_BYTES = 40
# A task that has not begun is a place in a list.
WAITING_TASK_BYTES = 8
# With its run, which a target's state and session list as well.
STARTED_TASK_BYTES = 1_200


def spec_bytes(spec: JobSpec) -> int:
    """Return about how many bytes a job takes without its tasks."""
    steps = sum(_step_bytes(step) for step in spec.steps)
    return JOB_BYTES + len(spec.payload.encode()) + steps


def _step_bytes(step: StepSpec) -> int:
    names = step.required_label, step.data_rack, step.image
    references = REFERENCE_BYTES * len(step.after)
    return STEP_BYTES + sum(len(name.encode()) for name in names) + references


def occurrence_bytes(spec: JobSpec) -> int:
    """Return about how many bytes the tasks of an occurrence take until they begin."""
    steps = STEP_BYTES * len(spec.steps)
    return steps + WAITING_TASK_BYTES * spec.tasks_per_occurrence()


def job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes a job takes while one occurrence waits."""
    return spec_bytes(spec) + occurrence_bytes(spec)
