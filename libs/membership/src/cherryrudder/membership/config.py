"""The configuration that an entry or sidecar has in force; it only moves up."""

from enum import StrEnum

from cherryrudder.model.revisions import (
    ConfigDelta,
    VersionedContract,
    VersionedSetting,
    VersionedStop,
)


class ApplyResult(StrEnum):
    """What became of a delta; after `gap` ask again from the held revision."""

    TAKEN = "taken"
    OLD = "old"
    GAP = "gap"


class Config:
    """Contracts by customer, stops by id and settings by name, as of `revision`."""

    def __init__(self):
        self.revision = 0
        self.is_loaded = False
        self.contracts: dict[str, VersionedContract] = {}
        self.stops: dict[str, VersionedStop] = {}
        self.settings: dict[str, VersionedSetting] = {}


def apply_delta(config: Config, delta: ConfigDelta) -> ApplyResult:
    """Put a delta in force unless it is old or leaves revisions out."""
    # A control VM that was cut off for hours answers with what it held then. Taking
    # it would bring a retired contract back, so a lower revision is never taken.
    if config.is_loaded and delta.revision <= config.revision:
        return ApplyResult.OLD
    if not delta.full and (not config.is_loaded or delta.since > config.revision):
        return ApplyResult.GAP
    if delta.full:
        config.contracts.clear()
        config.stops.clear()
        config.settings.clear()
    for held in delta.contracts:
        config.contracts[held.contract.customer] = held
    for held in delta.stops:
        config.stops[held.stop.stop_id] = held
    for stop_id in delta.cancelled:
        config.stops.pop(stop_id, None)
    for held in delta.settings:
        config.settings[held.name] = held
    config.revision = delta.revision
    config.is_loaded = True
    return ApplyResult.TAKEN


def is_ready(config: Config, confirmed_revision: int | None) -> bool:
    """Tell whether the process has caught up with a revision the leader confirmed.

    `confirmed_revision` comes from a read at the leader made after this process
    started; None while there was none. Without it a process that restarts beside a
    control VM that was cut off would serve under contracts that have changed since.
    """
    if confirmed_revision is None or not config.is_loaded:
        return False
    return config.revision >= confirmed_revision
