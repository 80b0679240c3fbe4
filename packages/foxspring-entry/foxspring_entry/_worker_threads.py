"""Thread pool of the HTTP server with a lightweight queue."""

import queue
from typing import Any

from cheroot.workers.threadpool import ThreadPool


class WorkerThreads(ThreadPool):
    """Cheroot's thread pool with a queue that takes one lock instead of four.

    The queue passes each request from the listening thread to a worker, and
    every lock adds waiting time under load.
    """

    def __init__(self, server: Any, threads: int) -> None:
        super().__init__(server, min=threads, max=threads)
        self._queue: Any = queue.SimpleQueue()
        self.get = self._queue.get
