"""Detection of engines that accept requests but never start them.

Load pattern: some engines accept connections and requests, pass every health check at
once, and start none of the requests sent to them. No other check finds them: every
stream to such an engine waits until its client disconnects. A busy engine still starts
one request after the other, so an engine counts as hanging only if it has started
nothing since the overdue request was sent.
"""

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


class PendingRequest(NamedTuple):
    """A request that was sent to an engine and has not been started yet."""

    sent_s: float
    timeout_s: float


class Hangs:
    """Pending requests, last starts and ejections by the engine's incarnation."""

    def __init__(self):
        self.waiting: dict[str, dict[str, PendingRequest]] = {}
        self.last_started_s: dict[str, float] = {}
        # End of the last ejection, and its length in seconds.
        self.ejections: dict[str, tuple[float, float]] = {}


def record_sent(
    hangs: Hangs, engine_id: str, request_id: str, objective_s: float, now_s: float
) -> None:
    """Record that a request was sent to an engine."""
    waiting = PendingRequest(now_s, TIMEOUT_OBJECTIVES * objective_s)
    hangs.waiting.setdefault(engine_id, {})[request_id] = waiting


def record_start(hangs: Hangs, engine_id: str, request_id: str, now_s: float) -> None:
    """Record that an engine has started or refused a request, so it doesn't hang."""
    record_end(hangs, engine_id, request_id)
    hangs.last_started_s[engine_id] = now_s
    hangs.ejections.pop(engine_id, None)


def record_end(hangs: Hangs, engine_id: str, request_id: str) -> None:
    """Record that a request is no longer pending at an engine."""
    waiting = hangs.waiting.get(engine_id, {})
    waiting.pop(request_id, None)
    if not waiting:
        hangs.waiting.pop(engine_id, None)


def find_hanging(hangs: Hangs, now_s: float) -> list[str]:
    """Eject engines that hang; return those that were not ejected before."""
    found = []
    for engine_id, waiting in hangs.waiting.items():
        if is_ejected(hangs, engine_id, now_s):
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


def is_ejected(hangs: Hangs, engine_id: str, now_s: float) -> bool:
    """Return whether an engine gets no requests for now."""
    until_s, _ = hangs.ejections.get(engine_id, (0.0, 0.0))
    return now_s < until_s


def prune(hangs: Hangs, known: set[str]) -> None:
    """Drop the state of all incarnations except the known ones."""
    for kept in (hangs.last_started_s, hangs.ejections):
        for engine_id in set(kept) - known:
            del kept[engine_id]
