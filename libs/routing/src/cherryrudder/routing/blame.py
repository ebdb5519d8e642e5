"""Attribute crashes of engines to the requests that cause them.

Load pattern: one request crashes each engine that starts it, and is retried at any
entry. Every crash also cuts some dozens of other requests, which are retried elsewhere
and may run beside the same request again. Blocking every request that was running
would block these, too. So a crash counts

- nothing if a run of the request came from the start of its answer to the end, then or
  later: each engine that runs a culprit crashes;
- less if a run only got further than the position at which that engine crashed: a
  culprit may crash engines anywhere in its answer;
- less if another request explains it better: the request with the most crashes is
  blocked first;
- less if many engines crashed at that time, which has another cause.

Requests that are cut side by side have the same crashes, and these don't tell which of
them is the cause. A request with enough crashes is therefore held: it only runs on
trial, apart from the others (see `trials`), until its crashes are its own or a run of
it came through. Only then is it blocked.

Unlike requests may crash engines by a part that their prompts share. So each part is
blamed by the same rules as a whole request, by itself and together with the client
account, and is held in the same way. A part is refuted by runs of any request that has
it. Parts that only come together, and have the same crashes, are held or blocked where
they come together.
"""

import bisect
from collections.abc import Set

from .crashbook import (
    FINISHED,
    MIN_PASSED_EVENTS,
    Block,
    CrashBook,
    RequestRecord,
    furthest_event,
)
from .explanations import SUSPECT_CRASHES, own_crashes

# Weighted crashes after which a request is blocked.
BLOCK_CRASHES = 3.0
# Weight of a crash that a blocked request explains. Culprits also run beside each
# other, so it isn't evidence of innocence, but it blocks only a request that is a
# suspect without such crashes.
EXPLAINED_WEIGHT = 0.5
# Engines of the same kind differ in how many events they have sent when they crash.
POSITION_TOLERANCE_EVENTS = 8
# Weight of a crash at an earlier position than another run has reached. Four crashes
# of a culprit suffice, whatever their positions.
PASSED_POSITION_WEIGHT = 0.7
# Weight of a crash under a part whose run was past the start of its answer. Streams are
# cut there when other parts or requests crash their engine.
LATE_CRASH_WEIGHT = 0.5
# Crashes in one data centre this close together may have one cause, such as a rack
# failure.
SIMULTANEOUS_S = 0.1
MIN_SIMULTANEOUS = 3
SIMULTANEOUS_WEIGHT = 0.5
# A whole run that ended at most this long before a crash, or later, refutes that crash.
# An older one only halves it: the engines may have changed since.
RECENT_PASS_S = 2.0
OLD_PASS_WEIGHT = 0.5
# Crashes so early in each run are proof: a run that another request's crash cuts is
# anywhere in its answer.
EARLY_EVENTS = 2
# Duration of a block after the last crash; it doubles with each further crash.
BLOCK_S = 600.0
MAX_BLOCK_S = 3600.0
# Suspects are staggered over this many steps. A step is long enough to read a prompt
# and send its first events.
STAGGER_STEPS = 4
STAGGER_STEP_S = 0.25
# Delay of the first final refusal: until then, the records of other entries and the
# staggered runs of other suspects may show that another request caused the crashes.
CONFIRMATION_S = STAGGER_STEPS * STAGGER_STEP_S


def update_blocks(book: CrashBook, now_s: float) -> tuple[set[str], set[str]]:
    """Recompute blocks and suspects; return the blocks that were added and removed."""
    before = final_blocks(book)
    weights = _weights_by_request(book)
    totals = {one: sum(crashes.values()) for one, crashes in weights.items()}
    counted = {one: set(crashes) for one, crashes in weights.items()}
    causes, _ = _find_causes(book, weights, totals, set())
    own = own_crashes(book, counted, totals, causes)
    convicted = {one for one in own if _is_convicted(book.records[one], own[one])}
    causes, unexplained = _find_causes(book, weights, totals, convicted)
    book.blocks = {}
    for cause in causes:
        equals = _equals(book.records[cause], cause, counted)
        block = _block(book.records[cause], counted[cause])._replace(
            companions=equals,
            is_final=any(
                _is_final(book.records[one], own[one]) for one in (cause, *equals)
            ),
        )
        if now_s < block.until_s:
            book.blocks[cause] = block
    book.suspects = {
        one
        for one, crashes in unexplained.items()
        if sum(crashes.values()) >= SUSPECT_CRASHES
    }
    book.watched = {one for one, total in totals.items() if total >= SUSPECT_CRASHES}
    after = final_blocks(book)
    book.blocked_since_s = {one: book.blocked_since_s.get(one, now_s) for one in after}
    held = {
        one
        for one, total in totals.items()
        if one in book.blocks or total >= BLOCK_CRASHES and not book.records[one].part
    }
    blocked = after.union(*(book.blocks[one].companions for one in after))
    book.held_until_s = {
        one: _block(book.records[one], counted[one]).until_s for one in held - blocked
    }
    return after - before, before - after


def final_blocks(book: CrashBook) -> set[str]:
    """Return the fingerprints whose refusal is final."""
    return {one for one, block in book.blocks.items() if block.is_final}


def is_held(book: CrashBook, fingerprint: str, now_s: float) -> bool:
    """Return whether a request, or those with a part, may only run on trial."""
    return now_s < book.held_until_s.get(fingerprint, float("-inf"))


def find_held(book: CrashBook, fingerprints: Set[str], now_s: float) -> set[str]:
    """Return those of a request's fingerprints for which it only runs on trial."""
    found = set()
    for one in fingerprints:
        block = book.blocks.get(one)
        companions = block.companions if block else frozenset()
        if is_held(book, one, now_s) and companions <= fingerprints:
            found |= {one, *companions}
    return found


def count_shared(book: CrashBook, fingerprint: str) -> int:
    """Return how many of a request's crashes another whole request had as well."""
    record = book.records.get(fingerprint)
    if record is None:
        return 0
    others = {
        crash.engine_id
        for one, other in book.records.items()
        if one != fingerprint and not other.part and len(other.crashes) > 1
        for crash in other.crashes
    }
    return sum(crash.engine_id in others for crash in record.crashes)


def find_block(book: CrashBook, fingerprints: Set[str], now_s: float) -> str | None:
    """Return the blocked one of a request's fingerprints, None if it isn't refused."""
    if not book.blocks:
        return None
    for fingerprint in fingerprints:
        block = book.blocks.get(fingerprint)
        if block is None or not block.is_final or now_s >= block.until_s:
            continue
        if block.companions <= fingerprints:
            return fingerprint
    return None


def refusal_delay_s(book: CrashBook, fingerprint: str, now_s: float) -> float:
    """Return how long to hold a request until its block is confirmed, 0 if it is."""
    since_s = book.blocked_since_s.get(fingerprint, float("-inf"))
    return max(0.0, since_s + CONFIRMATION_S - now_s)


def send_delay_s(book: CrashBook, fingerprint: str) -> float:
    """Return how long to hold a request back before it is sent, 0 unless a suspect.

    This separates two suspects that were cut together: the harmless one gets further,
    and the next crash shows which one caused it.
    """
    if fingerprint not in book.suspects:
        return 0.0
    return int(fingerprint[:8], 16) % STAGGER_STEPS * STAGGER_STEP_S


def _find_causes(book, weights, totals, convicted):
    """Return the causes, the most likely first, and what they leave unexplained.

    The latter are the weights of the other requests' and parts' crashes.
    """
    left, causes = dict(weights), []
    while True:
        likely = [
            one for one in left if one in convicted or _is_cause(left[one], totals[one])
        ]
        if not likely:
            return causes, left
        worst = max(likely, key=lambda one: (*_rank(book, left, one), one))
        causes.append(worst)
        del left[worst]
        _discount(left, weights[worst])


def _is_cause(unexplained, total_weight):
    """Return whether a request's crashes suffice for a block."""
    weight = sum(unexplained.values())
    explained_weight = EXPLAINED_WEIGHT * (total_weight - weight)
    return weight >= SUSPECT_CRASHES and weight + explained_weight >= BLOCK_CRASHES


def _is_convicted(record, own):
    """Return whether engines that ended with it on trial prove it the cause."""
    on_trial = [
        crash.engine_id
        for crash in record.crashes
        if crash.is_trial and crash.engine_id in own.beside_one_crash
    ]
    is_clear = not record.part and len(own.beside_one_crash) > BLOCK_CRASHES
    needed = 1 if is_clear else SUSPECT_CRASHES
    return len(on_trial) >= needed


def _is_final(record, own):
    """Return whether crashes can't be put down to others that had them.

    A part runs on many engines at once, so that some of its crashes are chance.
    """
    is_alone = not record.part and len(own.alone) >= SUSPECT_CRASHES
    if is_alone or _is_convicted(record, own):
        return True
    events = [
        crash.last_event
        for crash in record.crashes
        if crash.engine_id in own.beside_one_crash
    ]
    is_early = all(0 <= event <= EARLY_EVENTS for event in events)
    return is_early and len(events) >= BLOCK_CRASHES


def _weights_by_request(book):
    """Return the weight of each crash against each request with several crashes."""
    repeated = {
        fingerprint: record
        for fingerprint, record in book.records.items()
        if len(record.crashes) >= SUSPECT_CRASHES
    }
    simultaneous = _simultaneous_crashes(book) if repeated else {}
    found = {
        one: _crash_weights(record, simultaneous) for one, record in repeated.items()
    }
    return {one: ends for one, ends in found.items() if ends}


def _simultaneous_crashes(book):
    """Return, by engine, the engines of its data centre that crashed with it."""
    crash_times_s: dict[str, dict[str, float]] = {}
    for record in book.records.values():
        for crash in record.crashes:
            crash_times_s.setdefault(crash.vm_zone, {})[crash.engine_id] = crash.at_s
    found = {}
    for at_s in crash_times_s.values():
        order = sorted(at_s, key=at_s.get)
        moments_s = [at_s[engine_id] for engine_id in order]
        for engine_id, ended_s in at_s.items():
            first = bisect.bisect_left(moments_s, ended_s - SIMULTANEOUS_S)
            end = bisect.bisect(moments_s, ended_s + SIMULTANEOUS_S)
            found[engine_id] = set(order[first:end])
    return found


def _crash_weights(record, simultaneous):
    own = {crash.engine_id for crash in record.crashes}
    weigh = _part_weight if record.part else _weight
    weights = {
        crash.engine_id: min(
            weigh(simultaneous[crash.engine_id], own), _unrefuted(record, crash)
        )
        for crash in record.crashes
        if crash.at_s > record.lifted_s
    }
    return {engine_id: weight for engine_id, weight in weights.items() if weight}


def _unrefuted(record, crash):
    """Return the weight that progress of other runs leaves to a crash."""
    if record.passed == FINISHED:
        is_recent = record.passed_s + RECENT_PASS_S >= crash.at_s
        return 0 if is_recent else OLD_PASS_WEIGHT
    if record.part and crash.last_event >= MIN_PASSED_EVENTS:
        return LATE_CRASH_WEIGHT
    # A trial decides by its end: released midway, the request would go out everywhere.
    is_passed = (
        record.trial is None
        and crash.last_event + POSITION_TOLERANCE_EVENTS < furthest_event(record)
    )
    return PASSED_POSITION_WEIGHT if is_passed else 1


def _weight(simultaneous, own):
    is_many = len(simultaneous) >= MIN_SIMULTANEOUS
    return (
        SIMULTANEOUS_WEIGHT
        if is_many and 2 * len(simultaneous & own) < len(simultaneous)
        else 1
    )


def _part_weight(simultaneous, own):
    """Return the weight of one of some simultaneous crashes, which count as one.

    Requests with a common part run on most of the engines that a rack failure ends.
    """
    return 1 if len(simultaneous) < MIN_SIMULTANEOUS else 1 / len(simultaneous)


def _equals(record, fingerprint, counted):
    """Return what came with a part in all its crashes and explains them as well."""
    return frozenset(
        one
        for one in record.companions or ()
        if one != fingerprint and counted.get(one) == counted[fingerprint]
    )


def _rank(book, weights, fingerprint):
    """Return the sort key for blocking: most weight first, then earliest position.

    Of equal ones a request comes before its parts, as that refuses fewer others.
    """
    counted = [
        crash.last_event
        for crash in book.records[fingerprint].crashes
        if crash.engine_id in weights[fingerprint]
    ]
    is_request = not book.records[fingerprint].part
    return sum(weights[fingerprint].values()), -max(counted), is_request


def _discount(weights, engine_ids):
    for fingerprint in list(weights):
        left = {e: w for e, w in weights[fingerprint].items() if e not in engine_ids}
        if left:
            weights[fingerprint] = left
        else:
            del weights[fingerprint]


def _block(record: RequestRecord, engine_ids: set[str]) -> Block:
    crashes = [crash for crash in record.crashes if crash.engine_id in engine_ids]
    extra = max(0, len(crashes) - int(BLOCK_CRASHES))
    block_s = min(MAX_BLOCK_S, BLOCK_S * 2**extra)
    return Block(
        engine_ids=tuple(sorted(engine_ids)),
        versions=frozenset(crash.version for crash in crashes),
        until_s=max(crash.at_s for crash in crashes) + block_s,
    )
