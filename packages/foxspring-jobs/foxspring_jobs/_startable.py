"""Tells which tasks of a step may start now."""

from foxspring_jobs._crash_counts import Suspicion, is_held_back, suspicion_of
from foxspring_jobs._specs import StepSpec
from foxspring_jobs._task_states import StepState, TaskState

SUSPECT_FAILURES = 2
MAX_ISOLATED_RUNS = 1


def startable_tasks(state: StepState, step: StepSpec) -> list[tuple[int, TaskState]]:
    """Return the tasks of a step that may start now, with their indexes.

    Load pattern: some jobs, among them wide ones, can never succeed. Once
    ``SUSPECT_FAILURES`` tasks of a step have failed and none is done, only one task is
    tried at a time, starting with the one closest to its attempt limit, until a task is
    done or the job has failed. Of those tasks of a step under which several targets
    have crashed, one is tried at a time. Tasks that are held back wait.
    """
    idle = [
        (index, task)
        for index, task in enumerate(state.tasks)
        if not task.done and not task.runs
    ]
    if state.has_crashes:
        idle = [row for row in idle if not is_held_back(row[1].crashes)]
    if step.long_running or not idle:
        return idle
    if state.has_crashes:
        idle = _with_few_isolated(state, idle)
    done = state.unfinished < len(state.tasks)
    if done or not idle:
        return idle
    failed = sum(task.attempts > 0 for task in state.tasks)
    if failed < SUSPECT_FAILURES:
        return idle
    if state.running:
        return []
    return [max(idle, key=lambda numbered: numbered[1].attempts)]


def startable_count(state: StepState, step: StepSpec) -> int:
    """Return how many tasks of a step may start now."""
    if not state.has_crashes and not state.failed_runs:
        return state.idle
    return len(startable_tasks(state, step))


def _with_few_isolated(
    state: StepState, idle: list[tuple[int, TaskState]]
) -> list[tuple[int, TaskState]]:
    if not any(_is_isolated(task) for _, task in idle):
        return idle
    running = sum(_is_isolated(task) and bool(task.runs) for task in state.tasks)
    left = MAX_ISOLATED_RUNS - running
    chosen = []
    for index, task in idle:
        if _is_isolated(task):
            left -= 1
            if left < 0:
                continue
        chosen.append((index, task))
    return chosen


def _is_isolated(task: TaskState) -> bool:
    return suspicion_of(task.crashes) is Suspicion.ISOLATED
