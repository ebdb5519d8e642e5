"""Admission, placement and retries joined: what an entry does with each request.

Load pattern: requests end, fail, get lost and are cancelled while others wait for the
room that they leave.
Without it: the count of what is in flight is kept in several places, and one path that
forgets to give a slot back (a failed retry, a silent endpoint) takes it away for good.

Each function returns effects, which the shell carries out in their order. A request
ends in exactly one `Answer` or `Failed` from here, or in the `finished` or `cancel` of
the shell.
"""

from typing import NamedTuple

from cherryrudder.model.endpoints import Announcement
from cherryrudder.model.outcomes import Outcome, Refusal

from . import admission as adm, cost, placement, retries
from .admission import Admission, Offer
from .admissionview import dump_admission
from .fleet import Fleet
from .placement import Chain, Need
from .retries import RetryBudget, Verdict


class Work(NamedTuple):
    """A request and what placing it needs; a service's name if it is for a service."""

    offer: Offer
    version: str = ""
    prefix: str = ""
    service: str = ""
    is_idempotent: bool = True


class Send(NamedTuple):
    """Send a request to these endpoints, in the order of their layers."""

    request_id: str
    stages: tuple[Announcement, ...]
    expected_s: float


class Refuse(NamedTuple):
    """Answer a request that did not run."""

    request_id: str
    refusal: Refusal


class Failed(NamedTuple):
    """Answer a request that failed and isn't sent again."""

    request_id: str
    outcome: Outcome
    verdict: Verdict


class Silent(NamedTuple):
    """An endpoint has fallen silent on a request: resume it, or call `failed`."""

    request_id: str
    endpoint: str


class Placed(NamedTuple):
    """Where a request runs."""

    stages: tuple[str, ...]
    expected_s: float


class Dispatcher:
    """All that one entry knows of its requests."""

    def __init__(self, admission: Admission, fleet: Fleet):
        self.admission = admission
        self.fleet = fleet
        self.budget = RetryBudget()
        self.works: dict[str, Work] = {}
        self.placed: dict[str, Placed] = {}
        self.tried: dict[str, tuple[str, ...]] = {}
        self.effects: list = []


def submit(dispatcher: Dispatcher, work: Work, now_s: float) -> list:
    """Take in a request: send it, queue it or answer it."""
    request_id = work.offer.request_id
    dispatcher.works[request_id] = work
    retries.record_request(dispatcher.budget)
    answer = adm.offer(dispatcher.admission, work.offer, now_s)
    if isinstance(answer, adm.Admitted) and not _place(dispatcher, request_id, now_s):
        answer = adm.put_back(dispatcher.admission, request_id, now_s)
    if isinstance(answer, Refusal):
        _answer(dispatcher, request_id, answer)
    return advance(dispatcher, now_s)


def finish(
    dispatcher, request_id, used_tokens, duration_s, now_s: float, own_s=None
) -> list:
    """End a request that was answered whole.

    `own_s(endpoint, tokens)` gives an endpoint's own part of the time, where it is
    known; the whole time would blame every stage of a chain for its slowest one.
    """
    # An answer may come after its request was cancelled or given up elsewhere. Counted
    # again, it would give back a slot that another request holds by now.
    if request_id not in dispatcher.placed:
        return []
    work = dispatcher.works[request_id]
    answer_tokens = max(0.0, used_tokens - work.offer.prompt_tokens)
    for endpoint in dispatcher.placed.pop(request_id).stages:
        known_s = own_s(endpoint, answer_tokens) if own_s is not None else 0.0
        took_s = known_s or duration_s
        placement.record_success(
            dispatcher.fleet, endpoint, answer_tokens, took_s, now_s
        )
    adm.settle(dispatcher.admission, request_id, used_tokens, now_s)
    _forget(dispatcher, request_id)
    return advance(dispatcher, now_s)


def fail_attempt(
    dispatcher: Dispatcher,
    request_id: str,
    endpoint: str,
    is_certain_not_run: bool,
    now_s: float,
) -> list:
    """End an attempt that an endpoint failed: send the request again, or answer it."""
    placed = dispatcher.placed.get(request_id)
    # Late news of an attempt that has been replaced must not end the one that runs.
    if placed is None or endpoint not in placed.stages:
        return []
    expected_s = _take_off(dispatcher, request_id, endpoint, now_s)
    work = dispatcher.works[request_id]
    tried = (*dispatcher.tried.get(request_id, ()), endpoint)
    dispatcher.tried[request_id] = tried
    attempt = retries.Attempt(
        len(tried),
        work.is_idempotent,
        is_certain_not_run,
        expected_s,
        work.offer.deadline_s,
    )
    verdict = retries.may_retry(dispatcher.budget, attempt, now_s)
    if verdict == Verdict.RETRY:
        answer = adm.put_back(dispatcher.admission, request_id, now_s)
        if isinstance(answer, Refusal):
            _fail(dispatcher, request_id, is_certain_not_run, verdict)
        return advance(dispatcher, now_s)
    adm.cancel(dispatcher.admission, request_id, now_s)
    # What may have run is charged for its prompt at least.
    used = 0 if is_certain_not_run else work.offer.prompt_tokens
    adm.settle(dispatcher.admission, request_id, used, now_s)
    _fail(dispatcher, request_id, is_certain_not_run, verdict)
    return advance(dispatcher, now_s)


def cancel(dispatcher: Dispatcher, request_id, used_tokens, now_s: float) -> list:
    """End a request whose caller has gone, with the tokens it has used so far."""
    if request_id not in dispatcher.works:
        return []
    if not adm.cancel(dispatcher.admission, request_id, now_s):
        _take_off(dispatcher, request_id, "", now_s)
        adm.settle(dispatcher.admission, request_id, used_tokens, now_s)
    _forget(dispatcher, request_id)
    return advance(dispatcher, now_s)


def replace_stage(
    dispatcher: Dispatcher, request_id: str, endpoint: str, now_s: float, avoid=()
) -> Announcement | None:
    """Return an endpoint in place of one that a running request has lost.

    Those to `avoid`, and the lost one itself, come only where nothing else has room:
    they may have been started anew.
    """
    lost = dispatcher.fleet.members.get(endpoint)
    work = dispatcher.works[request_id]
    placed = dispatcher.placed[request_id]
    if lost is None or work.service:
        return None
    stage = lost.announcement
    others = {name for name in placed.stages if name != endpoint}
    avoided = {endpoint, *avoid, *dispatcher.tried.get(request_id, ())}
    need = _need(dispatcher, work)._replace(version=stage.version)
    layers = stage.first_layer, stage.end_layer
    for exclude in (others | avoided, others):
        need = need._replace(exclude=frozenset(exclude))
        found = placement.choose_stage(dispatcher.fleet, need, *layers, now_s)
        if found is not None:
            break
    else:
        return None
    # One that is to stop is relieved by plan; that is no fault of its own.
    take_off = (
        placement.record_withdrawal if lost.is_leaving else placement.record_failure
    )
    take_off(dispatcher.fleet, endpoint, now_s)
    placement.record_start(dispatcher.fleet, found.endpoint, now_s)
    stages = tuple(
        found.endpoint if name == endpoint else name for name in placed.stages
    )
    dispatcher.placed[request_id] = placed._replace(stages=stages)
    return found


def advance(dispatcher: Dispatcher, now_s: float) -> list:
    """Start what there is room for; call it when credits or shares have changed."""

    def place(request_id):
        return _place(dispatcher, request_id, now_s)

    def lets_pass(request_id, waited_s):
        return _lets_pass(dispatcher, request_id, waited_s, now_s)

    results = adm.release(dispatcher.admission, now_s, place, lets_pass)
    for result in results:
        if isinstance(result, adm.GaveUp):
            _answer(dispatcher, result.request_id, result.refusal)
    effects, dispatcher.effects = dispatcher.effects, []
    return effects


def tick(dispatcher: Dispatcher, now_s: float) -> list:
    """Look for silent endpoints and expired requests; call it ten times a second."""
    silent = set(placement.review(dispatcher.fleet, now_s))
    if silent:
        for request_id, placed in dispatcher.placed.items():
            for endpoint in silent.intersection(placed.stages):
                dispatcher.effects.append(Silent(request_id, endpoint))
    return advance(dispatcher, now_s)


def dump(dispatcher: Dispatcher, now_s: float) -> dict:
    """Return the state as plain data."""
    return {
        "admission": dump_admission(dispatcher.admission),
        "endpoints": placement.dump(dispatcher.fleet, now_s),
        "retries_saved": dispatcher.budget.saved,
        "placed": {name: one.stages for name, one in dispatcher.placed.items()},
    }


def _need(dispatcher, work):
    offer = work.offer
    costs = dispatcher.admission.costs
    estimate = cost.estimate(
        costs, offer.customer, offer.model, offer.prompt_tokens, offer.max_tokens
    )
    tokens = max(0.0, estimate.cost_tokens - offer.prompt_tokens)
    tried = frozenset(dispatcher.tried.get(offer.request_id, ()))
    return Need(offer.model, work.version, tokens, work.prefix, tried)


def _choose(dispatcher, need, service, now_s):
    chain = _choose_once(dispatcher, need, service, now_s)
    if chain is None and need.exclude:
        # All that can serve it have failed it once, as the only endpoint of a service
        # has after a lost connection: another try there beats waiting for others.
        need = need._replace(exclude=frozenset())
        return _choose_once(dispatcher, need, service, now_s)
    return chain


def _choose_once(dispatcher, need, service, now_s):
    if not service:
        return placement.choose_chain(dispatcher.fleet, need, now_s)
    found = placement.choose_service(dispatcher.fleet, service, need.exclude, now_s)
    return Chain((found,), 0.0) if found else None


def _place(dispatcher, request_id, now_s):
    work = dispatcher.works[request_id]
    chain = _choose(dispatcher, _need(dispatcher, work), work.service, now_s)
    if chain is None:
        return False
    for stage in chain.stages:
        placement.record_start(dispatcher.fleet, stage.endpoint, now_s)
    if work.prefix:
        placement.note_sent(dispatcher.fleet, chain, work.prefix)
    names = tuple(stage.endpoint for stage in chain.stages)
    dispatcher.placed[request_id] = Placed(names, chain.expected_s)
    dispatcher.effects.append(Send(request_id, chain.stages, chain.expected_s))
    return True


def _lets_pass(dispatcher, request_id, waited_s, now_s):
    work = dispatcher.works[request_id]
    if not work.prefix:
        return False
    need = _need(dispatcher, work)
    chain = placement.choose_chain(dispatcher.fleet, need, now_s)
    if chain is None:
        return False
    return placement.waits_for_prefix(dispatcher.fleet, need, chain, waited_s, now_s)


def _take_off(dispatcher, request_id, endpoint, now_s):
    """Give the slots back, blame the endpoint that failed; return the expected time."""
    placed = dispatcher.placed.pop(request_id)
    for name in placed.stages:
        if name == endpoint:
            placement.record_failure(dispatcher.fleet, name, now_s)
        else:
            placement.record_withdrawal(dispatcher.fleet, name, now_s)
    return placed.expected_s


def _answer(dispatcher, request_id, refusal):
    dispatcher.effects.append(Refuse(request_id, refusal))
    _forget(dispatcher, request_id)


def _fail(dispatcher, request_id, is_certain_not_run, verdict):
    outcome = Outcome.NOT_RUN if is_certain_not_run else Outcome.UNKNOWN
    dispatcher.effects.append(Failed(request_id, outcome, verdict))
    _forget(dispatcher, request_id)


def _forget(dispatcher, request_id):
    dispatcher.works.pop(request_id, None)
    dispatcher.tried.pop(request_id, None)
