"""Idempotent operator changes: a resend gets the first answer and has no effect."""

import hashlib
from collections.abc import Callable

from .checks import check_ids
from .commands import Answer
from .records import KeptAnswer, State

# Operators and deployment scripts resend within minutes; a week also covers a job that
# is restarted after a weekend. A later resend still cannot apply twice: contracts and
# settings then conflict by version, stops by id.
CHANGE_RETENTION_S = 7 * 24 * 3600.0
# 260 contracts that change five times a day make 9,100 changes in a week.
MAX_KEPT_CHANGES = 10_000


def apply_once(
    state: State, change_id: str, body: bytes, apply_change: Callable[[], Answer]
) -> Answer:
    """Apply a change the first time, and return the same answer for each resend.

    The same id with another body gets the answer `reused`.
    """
    if fault := check_ids(change_id=change_id):
        return Answer("invalid", fault, revision=state.revision)
    digest = hashlib.sha256(body).hexdigest()[:32]
    kept = state.changes.get(change_id)
    if kept is None:
        answer = apply_change()
        state.changes[change_id] = KeptAnswer(digest, answer, state.now_s)
        _drop_oldest(state)
        return answer
    if kept.digest != digest:
        message = f"change id {change_id} was already used for another change"
        return Answer("reused", message, revision=state.revision)
    return kept.answer


def expire_changes(state: State) -> None:
    """Drop answers that are older than the retention time."""
    limit_s = state.now_s - CHANGE_RETENTION_S
    expired = []
    for change_id, kept in state.changes.items():
        if kept.at_s > limit_s:
            break
        expired.append(change_id)
    for change_id in expired:
        del state.changes[change_id]


def _drop_oldest(state):
    while len(state.changes) > MAX_KEPT_CHANGES:
        del state.changes[next(iter(state.changes))]
