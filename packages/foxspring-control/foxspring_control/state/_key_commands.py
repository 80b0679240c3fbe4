"""Commands to claim and complete idempotency keys."""

import base64

from foxspring_model import ClaimKey, CommandResult, CompleteKey

from foxspring_control.state import _key_rules as key_rules
from foxspring_control.state._records import KeyRecord, KeyState, Moment
from foxspring_control.state._transaction import Transaction


def claim_key(
    transaction: Transaction, command: ClaimKey, moment: Moment
) -> CommandResult:
    """Claim a key for a registered entry, or return the key's state.

    ``key_body`` of a completed key is base64-encoded.
    """
    record = _unexpired(transaction, command.key, moment)
    state = key_rules.answer_claim(record, command)
    if state is KeyState.DONE and record is not None:
        return _outcome(record)
    if record is not None:
        return CommandResult(status="ok", key_state=str(state))
    reason = _claim_rejection(transaction, command)
    if reason:
        return CommandResult(status="rejected", reason=reason)
    claimed = KeyRecord(
        command.key,
        command.fingerprint,
        command.entry_id,
        command.incarnation,
        command.claim_id,
        moment.at_ms,
    )
    transaction.tables.keys.put(claimed, moment.log_index)
    return CommandResult(status="ok", key_state=str(state))


def complete_key(
    transaction: Transaction, command: CompleteKey, moment: Moment
) -> CommandResult:
    """Store the outcome of a claim, or delete the key if the request didn't run."""
    record = transaction.tables.keys.get(command.key)
    if record is None or not key_rules.may_complete(record, command):
        reason = f"key {command.key!r} is not claimed by {command.entry_id}"
        return CommandResult(status="rejected", reason=reason)
    limit = transaction.settings.key_body_limit_bytes
    completed = key_rules.complete(record, command, limit)
    if completed is None:
        transaction.tables.keys.delete(command.key)
        return CommandResult(status="ok")
    transaction.tables.keys.put(completed, moment.log_index)
    return CommandResult(status="ok", key_state=str(KeyState.DONE))


def _unexpired(transaction: Transaction, key: str, moment: Moment) -> KeyRecord | None:
    record = transaction.tables.keys.get(key)
    if record is None:
        return None
    age_ms = moment.at_ms - record.claimed_ms
    if age_ms <= transaction.settings.key_retention_ms:
        return record
    transaction.tables.keys.delete(key)
    return None


def _claim_rejection(transaction: Transaction, command: ClaimKey) -> str:
    entry = transaction.tables.entries.get(command.entry_id)
    if entry is None or entry.incarnation != command.incarnation:
        return (
            f"entry {command.entry_id} incarnation {command.incarnation} is not"
            " registered; wait for its next lease"
        )
    held = transaction.tables.keys.count()
    if held >= transaction.settings.key_limit:
        return f"{held} keys are held, the limit; try again later"
    return ""


def _outcome(record: KeyRecord) -> CommandResult:
    return CommandResult(
        status="ok",
        key_state=str(KeyState.DONE),
        key_verdict=record.verdict,
        key_status=record.status,
        key_headers=[list(header) for header in record.headers],
        key_body=base64.b64encode(record.body).decode(),
    )
