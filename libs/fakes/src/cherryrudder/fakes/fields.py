"""Typed values out of the JSON objects that callers send."""

import msgspec


def merge(value, changes: dict):
    """Return a NamedTuple with the named fields changed.

    Raises ValueError (msgspec.ValidationError is one) for an unknown field or a value
    of another type.
    """
    unknown = set(changes) - set(value._fields)
    if unknown:
        raise ValueError(f"unknown field {', '.join(sorted(unknown))}")
    fields = value._asdict() | changes
    return msgspec.convert(list(fields.values()), type(value))
