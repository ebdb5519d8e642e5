"""Command line of the stand-in plain service: `python -m cherryrudder.fakes.service`.

It has a ledger of its filings and calls, and faults that a test can set.
"""

import functools
import os

import anyio
import defopt

from .asgi import Call, Reply, json_object, make_app, route, serve_until_signal
from .faults import ServiceFaults
from .fields import merge
from .freeze import Freeze, set_freeze, wait_until_thawed

DIED = 70


class Service:
    """State of a service: its filings, calls and faults."""

    def __init__(self, name: str):
        self.name = name
        self.filings = []
        self.calls = []
        self.faults = ServiceFaults()
        self.freeze = Freeze()


def record_filing(service: Service, text: str, key: str) -> dict:
    """Record a filing in the ledger and return it with its receipt."""
    receipt = f"{service.name}-{len(service.filings) + 1}"
    service.filings.append({"receipt": receipt, "text": text, "key": key})
    return {"receipt": receipt, "text": text}


async def answer(service: Service, call: Call) -> Reply | None:
    """Answer any call; a POST to a path that ends in /filings is a filing."""
    await wait_until_thawed(service.freeze)
    faults = service.faults
    key = call.headers.get("idempotency-key", "")
    service.calls.append({"method": call.method, "path": call.path, "key": key})
    if faults.delay_s:
        await anyio.sleep(faults.delay_s)
    if faults.fail > 0:
        service.faults = service.faults._replace(fail=faults.fail - 1)
        return Reply(500, {"error": "failed"})
    reply = Reply(200, {"service": service.name, "path": call.path})
    if call.method == "POST" and call.path.endswith("/filings"):
        reply = Reply(200, record_filing(service, json_object(call)["text"], key))
    # The filing is already in the ledger: the answer is lost, not the call.
    if service.faults.drop_answers > 0:
        left = service.faults.drop_answers - 1
        service.faults = service.faults._replace(drop_answers=left)
        return None
    await wait_until_thawed(service.freeze)
    return reply


async def get_ledger(service: Service, call: Call) -> Reply:
    """Answer with all filings and calls."""
    return Reply(200, {"filings": service.filings, "calls": service.calls})


async def set_faults(service: Service, call: Call) -> Reply:
    """Set the faults named in the body; `freeze_s` counts from now."""
    changes = json_object(call)
    service.faults = merge(service.faults, changes)
    if "freeze_s" in changes:
        set_freeze(service.freeze, service.faults.freeze_s)
    return Reply(200, service.faults._asdict())


def service_app(service: Service):
    """Return the service's ASGI app."""
    routes = {
        ("GET", "/ledger"): functools.partial(get_ledger, service),
        ("POST", "/faults"): functools.partial(set_faults, service),
    }
    handler = route(routes, functools.partial(answer, service))
    return make_app(handler, lambda: service.faults.die and os._exit(DIED))


def main(*, listen: str, name: str = "filings"):
    """Run a stand-in plain service until SIGTERM.

    :param listen: IP:PORT to listen on
    :param name: prefix of each receipt
    """
    anyio.run(serve_until_signal, service_app(Service(name)), listen)


if __name__ == "__main__":
    defopt.run(main)
