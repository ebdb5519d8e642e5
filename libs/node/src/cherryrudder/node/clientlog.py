"""Log and count the clients that are refused or dropped before they are served."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from cherryrudder.platform import messages
from cherryrudder.relay.errors import BadRequest, NoRoom
from cherryrudder.relay.exchange import Headers
from cherryrudder.replica.clock import now_s
from cherryrudder.wire.clientshares import Bound, ClientShares

if TYPE_CHECKING:
    from .entrystate import EntryState

MAX_LOGGED_CHARACTERS = 200
# Lines about refused clients; a flood of them must leave room for other lines.
MAX_LINES_PER_S = 50


class ClientLog:
    """The refusals of one entry, and how many lines they took in this second."""

    def __init__(self, state: "EntryState"):
        self._state = state
        self._second = 0
        self._lines = 0

    def record_refused(self, error: BadRequest, headers: Headers) -> Headers:
        """Record a request that was refused before it was read.

        Its head may be unknown. Returns the headers of its refusal.
        """
        state, facts = self._state, messages.read_request(headers)
        bound = str(error.bound) if isinstance(error, NoRoom) else "limits"
        state.metrics.client_refusals.labels(bound).inc()
        if self._has_line(now_s()):
            state.sink.write(
                "clients",
                "refused",
                True,
                request_id=facts.request_id[:MAX_LOGGED_CHARACTERS],
                host=facts.host[:MAX_LOGGED_CHARACTERS],
                status=error.status,
                reason=str(error)[:MAX_LOGGED_CHARACTERS],
                bound=bound,
                version=state.version,
                confirmed_age_s=round(now_s() - state.confirmed_s, 3),
            )
        return messages.own_headers(facts.request_id)

    def record_dropped(self, bound: Bound) -> None:
        """Record a connection that was dropped, as others needed its room."""
        self._state.metrics.dropped_connections.labels(str(bound)).inc()

    def _has_line(self, now):
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S


def watch(log: ClientLog, shares: ClientShares) -> Callable[[], None]:
    """Count a listener's dropped connections; return what updates its gauges."""
    shares.on_drop = log.record_dropped
    metrics = log._state.metrics

    def update():
        metrics.client_held_bytes.set(shares.held_bytes)
        metrics.client_connections.set(len(shares.holdings))

    return update
