"""The commands that show what the platform holds at this moment."""

from cherryrudder.model import jsoncodec
from cherryrudder.model.endpoints import Announcement, Kind

from . import client as operator
from .output import Output, pretty, table
from .records import read_rows

HEADS = ("endpoint", "kind", "vm", "data centre", "serves", "slots", "state")


def endpoints():
    """List the endpoints that announce themselves."""

    def run(connect):
        value = operator.get(connect(), "/v1/endpoints")
        found = read_rows(Announcement, value, "endpoints")
        rows = sorted(_row(one) for one in found)
        return Output(table(HEADS, rows), {"endpoints": jsoncodec.plain(found)})

    return run


def dump(address: str):
    """Print the state of one process.

    For an internal listener give the internal key's file as --operator-key-file.

    :param address: its operator or internal listener, IP:PORT
    """

    def run(connect):
        value = operator.get(connect([address]), "/v1/dump")
        return Output(pretty(value), value)

    return run


def _row(one):
    serves = one.service
    if one.kind == Kind.ENGINE:
        layers = (
            f"layers {one.first_layer} to {one.end_layer - 1} of {one.model_layers}"
        )
        serves = f"{one.model} {one.version}, {layers}"
    state = "leaving" if one.leaving else "serving"
    place = (one.place.vm, one.place.data_centre)
    return (one.endpoint, str(one.kind), *place, serves, one.slots, state)
