"""The at-most-once gate of a sidecar: decides which claimed calls may run.

Callers, balancers and entries resend calls whose answer was lost, and packets arrive
late or twice. Without the gate each copy would run the call again.

The log assigns rising indexes to claims. The gate records the newest attempts one by
one and keeps the highest index that it has dropped as a floor. An unrecorded attempt at
or below the floor may be a dropped one, so it never runs. Memory is bounded, and still
no attempt can run twice, or run after it was declared not run.
"""

import heapq
from typing import NamedTuple

from cherryrudder.state.commands import Claim

# At 100 calls per second an attempt is dropped after 40 s; an entry records its outcome
# in the log within a second.
MAX_RECORDED_ATTEMPTS = 4096
# Bound on the recorded answers. They are replayed only until the log has them.
MAX_RECORDED_BYTES = 4 * 1024 * 1024
# Status of a call to which the service gave no answer.
NO_ANSWER = 0


class Call(NamedTuple):
    """A call as it is sent to the service."""

    method: str
    path: str
    body: str
    content_type: str = "application/json"
    idempotency_key: str = ""


class Run(NamedTuple):
    """A claimed call as an entry sends it to the sidecar."""

    claim: Claim
    call: Call


class Verdict(NamedTuple):
    """The gate's decision on a call.

    `action` is run, wait (it is running), replay (`status` and `body` are the answer;
    status 0 means that the service gave none), tombstone (it has not run and never
    will) or forgotten (this process has no record of it).
    """

    action: str
    status: int = 0
    body: str = ""


TOMBSTONE = Verdict("tombstone")
FORGOTTEN = Verdict("forgotten")


class Gate:
    """The attempts that a sidecar's incarnation runs, has run or will never run."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.running: set[str] = set()
        self.verdicts: dict[str, Verdict] = {}
        self.by_index: list[tuple[int, str]] = []
        self.floor = 0
        self.recorded_bytes = 0


def admit(gate: Gate, claim: Claim) -> Verdict:
    """Return whether a call may run; `run` is returned at most once per attempt."""
    known = _known(gate, claim)
    if known is not None:
        return known
    if claim.index <= gate.floor:
        # A new attempt cannot be told from a dropped one that has run. Refusing is safe
        # in both cases.
        return FORGOTTEN
    gate.running.add(claim.attempt_id)
    return Verdict("run")


def record_answer(gate: Gate, claim: Claim, status: int, body: str) -> None:
    """Record the answer of a call that has run; status 0 means that there was none."""
    gate.running.discard(claim.attempt_id)
    _record(gate, claim, Verdict("replay", status, body))


def record_not_sent(gate: Gate, claim: Claim) -> None:
    """Record that a call was not sent because the service refused the connection."""
    gate.running.discard(claim.attempt_id)
    _record(gate, claim, TOMBSTONE)


def query(gate: Gate, claim: Claim) -> Verdict:
    """Return the state of a claim; one that has not started by now never will.

    The tombstone guarantees `not-run`: a run that arrives later is refused by it.
    """
    known = _known(gate, claim)
    if known is not None:
        return known
    if claim.index <= gate.floor:
        return FORGOTTEN
    _record(gate, claim, TOMBSTONE)
    return TOMBSTONE


def is_known(gate: Gate, claim: Claim) -> bool:
    """Return whether a query would be answered without recording a tombstone."""
    return _known(gate, claim) is not None or claim.index <= gate.floor


def _known(gate, claim):
    # A claim names one incarnation of the sidecar. A restarted sidecar has no record of
    # earlier runs, so it neither runs nor judges a claim for an earlier incarnation.
    if claim.incarnation != gate.incarnation:
        return FORGOTTEN
    if claim.attempt_id in gate.running:
        return Verdict("wait")
    return gate.verdicts.get(claim.attempt_id)


def _record(gate, claim, verdict):
    gate.verdicts[claim.attempt_id] = verdict
    gate.recorded_bytes += len(verdict.body)
    heapq.heappush(gate.by_index, (claim.index, claim.attempt_id))
    while (
        len(gate.verdicts) > MAX_RECORDED_ATTEMPTS
        or gate.recorded_bytes > MAX_RECORDED_BYTES
    ):
        index, attempt_id = heapq.heappop(gate.by_index)
        gate.floor = max(gate.floor, index)
        gate.recorded_bytes -= len(gate.verdicts.pop(attempt_id).body)
