"""Watches which configuration revision each entry has in force."""

import re
import threading

import urllib3

from foxspring_testing._change_checks import SeenRevision
from foxspring_testing._site import Site
from foxspring_testing._site_settings import OPERATOR_TOKEN

_EVERY_S = 0.5
_READY = re.compile(r"^foxspring_ready(?:\{\})? 1(?:\.0)?$", re.MULTILINE)
_REVISION = re.compile(
    r"^foxspring_configuration_revision(?:\{\})? (\d+)", re.MULTILINE
)


class RevisionWatch:
    """Asks every entry for its metrics again and again until stopped.

    Only an entry that is ready counts: one without a lease admits nothing, so
    it has no configuration in force.
    """

    def __init__(self, site: Site) -> None:
        self.seen: list[SeenRevision] = []
        self._site = site
        self._stopping = threading.Event()
        self._pool = urllib3.PoolManager(retries=False, timeout=2)
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopping.set()
        self._thread.join()

    def look(self) -> dict[str, int]:
        """Return the revision in force at each ready entry, and keep it."""
        found = {}
        for name in self._site.names("entry"):
            revision = self._revision(name)
            if revision >= 0:
                found[name] = revision
                now_ms = self._site.clock.monotonic_ms()
                self.seen.append(SeenRevision(name, now_ms, revision))
        return found

    def _watch(self) -> None:
        while not self._stopping.wait(_EVERY_S):
            self.look()

    def _revision(self, name: str) -> int:
        process = self._site.processes[name]
        if not process.alive() or process.paused:
            return -1
        try:
            answer = self._pool.request(
                "GET",
                f"http://{self._site.daemons[name].http}/metrics",
                headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            )
        except urllib3.exceptions.HTTPError:
            return -1
        text = answer.data.decode()
        match = _REVISION.search(text)
        return int(match.group(1)) if match and _READY.search(text) else -1
