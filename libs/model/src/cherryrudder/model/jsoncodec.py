"""Encode the workspace's types as JSON and decode them, with msgspec.

msgspec writes a `NamedTuple` as an array. Programs of different versions and operators
need an object with field names instead. So for each `NamedTuple` type a
`msgspec.Struct` type with the same fields is created once, through which its JSON is
decoded and validated.
"""

import functools
import types
import typing
from enum import Enum

import msgspec


def encode(value) -> bytes:
    """Encode a value made of the workspace's types as JSON."""
    return msgspec.json.encode(plain(value))


def decode(data: bytes | str, kind=object):
    """Decode JSON to a value of the type `kind`; raises msgspec.DecodeError."""
    read = msgspec.json.decode(data, type=_struct_type(kind), strict=False)
    return _from_struct(read)


def convert(value, kind):
    """Convert plain dicts and lists to a value of the type `kind`.

    Raises msgspec.ValidationError, a msgspec.DecodeError.
    """
    return _from_struct(msgspec.convert(value, type=_struct_type(kind), strict=False))


def plain(value):
    """Convert a value to plain dicts, lists, strings and numbers."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {
            name: plain(part) for name, part in zip(value._fields, value, strict=True)
        }
    if isinstance(value, dict):
        return {key: plain(part) for key, part in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(part) for part in value]
    if isinstance(value, Enum):
        return value.value
    return value


class _StructBase(msgspec.Struct):
    pass


def _is_named_tuple(kind):
    return (
        isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields")
    )


@functools.cache
def _struct_type(kind):
    """Return the type that msgspec decodes to: structs in place of named tuples."""
    if _is_named_tuple(kind):
        return _make_struct(kind)
    arguments = typing.get_args(kind)
    if not arguments or typing.get_origin(kind) is typing.Literal:
        return kind
    parts = tuple(_struct_type(part) for part in arguments)
    if isinstance(kind, types.UnionType):
        return functools.reduce(lambda left, right: left | right, parts)
    return typing.get_origin(kind)[parts]


def _make_struct(kind):
    fields = []
    for name, part in typing.get_type_hints(kind).items():
        field = (name, _struct_type(part))
        if name in kind._field_defaults:
            field += (kind._field_defaults[name],)
        fields.append(field)
    struct = msgspec.defstruct(kind.__name__, fields, bases=(_StructBase,))
    _TYPE_OF_STRUCT[struct] = kind
    return struct


_TYPE_OF_STRUCT: dict[type, type] = {}


def _from_struct(value):
    if isinstance(value, _StructBase):
        parts = (_from_struct(getattr(value, n)) for n in value.__struct_fields__)
        return _TYPE_OF_STRUCT[type(value)](*parts)
    if isinstance(value, list):
        return [_from_struct(part) for part in value]
    if isinstance(value, tuple):
        return tuple(_from_struct(part) for part in value)
    if isinstance(value, dict):
        return {key: _from_struct(part) for key, part in value.items()}
    return value
