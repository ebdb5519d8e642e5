"""The operators' HTTP interface, for the tool and for programs of operators' own."""

import time
import uuid

import httpx
import msgspec

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Stop

from .errors import BadInput, Conflict, Failed, Unreachable
from .records import Answer, VersionedContract, Voter, read_contracts, read_record

# A change is committed within milliseconds and an election lasts some two seconds; a
# control VM that has not answered by then is cut off or down.
ATTEMPT_TIMEOUT_S = 3.0
# Long enough for every one of five addresses to time out once and a second round to
# find the new leader.
PATIENCE_S = 20.0
PAUSE_S = 0.3


class Client:
    """Connections to the control VMs' operator listeners.

    The clock and the pause are arguments, so that tests need not wait.
    """

    def __init__(
        self,
        addresses: list[str],
        key: str,
        transport: httpx.BaseTransport | None = None,
        clock=time.monotonic,
        sleep=time.sleep,
    ):
        self.addresses = list(addresses)
        self.clock = clock
        self.sleep = sleep
        self.http = httpx.Client(
            headers={"Authorization": f"Bearer {key}"},
            timeout=ATTEMPT_TIMEOUT_S,
            transport=transport,
            trust_env=False,
        )


def call(client: Client, method: str, path: str, body=None) -> httpx.Response:
    """Return the first answer that a control VM gives, trying each in turn.

    The very same body goes to the next one after a timeout; that is safe because a
    change carries its id, and the platform answers a known id with its first answer.

    Raises Unreachable when no answer came in time.
    """
    content = None if body is None else msgspec.json.encode(body)
    give_up_s = client.clock() + PATIENCE_S
    faults, sent = {}, False
    while True:
        for address in list(client.addresses):
            answer, fault, acted = _attempt(client, address, method, path, content)
            sent = sent or acted
            if answer is not None:
                # Others may be down; the next call starts where this one ended.
                client.addresses.remove(address)
                client.addresses.insert(0, address)
                return answer
            faults[address] = fault
            if client.clock() >= give_up_s:
                raise Unreachable(faults, sent)
        client.sleep(PAUSE_S)


def get(client: Client, path: str):
    """Return the JSON that a path gives."""
    return _value(call(client, "GET", path))


def contracts(client: Client) -> dict[str, VersionedContract]:
    """Return every contract by customer."""
    return read_contracts(get(client, "/v1/contracts"))


def put_contract(client: Client, contract: Contract, expected_version: int) -> Answer:
    """Create (`expected_version` 0) or change a contract.

    Raises Conflict if the contract has another version by now, BadInput if the
    platform finds it invalid.
    """
    return change(
        client,
        "put-contract",
        expected_version=expected_version,
        contract=contract._asdict(),
    )


def announce_stop(client: Client, stop: Stop) -> Answer:
    """Announce a planned stop."""
    return change(client, "announce-stop", stop=stop._asdict())


def cancel_stop(client: Client, stop_id: str) -> Answer:
    """Take a planned stop back."""
    return change(client, "cancel-stop", stop_id=stop_id)


def change(client: Client, kind: str, **fields) -> Answer:
    """Send one change under an id of its own and return the platform's answer."""
    body = {"kind": kind, "change_id": uuid.uuid4().hex, **fields}
    return _answer(call(client, "POST", "/v1/changes", body))


def change_voters(client: Client, action: str, voter: Voter) -> Answer:
    """Add a learner, promote it or remove a voter."""
    body = {"action": action, "voter": voter._asdict()}
    return _answer(call(client, "POST", "/v1/voters", body))


def _attempt(client, address, method, path, content):
    """Return an answer or None, the fault, and whether a VM may have acted."""
    changes = method != "GET"
    url = f"http://{address}{path}"
    try:
        answer = client.http.request(method, url, content=content)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        return None, f"no connection ({error})", False
    except httpx.TransportError as error:
        return None, f"no answer ({type(error).__name__})", changes
    if answer.is_server_error:
        return None, f"{answer.status_code} {answer.text[:200]}", changes
    return answer, "", changes


def _value(answer):
    if answer.status_code in (httpx.codes.UNAUTHORIZED, httpx.codes.FORBIDDEN):
        raise Failed("the operator key was refused")
    try:
        value = msgspec.json.decode(answer.content)
    except msgspec.DecodeError as error:
        raise Failed(f"not JSON: {answer.text[:200]!r}") from error
    if answer.is_success or (isinstance(value, dict) and "code" in value):
        return value
    raise Failed(f"{answer.status_code} {answer.text[:200]}")


def _answer(answer):
    result = read_record(Answer, _value(answer))
    if result.code == "ok":
        return result
    if result.code == "conflict":
        raise Conflict(result.message or "conflict")
    if result.code == "invalid":
        raise BadInput(result.message or "invalid")
    raise Failed(f"{result.code}: {result.message}")
