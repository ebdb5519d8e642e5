"""What each role tells statsd: counts as things happen, gauges every ten seconds."""

from collections.abc import Callable

import anyio

from cherryrudder.model import jsoncodec
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome
from cherryrudder.wire.asgi import Handler, Reply, Request

from .callers import OUTCOME

# As often as statsd servers flush by default: more would be thrown away.
EVERY_S = 10.0

Gauges = dict[str, float]


def start(process, read: Callable[[], Gauges]) -> None:
    """Send what `read` gives every ten seconds."""
    process.group.start_soon(_send_often, process.metrics, read)


def counted(metrics, handle: Handler) -> Handler:
    """Return a handler whose whole answers are counted by outcome and error code.

    A stream counts its own outcome, which is known at its end only.
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
        "queued": len(entry.door.admission.queue.waiting),
        "in_flight": entry.in_flight(),
    }


def sidecar_gauges(sidecar) -> Gauges:
    """Return the gauges of a sidecar; a service has no steps."""
    step_ms = sidecar.host.desk.step_s * 1000
    return {"in_flight": sidecar.host.in_flight(), "step_ms": step_ms}


def control_gauges(metrics, control) -> Callable[[], Gauges]:
    """Return a reader of a control VM's gauges, which also counts its log's progress.

    What the log took in before the first reading is not counted: a restarted control
    VM applies its whole log again, and no such burst of commits has happened.
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
    """Send gauges."""
    for name, value in values.items():
        metrics.gauge(name, value)


async def _send_often(metrics, read):
    while True:
        await anyio.sleep(EVERY_S)
        send(metrics, read())


def _count(metrics, reply):
    outcome = dict(reply.headers).get(OUTCOME)
    metrics.incr(f"outcome.{outcome}")
    # The answer of a service is its own, whatever its status; only what was refused
    # or has failed here has a code of ours.
    if outcome == Outcome.DONE:
        return
    kind = "refused" if outcome == Outcome.NOT_RUN else "failed"
    code = jsoncodec.decode(reply.body, dict)["error"]["code"]
    metrics.incr(f"{kind}.{code}")
