"""Turns to send to an endpoint that limits the requests of all its senders together.

Load pattern: an endpoint in need takes a few requests a second, before up to hundreds
of entries of which some have all the callers. Parted evenly, a limit of 2 a second is
one request in minutes for each of 370 entries, and those without callers leave most of
it unused; each for itself, they send it many times the limit.

One giver for each endpoint hands out its turns one by one, for requests that are there.
An entry asks when a request could begin at the endpoint, and sends it elsewhere when
none is free. An unused turn lapses soon, so that turns of a giver that was replaced
don't add up with the next one's.
"""

from typing import NamedTuple

# Of the limit, so that a turn that was given late in one second and used early in the
# next doesn't put that one over the limit.
SAFE_SHARE = 0.95
# An endpoint that takes nothing is asked this often whether that still holds.
LEAST_PER_S = 0.1
# Beside one whole turn, what comes free within this time is saved up for whoever asks
# next.
SAVED_S = 0.25
# A turn is for a request that waits for it: its entry uses it at once.
VALID_S = 0.25
# Entries that were told to wait count for this long if they don't come back.
WAITING_S = 2.0
# Between two asks of an entry that got no turn, at least and at most.
LEAST_PAUSE_S = 0.02
MOST_PAUSE_S = 1.0
# Asks without an answer for this long say that nobody gives turns.
UNANSWERED_S = 2.0
# An ask this old is no longer waited for.
PENDING_S = 0.3


class Given(NamedTuple):
    """A giver's answer to one ask."""

    turns: int
    # Until the next turn is free, for whoever asks first then.
    next_s: float = 0.0
    # Until all that wait now will have had one.
    wait_s: float = 0.0


class Giver:
    """The turns of one endpoint, at the process that hands them out."""

    def __init__(self, now_s: float):
        # None to begin with: another giver may have handed out turns until now.
        self.saved = 0.0
        self.filled_s = now_s
        # Senders that wait for a turn, and when they last asked.
        self.waiting_s: dict[str, float] = {}


def give(giver: Giver, sender: str, count: int, per_s: float, now_s: float) -> Given:
    """Hand out as many turns of those asked for as the limit has left."""
    rate = max(SAFE_SHARE * per_s, LEAST_PER_S if per_s == 0 else 0.0)
    most = 1.0 + rate * SAVED_S
    giver.saved = min(most, giver.saved + rate * (now_s - giver.filled_s))
    giver.filled_s = now_s
    turns = min(count, int(giver.saved))
    giver.saved -= turns
    _forget_waiting(giver, now_s)
    giver.waiting_s.pop(sender, None)
    if turns >= count:
        return Given(turns)
    giver.waiting_s[sender] = now_s
    next_s = max(0.0, 1.0 - giver.saved) / rate
    return Given(turns, next_s, next_s + (len(giver.waiting_s) - 1) / rate)


def _forget_waiting(giver, now_s):
    waiting = giver.waiting_s.items()
    giver.waiting_s = {e: s for e, s in waiting if now_s - s < WAITING_S}


class Held:
    """The turns of one endpoint that an entry has, and its asks for more."""

    def __init__(self):
        # Until when each turn may be used, earliest first.
        self.until_s: list[float] = []
        # Asks whose answer isn't here yet.
        self.pending = 0
        self.asked_s = float("-inf")
        # The giver has none before.
        self.not_before_s = float("-inf")
        # When all that wait will have had their turn, as it said.
        self.served_s = float("-inf")
        # Since when asks are not answered, None while they are.
        self.unanswered_s: float | None = None
        # When the entry last took an even part for want of a giver.
        self.even_s = float("-inf")


def has_turn(held: Held, per_s: float, entries: int, now_s: float) -> bool:
    """Tell whether a request may be sent now."""
    held.until_s = [until_s for until_s in held.until_s if now_s < until_s]
    return bool(held.until_s) or _has_even_part(held, per_s, entries, now_s)


def use(held: Held, now_s: float) -> None:
    """Take a turn for a request that is about to be sent."""
    if held.until_s:
        held.until_s.pop(0)
    else:
        held.even_s = now_s


def _has_even_part(held, per_s, entries, now_s):
    """Tell whether an entry that reaches no giver may send one request by itself.

    It can't know of the others, so it takes no more than each of them could.
    """
    if held.unanswered_s is None or now_s - held.unanswered_s < UNANSWERED_S:
        return False
    since_s = max(held.even_s, held.unanswered_s)
    return (now_s - since_s) * SAFE_SHARE * per_s >= max(1, entries)


def may_ask(held: Held, now_s: float) -> bool:
    """Tell whether the giver may have a turn."""
    return now_s >= held.not_before_s


def note_ask(held: Held, now_s: float) -> None:
    """Count an ask that goes out."""
    if now_s - held.asked_s > PENDING_S:
        held.pending = 0
    if held.unanswered_s is None or now_s - held.asked_s > UNANSWERED_S:
        held.unanswered_s = now_s
    held.pending += 1
    held.asked_s = now_s


def is_pending(held: Held, now_s: float) -> bool:
    """Tell whether an answer that may bring a turn is under way."""
    return (
        held.pending > 0
        and now_s - held.asked_s < PENDING_S
        and now_s >= held.not_before_s
    )


def wait_s(held: Held, now_s: float) -> float:
    """Return the time until the next turn that nobody waits for yet."""
    return max(0.0, held.served_s - now_s)


def take(held: Held, given: Given, now_s: float) -> None:
    """Take a giver's answer."""
    held.pending = max(0, held.pending - 1)
    held.unanswered_s = None
    held.until_s += [now_s + VALID_S] * given.turns
    held.served_s = now_s + given.wait_s
    if not given.turns:
        pause_s = max(LEAST_PAUSE_S, given.next_s)
        held.not_before_s = now_s + min(MOST_PAUSE_S, pause_s)
