"""Ejection of endpoints that fail requests, as in outlier detection.

Each entry collects its own evidence, independent of the endpoints' heartbeats.

Load pattern: an endpoint dies, hangs or fails part of its requests while its last
heartbeat still counts. Without ejection each new request waits there until it times
out, and a data centre is lost for the seconds until the missing heartbeats are noticed.
"""

from typing import NamedTuple

# Ejection after the first failure; it also lasts until the next heartbeat. Endpoints
# send one every 1.2 s, so a live endpoint sends at least one within this time.
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 12.0
# An earlier failure doubles the next ejection only within this time. Otherwise a link
# that loses packets for some seconds would get the engines behind it ejected for 12 s.
FAILURE_MEMORY_S = 15.0
# Share of failed recent answers above which an endpoint is ejected. Healthy plain
# services fail up to 14 in 100 of their requests.
MAX_FAILED_SHARE = 0.3
# Weight of the newest answer in the moving average, which covers some ten answers.
ANSWER_WEIGHT = 0.1
# Answers needed before the share of failures is used.
MIN_ANSWERS = 6


class Evidence(NamedTuple):
    """Evidence of one entry against one incarnation of an endpoint."""

    failed_s: float = float("-inf")
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0
    failed_share: float = 0.0
    answers: int = 0
    # This entry itself could not reach it. Otherwise the endpoint failed as a part in
    # the middle of a chain.
    is_unreached: bool = False
    # A failure before this time doubles the ejection.
    remembered_until_s: float = 0.0
    # The control VMs have had no answer or heartbeat from it either.
    is_confirmed: bool = False


class Suspicions:
    """Evidence by the endpoint's incarnation (`engine_id`)."""

    def __init__(self):
        self.records: dict[str, Evidence] = {}


def is_ejected(
    suspicions: Suspicions, engine_id: str, last_seen_s: float, now_s: float
) -> bool:
    """Return whether an endpoint is ejected, given the time of its last heartbeat."""
    record = suspicions.records.get(engine_id)
    if record is None:
        return False
    return now_s < record.ejected_until_s or last_seen_s < record.failed_s


def record_failure(
    suspicions: Suspicions, engine_id: str, now_s: float, is_unreached: bool = False
) -> None:
    """Record a timeout, a refused connection or a reset, and eject the endpoint."""
    record = suspicions.records.get(engine_id, Evidence())
    is_first = now_s > record.remembered_until_s
    ejection_s = (
        FIRST_EJECTION_S if is_first else min(MAX_EJECTION_S, 2 * record.ejection_s)
    )
    suspicions.records[engine_id] = record._replace(
        failed_s=now_s,
        ejected_until_s=now_s + ejection_s,
        ejection_s=ejection_s,
        is_unreached=is_unreached,
        remembered_until_s=now_s + FAILURE_MEMORY_S,
        is_confirmed=False,
    )


def record_report(suspicions: Suspicions, engine_id: str, now_s: float) -> bool:
    """Record that other processes had no answer; return whether this ejects it."""
    record = suspicions.records.get(engine_id)
    is_newly_ejected = record is None or now_s >= record.ejected_until_s
    if is_newly_ejected:
        record_failure(suspicions, engine_id, now_s)
    return is_newly_ejected


def record_confirmed_death(
    suspicions: Suspicions, engine_id: str, now_s: float
) -> bool:
    """Record that an endpoint has certainly ended; return whether this ejects it."""
    is_newly_ejected = record_report(suspicions, engine_id, now_s)
    record = suspicions.records[engine_id]
    suspicions.records[engine_id] = record._replace(is_confirmed=True)
    return is_newly_ejected


def is_confirmed_dead(
    suspicions: Suspicions, engine_id: str, last_seen_s: float
) -> bool:
    """Return whether its end was confirmed and no heartbeat has come since."""
    record = suspicions.records.get(engine_id)
    return record is not None and record.is_confirmed and last_seen_s < record.failed_s


def reinstate(suspicions: Suspicions, engine_id: str) -> bool:
    """End an ejection after a process near the endpoint had an answer from it.

    Return whether the ejection has ended. An endpoint that this entry itself could not
    reach is retried only once: if that fails too, the link is down, and each further
    request would wait there until it times out.
    """
    record = suspicions.records.get(engine_id)
    if record is None or (record.is_unreached and record.ejection_s > FIRST_EJECTION_S):
        return False
    suspicions.records[engine_id] = record._replace(
        failed_s=float("-inf"), ejected_until_s=0.0, is_confirmed=False
    )
    return True


def record_answer(
    suspicions: Suspicions, engine_id: str, is_good: bool, now_s: float
) -> bool:
    """Record a good or bad answer; return whether the endpoint is ejected now."""
    record = suspicions.records.get(engine_id, Evidence())
    share = record.failed_share + ANSWER_WEIGHT * ((not is_good) - record.failed_share)
    record = record._replace(failed_share=share, answers=record.answers + 1)
    if is_good:
        record = record._replace(ejection_s=0.0)
    is_bad = record.answers >= MIN_ANSWERS and share > MAX_FAILED_SHARE
    if is_bad:
        record = Evidence(
            ejected_until_s=now_s + FIRST_EJECTION_S, ejection_s=FIRST_EJECTION_S
        )
    suspicions.records[engine_id] = record
    return is_bad


def prune(suspicions: Suspicions, known: set[str]) -> None:
    """Drop the evidence of all incarnations except the known ones."""
    for engine_id in set(suspicions.records) - known:
        del suspicions.records[engine_id]
