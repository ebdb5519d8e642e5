import unittest
from types import SimpleNamespace
from unittest import mock

import anyio

from cherryrudder.daemon import sharing
from cherryrudder.daemon.sharing import Grants, Sharing
from cherryrudder.model.endpoints import Announcement, Kind, Place

OTHER = "entry/10.0.0.2:1"


def an_entry(name):
    """Return an entry's announcement."""
    address = name.partition("/")[2]
    place = Place("vm", "dc-1", "region-1")
    return Announcement(name, Kind.ENTRY, "run-1", 1, place, address, address)


class LostPeerTest(unittest.TestCase):
    """The allocator leaves the table before a request for shares to it starts.

    Two control VMs die and an entry's lease expires. Another entry has scheduled a
    share request to it. If the task looked up the address when it starts, the error
    would end the entry, and callers would have their connections refused.
    """

    def test_a_share_request_survives_the_loss_of_its_allocator(self):
        asked = []

        async def call(method, url, *_):
            asked.append(url)
            return Grants(())

        process = SimpleNamespace(
            client=SimpleNamespace(call=call),
            settings=SimpleNamespace(listen=SimpleNamespace(internal="10.0.0.1:1")),
        )
        dispatch = SimpleNamespace(admission=None)
        own = Sharing(
            SimpleNamespace(process=process, requests=dispatch), "entry/10.0.0.1:1"
        )
        own.apply_shares = lambda _: None
        own._allocator_of = lambda _: OTHER
        own.set_entries([an_entry(OTHER)], 0.0)
        asks = [SimpleNamespace(customer="petra-tours")]

        async def lose_allocator():
            own.set_entries([], 1.0)

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(own._loop)
                group.start_soon(lose_allocator)
                with anyio.fail_after(10):
                    while not asked:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        with mock.patch.object(sharing.sharebook, "due_requests", lambda *_: asks):
            anyio.run(run)
        self.assertEqual(asked[0], "http://10.0.0.2:1/v1/shares")


if __name__ == "__main__":
    unittest.main()
