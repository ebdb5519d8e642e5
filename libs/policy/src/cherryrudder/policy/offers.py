"""Requests that are offered to admission, and the results of an offer."""

from typing import NamedTuple

from cherryrudder.model.outcomes import Refusal

from .cost import Estimate


class Offer(NamedTuple):
    """A request to be admitted; priority 0 is the most urgent."""

    request_id: str
    customer: str
    model: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    deadline_s: float


class Admitted(NamedTuple):
    """The request has started: place it now, or call `put_back`."""

    cost_tokens: float


class Queued(NamedTuple):
    """The request waits; `release` later starts it or gives it up."""

    wait_s: float


class Started(NamedTuple):
    """A queued request that has been placed."""

    request_id: str
    waited_s: float


class GaveUp(NamedTuple):
    """A queued request that was given up and did not run."""

    request_id: str
    refusal: Refusal


class Running(NamedTuple):
    """A started request, kept until it is settled."""

    offer: Offer
    cost: Estimate
    arrived_s: float
    started_s: float
    is_cancelled: bool = False
