"""Typed records of the control VMs' answers."""

from typing import NamedTuple

import msgspec

from cherryrudder.model import jsoncodec

from .errors import Failed


class Answer(NamedTuple):
    """The result of a change; `code` is ok, conflict, invalid, unknown or reused."""

    code: str
    message: str = ""
    version: int = 0
    revision: int = 0


class Voter(NamedTuple):
    """A control VM and its disk; `address` is the IP:PORT of its frame listener."""

    vm: str
    disk_id: str
    address: str


class Status(NamedTuple):
    """One control VM's view of the replicated log and its voters."""

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
    """The error of a request that was rejected before it became a change."""

    code: str
    message: str = ""
    field: str = ""


def read_record(kind, value):
    """Convert decoded JSON to a record, ignoring fields that newer control VMs add.

    Raises Failed if the value does not have the record's type.
    """
    try:
        return jsoncodec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise Failed(f"a control VM sent a bad {kind.__name__}: {error}") from error


def read_rows(kind, value, name: str) -> list:
    """Return the list of records under a field; raises Failed if there is no list."""
    if not isinstance(value, dict) or not isinstance(value.get(name), list):
        raise Failed(f"a control VM sent no list of {name}")
    return [read_record(kind, row) for row in value[name]]
