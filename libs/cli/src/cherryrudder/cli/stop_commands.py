"""The `stop` commands: announce, list and cancel planned stops."""

import uuid
from typing import Literal

from cherryrudder.model import jsoncodec
from cherryrudder.model.endpoints import Stop

from . import client as operator
from .output import Output, table

COLUMNS = ("stop_id", "scope", "target", "reason")


def announce(
    target: str,
    *,
    scope: Literal["endpoint", "vm", "data_centre"] = "endpoint",
    reason: str = "",
    stop_id: str = "",
):
    """Announce a planned stop: its target gets no new work from now on.

    Nothing is changed if a stop of the target is announced already.

    :param target: name of the endpoint, VM or data centre
    :param scope: what stops
    :param reason: shown with the stop
    :param stop_id: id to cancel it by, never used before; generated if not given
    """

    def run(connect):
        client = connect()
        held = _find_stop(client, scope, target)
        if held is not None and not stop_id:
            value = {"stop_id": held.stop_id, "changed": False}
            return Output(f"{held.stop_id}: announced already", value)
        # A stop id is accepted only once, so that a delayed resend of an announcement
        # cannot bring back a cancelled stop. Each announcement needs a new id.
        name = stop_id or f"{target}-{uuid.uuid4().hex[:8]}"
        answer = operator.announce_stop(client, Stop(name, scope, target, reason))
        value = {"stop_id": name, "changed": True, **answer._asdict()}
        return Output(f"{name}: announced", value)

    return run


def cancel(stop_id: str):
    """Cancel a planned stop.

    :param stop_id: the stop's id as "stop list" prints it
    """

    def run(connect):
        answer = operator.cancel_stop(connect(), stop_id)
        return Output(f"{stop_id}: cancelled", answer._asdict())

    return run


def list_stops():
    """List the planned stops."""

    def run(connect):
        held = [row.stop for row in operator.stops(connect())]
        rows = [tuple(getattr(stop, name) for name in COLUMNS) for stop in held]
        return Output(table(COLUMNS, rows), {"stops": jsoncodec.plain(held)})

    return run


COMMANDS = {"announce": announce, "list": list_stops, "cancel": cancel}


def _find_stop(client, scope, target):
    for row in operator.stops(client):
        if (row.stop.scope, row.stop.target) == (scope, target):
            return row.stop
    return None
