"""Builders of test data for the policy's tests."""

from cherryrudder.model.contracts import Contract
from cherryrudder.policy.admission import Admission, Offer, set_contract


def a_contract(customer="petra", **changes):
    """Return a contract for 10 requests and 1000 tokens a second."""
    contract = Contract(
        customer=customer,
        key_sha256="0" * 64,
        models=("briefing",),
        services=("slots",),
        requests_per_s=10.0,
        tokens_per_s=1000.0,
        concurrent_requests=8,
        max_wait_s=4.0,
    )
    return contract._replace(**changes)


def an_offer(request_id, customer="petra", **changes):
    """Return an offer of 50 prompt and at most 100 answer tokens."""
    asked = Offer(request_id, customer, "briefing", 50, 100, 0, 1e6)
    return asked._replace(**changes)


def an_admission(*contracts, max_queued=1000):
    """Return an admission with these contracts whole at this entry, at time 0."""
    admission = Admission(max_queued)
    for contract in contracts or (a_contract(),):
        set_contract(admission, contract, 1.0, 0.0)
    return admission
