"""Processing of the announcements and reports that targets send."""

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
    """Processes announcements and reports, whichever entry owns the target.

    Announcements are forwarded to control, and reports to the target's owner.
    """

    def __init__(
        self,
        entry_id: str,
        incarnation: int,
        table: OwnershipTable,
        targets: OwnerTargets,
        announcement_interval_ms: int,
    ) -> None:
        self.entry_id = entry_id
        self.table = table
        self.targets = targets
        self.usage = UsageSamples(incarnation)
        self._announcement_interval_ms = announcement_interval_ms
        self._announcements: dict[str, tuple[AnnounceBody, int]] = {}
        self._acks: dict[str, Acked] = {}

    def on_announcement(self, body: AnnounceBody, now_ms: int) -> TargetSeen | None:
        """Return the message for control; ``None`` if the same was sent recently."""
        last_announcement = self._announcements.get(body["target_id"])
        fresh = (
            last_announcement is not None
            and now_ms - last_announcement[1] < self._announcement_interval_ms
        )
        if last_announcement is not None and fresh and last_announcement[0] == body:
            return None
        self._announcements[body["target_id"]] = (body, now_ms)
        return TargetSeen(self.entry_id, target_info(body))

    def on_report(
        self, report: ReportBody, raw: bytes, now_ms: int
    ) -> tuple[Effects, Acked]:
        """Process a report, or forward it to the target's owner.

        Returns the effects and the ended tasks that the target may discard.
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
        """Process a report forwarded by another entry; reply with the acks.

        Raises:
            MalformedBodyError: the report is malformed.
        """
        report = decode_report(message.report)
        acked = self._accept(report, now_ms)
        if not acked:
            return []
        pairs = tuple((str(task_id), int(epoch)) for task_id, epoch in acked)
        return [SendMessage(sender, ReportAcks(report["target_id"], pairs))]

    def on_acks(self, message: ReportAcks) -> Effects:
        """Store an owner's acks until the target's next report to this entry."""
        if message.target_id in self.table.targets:
            self._acks[message.target_id] = [list(pair) for pair in message.acked]
        return []

    def remove_absent_targets(self) -> None:
        """Remove the state of targets that are not in the ownership table."""
        for state in (self._announcements, self._acks):
            for target_id in state.keys() - self.table.targets.keys():
                del state[target_id]
        self.usage.retain(set(self.table.targets))

    def _accept(self, report: ReportBody, now_ms: int) -> Acked:
        newer, acked = self.targets.on_report(report, now_ms)
        if newer:
            self.usage.add(usage_sample(report))
        return acked
