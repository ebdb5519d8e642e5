"""The commands on planned stops, control VMs, endpoints and state."""

from typing import Literal

from cherryrudder.model.endpoints import Stop

from . import client as operator
from .client import Client, change_voters
from .errors import Conflict
from .output import Output, key_values, pretty, table
from .records import Voter, read_rows

# A learner has caught up once its log is within reach of the leader's; a snapshot of
# the state is some megabytes, so a minute is ample and a longer wait means a fault.
CATCH_UP_S = 60.0
ASK_AGAIN_S = 1.0
STOP_COLUMNS = ("stop_id", "scope", "target", "reason")
ENDPOINT_COLUMNS = ("endpoint", "kind", "vm", "data_centre", "serves", "state")


def announce(
    scope: Literal["endpoint", "vm", "data_centre"],
    target: str,
    *,
    reason: str = "",
    stop_id: str = "",
):
    """Announce a planned stop: what it names gets no new work from now on.

    :param scope: what stops
    :param target: name of the endpoint, VM or data centre
    :param reason: shown with the stop
    :param stop_id: name to cancel it by; SCOPE-TARGET if not given
    """
    stop = Stop(stop_id or f"{scope}-{target}", scope, target, reason)

    def run(connect):
        answer = operator.announce_stop(connect(), stop)
        return Output(f"{stop.stop_id}: announced", answer._asdict())

    return run


def cancel(stop_id: str):
    """Take a planned stop back.

    :param stop_id: the stop's name as "stop list" prints it
    """

    def run(connect):
        answer = operator.cancel_stop(connect(), stop_id)
        return Output(f"{stop_id}: cancelled", answer._asdict())

    return run


def list_stops():
    """List the planned stops."""

    def run(connect):
        value = operator.get(connect(), "/v1/stops")
        rows = [
            tuple(stop.get(column, "") for column in STOP_COLUMNS)
            for stop in read_rows(value, "stops")
        ]
        return Output(table(STOP_COLUMNS, rows), value)

    return run


def status():
    """Show the control VMs: role, leader, log and voters."""

    def run(connect):
        value = operator.get(connect(), "/v1/status")
        return Output(key_values(value), value)

    return run


def replace(
    old_vm: str,
    old_disk_id: str,
    new_vm: str,
    new_disk_id: str,
    new_address: str,
):
    """Put a new control VM in the place of a lost one.

    The new one first joins without a vote and catches up. Run it again if it was
    interrupted; steps that are done are passed over.

    :param old_vm: VM whose disk is lost
    :param old_disk_id: the lost disk, as "control status" prints it
    :param new_vm: VM that takes its place; it may have the same name
    :param new_disk_id: the new disk, as "cherryrudderd --join" printed it
    :param new_address: internal address of the new one, IP:PORT
    """
    old = Voter(old_vm, old_disk_id, "")
    new = Voter(new_vm, new_disk_id, new_address)

    def run(connect):
        client = connect()
        change_voters(client, "add-learner", new)
        promote(client, new)
        # The lost voter goes last. With it gone first, two of three voters would be
        # left, and a fault of either would stop all changes until the new one is in.
        answer = change_voters(client, "remove", old)
        text = f"{new_vm}/{new_disk_id} votes in place of {old_vm}/{old_disk_id}"
        return Output(text, answer._asdict())

    return run


def promote(client: Client, voter: Voter):
    """Make a learner a voter as soon as it has caught up.

    The platform refuses one that lags, since its vote would count towards a majority
    that does not hold every accepted change. Raises Conflict after CATCH_UP_S.
    """
    give_up_s = client.clock() + CATCH_UP_S
    while True:
        try:
            return change_voters(client, "promote", voter)
        except Conflict:
            if client.clock() >= give_up_s:
                raise
        client.sleep(ASK_AGAIN_S)


def endpoints():
    """List the endpoints that announce themselves."""

    def run(connect):
        value = operator.get(connect(), "/v1/endpoints")
        rows = [_endpoint_row(endpoint) for endpoint in read_rows(value, "endpoints")]
        return Output(table(ENDPOINT_COLUMNS, sorted(rows)), value)

    return run


def dump(address: str):
    """Print the state of one process.

    :param address: its operator or internal listener, IP:PORT
    """

    def run(connect):
        client = connect([address])
        value = operator.get(client, "/v1/dump")
        return Output(pretty(value), value)

    return run


STOP_COMMANDS = {"announce": announce, "list": list_stops, "cancel": cancel}
CONTROL_COMMANDS = {"status": status, "replace": replace}


def _endpoint_row(endpoint):
    place = endpoint.get("place", {})
    serves = endpoint.get("service") or "{} {} [{}, {})".format(
        endpoint.get("model", ""),
        endpoint.get("version", ""),
        endpoint.get("first_layer", 0),
        endpoint.get("end_layer", 0),
    )
    state = "leaving" if endpoint.get("leaving") else "serving"
    names = (endpoint.get("endpoint", ""), endpoint.get("kind", ""))
    return (*names, place.get("vm", ""), place.get("data_centre", ""), serves, state)
