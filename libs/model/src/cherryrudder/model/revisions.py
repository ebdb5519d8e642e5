"""Versioned configuration, and the messages that distribute its changes.

The control VMs' state machine creates a `ConfigDelta`; entries and sidecars apply it.
The types are defined here since neither of these libraries may import the other.
"""

from typing import NamedTuple

from .contracts import Contract
from .endpoints import Stop


class VersionedContract(NamedTuple):
    """A contract, its version and the revision that set it."""

    version: int
    revision: int
    contract: Contract


class VersionedStop(NamedTuple):
    """A planned stop and the revision that announced it."""

    revision: int
    stop: Stop


class VersionedSetting(NamedTuple):
    """A platform-wide value, its version and the revision that set it."""

    name: str
    value: str
    version: int
    revision: int


class ConfigDelta(NamedTuple):
    """The changes after revision `since` up to and including `revision`.

    If `full` is set, it replaces the receiver's whole configuration. Contracts are
    never deleted; a retired one is sent with its `retired` flag set. `cancelled` has
    the ids of the stops that were cancelled.
    """

    revision: int
    since: int
    full: bool
    contracts: tuple[VersionedContract, ...] = ()
    stops: tuple[VersionedStop, ...] = ()
    cancelled: tuple[str, ...] = ()
    settings: tuple[VersionedSetting, ...] = ()
