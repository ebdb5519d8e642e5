"""What control VMs answer, as typed records."""

from typing import NamedTuple

import msgspec

from cherryrudder.model import jsoncodec

from .errors import Failed


class Answer(NamedTuple):
    """What a change came to; `code` is ok, conflict, invalid, unknown or reused."""

    code: str
    message: str = ""
    version: int = 0
    revision: int = 0


class Voter(NamedTuple):
    """A control VM with its disk; `address` is that of its frame listener."""

    vm: str
    disk_id: str
    address: str


class Status(NamedTuple):
    """How one control VM sees the log and its voters."""

    vm: str
    disk_id: str
    role: str
    term: int
    leader: str = ""
    commit: int = 0
    applied: int = 0
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()


class ErrorBody(NamedTuple):
    """The typed error of a request that was refused before it was a change."""

    code: str
    message: str = ""
    field: str = ""


def read_record(kind, value):
    """Return a record from JSON; fields that a newer control VM adds are left out.

    Raises Failed for a value that is not such a record.
    """
    try:
        return jsoncodec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise Failed(f"a control VM sent a bad {kind.__name__}: {error}") from error


def read_rows(kind, value, name: str) -> list:
    """Return a list of records out of an answer; raises Failed if it has none."""
    if not isinstance(value, dict) or not isinstance(value.get(name), list):
        raise Failed(f"a control VM sent no list of {name}")
    return [read_record(kind, row) for row in value[name]]
