"""A client of the control VMs' operator API, for this tool and operators' programs."""

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

# A control VM that cannot reach a majority returns an error after 4 s; one that has not
# answered by then is cut off or down.
ATTEMPT_TIMEOUT_S = 5.0
# Long enough for each of five addresses to time out once and for a second round of
# attempts to reach the new leader.
CALL_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.3
KEY_REFUSED_STATUSES = (httpx.codes.UNAUTHORIZED, httpx.codes.FORBIDDEN)


class Client:
    """Connections to the control VMs' operator listeners.

    `clock` and `sleep` are arguments so that tests run without real waiting.
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
    """A control VM's answer, or the fault and whether the request may have run."""

    answer: httpx.Response | None
    fault: str = ""
    may_have_acted: bool = False


def call(client: Client, method: str, path: str, body=None) -> httpx.Response:
    """Try the control VMs in turn and return the first answer.

    The same body is sent to the next control VM after a timeout. That is safe because a
    change carries an id, and the platform returns the first answer for a known id.

    Raises Unreachable if no answer arrives in time.
    """
    content = None if body is None else msgspec.json.encode(body)
    deadline_s = client.clock() + client.call_timeout_s
    faults, may_have_acted = {}, False
    while True:
        for address in list(client.addresses):
            attempt = _attempt(client, address, method, path, content)
            may_have_acted = may_have_acted or attempt.may_have_acted
            if attempt.answer is not None:
                # Others may be down, so the next call starts with this address.
                client.addresses.remove(address)
                client.addresses.insert(0, address)
                return attempt.answer
            faults[address] = attempt.fault
            if client.clock() >= deadline_s:
                raise Unreachable(faults, may_have_acted)
        client.sleep(RETRY_DELAY_S)


def get(client: Client, path: str):
    """Send a GET request and return the decoded JSON."""
    return _decode_answer(call(client, "GET", path))


def post(client: Client, path: str):
    """Send a POST request without a body and return the decoded JSON."""
    return _decode_answer(call(client, "POST", path))


def contracts(client: Client) -> dict[str, VersionedContract]:
    """Return all contracts, by customer."""
    rows = read_rows(VersionedContract, get(client, "/v1/contracts"), "contracts")
    return {row.contract.customer: row for row in rows}


def stops(client: Client) -> list[VersionedStop]:
    """Return the planned stops."""
    return read_rows(VersionedStop, get(client, "/v1/stops"), "stops")


def statuses(client: Client) -> dict[str, Status | str]:
    """Return each control VM's status, or its fault as text, by address."""
    return _query_all(client, "/v1/status", lambda value: read_record(Status, value))


def endpoints(client: Client) -> tuple[list[Announcement], dict[str, str]]:
    """Return the announced endpoints, and the faults of control VMs without an answer.

    An endpoint announces itself to some of the control VMs only, so the lists of all
    are merged. Raises Unreachable if none answers.
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

    Raises Conflict if the contract's version is not `expected_version`, BadInput if the
    platform rejects the contract as invalid.
    """
    return change(
        client,
        "put-contract",
        expected_version=expected_version,
        contract=contract._asdict(),
    )


def announce_stop(client: Client, stop: Stop) -> Answer:
    """Announce a planned stop; raises Conflict if its id was cancelled before."""
    return change(client, "announce-stop", stop=stop._asdict())


def cancel_stop(client: Client, stop_id: str) -> Answer:
    """Cancel a planned stop; raises BadInput if there is none with that id."""
    return change(client, "cancel-stop", stop_id=stop_id)


def change(client: Client, kind: str, **fields) -> Answer:
    """Send one change under a new change id and return the platform's answer."""
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

    The platform refuses a change while another change of voters is in progress, the
    promotion of a learner that lags, and a set of voters without a working majority.
    """
    body = {"action": action, "voter": voter._asdict()}
    _decode_answer(call(client, "POST", "/v1/voters", body))


def _recency(announcement):
    # An incarnation starts with the time at which its process was started.
    return announcement.incarnation, announcement.sequence


def _query_all(client, path, read):
    """Query every control VM; return each result, or the fault as text, by address."""
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
    may_have_acted = method != "GET"
    url = f"http://{address}{path}"
    try:
        answer = client.http.request(method, url, content=content)
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        return Attempt(None, f"no connection ({error})")
    except httpx.TransportError as error:
        return Attempt(None, f"no answer ({type(error).__name__})", may_have_acted)
    if answer.is_server_error:
        fault = f"{answer.status_code} {answer.text[:200]}"
        return Attempt(None, fault, may_have_acted)
    return Attempt(answer)


def _decode_answer(answer):
    """Return the JSON of an answer; raises the matching CliError for an error."""
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
