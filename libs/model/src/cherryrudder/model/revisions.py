"""Versioned configuration, and the form in which its changes travel.

The state machine makes a `ConfigDelta`; entries and sidecars take it in. The types
stand here since neither library may import the other.
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
    """What changed after revision `since` up to `revision`; `full` replaces all.

    Contracts are never deleted: a retired one travels with its `retired` flag set.
    `cancelled` names the stops that were taken back.
    """

    revision: int
    since: int
    full: bool
    contracts: tuple[VersionedContract, ...] = ()
    stops: tuple[VersionedStop, ...] = ()
    cancelled: tuple[str, ...] = ()
    settings: tuple[VersionedSetting, ...] = ()
