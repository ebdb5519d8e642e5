"""Which requests end the engines that begin them, and which only ran beside one.

Load pattern: one request ends each engine that begins it, and comes again at any entry.
With every end some dozens of other requests are cut and sent elsewhere, where they may
meet the same one again. So an end counts against a request only while

- no run of it got further than where that engine ended: the same request ends at the
  same place;
- no other request explains the end better: the one with the most ends is blocked first,
  and those that it explains count for nobody else;
- few engines ended at that moment: many at once have another cause, and count for less.
"""

import bisect

from .crashbook import Block, CrashBook, RequestRecord, furthest_event

# Ends of engines after which a request is refused.
MOST_ENDS = 3.0
# After so many, requests that ran side by side are sent at different moments.
SUSPECT_ENDS = 2.0
# Engines of a kind differ in how many events they have sent as they end.
POSITION_TOLERANCE_EVENTS = 8
# Ends in one data centre so close together may have one cause, as a rack that fails.
TOGETHER_S = 0.1
FEWEST_TOGETHER = 3
TOGETHER_WEIGHT = 0.5
# A block lasts for so long after the last end, twice as long after each further one.
BLOCK_S = 600.0
MOST_BLOCK_S = 3600.0
# Moments at which suspects are sent, and their distance: a prompt is read, and its
# first events are out, within it.
MOMENTS = 4
MOMENT_S = 0.25


def update_blocks(book: CrashBook, now_s: float) -> tuple[set[str], set[str]]:
    """Draw the conclusions from a book; return the blocks that begin and that end."""
    before = set(book.blocks)
    ends = _ends_by_request(book)
    book.blocks = {}
    while ends:
        worst = max(ends, key=lambda one: (*_strength(book, ends, one), one))
        if sum(ends[worst].values()) < MOST_ENDS:
            break
        block = _block(book.records[worst], set(ends.pop(worst)))
        if now_s < block.until_s:
            book.blocks[worst] = block
        _explain(ends, set(block.engine_ids))
    book.suspects = {one for one in ends if sum(ends[one].values()) >= SUSPECT_ENDS}
    return set(book.blocks) - before, before - set(book.blocks)


def send_delay_s(book: CrashBook, fingerprint: str) -> float:
    """Return how long a request waits before it is sent, 0 unless it is a suspect.

    Two that were cut together are apart then: the innocent one gets further, and the
    next end tells which one it was.
    """
    if fingerprint not in book.suspects:
        return 0.0
    return int(fingerprint[:8], 16) % MOMENTS * MOMENT_S


def _ends_by_request(book):
    """Return what counts against each request under which several engines ended."""
    repeated = {
        fingerprint: record
        for fingerprint, record in book.records.items()
        if len(record.crashes) >= SUSPECT_ENDS
    }
    together = _together(book) if repeated else {}
    found = {one: _counted(record, together) for one, record in repeated.items()}
    return {one: ends for one, ends in found.items() if ends}


def _together(book):
    """Return by engine which engines of its data centre ended at the same moment."""
    ended: dict[str, dict[str, float]] = {}
    for record in book.records.values():
        for crash in record.crashes:
            ended.setdefault(crash.vm_zone, {})[crash.engine_id] = crash.at_s
    found = {}
    for at_s in ended.values():
        order = sorted(at_s, key=at_s.get)
        moments_s = [at_s[engine_id] for engine_id in order]
        for engine_id, ended_s in at_s.items():
            first = bisect.bisect_left(moments_s, ended_s - TOGETHER_S)
            end = bisect.bisect(moments_s, ended_s + TOGETHER_S)
            found[engine_id] = set(order[first:end])
    return found


def _counted(record, together):
    furthest = furthest_event(record)
    own = {crash.engine_id for crash in record.crashes}
    return {
        crash.engine_id: _weight(together[crash.engine_id], own)
        for crash in record.crashes
        if crash.at_s > record.lifted_s
        and crash.last_event + POSITION_TOLERANCE_EVENTS >= furthest
    }


def _weight(together, own):
    is_many = len(together) >= FEWEST_TOGETHER
    return TOGETHER_WEIGHT if is_many and 2 * len(together & own) < len(together) else 1


def _strength(book, ends, fingerprint):
    """Return what orders requests by guilt: their ends, then how early they came."""
    counted = [
        crash.last_event
        for crash in book.records[fingerprint].crashes
        if crash.engine_id in ends[fingerprint]
    ]
    return sum(ends[fingerprint].values()), -max(counted)


def _explain(ends, engine_ids):
    for fingerprint in list(ends):
        left = {e: w for e, w in ends[fingerprint].items() if e not in engine_ids}
        if left:
            ends[fingerprint] = left
        else:
            del ends[fingerprint]


def _block(record: RequestRecord, engine_ids: set[str]) -> Block:
    crashes = [crash for crash in record.crashes if crash.engine_id in engine_ids]
    further = max(0, len(crashes) - int(MOST_ENDS))
    lasts_s = min(MOST_BLOCK_S, BLOCK_S * 2**further)
    return Block(
        engine_ids=tuple(sorted(engine_ids)),
        versions=frozenset(crash.version for crash in crashes),
        until_s=max(crash.at_s for crash in crashes) + lasts_s,
    )
