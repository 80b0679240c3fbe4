"""Idempotent commands: a resent change id gets its first answer again."""

import hashlib
from collections.abc import Callable
from typing import Any

import msgspec
from foxspring_model import CommandResult

from foxspring_control.state._records import AnswerRecord, Moment
from foxspring_control.state._transaction import Transaction

_ENCODER = msgspec.msgpack.Encoder()
_RESULT = msgspec.json.Decoder(CommandResult)

CommandHandler = Callable[[Transaction, Any, Moment], CommandResult]


def idempotent(handler: CommandHandler) -> CommandHandler:
    """Wrap ``handler`` to store its first answer by kind, operator and change id.

    Different operators may use the same change id. If one operator uses it for
    two different commands, the second is rejected and not applied.
    """

    def handle(transaction: Transaction, command: Any, moment: Moment) -> CommandResult:
        kind = type(command).__name__
        if not command.change_id:
            reason = "change_id is empty; choose a new id for each change"
            return CommandResult(status="rejected", reason=reason)
        who = _who(command)
        fingerprint = _fingerprint(command)
        first = transaction.tables.answers.get(kind, who, command.change_id)
        if first is not None:
            return _first_answer(first, fingerprint)
        result = handler(transaction, command, moment)
        encoded = msgspec.json.encode(result)
        answer = AnswerRecord(
            kind, who, command.change_id, fingerprint, encoded, moment.at_ms
        )
        transaction.tables.answers.add(answer, moment.log_index)
        return result

    return handle


def _first_answer(first: AnswerRecord, fingerprint: str) -> CommandResult:
    if first.fingerprint == fingerprint:
        return _RESULT.decode(first.result)
    return CommandResult(
        status="rejected",
        reason=(
            f"change id {first.change_id!r} was used by {first.who or 'you'} for"
            " another change; choose a new change id"
        ),
    )


def _who(command: Any) -> str:
    return str(getattr(command, "operator", "") or getattr(command, "submitter", ""))


def _fingerprint(command: Any) -> str:
    return hashlib.blake2b(_ENCODER.encode(command), digest_size=16).hexdigest()
