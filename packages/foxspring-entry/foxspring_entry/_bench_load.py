"""Open-loop HTTP load generator that records the latency of each request."""

import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import urllib3

_THREADS = 200
_TIMEOUT_S = 10.0


class Sample(NamedTuple):
    """Status of a request, its duration, and its end relative to the run's start."""

    status: int
    duration_ms: float
    ended_s: float = 0.0


class Load:
    """Sends requests at a given rate, independently of the responses."""

    def __init__(self, headers: dict[str, str]) -> None:
        self._headers = headers
        self._pool = urllib3.PoolManager(retries=False, maxsize=_THREADS, block=False)
        self._threads = ThreadPoolExecutor(_THREADS)

    def run(self, urls: Callable[[], str], rate: float, seconds: float) -> list[Sample]:
        """Run for ``seconds`` at ``rate`` requests per second; return the samples."""
        rng = random.Random(1)
        samples: list[Sample] = []
        lock = threading.Lock()
        started = time.perf_counter()

        def send(url: str) -> None:
            sample = self._send(url)
            sample = sample._replace(ended_s=time.perf_counter() - started)
            with lock:
                samples.append(sample)

        due = 0.0
        futures = []
        while due < seconds:
            due += rng.expovariate(rate)
            wait = started + due - time.perf_counter()
            if wait > 0:
                time.sleep(wait)
            futures.append(self._threads.submit(send, urls()))
        for future in futures:
            future.result()
        return samples

    def close(self) -> None:
        """Close all connections."""
        self._threads.shutdown()
        self._pool.clear()

    def _send(self, url: str) -> Sample:
        started = time.perf_counter()
        try:
            answer = self._pool.request(
                "GET", url, headers=self._headers, timeout=_TIMEOUT_S
            )
            status = answer.status
        except urllib3.exceptions.HTTPError:
            status = 0
        return Sample(status, (time.perf_counter() - started) * 1_000)
