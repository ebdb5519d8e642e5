import unittest

import anyio

from cherryrudder.soak.proxy import Mode, Proxy
from cherryrudder.standin.deployment import free_net

TEST_S = 20.0


class ProxyTest(unittest.TestCase):
    """A caller is connected to an echo server through the proxy."""

    def play(self, scenario):
        async def run():
            net = free_net()
            proxy = Proxy(f"{net}.9:7000", f"{net}.10:7000")
            with anyio.fail_after(TEST_S):
                async with anyio.create_task_group() as group:
                    listener = await anyio.create_tcp_listener(
                        local_host=f"{net}.10", local_port=7000
                    )
                    group.start_soon(listener.serve, echo)
                    await proxy.serve(group)
                    await scenario(proxy, await anyio.connect_tcp(f"{net}.9", 7000))
                    group.cancel_scope.cancel()

        anyio.run(run)

    def test_bytes_are_passed_in_both_directions(self):
        async def scenario(proxy, caller):
            await caller.send(b"hello")
            self.assertEqual(await caller.receive(), b"hello")

        self.play(scenario)

    def test_held_bytes_are_passed_on_after_the_hold(self):
        for mode in (Mode.SILENT, Mode.HOLD_REQUESTS, Mode.HOLD_ANSWERS):

            async def scenario(proxy, caller, mode=mode):
                proxy.set_mode(mode)
                await caller.send(b"hello")
                with anyio.move_on_after(0.1) as scope:
                    await caller.receive()
                self.assertTrue(scope.cancelled_caught)
                proxy.set_mode(Mode.PASS)
                self.assertEqual(await caller.receive(), b"hello")

            with self.subTest(mode=mode):
                self.play(scenario)

    def test_reset_closes_connections_and_accepts_new_ones(self):
        async def scenario(proxy, caller):
            await caller.send(b"hello")
            await caller.receive()
            await proxy.reset()
            with self.assertRaises((anyio.BrokenResourceError, anyio.EndOfStream)):
                await caller.receive()
            host, _, port = proxy.listen_address.rpartition(":")
            again = await anyio.connect_tcp(host, int(port))
            await again.send(b"more")
            self.assertEqual(await again.receive(), b"more")

        self.play(scenario)


async def echo(stream):
    """Send back all received bytes."""
    try:
        while True:
            await stream.send(await stream.receive())
    except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        await stream.aclose()
