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
    """Two control VMs die; some entry's lease runs out in that moment.

    An entry is about to ask the lost one for shares: the task is there and has not
    begun. It finds the address gone, the error ends the whole entry, and callers have
    their connections refused, though nothing of theirs needs a control VM.
    """

    def test_an_ask_outlives_the_entry_that_it_is_for(self):
        asked = []

        async def call(method, url, *_):
            asked.append(url)
            return Grants(())

        process = SimpleNamespace(
            client=SimpleNamespace(call=call),
            settings=SimpleNamespace(listen=SimpleNamespace(internal="10.0.0.1:1")),
        )
        door = SimpleNamespace(admission=None)
        own = Sharing(SimpleNamespace(process=process, door=door), "entry/10.0.0.1:1")
        own.put_in_force = lambda _: None
        own._allocator_of = lambda _: OTHER
        own.see_entries([an_entry(OTHER)], 0.0)
        asks = [SimpleNamespace(customer="petra-tours")]

        async def lose_it():
            own.see_entries([], 1.0)

        async def play():
            async with anyio.create_task_group() as group:
                group.start_soon(own._loop)
                group.start_soon(lose_it)
                with anyio.fail_after(10):
                    while not asked:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()

        with mock.patch.object(sharing.sharebook, "due_requests", lambda *_: asks):
            anyio.run(play)
        self.assertEqual(asked[0], "http://10.0.0.2:1/v1/shares")


if __name__ == "__main__":
    unittest.main()
