"""An entry's own evidence against endpoints, beside what they say of themselves.

Load pattern: an endpoint dies, hangs or fails part of its requests while its heartbeats
are still believed. Without this each new request waits there until it times out, and a
data centre is lost for the seconds until the heartbeats are missed.
"""

from typing import NamedTuple

# After one sign of death an endpoint is left alone for so long, and until it is heard
# again. It announces itself every 1.2 s, so one that lives is heard within it.
FIRST_REST_S = 2.0
MOST_REST_S = 12.0
# A death that is longer ago doesn't make the next rest longer: a link that loses
# packets for some seconds would leave the engines behind it with rests of 12 s.
REMEMBERED_S = 15.0
# Failures among recent answers that make an endpoint suspect. Sound plain services fail
# up to 14 in 100 of their requests by themselves.
WORST_FAILED_SHARE = 0.3
# Weight of the newest answer; some ten answers are remembered.
MEMORY = 0.1
# Answers before a share of failures counts.
FEWEST_ANSWERS = 6


class Record(NamedTuple):
    """What one entry has seen of one incarnation of an endpoint."""

    died_s: float = float("-inf")
    rests_until_s: float = 0.0
    rest_s: float = 0.0
    failed_share: float = 0.0
    answers: int = 0
    # This entry itself couldn't reach it; else it was a part in the middle of a chain.
    is_unreached: bool = False
    # Until then another death makes for a longer rest.
    remembered_until_s: float = 0.0
    # No control VM has had an answer or a heartbeat from it either.
    is_verified: bool = False


class Suspicions:
    """Evidence by the endpoint's incarnation."""

    def __init__(self):
        self.records: dict[str, Record] = {}


def is_ejected(
    suspicions: Suspicions, engine_id: str, heard_s: float, now_s: float
) -> bool:
    """Tell whether an endpoint, last heard at a time, is to be left alone."""
    record = suspicions.records.get(engine_id)
    if record is None:
        return False
    return now_s < record.rests_until_s or heard_s < record.died_s


def record_failure(
    suspicions: Suspicions, engine_id: str, now_s: float, is_unreached: bool = False
) -> None:
    """Take note of a sign of death: silence, a refused connection, a reset."""
    record = suspicions.records.get(engine_id, Record())
    is_first = now_s > record.remembered_until_s
    rest_s = FIRST_REST_S if is_first else min(MOST_REST_S, 2 * record.rest_s)
    suspicions.records[engine_id] = record._replace(
        died_s=now_s,
        rests_until_s=now_s + rest_s,
        rest_s=rest_s,
        is_unreached=is_unreached,
        remembered_until_s=now_s + REMEMBERED_S,
        is_verified=False,
    )


def record_report(suspicions: Suspicions, engine_id: str, now_s: float) -> bool:
    """Take note that others had no answer from an endpoint; tell whether it is news."""
    record = suspicions.records.get(engine_id)
    is_news = record is None or now_s >= record.rests_until_s
    if is_news:
        record_failure(suspicions, engine_id, now_s)
    return is_news


def record_confirmed_death(
    suspicions: Suspicions, engine_id: str, now_s: float
) -> bool:
    """Take note that an endpoint has certainly ended; tell whether it is news."""
    is_news = record_report(suspicions, engine_id, now_s)
    record = suspicions.records[engine_id]
    suspicions.records[engine_id] = record._replace(is_verified=True)
    return is_news


def is_certainly_dead(suspicions: Suspicions, engine_id: str, heard_s: float) -> bool:
    """Tell whether others confirmed its death and it was not heard since."""
    record = suspicions.records.get(engine_id)
    return record is not None and record.is_verified and heard_s < record.died_s


def reinstate(suspicions: Suspicions, engine_id: str) -> bool:
    """End a rest, as somebody near the endpoint had its answer; tell whether it did.

    An endpoint that this entry itself doesn't reach is tried again once. If it still
    isn't reached, the link is cut, and each request would wait at it in vain.
    """
    record = suspicions.records.get(engine_id)
    if record is None or (record.is_unreached and record.rest_s > FIRST_REST_S):
        return False
    suspicions.records[engine_id] = record._replace(
        died_s=float("-inf"), rests_until_s=0.0, is_verified=False
    )
    return True


def record_answer(
    suspicions: Suspicions, engine_id: str, is_good: bool, now_s: float
) -> bool:
    """Take note of an answer; tell whether the endpoint rests from now on."""
    record = suspicions.records.get(engine_id, Record())
    share = record.failed_share + MEMORY * ((not is_good) - record.failed_share)
    record = record._replace(failed_share=share, answers=record.answers + 1)
    if is_good:
        record = record._replace(rest_s=0.0)
    is_bad = record.answers >= FEWEST_ANSWERS and share > WORST_FAILED_SHARE
    if is_bad:
        record = Record(rests_until_s=now_s + FIRST_REST_S, rest_s=FIRST_REST_S)
    suspicions.records[engine_id] = record
    return is_bad


def prune(suspicions: Suspicions, known: set[str]) -> None:
    """Drop the records of incarnations that are gone."""
    for engine_id in set(suspicions.records) - known:
        del suspicions.records[engine_id]
