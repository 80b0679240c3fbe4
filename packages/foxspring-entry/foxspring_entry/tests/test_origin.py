"""Outcomes that callers get after several attempts."""

import random
import unittest

from foxspring_model import (
    Answered,
    OwnershipUpdate,
    RefusalReason,
    Refused,
    RelayAnswer,
    RelayRequest,
    Uncertain,
    Verdict,
)

from foxspring_entry._effects import Effects, ReplyToCaller, SendMessage
from foxspring_entry._loads import OwnerLoads
from foxspring_entry._origin import Origin
from foxspring_entry._ownership import OwnershipTable
from foxspring_entry._retries import RetryBudget
from foxspring_entry.tests import builders

_MAX_ATTEMPTS = 3


def _origin() -> Origin:
    table = OwnershipTable()
    entry = builders.entry_info("e-1")
    targets = (builders.owned("t-1", "e-1"), builders.owned("t-2", "e-1"))
    table.apply(OwnershipUpdate(True, 0, 1, (entry,), targets, ()))
    return Origin(
        "e-1",
        "e-1:link",
        "d-1",
        table,
        OwnerLoads(1_000),
        RetryBudget(20),
        _MAX_ATTEMPTS,
        lambda service, now_ms: (8, 0, 0),
        random.Random(1),
    )


def _outcome_type(verdicts: tuple[Verdict, ...]) -> type:
    """Answer each attempt with one verdict; return the type of the outcome."""
    origin = _origin()
    effects: Effects = origin.submit(builders.relay(idempotent=True), 0)
    for number, verdict in enumerate(verdicts, start=1):
        (sent,) = effects
        assert isinstance(sent, SendMessage)
        assert isinstance(sent.message, RelayRequest)
        reason = RefusalReason.OVERLOADED if verdict == Verdict.NOT_RUN else ""
        answer = RelayAnswer(
            sent.message.request_id, number, verdict, reason, target_id="t-1"
        )
        effects = origin.on_answer(answer, number)
    (reply,) = effects
    assert isinstance(reply, ReplyToCaller)
    return type(reply.outcome)


class OutcomeTest(unittest.TestCase):
    def test_outcome_accounts_for_every_attempt(self) -> None:
        no, maybe, ran = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN
        cases = (
            ((no, no, no), Refused),
            ((maybe, maybe, no), Uncertain),
            ((maybe, no, no), Uncertain),
            ((no, maybe, maybe), Uncertain),
            ((maybe, maybe, ran), Answered),
        )
        for verdicts, expected in cases:
            with self.subTest(verdicts):
                self.assertIs(_outcome_type(verdicts), expected)
