"""How an idempotency key is claimed and completed: pure rules."""

from foxspring_model import ClaimKey, CompleteKey, Verdict

from foxspring_control.state._records import KeyRecord, KeyState


def answer_claim(record: KeyRecord | None, claim: ClaimKey) -> KeyState:
    """Tell what ``claim`` gets where ``record`` holds the key.

    A claim that is sent again with its own ``claim_id`` is still claimed; one
    without a ``claim_id`` can't be told from a second arrival.
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
    """Tell whether ``completion`` is by the holder of an open claim.

    The holder may also replace the "may have run" of a claim that was given
    up after its entry's lease ended. Freeing a key needs the claim's own id,
    since another arrival at the same entry may be running the request.
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
    """Return the key with its outcome; None frees it.

    A body over ``body_limit`` bytes is not kept, and the outcome becomes "may
    have run" because no whole answer can be repeated.
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
