"""Claims: at most one attempt at a time may run a non-idempotent call.

An attempt is bound to one incarnation of one sidecar. Another attempt is granted only
after the outcome `not-run`, for which that sidecar recorded a tombstone of the attempt.
"""

from cherryrudder.model.outcomes import Outcome

from .checks import check_ids, check_lengths
from .commands import Answer, Claim, ClaimAnswer, CloseClaim, OpenClaim
from .records import HeldClaim, State

# A client that lost its answer resends within minutes, a batch job that is restarted
# within a day. A later resend finds no claim and runs again: the guarantee covers
# resends within a day of the claim's last change.
CLAIM_RETENTION_S = 24 * 3600.0
# Limits a voter's memory, and its snapshot to about 50 MB on disk. Dropping the oldest
# claims at the limit would let a resend run twice, so new claims are refused instead
# ("full"). A claim has weight 1, plus 1 per `BODY_CHARS_PER_WEIGHT` of its body.
MAX_WEIGHT = 100_000
BODY_CHARS_PER_WEIGHT = 512
# A receipt or confirmation has hundreds of characters.
MAX_BODY_CHARS = 64 * 1024
# A caller that gets not-run this often in a day is itself faulty.
MAX_ATTEMPTS = 64


def open_claim(state: State, index: int, command: OpenClaim) -> ClaimAnswer | Answer:
    """Grant the call to this attempt, or return the claim of an earlier one."""
    if fault := _check_ids(command):
        return Answer("invalid", fault, revision=state.revision)
    requested = Claim(**command._asdict(), index=index)
    held = state.claims.get((command.customer, command.key))
    if held is None:
        return _grant_first(state, requested)
    if held.claim.body_sha256 != command.body_sha256:
        return ClaimAnswer("body-differs", held.claim)
    # A resend: the answer to the first grant was lost. Granting the same attempt to the
    # same incarnation again is safe, since a sidecar runs each attempt id once. The
    # same id with another sidecar is not a resend and could run twice, so it is not
    # granted.
    if held.claim._replace(index=index) == requested:
        return ClaimAnswer("granted", held.claim)
    if _is_retry_allowed(held, command.attempt_id):
        _store(state, requested, (*held.not_run_attempts, held.claim.attempt_id))
        return ClaimAnswer("granted", requested)
    return ClaimAnswer("exists", held.claim)


def close_claim(state: State, command: CloseClaim) -> Answer:
    """Record an attempt's outcome; the first one recorded is kept.

    Only `unknown` may still become `done`: it adds information that arrived late and
    does not contradict any answer to a caller.
    """
    if fault := _check_outcome(command):
        return Answer("invalid", fault, revision=state.revision)
    held = state.claims.get((command.customer, command.key))
    if held is None:
        return Answer("unknown", "no such claim", revision=state.revision)
    claim = held.claim
    if claim.attempt_id != command.attempt_id:
        message = f"the claim belongs to attempt {claim.attempt_id}"
        return Answer("conflict", message, revision=state.revision)
    closed = claim._replace(
        outcome=command.outcome, status=command.status, body=command.body
    )
    if closed == claim:
        return Answer("ok", "", revision=state.revision)
    # If not-run replaced done, another attempt could run the call again. If done
    # replaced not-run, it would contradict an answer the caller may already have.
    is_late_result = (
        claim.outcome == Outcome.UNKNOWN and command.outcome == Outcome.DONE
    )
    if claim.outcome and not is_late_result:
        message = f"the outcome is already recorded: {claim.outcome}"
        return Answer("conflict", message, revision=state.revision)
    _store(state, closed, held.not_run_attempts)
    return Answer("ok", "", revision=state.revision)


def find_claim(state: State, customer: str, key: str) -> Claim | None:
    """Return the claim for a customer's key, or None."""
    held = state.claims.get((customer, key))
    return held.claim if held else None


def weight_of(claim: Claim) -> int:
    """Return a claim's weight, which counts towards `MAX_WEIGHT`."""
    return 1 + len(claim.body) // BODY_CHARS_PER_WEIGHT


def expire_claims(state: State) -> None:
    """Drop claims whose last change is older than the retention time."""
    limit_s = state.now_s - CLAIM_RETENTION_S
    expired = []
    for claim_id, held in state.claims.items():
        if held.touched_s > limit_s:
            break
        expired.append(claim_id)
    for claim_id in expired:
        held = state.claims.pop(claim_id)
        _add_weight(state, claim_id[0], -weight_of(held.claim))


def _grant_first(state, requested):
    # Dynamic threshold: a customer's weight may not exceed the free room, so a flood
    # of keys from one customer leaves half of the table to others.
    room = MAX_WEIGHT - sum(state.claim_weights.values())
    if state.claim_weights.get(requested.customer, 0) >= room:
        return ClaimAnswer("full", requested)
    _store(state, requested, ())
    return ClaimAnswer("granted", requested)


def _is_retry_allowed(held, attempt_id):
    # The tombstone of a not-run attempt exists only in one sidecar's memory. If its id
    # were granted again, a delayed packet could run a call reported as not run.
    if held.claim.outcome != Outcome.NOT_RUN:
        return False
    if attempt_id == held.claim.attempt_id or attempt_id in held.not_run_attempts:
        return False
    return len(held.not_run_attempts) + 1 < MAX_ATTEMPTS


def _store(state, claim, not_run_attempts):
    claim_id = (claim.customer, claim.key)
    previous = state.claims.pop(claim_id, None)
    state.claims[claim_id] = HeldClaim(claim, state.now_s, not_run_attempts)
    weight_change = weight_of(claim) - (weight_of(previous.claim) if previous else 0)
    _add_weight(state, claim.customer, weight_change)


def _add_weight(state, customer, weight_change):
    weight = state.claim_weights.get(customer, 0) + weight_change
    state.claim_weights[customer] = weight
    if not weight:
        del state.claim_weights[customer]


def _check_ids(command):
    fault = check_ids(
        customer=command.customer,
        key=command.key,
        body_sha256=command.body_sha256,
        attempt_id=command.attempt_id,
    )
    return fault or check_lengths(
        service=command.service,
        endpoint=command.endpoint,
        incarnation=command.incarnation,
        address=command.address,
    )


def _check_outcome(command):
    if command.outcome not in tuple(Outcome):
        return f"outcome: not one of {', '.join(Outcome)}"
    if len(command.body) > MAX_BODY_CHARS:
        return f"body: longer than {MAX_BODY_CHARS} characters"
    return ""
