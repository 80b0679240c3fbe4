"""Paged loading of all open tasks after an election."""

from foxspring_model import TaskKind, TaskState

from foxspring_control.state import Tables, TaskRecord

_LOAD_ORDER = (
    TaskState.STARTING,
    TaskState.RUNNING,
    TaskState.STOPPING,
    TaskState.QUEUED,
)


class TaskLoader:
    """Iterates over the pages of open tasks, placed tasks before queued ones.

    A page may miss tasks that change during the loading; these are covered by
    the state machine's change notifications.
    """

    def __init__(self, page_size: int) -> None:
        self.page_size = page_size
        self.done = False
        self._lists = [
            (state, kind)
            for state in _LOAD_ORDER
            for kind in (TaskKind.SERVICE, TaskKind.BATCH)
        ]
        self._after = ""

    def next_page(self, tables: Tables) -> list[TaskRecord]:
        """Return the next page; after the last one set ``done`` and return nothing."""
        while self._lists:
            state, kind = self._lists[0]
            page = tables.tasks.page(state, kind, self._after, self.page_size)
            if len(page) == self.page_size:
                self._after = page[-1].task.task_id
                return page
            self._lists.pop(0)
            self._after = ""
            if page:
                return page
        self.done = True
        return []
