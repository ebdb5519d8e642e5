"""Finding engines that take requests and never answer, though they seem well.

Load pattern: some engines accept connections and requests, answer every question about
themselves at once, and begin none of the requests that come to them. Nothing else finds
them: every stream to such an engine waits until its client leaves. An engine
that is only busy begins one request after the other, so what tells the two apart is
whether any later request was begun.
"""

from typing import NamedTuple

# In objectives, how long a request that is not begun counts for nothing. A usual one
# is begun after a tenth, and the longest on busy engines after one; sent elsewhere it
# would be read a second time, which an overload can't bear. Clients leave after four.
PATIENCE_SHARE = 1.6
# An engine is left alone for so long, then tried with new requests; each further time
# for twice as long. Engines that hang do so for some seconds.
FIRST_REST_S = 2.0
MOST_REST_S = 8.0


class Waiting(NamedTuple):
    """A request that an engine has, and has not begun yet."""

    sent_s: float
    patience_s: float


class Hangs:
    """The requests that were not begun, by incarnation, and what they showed."""

    def __init__(self):
        self.waiting: dict[str, dict[str, Waiting]] = {}
        self.begun_s: dict[str, float] = {}
        # Until when an engine rests, and how long that rest was.
        self.rests: dict[str, tuple[float, float]] = {}


def record_sent(
    hangs: Hangs, engine_id: str, request_id: str, objective_s: float, now_s: float
) -> None:
    """Take note that a request went to an engine."""
    waiting = Waiting(now_s, PATIENCE_SHARE * objective_s)
    hangs.waiting.setdefault(engine_id, {})[request_id] = waiting


def record_start(hangs: Hangs, engine_id: str, request_id: str, now_s: float) -> None:
    """Take note that an engine has begun a request or refused it: it is at work."""
    record_end(hangs, engine_id, request_id)
    hangs.begun_s[engine_id] = now_s
    hangs.rests.pop(engine_id, None)


def record_end(hangs: Hangs, engine_id: str, request_id: str) -> None:
    """Take note that a request waits no longer at an engine."""
    waiting = hangs.waiting.get(engine_id, {})
    waiting.pop(request_id, None)
    if not waiting:
        hangs.waiting.pop(engine_id, None)


def find_hanging(hangs: Hangs, now_s: float) -> list[str]:
    """Return the engines that hang as of now and are not known to; they rest then."""
    found = []
    for engine_id, waiting in hangs.waiting.items():
        if is_ejected(hangs, engine_id, now_s):
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
        now_s - one.sent_s > one.patience_s and begun_s < one.sent_s
        for one in waiting.values()
    )


def is_ejected(hangs: Hangs, engine_id: str, now_s: float) -> bool:
    """Tell whether an engine is to get no requests for now."""
    until_s, _ = hangs.rests.get(engine_id, (0.0, 0.0))
    return now_s < until_s


def prune(hangs: Hangs, known: set[str]) -> None:
    """Drop what is known of incarnations that are gone."""
    for kept in (hangs.begun_s, hangs.rests):
        for engine_id in set(kept) - known:
            del kept[engine_id]
