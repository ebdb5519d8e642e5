"""JSON to and from the workspace's types, by msgspec."""

import msgspec


def encode(value) -> bytes:
    """Return the JSON of any value made of this workspace's types."""
    return msgspec.json.encode(value)


def decode(data: bytes | str, kind=object):
    """Return the value of a type that the JSON holds; raises msgspec.DecodeError."""
    return msgspec.json.decode(data, type=kind, strict=False)


def plain(value):
    """Return the value as bare dicts, lists, strings and numbers."""
    return msgspec.to_builtins(value)
