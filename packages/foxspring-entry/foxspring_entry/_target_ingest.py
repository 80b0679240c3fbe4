"""What targets post: announcements for control, reports for their owners."""

from foxspring_model import (
    AnnounceBody,
    ForwardedReport,
    ReportBody,
    TargetSeen,
)

from foxspring_entry._effects import Effects, SendMessage
from foxspring_entry._messages import ReportAcks
from foxspring_entry._owner_targets import OwnerTargets
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._reports import decode_report, target_info, usage_sample
from foxspring_entry._usage_samples import UsageSamples

Acked = list[list[str | int]]


class TargetIngest:
    """Takes what any target posts here, whoever owns it."""

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        table: OwnershipTable,
        targets: OwnerTargets,
        interval_ms: int,
    ) -> None:
        self.entry_id = entry_id
        self.table = table
        self.targets = targets
        self.usage = UsageSamples(incarnation)
        self._announcement_interval_ms = interval_ms
        self._announcements: dict[str, tuple[AnnounceBody, int]] = {}
        self._acks: dict[str, Acked] = {}

    def on_announcement(self, body: AnnounceBody, now_ms: int) -> TargetSeen | None:
        """Return what control should hear; ``None`` if it just heard the same."""
        held = self._announcements.get(body["target_id"])
        fresh = held is not None and now_ms - held[1] < self._announcement_interval_ms
        if held is not None and fresh and held[0] == body:
            return None
        self._announcements[body["target_id"]] = (body, now_ms)
        return TargetSeen(self.entry_id, target_info(body))

    def on_report(
        self, report: ReportBody, raw: bytes, now_ms: int
    ) -> tuple[Effects, Acked]:
        """Take a report or pass it to the target's owner.

        Returns the effects and the ended tasks that the target may forget.
        """
        target_id = report["target_id"]
        owner = self.table.owner_of(target_id)
        if owner is None:
            return [], []
        if owner.entry_id == self.entry_id:
            return [], self._accept(report, now_ms)
        forward = SendMessage(owner.link_address, ForwardedReport(target_id, raw))
        return [forward], self._acks.pop(target_id, [])

    def on_forwarded_report(
        self, sender: str, message: ForwardedReport, now_ms: int
    ) -> Effects:
        """Take a report that another entry passed on; answer it with acks.

        Raises:
            MalformedBodyError: the report is not what a target may send.
        """
        report = decode_report(message.report)
        acked = self._accept(report, now_ms)
        if not acked:
            return []
        pairs = tuple((str(task_id), int(epoch)) for task_id, epoch in acked)
        return [SendMessage(sender, ReportAcks(report["target_id"], pairs))]

    def on_acks(self, message: ReportAcks) -> Effects:
        """Keep an owner's acks for the target's next report here."""
        if message.target_id in self.table.targets:
            self._acks[message.target_id] = [list(pair) for pair in message.acked]
        return []

    def remove_absent_targets(self) -> None:
        """Drop what is kept of targets that the table does not have."""
        for target_id in self._announcements.keys() - self.table.targets.keys():
            del self._announcements[target_id]
        self.usage.retain(set(self.table.targets))

    def _accept(self, report: ReportBody, now_ms: int) -> Acked:
        newer, acked = self.targets.on_report(report, now_ms)
        if newer:
            self.usage.add(usage_sample(report))
        return acked
