"""Idempotency keys: requests with the same key run at most once."""

import hashlib
import logging
import time
from base64 import b64decode
from collections.abc import Callable
from typing import NamedTuple

from foxspring_model import (
    Answered,
    ClaimKey,
    Clock,
    CommandResult,
    CompleteKey,
    Outcome,
    RefusalReason,
    Refused,
    RelayRequest,
    Uncertain,
    Verdict,
)

from foxspring_entry._control_client import Applied, ControlClient

_LOG = logging.getLogger(__name__)
_POLL_MS = 100
_MS_PER_S = 1_000
MAX_KEY_CHARS = 200


class KeyedRequest(NamedTuple):
    """A request with an idempotency key and the deadline of its caller."""

    key: str
    relay: RelayRequest
    deadline_ms: int


class Claimant(NamedTuple):
    """Identity of the entry that claims keys."""

    entry_id: str
    incarnation: int


Run = Callable[[RelayRequest], tuple[Outcome, str]]


def fingerprint(relay: RelayRequest) -> str:
    """Return a digest of the parts that must match when a key is reused."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (relay.caller, relay.service, relay.method, relay.path):
        digest.update(part.encode() + b"\0")
    digest.update(relay.body)
    return digest.hexdigest()


def run_with_key(
    keyed: KeyedRequest,
    claimant: Claimant,
    control: ControlClient,
    clock: Clock,
    run: Run,
) -> tuple[Outcome, str]:
    """Claim the key, run the request if the claim succeeds, record the outcome.

    ``run`` is called only after the claim is committed in the replicated log.
    Returns the outcome and the id of the target that ran the request.
    """
    while True:
        claim = _claim(keyed, claimant, control, clock)
        if claim is None:
            _complete(keyed, claimant, control, clock, _claim_refusal())
            return _claim_refusal(), ""
        decided_outcome = _decided_outcome(claim)
        if decided_outcome is not None:
            return decided_outcome, ""
        if claim.get("key_state") == "claimed":
            return _run_claimed(keyed, claimant, control, clock, run)
        if clock.monotonic_ms() + _POLL_MS >= keyed.deadline_ms:
            detail = "the first request with this key has not finished yet"
            return Uncertain(detail), ""
        time.sleep(_POLL_MS / _MS_PER_S)


def _run_claimed(
    keyed: KeyedRequest,
    claimant: Claimant,
    control: ControlClient,
    clock: Clock,
    run: Run,
) -> tuple[Outcome, str]:
    remaining_ms = keyed.deadline_ms - clock.monotonic_ms()
    if remaining_ms <= 0:
        outcome: Outcome = Refused(RefusalReason.DEADLINE, "claiming took too long")
        target_id = ""
    else:
        outcome, target_id = run(keyed.relay._replace(remaining_ms=remaining_ms))
    _complete(keyed, claimant, control, clock, outcome)
    return outcome, target_id


def _claim(
    keyed: KeyedRequest, claimant: Claimant, control: ControlClient, clock: Clock
) -> CommandResult | None:
    command = ClaimKey(
        _scoped_key(keyed),
        fingerprint(keyed.relay),
        claimant.entry_id,
        claimant.incarnation,
        keyed.relay.request_id,
    )
    remaining_ms = max(1, keyed.deadline_ms - clock.monotonic_ms())
    outcome = control.propose(command, remaining_ms)
    return outcome.result if isinstance(outcome, Applied) else None


def _decided_outcome(claim: CommandResult) -> Outcome | None:
    state = claim.get("key_state", "")
    if state == "mismatch":
        detail = "this key was used for a different request; use a new key"
        return Refused(RefusalReason.MALFORMED, detail)
    if state == "done":
        return _recorded(claim)
    if state in ("claimed", "pending"):
        return None
    return Refused(RefusalReason.NO_CONTROL, claim.get("reason", "claim rejected"))


def _recorded(claim: CommandResult) -> Outcome:
    if claim.get("key_verdict") != Verdict.RAN:
        return Uncertain("the first request with this key may have run")
    headers = tuple((name, value) for name, value in claim.get("key_headers", []))
    body = b64decode(claim.get("key_body", ""))
    return Answered(claim.get("key_status", 200), headers, body)


def _complete(
    keyed: KeyedRequest,
    claimant: Claimant,
    control: ControlClient,
    clock: Clock,
    outcome: Outcome,
) -> None:
    answered = outcome if isinstance(outcome, Answered) else Answered(0, (), b"")
    command = CompleteKey(
        _scoped_key(keyed),
        claimant.entry_id,
        claimant.incarnation,
        outcome.verdict,
        answered.status,
        answered.headers,
        answered.body,
        keyed.relay.request_id,
    )
    remaining_ms = max(_POLL_MS, keyed.deadline_ms - clock.monotonic_ms())
    if not isinstance(control.propose(command, remaining_ms), Applied):
        _LOG.warning(
            "event=key_not_completed request=%s verdict=%s",
            keyed.relay.request_id,
            outcome.verdict,
        )


def _claim_refusal() -> Refused:
    detail = "the key could not be claimed in the replicated log"
    return Refused(RefusalReason.NO_CONTROL, detail)


def _scoped_key(keyed: KeyedRequest) -> str:
    return f"{keyed.relay.caller}/{keyed.key}"
