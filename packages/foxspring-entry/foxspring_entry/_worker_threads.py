"""The threads that run callers' requests, fed by a light queue."""

import queue
from typing import Any

from cheroot.workers.threadpool import ThreadPool


class WorkerThreads(ThreadPool):
    """Cheroot's thread pool with a queue that takes one lock, not four.

    The queue passes every request from the listening thread to a worker, and
    each lock is one more turn to wait for under load.
    """

    def __init__(self, server: Any, threads: int) -> None:
        super().__init__(server, min=threads, max=threads)
        self._queue: Any = queue.SimpleQueue()
        self.get = self._queue.get
