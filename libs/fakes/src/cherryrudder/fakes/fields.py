"""Conversion of the JSON objects that callers send to typed values."""

import msgspec


def merge(value, changes: dict):
    """Return a copy of a NamedTuple with the fields in `changes` replaced.

    Raise ValueError (or its subclass msgspec.ValidationError) for an unknown field or
    a value of the wrong type.
    """
    unknown = set(changes) - set(value._fields)
    if unknown:
        raise ValueError(f"unknown field {', '.join(sorted(unknown))}")
    fields = value._asdict() | changes
    return msgspec.convert(list(fields.values()), type(value))
