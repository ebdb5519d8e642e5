"""JSON to and from the workspace's types, by msgspec.

msgspec writes a `NamedTuple` as an array. Between programs of different versions and
for operators' eyes an object with field names is wanted, so each `NamedTuple` type gets
a `msgspec.Struct` twin, made once, through which its JSON is read and checked.
"""

import functools
import types
import typing
from enum import Enum

import msgspec


def encode(value) -> bytes:
    """Return the JSON of any value made of this workspace's types."""
    return msgspec.json.encode(plain(value))


def decode(data: bytes | str, kind=object):
    """Return the value of a type that the JSON holds; raises msgspec.DecodeError."""
    read = msgspec.json.decode(data, type=_struct_type(kind), strict=False)
    return _from_struct(read)


def convert(value, kind):
    """Return the value of a type that bare dicts hold; raises msgspec.DecodeError."""
    return _from_struct(msgspec.convert(value, type=_struct_type(kind), strict=False))


def plain(value):
    """Return the value as bare dicts, lists, strings and numbers."""
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
    """Return the type by which msgspec reads a type's JSON."""
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
