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
TIMEOUT_OBJECTIVES = 1.6
# An engine is left alone for so long, then tried with new requests; each further time
# for twice as long. Engines that hang do so for some seconds.
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 8.0


class PendingRequest(NamedTuple):
    """A request that an engine has, and has not begun yet."""

    sent_s: float
    timeout_s: float


class Hangs:
    """The requests that were not begun, by incarnation, and what they showed."""

    def __init__(self):
        self.waiting: dict[str, dict[str, PendingRequest]] = {}
        self.last_started_s: dict[str, float] = {}
        # Until when an engine rests, and how long that rest was.
        self.ejections: dict[str, tuple[float, float]] = {}


def sent(
    hangs: Hangs, engine_id: str, request_id: str, objective_s: float, now_s: float
) -> None:
    """Take note that a request went to an engine."""
    waiting = PendingRequest(now_s, TIMEOUT_OBJECTIVES * objective_s)
    hangs.waiting.setdefault(engine_id, {})[request_id] = waiting


def begun(hangs: Hangs, engine_id: str, request_id: str, now_s: float) -> None:
    """Take note that an engine has begun a request or refused it: it is at work."""
    ended(hangs, engine_id, request_id)
    hangs.last_started_s[engine_id] = now_s
    hangs.ejections.pop(engine_id, None)


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
            _, last_s = hangs.ejections.get(engine_id, (0.0, FIRST_EJECTION_S / 2))
            ejection_s = min(MAX_EJECTION_S, 2 * last_s)
            hangs.ejections[engine_id] = (now_s + ejection_s, ejection_s)
            found.append(engine_id)
    return found


def _is_hanging(hangs, engine_id, waiting, now_s):
    last_started_s = hangs.last_started_s.get(engine_id, float("-inf"))
    return any(
        now_s - one.sent_s > one.timeout_s and last_started_s < one.sent_s
        for one in waiting.values()
    )


def is_resting(hangs: Hangs, engine_id: str, now_s: float) -> bool:
    """Tell whether an engine is to get no requests for now."""
    until_s, _ = hangs.ejections.get(engine_id, (0.0, 0.0))
    return now_s < until_s


def forget(hangs: Hangs, known: set[str]) -> None:
    """Drop what is known of incarnations that are gone."""
    for kept in (hangs.last_started_s, hangs.ejections):
        for engine_id in set(kept) - known:
            del kept[engine_id]
