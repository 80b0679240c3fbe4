"""Outbox of task events for the replicated log."""

from foxspring_model import ReportedEvent, TaskEvents

RESEND_MS = 400
MAX_BATCH_EVENTS = 256


class EventOutbox:
    """Sends events in order, in batches that are resent until acknowledged."""

    def __init__(self, entry_id: str, incarnation: int) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.unsent: list[ReportedEvent] = []
        self.batch: TaskEvents | None = None
        self._sent_ms = 0
        self._batch_count = 0

    def add(self, events: list[ReportedEvent]) -> None:
        """Append events."""
        self.unsent.extend(events)

    def due(self, now_ms: int) -> TaskEvents | None:
        """Return the batch to send now, or ``None`` if none is due."""
        if self.batch is None and self.unsent:
            self._batch_count += 1
            batch_id = f"{self.entry_id}/{self.incarnation}/{self._batch_count}"
            events = tuple(self.unsent[:MAX_BATCH_EVENTS])
            del self.unsent[:MAX_BATCH_EVENTS]
            self.batch = TaskEvents(batch_id, self.entry_id, events)
        elif self.batch is None or now_ms - self._sent_ms < RESEND_MS:
            return None
        self._sent_ms = now_ms
        return self.batch

    def acknowledge(self, batch_id: str) -> tuple[ReportedEvent, ...]:
        """Remove an acknowledged batch and return its events; empty if unknown."""
        if self.batch is None or self.batch.batch_id != batch_id:
            return ()
        events, self.batch = self.batch.events, None
        return events

    def is_empty(self) -> bool:
        """Return whether all events have been acknowledged."""
        return self.batch is None and not self.unsent
