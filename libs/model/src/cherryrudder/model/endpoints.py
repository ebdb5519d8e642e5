"""Endpoints' announcements of themselves, and planned stops of endpoints."""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """The kind of process that an announcement describes."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class Place(NamedTuple):
    """The location of a process, with the names given in its settings."""

    vm: str
    data_centre: str
    region: str


class Announcement(NamedTuple):
    """An endpoint as announced by its sidecar; `end_layer` is exclusive."""

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
    """Return whether a planned stop applies to an announced endpoint."""
    if stop.scope == "endpoint":
        return stop.target == announcement.endpoint
    if stop.scope == "vm":
        return stop.target == announcement.place.vm
    return stop.target == announcement.place.data_centre
