"""Posts a stand-in target's announcements and reports to the entries."""

import logging
import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import urllib3
from foxspring_model import AnnounceBody, ReportAnswerBody, ReportBody

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1_000
_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)


class PostIntervals(NamedTuple):
    """How often announcements and reports are posted, in milliseconds."""

    announce_ms: int = 1_000
    report_ms: int = 500


class Announcer:
    """Posts announcements and reports from two background threads.

    Announcements go to the entries in round-robin order until one accepts. A
    report goes first to the owner named by the last answer, if that is one of
    the entries, and in round-robin order if the owner does not accept it.

    ``announcement`` and ``report`` return the bodies to post. ``on_answer`` is
    called with the answer to each report. Nothing is posted while
    ``suppressed`` returns true.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        token: str,
        schedule: PostIntervals,
        announcement: Callable[[], AnnounceBody],
        report: Callable[[], ReportBody],
        on_answer: Callable[[ReportAnswerBody], None],
        suppressed: Callable[[], bool],
    ) -> None:
        self.entries = entries
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._announcement = announcement
        self._report = report
        self._on_answer = on_answer
        self._suppressed = suppressed
        self._stopping = threading.Event()
        self._pool = urllib3.PoolManager(num_pools=16, maxsize=4, retries=False)
        self._entry_index = 0
        self._owner = ""
        self._threads = [
            threading.Thread(
                target=self._repeat, args=(step, every_ms), daemon=True, name=name
            )
            for name, step, every_ms in (
                ("announce", self._post_announcement, schedule.announce_ms),
                ("report", self._post_report, schedule.report_ms),
            )
        ]

    def start(self) -> None:
        """Start posting."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop posting and wait for both threads to end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._pool.clear()

    def _repeat(self, step: Callable[[], None], every_ms: int) -> None:
        while not self._stopping.wait(every_ms / _MS_PER_S):
            if self._suppressed():
                continue
            try:
                step()
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
                _LOG.warning("event=post_failed reason=%r", str(error))

    def _post_announcement(self) -> None:
        self._post("/v1/targets/announce", msgspec.json.encode(self._announcement()))

    def _post_report(self) -> None:
        report = self._report()
        path = f"/v1/targets/{report['target_id']}/report"
        body = msgspec.json.encode(report)
        answer = self._post_to(self._owner, path, body) if self._owner else b""
        answer = answer or self._post(path, body)
        self._owner = ""
        if not answer:
            return
        decoded = msgspec.json.decode(answer, type=ReportAnswerBody)
        owner = decoded.get("owner", "")
        self._owner = owner if owner in self.entries else ""
        self._on_answer(decoded)

    def _post(self, path: str, body: bytes) -> bytes:
        """Return the first successful answer of the entries, or empty if none."""
        for _ in self.entries:
            self._entry_index += 1
            entry = self.entries[self._entry_index % len(self.entries)]
            answer = self._post_to(entry, path, body)
            if answer:
                return answer
        return b""

    def _post_to(self, entry: str, path: str, body: bytes) -> bytes:
        try:
            answer = self._pool.request(
                "POST",
                f"http://{entry}{path}",
                body=body,
                headers=self._headers,
                timeout=_TIMEOUT,
            )
        except urllib3.exceptions.HTTPError:
            return b""
        if answer.status < 300:
            return answer.data
        _LOG.warning(
            "event=post_refused entry=%s path=%s status=%d reason=%r",
            entry,
            path,
            answer.status,
            answer.data[:200].decode("utf-8", "replace"),
        )
        return b""
