"""Generate the control traffic of many nodes from one process, for `control_scale.py`.

Each node runs the daemon's announcer and follower and answers credit reports, over its
own connections and without a back end. On SIGTERM the process prints, as JSON, when
each revision was in force at each node, and exits.
"""

import json
import signal
import sys
import time
from types import SimpleNamespace

import anyio
import defopt
from loguru import logger

from cherryrudder.daemon.announcer import Announcer
from cherryrudder.daemon.creditgranter import CreditGranter
from cherryrudder.daemon.follower import Follower
from cherryrudder.daemon.framemessages import DATA_MESSAGES, CreditReport
from cherryrudder.fakes.deployment import free_address
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.wire.client import Client
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames

ANNOUNCE_INTERVAL_S = 0.5
LEASE_S = 2.0
SLOTS = 16
INCARNATION = "1"


class Node:
    """Control traffic of one sidecar or entry."""

    def __init__(self, group, name, kind, addresses, key):
        self.key = key
        self.group = group
        self.frames = free_address()
        # The parts of a daemon's process that the announcer, the follower and the
        # credit granter use.
        self.process = SimpleNamespace(
            group=group,
            client=Client(key),
            incarnation=INCARNATION,
            settings=SimpleNamespace(
                control=SimpleNamespace(addresses=addresses),
                process=SimpleNamespace(vm=name),
                sidecar=SimpleNamespace(endpoint=name, slots=SLOTS),
            ),
        )
        announcement = make_announcement(name, kind, self.frames)
        self.announcer = Announcer(
            self.process, announcement, ANNOUNCE_INTERVAL_S, LEASE_S
        )
        with_table = kind == Kind.ENTRY
        self.follower = Follower(self.process, self.record_revision, with_table)
        self.in_force: dict[int, float] = {}

    def record_revision(self) -> None:
        """Record when a revision was first in force at this node."""
        self.in_force.setdefault(self.follower.config.revision, time.monotonic())

    async def run(self) -> None:
        """Follow, announce and grant credits."""
        self.follower.start()
        await self.follower.ready.wait()
        codec = FrameCodec(DATA_MESSAGES)
        links = Links(self.group, codec, self.key, self.frames, lambda address: None)
        granter = CreditGranter(self.process, links)

        def on_messages(peer, messages):
            for message in messages:
                if isinstance(message, CreditReport):
                    granter.handle_report(message, time.monotonic())

        self.announcer.start()
        await listen_frames(self.frames, codec, self.key, on_messages, anyio.Event())


def make_announcement(name, kind, frames):
    """Return an announcement of typical length."""
    return Announcement(
        endpoint=name,
        kind=kind,
        incarnation=INCARNATION,
        sequence=0,
        place=Place(name, "dc-1", "region-1"),
        address=frames,
        frames_address=frames,
        model="bench-scale" if kind == Kind.ENGINE else "",
        accelerator="a",
        end_layer=12,
        model_layers=12,
        slots=SLOTS,
        tokens_per_s=200.0,
    )


async def run(addresses, key, sidecars, entries):
    """Run the nodes until SIGTERM and return them."""
    async with anyio.create_task_group() as group:
        kinds = [Kind.ENGINE] * sidecars + [Kind.ENTRY] * entries
        nodes = [
            Node(group, f"{kind}-{number}", kind, addresses, key)
            for number, kind in enumerate(kinds)
        ]
        for node in nodes:
            group.start_soon(node.run)
        for node in nodes:
            await node.follower.ready.wait()
        print("ready", flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                group.cancel_scope.cancel()
    return nodes


def main(addresses: str, key: str, *, sidecars: int = 0, entries: int = 0) -> None:
    """Be a number of nodes.

    :param addresses: Control VMs' internal addresses, joined by commas.
    :param key: The internal key.
    :param sidecars: Nodes that announce an engine and follow the configuration.
    :param entries: Nodes that announce an entry and follow the endpoints as well.
    """
    # A frozen control VM would cause a log line for each failed call.
    logger.remove()
    nodes = anyio.run(run, addresses.split(","), key, sidecars, entries)
    print(json.dumps([node.in_force for node in nodes]), flush=True)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
