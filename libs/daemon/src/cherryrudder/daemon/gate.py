"""The at-most-once gate of a sidecar: which claimed calls may run here, and once.

Load pattern: a caller, a balancer or an entry resends a call whose answer was lost,
and packets come late or doubled. Without the gate each copy would file once more.

The log gives claims rising indexes. The gate remembers the newest attempts one by one
and keeps the highest index that it has forgotten as a floor: an attempt that it does
not know at or below the floor may be one that it forgot, so it never runs. Memory is
bounded and yet no attempt can run twice, nor run after it was declared not run.
"""

import heapq
from typing import NamedTuple

from cherryrudder.state.commands import Claim

# Attempts remembered: at 100 filings a second it takes 40 s until one is forgotten,
# and an entry has its outcome in the log within a second.
KEPT_ATTEMPTS = 4096
# Answers are replayed from here only until the log has them; this bounds their memory.
KEPT_BYTES = 4 * 1024 * 1024
# Status of a call to which the service gave no answer.
NO_ANSWER = 0


class Call(NamedTuple):
    """A call as the service is to get it."""

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
    """What becomes of a call.

    `action` is run, wait (it is running), replay (`status` and `body` are the answer;
    status 0 means that the service gave none), tombstone (it never ran and never
    will) or forgotten (this process cannot tell).
    """

    action: str
    status: int = 0
    body: str = ""


TOMBSTONE = Verdict("tombstone")
FORGOTTEN = Verdict("forgotten")


class Gate:
    """What one incarnation of a sidecar has run, is running and will never run."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.running: set[str] = set()
        self.verdicts: dict[str, Verdict] = {}
        self.by_index: list[tuple[int, str]] = []
        self.floor = 0
        self.kept_bytes = 0


def admit(gate: Gate, claim: Claim) -> Verdict:
    """Decide on a run; `run` is said at most once for each attempt."""
    known = _known(gate, claim)
    if known is not None:
        return known
    if claim.index <= gate.floor:
        # It has not run if it was never seen, and cannot be told from one that was:
        # refusing is safe either way, and "cannot tell" is the honest answer.
        return FORGOTTEN
    gate.running.add(claim.attempt_id)
    return Verdict("run")


def finish(gate: Gate, claim: Claim, status: int, body: str) -> None:
    """Keep the answer of a call that has run; status 0 means that there was none."""
    gate.running.discard(claim.attempt_id)
    _keep(gate, claim, Verdict("replay", status, body))


def never_sent(gate: Gate, claim: Claim) -> None:
    """Bury a call whose connection to the service was refused."""
    gate.running.discard(claim.attempt_id)
    _keep(gate, claim, TOMBSTONE)


def query(gate: Gate, claim: Claim) -> Verdict:
    """Tell what became of a claim; one that has not started by now never will.

    The tombstone makes `not-run` a fact: a run that is still on its way meets it.
    """
    known = _known(gate, claim)
    if known is not None:
        return known
    if claim.index <= gate.floor:
        return FORGOTTEN
    _keep(gate, claim, TOMBSTONE)
    return TOMBSTONE


def is_known(gate: Gate, claim: Claim) -> bool:
    """Tell whether a query would be answered without burying the claim."""
    return _known(gate, claim) is not None or claim.index <= gate.floor


def _known(gate, claim):
    # A claim names one incarnation of the sidecar. A restarted one has forgotten what
    # it ran, so it neither runs nor judges a claim made for an earlier incarnation.
    if claim.incarnation != gate.incarnation:
        return FORGOTTEN
    if claim.attempt_id in gate.running:
        return Verdict("wait")
    return gate.verdicts.get(claim.attempt_id)


def _keep(gate, claim, verdict):
    gate.verdicts[claim.attempt_id] = verdict
    gate.kept_bytes += len(verdict.body)
    heapq.heappush(gate.by_index, (claim.index, claim.attempt_id))
    while len(gate.verdicts) > KEPT_ATTEMPTS or gate.kept_bytes > KEPT_BYTES:
        index, attempt_id = heapq.heappop(gate.by_index)
        gate.floor = max(gate.floor, index)
        gate.kept_bytes -= len(gate.verdicts.pop(attempt_id).body)
