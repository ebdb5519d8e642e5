"""What an endpoint announces about itself."""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """What stands behind an announcement."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class Place(NamedTuple):
    """Where a process runs; the names come from its settings."""

    vm: str
    data_centre: str
    region: str


class Announcement(NamedTuple):
    """An endpoint as its sidecar announces it; `end_layer` is exclusive."""

    endpoint: str
    kind: Kind
    incarnation: str
    sequence: int
    place: Place
    address: str
    frames_address: str = ""
    service: str = ""
    model: str = ""
    version: str = ""
    accelerator: str = ""
    first_layer: int = 0
    end_layer: int = 0
    model_layers: int = 0
    slots: int = 1
    tokens_per_s: float = 0.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    checks_fence: bool = False
    leaving: bool = False


class Stop(NamedTuple):
    """A planned stop; its target is an endpoint, a VM or a data centre."""

    stop_id: str
    scope: str
    target: str
    reason: str = ""


STOP_SCOPES = ("endpoint", "vm", "data_centre")


def stops_endpoint(stop: Stop, announcement: Announcement) -> bool:
    """Tell whether a planned stop takes an announced endpoint away."""
    if stop.scope == "endpoint":
        return stop.target == announcement.endpoint
    if stop.scope == "vm":
        return stop.target == announcement.place.vm
    return stop.target == announcement.place.data_centre
