"""A stand-in for the platform's load balancer, as callers observe it."""

import threading

from foxspring_testing._site import Site

_POLL_INTERVAL_S = 0.05


class Balancer:
    """Polls the readiness of every entry and lists those that were ready last."""

    def __init__(self, site: Site) -> None:
        self.ready: tuple[str, ...] = ()
        self._site = site
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(name,), daemon=True)
            for name in site.names("entry")
        ]
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start polling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop polling and wait for the threads to end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def ready_entries(self) -> tuple[str, ...]:
        """Return the HTTP addresses of the entries ready at their last poll."""
        return self.ready

    def _watch(self, name: str) -> None:
        address = self._site.daemons[name].http
        while not self._stopping.wait(_POLL_INTERVAL_S):
            ready = self._site.entry_ready(name)
            with self._lock:
                others = tuple(each for each in self.ready if each != address)
                self.ready = (*others, address) if ready else others
