"""How much of a process's memory the clients of a listener may take."""

from cherryrudder.platform.settings import NodeSettings
from cherryrudder.wire.clientshares import ClientShares

MB = 1_000_000
# Parts of the memory. The rest is for the program itself, which takes 40 to 60 MB, its
# tables, and the calls to other processes.
CLIENT_MEMORY_SHARE = 0.35
CONTROL_MEMORY_SHARE = 0.35
PROBE_MEMORY_SHARE = 0.02


def for_clients(settings: NodeSettings) -> ClientShares:
    """Return the shares of the clients of an entry."""
    return ClientShares(settings.memory_mb * MB * CLIENT_MEMORY_SHARE)


def for_calls(settings: NodeSettings) -> ClientShares:
    """Return the shares of engines and operators at a control VM."""
    return ClientShares(settings.memory_mb * MB * CONTROL_MEMORY_SHARE)


def for_probes(settings: NodeSettings) -> ClientShares:
    """Return the shares of those that read a process's state."""
    return ClientShares(settings.memory_mb * MB * PROBE_MEMORY_SHARE)
