"""Polls the entries for the configuration revision they have in force."""

import re
import threading

import urllib3

from foxspring_testing._change_checks import ObservedRevision
from foxspring_testing._site import Site
from foxspring_testing._site_settings import OPERATOR_TOKEN

_POLL_INTERVAL_S = 0.5
_READY = re.compile(r"^foxspring_ready(?:\{\})? 1(?:\.0)?$", re.MULTILINE)
_REVISION = re.compile(
    r"^foxspring_configuration_revision(?:\{\})? (\d+)", re.MULTILINE
)


class RevisionWatch:
    """Polls the metrics of every entry periodically until stopped.

    Entries that are not ready are ignored: an entry without a lease admits
    nothing, so it has no configuration in force.
    """

    def __init__(self, site: Site) -> None:
        self.observed_revisions: list[ObservedRevision] = []
        self._site = site
        self._stopping = threading.Event()
        self._pool = urllib3.PoolManager(retries=False, timeout=2)
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling and wait for the thread to end."""
        self._stopping.set()
        self._thread.join()

    def poll(self) -> dict[str, int]:
        """Poll once; record and return the revision in force at each ready entry."""
        found = {}
        for name in self._site.names("entry"):
            revision = self._revision(name)
            if revision >= 0:
                found[name] = revision
                now_ms = self._site.clock.monotonic_ms()
                self.observed_revisions.append(ObservedRevision(name, now_ms, revision))
        return found

    def _watch(self) -> None:
        while not self._stopping.wait(_POLL_INTERVAL_S):
            self.poll()

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
