"""Controller of targets: registration and the removal of silent targets."""

import logging

from foxspring_model import (
    AssignOwners,
    OwnerAssignment,
    RecordTaskEvents,
    RegisterTarget,
    RemoveTarget,
    TargetSeen,
    TaskEvent,
)

from foxspring_control.service._proposer import Proposer
from foxspring_control.service._settings import ServiceSettings
from foxspring_control.service._view import LeaderView
from foxspring_control.state import TargetRecord

_LOG = logging.getLogger(__name__)


class TargetController:
    """Registers targets and removes silent ones after all their leases expired.

    A silent target first loses its owner, so that no entry renews leases on it.
    Once it has had no owner for long enough that every lease has expired, its
    tasks are reported as lost and the target is removed.
    """

    def __init__(
        self,
        settings: ServiceSettings,
        view: LeaderView,
        proposer: Proposer,
        now_ms: int,
    ) -> None:
        self.settings = settings
        self.view = view
        self.proposer = proposer
        self.last_seen_ms = dict.fromkeys(view.targets, now_ms)

    def record_announcement(self, message: TargetSeen, now_ms: int) -> None:
        """Handle a target's announcement that an entry forwarded."""
        info = message.info
        known = self.view.targets.get(info.target_id)
        if known is not None and info.incarnation < known.info.incarnation:
            return
        self.last_seen_ms[info.target_id] = now_ms
        if known is None or known.info != info:
            key = f"target/{info.target_id}"
            self.proposer.propose(key, RegisterTarget(info))

    def record_usage(self, target_id: str, now_ms: int) -> None:
        """Record that the target reported its usage."""
        if target_id in self.view.targets:
            self.last_seen_ms[target_id] = now_ms

    def silent_targets(self, now_ms: int) -> frozenset[str]:
        """Return the targets without a report for ``target_silent_after_ms``."""
        return self._silent_for(self.settings.target_silent_after_ms, now_ms)

    def suspected_targets(self, now_ms: int) -> frozenset[str]:
        """Return the targets that get no new tasks until they report again."""
        return self._silent_for(self.settings.target_suspect_after_ms, now_ms)

    def tick(self, now_ms: int) -> None:
        """Release silent targets from their owners, then remove them."""
        released = []
        for target_id in sorted(self.silent_targets(now_ms)):
            record = self.view.targets[target_id]
            if record.owner:
                released.append(OwnerAssignment(target_id, ""))
            elif self._leases_expired(target_id, now_ms):
                self._remove(record)
        if released:
            self._release(tuple(released))
        for target_id in self.last_seen_ms.keys() - self.view.targets.keys():
            if (
                now_ms - self.last_seen_ms[target_id]
                > self.settings.target_silent_after_ms
            ):
                del self.last_seen_ms[target_id]

    def _release(self, released: tuple[OwnerAssignment, ...]) -> None:
        if not self.proposer.propose("release", AssignOwners(released)):
            return
        for assignment in released:
            _LOG.info("event=target_silent target=%s", assignment.target_id)

    def _silent_for(self, duration_ms: int, now_ms: int) -> frozenset[str]:
        limit_ms = now_ms - duration_ms
        return frozenset(
            target_id
            for target_id in self.view.targets
            if self.last_seen_ms.setdefault(target_id, now_ms) <= limit_ms
        )

    def _leases_expired(self, target_id: str, now_ms: int) -> bool:
        since_ms = self.view.unowned_since_ms.get(target_id, now_ms)
        return now_ms - since_ms >= self.settings.target_leases_expiry_ms()

    def _remove(self, record: TargetRecord) -> None:
        target_id = record.info.target_id
        with self.view.state.reading() as tables:
            held = tables.tasks.on_target(target_id)
        if held:
            events = tuple(
                TaskEvent(
                    row.task.task_id,
                    row.task.epoch,
                    target_id,
                    "lost",
                    detail="target silent until all its leases expired",
                )
                for row in held
            )
            self.proposer.propose(f"lost/{target_id}", RecordTaskEvents(events))
            return
        command = RemoveTarget(target_id, record.info.incarnation)
        if self.proposer.propose(f"target/{target_id}", command):
            _LOG.info("event=target_removed target=%s", target_id)
