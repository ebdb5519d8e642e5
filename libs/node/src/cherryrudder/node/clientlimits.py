"""How much of a process's memory and descriptors the clients of a listener may take."""

import resource

from cherryrudder.platform.settings import NodeSettings
from cherryrudder.wire.clientshares import ClientShares

MB = 1_000_000
# Parts of the memory. The rest is for the program itself, which takes 40 to 60 MB, its
# tables, and the calls to other processes.
CLIENT_MEMORY_SHARE = 0.35
CONTROL_MEMORY_SHARE = 0.35
PROBE_MEMORY_SHARE = 0.02
# Parts of the descriptors. Each request of a client needs one more towards an engine.
CLIENT_DESCRIPTORS_SHARE = 0.4
CONTROL_DESCRIPTORS_SHARE = 0.4
PROBE_DESCRIPTORS_SHARE = 0.03


def for_clients(settings: NodeSettings) -> ClientShares:
    """Return the shares of the clients of an entry."""
    return _make(settings, CLIENT_MEMORY_SHARE, CLIENT_DESCRIPTORS_SHARE)


def for_calls(settings: NodeSettings) -> ClientShares:
    """Return the shares of engines and operators at a control VM."""
    return _make(settings, CONTROL_MEMORY_SHARE, CONTROL_DESCRIPTORS_SHARE)


def for_probes(settings: NodeSettings) -> ClientShares:
    """Return the shares of those that read a process's state."""
    return _make(settings, PROBE_MEMORY_SHARE, PROBE_DESCRIPTORS_SHARE)


def _make(settings, memory_share, descriptors_share):
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = settings.max_descriptors
    if soft != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft)
    return ClientShares(
        settings.memory_mb * MB * memory_share, descriptors * descriptors_share
    )
