"""The metrics of admission, placement and retries, by name.

They show an operator on one page which requests wait or are refused, and why. If each
process picked them from the internal state, they would have several names, and break
when that state changes.
"""

from . import ejection, refusal
from .dispatch import Dispatcher


def gauges(dispatcher: Dispatcher, now_s: float) -> dict[str, float]:
    """Return the current values; the names are dotted, as in statsd."""
    found = {
        "queue.length": len(dispatcher.admission.queue.waiting),
        "requests.running": len(dispatcher.admission.running),
        "retries.saved": dispatcher.budget.saved,
    }
    _add_customers(found, dispatcher.admission)
    _add_models(found, dispatcher.admission, now_s)
    _add_endpoints(found, dispatcher.fleet, now_s)
    return found


def _add_customers(found, admission):
    for customer, own in admission.limits.items():
        flow = admission.queue.flows[customer]
        name = f"customers.{customer}"
        found[f"{name}.queued"] = sum(flow.counts.values())
        found[f"{name}.running"] = own.running
        found[f"{name}.share_tokens_per_s"] = own.share.tokens_per_s
        found[f"{name}.offered_tokens_per_s"] = own.offered_tokens


def _add_models(found, admission, now_s):
    for model, drain in admission.drains.items():
        rate = refusal.drain_rate(drain, now_s)
        found[f"models.{model}.running_tokens"] = drain.running_tokens
        found[f"models.{model}.is_full"] = float(drain.blocked_since_s is not None)
        if rate is not None:
            found[f"models.{model}.drain_tokens_per_s"] = rate


def _add_endpoints(found, fleet, now_s):
    members = fleet.members.values()
    found["endpoints.known"] = len(fleet.members)
    found["endpoints.leaving"] = sum(member.is_leaving for member in members)
    found["endpoints.ejected"] = sum(
        ejection.is_ejected(member.health, now_s) for member in members
    )
    found["endpoints.probing"] = sum(
        ejection.is_probing(member.health) for member in members
    )
    found["endpoints.in_flight"] = sum(member.in_flight for member in members)
    found["endpoints.credits"] = sum(member.credits for member in members)
