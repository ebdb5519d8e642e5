"""The promises, checked against what callers, engines and operators saw in a run.

Each check is a plain function from the history to the faults that it finds, so that the
tests can show that it finds what it is meant for.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from cherryrudder.standin import requests
from cherryrudder.standin.engine import Arrival, Crash, Rejection

# To callers these statuses promise that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# Times of the users' pages: a configuration is in force everywhere, a key has stopped
# working, and an endpoint that leaves gets nothing new.
APPLY_S = 2.0
REVOKE_S = 5.0
DRAIN_S = 2.0
# A request that was sent just before its connection closed may go unread.
CROSSING_S = 0.2
# A fault on the way stretches the bounds by the time that the pages give the system to
# be in touch again, and an unstable core by five seconds more.
UNSTABLE_S = 8.0
# What engines and operators do in the course of things harms no link and no process.
ORDINARY = frozenset(
    {
        "engine-leaves",
        "engine-tells-callers",
        "engine-limits",
        "engine-sheds",
        "change",
        "race",
        "bad-change",
        "revoke",
    }
)
# A request that has ended so many engines is sent no more than so often, once it could
# be known everywhere.
ENDED_ENGINES = 3
MOST_LATE_SENDS = 3
CONTACT_S = 3.0
# A limited engine gets one and a half times its limit and some requests more.
WINDOW_S = 4.0
LIMIT_SHARE = 1.5
LIMIT_MORE = 5
# Requests of one entry that reach an engine which has asked it to back off, this long
# after that.
BACKOFF_NOTICE_S = 0.5
MOST_IN_BACKOFF = 2


class Answer(NamedTuple):
    """What a caller got; `status` 0 when the connection ended without an answer."""

    request_id: str
    kind: str
    key: str
    node: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b""
    is_whole: bool = False


class Ack(NamedTuple):
    """A configuration that a control VM acknowledged."""

    version: int
    keys: tuple[str, ...]
    at_s: float


class Reading(NamedTuple):
    """A configuration that was read back."""

    version: int
    asked_s: float


class Disturbance(NamedTuple):
    """A fault or planned work, and when it took place."""

    kind: str
    target: str
    begins_s: float
    ends_s: float


class Limited(NamedTuple):
    """A limit of requests a second that an engine named for some time."""

    engine_id: str
    per_s: float
    begins_s: float
    ends_s: float


class History(NamedTuple):
    """All that was seen from outside in one run."""

    answers: tuple[Answer, ...] = ()
    acks: tuple[Ack, ...] = ()
    readings: tuple[Reading, ...] = ()
    # The ids of all requests that an engine began to work on, as often as it did.
    runs: tuple[str, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    # When it was acknowledged that an engine leaves, by its boot.
    left_s: dict[str, float] = {}
    disturbances: tuple[Disturbance, ...] = ()
    # What ended, or never came back, without having been told to.
    own_ends: tuple[str, ...] = ()
    # The ids of each request that ends engines, and the engines that ended.
    crashing: tuple[frozenset[str], ...] = ()
    crashes: tuple[Crash, ...] = ()
    limited: tuple[Limited, ...] = ()
    turned_away: tuple[Rejection, ...] = ()
    events: int = 0


def broken(history: History) -> list[str]:
    """Return every promise that was broken, one line each."""
    checks = (
        _answers_are_whole_and_their_own,
        _filings_run_once,
        _not_run_is_true,
        _configurations_stay,
        _keys_stop,
        _leaving_engines_get_nothing,
        _planned_stops_cut_nothing,
        _crashing_requests_stop,
        _limits_are_kept,
        _backoffs_are_kept,
        lambda history: [f"END: {what}" for what in history.own_ends],
    )
    return [fault for check in checks for fault in check(history)]


def _answers_are_whole_and_their_own(history):
    for answer in history.answers:
        if answer.status != 200 or not answer.is_whole:
            continue
        expected = requests.expected_receipt(answer.request_id)
        if answer.kind == "stream":
            expected = requests.expected_stream(answer.request_id, history.events)
        if answer.body != expected:
            yield f"MIXED: {answer.kind} {answer.request_id} has another body"


def _filings_run_once(history):
    kinds = {answer.request_id: answer.kind for answer in history.answers}
    for request_id, count in Counter(history.runs).items():
        if request_id not in kinds:
            yield f"UNASKED: {request_id} ran, and nobody sent it"
        elif count > 1 and kinds[request_id] == "filing":
            yield f"TWICE: filing {request_id} ran {count} times"


def _not_run_is_true(history):
    """Idempotent requests may have run before a refusal; filings may not."""
    ran = set(history.runs)
    for answer in history.answers:
        is_promised = answer.status in NOT_RUN and answer.kind == "filing"
        if is_promised and answer.request_id in ran:
            yield f"REFUSED: filing {answer.request_id}, {answer.status}, has run"


def _configurations_stay(history):
    for reading in history.readings:
        for ack in history.acks:
            age_s = reading.asked_s - ack.at_s
            if age_s > APPLY_S and reading.version < ack.version:
                yield (
                    f"CONFIG: {reading.version} was read {age_s:.1f} s"
                    f" after {ack.version} was acknowledged"
                )


def _keys_stop(history):
    """A key that an acknowledged version lacks, and no later one has, stops working."""
    ran = set(history.runs)
    newest_first = sorted(history.acks, reverse=True)
    for answer in history.answers:
        before = [a for a in newest_first if answer.sent_s > a.at_s + REVOKE_S]
        if not before or answer.request_id not in ran:
            continue
        later = [a for a in history.acks if a.version >= before[0].version]
        if all(answer.key not in ack.keys for ack in later):
            yield f"CONFIG: {answer.request_id} ran with a key taken away"


def _leaving_engines_get_nothing(history):
    for arrival in history.arrivals:
        left_s = history.left_s.get(arrival.engine_id)
        if left_s is None:
            continue
        late_s = arrival.at_s - left_s - DRAIN_S
        if late_s > 0 and not _is_disturbed(history, left_s, arrival.at_s, ORDINARY):
            yield f"DRAIN: {arrival.engine_id} got a request {late_s:.1f} s late"


def _planned_stops_cut_nothing(history):
    """Count what was cut at an entry that was told to stop, with nothing else wrong."""
    stops = defaultdict(list)
    for one in history.disturbances:
        if one.kind == "stop-entry":
            stops[one.target].append(one)
    passed_on = {arrival.request_id for arrival in history.arrivals}
    for answer in history.answers:
        if answer.status and answer.is_whole:
            continue
        took_s = answer.ended_s - answer.sent_s
        if answer.request_id not in passed_on and took_s < CROSSING_S:
            # It crossed the close of its connection; the caller knows that nobody
            # has read it.
            continue
        for stop in stops[answer.node]:
            is_beside = answer.sent_s < stop.ends_s and stop.begins_s < answer.ended_s
            calm = not _is_disturbed(
                history, answer.sent_s, answer.ended_s, besides={"stop-entry"}
            )
            if is_beside and calm:
                yield f"LOST: {answer.kind} {answer.request_id} was cut by a stop"


def _crashing_requests_stop(history):
    """Count the sends while nothing has kept entries and control VMs apart."""
    for ids in history.crashing:
        ended_s = [one.at_s for one in history.crashes if one.request_id in ids]
        if len(ended_s) < ENDED_ENGINES:
            continue
        third_s = sorted(ended_s)[ENDED_ENGINES - 1]
        late = [
            arrival
            for arrival in history.arrivals
            if arrival.request_id in ids
            and arrival.at_s > third_s + CONTACT_S
            and not _is_out_of_touch(history, third_s, arrival.at_s)
        ]
        if len(late) > MOST_LATE_SENDS:
            yield f"BUDGET: sent {len(late)} times after {ENDED_ENGINES} engines ended"


def _limits_are_kept(history):
    """Count what came of entries that ran on; a lost control VM is no excuse."""
    nodes = _nodes(history)
    for one in history.limited:
        since_s = one.begins_s + CONTACT_S
        if _is_link_struck(history, one.begins_s, since_s):
            continue
        times_s = sorted(
            arrival.at_s
            for arrival in history.arrivals
            if arrival.engine_id == one.engine_id
            and since_s <= arrival.at_s < one.ends_s
            and not _is_entry_struck(
                history, nodes.get(arrival.request_id), one.begins_s, arrival.at_s
            )
        )
        windows = [sum(t <= u < t + WINDOW_S for u in times_s) for t in times_s]
        most, allowed = max(windows, default=0), LIMIT_SHARE * one.per_s * WINDOW_S
        if most > allowed + LIMIT_MORE:
            yield f"LIMIT: {one.engine_id} got {most} requests, {one.per_s} a second"


def _backoffs_are_kept(history):
    """Count what an entry sent to an engine that had turned it away."""
    nodes = _nodes(history)
    for one in history.turned_away:
        node, ends_s = nodes.get(one.request_id), one.at_s + one.backoff_s
        if _is_link_struck(history, one.at_s - BACKOFF_NOTICE_S, ends_s):
            continue
        if _is_entry_struck(history, node, one.at_s, ends_s):
            continue
        got = sum(
            arrival.engine_id == one.engine_id
            and nodes.get(arrival.request_id) == node
            and one.at_s + BACKOFF_NOTICE_S <= arrival.at_s < ends_s
            for arrival in history.arrivals
        )
        if got > MOST_IN_BACKOFF:
            yield f"BUDGET: {one.engine_id} got {got} requests of {node} in its backoff"
            return


def _nodes(history):
    """Return which entry got each request."""
    return {answer.request_id: answer.node for answer in history.answers}


def _is_entry_struck(history, node, begins_s, ends_s):
    return any(
        one.kind.endswith("-entry")
        and one.target in (node, "")
        and one.begins_s < ends_s
        and begins_s < one.ends_s + CONTACT_S
        for one in history.disturbances
    )


def _is_link_struck(history, begins_s, ends_s):
    return any(
        one.kind in ("engine-link", "engine-reset")
        and one.begins_s < ends_s
        and begins_s < one.ends_s + CONTACT_S
        for one in history.disturbances
    )


def _is_out_of_touch(history, begins_s, ends_s):
    return any(
        one.kind.endswith(("-entry", "-control", "-controls"))
        and one.begins_s < ends_s
        and begins_s < one.ends_s + UNSTABLE_S
        for one in history.disturbances
    )


def _is_disturbed(history, begins_s, ends_s, besides=frozenset()):
    return any(
        one.kind not in besides
        and one.begins_s < ends_s
        and begins_s < one.ends_s + UNSTABLE_S
        for one in history.disturbances
    )
