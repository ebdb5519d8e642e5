"""Combine admission, placement and retries for the requests of one entry.

Requests finish, fail, get lost and are cancelled while others wait for the capacity
that they free. If the number in flight were counted in several places, one path that
does not release a slot (a failed retry, a silent endpoint) would lose it for good. This
module does all of that accounting.

Each function returns a list of effects, which the caller carries out in order. Each
request ends exactly once: by a refusal or a `Failed` returned from here, or by a call
that reports it as finished or cancelled.
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
    """A request and what its placement needs; `service` is empty for a model."""

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
    """Refuse a request that did not run."""

    request_id: str
    refusal: Refusal


class Failed(NamedTuple):
    """Report the failure of a request that is not retried."""

    request_id: str
    outcome: Outcome
    verdict: Verdict


class Silent(NamedTuple):
    """Report a silent endpoint: resume the request elsewhere, or report its failure."""

    request_id: str
    endpoint: str


class Placed(NamedTuple):
    """The endpoints that run a request, and its expected duration."""

    stages: tuple[str, ...]
    expected_s: float


class Dispatcher:
    """The requests of one entry, with its admission, endpoints and retry budget."""

    def __init__(self, admission: Admission, fleet: Fleet):
        self.admission = admission
        self.fleet = fleet
        self.budget = RetryBudget()
        self.works: dict[str, Work] = {}
        self.placed: dict[str, Placed] = {}
        self.tried: dict[str, tuple[str, ...]] = {}
        self.effects: list = []


def submit(dispatcher: Dispatcher, work: Work, now_s: float) -> list:
    """Accept a new request: send, queue or refuse it."""
    request_id = work.offer.request_id
    dispatcher.works[request_id] = work
    retries.record_request(dispatcher.budget)
    answer = adm.offer(dispatcher.admission, work.offer, now_s)
    if isinstance(answer, adm.Admitted) and not _place(dispatcher, request_id, now_s):
        answer = adm.put_back(dispatcher.admission, request_id, now_s)
    if isinstance(answer, Refusal):
        _refuse(dispatcher, request_id, answer)
    return advance(dispatcher, now_s)


def finish(
    dispatcher, request_id, used_tokens, duration_s, now_s: float, endpoint_time_s=None
) -> list:
    """End a request that was answered completely.

    `endpoint_time_s(endpoint, tokens)` returns the endpoint's own part of the duration,
    or 0 if it is unknown. Without it the whole duration counts for every stage, so each
    stage of a chain would look as slow as the slowest one.
    """
    # The answer may arrive after the request was cancelled or has ended otherwise.
    # Counting it again would release a slot that another request now holds.
    if request_id not in dispatcher.placed:
        return []
    work = dispatcher.works[request_id]
    answer_tokens = max(0.0, used_tokens - work.offer.prompt_tokens)
    for endpoint in dispatcher.placed.pop(request_id).stages:
        known_s = (
            endpoint_time_s(endpoint, answer_tokens)
            if endpoint_time_s is not None
            else 0.0
        )
        took_s = known_s or duration_s
        placement.record_success(
            dispatcher.fleet, endpoint, answer_tokens, took_s, now_s
        )
    adm.settle(dispatcher.admission, request_id, used_tokens, now_s)
    _drop(dispatcher, request_id)
    return advance(dispatcher, now_s)


def fail_attempt(
    dispatcher: Dispatcher,
    request_id: str,
    endpoint: str,
    is_certain_not_run: bool,
    now_s: float,
) -> list:
    """End an attempt that failed: retry the request or report its failure."""
    placed = dispatcher.placed.get(request_id)
    # A late report about an attempt that was replaced must not end the current one.
    if placed is None or endpoint not in placed.stages:
        return []
    expected_s = _release_slots(dispatcher, request_id, endpoint, now_s)
    work = dispatcher.works[request_id]
    tried = (*dispatcher.tried.get(request_id, ()), endpoint)
    dispatcher.tried[request_id] = tried
    attempt = retries.Attempt(
        len(tried),
        work.is_idempotent,
        is_certain_not_run,
        expected_s,
        work.offer.deadline_s,
        has_untried=_has_untried(dispatcher, work, now_s),
    )
    verdict = retries.may_retry(dispatcher.budget, attempt, now_s)
    if verdict == Verdict.RETRY:
        answer = adm.put_back(dispatcher.admission, request_id, now_s)
        if isinstance(answer, Refusal):
            _fail(dispatcher, request_id, is_certain_not_run, verdict)
        return advance(dispatcher, now_s)
    adm.cancel(dispatcher.admission, request_id, now_s)
    # A request that may have run is charged for its prompt at least.
    used = 0 if is_certain_not_run else work.offer.prompt_tokens
    adm.settle(dispatcher.admission, request_id, used, now_s)
    _fail(dispatcher, request_id, is_certain_not_run, verdict)
    return advance(dispatcher, now_s)


def cancel(dispatcher: Dispatcher, request_id, used_tokens, now_s: float) -> list:
    """End a request that its caller abandoned; `used_tokens` is its usage so far."""
    if request_id not in dispatcher.works:
        return []
    if not adm.cancel(dispatcher.admission, request_id, now_s):
        _release_slots(dispatcher, request_id, "", now_s)
        adm.settle(dispatcher.admission, request_id, used_tokens, now_s)
    _drop(dispatcher, request_id)
    return advance(dispatcher, now_s)


def replace_stage(
    dispatcher: Dispatcher, request_id: str, endpoint: str, now_s: float, avoid=()
) -> Announcement | None:
    """Return a replacement for an endpoint that a running request has lost.

    The lost endpoint and those in `avoid` are used only if no other one has capacity:
    they may have been restarted.
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
    # An endpoint with a planned stop is replaced as planned, which is not its failure.
    release = (
        placement.record_withdrawal if lost.is_leaving else placement.record_failure
    )
    release(dispatcher.fleet, endpoint, now_s)
    placement.record_start(dispatcher.fleet, found.endpoint, now_s)
    stages = tuple(
        found.endpoint if name == endpoint else name for name in placed.stages
    )
    dispatcher.placed[request_id] = placed._replace(stages=stages)
    return found


def advance(dispatcher: Dispatcher, now_s: float) -> list:
    """Start waiting requests; call it whenever credits or shares have changed."""

    def place(request_id):
        return _place(dispatcher, request_id, now_s)

    def should_defer(request_id, waited_s):
        return _should_defer(dispatcher, request_id, waited_s, now_s)

    results = adm.release(dispatcher.admission, now_s, place, should_defer)
    for result in results:
        if isinstance(result, adm.GaveUp):
            _refuse(dispatcher, result.request_id, result.refusal)
    effects, dispatcher.effects = dispatcher.effects, []
    return effects


def tick(dispatcher: Dispatcher, now_s: float) -> list:
    """Check for silent endpoints and expired requests; call it ten times a second."""
    silent = set(placement.review(dispatcher.fleet, now_s))
    if silent:
        for request_id, placed in dispatcher.placed.items():
            for endpoint in silent.intersection(placed.stages):
                dispatcher.effects.append(Silent(request_id, endpoint))
    return advance(dispatcher, now_s)


def dump(dispatcher: Dispatcher, now_s: float) -> dict:
    """Return the state as plain data, for diagnostics."""
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
    if chain is not None or not need.exclude:
        return chain
    if _is_untried_full(dispatcher, need, service, now_s):
        # A live endpoint is only full. Repeats at one that refuses connections would
        # fail within milliseconds, and use up the attempts before a slot is free.
        return None
    # Every endpoint that can serve the request has failed it once, for example the only
    # endpoint of a service after a lost connection. Trying it again is better than
    # waiting for others.
    need = need._replace(exclude=frozenset())
    return _choose_once(dispatcher, need, service, now_s)


def _is_untried_full(dispatcher, need, service, now_s):
    """Return whether only full endpoints are left that have not failed a request."""
    if not service or not need.exclude:
        return False
    if _choose_once(dispatcher, need, service, now_s) is not None:
        return False
    return placement.has_service(dispatcher.fleet, service, need.exclude, now_s)


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
        placement.record_sent(dispatcher.fleet, chain, work.prefix)
    names = tuple(stage.endpoint for stage in chain.stages)
    dispatcher.placed[request_id] = Placed(names, chain.expected_s)
    dispatcher.effects.append(Send(request_id, chain.stages, chain.expected_s))
    return True


def _has_untried(dispatcher, work, now_s):
    tried = dispatcher.tried.get(work.offer.request_id, ())
    return bool(work.service) and placement.has_service(
        dispatcher.fleet, work.service, tried, now_s
    )


def _should_defer(dispatcher, request_id, waited_s, now_s):
    work = dispatcher.works[request_id]
    if work.service:
        # The endpoint that it waits for differs from what the others may use.
        need = _need(dispatcher, work)
        return _is_untried_full(dispatcher, need, work.service, now_s)
    if not work.prefix:
        return False
    need = _need(dispatcher, work)
    chain = placement.choose_chain(dispatcher.fleet, need, now_s)
    if chain is None:
        return False
    return placement.should_defer_for_prefix(
        dispatcher.fleet, need, chain, waited_s, now_s
    )


def _release_slots(dispatcher, request_id, endpoint, now_s):
    """Release a request's slots, record a failed endpoint; return the expected time."""
    placed = dispatcher.placed.pop(request_id)
    for name in placed.stages:
        if name == endpoint:
            placement.record_failure(dispatcher.fleet, name, now_s)
        else:
            placement.record_withdrawal(dispatcher.fleet, name, now_s)
    return placed.expected_s


def _refuse(dispatcher, request_id, refusal):
    dispatcher.effects.append(Refuse(request_id, refusal))
    _drop(dispatcher, request_id)


def _fail(dispatcher, request_id, is_certain_not_run, verdict):
    outcome = Outcome.NOT_RUN if is_certain_not_run else Outcome.UNKNOWN
    dispatcher.effects.append(Failed(request_id, outcome, verdict))
    _drop(dispatcher, request_id)


def _drop(dispatcher, request_id):
    dispatcher.works.pop(request_id, None)
    dispatcher.tried.pop(request_id, None)
