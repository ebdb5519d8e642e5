"""Detection of engines that accept requests but never start them.

Load pattern: some engines accept connections and requests, pass every health check at
once, and start none of the requests sent to them. No other check finds them: every
stream to such an engine waits until its client disconnects. A busy engine still starts
one request after the other, so an engine counts as hanging only if it has started
nothing since the overdue request was sent.

When a host, a link or a whole data centre stalls, all engines behind it are silent at
once and start their requests later. Sending these elsewhere then loses them. So an
engine is ejected only in favour of another one: a witness, which has started a request
meanwhile, or else an engine that has no requests and may be tried. The latter only if
one of the two has answered a report meanwhile: an engine that hangs does, a host that
stalls does not.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

# Time to start a request, as a multiple of the route's objective. A usual request
# starts after a tenth of it, the slowest ones on busy engines after one. Requests that
# are sent elsewhere are read a second time, which an overload can't bear. Clients
# disconnect after four.
TIMEOUT_OBJECTIVES = 1.6
# Duration of the first ejection; it doubles each time up to the maximum. Engines hang
# for some seconds.
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 8.0
# How long starts are kept; requests are rarely pending for as long.
START_MEMORY_S = 10.0


class PendingRequest(NamedTuple):
    """A request that was sent to an engine and has not been started yet."""

    sent_s: float
    timeout_s: float


class Start(NamedTuple):
    """The start of a request at an engine, and how long the request was pending."""

    engine_id: str
    started_s: float
    pending_s: float


class Ejection(NamedTuple):
    """An ejection, and until when it keeps others without a witness from being made."""

    until_s: float
    length_s: float
    trial_until_s: float


class ReportAnswer(NamedTuple):
    """When an engine was asked for a report, and when it had answered."""

    asked_s: float
    answered_s: float


class Hangs:
    """Pending requests, starts and ejections by the engine's incarnation."""

    def __init__(self):
        self.waiting: dict[str, dict[str, PendingRequest]] = {}
        self.last_started_s: dict[str, float] = {}
        self.starts: deque[Start] = deque()
        self.ejections: dict[str, Ejection] = {}
        self.answers: dict[str, ReportAnswer] = {}


def _one_untried(engine_id):
    """Return a stand-in for the other engines where they aren't known."""
    return ("",)


def _all_answer(engine_ids, since_s):
    """Return true where it isn't known which engines have answered reports."""
    return True


def record_sent(
    hangs: Hangs, engine_id: str, request_id: str, objective_s: float, now_s: float
) -> None:
    """Record that a request was sent to an engine."""
    waiting = PendingRequest(now_s, TIMEOUT_OBJECTIVES * objective_s)
    hangs.waiting.setdefault(engine_id, {})[request_id] = waiting


def record_start(hangs: Hangs, engine_id: str, request_id: str, now_s: float) -> None:
    """Record that an engine has started or refused a request, so it doesn't hang."""
    request = hangs.waiting.get(engine_id, {}).get(request_id)
    if request is not None:
        hangs.starts.append(Start(engine_id, now_s, now_s - request.sent_s))
    while hangs.starts and now_s - hangs.starts[0].started_s > START_MEMORY_S:
        hangs.starts.popleft()
    record_end(hangs, engine_id, request_id)
    hangs.last_started_s[engine_id] = now_s
    hangs.ejections.pop(engine_id, None)


def record_end(hangs: Hangs, engine_id: str, request_id: str) -> None:
    """Record that a request is no longer pending at an engine."""
    waiting = hangs.waiting.get(engine_id, {})
    waiting.pop(request_id, None)
    if not waiting:
        hangs.waiting.pop(engine_id, None)


def record_report(hangs: Hangs, engine_id: str, asked_s: float, now_s: float) -> None:
    """Record that an engine has answered a report that was asked at a time."""
    known = hangs.answers.get(engine_id)
    if known is None or asked_s > known.asked_s:
        hangs.answers[engine_id] = ReportAnswer(asked_s, now_s)


def has_answered_since(
    hangs: Hangs, engine_id: str, since_s: float, now_s: float
) -> bool:
    """Return whether an engine has answered a report that was asked since a time.

    After a stall reports may be answered before requests are started. An answer counts
    once the engine has had as long again to start them.
    """
    answer = hangs.answers.get(engine_id)
    if answer is None or answer.asked_s <= since_s:
        return False
    return now_s - answer.answered_s >= answer.answered_s - answer.asked_s


def find_hanging(
    hangs: Hangs,
    now_s: float,
    alternatives: Callable[[str], Collection[str]] = _one_untried,
    has_answered: Callable[[Collection[str], float], bool] = _all_answer,
) -> list[str]:
    """Eject engines that hang; return those that were not ejected before.

    `alternatives` returns the other engines where an engine's requests could begin,
    `has_answered` whether one of several has answered a report since a time.
    """
    overdue = {
        engine_id: request
        for engine_id, waiting in hangs.waiting.items()
        if not is_ejected(hangs, engine_id, now_s)
        and (request := _oldest_overdue(hangs, engine_id, waiting, now_s)) is not None
    }
    found = []
    for engine_id, request in overdue.items():
        others = set(alternatives(engine_id))
        usable = {
            other
            for other in others
            if other not in overdue and not is_ejected(hangs, other, now_s)
        }
        starts = [
            start
            for start in hangs.starts
            if start.engine_id in usable and start.started_s > request.sent_s
        ]
        is_witnessed = any(_is_witness(one, request, now_s) for one in starts)
        if is_witnessed:
            trial_until_s = now_s
        elif (
            not starts
            and (untried := usable - hangs.waiting.keys())
            and not _is_trying(hangs, others, now_s)
            and has_answered({engine_id, *untried}, request.sent_s)
        ):
            trial_until_s = now_s + request.timeout_s
        else:
            continue
        known = hangs.ejections.get(engine_id)
        last_s = known.length_s if known else FIRST_EJECTION_S / 2
        length_s = min(MAX_EJECTION_S, 2 * last_s)
        hangs.ejections[engine_id] = Ejection(now_s + length_s, length_s, trial_until_s)
        found.append(engine_id)
    return found


def _oldest_overdue(hangs, engine_id, waiting, now_s):
    last_started_s = hangs.last_started_s.get(engine_id, float("-inf"))
    return min(
        (
            one
            for one in waiting.values()
            if now_s - one.sent_s > one.timeout_s and last_started_s < one.sent_s
        ),
        default=None,
    )


def _is_witness(start, request, now_s):
    """Return whether another engine's start shows that an overdue request is stuck.

    After a common stall some engine is the first to start a request. The others get as
    much time after that as its request was pending.
    """
    return now_s - start.started_s >= min(start.pending_s, request.timeout_s)


def _is_trying(hangs, others, now_s):
    """Return whether an engine was just ejected in favour of one without requests.

    If that one turns out to be silent as well, there is no reason to try the next at
    once. Otherwise it is the witness against all engines that hang.
    """
    return any(
        now_s < hangs.ejections[other].trial_until_s
        for other in others & hangs.ejections.keys()
    )


def is_ejected(hangs: Hangs, engine_id: str, now_s: float) -> bool:
    """Return whether an engine gets no requests for now."""
    ejection = hangs.ejections.get(engine_id)
    return ejection is not None and now_s < ejection.until_s


def prune(hangs: Hangs, known: set[str]) -> None:
    """Drop the state of all incarnations except the known ones."""
    for kept in (hangs.last_started_s, hangs.ejections, hangs.answers):
        for engine_id in set(kept) - known:
            del kept[engine_id]
