"""Views of the requests that wait and run at an entry, as plain data."""

from collections import Counter

from . import refusal
from .admission import Admission


def queued_by_model(admission: Admission) -> Counter:
    """Return the number of queued requests for each model."""
    queued = Counter()
    for flow in admission.queue.flows.values():
        queued.update(flow.counts)
    return queued


def dump_admission(admission: Admission) -> dict:
    """Return the state as plain data, for diagnostics."""
    customers = {}
    for name, own in admission.limits.items():
        flow = admission.queue.flows[name]
        customers[name] = {
            "share": own.share._asdict(),
            "retired": own.contract.retired,
            "running": own.running,
            "queued": sum(flow.counts.values()),
            "queued_tokens": sum(flow.tokens.values()),
            "token_level": own.tokens.level,
        }
    models = {
        name: {
            "running_tokens": drain.running_tokens,
            "hold_s": refusal.mean_run_s(drain),
            "customers_waiting": len(admission.queue.by_model.get(name, ())),
        }
        for name, drain in admission.drains.items()
    }
    queued = len(admission.queue.waiting)
    return {"queued": queued, "customers": customers, "models": models}
