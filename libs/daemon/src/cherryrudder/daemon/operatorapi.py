"""The operator API of the control VMs."""

from cherryrudder.membership import table as soft
from cherryrudder.model import jsoncodec
from cherryrudder.model.contractfiles import check_contract
from cherryrudder.model.endpoints import STOP_SCOPES
from cherryrudder.model.errors import RequestError
from cherryrudder.state import machine
from cherryrudder.state.commands import (
    AnnounceStop,
    CancelStop,
    PutContract,
    PutSetting,
)
from cherryrudder.wire.asgi import Request, Routes, json_reply

from .controlapi import PROPOSE_TIMEOUT_S, VoterChange, no_quorum, unconfirmed
from .errors import ReplicaError

CHANGES = {
    "put-contract": PutContract,
    "announce-stop": AnnounceStop,
    "cancel-stop": CancelStop,
    "put-setting": PutSetting,
}
STATUS_OF_CODE = {"ok": 200, "conflict": 409, "reused": 409, "unknown": 404}


def operator_routes(control) -> Routes:
    """Return the routes for operators and their command-line tool."""
    voter = control.voter

    async def fresh_state():
        # An operator must never get state that a majority has since changed.
        try:
            await voter.wait_for_read_index(PROPOSE_TIMEOUT_S)
        except ReplicaError as error:
            raise no_quorum(error) from error
        return voter.state

    async def contracts(request):
        state = await fresh_state()
        return json_reply(
            {"revision": state.revision, "contracts": machine.list_contracts(state)}
        )

    async def stops(request):
        state = await fresh_state()
        return json_reply(
            {"revision": state.revision, "stops": list(state.stops.values())}
        )

    async def change(request: Request):
        command = read_change(await request.body())
        try:
            answer = await voter.propose(
                machine.encode_command(command), PROPOSE_TIMEOUT_S
            )
        except ReplicaError as error:
            # A resend with its id gets the answer.
            raise unconfirmed(error) from error
        answer = jsoncodec.plain(answer)
        return json_reply(answer, STATUS_OF_CODE.get(answer["code"], 400))

    async def endpoints(request):
        return json_reply({"endpoints": list(soft.live(control.table))})

    async def status(request):
        return json_reply(voter.status())

    async def voters(request):
        value = await request.json(VoterChange)
        try:
            done = await voter.change_voters(
                value.action, value.voter, PROPOSE_TIMEOUT_S
            )
        except ReplicaError as error:
            raise unconfirmed(error) from error
        if not done:
            raise RequestError(409, "refused", "the leader refused the change")
        return json_reply({"done": True})

    return {
        ("GET", "/v1/contracts"): contracts,
        ("GET", "/v1/stops"): stops,
        ("POST", "/v1/changes"): change,
        ("GET", "/v1/endpoints"): endpoints,
        ("GET", "/v1/status"): status,
        ("POST", "/v1/voters"): voters,
    }


def read_change(body: bytes):
    """Return the validated command of a change's JSON; raises RequestError 400."""
    try:
        value = jsoncodec.decode(body, dict)
        kind = CHANGES.get(value.pop("kind", ""))
        if kind is None:
            raise RequestError(400, "bad-kind", "unknown kind of change", "kind")
        command = jsoncodec.decode(jsoncodec.encode(value), kind)
    except ValueError as error:
        raise RequestError(400, "bad-change", str(error)) from error
    _check(command)
    return command


def _check(command):
    if not command.change_id:
        raise RequestError(400, "bad-change", "a change needs an id", "change_id")
    if isinstance(command, PutContract):
        faults = check_contract(command.contract)
        if faults:
            raise RequestError(400, "bad-contract", "; ".join(faults), "contract")
    if isinstance(command, AnnounceStop):
        if command.stop.scope not in STOP_SCOPES:
            message = f"not one of {', '.join(STOP_SCOPES)}"
            raise RequestError(400, "bad-stop", message, "stop.scope")
