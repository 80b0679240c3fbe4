"""Rolling replacement of service replicas after their size was changed."""

from collections.abc import Iterable, Mapping

from foxspring_model import Eviction, Resources, TaskState

from foxspring_control.state import TaskRecord

REASON_RESIZED = "replica size changed"


def next_replacements(
    replicas: Iterable[TaskRecord], sizes: Mapping[str, Resources]
) -> tuple[tuple[Eviction, ...], bool]:
    """Return the replicas to evict now, and whether any has an outdated size.

    ``sizes`` maps each service to the resources of one replica. At most one
    replica of a service is replaced at a time, and only while the others run.
    """
    outdated: dict[str, TaskRecord] = {}
    unsettled: set[str] = set()
    left = False
    for record in replicas:
        task = record.task
        service = task.work_class
        if task.state is not TaskState.RUNNING:
            unsettled.add(service)
        if task.target_id and task.resources != sizes.get(service, task.resources):
            left = True
            if task.state is TaskState.RUNNING:
                outdated.setdefault(service, record)
    evictions = tuple(
        Eviction(record.task.task_id, record.task.epoch, REASON_RESIZED)
        for service, record in sorted(outdated.items())
        if service not in unsettled
    )
    return evictions, left
