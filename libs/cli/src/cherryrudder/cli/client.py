"""The operators' HTTP interface, for the tool and for programs of operators' own."""

import time
import uuid
from typing import NamedTuple

import httpx
import msgspec

from cherryrudder.model.contracts import Contract
from cherryrudder.model.endpoints import Announcement, Stop
from cherryrudder.model.revisions import VersionedContract, VersionedStop

from .errors import BadInput, CliError, Conflict, Failed, Unreachable
from .records import Answer, ErrorBody, Status, Voter, read_record, read_rows

# A control VM that cannot reach a majority says so after 4 s; one that has not
# answered by then is cut off or down.
ATTEMPT_TIMEOUT_S = 5.0
# Long enough for each of five addresses to time out once and for a second round to
# find the new leader.
CALL_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.3
KEY_REFUSED_STATUSES = (httpx.codes.UNAUTHORIZED, httpx.codes.FORBIDDEN)


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
        call_timeout_s: float = CALL_TIMEOUT_S,
    ):
        self.addresses = list(addresses)
        self.clock = clock
        self.sleep = sleep
        self.call_timeout_s = call_timeout_s
        self.http = httpx.Client(
            headers={"Authorization": f"Bearer {key}"},
            timeout=ATTEMPT_TIMEOUT_S,
            transport=transport,
            trust_env=False,
        )


class Attempt(NamedTuple):
    """One control VM's answer, or why there is none and whether it may have acted."""

    answer: httpx.Response | None
    fault: str = ""
    may_have_acted: bool = False


def call(client: Client, method: str, path: str, body=None) -> httpx.Response:
    """Return the first answer that a control VM gives, trying each in turn.

    The very same body goes to the next one after a timeout; that is safe because a
    change carries its id, and the platform answers a known id with its first answer.

    Raises Unreachable when no answer came in time.
    """
    content = None if body is None else msgspec.json.encode(body)
    deadline_s = client.clock() + client.call_timeout_s
    faults, may_have_acted = {}, False
    while True:
        for address in list(client.addresses):
            attempt = _attempt(client, address, method, path, content)
            may_have_acted = may_have_acted or attempt.may_have_acted
            if attempt.answer is not None:
                # Others may be down; the next call starts where this one ended.
                client.addresses.remove(address)
                client.addresses.insert(0, address)
                return attempt.answer
            faults[address] = attempt.fault
            if client.clock() >= deadline_s:
                raise Unreachable(faults, may_have_acted)
        client.sleep(RETRY_DELAY_S)


def get(client: Client, path: str):
    """Return the JSON that a path gives."""
    return _decode_answer(call(client, "GET", path))


def post(client: Client, path: str):
    """Send an order without a body; return the JSON that it gives."""
    return _decode_answer(call(client, "POST", path))


def contracts(client: Client) -> dict[str, VersionedContract]:
    """Return every contract by customer."""
    rows = read_rows(VersionedContract, get(client, "/v1/contracts"), "contracts")
    return {row.contract.customer: row for row in rows}


def stops(client: Client) -> list[VersionedStop]:
    """Return the planned stops."""
    return read_rows(VersionedStop, get(client, "/v1/stops"), "stops")


def statuses(client: Client) -> dict[str, Status | str]:
    """Return each control VM's status by address, or why it gave none."""
    return _query_all(client, "/v1/status", lambda value: read_record(Status, value))


def endpoints(client: Client) -> tuple[list[Announcement], dict[str, str]]:
    """Return the announced endpoints, and the control VMs that gave no answer.

    An endpoint announces itself to some control VMs only, so that one of them knows
    a part of them all. Raises Unreachable if none answers.
    """
    found = _query_all(
        client,
        "/v1/endpoints",
        lambda value: read_rows(Announcement, value, "endpoints"),
    )
    silent = {at: rows for at, rows in found.items() if isinstance(rows, str)}
    if len(silent) == len(found):
        raise Unreachable(silent, False)
    newest = {}
    for rows in found.values():
        for row in () if isinstance(rows, str) else rows:
            known = newest.get(row.endpoint, row)
            newest[row.endpoint] = max(known, row, key=_recency)
    return [newest[name] for name in sorted(newest)], silent


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
    """Announce a planned stop; an id that was cancelled raises Conflict."""
    return change(client, "announce-stop", stop=stop._asdict())


def cancel_stop(client: Client, stop_id: str) -> Answer:
    """Take a planned stop back; raises BadInput if there is none of that id."""
    return change(client, "cancel-stop", stop_id=stop_id)


def change(client: Client, kind: str, **fields) -> Answer:
    """Send one change under an id of its own and return the platform's answer."""
    body = {"kind": kind, "change_id": uuid.uuid4().hex, **fields}
    answer = read_record(
        Answer, _decode_answer(call(client, "POST", "/v1/changes", body))
    )
    if answer.code == "ok":
        return answer
    message = answer.message or answer.code
    if answer.code == "conflict":
        raise Conflict(message)
    if answer.code in ("invalid", "unknown"):
        raise BadInput(message)
    raise Failed(message)


def change_voters(client: Client, action: str, voter: Voter) -> None:
    """Add a learner, promote it or remove a voter; raises Conflict if refused.

    The platform refuses while another change of voters is under way, for a learner
    that lags, and for a set that would be left without a majority at work.
    """
    body = {"action": action, "voter": voter._asdict()}
    _decode_answer(call(client, "POST", "/v1/voters", body))


def _recency(announcement):
    # An incarnation begins with the time of its process's start.
    return announcement.incarnation, announcement.sequence


def _query_all(client, path, read):
    """Return what each control VM says by address, or as text why it says nothing."""
    found = {}
    for address in client.addresses:
        attempt = _attempt(client, address, "GET", path, None)
        if attempt.answer is None:
            found[address] = attempt.fault
            continue
        try:
            found[address] = read(_decode_answer(attempt.answer))
        except CliError as error:
            found[address] = str(error)
    return found


def _attempt(client, address, method, path, content):
    changes = method != "GET"
    url = f"http://{address}{path}"
    try:
        answer = client.http.request(method, url, content=content)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        return Attempt(None, f"no connection ({error})")
    except httpx.TransportError as error:
        return Attempt(None, f"no answer ({type(error).__name__})", changes)
    if answer.is_server_error:
        fault = f"{answer.status_code} {answer.text[:200]}"
        return Attempt(None, fault, changes)
    return Attempt(answer)


def _decode_answer(answer):
    """Return the JSON of an answer, or raise the error that it tells."""
    try:
        value = msgspec.json.decode(answer.content)
    except msgspec.DecodeError as error:
        raise Failed(f"not JSON: {answer.text[:200]!r}") from error
    if answer.is_success or (isinstance(value, dict) and "code" in value):
        return value
    if not isinstance(value, dict) or "error" not in value:
        raise Failed(f"{answer.status_code} {answer.text[:200]}")
    error = read_record(ErrorBody, value["error"])
    message = f"{error.field}: {error.message}" if error.field else error.message
    if answer.status_code in KEY_REFUSED_STATUSES:
        raise Failed(f"the operator key was refused: {message}")
    if answer.status_code == httpx.codes.CONFLICT:
        raise Conflict(message)
    raise BadInput(message)
