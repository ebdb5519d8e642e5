"""The commands that show the platform's current state."""

from cherryrudder.model import jsoncodec
from cherryrudder.model.endpoints import Kind

from . import client as operator
from .output import Output, format_json, table

HEADERS = ("endpoint", "kind", "vm", "data centre", "serves", "slots", "state")


def endpoints():
    """List the announced endpoints, merged from all control VMs.

    Also lists the control VMs that gave no answer; if there are two or more of them,
    endpoints may be missing from the list.
    """

    def run(connect):
        found, silent = operator.endpoints(connect())
        lines = [table(HEADERS, [_row(one) for one in found])]
        lines += [f"no answer from {at}: {fault}" for at, fault in silent.items()]
        value = {"endpoints": jsoncodec.plain(found), "silent": silent}
        return Output("\n".join(lines), value)

    return run


def dump(address: str):
    """Print the state of one process.

    For an internal listener give the internal key's file as --operator-key-file.

    :param address: IP:PORT of the process's operator or internal listener
    """

    def run(connect):
        value = operator.get(connect(address), "/v1/dump")
        return Output(format_json(value), value)

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
