"""Check that every process can read a configuration before the log accepts it.

What is accepted reaches the entries through the log, a snapshot and a frame, and can't
be taken back: a higher version is the only way out.
"""

import re
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from cherryrudder.platform import configuration
from cherryrudder.routing import configlog
from cherryrudder.routing.configlog import ConfigState, Put
from cherryrudder.routing.configuration import find_new_fault
from cherryrudder.routing.routetable import RouteTable
from cherryrudder.wire.frames import LENGTH, FrameCodec

from . import gossip

# The decoder of JSON recurses, and Python's limit of 1,000 includes the calls around
# it, of which an entry has others than a control process.
MAX_NESTING = 500
STRINGS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
NO_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")


class Accepted(NamedTuple):
    """A configuration that every process can read, as a command of the log."""

    version: int
    payload: str


def read(body: bytes, codec: FrameCodec) -> Result[Accepted, str]:
    """Return the command for an operator's document, or the reason to refuse it."""
    try:
        text = body.decode()
    except UnicodeDecodeError as error:
        return Error(f"the document isn't UTF-8: {error}")
    if nesting(body) > MAX_NESTING:
        return Error(f"the document is nested deeper than {MAX_NESTING} levels")
    result = configuration.read_configuration(body)
    if result.is_error():
        return result
    fault = find_new_fault(result.ok)
    if fault:
        return Error(fault)
    version = result.ok.version
    payload = configlog.encode(Put(version, configlog.pack(text)))
    try:
        hidden = RouteTable(result.ok).hidden_routes
        carried = _carry(payload, codec)
    except Exception as error:
        return Error(f"the document can't be passed on: {error!r}")
    if hidden:
        return Error(f"route {hidden[0]}: another has the same host and prefix")
    if carried is None or carried != (version, text):
        return Error("the document would be changed on its way")
    return Ok(Accepted(version, payload))


def _carry(payload, codec):
    """Return the version and text that an entry gets, None if no message holds them."""
    state = ConfigState(*msgspec.json.decode(payload, type=Put))
    restored = configlog.restore(configlog.snapshot(state))
    frame = codec.encode([gossip.make_update(restored)])
    for message in codec.decode(frame[LENGTH.size :]) if frame else ():
        update = gossip.with_number(message)
        return update.version, configlog.unpack(update.packed)
    return None


def nesting(document: bytes) -> int:
    """Return how deep the arrays and objects of a JSON document are nested, or more."""
    opened = document.count(b"[") + document.count(b"{")
    if opened <= MAX_NESTING:
        return opened
    depth = deepest = 0
    for bracket in _without_strings(document).translate(None, NO_BRACKETS):
        depth += 1 if bracket in b"[{" else -1
        deepest = max(deepest, depth)
    return deepest


def _without_strings(document):
    if b"\\" in document:
        return STRINGS.sub(b"", document)
    # Without escapes every second quote ends a string; this is much faster.
    return b"".join(document.split(b'"')[::2])
