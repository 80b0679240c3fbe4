"""The platform's balancer, as far as callers notice it."""

import threading

from foxspring_testing._site import Site

_EVERY_S = 0.05


class Balancer:
    """Asks each entry whether it is ready and names those that were, last time."""

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
        """Begin to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def serving(self) -> tuple[str, ...]:
        """Return the HTTP addresses of the entries that were ready last time."""
        return self.ready

    def _watch(self, name: str) -> None:
        address = self._site.daemons[name].http
        while not self._stopping.wait(_EVERY_S):
            ready = self._site.entry_ready(name)
            with self._lock:
                others = tuple(each for each in self.ready if each != address)
                self.ready = (*others, address) if ready else others
