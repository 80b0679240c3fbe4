"""Rules for claiming and completing idempotency keys, as pure functions."""

from foxspring_model import ClaimKey, CompleteKey, Verdict

from foxspring_control.state._records import KeyRecord, KeyState


def answer_claim(record: KeyRecord | None, claim: ClaimKey) -> KeyState:
    """Return the answer to ``claim``; ``record`` is the key's current record.

    A resent claim with the same ``claim_id`` is answered as claimed again. One
    without a ``claim_id`` can't be distinguished from a second request.
    """
    if record is None:
        return KeyState.CLAIMED
    if record.fingerprint != claim.fingerprint:
        return KeyState.MISMATCH
    if record.done:
        return KeyState.DONE
    if claim.claim_id and _same_claim(record, claim):
        return KeyState.CLAIMED
    return KeyState.PENDING


def may_complete(record: KeyRecord | None, completion: CompleteKey) -> bool:
    """Return whether ``completion`` is sent by the holder of an open claim.

    The holder may also replace the "may have run" that a claim got when its
    entry was removed after its lease expired. Deleting a key requires the
    claim's id, because another request with this key may be running at the same
    entry.
    """
    if record is None or record.entry_id != completion.entry_id:
        return False
    if record.incarnation != completion.incarnation:
        return False
    if completion.claim_id and completion.claim_id != record.claim_id:
        return False
    if completion.verdict == Verdict.NOT_RUN and not completion.claim_id:
        return False
    return not record.done or record.verdict == Verdict.MAY_HAVE_RUN


def complete(
    record: KeyRecord, completion: CompleteKey, body_limit: int
) -> KeyRecord | None:
    """Return the key's record with its outcome; None deletes the key.

    A body over ``body_limit`` bytes is not stored. The outcome then becomes "may
    have run", because the full answer can't be repeated.
    """
    if completion.verdict == Verdict.NOT_RUN:
        return None
    if len(completion.body) > body_limit:
        return record._replace(done=True, verdict=str(Verdict.MAY_HAVE_RUN))
    return record._replace(
        done=True,
        verdict=completion.verdict,
        status=completion.status,
        headers=completion.headers,
        body=completion.body,
    )


def _same_claim(record: KeyRecord, claim: ClaimKey) -> bool:
    held = (record.entry_id, record.incarnation, record.claim_id)
    return held == (claim.entry_id, claim.incarnation, claim.claim_id)
