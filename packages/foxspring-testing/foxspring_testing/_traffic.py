"""Callers behind a load balancer: a steady stream of requests to ready entries."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from foxspring_testing._clients import CallerClient, CallerRecord, CallerRequest

_MS_PER_S = 1_000
_NO_ENTRY_WAIT_S = 0.05
_METHODS = ("GET", "POST", "PUT")

ReadyEntries = Callable[[], Sequence[str]]


class TrafficSettings(NamedTuple):
    """What the callers send.

    ``key_share`` is the share of POSTs that carry an idempotency key; those
    are resent to a randomly chosen ready entry, up to ``resends`` times, until
    an answer says that the request ran. Times are milliseconds.
    """

    service: str
    threads: int = 4
    pause_ms: int = 10
    work_ms: int = 5
    max_padding_bytes: int = 4_000
    key_share: float = 0.5
    resends: int = 3
    deadline_ms: int = 4_000
    seed: int = 1


class Traffic:
    """Sends requests from several threads until stopped, and records them."""

    def __init__(
        self, settings: TrafficSettings, client: CallerClient, ready: ReadyEntries
    ) -> None:
        self.settings = settings
        self._client = client
        self._ready = ready
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._records: list[CallerRecord] = []
        self._threads = [
            threading.Thread(target=self._send_all, args=(number,), daemon=True)
            for number in range(settings.threads)
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallerRecord]:
        """Stop, wait for the last answers and return every record."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.records()

    def records(self) -> list[CallerRecord]:
        """Return the records up to now."""
        with self._lock:
            return list(self._records)

    def _send_all(self, thread: int) -> None:
        rng = random.Random(f"{self.settings.seed}/{thread}")
        sent = 0
        while not self._stopping.wait(self.settings.pause_ms / _MS_PER_S):
            sent += 1
            self._send_one(rng, f"r{self.settings.seed}-{thread}-{sent}")

    def _send_one(self, rng: random.Random, nonce: str) -> None:
        settings = self.settings
        method = rng.choice(_METHODS)
        keyed = method == "POST" and rng.random() < settings.key_share
        request = CallerRequest(
            settings.service,
            nonce,
            method,
            key=f"key-{nonce}" if keyed else "",
            work_ms=settings.work_ms,
            padding_bytes=rng.randrange(settings.max_padding_bytes),
            deadline_ms=settings.deadline_ms,
        )
        for _ in range(1 + (settings.resends if keyed else 0)):
            record = self._call(rng, request)
            if record is None or record.verdict == "ran":
                return

    def _call(self, rng: random.Random, request: CallerRequest) -> CallerRecord | None:
        entries = self._ready()
        if not entries:
            time.sleep(_NO_ENTRY_WAIT_S)
            return None
        record = self._client.call(rng.choice(list(entries)), request)
        with self._lock:
            self._records.append(record)
        return record


def send_concurrently(
    client: CallerClient, calls: Sequence[tuple[str, CallerRequest]], threads: int = 16
) -> list[CallerRecord]:
    """Send all calls concurrently; return their records in the same order."""
    with ThreadPoolExecutor(threads) as pool:
        return list(pool.map(lambda call: client.call(*call), calls))
