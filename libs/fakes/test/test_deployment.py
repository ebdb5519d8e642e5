"""Tests of the selection of ports for a deployment."""

import socket
import unittest

from cherryrudder.fakes.deployment import END_PORT, free_port


class FreePortTest(unittest.TestCase):
    def test_free_port_is_never_repeated_or_in_use(self):
        """No port is returned twice, as a deployment draws all before any is bound.

        Of two processes with the same port one ends at its start, and the other answers
        calls that are not meant for it.
        """
        first = free_port()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", first + 1))
            ports = [free_port() for _ in range(300)]
        self.assertEqual(len({first, *ports}), 301)
        self.assertNotIn(first + 1, ports)
        self.assertLess(max(ports), END_PORT)
