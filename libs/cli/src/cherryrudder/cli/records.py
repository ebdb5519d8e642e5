"""What control VMs answer, as typed records."""

from typing import NamedTuple

import msgspec

from cherryrudder.model.contracts import Contract

from .errors import Failed


class VersionedContract(NamedTuple):
    """A contract as the platform holds it."""

    version: int
    contract: Contract


class Answer(NamedTuple):
    """What a change came to; `code` is ok, conflict, invalid or reused."""

    code: str
    message: str = ""
    version: int = 0
    revision: int = 0


class Voter(NamedTuple):
    """A control VM with the disk that makes it a voter."""

    vm: str
    disk_id: str
    address: str


def read_record(kind, value):
    """Return a NamedTuple from a JSON object.

    Fields that a newer control VM adds are left out. Raises Failed for a value that
    is not such a record.
    """
    if not isinstance(value, dict):
        raise Failed(f"a control VM sent {value!r} in place of {kind.__name__}")
    fields = kind._field_defaults | value
    try:
        return msgspec.convert([fields[name] for name in kind._fields], kind)
    except (KeyError, msgspec.ValidationError) as error:
        raise Failed(f"a control VM sent a bad {kind.__name__}: {error}") from error


def read_contracts(value) -> dict[str, VersionedContract]:
    """Return the contracts of an answer by customer."""
    contracts = {}
    for row in read_rows(value, "contracts"):
        contract = read_record(Contract, row.get("contract"))
        version = row.get("version", 0)
        contracts[contract.customer] = VersionedContract(version, contract)
    return contracts


def read_rows(value, name: str) -> list[dict]:
    """Return a list of JSON objects out of an answer; raises Failed if it has none."""
    try:
        return msgspec.convert(value[name], list[dict])
    except (TypeError, KeyError, msgspec.ValidationError) as error:
        raise Failed(f"a control VM sent no list of {name}") from error
