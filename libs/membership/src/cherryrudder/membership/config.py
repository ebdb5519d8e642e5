"""The configuration in force in an entry or sidecar; its revision never decreases."""

from enum import StrEnum

from cherryrudder.model.revisions import (
    ConfigDelta,
    VersionedContract,
    VersionedSetting,
    VersionedStop,
)


class ApplyResult(StrEnum):
    """Outcome of a delta; after `gap`, request again from the revision in force."""

    TAKEN = "taken"
    OLD = "old"
    GAP = "gap"


class Config:
    """Contracts by customer, stops by id and settings by name, at `revision`."""

    def __init__(self):
        self.revision = 0
        self.is_loaded = False
        self.contracts: dict[str, VersionedContract] = {}
        self.stops: dict[str, VersionedStop] = {}
        self.settings: dict[str, VersionedSetting] = {}


def apply_delta(config: Config, delta: ConfigDelta) -> ApplyResult:
    """Apply a delta unless it is old or revisions before it are missing."""
    # A control VM that was disconnected for hours answers with an outdated state, which
    # would restore retired contracts. So a lower revision is never applied.
    if config.is_loaded and delta.revision <= config.revision:
        return ApplyResult.OLD
    if not delta.full and (not config.is_loaded or delta.since > config.revision):
        return ApplyResult.GAP
    if delta.full:
        config.contracts.clear()
        config.stops.clear()
        config.settings.clear()
    for record in delta.contracts:
        config.contracts[record.contract.customer] = record
    for record in delta.stops:
        config.stops[record.stop.stop_id] = record
    for stop_id in delta.cancelled:
        config.stops.pop(stop_id, None)
    for record in delta.settings:
        config.settings[record.name] = record
    config.revision = delta.revision
    config.is_loaded = True
    return ApplyResult.TAKEN


def is_ready(config: Config, confirmed_revision: int | None) -> bool:
    """Return whether the process has caught up with a revision the leader confirmed.

    `confirmed_revision` comes from a read at the leader after this process started, and
    is None before that. Without this check, a process that restarts and is answered by
    a disconnected control VM would serve under outdated contracts.
    """
    if confirmed_revision is None or not config.is_loaded:
        return False
    return config.revision >= confirmed_revision
