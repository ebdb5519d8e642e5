"""The internal API of the control VMs, for entries and sidecars."""

from typing import NamedTuple

from cherryrudder.membership import table as soft
from cherryrudder.model.endpoints import Announcement
from cherryrudder.model.errors import RequestError
from cherryrudder.quorum import events
from cherryrudder.state import machine
from cherryrudder.state.commands import CloseClaim, OpenClaim, TakeFence
from cherryrudder.wire.asgi import Routes, json_reply

from .clock import now_s
from .errors import ReplicaError

PROPOSE_TIMEOUT_S = 4.0
MAX_WATCH_S = 30.0
MAY_BE_ACCEPTED = "the change may still be accepted"


class Announce(NamedTuple):
    """An announcement of a sidecar or entry, with the length of its lease."""

    announcement: Announcement
    lease_s: float


def no_quorum(error: ReplicaError) -> RequestError:
    """Return the error of a control VM without a majority or a voter."""
    return RequestError(503, "no-quorum", str(error))


def unconfirmed(error: ReplicaError) -> RequestError:
    """Return the error of a change whose outcome is not known."""
    return RequestError(503, "no-quorum", f"{error}; {MAY_BE_ACCEPTED}")


def internal_routes(control) -> Routes:
    """Return the routes for entries and sidecars."""
    voter = control.voter

    def command_route(kind):
        async def run(request):
            command = await request.json(kind)
            payload = machine.encode_command(command)
            try:
                return json_reply(await voter.propose(payload, PROPOSE_TIMEOUT_S))
            except ReplicaError as error:
                raise unconfirmed(error) from error

        return run

    async def find_claim(request):
        query = request.query
        try:
            await voter.wait_for_read_index(PROPOSE_TIMEOUT_S)
        except ReplicaError as error:
            raise no_quorum(error) from error
        claim = machine.find_claim(
            voter.state, query.get("customer", ""), query.get("key", "")
        )
        return json_reply({"claim": claim})

    async def fence(request):
        try:
            await voter.wait_for_read_index(PROPOSE_TIMEOUT_S)
        except ReplicaError as error:
            raise no_quorum(error) from error
        endpoint = request.query.get("endpoint", "")
        return json_reply({"fence": machine.fence_of(voter.state, endpoint)})

    async def announce(request):
        value = await request.json(Announce)
        version = control.table.version
        announced = soft.announce(
            control.table, value.announcement, value.lease_s, now_s()
        )
        if control.table.version != version:
            control.watches.wake()
        return json_reply(announced)

    async def watch(request):
        wait_s = min(MAX_WATCH_S, request.number("wait_s", 10.0))
        fresh = request.query.get("fresh") == "1"
        try:
            answer = await control.watches.watch(request.query, wait_s, fresh)
        except ReplicaError as error:
            raise no_quorum(error) from error
        return json_reply(answer)

    return {
        ("POST", "/v1/claims/open"): command_route(OpenClaim),
        ("POST", "/v1/claims/close"): command_route(CloseClaim),
        ("GET", "/v1/claims"): find_claim,
        ("POST", "/v1/fences"): command_route(TakeFence),
        ("GET", "/v1/fences"): fence,
        ("POST", "/v1/announce"): announce,
        ("GET", "/v1/watch"): watch,
    }


class VoterChange(NamedTuple):
    """A change of the voters by one member."""

    action: str
    voter: events.Voter
