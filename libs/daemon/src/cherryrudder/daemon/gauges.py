"""The statsd metrics of each role: counters on events, gauges every 10 s."""

from collections.abc import Callable

import anyio

from cherryrudder.model import jsoncodec
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome
from cherryrudder.wire.asgi import Handler, Reply, Request

from .callers import OUTCOME_HEADER

# The default flush interval of statsd servers; more frequent values are discarded.
SEND_INTERVAL_S = 10.0

Gauges = dict[str, float]


def start(process, read: Callable[[], Gauges]) -> None:
    """Send the gauges that `read` returns every 10 s."""
    process.group.start_soon(_send_periodically, process.metrics, read)


def counted(metrics, handle: Handler) -> Handler:
    """Return a handler whose replies are counted by outcome and error code.

    A stream counts its own outcome, which is known only at its end.
    """

    async def run(request: Request):
        try:
            reply = await handle(request)
        except RequestError as error:
            metrics.incr(f"refused.{error.code}")
            raise
        except Exception:
            metrics.incr("failed.internal")
            raise
        if isinstance(reply, Reply):
            _count(metrics, reply)
        return reply

    return run


def entry_gauges(entry) -> Gauges:
    """Return the gauges of an entry."""
    return {
        "queued": len(entry.requests.admission.queue.waiting),
        "in_flight": entry.in_flight(),
    }


def sidecar_gauges(sidecar) -> Gauges:
    """Return the gauges of a sidecar; the step time of a service is 0."""
    step_ms = sidecar.host.credits.step_s * 1000
    return {"in_flight": sidecar.host.in_flight(), "step_ms": step_ms}


def control_gauges(metrics, control) -> Callable[[], Gauges]:
    """Return a function that reads a control VM's gauges and counts its log's progress.

    Commits before the first reading are not counted: a restarted control VM applies
    its whole log again, which would look like a burst of commits.
    """
    last = {}

    def read() -> Gauges:
        status = control.voter.status()
        for name, key in (("term_changes", "term"), ("commits", "commit")):
            grown = status[key] - last.get(key, status[key])
            if grown > 0:
                metrics.incr(name, grown)
            last[key] = status[key]
        return {
            "term": status["term"],
            "is_leader": int(status["role"] == "leader"),
            "watchers": control.watches.count,
            "claims": len(control.voter.state.claims),
        }

    return read


def send(metrics, values: Gauges) -> None:
    """Send gauges to statsd."""
    for name, value in values.items():
        metrics.gauge(name, value)


async def _send_periodically(metrics, read):
    while True:
        await anyio.sleep(SEND_INTERVAL_S)
        send(metrics, read())


def _count(metrics, reply):
    outcome = dict(reply.headers).get(OUTCOME_HEADER)
    metrics.incr(f"outcome.{outcome}")
    # A service's own answer counts as done, whatever its status. Only requests that
    # were refused or have failed in this process have an error code.
    if outcome == Outcome.DONE:
        return
    kind = "refused" if outcome == Outcome.NOT_RUN else "failed"
    code = jsoncodec.decode(reply.body, dict)["error"]["code"]
    metrics.incr(f"{kind}.{code}")
