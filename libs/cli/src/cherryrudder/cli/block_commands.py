"""The `block` commands: list and lift blocks of requests that crash their engines."""

from . import client as operator
from .output import Output, table

HEADERS = ("fingerprint", "part", "account", "service", "engines", "left s")


def show(address: str):
    """List what one process refuses or holds, and the engines that it crashed.

    :param address: metrics address of an entry or control VM, IP:PORT
    """

    def run(connect):
        value = operator.get(connect(address, needs_key=False), "/blocks")
        rows = [_row(block) for block in value["blocks"]]
        rows += [
            _row(held | {"engine_ids": ["on trial"]}) for held in value.get("held", ())
        ]
        return Output(table(HEADERS, rows), value)

    return run


def lift(address: str, fingerprint: str):
    """Lift the block of a request, or of a part of prompts, at all entries.

    :param address: metrics address of a control VM, IP:PORT
    :param fingerprint: the fingerprint or the part, as "block list" prints it
    """

    def run(connect):
        client = connect(address, needs_key=False)
        operator.post(client, f"/blocks/lift/{fingerprint}")
        return Output(f"{fingerprint}: lifted", {"lifted": fingerprint})

    return run


def _row(block):
    return (
        block["fingerprint"],
        block.get("part") or "-",
        block["account"] or "-",
        block["service"],
        ",".join(block["engine_ids"]),
        block["left_s"],
    )


COMMANDS = {"list": show, "lift": lift}
