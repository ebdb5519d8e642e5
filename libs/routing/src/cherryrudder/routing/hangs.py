"""Finding engines that take requests and never answer, though they seem well.

Load pattern: some engines accept connections and requests, answer every question about
themselves at once, and begin none of the requests that come to them. Nothing else finds
them: every stream to such an engine waits until its client leaves. An engine
that is only busy begins one request after the other, so what tells the two apart is
whether any later request was begun.

How long is too long follows from how soon engines have begun requests lately: on a
calm day a request that hangs is sent elsewhere early enough to be in time, and under a
burst, when all begin late, none is sent twice for it.
"""

from typing import NamedTuple

from . import answertimes
from .answertimes import AnswerTimes, Bounds

# In objectives, how long a request that is not begun counts for nothing, at most and at
# least. A usual one is begun after a tenth, and the longest on busy engines after one;
# sent elsewhere it would be read a second time, which an overload can't bear. Clients
# leave after four. After the least, another engine can still answer in time.
PATIENCE_SHARE = 1.6
LEAST_PATIENCE_SHARE = 0.4
# An engine is left alone for so long, then tried with new requests; each further time
# for twice as long. Engines that hang do so for some seconds.
FIRST_REST_S = 2.0
MOST_REST_S = 8.0


class Waiting(NamedTuple):
    """A request that an engine has, and has not begun yet."""

    sent_s: float
    objective_s: float


class Hangs:
    """The requests that were not begun, by incarnation, and what they showed."""

    def __init__(self):
        self.waiting: dict[str, dict[str, Waiting]] = {}
        self.begun_s: dict[str, float] = {}
        # How soon engines begin requests.
        self.begin_times = AnswerTimes()
        # Until when an engine rests, and how long that rest was.
        self.rests: dict[str, tuple[float, float]] = {}


def sent(
    hangs: Hangs, engine_id: str, request_id: str, objective_s: float, now_s: float
) -> None:
    """Take note that a request went to an engine."""
    waiting = Waiting(now_s, objective_s)
    hangs.waiting.setdefault(engine_id, {})[request_id] = waiting


def begun(hangs: Hangs, engine_id: str, request_id: str, now_s: float) -> None:
    """Take note that an engine has begun a request or refused it: it is at work."""
    waiting = hangs.waiting.get(engine_id, {}).get(request_id)
    if waiting is not None:
        answertimes.note(hangs.begin_times, now_s - waiting.sent_s)
    ended(hangs, engine_id, request_id)
    hangs.begun_s[engine_id] = now_s
    hangs.rests.pop(engine_id, None)


def ended(hangs: Hangs, engine_id: str, request_id: str) -> None:
    """Take note that a request waits no longer at an engine."""
    waiting = hangs.waiting.get(engine_id, {})
    waiting.pop(request_id, None)
    if not waiting:
        hangs.waiting.pop(engine_id, None)


def find(hangs: Hangs, now_s: float) -> list[str]:
    """Return the engines that hang as of now and are not known to; they rest then."""
    found = []
    for engine_id, waiting in hangs.waiting.items():
        if is_resting(hangs, engine_id, now_s):
            continue
        if _is_hanging(hangs, engine_id, waiting, now_s):
            _, last_s = hangs.rests.get(engine_id, (0.0, FIRST_REST_S / 2))
            rest_s = min(MOST_REST_S, 2 * last_s)
            hangs.rests[engine_id] = (now_s + rest_s, rest_s)
            found.append(engine_id)
    return found


def _is_hanging(hangs, engine_id, waiting, now_s):
    begun_s = hangs.begun_s.get(engine_id, float("-inf"))
    return any(
        now_s - one.sent_s > patience_s(hangs, one.objective_s) and begun_s < one.sent_s
        for one in waiting.values()
    )


def patience_s(hangs: Hangs, objective_s: float) -> float:
    """Return how long a request may wait until its engine seems to hang."""
    most_s = PATIENCE_SHARE * objective_s
    bounds = Bounds(LEAST_PATIENCE_SHARE * objective_s, most_s, most_s)
    return answertimes.limit_s(hangs.begin_times, bounds)


def is_resting(hangs: Hangs, engine_id: str, now_s: float) -> bool:
    """Tell whether an engine is to get no requests for now."""
    until_s, _ = hangs.rests.get(engine_id, (0.0, 0.0))
    return now_s < until_s


def forget(hangs: Hangs, known: set[str]) -> None:
    """Drop what is known of incarnations that are gone."""
    for kept in (hangs.begun_s, hangs.rests):
        for engine_id in set(kept) - known:
            del kept[engine_id]
