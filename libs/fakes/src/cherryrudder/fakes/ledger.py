"""The ledger of an engine: a record of every layer run, call and order, for tests."""

from collections import Counter


class Ledger:
    """Record of an engine's work; positions taken from the cache count as `reused`."""

    def __init__(self):
        self.runs = Counter()
        self.reused = Counter()
        self.calls = []
        self.orders = []


def record_run(ledger: Ledger, request: str, layer: int, position: int):
    """Record that a layer computed a position of a request."""
    ledger.runs[request, layer, position] += 1


def record_reuse(ledger: Ledger, request: str, layer: int, position: int):
    """Record that a position was taken from the prefix cache."""
    ledger.reused[request, layer, position] += 1


def record_call(ledger: Ledger, call: str, requests: list[str], now_s: float):
    """Record a call and the requests that it was for."""
    ledger.calls.append({"call": call, "requests": requests, "at_s": now_s})


def record_order(ledger: Ledger, order: dict, accepted: bool):
    """Record an order and whether the engine accepted it."""
    ledger.orders.append({**order, "accepted": accepted})


def report(ledger: Ledger, request: str | None = None) -> dict:
    """Return the ledger, or one request's part of it, as plain data."""
    keys = sorted(ledger.runs.keys() | ledger.reused.keys())
    runs = [
        {
            "request": name,
            "layer": layer,
            "position": position,
            "times": ledger.runs[name, layer, position],
            "reused": ledger.reused[name, layer, position],
        }
        for name, layer, position in keys
        if request in (None, name)
    ]
    calls = [c for c in ledger.calls if request is None or request in c["requests"]]
    return {"runs": runs, "calls": calls, "orders": list(ledger.orders)}
