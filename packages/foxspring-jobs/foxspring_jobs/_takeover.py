"""Takes over the targets of the leader before.

Failure pattern: one target can't be taken over by any member. The others must not be
left without a leader for it.
"""

import logging
from collections.abc import Sequence

from foxspring_jobs._commands import RegisterTarget, TargetIncarnation
from foxspring_jobs._leader_context import LeaderContext
from foxspring_jobs._metrics import NOT_TAKEN_OVER
from foxspring_jobs._target_poller import TargetPoller

_LOG = logging.getLogger(__name__)

TAKEOVER_RETRY_MS = 5_000


class Takeover:
    """Begins a session with each registered target, again and again if one fails.

    A target that can't be taken over, and its runs, stay as they are until a later
    attempt succeeds.
    """

    def __init__(self, context: LeaderContext, poller: TargetPoller) -> None:
        self.context = context
        self.poller = poller
        self.not_taken_over: list[TargetIncarnation] = []
        self.retry_due_ms = 0

    def begin(self) -> None:
        """Take over every registered target.

        Raises:
            Exception: none of several targets can be taken over, which is more likely
                a fault of this member.
        """
        targets = [target.registered for target in self.context.draft.targets.values()]
        errors = self._take_over(targets)
        if len(errors) == len(targets) > 1:
            raise errors[0]

    def retry_if_due(self, now_ms: int) -> None:
        """Try again, after a while, with the targets for which it failed before."""
        if not self.not_taken_over or now_ms < self.retry_due_ms:
            return
        known = (self.context.draft.target(each) for each in self.not_taken_over)
        self._take_over([target.registered for target in known if target is not None])

    def _take_over(self, targets: Sequence[RegisterTarget]) -> list[Exception]:
        """Begin sessions with targets; return the errors of those that failed."""
        errors = []
        self.not_taken_over = []
        self.retry_due_ms = self.context.clock.monotonic_ms() + TAKEOVER_RETRY_MS
        for target in targets:
            try:
                self.poller.open_session(target, taking_over=True)
            except Exception as error:
                errors.append(error)
                self.not_taken_over.append(target.incarnation)
                self.poller.discard_session(target.incarnation)
        if errors:
            self._report(errors, len(targets))
        return errors

    def _report(self, errors: Sequence[Exception], target_count: int) -> None:
        self.context.metrics.count(NOT_TAKEN_OVER, amount=len(errors))
        _LOG.error(
            "event=targets_not_taken_over count=%d of=%d first=%s",
            len(errors),
            target_count,
            self.not_taken_over[0].target_id,
            exc_info=errors[0],
        )
